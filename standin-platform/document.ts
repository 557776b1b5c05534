import { DOCUMENT, KIND, LIMITS, MAPPING, MODEL } from '../platform/words.js';
import type { Kind } from './records.js';

export type Share = { readonly model: string; readonly share: number };

export type ModelRoute = {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: Kind;
  readonly deadlineMs: number;
  readonly aimMs: number;
  readonly rank: number;
  readonly shares: readonly Share[];
  readonly attempts: number;
  readonly pinned: boolean;
  readonly resumable: boolean;
  readonly pauseMs: number;
  readonly homes: readonly string[];
};

export type Engine = { readonly batch: number; readonly kvTokens: number };

export type Model = {
  readonly name: string;
  readonly probePath: string;
  readonly maxConns: number;
  readonly coldS: number;
  readonly coldRateS: number;
  readonly engine: Engine | null;
};

export type Document = {
  readonly number: number;
  readonly mappings: readonly ModelRoute[];
  readonly models: readonly Model[];
};

export const MAPPING_DEFAULTS = {
  deadlineMs: 6_000,
  aimMs: 1_000,
  rank: 0,
  attempts: 2,
  pinned: false,
  resumable: false,
  pauseMs: 600,
  homes: [],
} as const;
export const MODEL_DEFAULTS = { probePath: '/health', maxConns: 96, coldS: 0, coldRateS: 0, engine: null } as const;

const LIMIT_VALUES = {
  [LIMITS.headerBytes]: 16_384,
  [LIMITS.bodyBytes]: 4_194_304,
  [LIMITS.headerMs]: 3_000,
  [LIMITS.idleMs]: 15_000,
};

export function mappingToWire(modelRoute: ModelRoute): Record<string, unknown> {
  const one = modelRoute.shares.length === 1 ? modelRoute.shares[0] : undefined;
  return {
    [MAPPING.name]: modelRoute.name,
    [MAPPING.host]: modelRoute.host,
    [MAPPING.prefix]: modelRoute.prefix,
    [MAPPING.kind]: KIND[modelRoute.kind],
    [MAPPING.deadlineMs]: modelRoute.deadlineMs,
    [MAPPING.aimMs]: modelRoute.aimMs,
    [MAPPING.rank]: modelRoute.rank,
    ...(one ? { [MAPPING.model]: one.model } : { [MAPPING.shares]: modelRoute.shares.map(shareToWire) }),
    [MAPPING.attempts]: modelRoute.attempts,
    [MAPPING.pinned]: modelRoute.pinned,
    [MAPPING.resumable]: modelRoute.resumable,
    ...(modelRoute.kind === 'stream' ? { [MAPPING.pauseMs]: modelRoute.pauseMs } : {}),
    [MAPPING.homes]: [...modelRoute.homes],
  };
}

function shareToWire(branch: Share): Record<string, unknown> {
  return { [MAPPING.model]: branch.model, [MAPPING.share]: branch.share };
}

export function modelToWire(model: Model): Record<string, unknown> {
  const engine = model.engine && {
    [MODEL.batch]: model.engine.batch,
    [MODEL.kvTokens]: model.engine.kvTokens,
    kvTokenBytes: 327_680,
    linkMbps: 740_000,
    stepSize: 5,
    models: [{ name: 'm' }],
  };
  return {
    [MODEL.name]: model.name,
    [MODEL.probePath]: model.probePath,
    [MODEL.maxConns]: model.maxConns,
    protocol: 'h1',
    tls: false,
    [MODEL.coldS]: model.coldS,
    [MODEL.coldRateS]: model.coldRateS,
    ...(engine ? { [MODEL.engine]: engine } : {}),
  };
}

export function documentToWire(document: Document): Record<string, unknown> {
  return {
    [DOCUMENT.number]: document.number,
    [DOCUMENT.mappings]: document.mappings.map(mappingToWire),
    [DOCUMENT.models]: document.models.map(modelToWire),
    [DOCUMENT.limits]: LIMIT_VALUES,
  };
}

type Table = Readonly<Record<string, unknown>>;

function table(item: unknown): Table {
  return typeof item === 'object' && item !== null && !Array.isArray(item) ? (item as Table) : {};
}
function list(item: unknown): readonly unknown[] {
  return Array.isArray(item) ? (item as readonly unknown[]) : [];
}
function text(item: unknown): string {
  return typeof item === 'string' ? item : '';
}
function count(item: unknown): number {
  return typeof item === 'number' ? item : 0;
}

function shareFromWire(item: unknown): Share {
  const t = table(item);
  return { model: text(t[MAPPING.model]), share: count(t[MAPPING.share]) };
}

function kindFromWire(item: unknown): Kind {
  if (item === KIND.repeatable) return 'repeatable';
  return item === KIND.stream ? 'stream' : 'once';
}

function mappingFromWire(item: unknown): ModelRoute {
  const t = table(item);
  const shares = list(t[MAPPING.shares]).map(shareFromWire);
  return {
    name: text(t[MAPPING.name]),
    host: text(t[MAPPING.host]),
    prefix: text(t[MAPPING.prefix]),
    kind: kindFromWire(t[MAPPING.kind]),
    deadlineMs: count(t[MAPPING.deadlineMs]),
    aimMs: count(t[MAPPING.aimMs]),
    rank: count(t[MAPPING.rank]),
    shares: shares.length > 0 ? shares : [{ model: text(t[MAPPING.model]), share: 1 }],
    attempts: count(t[MAPPING.attempts]),
    pinned: t[MAPPING.pinned] === true,
    resumable: t[MAPPING.resumable] === true,
    pauseMs: count(t[MAPPING.pauseMs]),
    homes: list(t[MAPPING.homes]).map(text),
  };
}

export function mappingsOf(document: unknown): readonly ModelRoute[] {
  return list(table(document)[DOCUMENT.mappings]).map(mappingFromWire);
}

export function numberOf(document: unknown): number {
  return count(table(document)[DOCUMENT.number]);
}

export function mappingFor(document: unknown, host: string, path: string): ModelRoute | null {
  let best: ModelRoute | null = null;
  for (const modelRoute of mappingsOf(document)) {
    if (modelRoute.host !== host || !path.startsWith(modelRoute.prefix)) continue;
    if (!best || modelRoute.prefix.length > best.prefix.length) best = modelRoute;
  }
  return best;
}

export function amended(document: unknown, amendment: unknown): Record<string, unknown> {
  const first = table(amendment);
  const out: Record<string, unknown> = { ...table(document), [DOCUMENT.number]: first[DOCUMENT.number] };
  for (const key of [DOCUMENT.mappings, DOCUMENT.models]) {
    const fresh = list(table(first[DOCUMENT.upsert])[key]);
    const names = new Set([...list(table(first[DOCUMENT.remove])[key]).map(text), ...fresh.map(nameOf)]);
    out[key] = [...list(out[key]).filter(keeps), ...fresh];
    function keeps(item: unknown): boolean {
      return !names.has(nameOf(item));
    }
  }
  return out;
}

function nameOf(item: unknown): string {
  return text(table(item)['name']);
}

export function canonical(item: unknown): string {
  return JSON.stringify(ordered(item));
}

function ordered(item: unknown): unknown {
  if (Array.isArray(item)) {
    const items = item.map(ordered);
    return items.every(isNamed) ? items.sort(byName) : items;
  }
  if (typeof item !== 'object' || item === null) return item;
  const out: Record<string, unknown> = {};
  for (const key of Object.keys(item).sort()) out[key] = ordered((item as Table)[key]);
  return out;
}
function isNamed(item: unknown): boolean {
  return nameOf(item) !== '';
}
function byName(left: unknown, right: unknown): number {
  return nameOf(left) < nameOf(right) ? -1 : 1;
}

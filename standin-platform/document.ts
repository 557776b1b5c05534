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

export function mappingToWire(m: ModelRoute): Record<string, unknown> {
  const one = m.shares.length === 1 ? m.shares[0] : undefined;
  return {
    [MAPPING.name]: m.name,
    [MAPPING.host]: m.host,
    [MAPPING.prefix]: m.prefix,
    [MAPPING.kind]: KIND[m.kind],
    [MAPPING.deadlineMs]: m.deadlineMs,
    [MAPPING.aimMs]: m.aimMs,
    [MAPPING.rank]: m.rank,
    ...(one ? { [MAPPING.model]: one.model } : { [MAPPING.shares]: m.shares.map(shareToWire) }),
    [MAPPING.attempts]: m.attempts,
    [MAPPING.pinned]: m.pinned,
    [MAPPING.resumable]: m.resumable,
    ...(m.kind === 'stream' ? { [MAPPING.pauseMs]: m.pauseMs } : {}),
    [MAPPING.homes]: [...m.homes],
  };
}

function shareToWire(s: Share): Record<string, unknown> {
  return { [MAPPING.model]: s.model, [MAPPING.share]: s.share };
}

export function modelToWire(m: Model): Record<string, unknown> {
  const engine = m.engine && {
    [MODEL.batch]: m.engine.batch,
    [MODEL.kvTokens]: m.engine.kvTokens,
    kvTokenBytes: 327_680,
    linkMbps: 740_000,
    stepSize: 5,
    models: [{ name: 'm' }],
  };
  return {
    [MODEL.name]: m.name,
    [MODEL.probePath]: m.probePath,
    [MODEL.maxConns]: m.maxConns,
    protocol: 'h1',
    tls: false,
    [MODEL.coldS]: m.coldS,
    [MODEL.coldRateS]: m.coldRateS,
    ...(engine ? { [MODEL.engine]: engine } : {}),
  };
}

export function documentToWire(d: Document): Record<string, unknown> {
  return {
    [DOCUMENT.number]: d.number,
    [DOCUMENT.mappings]: d.mappings.map(mappingToWire),
    [DOCUMENT.models]: d.models.map(modelToWire),
    [DOCUMENT.limits]: LIMIT_VALUES,
  };
}

type Table = Readonly<Record<string, unknown>>;

function table(x: unknown): Table {
  return typeof x === 'object' && x !== null && !Array.isArray(x) ? (x as Table) : {};
}
function list(x: unknown): readonly unknown[] {
  return Array.isArray(x) ? (x as readonly unknown[]) : [];
}
function text(x: unknown): string {
  return typeof x === 'string' ? x : '';
}
function count(x: unknown): number {
  return typeof x === 'number' ? x : 0;
}

function shareFromWire(x: unknown): Share {
  const t = table(x);
  return { model: text(t[MAPPING.model]), share: count(t[MAPPING.share]) };
}

function kindFromWire(x: unknown): Kind {
  if (x === KIND.repeatable) return 'repeatable';
  return x === KIND.stream ? 'stream' : 'once';
}

function mappingFromWire(x: unknown): ModelRoute {
  const t = table(x);
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
  for (const m of mappingsOf(document)) {
    if (m.host !== host || !path.startsWith(m.prefix)) continue;
    if (!best || m.prefix.length > best.prefix.length) best = m;
  }
  return best;
}

export function amended(document: unknown, amendment: unknown): Record<string, unknown> {
  const a = table(amendment);
  const out: Record<string, unknown> = { ...table(document), [DOCUMENT.number]: a[DOCUMENT.number] };
  for (const key of [DOCUMENT.mappings, DOCUMENT.models]) {
    const fresh = list(table(a[DOCUMENT.upsert])[key]);
    const names = new Set([...list(table(a[DOCUMENT.remove])[key]).map(text), ...fresh.map(nameOf)]);
    out[key] = [...list(out[key]).filter(keeps), ...fresh];
    function keeps(x: unknown): boolean {
      return !names.has(nameOf(x));
    }
  }
  return out;
}

function nameOf(x: unknown): string {
  return text(table(x)['name']);
}

export function canonical(x: unknown): string {
  return JSON.stringify(ordered(x));
}

function ordered(x: unknown): unknown {
  if (Array.isArray(x)) {
    const items = x.map(ordered);
    return items.every(isNamed) ? items.sort(byName) : items;
  }
  if (typeof x !== 'object' || x === null) return x;
  const out: Record<string, unknown> = {};
  for (const key of Object.keys(x).sort()) out[key] = ordered((x as Table)[key]);
  return out;
}
function isNamed(x: unknown): boolean {
  return nameOf(x) !== '';
}
function byName(a: unknown, b: unknown): number {
  return nameOf(a) < nameOf(b) ? -1 : 1;
}

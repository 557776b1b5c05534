/** Configuration documents of the platform: conversion to and from the wire form, lookup and amendment. */

import { DOCUMENT, ROUTE_KIND, REQUEST_LIMITS, ROUTE, MODEL } from '../platform/words.js';
import type { RequestKind } from './records.js';

/** A model and its share of the requests of a route. */
export type Share = { readonly model: string; readonly share: number };

/** A route of the configuration: which requests it matches and how they are served. */
export type ModelRoute = {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RequestKind;
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

/** Batch size and memory of a language model engine. */
export type Engine = { readonly batch: number; readonly kvTokens: number };

/** A model that routes may name. */
export type Model = {
  readonly name: string;
  readonly probePath: string;
  readonly maxConns: number;
  readonly coldS: number;
  readonly coldRateS: number;
  readonly engine: Engine | null;
};

/** What a caller may send, in bytes, and how long it may take or stay idle, in milliseconds. */
export type CallerLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
};

/** A configuration before it is put into wire form. */
export type Document = {
  readonly number: number;
  readonly mappings: readonly ModelRoute[];
  readonly models: readonly Model[];
  readonly limits?: CallerLimits;
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

/** The bounds that the platform sets on callers. */
export const CALLER_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

function limitsToWire(limits: CallerLimits): Record<string, unknown> {
  return {
    [REQUEST_LIMITS.headerBytes]: limits.headerBytes,
    [REQUEST_LIMITS.bodyBytes]: limits.bodyBytes,
    [REQUEST_LIMITS.headerMs]: limits.headerMs,
    [REQUEST_LIMITS.idleMs]: limits.idleMs,
  };
}

/** Converts a route to its wire form; a route with one share names its model directly. */
export function mappingToWire(modelRoute: ModelRoute): Record<string, unknown> {
  const onlyShare = modelRoute.shares.length === 1 ? modelRoute.shares[0] : undefined;
  return {
    [ROUTE.name]: modelRoute.name,
    [ROUTE.host]: modelRoute.host,
    [ROUTE.prefix]: modelRoute.prefix,
    [ROUTE.kind]: ROUTE_KIND[modelRoute.kind],
    [ROUTE.deadlineMs]: modelRoute.deadlineMs,
    [ROUTE.aimMs]: modelRoute.aimMs,
    [ROUTE.rank]: modelRoute.rank,
    ...(onlyShare ? { [ROUTE.model]: onlyShare.model } : { [ROUTE.shares]: modelRoute.shares.map(shareToWire) }),
    [ROUTE.attempts]: modelRoute.attempts,
    [ROUTE.pinned]: modelRoute.pinned,
    [ROUTE.resumable]: modelRoute.resumable,
    ...(modelRoute.kind === 'stream' ? { [ROUTE.pauseMs]: modelRoute.pauseMs } : {}),
    [ROUTE.homes]: [...modelRoute.homes],
  };
}

function shareToWire(share: Share): Record<string, unknown> {
  return { [ROUTE.model]: share.model, [ROUTE.share]: share.share };
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
    [DOCUMENT.limits]: limitsToWire(document.limits ?? CALLER_LIMITS),
  };
}

type JsonObject = Readonly<Record<string, unknown>>;

function asObject(value: unknown): JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as JsonObject) : {};
}
function asArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as readonly unknown[]) : [];
}
function asString(value: unknown): string {
  return typeof value === 'string' ? value : '';
}
function asNumber(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}

function shareFromWire(wire: unknown): Share {
  const object = asObject(wire);
  return { model: asString(object[ROUTE.model]), share: asNumber(object[ROUTE.share]) };
}

function kindFromWire(wire: unknown): RequestKind {
  if (wire === ROUTE_KIND.repeatable) return 'repeatable';
  return wire === ROUTE_KIND.stream ? 'stream' : 'once';
}

function mappingFromWire(wire: unknown): ModelRoute {
  const object = asObject(wire);
  const shares = asArray(object[ROUTE.shares]).map(shareFromWire);
  return {
    name: asString(object[ROUTE.name]),
    host: asString(object[ROUTE.host]),
    prefix: asString(object[ROUTE.prefix]),
    kind: kindFromWire(object[ROUTE.kind]),
    deadlineMs: asNumber(object[ROUTE.deadlineMs]),
    aimMs: asNumber(object[ROUTE.aimMs]),
    rank: asNumber(object[ROUTE.rank]),
    shares: shares.length > 0 ? shares : [{ model: asString(object[ROUTE.model]), share: 1 }],
    attempts: asNumber(object[ROUTE.attempts]),
    pinned: object[ROUTE.pinned] === true,
    resumable: object[ROUTE.resumable] === true,
    pauseMs: asNumber(object[ROUTE.pauseMs]),
    homes: asArray(object[ROUTE.homes]).map(asString),
  };
}

/** Returns the routes of a document in wire form. */
export function mappingsOf(document: unknown): readonly ModelRoute[] {
  return asArray(asObject(document)[DOCUMENT.mappings]).map(mappingFromWire);
}

/** Returns the version number of a document in wire form, or 0 if it has none. */
export function versionNumber(document: unknown): number {
  return asNumber(asObject(document)[DOCUMENT.number]);
}

/** Returns the route with the longest matching prefix, or null. */
export function mappingFor(document: unknown, host: string, path: string): ModelRoute | null {
  let best: ModelRoute | null = null;
  for (const modelRoute of mappingsOf(document)) {
    if (modelRoute.host !== host || !path.startsWith(modelRoute.prefix)) continue;
    if (!best || modelRoute.prefix.length > best.prefix.length) best = modelRoute;
  }
  return best;
}

/** Returns the document after an amendment, in which items of the same name replace the present ones. */
export function applyAmendment(document: unknown, amendment: unknown): Record<string, unknown> {
  const change = asObject(amendment);
  const out: Record<string, unknown> = { ...asObject(document), [DOCUMENT.number]: change[DOCUMENT.number] };
  for (const key of [DOCUMENT.mappings, DOCUMENT.models]) {
    const upserted = asArray(asObject(change[DOCUMENT.upsert])[key]);
    const replacedNames = new Set([
      ...asArray(asObject(change[DOCUMENT.remove])[key]).map(asString),
      ...upserted.map(nameOf),
    ]);
    out[key] = [...asArray(out[key]).filter(isKept), ...upserted];
    function isKept(item: unknown): boolean {
      return !replacedNames.has(nameOf(item));
    }
  }
  return out;
}

function nameOf(item: unknown): string {
  return asString(asObject(item)['name']);
}

/** Returns JSON in which the order of keys and of named items makes no difference. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(canonicalValue(value));
}

function canonicalValue(value: unknown): unknown {
  if (Array.isArray(value)) {
    const items = value.map(canonicalValue);
    return items.every(hasName) ? items.sort(byName) : items;
  }
  if (typeof value !== 'object' || value === null) return value;
  const out: Record<string, unknown> = {};
  for (const key of Object.keys(value).sort()) out[key] = canonicalValue((value as JsonObject)[key]);
  return out;
}
function hasName(item: unknown): boolean {
  return nameOf(item) !== '';
}
function byName(left: unknown, right: unknown): number {
  return nameOf(left) < nameOf(right) ? -1 : 1;
}

/**
 * Types of the served configuration: routes, models and limits of opaque requests. Checked by
 * `protocol/serving.ts`; the adapter of a platform translates its documents to these. `extra`
 * keeps fields that the platform may add, to be told back.
 */

/** Whether requests of a route may be repeated, run once, or stream. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** The share of a route's requests that a model takes; shares need not add up to 1. */
export type Share = { readonly model: string; readonly share: number };

/** A route: what it fits, what it allows, and where it leads. `attempts` counts the first one; `homes` are the regions its requests stay in, all if empty. */
export type RouteSettings = {
  readonly at: number;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly resumable: boolean;
  readonly pinned: boolean;
  readonly rank: number | null;
  readonly deadlineMs: number;
  readonly aimMs: number | null;
  readonly pauseMs: number | null;
  readonly attempts: number;
  readonly shares: readonly Share[];
  readonly split: boolean;
  readonly homes: readonly string[];
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** The engine of a model: requests in one batch, tokens of KV cache. */
export type EngineTraits = {
  readonly batch: number;
  readonly kvTokens: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** A model: how its workers are probed, their connections at most, and how they warm up. */
export type ModelTraits = {
  readonly at: number;
  readonly probePath: string;
  readonly maxConns: number;
  readonly coldS: number;
  readonly coldRateS: number;
  readonly engine: EngineTraits | null;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** Bounds on what callers may send. */
export type CallerLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** All that is served, by the operator's own number. */
export type Serving = {
  readonly number: number;
  readonly mappings: Readonly<Record<string, RouteSettings>>;
  readonly models: Readonly<Record<string, ModelTraits>>;
  readonly limits: CallerLimits;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** Limits before any configuration was submitted. */
export const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** Before any configuration was submitted: nothing is served. */
export const EMPTY_SERVING: Serving = { number: 0, mappings: {}, models: {}, limits: DEFAULT_LIMITS };

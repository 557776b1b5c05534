/**
 * Types of the served configuration: routes, models and limits of opaque requests. Validated by `protocol/serving.ts`;
 * a platform's adapter translates the platform's documents to these types. `extra` keeps additional fields of the
 * platform, so that they can be returned when the configuration is read.
 */

/** Whether requests of a route may run more than once, run at most once, or are streamed. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** The share of a route's requests that goes to a model; shares need not add up to 1. */
export type Share = { readonly model: string; readonly share: number };

/**
 * A route: the requests it matches, what it allows, and the models it leads to. `attempts` includes the first one;
 * `homes` are the regions that its requests stay in, all regions if empty.
 */
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

/** The engine of a model: requests in one batch (`batch`) and tokens of KV cache (`kvTokens`). */
export type EngineTraits = {
  readonly batch: number;
  readonly kvTokens: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** A model: the health check path of its workers, the maximum of connections to each, and how they warm up. */
export type ModelTraits = {
  readonly at: number;
  readonly probePath: string;
  readonly maxConns: number;
  readonly coldS: number;
  readonly coldRateS: number;
  readonly engine: EngineTraits | null;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** Limits on the requests of callers. */
export type CallerLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** Everything that is served, under the operator's own number of this configuration. */
export type Serving = {
  readonly number: number;
  readonly mappings: Readonly<Record<string, RouteSettings>>;
  readonly models: Readonly<Record<string, ModelTraits>>;
  readonly limits: CallerLimits;
  readonly extra?: Readonly<Record<string, unknown>>;
};

/** The limits before any configuration is submitted. */
export const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** The configuration before any is submitted: nothing is served. */
export const EMPTY_SERVING: Serving = { number: 0, mappings: {}, models: {}, limits: DEFAULT_LIMITS };

export type RouteKind = 'repeatable' | 'once' | 'stream';

export type Share = { readonly model: string; readonly share: number };

export type RouteMapping = {
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

export type EngineTraits = {
  readonly batch: number;
  readonly kvTokens: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export type ModelTraits = {
  readonly at: number;
  readonly probePath: string;
  readonly maxConns: number;
  readonly coldS: number;
  readonly coldRateS: number;
  readonly engine: EngineTraits | null;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export type CallerLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export type Serving = {
  readonly number: number;
  readonly mappings: Readonly<Record<string, RouteMapping>>;
  readonly models: Readonly<Record<string, ModelTraits>>;
  readonly limits: CallerLimits;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

export const EMPTY_SERVING: Serving = { number: 0, mappings: {}, models: {}, limits: DEFAULT_LIMITS };

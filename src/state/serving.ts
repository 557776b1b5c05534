export type DoorKind = 'repeatable' | 'once' | 'stream';

export type Share = { readonly model: string; readonly share: number };

export type DoorMapping = {
  readonly at: number;
  readonly host: string;
  readonly prefix: string;
  readonly kind: DoorKind;
  readonly resumable: boolean;
  readonly pinned: boolean;
  readonly rank: number | null;
  readonly deadlineMs: number;
  readonly aimMs: number | null;
  readonly pauseMs: number | null;
  readonly dispatches: number;
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
  readonly fitnessPath: string;
  readonly maxConns: number;
  readonly coldS: number;
  readonly coldRateS: number;
  readonly engine: EngineTraits | null;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export type OriginLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export type Serving = {
  readonly number: number;
  readonly mappings: Readonly<Record<string, DoorMapping>>;
  readonly models: Readonly<Record<string, ModelTraits>>;
  readonly limits: OriginLimits;
  readonly extra?: Readonly<Record<string, unknown>>;
};

export const DEFAULT_LIMITS: OriginLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

export const EMPTY_SERVING: Serving = { number: 0, mappings: {}, models: {}, limits: DEFAULT_LIMITS };

export type EdgeTuning = {
  readonly tokensPerMs: number;
  readonly farMs: number;
  readonly crossRegionMs: number;
  readonly crossZoneMs: number;
  readonly preemptiveMs: number;
  readonly knownTokens: number;
  readonly coldGuard: number;
  readonly connGuard: number;
  readonly connectMs: number;
  readonly retryMs: number;
  readonly lineMost: number;
  readonly lineShare: number;
  readonly coldOver: number;
  readonly coldSlack: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
};

export const EDGE_TUNING: EdgeTuning = {
  tokensPerMs: 40,
  farMs: 80,
  crossRegionMs: 250,
  crossZoneMs: 20,
  preemptiveMs: 60,
  knownTokens: 150_000,
  coldGuard: 0.8,
  connGuard: 0.85,
  connectMs: 600,
  retryMs: 250,
  lineMost: 200,
  lineShare: 0.22,
  coldOver: 1.5,
  coldSlack: 5,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowMs: 10_000,
};

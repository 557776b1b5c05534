/** Constants of the estimate of a request's cost at a worker. */

/** One figure each; the name says its unit. */
export type EdgeTuning = {
  readonly tokensPerMs: number;
  readonly farMs: number;
  readonly bytesPerMs: number;
  readonly bytesPerToken: number;
  readonly spreadMinimum: number;
  readonly spreadFraction: number;
  readonly sharedMs: number;
  readonly stallTokens: number;
  readonly stallMs: number;
  readonly kvFraction: number;
  readonly kvMs: number;
  readonly overMs: number;
  readonly crowdedMs: number;
  readonly doubtMs: number;
  readonly doubtFromMs: number;
  readonly doubtForMs: number;
  readonly dialMs: number;
  readonly coldMs: number;
  readonly failMs: number;
  readonly runsMs: number;
  readonly spoiltLeast: number;
  readonly spoiltMs: number;
  readonly crossZoneMs: number;
  readonly preemptiveMs: number;
  readonly knownTokens: number;
  readonly coldGuard: number;
  readonly connectionGuard: number;
  readonly connectMs: number;
  readonly connectLeastMs: number;
  readonly responseTimeoutMs: number;
  readonly redialMs: number;
  readonly redialers: number;
  readonly retryMs: number;
  readonly backMs: number;
  readonly awayFraction: number;
  readonly openingMs: number;
  readonly maxQueueLength: number;
  readonly queueTimeFraction: number;
  readonly coldOver: number;
  readonly coldSlack: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
};

/** The figures in use. */
export const EDGE_TUNING: EdgeTuning = {
  tokensPerMs: 40,
  farMs: 80,
  bytesPerMs: 1_100,
  bytesPerToken: 12,
  spreadMinimum: 2,
  spreadFraction: 0.34,
  sharedMs: 0.03,
  stallTokens: 16_000,
  stallMs: 12,
  kvFraction: 0.9,
  kvMs: 800,
  overMs: 400,
  crowdedMs: 300,
  doubtMs: 300,
  doubtFromMs: 700,
  doubtForMs: 2_000,
  dialMs: 10,
  coldMs: 60,
  failMs: 50,
  runsMs: 16_000,
  spoiltLeast: 2,
  spoiltMs: 2_000,
  crossZoneMs: 20,
  preemptiveMs: 60,
  knownTokens: 150_000,
  coldGuard: 0.8,
  connectionGuard: 0.85,
  connectMs: 600,
  connectLeastMs: 240,
  responseTimeoutMs: 500,
  redialMs: 2_000,
  redialers: 8,
  retryMs: 250,
  backMs: 1_200,
  awayFraction: 0.3,
  openingMs: 1_200,
  maxQueueLength: 200,
  queueTimeFraction: 0.22,
  coldOver: 1.5,
  coldSlack: 5,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowMs: 10_000,
};

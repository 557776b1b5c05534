/**
 * Constants of the forwarding of opaque requests: the estimate of a request's cost at a worker, connections, queues and
 * retries. The tools read and replace them by their names.
 */

/** One value each. Times are in milliseconds, costs in milliseconds of delay. */
export type EdgeTuning = {
  /** Prompt tokens that a worker reads per millisecond. */
  readonly tokensPerMs: number;
  /** Network delay to another region that has not been measured yet. */
  readonly farMs: number;
  /** Bytes transferred per millisecond between regions. */
  readonly bytesPerMs: number;
  /** Bytes of the response per output token. */
  readonly bytesPerToken: number;
  /** Minimum number of workers that share the prompts with the same first part. */
  readonly spreadMinimum: number;
  /** Fraction of the workers that share the prompts with the same first part. */
  readonly spreadFraction: number;
  /** Cost of each token of the shared parts that the worker has not cached. */
  readonly sharedMs: number;
  /** Above this many tokens to read, the reading delays the requests that run on the worker. */
  readonly stallTokens: number;
  /** Cost of that delay per running request. */
  readonly stallMs: number;
  /** Fraction of the KV cache above which a request costs extra. */
  readonly kvFraction: number;
  /** This extra cost, times the fraction in use. */
  readonly kvMs: number;
  /** Cost of each request above the slots of the worker. */
  readonly overMs: number;
  /** Cost of a worker whose slots are all in use; grows with the square of the fraction in use. */
  readonly crowdedMs: number;
  /** Cost of a worker that was recently unresponsive. */
  readonly doubtMs: number;
  /** A worker that was unresponsive for longer than this counts as recently unresponsive once it is reachable. */
  readonly doubtFromMs: number;
  /** How long it counts as such. */
  readonly doubtForMs: number;
  /** Cost of a worker to which no connection is open. */
  readonly dialMs: number;
  /** Cost of a cold worker. */
  readonly coldMs: number;
  /** Cost of each consecutive failure of the worker. */
  readonly failMs: number;
  /** Window in which runs and bad runs are counted. */
  readonly runsMs: number;
  /** Minimum number of bad runs from which they count. */
  readonly spoiltLeast: number;
  /** Cost of a worker whose recent runs were all bad, times the fraction that was. */
  readonly spoiltMs: number;
  /** Network delay to another zone of the same region. */
  readonly crossZoneMs: number;
  /** Cost of a worker in a zone where spot machines were recently reclaimed. */
  readonly preemptiveMs: number;
  /** Capacity of the record of the prompts that a worker has cached, in tokens. */
  readonly knownTokens: number;
  /** Fraction of the requests permitted on a cold worker that is used. */
  readonly coldGuard: number;
  /** Fraction of a worker's maximum number of connections that is used. */
  readonly connectionGuard: number;
  /** Maximum time to connect to a worker. */
  readonly connectMs: number;
  /** Connect timeout without network delay; three times the network delay is added to it. */
  readonly connectLeastMs: number;
  /** Time without data from a worker after which the proxy checks whether it is reachable. */
  readonly responseTimeoutMs: number;
  /** Maximum time until an unresponsive worker is tried again. */
  readonly redialMs: number;
  /** Number of proxies that try an unresponsive worker that often; the others try it less often. */
  readonly redialers: number;
  readonly retryMs: number;
  /** Base of the Retry-After delay of rejected requests. */
  readonly backMs: number;
  /** Fraction of the remaining time after which to retry a request for which no worker is in reach. */
  readonly awayFraction: number;
  /** How long a request waits for the routes while the proxy starts. */
  readonly openingMs: number;
  /** Maximum number of requests in the queue. */
  readonly maxQueueLength: number;
  /** Fraction of the route's latency target that a request may wait in the queue for its first attempt. */
  readonly queueTimeFraction: number;
  /** Requests permitted on a cold worker within a second, as a multiple of its configured rate. */
  readonly coldOver: number;
  /** Requests permitted on a cold worker in addition. */
  readonly coldSlack: number;
  /** Permitted retries as a fraction of the first attempts within the window. */
  readonly retryRatio: number;
  /** Retries permitted in addition, shared by all proxies. */
  readonly retrySlack: number;
  /** Window of the retry limit. */
  readonly retryWindowMs: number;
};

/** The default values. */
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

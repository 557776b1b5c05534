/**
 * State of a request that the relay forwards, from its arrival to the last byte of its response: properties that the
 * caller and the route determine, and state that changes from attempt to attempt.
 */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { Repeatability } from '../../state/forwarding/attempt-outcome.js';
import type { PrefixBlock } from '../../state/discovery/prefix-cache.js';
import type { MatchedRoute } from '../../state/configuration/route-table.js';
import type { RouteSettings } from '../../state/configuration/serving.js';
import type { OpaqueRequest } from '../../transport/opaque-http.js';
import type { Rng } from '../../transport/rng.js';

/** A request in progress. Times are in milliseconds of the process's monotonic clock. */
export type RelayedRequest = {
  readonly incoming: OpaqueRequest;
  readonly route: MatchedRoute;
  readonly model: string;
  readonly body: Buffer;
  readonly repeatability: Repeatability;
  readonly stream: boolean;
  /** The caller's id for this attempt; each response of a worker must carry it. */
  readonly id: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly parts: readonly PrefixBlock[];
  readonly tokens: number;
  readonly outTokens: number;
  /** Workers that were tried before. They are skipped while there are others. */
  readonly avoid: Set<string>;
  /** Workers to which the request was written. A late response of theirs may carry its id. */
  readonly writtenTo: Set<string>;
  /** Number of attempts in which the request was written. */
  attempts: number;
  /** True while a further attempt has been taken from the retry budget but not been written yet. */
  hasReservedAttempt: boolean;
  mayHaveRun: boolean;
  /** True once the final response was sent because this process ends. Nothing more may be sent to a worker. */
  isAborted: boolean;
  /** True once the head of a response has been forwarded to the caller. */
  isResponseStarted: boolean;
  /** Number of the last event that was forwarded, or that the caller reported to have. */
  lastEvent: number | null;
  /** True once an event without a number was forwarded: the stream can't be resumed after its last event. */
  hasUnnumberedEvent: boolean;
};

const DEFAULT_RANK = 5;

/** Creates the state of a request whose body has been read. */
export function createRelayedRequest(
  headerNames: HeaderNames,
  rng: Rng,
  incoming: OpaqueRequest,
  route: MatchedRoute,
  id: string,
  body: Buffer,
  arrivedAt: number,
): RelayedRequest {
  const { settings: routeSettings } = route;
  const [tokens, outTokens] = tokenCountsOf(incoming.get(headerNames.tokens));
  const stream = routeSettings.kind === 'stream';
  return {
    incoming,
    route,
    model: chooseModelByShare(routeSettings, rng),
    body,
    repeatability:
      routeSettings.kind === 'repeatable' ? 'repeatable' : stream && routeSettings.resumable ? 'resumable' : 'once',
    stream,
    id,
    arrivedAt,
    deadlineAt: arrivedAt + deadlineMsOf(incoming.get(headerNames.deadline), routeSettings.deadlineMs),
    parts: prefixBlocksOf(incoming.get(headerNames.prefix)),
    tokens,
    outTokens,
    avoid: new Set(),
    writtenTo: new Set(),
    attempts: 0,
    hasReservedAttempt: false,
    mayHaveRun: false,
    isAborted: false,
    isResponseStarted: false,
    lastEvent: parseNumber(incoming.get(headerNames.lastEvent)),
    hasUnnumberedEvent: false,
  };
}

/** Returns whether the request was aborted or its caller has disconnected, so that nobody waits for a response. */
export function isCancelled(request: RelayedRequest): boolean {
  return request.isAborted || request.incoming.responseWriter.gone();
}

/** Returns the urgency class; class 0 is served first. */
export function rankOf(request: RelayedRequest): number {
  return request.route.settings.rank ?? DEFAULT_RANK;
}

/** Parses the value of a header as a finite number. Returns null if there is none. */
export function parseNumber(text: string | null): number | null {
  if (text === null || text.trim() === '') return null;
  const number = Number(text);
  return Number.isFinite(number) ? number : null;
}

function deadlineMsOf(text: string | null, routeMs: number): number {
  const requestedMs = parseNumber(text);
  return requestedMs !== null && requestedMs > 0 ? Math.min(routeMs, requestedMs) : routeMs;
}

function chooseModelByShare(routeSettings: RouteSettings, rng: Rng): string {
  let totalShares = 0;
  for (const share of routeSettings.shares) totalShares += share.share;
  let remaining = rng.next() * totalShares;
  for (const share of routeSettings.shares) {
    remaining -= share.share;
    if (remaining < 0) return share.model;
  }
  return routeSettings.shares[routeSettings.shares.length - 1]?.model ?? '';
}

function tokenCountsOf(text: string | null): [number, number] {
  const [prompt, output] = (text ?? '').split(',');
  return [parseNumber(prompt ?? null) ?? 0, parseNumber(output ?? null) ?? 0];
}

function prefixBlocksOf(text: string | null): PrefixBlock[] {
  const blocks: PrefixBlock[] = [];
  for (const entry of (text ?? '').split(',')) {
    const separator = entry.lastIndexOf(':');
    const tokens = Number(entry.slice(separator + 1));
    if (separator > 0 && Number.isFinite(tokens)) blocks.push({ id: entry.slice(0, separator).trim(), tokens });
  }
  return blocks;
}

/** A stand-in caller: sends requests to the edges, retries them as the platform allows and records each attempt. */

import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { randomInt, shuffled } from '../src/transport/rng.js';
import type { Rng } from '../src/transport/rng.js';
import { API_PATH, HEADER, QUERY_PARAMETER, DIRECTORY_RESPONSE } from '../platform/words.js';
import { sendRequest } from './ask.js';
import { openConnection } from './client.js';
import type { ExchangeResult, Connection } from './client.js';
import { createEventReader } from './events.js';
import type { AttemptEnd, EventSeen, RequestKind, Records } from './records.js';
import { sha256Hex } from './incoming.js';

/** A request that a caller is to send, and how it retries it. */
export type RequestSpec = {
  readonly host: string;
  readonly path: string;
  readonly kind: RequestKind;
  readonly resumable: boolean;
  readonly deadlineMs: number;
  readonly aimMs: number;
  readonly pauseMs: number;
  readonly tries: number;
  readonly bytes: number;
  readonly tokens: string | null;
  readonly prefix: string | null;
  readonly chunked: boolean;
};

export const REQUEST_DEFAULTS = {
  resumable: false,
  deadlineMs: 6_000,
  aimMs: 1_000,
  pauseMs: 600,
  tries: 2,
  bytes: 600,
  tokens: null,
  prefix: null,
  chunked: false,
} as const;

/** Where a caller is, which directories it asks and how it treats connections and TTLs. */
export type CallerSpec = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly directories: readonly string[];
  readonly keepConnections: boolean;
  /** Reuses a connection until the edge closes it, even if the directory no longer lists its address. */
  readonly ignoresRemoval?: boolean;
  readonly ttlFactor: number;
  readonly ttlMaxS: number;
};

/** The outcome of a call over all its attempts; times in milliseconds since the call began. */
export type CallResult = {
  readonly succeeded: boolean;
  readonly tries: number;
  readonly status: number;
  readonly firstMs: number | null;
  readonly wholeMs: number;
};

/** A client of the edges that follows the caller rules of the platform. */
export type Caller = {
  /** Sends a request through an edge from the directory, with retries. */
  readonly call: (request: RequestSpec) => Promise<CallResult>;
  /** Sends a request once, to the given edge. */
  readonly callEdge: (edge: string, request: RequestSpec) => Promise<CallResult>;
  /** Returns the edge addresses; asks the directory again once the TTL is over. */
  readonly resolved: () => Promise<readonly string[]>;
  readonly inFlight: () => number;
  readonly close: () => void;
};

export type CallerDeps = { readonly clock: Clock; readonly rng: Rng; readonly records: Records };

/** Responses with one of these statuses promise that the request was not executed. */
const NOT_EXECUTED_STATUSES: readonly number[] = [429, 503, 408, 421];
/** Responses with one of these statuses are never retried. */
const FINAL_STATUSES: readonly number[] = [400, 401, 404, 413, 431];
const DIRECTORY_TIMEOUT_MS = 1_000;
/** An address that failed is avoided for this long while others are available. */
const AVOID_FAILED_ADDRESS_MS = 2_000;

/**
 * The outcome of one attempt: `firstMs` is the time from its first byte to its end; `lastEvent` is the id of the last
 * event received, after which a resumable stream continues.
 */
type AttemptResult = {
  readonly end: AttemptEnd;
  readonly status: number;
  readonly retryAfterMs: number;
  readonly lastEvent: number;
  readonly firstMs: number | null;
  readonly mayRetry: boolean;
};

/** Creates a caller that resolves no address before its first call. */
export function createCaller(spec: CallerSpec, deps: CallerDeps): Caller {
  const { clock, rng, records } = deps;
  let addresses: readonly string[] = [];
  let addressesFreshUntil = -1;
  let pendingRefresh: Promise<void> | null = null;
  let callCount = 0;
  let inFlightCount = 0;
  const avoidUntil = new Map<string, number>();
  const idleConnections: Connection[] = [];

  async function refreshAddresses(): Promise<void> {
    const path = `${API_PATH.resolve}?${QUERY_PARAMETER.name}=caller.example&${QUERY_PARAMETER.region}=${spec.region}&${QUERY_PARAMETER.zone}=${spec.zone}`;
    for (const directory of spec.directories.slice(0, 3)) {
      const reply = await sendRequest(directory, clock, 'GET', path, DIRECTORY_TIMEOUT_MS);
      const body =
        reply?.status === 200 && typeof reply.body === 'object' && reply.body !== null
          ? (reply.body as Readonly<Record<string, unknown>>)
          : {};
      const listedAddresses = body[DIRECTORY_RESPONSE.addresses];
      const ttlS = body[DIRECTORY_RESPONSE.ttlS];
      if (!Array.isArray(listedAddresses) || listedAddresses.length === 0 || typeof ttlS !== 'number') continue;
      addresses = listedAddresses.filter(isString).slice(0, 64);
      addressesFreshUntil = clock.mono() + Math.min(ttlS, spec.ttlMaxS) * 1_000 * spec.ttlFactor;
      closeRemovedConnections();
      return;
    }
  }
  function isString(item: unknown): item is string {
    return typeof item === 'string';
  }
  function closeRemovedConnections(): void {
    for (const connection of idleConnections.splice(0)) {
      if (mayKeep(connection)) idleConnections.push(connection);
      else connection.close();
    }
  }
  function mayKeep(connection: Connection): boolean {
    return connection.isUsable() && (spec.ignoresRemoval === true || addresses.includes(connection.address));
  }
  async function resolveAddresses(): Promise<readonly string[]> {
    if (clock.mono() < addressesFreshUntil && addresses.length > 0) return addresses;
    pendingRefresh ??= refreshAddresses();
    await pendingRefresh;
    pendingRefresh = null;
    return addresses;
  }

  async function acquireConnection(mustBeNew: boolean): Promise<Connection | null> {
    const known = await resolveAddresses();
    while (!mustBeNew && idleConnections.length > 0) {
      const connection = idleConnections.pop();
      if (connection?.isUsable()) return connection;
      connection?.close();
    }
    const now = clock.mono();
    function isNotAvoided(address: string): boolean {
      return (avoidUntil.get(address) ?? 0) <= now;
    }
    const preferred = known.filter(isNotAvoided);
    const edge = shuffled(rng, preferred.length > 0 ? preferred : known)[0];
    return edge === undefined ? null : connectTo(edge);
  }
  async function connectTo(edge: string): Promise<Connection | null> {
    const connection = await openConnection(edge, clock, { onStrayBytes });
    if (!connection) avoidUntil.set(edge, clock.mono() + AVOID_FAILED_ADDRESS_MS);
    return connection;
    function onStrayBytes(text: string, isRequestPending: boolean): void {
      records.add({ what: 'stray', edge, attempt: isRequestPending ? 'waiting' : null, text });
    }
  }

  function newAttemptId(): string {
    let out = '';
    for (let i = 0; i < 16; i += 1) out += randomInt(rng, 16).toString(16);
    return out;
  }

  async function call(request: RequestSpec): Promise<CallResult> {
    const startedAt = clock.mono();
    const callName = `${spec.name}/${(callCount += 1)}`;
    const deadlineAt = startedAt + request.deadlineMs;
    let lastEvent = 0;
    let firstMs: number | null = null;
    let lastResult: AttemptResult | null = null;
    let attempts = 0;
    inFlightCount += 1;
    for (let attemptNumber = 1; attemptNumber <= request.tries + 1; attemptNumber += 1) {
      const remainingMs = deadlineAt - clock.mono();
      if (remainingMs <= 0) break;
      const connection = await acquireConnection(attemptNumber > 1);
      if (!connection) {
        lastResult = { end: 'noConnection', status: 0, retryAfterMs: 0, lastEvent, firstMs: null, mayRetry: true };
        await delay(clock, Math.min(100, remainingMs));
        continue;
      }
      attempts += 1;
      lastResult = await sendAttempt(connection, request, callName, remainingMs, lastEvent, false);
      if (lastResult.firstMs !== null && firstMs === null) firstMs = clock.mono() - startedAt - lastResult.firstMs;
      lastEvent = lastResult.lastEvent;
      if (!lastResult.mayRetry) break;
      await delay(clock, Math.min(lastResult.retryAfterMs, (deadlineAt - clock.mono()) / 3));
    }
    inFlightCount -= 1;
    const served =
      lastResult !== null && lastResult.end === 'whole' && lastResult.status >= 200 && lastResult.status < 300;
    return {
      succeeded: served,
      tries: attempts,
      status: lastResult?.status ?? 0,
      firstMs,
      wholeMs: clock.mono() - startedAt,
    };
  }

  async function callEdge(edge: string, request: RequestSpec): Promise<CallResult> {
    const startedAt = clock.mono();
    const connection = await connectTo(edge);
    if (!connection) return { succeeded: false, tries: 1, status: 0, firstMs: null, wholeMs: 0 };
    const result = await sendAttempt(
      connection,
      request,
      `${spec.name}/${(callCount += 1)}`,
      request.deadlineMs,
      0,
      true,
    );
    connection.close();
    return {
      succeeded: result.end === 'whole' && result.status >= 200 && result.status < 300,
      tries: 1,
      status: result.status,
      firstMs: null,
      wholeMs: clock.mono() - startedAt,
    };
  }

  async function sendAttempt(
    connection: Connection,
    request: RequestSpec,
    callName: string,
    remainingMs: number,
    lastEvent: number,
    isDirect: boolean,
  ): Promise<AttemptResult> {
    const attemptId = newAttemptId();
    const body = Buffer.from(`${attemptId} `.repeat(Math.ceil(request.bytes / 17)).slice(0, request.bytes));
    records.add({
      what: 'asked',
      attempt: attemptId,
      call: callName,
      edge: connection.address,
      zone: spec.zone,
      region: spec.region,
      method: 'POST',
      host: request.host,
      path: request.path,
      digest: sha256Hex(body),
      deadlineMs: remainingMs,
      lastEvent,
      direct: isDirect,
    });
    const startedAt = clock.mono();
    let firstByteAt: number | null = null;
    const events = createEventReader();
    function onBody(part: Buffer): void {
      if (firstByteAt === null) firstByteAt = clock.mono();
      if (request.kind === 'stream') events.push(part);
    }
    function onSent(): void {
      records.add({ what: 'sent', attempt: attemptId });
    }
    const inactivityTimeoutMs =
      request.kind === 'stream' ? Math.max(2_000, 4 * request.aimMs, 8 * request.pauseMs) : null;
    const result = await connection.exchange(
      serializeRequest(request, attemptId, body, remainingMs, lastEvent),
      { deadlineMs: remainingMs, inactivityTimeoutMs },
      onBody,
      onSent,
    );
    recordAnswered(attemptId, result, events.seen());
    if (spec.keepConnections && !isDirect && mayKeep(connection)) idleConnections.push(connection);
    else connection.close();
    if (result.end !== 'whole') avoidUntil.set(connection.address, clock.mono() + AVOID_FAILED_ADDRESS_MS);
    const eventsSeen = events.seen();
    const status = result.head?.status ?? 0;
    return {
      end: result.end,
      status,
      retryAfterMs: Number(result.head?.headers.get(HEADER.retryAfter) ?? 0) * 1_000,
      lastEvent: eventsSeen[eventsSeen.length - 1]?.id ?? lastEvent,
      firstMs: firstByteAt === null ? null : clock.mono() - firstByteAt,
      mayRetry: clock.mono() - startedAt < remainingMs && mayRetry(request, result, eventsSeen.length > 0),
    };
  }

  function recordAnswered(attemptId: string, result: ExchangeResult, events: readonly EventSeen[]): void {
    const headers = result.head?.headers;
    records.add({
      what: 'answered',
      attempt: attemptId,
      end: result.end,
      status: result.head?.status ?? 0,
      seal: headers?.get(HEADER.seal) ?? null,
      echo: headers?.get(HEADER.attemptId) ?? null,
      digest: sha256Hex(result.body),
      events,
    });
  }

  function close(): void {
    for (const connection of idleConnections.splice(0)) connection.close();
  }
  function getInFlightCount(): number {
    return inFlightCount;
  }
  return { call, callEdge, resolved: resolveAddresses, inFlight: getInFlightCount, close };
}

/** Tells whether the platform allows another attempt after this result. */
function mayRetry(request: RequestSpec, result: ExchangeResult, hasEvents: boolean): boolean {
  const status = result.head?.status ?? 0;
  if (result.end === 'whole' && (status < 300 || FINAL_STATUSES.includes(status))) return false;
  if (result.end === 'whole' && NOT_EXECUTED_STATUSES.includes(status)) return true;
  if (request.kind === 'repeatable') return true;
  return request.resumable && hasEvents;
}

function serializeRequest(
  request: RequestSpec,
  attemptId: string,
  body: Buffer,
  remainingMs: number,
  lastEvent: number,
): readonly Buffer[] {
  const lines = [`POST ${request.path} HTTP/1.1`, `Host: ${request.host}`, `X-Millfield-Attempt-Id: ${attemptId}`];
  if (request.tokens !== null) lines.push(`X-Millfield-Model: m`, `X-Millfield-Token-Counts: ${request.tokens}`);
  if (request.prefix !== null) lines.push(`X-Millfield-Prompt-Prefix: ${request.prefix}`);
  lines.push(`X-Millfield-Deadline-Ms: ${Math.round(remainingMs)}`);
  if (lastEvent > 0) lines.push(`Last-Event-Id: ${lastEvent}`);
  lines.push(request.chunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`);
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
  if (!request.chunked) return [head, body];
  const half = Math.ceil(body.length / 2);
  return [head, encodeChunk(body.subarray(0, half)), encodeChunk(body.subarray(half)), Buffer.from('0\r\n\r\n')];
}
function encodeChunk(part: Buffer): Buffer {
  return part.length === 0
    ? Buffer.alloc(0)
    : Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')]);
}

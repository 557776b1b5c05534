/**
 * One attempt of a relayed request at one worker: sends it, watches the worker, and ends with a typed
 * outcome. Whoever calls decides what follows. The attempt ends its connection whenever the outcome is
 * known before the answer's end, so that nothing of a late answer can meet another request.
 */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import type { Standstill } from '../../state/forwarding/standstill.js';
import type { RegistryRow, WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { ConnectionPool, RawHeaders, SendEvents, SendError, Sending, Sent } from '../../transport/opaque-http.js';
import { createAnswerReader } from './response-reader.js';
import type { CallerAnswers, BufferedResponse } from './caller-responses.js';
import { hasBody, requestHeaders } from './forwarded-headers.js';
import type { RelayedRequest } from './relayed-request.js';
import type { UnresponsiveWorkerWatch, WatchedAttempt } from '../discovery/unresponsive-worker-watch.js';
import type { ReservedWorker } from './worker-queue.js';

/** How an attempt ended; `answer` is set for a held answer, be it a success or a failure. */
export type AttemptEnd = { readonly outcome: AttemptOutcome; readonly answer: BufferedResponse | null };

export type AttemptDeps = {
  readonly statuses: HeaderNames;
  readonly registry: WorkerRegistry;
  readonly connectionPool: ConnectionPool;
  readonly watch: UnresponsiveWorkerWatch;
  readonly standstill: Standstill;
  readonly answers: CallerAnswers;
  readonly clock: Clock;
  readonly log: Log;
  /** True if an attempt whose worker can't be reached is to be given up for another one. */
  readonly abandonsUnresponsive: (request: RelayedRequest) => boolean;
  /** Told at the end of each attempt, when its place is free again. */
  readonly onEnd: () => void;
};

export type Attempt = (request: RelayedRequest, reserved: ReservedWorker) => Promise<AttemptEnd>;

/** A worker that turned a request away is passed over for so long. */
const FULL_MS = 60;
/** The worker's own status at the deadline: no sign of trouble. */
const GATEWAY_TIMEOUT = 504;

export function createAttempt(deps: AttemptDeps): Attempt {
  const { statuses, registry, connectionPool, watch, standstill, clock, log } = deps;

  function attempt(request: RelayedRequest, reserved: ReservedWorker): Promise<AttemptEnd> {
    function start(resolve: (end: AttemptEnd) => void): void {
      run(request, reserved, resolve);
    }
    return new Promise(start);
  }

  function run(
    request: RelayedRequest,
    { row, reservation }: ReservedWorker,
    resolve: (end: AttemptEnd) => void,
  ): void {
    const { incoming } = request;
    const reader = createAnswerReader(statuses, request, deps.answers);
    const call: WatchedAttempt = { sentAt: clock.mono(), lastEventAt: 0, onUnresponsive };
    const leftMs = request.deadlineAt - clock.mono();
    let sent: Sent | null = null;
    let written = false;
    let freshConnection = false;
    let over = false;
    watch.begin(row, call);
    const deadline = clock.timer(Math.max(1, leftMs), late);

    function finish(outcome: AttemptOutcome): void {
      if (over) return;
      over = true;
      deadline.cancel();
      watch.end(row, call);
      reservation.end();
      recordOutcome(row, outcome, reader.status());
      const answer = isBuffered(request, outcome) ? reader.buffered() : null;
      resolve({ outcome, answer });
      deps.onEnd();
    }
    function abandon(outcome: AttemptOutcome): void {
      if (over) return;
      finish(outcome);
      sent?.abort();
    }

    function late(): void {
      if (over) return;
      if (written)
        log.warn(
          lateText(request, row, leftMs, reader.status(), clock.mono() - Math.max(call.lastEventAt, call.sentAt)),
        );
      abandon(written ? { tag: 'deadline' } : { tag: 'withheld' });
    }
    function callerGone(): void {
      abandon({ tag: 'callerGone' });
    }
    function onUnresponsive(): void {
      if (!over && written && deps.abandonsUnresponsive(request)) abandon({ tag: 'silent' });
    }

    /** Called when the connection is up. Null holds the request back; else it counts as sent from here. */
    function headers(): RawHeaders | null {
      const now = clock.mono();
      if (over || now >= request.deadlineAt || standstill.observe(now) !== null || incoming.answerer.gone())
        return null;
      written = true;
      request.attempts += 1;
      request.writtenTo.add(row.entry.id);
      request.reserved = false;
      return requestHeaders(statuses, request, row.entry.id, request.deadlineAt - now);
    }
    function connected(ms: number): void {
      freshConnection = true;
      registry.recordConnectTime(row, ms);
    }
    function head(status: number, raw: RawHeaders, get: (name: string) => string | null): void {
      if (over) return;
      const coldMs = Number(get(statuses.coldMs) ?? 0);
      if (coldMs > 0) registry.markCold(row, clock.mono(), coldMs);
      const outcome = reader.head(status, raw, get, freshConnection);
      if (outcome) abandon(outcome);
    }
    function data(chunk: Buffer): void {
      if (over) return;
      call.lastEventAt = clock.mono();
      const outcome = reader.data(chunk);
      if (request.answerBegun) reservation.read();
      if (outcome) abandon(outcome);
    }
    function end(): void {
      if (!over) finish(reader.end());
    }
    function failed(error: SendError): void {
      if (!over) finish(error.tag === 'reset' || error.tag === 'garbled' ? reader.broken(error.tag) : error);
    }

    incoming.answerer.onGone(callerGone);
    const sending: Sending = {
      address: row.entry.address,
      method: incoming.method,
      target: incoming.target,
      headers,
      body: request.body.length > 0 || hasBody(incoming) ? request.body : null,
      newConnection: request.writtenTo.has(row.entry.id),
      connectMs: Math.min(leftMs, registry.connectMs(row)),
    };
    const events: SendEvents = { connected, head, data, end, failed };
    sent = connectionPool.send(sending, events);
    if (over) sent.abort();
  }

  /** Tells the registry what the outcome says of the worker. */
  function recordOutcome(row: RegistryRow, outcome: AttemptOutcome, status: number): void {
    const now = clock.mono();
    switch (outcome.tag) {
      case 'notConnected':
        watch.unreached(row);
        return;
      case 'wrongWorker':
        registry.markRelocated(row);
        return;
      case 'notExecuted':
        registry.markFull(row, now, FULL_MS);
        return;
      case 'answered':
        registry.recordServed(row, now);
        return;
      case 'workerFailed':
        if (status >= 500 && status !== GATEWAY_TIMEOUT) registry.recordSpoiled(row, now);
        return;
      case 'garbled':
      case 'answerCut':
      case 'resetWritten':
        registry.recordSpoiled(row, now);
        return;
      case 'withheld':
      case 'resetUnwritten':
      case 'resetPartlyWritten':
      case 'silent':
      case 'deadline':
      case 'callerGone':
    }
  }
  return attempt;
}

function isBuffered(request: RelayedRequest, outcome: AttemptOutcome): boolean {
  return outcome.tag === 'workerFailed' || (outcome.tag === 'answered' && !request.stream);
}

function lateText(request: RelayedRequest, row: RegistryRow, leftMs: number, status: number, quietMs: number): string {
  const last = request.lastEvent ?? 'none';
  return `${row.entry.id} gave ${request.route.name} ${request.id} no end in ${Math.round(leftMs)} ms: status ${status}, last event ${last}, silent for ${Math.round(quietMs)} ms.`;
}

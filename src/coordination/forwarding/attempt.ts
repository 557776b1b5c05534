/**
 * One attempt to forward a request to one worker: sends the request, watches the worker, and ends with a typed outcome.
 * The calling code decides what follows. If the outcome is known before the end of the response, the attempt closes its
 * connection, so that no bytes of a late response can be taken for the response to another request.
 */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import type { ResumeDelay } from '../../state/forwarding/resume-delay.js';
import type { RegistryRow, WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log, LogFields } from '../../transport/log.js';
import type {
  ConnectionPool,
  RawHeaders,
  SendEvents,
  SendError,
  OutgoingRequest,
  PendingSend,
} from '../../transport/opaque-http.js';
import { createResponseReader } from './response-reader.js';
import type { ResponseReader } from './response-reader.js';
import type { CallerResponses, BufferedResponse } from './caller-responses.js';
import { hasBody, requestHeaders } from './forwarded-headers.js';
import { isCancelled } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';
import type { UnresponsiveWorkerWatch, WatchedAttempt } from '../discovery/unresponsive-worker-watch.js';
import type { ReservedWorker } from './worker-queue.js';

/** How an attempt ended; `response` is set if the response, successful or not, was buffered. */
export type AttemptEnd = { readonly outcome: AttemptOutcome; readonly response: BufferedResponse | null };

/** Dependencies of an attempt. */
export type AttemptDeps = {
  readonly headerNames: HeaderNames;
  readonly registry: WorkerRegistry;
  readonly connectionPool: ConnectionPool;
  readonly watch: UnresponsiveWorkerWatch;
  readonly resumeDelay: ResumeDelay;
  readonly callerResponses: CallerResponses;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns true if an attempt at an unreachable worker is abandoned in favour of another attempt. */
  readonly mayAbandonUnresponsive: (request: RelayedRequest) => boolean;
  /** Called at the end of each attempt, after its slot was released. */
  readonly onSlotReleased: () => void;
};

/** Makes one attempt. The promise resolves when the outcome is known, and never rejects. */
export type Attempt = (request: RelayedRequest, reserved: ReservedWorker) => Promise<AttemptEnd>;

/** How long a worker that rejected a request counts as full. */
const FULL_BACKOFF_MS = 60;
/** A worker sends this status when the deadline passes. It doesn't count as a worker failure. */
const GATEWAY_TIMEOUT = 504;

/** One attempt in progress. */
class PooledAttemptRun {
  private readonly reader: ResponseReader;
  private readonly watchedAttempt: WatchedAttempt;
  private readonly remainingMs: number;
  private pendingSend: PendingSend | null = null;
  private isWritten = false;
  private isNewConnection = false;
  private isFinished = false;
  private readonly deadlineTimer: Timer;

  constructor(
    private readonly deps: AttemptDeps,
    private readonly request: RelayedRequest,
    private readonly reserved: ReservedWorker,
    private readonly resolve: (end: AttemptEnd) => void,
  ) {
    this.reader = createResponseReader(this.deps.headerNames, this.request, this.deps.callerResponses);
    this.watchedAttempt = {
      sentAt: this.deps.clock.mono(),
      lastEventAt: 0,
      onUnresponsive: () => this.onUnresponsive(),
    };
    this.remainingMs = this.request.deadlineAt - this.deps.clock.mono();

    this.deps.watch.begin(this.reserved.row, this.watchedAttempt);
    this.deadlineTimer = this.deps.clock.timer(Math.max(1, this.remainingMs), () => this.onDeadline());
  }

  private finish(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.deadlineTimer.cancel();
    this.deps.watch.end(this.reserved.row, this.watchedAttempt);
    this.reserved.reservation.end();
    this.recordOutcome(this.reserved.row, outcome, this.reader.status());
    if (outcome.tag === 'garbled') this.deps.log.warn('unusable response', this.responseFields());
    const response = isBuffered(this.request, outcome) ? this.reader.takeBuffered() : null;
    this.resolve({ outcome, response });
    this.deps.onSlotReleased();
  }

  private abandon(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.finish(outcome);
    this.pendingSend?.abort();
  }

  private onDeadline(): void {
    if (this.isFinished) return;
    if (this.isWritten) this.deps.log.warn('deadline passed at a worker', this.deadlineFields());
    this.abandon(this.isWritten ? { tag: 'deadline' } : { tag: 'withheld' });
  }

  private responseFields(): LogFields {
    const { id } = this.reserved.row.entry;
    return { workerId: id, route: this.request.route.name, requestId: this.request.id, ...this.reader.received() };
  }

  private deadlineFields(): LogFields {
    const lastByteAt = Math.max(this.watchedAttempt.lastEventAt, this.watchedAttempt.sentAt);
    return {
      workerId: this.reserved.row.entry.id,
      route: this.request.route.name,
      requestId: this.request.id,
      waitedMs: Math.round(this.remainingMs),
      ...this.reader.received(),
      lastEvent: this.request.lastEvent,
      quietMs: Math.round(this.deps.clock.mono() - lastByteAt),
    };
  }

  private onCallerGone(): void {
    this.abandon({ tag: 'callerGone' });
  }

  private onUnresponsive(): void {
    if (!this.isFinished && this.isWritten && this.deps.mayAbandonUnresponsive(this.request))
      this.abandon({ tag: 'silent' });
  }

  /** Called when the connection is up. Null withholds the request; with headers it counts as sent from now on. */
  private prepareHeaders(): RawHeaders | null {
    const now = this.deps.clock.mono();
    if (
      this.isFinished ||
      now >= this.request.deadlineAt ||
      this.deps.resumeDelay.observe(now) !== null ||
      isCancelled(this.request)
    )
      return null;
    this.isWritten = true;
    this.request.attempts += 1;
    this.request.writtenTo.add(this.reserved.row.entry.id);
    this.request.hasReservedAttempt = false;
    return requestHeaders(
      this.deps.headerNames,
      this.request,
      this.reserved.row.entry.id,
      this.request.deadlineAt - now,
    );
  }

  private onConnected(ms: number): void {
    this.isNewConnection = true;
    this.deps.registry.recordConnectTime(this.reserved.row, ms);
  }

  private onHead(status: number, raw: RawHeaders, get: (name: string) => string | null): void {
    if (this.isFinished) return;
    const coldMs = Number(get(this.deps.headerNames.coldMs) ?? 0);
    if (coldMs > 0) this.deps.registry.markCold(this.reserved.row, this.deps.clock.mono(), coldMs);
    const outcome = this.reader.onHead(status, raw, get, this.isNewConnection);
    if (outcome) this.abandon(outcome);
  }

  private onData(chunk: Buffer): void {
    if (this.isFinished) return;
    this.watchedAttempt.lastEventAt = this.deps.clock.mono();
    const outcome = this.reader.onData(chunk);
    if (this.request.isResponseStarted) this.reserved.reservation.read();
    if (outcome) this.abandon(outcome);
  }

  private onEnd(): void {
    if (!this.isFinished) this.finish(this.reader.onEnd());
  }

  private onFailed(error: SendError): void {
    if (!this.isFinished)
      this.finish(error.tag === 'reset' || error.tag === 'garbled' ? this.reader.onBroken(error.tag) : error);
  }

  /** Updates the state of the worker in the registry according to the outcome. */
  private recordOutcome(row: RegistryRow, outcome: AttemptOutcome, status: number): void {
    const now = this.deps.clock.mono();
    switch (outcome.tag) {
      case 'notConnected':
        this.deps.watch.recordConnectFailure(row);
        return;
      case 'wrongWorker':
        this.deps.registry.markRelocated(row);
        return;
      case 'notExecuted':
        this.deps.registry.markFull(row, now, FULL_BACKOFF_MS);
        return;
      case 'answered':
        this.deps.registry.recordServed(row, now);
        return;
      case 'workerFailed':
        if (status >= 500 && status !== GATEWAY_TIMEOUT) this.deps.registry.recordBadRun(row, now);
        return;
      case 'garbled':
      case 'answerCut':
      case 'resetWritten':
        this.deps.registry.recordBadRun(row, now);
        return;
      case 'withheld':
      case 'resetUnwritten':
      case 'resetPartlyWritten':
      case 'silent':
      case 'overloaded':
      case 'deadline':
      case 'callerGone':
    }
  }

  start(): void {
    this.request.incoming.responseWriter.onCallerGone(() => this.onCallerGone());
    const sending: OutgoingRequest = {
      address: this.reserved.row.entry.address,
      method: this.request.incoming.method,
      target: this.request.incoming.target,
      headers: () => this.prepareHeaders(),
      body: this.request.body.length > 0 || hasBody(this.request.incoming) ? this.request.body : null,
      requiresNewConnection: this.request.writtenTo.has(this.reserved.row.entry.id),
      connectTimeoutMs: Math.min(this.remainingMs, this.deps.registry.connectTimeoutMs(this.reserved.row)),
    };
    const events: SendEvents = {
      connected: (ms) => this.onConnected(ms),
      head: (status, raw, get) => this.onHead(status, raw, get),
      data: (chunk) => this.onData(chunk),
      end: () => this.onEnd(),
      failed: (error) => this.onFailed(error),
    };
    this.pendingSend = this.deps.connectionPool.send(sending, events);
    if (this.isFinished) this.pendingSend.abort();
  }
}

/** Creates a function that makes attempts. Each resolves once, when its outcome is known. */
export function createAttempt(deps: AttemptDeps): Attempt {
  function attempt(request: RelayedRequest, reserved: ReservedWorker): Promise<AttemptEnd> {
    return new Promise((resolve) => new PooledAttemptRun(deps, request, reserved, resolve).start());
  }
  return attempt;
}

function isBuffered(request: RelayedRequest, outcome: AttemptOutcome): boolean {
  return outcome.tag === 'workerFailed' || (outcome.tag === 'answered' && !request.stream);
}

/**
 * Forwards requests of the opaque HTTP server: matches the route, waits for a worker, sends the request, forwards the
 * response, and retries at another worker if `decideAfterAttempt` allows it. A run-once request is sent
 * again only if nothing was written, or if its worker stated under the id of the attempt that it did not run it
 * (docs/repeats.md).
 */
import { describeError } from '../../base/describe-error.js';
import type { HeaderNames } from '../../protocol/header-names.js';
import type { AttemptBudget } from '../../state/forwarding/attempt-budget.js';
import { decideAfterAttempt, mayHaveRun } from '../../state/forwarding/attempt-outcome.js';
import type { RetryContext } from '../../state/forwarding/attempt-outcome.js';
import type { EdgeTuning } from '../../state/forwarding/edge-tuning.js';
import type { MatchedRoute, RouteTable } from '../../state/configuration/route-table.js';
import { createResumeDelay } from '../../state/forwarding/resume-delay.js';
import type { SelectionRequest, WorkerRegistry } from '../../state/discovery/worker-registry.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { BodyError, ConnectionPool, OpaqueRequest } from '../../transport/opaque-http.js';
import type { Rng } from '../../transport/rng.js';
import { createAttempt } from './attempt.js';
import type { AttemptEnd, Attempt } from './attempt.js';
import { createCallerResponses } from './caller-responses.js';
import type { CallerResponses } from './caller-responses.js';
import { createFinalResponses } from './final-responses.js';
import type { FinalResponses } from './final-responses.js';
import { createRelayedRequest, isCancelled } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';
import { mayAdmit } from './drain-admission.js';
import type { DrainDeadlines } from './drain-admission.js';
import { createUnresponsiveWorkerWatch } from '../discovery/unresponsive-worker-watch.js';
import { createWorkerQueue } from './worker-queue.js';
import type { ReservedWorker, WorkerQueue } from './worker-queue.js';

/** Dependencies of the relay; `routeTable` returns null until the routes are known. */
export type RelayDeps = {
  readonly headerNames: HeaderNames;
  readonly tuning: EdgeTuning;
  readonly registry: WorkerRegistry;
  readonly budget: AttemptBudget;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly routeTable: () => RouteTable | null;
  readonly isClosing: () => boolean;
  /** Returns null unless this process is draining. */
  readonly drainDeadlines: () => DrainDeadlines | null;
};

/** Counts since the process started, and the number of requests that are open and queued now. */
export type RelayTally = {
  readonly requests: Readonly<Record<string, number>>;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
  readonly resumed: number;
  readonly cut: number;
  readonly open: number;
  readonly waiting: number;
};

/** Forwards opaque requests to workers. */
export interface Relay {
  handle(req: OpaqueRequest): void;
  /** Must be called when workers, zones or free slots have changed. Retries the queued requests. */
  wake(): void;
  /** Must be called at least every 250 ms, so that a pause of the process is detected. */
  tick(): void;
  tally(): RelayTally;
  /** Sends each open request its final response. Must be called just before the process ends. */
  abortAll(): void;
}

/** How often a proxy that has just started checks whether its routes are known. */
const ROUTES_CHECK_INTERVAL_MS = 20;

class OpaqueRelay implements Relay {
  private readonly requestsByModel = new Map<string, number>();
  private readonly counts = {
    shed: 0,
    attempted: 0,
    retried: 0,
    resumed: 0,
    cut: 0,
    open: 0,
    waiting: 0,
  };

  private readonly resumeDelay = createResumeDelay();
  private readonly openRequests = new Set<RelayedRequest>();
  private readonly callerResponses: CallerResponses;
  private readonly finalResponses: FinalResponses;
  private readonly queue: WorkerQueue;
  private readonly attempt: Attempt;

  constructor(private readonly deps: RelayDeps) {
    this.callerResponses = createCallerResponses(this.deps.headerNames, this.deps.isClosing);
    this.finalResponses = createFinalResponses({
      callerResponses: this.callerResponses,
      tuning: this.deps.tuning,
      rng: this.deps.rng,
      onRejected: () => this.onRejected(),
      onTruncated: () => this.onTruncated(),
    });
    this.queue = createWorkerQueue({
      registry: this.deps.registry,
      tuning: this.deps.tuning,
      clock: this.deps.clock,
      resumeDelay: this.resumeDelay,
      selectionFor: (request) => this.selectionFor(request),
    });

    const watch = createUnresponsiveWorkerWatch({
      registry: this.deps.registry,
      connectionPool: this.deps.connectionPool,
      clock: this.deps.clock,
      log: this.deps.log,
      responseTimeoutMs: this.deps.tuning.responseTimeoutMs,
      onReached: () => this.queue.wake(),
    });
    this.attempt = createAttempt({
      headerNames: this.deps.headerNames,
      registry: this.deps.registry,
      connectionPool: this.deps.connectionPool,
      watch,
      resumeDelay: this.resumeDelay,
      callerResponses: this.callerResponses,
      clock: this.deps.clock,
      log: this.deps.log,
      mayAbandonUnresponsive: (request) => this.mayAbandonUnresponsive(request),
      onSlotReleased: () => this.queue.wake(),
    });
  }

  private onRejected(): void {
    this.counts.shed += 1;
  }

  private onTruncated(): void {
    this.counts.cut += 1;
  }

  handle(incoming: OpaqueRequest): void {
    this.serve(incoming).catch((error: unknown) => this.onFailed(incoming, error));
  }

  /** Called on an error while one request is handled. Ends only that request; whether it ran is not known. */
  private onFailed(incoming: OpaqueRequest, error: unknown): void {
    this.deps.log.error('request failed', { error: describeError(error) });
    this.finalResponses.failInternally(incoming);
  }

  private async serve(incoming: OpaqueRequest): Promise<void> {
    const arrivedAt = this.deps.clock.mono();
    const table = this.deps.routeTable() ?? (await this.waitForRoutes(incoming));
    if (!table) {
      this.finalResponses.rejectNotReady(incoming);
      return;
    }
    const route = table.match(incoming.get('host') ?? '', incoming.target.split('?', 1)[0] ?? '/');
    const body = await incoming.body(table.serving.limits.bodyBytes);
    if (!body.ok) {
      this.rejectIncomplete(incoming, body.error);
      return;
    }
    await this.serveBody(incoming, route, body.value, arrivedAt);
  }

  /** A request that has not arrived whole has not run, and never will. */
  private rejectIncomplete(incoming: OpaqueRequest, error: BodyError): void {
    switch (error.tag) {
      case 'bodyTooLarge':
        this.callerResponses.sendError(incoming, 413, 'bodyTooLarge', null);
        return;
      case 'stalled':
        this.callerResponses.sendError(incoming, 408, 'stalled', null);
        return;
      case 'overloaded':
        this.finalResponses.rejectOverloaded(incoming);
        return;
      case 'callerGone':
    }
  }

  private async serveBody(
    incoming: OpaqueRequest,
    route: MatchedRoute | null,
    body: Buffer,
    arrivedAt: number,
  ): Promise<void> {
    const id = incoming.get(this.deps.headerNames.attemptId);
    if (!route) this.callerResponses.sendError(incoming, 404, 'noMapping', null);
    else if (id === null || id === '') this.callerResponses.sendError(incoming, 400, 'noAttemptId', null);
    else {
      const request = createRelayedRequest(this.deps.headerNames, this.deps.rng, incoming, route, id, body, arrivedAt);
      if (!mayAdmit(request, this.deps.clock.mono(), this.deps.drainDeadlines())) {
        this.finalResponses.rejectStopping(incoming);
        return;
      }
      this.requestsByModel.set(request.model, (this.requestsByModel.get(request.model) ?? 0) + 1);
      this.openRequests.add(request);
      this.deps.budget.recordFirstAttempt(request.model, this.deps.clock.mono());
      try {
        await this.run(request);
      } finally {
        this.releaseReservedAttempt(request);
        this.openRequests.delete(request);
      }
    }
  }

  private async waitForRoutes(incoming: OpaqueRequest): Promise<RouteTable | null> {
    const until = this.deps.clock.mono() + this.deps.tuning.openingMs;
    while (this.deps.clock.mono() < until && !incoming.responseWriter.gone()) {
      await delay(this.deps.clock, ROUTES_CHECK_INTERVAL_MS);
      const table = this.deps.routeTable();
      if (table) return table;
    }
    return null;
  }

  private selectionFor(request: RelayedRequest): SelectionRequest {
    const { homes, pinned } = request.route.settings;
    const { model, parts, tokens, outTokens, avoid } = request;
    const traits = this.deps.routeTable()?.traits(model) ?? null;
    return {
      model,
      traits,
      parts,
      tokens,
      outTokens,
      bytes: request.body.length,
      homes,
      pinned,
      avoid,
      now: this.deps.clock.mono(),
    };
  }

  /** Sends the request to one worker after another until a response or a decision ends it. */
  private async run(request: RelayedRequest): Promise<void> {
    for (;;) {
      await this.waitAfterPause();
      if (isCancelled(request)) return;
      const reserved = await this.queue.reserve(request);
      if (isCancelled(request)) {
        reserved?.reservation.end();
        return;
      }
      if (!reserved) {
        this.finalResponses.rejectWithoutWorker(
          request,
          this.queue.noneInReach(request),
          request.deadlineAt - this.deps.clock.mono(),
        );
        return;
      }
      const end = await this.send(request, reserved);
      const decision = decideAfterAttempt(end.outcome, this.situationOf(request));
      if (decision.tag !== 'repeat') {
        this.finalResponses.carryOut(request, end, decision);
        return;
      }
      if (end.outcome.tag !== 'withheld') request.avoid.add(reserved.row.entry.id);
      if (decision.resume && mayHaveRun(end.outcome)) this.counts.resumed += 1;
    }
  }

  private async send(request: RelayedRequest, reserved: ReservedWorker): Promise<AttemptEnd> {
    this.counts.attempted += 1;
    if (request.attempts > 0) this.counts.retried += 1;
    const end = await this.attempt(request, reserved);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun(end.outcome);
    return end;
  }

  private situationOf(request: RelayedRequest): RetryContext {
    const acquireAttempt = (): boolean => {
      return request.attempts < request.route.settings.attempts && this.reserveAttempt(request);
    };
    return {
      repeatability: request.repeatability,
      isResponseStarted: request.isResponseStarted,
      canResume: !request.hasUnnumberedEvent,
      mayHaveRun: request.mayHaveRun,
      remainingMs: request.deadlineAt - this.deps.clock.mono(),
      acquireAttempt,
    };
  }

  private mayAbandonUnresponsive(request: RelayedRequest): boolean {
    return decideAfterAttempt({ tag: 'silent' }, this.situationOf(request)).tag === 'repeat';
  }

  /**
   * Reserves a further attempt in the retry budget. It is taken when the retry is decided rather than when it is sent:
   * many requests may fail at the same moment, and all of them decide before any of them is sent again.
   */
  private reserveAttempt(request: RelayedRequest): boolean {
    request.hasReservedAttempt =
      request.hasReservedAttempt || this.deps.budget.tryAcquire(request.model, this.deps.clock.mono());
    return request.hasReservedAttempt;
  }

  private releaseReservedAttempt(request: RelayedRequest): void {
    if (request.hasReservedAttempt) this.deps.budget.refund(request.model);
    request.hasReservedAttempt = false;
  }

  /** Waits after a process pause until the network events that arrived during it have been read. */
  private async waitAfterPause(): Promise<void> {
    for (
      let until = this.resumeDelay.observe(this.deps.clock.mono());
      until !== null;
      until = this.resumeDelay.observe(this.deps.clock.mono())
    ) {
      await delay(this.deps.clock, until - this.deps.clock.mono());
    }
  }

  tick(): void {
    this.resumeDelay.observe(this.deps.clock.mono());
  }

  tally(): RelayTally {
    this.counts.open = this.openRequests.size;
    this.counts.waiting = this.queue.waiting();
    return { ...this.counts, requests: Object.fromEntries(this.requestsByModel) };
  }

  wake(): void {
    this.queue.wake();
  }

  abortAll(): void {
    for (const request of this.openRequests) {
      request.isAborted = true;
      this.finalResponses.abort(request);
    }
  }
}

/** Creates a relay without any requests. */
export function createRelay(deps: RelayDeps): Relay {
  return new OpaqueRelay(deps);
}

/**
 * The opaque HTTP server's way of a request: find its route, wait for a worker, send it there, pass the
 * answer on, and go on elsewhere where `decide` allows it. A request that may run once is sent again only
 * if nothing was written or its worker said under its id that it did not run it (docs/repeats.md).
 */
import type { OpenWords } from '../../protocol/open-words.js';
import type { AttemptBudget } from '../../state/attempt-budget.js';
import { decide, mayHaveRun } from '../../state/attempt-outcome.js';
import type { RequestSituation } from '../../state/attempt-outcome.js';
import type { EdgeTuning } from '../../state/edge-tuning.js';
import type { MatchedRoute, RouteTable } from '../../state/route-table.js';
import { createStandstill } from '../../state/standstill.js';
import type { PlaceAsk, WorkerRegistry } from '../../state/worker-registry.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { ConnectionPool, OpenRequest } from '../../transport/open-http.js';
import type { Rng } from '../../transport/rng.js';
import { createAttempt } from './attempt.js';
import type { AttemptEnd } from './attempt.js';
import { createCallerAnswers } from './caller-answers.js';
import { createLastAnswers } from './last-answers.js';
import { createRelayedRequest, expectedEnd } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';
import { createSilenceWatch } from './silence-watch.js';
import { createWorkerQueue } from './worker-queue.js';
import type { HeldWorker } from './worker-queue.js';

export type RelayDeps = {
  readonly words: OpenWords;
  readonly tuning: EdgeTuning;
  readonly book: WorkerRegistry;
  readonly budget: AttemptBudget;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
  readonly table: () => RouteTable | null;
  readonly closing: () => boolean;
  /** When this process has stopped and a request that is only now taken must be done; null while any may be taken. */
  readonly lastEndAt: () => number | null;
};

export type RelayTally = {
  requests: Record<string, number>;
  shed: number;
  attempted: number;
  retried: number;
  resumed: number;
  cut: number;
  open: number;
  waiting: number;
};

export type Relay = {
  readonly handle: (req: OpenRequest) => void;
  /** To be called when workers, zones or places changed: whoever waits is looked at again. */
  readonly wake: () => void;
  /** To be called at least each 250 ms, so that a standstill of the process is noticed. */
  readonly turn: () => void;
  readonly tally: () => RelayTally;
};

/** A proxy that has just started looks this often whether it knows its routes by now. */
const OPENING_LOOK_MS = 20;

export function createRelay(deps: RelayDeps): Relay {
  const { words, tuning, book, budget, connectionPool, clock, rng, log } = deps;
  const counts: RelayTally = {
    requests: {},
    shed: 0,
    attempted: 0,
    retried: 0,
    resumed: 0,
    cut: 0,
    open: 0,
    waiting: 0,
  };
  const standstill = createStandstill();
  const answers = createCallerAnswers(words, deps.closing);
  const last = createLastAnswers({ answers, tuning, rng, onRefused, onCut });
  const queue = createWorkerQueue({ registry: book, tuning, clock, standstill, askOf });
  const watch = createSilenceWatch({
    book,
    connectionPool,
    clock,
    log,
    silentMs: tuning.silentMs,
    onReached: queue.wake,
  });
  const attempt = createAttempt({
    words,
    registry: book,
    connectionPool,
    watch,
    standstill,
    answers,
    clock,
    log,
    leavesSilent,
    onEnd: queue.wake,
  });

  function onRefused(): void {
    counts.shed += 1;
  }
  function onCut(): void {
    counts.cut += 1;
  }

  function handle(incoming: OpenRequest): void {
    void serve(incoming);
  }

  async function serve(incoming: OpenRequest): Promise<void> {
    const cameAt = clock.mono();
    const table = deps.table() ?? (await whenOpen(incoming));
    if (!table) {
      last.notReady(incoming);
      return;
    }
    const route = table.match(incoming.get('host') ?? '', incoming.target.split('?', 1)[0] ?? '/');
    const body = await incoming.body(table.serving.limits.bodyBytes);
    if (!body.ok) {
      if (body.fault.tag === 'bodyTooLarge') answers.refuse(incoming, 413, 'bodyTooLarge', null);
      return;
    }
    await serveBody(incoming, route, body.value, cameAt);
  }

  async function serveBody(
    incoming: OpenRequest,
    route: MatchedRoute | null,
    body: Buffer,
    cameAt: number,
  ): Promise<void> {
    const id = incoming.get(words.attemptId);
    if (!route) answers.refuse(incoming, 404, 'noMapping', null);
    else if (id === null || id === '') answers.refuse(incoming, 400, 'noAttemptId', null);
    else {
      const request = createRelayedRequest(words, rng, incoming, route, id, body, cameAt);
      const lastEndAt = deps.lastEndAt();
      if (lastEndAt !== null && expectedEnd(request, clock.mono()) > lastEndAt) {
        last.leaving(incoming);
        return;
      }
      counts.requests[request.model] = (counts.requests[request.model] ?? 0) + 1;
      counts.open += 1;
      budget.arrived(request.model, clock.mono());
      await run(request);
      release(request);
      counts.open -= 1;
    }
  }

  async function whenOpen(incoming: OpenRequest): Promise<RouteTable | null> {
    const until = clock.mono() + tuning.openingMs;
    while (clock.mono() < until && !incoming.answerer.gone()) {
      await pause(clock, OPENING_LOOK_MS);
      const table = deps.table();
      if (table) return table;
    }
    return null;
  }

  function askOf(request: RelayedRequest): PlaceAsk {
    const { homes, pinned } = request.route.mapping;
    const { model, parts, tokens, outTokens, avoid } = request;
    const traits = deps.table()?.traits(model) ?? null;
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
      now: clock.mono(),
    };
  }

  /** One worker after the other, until nothing more may follow. */
  async function run(request: RelayedRequest): Promise<void> {
    for (;;) {
      await settled();
      if (request.incoming.answerer.gone()) return;
      const held = await queue.place(request);
      if (request.incoming.answerer.gone()) {
        held?.hold.end();
        return;
      }
      if (!held) {
        last.unplaced(request, queue.noneInReach(request), request.deadlineAt - clock.mono());
        return;
      }
      const end = await send(request, held);
      const decision = decide(end.outcome, situationOf(request));
      if (decision.tag !== 'repeat') {
        last.decided(request, end, decision);
        return;
      }
      if (end.outcome.tag !== 'withheld') request.avoid.add(held.row.entry.id);
      if (decision.resume && mayHaveRun(end.outcome)) counts.resumed += 1;
    }
  }

  async function send(request: RelayedRequest, held: HeldWorker): Promise<AttemptEnd> {
    counts.attempted += 1;
    if (request.attempts > 0) counts.retried += 1;
    const end = await attempt(request, held);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun(end.outcome);
    return end;
  }

  function situationOf(request: RelayedRequest): RequestSituation {
    function takeAttempt(): boolean {
      return request.attempts < request.route.mapping.attempts && reserve(request);
    }
    return {
      repeatability: request.repeatability,
      answerBegun: request.answerBegun,
      canResume: !request.unnumbered,
      mayHaveRun: request.mayHaveRun,
      leftMs: request.deadlineAt - clock.mono(),
      takeAttempt,
    };
  }
  function leavesSilent(request: RelayedRequest): boolean {
    return decide({ tag: 'silent' }, situationOf(request)).tag === 'repeat';
  }

  /**
   * A further attempt is taken from the budget when it is decided, not when it is sent: many requests may
   * fail at one moment, and each decides before the next is asked.
   */
  function reserve(request: RelayedRequest): boolean {
    request.reserved = request.reserved || budget.take(request.model, clock.mono());
    return request.reserved;
  }
  function release(request: RelayedRequest): void {
    if (request.reserved) budget.giveBack(request.model);
    request.reserved = false;
  }

  /** Waits, after a standstill, until what callers and workers did meanwhile has been read. */
  async function settled(): Promise<void> {
    for (let until = standstill.observe(clock.mono()); until !== null; until = standstill.observe(clock.mono())) {
      await pause(clock, until - clock.mono());
    }
  }
  function turn(): void {
    standstill.observe(clock.mono());
  }
  function tally(): RelayTally {
    counts.waiting = queue.waiting();
    return counts;
  }
  return { handle, wake: queue.wake, turn, tally };
}

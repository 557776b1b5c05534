import type { Result } from '../../base/result.js';
import type { Failure, ShedReason, Submit } from '../../protocol/caller-wire.js';
import { readNotRun, readStreamLine, readWhole, RUN_PATH } from '../../protocol/worker-wire.js';
import type { Run, StreamLine, Whole } from '../../protocol/worker-wire.js';
import type { Seal } from '../../state/seal.js';
import type { Candidate } from '../../state/candidate.js';
import { createLinePace } from '../../state/line-pace.js';
import type { LinePace } from '../../state/line-pace.js';
import type { RunKey } from '../../state/run-key.js';
import { createRetryBudget } from '../../state/retry-budget.js';
import { addPiece, checkSeal, startSeal } from '../../state/seal.js';
import type { SealCheck } from '../../state/seal.js';
import type { Resolved } from '../../state/settings-tree.js';
import type { Ticket } from '../../state/ticket.js';
import type { WorkerRow } from '../../state/worker-row.js';
import type { WorkerTable } from '../../state/worker-table.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { HttpClient, HttpAnswer } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { ClaimClient } from './claim-client.js';
import { createFlights } from './flights.js';
import type { Flight } from './flights.js';
import { shed } from './placer.js';
import type { Placer } from './placer.js';

export type AnswerLine = StreamLine | { readonly error: Failure };

export type Submission =
  | { readonly tag: 'whole'; readonly answer: Whole }
  | { readonly tag: 'stream'; readonly lines: AsyncIterable<AnswerLine> }
  | { readonly tag: 'failed'; readonly failure: Failure; readonly retryAfterS: number };

export type Tally = {
  readonly requests: Readonly<Record<string, number>>;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
  readonly cut: number;
  readonly waiting: number;
  readonly inFlight: number;
};

export type Dispatcher = {
  readonly submit: (ticket: Ticket, body: Submit, key: RunKey | null, gone: () => boolean) => Promise<Submission>;
  readonly countRequest: (model: string) => void;
  readonly countShed: () => void;
  readonly wake: () => void;
  readonly tally: () => Tally;
  readonly stopTaking: () => void;
  readonly stop: () => void;
};

type Waiter = { readonly model: string; readonly poke: () => void };
type TryEnd =
  | { readonly tag: 'done'; readonly submission: Submission }
  | { readonly tag: 'notRun' }
  | { readonly tag: 'broken'; readonly failure: Failure };

const KEYS_FULL_S = 3_600;

export type DispatcherDeps = {
  readonly ready: () => boolean;
  readonly placer: Placer;
  readonly table: WorkerTable;
  readonly claims: ClaimClient;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

export function createDispatcher(deps: DispatcherDeps): Dispatcher {
  const { ready, placer, table, claims, httpClient, clock, rng, log } = deps;
  const budget = createRetryBudget();
  const waiters = new Set<Waiter>();
  const lineLengths = new Map<string, number>();
  const flights = createFlights(table, clock);
  const requests: Record<string, number> = {};
  const paces = new Map<string, LinePace>();
  let shedCount = 0;
  let attempted = 0;
  let retried = 0;
  let cut = 0;
  let open = true;

  function wake(): void {
    for (const w of [...waiters]) w.poke();
  }

  function look(): void {
    flights.endLost();
    wake();
  }
  const ticking = every(clock, 100, look);

  type Seat =
    | { readonly tag: 'seat'; readonly candidate: Candidate; readonly row: WorkerRow }
    | { readonly tag: 'none'; readonly reason: ShedReason; readonly comeBackMs: number };

  function none(reason: ShedReason, comeBackMs = 1_000): Seat {
    return { tag: 'none', reason, comeBackMs };
  }

  function paceOf(model: string): LinePace {
    const have = paces.get(model);
    if (have) return have;
    const made = createLinePace();
    paces.set(model, made);
    return made;
  }

  async function seat(
    ticket: Ticket,
    parts: readonly string[],
    values: Resolved,
    avoid: ReadonlySet<number>,
    waitUntil: number,
    gone: () => boolean,
  ): Promise<Seat> {
    const pace = paceOf(ticket.model);
    let inLine = false;
    try {
      for (;;) {
        if (!open) return none('stopping');
        if (!ready()) return none('notReady');
        if (gone()) return none('lineWaitOver');
        if (inLine || (lineLengths.get(ticket.model) ?? 0) === 0) {
          const choice = placer.choose({
            model: ticket.model,
            parts,
            homes: placer.homesOf(ticket.model, ticket.bound),
            avoid,
          });
          if (choice.tag === 'chosen') {
            const row = table.begin(choice.candidate.ix);
            if (!row) return none('noWorker');
            pace.note(clock.mono());
            return { tag: 'seat', candidate: choice.candidate, row };
          }
          if (choice.stoppedBy !== 'room') return none(avoid.size > 0 ? 'workersShed' : 'noWorker');
        }
        const now = clock.mono();
        if (!inLine) {
          const ahead = lineLengths.get(ticket.model) ?? 0;
          const expected = pace.expectedWaitMs(ahead, now);
          if (ahead >= values.lineLimit || (expected !== null && now + expected > waitUntil))
            return none('lineFull', expected ?? values.lineWaitMs);
          lineLengths.set(ticket.model, ahead + 1);
          inLine = true;
        }
        if (now >= waitUntil)
          return none('lineWaitOver', pace.expectedWaitMs(lineLengths.get(ticket.model) ?? 0, now) ?? 1_000);
        await nextPoke(ticket.model, waitUntil - now);
      }
    } finally {
      if (inLine) lineLengths.set(ticket.model, (lineLengths.get(ticket.model) ?? 1) - 1);
    }
  }

  function nextPoke(model: string, ms: number): Promise<void> {
    function start(resolve: () => void): void {
      const waiter: Waiter = { model, poke };
      const timer: Timer = clock.timer(ms, poke);
      waiters.add(waiter);
      function poke(): void {
        timer.cancel();
        waiters.delete(waiter);
        resolve();
      }
    }
    return new Promise(start);
  }

  function failed(failure: Failure, retryAfterS = 1): Submission {
    if (failure.tag === 'shed') shedCount += 1;
    return { tag: 'failed', failure, retryAfterS };
  }

  async function submit(ticket: Ticket, body: Submit, key: RunKey | null, gone: () => boolean): Promise<Submission> {
    const rm = placer.resolved(ticket.model);
    if (!rm) return failed({ tag: 'unknownModel' });
    const { values } = rm;
    const until = clock.mono() + values.requestDeadlineMs;
    const waitUntil = Math.min(until, clock.mono() + values.lineWaitMs);
    const parts: string[] = [];
    for (const p of body.parts) parts.push(p.hash);
    const avoid = new Set<number>();
    let claimed = false;
    let ranAndBroke: Failure | null = null;

    for (let n = 0; ; n += 1) {
      const got = await seat(ticket, parts, values, avoid, waitUntil, gone);
      if (got.tag === 'none') {
        return givenUp(shed(got.reason), Math.ceil(got.comeBackMs / 1_000));
      }
      const { candidate, row } = got;
      if (key !== null && !claimed) {
        const claim = await claims.claim(key, ticket.id);
        if (claim.tag !== 'claimed') {
          leaveSeat(row);
          if (claim.tag === 'noMajority') return failed(shed('noMajority'));
          if (claim.tag === 'full') return failed(shed('keysFull'), KEYS_FULL_S);
          if (claim.tag === 'tooOld') return failed({ tag: 'keyTooOld' });
          return failed({ tag: claim.answered ? 'alreadyAnswered' : 'outcomeUnknown' });
        }
        claimed = true;
        if (!stillGood(row)) {
          leaveSeat(row);
          continue;
        }
      }
      if (n > 0) retried += 1;
      else budget.noteAttempt(values.retryShare);
      attempted += 1;
      const end = await tryWorker(got, ticket, body, values, until, gone, sealed);
      if (end.tag === 'done') {
        table.served(candidate.ix);
        table.prefixes.learn(table.modelIx(ticket.model), parts, candidate.ix);
        if (end.submission.tag === 'whole') sealed();
        return end.submission;
      }
      avoid.add(candidate.ix);
      if (end.tag === 'broken' && key !== null) return failed({ tag: 'outcomeUnknown' });
      if (end.tag === 'broken') ranAndBroke = end.failure;
      if (!budget.spend() || clock.mono() >= until) return givenUp(shed('workersShed'), 1);
    }
    function givenUp(notRun: Failure, retryAfterS: number): Submission {
      if (ranAndBroke) return failed(ranAndBroke);
      if (claimed && key !== null) claims.end(key, ticket.id, 'released');
      return failed(notRun, retryAfterS);
    }
    function sealed(): void {
      if (key !== null) claims.end(key, ticket.id, 'answered');
    }
  }

  function stillGood(row: WorkerRow): boolean {
    return ready() && table.isCurrent(row) && row.present && !row.leaving && row.silences === 0;
  }

  function leaveSeat(row: WorkerRow): void {
    table.end(row);
    wake();
  }

  async function tryWorker(
    seated: Extract<Seat, { tag: 'seat' }>,
    ticket: Ticket,
    body: Submit,
    values: Resolved,
    until: number,
    gone: () => boolean,
    sealed: () => void,
  ): Promise<TryEnd> {
    const { candidate, row } = seated;
    const run: Run = {
      requestId: ticket.requestId,
      attemptId: newId(rng, 'd'),
      model: ticket.model,
      parts: body.parts,
      outputTokens: body.outputTokens,
      stream: body.stream,
    };
    const flight = flights.takeOff(row, values.pieceWaitMs);
    const got = await httpClient.call({
      method: 'POST',
      address: candidate.address,
      path: RUN_PATH,
      body: run,
      timeoutMs: until - clock.mono(),
      stream: body.stream,
      signal: flight.stop.signal,
    });
    const answer = got.ok ? got.value : null;
    if (answer?.status === 200 && body.stream) return streamEnd(run, flight, answer, gone, sealed);
    land(flight);
    if (!answer) {
      if (got.ok || got.fault.tag !== 'neverSent') return { tag: 'broken', failure: { tag: 'workerFailed' } };
      table.takeSilence(candidate.id);
      return { tag: 'notRun' };
    }
    const notRun = readNotRun(answer.body);
    if (
      answer.status === 503 &&
      notRun.ok &&
      notRun.value.requestId === run.requestId &&
      notRun.value.attemptId === run.attemptId
    ) {
      table.refused(candidate.ix);
      return { tag: 'notRun' };
    }
    if (answer.status !== 200) {
      answer.abandon();
      return { tag: 'broken', failure: { tag: 'workerFailed' } };
    }
    return wholeEnd(run, candidate, answer.body);
  }

  function wholeEnd(run: Run, candidate: Candidate, body: unknown): TryEnd {
    const read = readWhole(body);
    const check = startSeal(run.requestId, run.attemptId);
    let good = read.ok;
    if (read.ok) {
      for (const piece of read.value.pieces) if (addPiece(check, piece)) good = false;
      if (checkSeal(check, read.value.seal)) good = false;
    }
    if (read.ok && good)
      return {
        tag: 'done',
        submission: { tag: 'whole', answer: { pieces: read.value.pieces, seal: read.value.seal } },
      };
    log.warn(`${candidate.id} gave a response whose seal does not hold.`);
    return { tag: 'broken', failure: { tag: 'badSeal' } };
  }

  async function streamEnd(
    run: Run,
    flight: Flight,
    answer: HttpAnswer,
    gone: () => boolean,
    sealed: () => void,
  ): Promise<TryEnd> {
    const check = startSeal(run.requestId, run.attemptId);
    const lines = answer.lines[Symbol.asyncIterator]();
    const first = await heard();
    if (first.tag === 'fault') {
      land(flight);
      answer.abandon();
      return { tag: 'broken', failure: first.failure };
    }
    return { tag: 'done', submission: { tag: 'stream', lines: relay(first) } };

    async function heard(): Promise<NextLine> {
      const at = await nextLine(lines, check);
      flight.heard();
      return at;
    }

    async function* relay(head: GoodLine): AsyncGenerator<AnswerLine> {
      try {
        let at: NextLine = head;
        for (;;) {
          if (at.tag === 'fault') {
            cut += 1;
            yield {
              error: at.failure.tag === 'badSeal' ? at.failure : { tag: 'cut', pieces: check.pieces, retryAfterS: 1 },
            };
            return;
          }
          if (at.tag === 'seal') {
            sealed();
            yield { seal: at.seal };
            return;
          }
          yield { piece: at.piece };
          if (gone()) return;
          at = await heard();
        }
      } finally {
        land(flight);
        answer.abandon();
      }
    }
  }

  function land(flight: Flight): void {
    if (flights.land(flight)) leaveSeat(flight.row);
  }

  function countRequest(model: string): void {
    requests[model] = (requests[model] ?? 0) + 1;
  }
  function countShed(): void {
    shedCount += 1;
  }
  function tally(): Tally {
    let waiting = 0;
    for (const n of lineLengths.values()) waiting += n;
    return { requests: { ...requests }, shed: shedCount, attempted, retried, cut, waiting, inFlight: flights.open() };
  }
  function stopTaking(): void {
    open = false;
    wake();
  }
  return { submit, countRequest, countShed, wake, tally, stopTaking, stop: ticking.cancel };
}

type GoodLine =
  | { readonly tag: 'piece'; readonly piece: { readonly n: number; readonly text: string } }
  | { readonly tag: 'seal'; readonly seal: Seal };
type NextLine = GoodLine | { readonly tag: 'fault'; readonly failure: Failure };

async function nextLine(lines: AsyncIterator<Result<unknown, unknown>>, check: SealCheck): Promise<NextLine> {
  const got = await lines.next();
  if (got.done || !got.value.ok) return { tag: 'fault', failure: { tag: 'workerFailed' } };
  const read = readStreamLine(got.value.value);
  if (!read.ok) return { tag: 'fault', failure: { tag: 'badSeal' } };
  if ('piece' in read.value) {
    if (addPiece(check, read.value.piece)) return { tag: 'fault', failure: { tag: 'badSeal' } };
    return { tag: 'piece', piece: read.value.piece };
  }
  if (checkSeal(check, read.value.seal)) return { tag: 'fault', failure: { tag: 'badSeal' } };
  return { tag: 'seal', seal: read.value.seal };
}

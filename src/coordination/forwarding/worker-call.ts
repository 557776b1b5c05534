/**
 * One attempt of a request with a ticket at one worker, ending with a typed outcome. A whole answer is
 * given once its seal holds; a stream is given at its first good line and checked as it goes on.
 */
import type { Result } from '../../base/result.js';
import type { Failure } from '../../protocol/caller-wire.js';
import { readNotRun, readStreamLine, readCompleteResponse, RUN_PATH } from '../../protocol/worker-wire.js';
import type { Run, StreamLine, CompleteResponse } from '../../protocol/worker-wire.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import type { Candidate } from '../../state/forwarding/candidate.js';
import { addChunk, checkDigest, startDigest } from '../../state/forwarding/response-digest.js';
import type { ResponseDigest, DigestCheck } from '../../state/forwarding/response-digest.js';
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpAnswer, HttpClient, HttpError } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { PendingCall, PendingCalls } from './pending-calls.js';

/** A line of a stream as callers get it: pieces, and at the end exactly one seal or error. */
export type AnswerLine = StreamLine | { readonly error: Failure };

/** How the attempt ended. `failure` says what the caller is told if the request may have run. */
export type WorkerCallEnd =
  | { readonly tag: 'whole'; readonly answer: CompleteResponse }
  | { readonly tag: 'stream'; readonly lines: AsyncIterable<AnswerLine> }
  | { readonly tag: 'failed'; readonly outcome: AttemptOutcome; readonly failure: Failure };

/** One call: the worker, what is sent, and until when (monotonic clock, milliseconds). */
export type WorkerCall = {
  readonly candidate: Candidate;
  readonly row: WorkerRow;
  readonly run: Run;
  readonly deadlineAt: number;
  readonly pieceWaitMs: number;
  readonly gone: () => boolean;
  /** Told when the seal of the whole answer has been checked. */
  readonly sealed: () => void;
};

/** What calls are made with. */
export type WorkerCallDeps = {
  readonly table: WorkerTable;
  readonly pending: PendingCalls;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Gives the worker's place back. */
  readonly leave: (row: WorkerRow) => void;
  /** Told of each stream that broke off after its first piece. */
  readonly onCut: () => void;
};

type GoodLine =
  | { readonly tag: 'piece'; readonly piece: { readonly n: number; readonly text: string } }
  | { readonly tag: 'seal'; readonly seal: ResponseDigest };
type NextLine = GoodLine | { readonly tag: 'error'; readonly outcome: AttemptOutcome; readonly failure: Failure };

const RETRY_AFTER_S = 1;
const WORKER_FAILED: Failure = { tag: 'workerFailed' };
const BAD_SEAL: Failure = { tag: 'badSeal' };

/** Makes calls; each resolves at its end or, for a stream, at its first good line. */
export function createWorkerCalls(deps: WorkerCallDeps): (call: WorkerCall) => Promise<WorkerCallEnd> {
  const { table, pending, httpClient, clock, log } = deps;

  async function callWorker(call: WorkerCall): Promise<WorkerCallEnd> {
    const { candidate, run } = call;
    const watched = pending.begin(call.row, call.pieceWaitMs);
    const response = await httpClient.call({
      method: 'POST',
      address: candidate.address,
      path: RUN_PATH,
      body: run,
      timeoutMs: call.deadlineAt - clock.mono(),
      stream: run.stream,
      signal: watched.abort.signal,
    });
    if (response.ok && response.value.status === 200 && run.stream) return streamEnd(call, watched, response.value);
    end(watched);
    if (!response.ok) return errorEnd(candidate, response.error);
    return response.value.status === 200 ? completeEnd(call, response.value.body) : refusalEnd(call, response.value);
  }

  function errorEnd(candidate: Candidate, error: HttpError): WorkerCallEnd {
    if (error.tag === 'neverSent') table.recordMissedProbe(candidate.id);
    return { tag: 'failed', outcome: outcomeOf(error), failure: WORKER_FAILED };
  }

  function refusalEnd({ candidate, run }: WorkerCall, answer: HttpAnswer): WorkerCallEnd {
    const notRun = readNotRun(answer.body);
    const ours = notRun.ok && notRun.value.requestId === run.requestId && notRun.value.attemptId === run.attemptId;
    if (answer.status === 503 && ours) {
      table.recordRefused(candidate.index);
      return { tag: 'failed', outcome: { tag: 'notExecuted', retryAfterS: RETRY_AFTER_S }, failure: WORKER_FAILED };
    }
    answer.abandon();
    return { tag: 'failed', outcome: { tag: 'workerFailed' }, failure: WORKER_FAILED };
  }

  function completeEnd({ candidate, run }: WorkerCall, body: unknown): WorkerCallEnd {
    const read = readCompleteResponse(body);
    if (read.ok && digestMatches(run, read.value))
      return { tag: 'whole', answer: { pieces: read.value.pieces, seal: read.value.seal } };
    log.warn('response digest mismatch', { workerId: candidate.id });
    return { tag: 'failed', outcome: { tag: 'garbled' }, failure: BAD_SEAL };
  }

  async function streamEnd(call: WorkerCall, watched: PendingCall, answer: HttpAnswer): Promise<WorkerCallEnd> {
    const check = startDigest(call.run.requestId, call.run.attemptId);
    const lines = answer.lines[Symbol.asyncIterator]();
    const first = await heard();
    if (first.tag === 'error') {
      end(watched);
      answer.abandon();
      return { tag: 'failed', outcome: first.outcome, failure: first.failure };
    }
    return { tag: 'stream', lines: relay(first) };

    async function heard(): Promise<NextLine> {
      const next = await nextLine(lines, check);
      watched.onEvent();
      return next;
    }

    async function* relay(head: GoodLine): AsyncGenerator<AnswerLine> {
      try {
        for (let at: NextLine = head; ; at = await heard()) {
          if (at.tag === 'error') {
            deps.onCut();
            yield {
              error:
                at.failure.tag === 'badSeal'
                  ? at.failure
                  : { tag: 'cut', pieces: check.pieces, retryAfterS: RETRY_AFTER_S },
            };
            return;
          }
          if (at.tag === 'seal') {
            call.sealed();
            yield { seal: at.seal };
            return;
          }
          yield { piece: at.piece };
          if (call.gone()) return;
        }
      } finally {
        end(watched);
        answer.abandon();
      }
    }
  }

  function end(call: PendingCall): void {
    if (pending.end(call)) deps.leave(call.row);
  }
  return callWorker;
}

function outcomeOf(error: HttpError): AttemptOutcome {
  switch (error.tag) {
    case 'neverSent':
      return { tag: 'notConnected' };
    case 'broken':
      return { tag: 'resetWritten' };
    case 'timedOut':
      return { tag: 'deadline' };
    case 'notJson':
      return { tag: 'garbled' };
  }
}

function digestMatches(run: Run, answer: CompleteResponse): boolean {
  const check = startDigest(run.requestId, run.attemptId);
  for (const piece of answer.pieces) if (addChunk(check, piece)) return false;
  return !checkDigest(check, answer.seal);
}

async function nextLine(lines: AsyncIterator<Result<unknown, unknown>>, check: DigestCheck): Promise<NextLine> {
  const next = await lines.next();
  if (next.done || !next.value.ok) return { tag: 'error', outcome: { tag: 'answerCut' }, failure: WORKER_FAILED };
  const read = readStreamLine(next.value.value);
  if (!read.ok) return { tag: 'error', outcome: { tag: 'garbled' }, failure: BAD_SEAL };
  const line = read.value;
  const error = 'piece' in line ? addChunk(check, line.piece) : checkDigest(check, line.seal);
  if (error) return { tag: 'error', outcome: { tag: 'garbled' }, failure: BAD_SEAL };
  return 'piece' in line ? { tag: 'piece', piece: line.piece } : { tag: 'seal', seal: line.seal };
}

/**
 * One attempt to run a request with an admission token at one worker, ending with a typed outcome. A complete response
 * is returned after its digest was verified; a stream is returned at its first valid line, and verified line by line.
 */
import type { Result } from '../../base/result.js';
import type { Failure } from '../../protocol/caller-wire.js';
import { readNotRun, readStreamLine, readCompleteResponse, RUN_PATH } from '../../protocol/worker-wire.js';
import type { Run, StreamLine, CompleteResponse } from '../../protocol/worker-wire.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import type { Candidate } from '../../state/forwarding/candidate.js';
import { addChunk, verifyDigest, startDigest } from '../../state/forwarding/response-digest.js';
import type { ResponseDigest, RunningDigest } from '../../state/forwarding/response-digest.js';
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpAnswer, HttpClient, HttpError } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { PendingCall, PendingCalls } from './pending-calls.js';

/** A line of a stream as callers get it: any number of pieces, then exactly one digest or error. */
export type ResponseLine = StreamLine | { readonly error: Failure };

/** How the attempt ended. `failure` is what the caller is told if the request may have run. */
export type WorkerCallEnd =
  | { readonly tag: 'whole'; readonly answer: CompleteResponse }
  | { readonly tag: 'stream'; readonly lines: AsyncIterable<ResponseLine> }
  | { readonly tag: 'failed'; readonly outcome: AttemptOutcome; readonly failure: Failure };

/** One call: the worker, the request, and the deadline in milliseconds of the monotonic clock. */
export type WorkerCall = {
  readonly candidate: Candidate;
  readonly row: WorkerRow;
  readonly run: Run;
  readonly deadlineAt: number;
  readonly pieceWaitMs: number;
  readonly isCallerGone: () => boolean;
  /** Called when the digest at the end of a stream has been verified. */
  readonly onDigestVerified: () => void;
};

/** Dependencies of worker calls. */
export type WorkerCallDeps = {
  readonly table: WorkerTable;
  readonly pending: PendingCalls;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Releases the slot of the worker. */
  readonly releaseSlot: (row: WorkerRow) => void;
  /** Called for each stream that was truncated after its first line. */
  readonly onTruncated: () => void;
};

type ValidLine =
  | { readonly tag: 'piece'; readonly piece: { readonly n: number; readonly text: string } }
  | { readonly tag: 'seal'; readonly seal: ResponseDigest };
type NextLine = ValidLine | { readonly tag: 'error'; readonly outcome: AttemptOutcome; readonly failure: Failure };

const RETRY_AFTER_S = 1;
const WORKER_FAILED: Failure = { tag: 'workerFailed' };
const DIGEST_MISMATCH: Failure = { tag: 'badSeal' };

/** Creates a function that makes calls. Each resolves at its end or, for a stream, at its first valid line. */
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
      signal: watched.abortController.signal,
    });
    if (response.ok && response.value.status === 200 && run.stream) return streamEnd(call, watched, response.value);
    endCall(watched);
    if (!response.ok) return errorEnd(candidate, response.error);
    return response.value.status === 200 ? completeEnd(call, response.value.body) : rejectionEnd(call, response.value);
  }

  function errorEnd(candidate: Candidate, error: HttpError): WorkerCallEnd {
    if (error.tag === 'neverSent') table.recordMissedProbe(candidate.id);
    return { tag: 'failed', outcome: outcomeOf(error), failure: WORKER_FAILED };
  }

  function rejectionEnd({ candidate, run }: WorkerCall, response: HttpAnswer): WorkerCallEnd {
    const notRun = readNotRun(response.body);
    const isForThisAttempt =
      notRun.ok && notRun.value.requestId === run.requestId && notRun.value.attemptId === run.attemptId;
    if (response.status === 503 && isForThisAttempt) {
      table.recordRejected(candidate.index);
      return { tag: 'failed', outcome: { tag: 'notExecuted', retryAfterS: RETRY_AFTER_S }, failure: WORKER_FAILED };
    }
    response.abandon();
    return { tag: 'failed', outcome: { tag: 'workerFailed' }, failure: WORKER_FAILED };
  }

  function completeEnd({ candidate, run }: WorkerCall, body: unknown): WorkerCallEnd {
    const read = readCompleteResponse(body);
    if (read.ok && digestMatches(run, read.value))
      return { tag: 'whole', answer: { pieces: read.value.pieces, seal: read.value.seal } };
    log.warn('response digest mismatch', { workerId: candidate.id });
    return { tag: 'failed', outcome: { tag: 'garbled' }, failure: DIGEST_MISMATCH };
  }

  async function streamEnd(call: WorkerCall, watched: PendingCall, response: HttpAnswer): Promise<WorkerCallEnd> {
    const check = startDigest(call.run.requestId, call.run.attemptId);
    const lines = response.lines[Symbol.asyncIterator]();
    const firstLine = await readLine();
    if (firstLine.tag === 'error') {
      endCall(watched);
      response.abandon();
      return { tag: 'failed', outcome: firstLine.outcome, failure: firstLine.failure };
    }
    return { tag: 'stream', lines: relayLines(firstLine) };

    async function readLine(): Promise<NextLine> {
      const next = await nextLine(lines, check);
      watched.onEvent();
      return next;
    }

    async function* relayLines(firstValid: ValidLine): AsyncGenerator<ResponseLine> {
      try {
        for (let line: NextLine = firstValid; ; line = await readLine()) {
          if (line.tag === 'error') {
            deps.onTruncated();
            yield {
              error:
                line.failure.tag === 'badSeal'
                  ? line.failure
                  : { tag: 'cut', pieces: check.pieces, retryAfterS: RETRY_AFTER_S },
            };
            return;
          }
          if (line.tag === 'seal') {
            call.onDigestVerified();
            yield { seal: line.seal };
            return;
          }
          yield { piece: line.piece };
          if (call.isCallerGone()) return;
        }
      } finally {
        endCall(watched);
        response.abandon();
      }
    }
  }

  function endCall(call: PendingCall): void {
    if (pending.end(call)) deps.releaseSlot(call.row);
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
    case 'tooLarge':
      return { tag: 'garbled' };
  }
}

function digestMatches(run: Run, response: CompleteResponse): boolean {
  const check = startDigest(run.requestId, run.attemptId);
  for (const piece of response.pieces) if (addChunk(check, piece)) return false;
  return !verifyDigest(check, response.seal);
}

async function nextLine(lines: AsyncIterator<Result<unknown, unknown>>, check: RunningDigest): Promise<NextLine> {
  const next = await lines.next();
  if (next.done || !next.value.ok) return { tag: 'error', outcome: { tag: 'answerCut' }, failure: WORKER_FAILED };
  const read = readStreamLine(next.value.value);
  if (!read.ok) return { tag: 'error', outcome: { tag: 'garbled' }, failure: DIGEST_MISMATCH };
  const line = read.value;
  const error = 'piece' in line ? addChunk(check, line.piece) : verifyDigest(check, line.seal);
  if (error) return { tag: 'error', outcome: { tag: 'garbled' }, failure: DIGEST_MISMATCH };
  return 'piece' in line ? { tag: 'piece', piece: line.piece } : { tag: 'seal', seal: line.seal };
}

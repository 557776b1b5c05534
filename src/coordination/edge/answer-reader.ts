/**
 * Reads one worker's answer to one attempt and judges it: whose it is, whether it is whole, and what may
 * be passed on. Events of a stream are passed as they come, each once and in order; every other answer is
 * held until its end was seen, so that a failed one can still be made good elsewhere.
 */
import type { OpenWords } from '../../protocol/open-words.js';
import type { AttemptOutcome } from '../../state/attempt-outcome.js';
import { createEventSplitter, isComment } from '../../state/event-splitter.js';
import type { EventSplitter } from '../../state/event-splitter.js';
import type { RawHeaders } from '../../transport/open-http.js';
import type { CallerAnswers, HeldAnswer } from './caller-answers.js';
import { numberIn } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';

export type AnswerReader = {
  /** Each returns the outcome as soon as it is known, else null. */
  readonly head: (
    status: number,
    headers: RawHeaders,
    get: (name: string) => string | null,
    freshConnection: boolean,
  ) => AttemptOutcome | null;
  readonly data: (chunk: Buffer) => AttemptOutcome | null;
  /** The answer has ended as it should. */
  readonly end: () => AttemptOutcome;
  /** The connection ended, or spoke nonsense, in the middle of the answer or before it. */
  readonly broken: (how: 'reset' | 'garbled') => AttemptOutcome;
  /** The answer that was held, once `end` told that there is one. */
  readonly held: () => HeldAnswer;
  readonly status: () => number;
};

const WRONG_WORKER = 421;
const DEFAULT_RETRY_AFTER_S = 0.2;
/** A worker's whole answer is held in memory up to this size. */
const MOST_HELD_BYTES = 1_048_576;

export function createAnswerReader(words: OpenWords, request: RelayedRequest, answers: CallerAnswers): AnswerReader {
  let status = 0;
  let headers: RawHeaders = [];
  let chunks: Buffer[] = [];
  let size = 0;
  let splitter: EventSplitter | null = null;
  let refusal: AttemptOutcome | null = null;

  function isSuccess(): boolean {
    return status >= 200 && status < 300;
  }

  /** A refusal without an id is ours only where no other answer can be due: on a new connection. */
  function isOurs(id: string | null, refused: boolean, freshConnection: boolean): boolean {
    return id === request.id || (id === null && refused && freshConnection);
  }

  function head(
    given: number,
    raw: RawHeaders,
    get: (name: string) => string | null,
    freshConnection: boolean,
  ): AttemptOutcome | null {
    status = given;
    headers = raw;
    const refused = status === WRONG_WORKER || get(words.notRun) !== null;
    if (!isOurs(get(words.attemptId), refused, freshConnection)) return { tag: 'garbled' };
    if (get('content-encoding') !== null) return { tag: 'garbled' };
    if (refused) {
      const retryAfterS = numberIn(get('retry-after')) ?? DEFAULT_RETRY_AFTER_S;
      refusal = { tag: status === WRONG_WORKER ? 'wrongWorker' : 'notExecuted', retryAfterS };
      return null;
    }
    if (isSuccess() && get(words.seal) === null) return { tag: 'garbled' };
    if (isSuccess() && request.stream) splitter = createEventSplitter();
    return null;
  }

  function data(chunk: Buffer): AttemptOutcome | null {
    if (splitter) return passEvents(splitter, chunk);
    size += chunk.length;
    chunks.push(chunk);
    return size > MOST_HELD_BYTES ? { tag: 'garbled' } : null;
  }

  function passEvents(from: EventSplitter, chunk: Buffer): AttemptOutcome | null {
    const events = from.take(chunk);
    if (events.length > 0) answers.begin(request, status, headers);
    for (const event of events) {
      if (event.id === null) request.unnumbered = request.unnumbered || !isComment(event.bytes);
      else if (request.lastEvent !== null && event.id <= request.lastEvent) return { tag: 'garbled' };
      else request.lastEvent = event.id;
      request.incoming.answerer.write(event.bytes);
    }
    return null;
  }

  function end(): AttemptOutcome {
    if (refusal) return refusal;
    if (!isSuccess()) return { tag: 'workerFailed' };
    if (!splitter) return { tag: 'answered' };
    if (splitter.rest().length > 0) return { tag: 'garbled' };
    answers.begin(request, status, headers);
    return { tag: 'answered' };
  }

  function broken(how: 'reset' | 'garbled'): AttemptOutcome {
    if (refusal) return refusal;
    if (status > 0) return { tag: 'answerCut' };
    return how === 'reset' ? { tag: 'resetWritten' } : { tag: 'garbled' };
  }
  function held(): HeldAnswer {
    const body = Buffer.concat(chunks);
    chunks = [];
    return { status, headers, body };
  }
  function statusSoFar(): number {
    return status;
  }
  return { head, data, end, broken, held, status: statusSoFar };
}

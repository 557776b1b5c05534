/**
 * Reads one worker's answer to one attempt and judges it: whose it is, whether it is whole, and what may
 * be passed on. Events of a stream are passed as they come, each once and in order; every other answer is
 * held until its end was seen, so that a failed one can still be made good elsewhere.
 */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import { createEventSplitter, isComment } from '../../state/forwarding/event-splitter.js';
import type { EventSplitter } from '../../state/forwarding/event-splitter.js';
import type { RawHeaders } from '../../transport/opaque-http.js';
import type { CallerResponses, BufferedResponse } from './caller-responses.js';
import { numberIn } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';

/** Takes one worker's response as it comes. */
export interface ResponseReader {
  /** Each returns the outcome as soon as it is known, else null. */
  head(
    status: number,
    headers: RawHeaders,
    get: (name: string) => string | null,
    freshConnection: boolean,
  ): AttemptOutcome | null;
  data(chunk: Buffer): AttemptOutcome | null;
  /** The answer has ended as it should. */
  end(): AttemptOutcome;
  /** The connection ended, or spoke nonsense, in the middle of the answer or before it. */
  broken(how: 'reset' | 'garbled'): AttemptOutcome;
  /** The answer that was held, once `end` told that there is one. */
  buffered(): BufferedResponse;
  status(): number;
}

const WRONG_WORKER = 421;
const DEFAULT_RETRY_AFTER_S = 0.2;
/** A worker's whole answer is held in memory up to this size. */
const MOST_HELD_BYTES = 1_048_576;

class CheckedResponseReader implements ResponseReader {
  private currentStatus = 0;
  private headers: RawHeaders = [];
  private chunks: Buffer[] = [];
  private size = 0;
  private splitter: EventSplitter | null = null;
  private refusal: AttemptOutcome | null = null;

  constructor(
    private readonly names: HeaderNames,
    private readonly request: RelayedRequest,
    private readonly answers: CallerResponses,
  ) {}

  private isSuccess(): boolean {
    return this.currentStatus >= 200 && this.currentStatus < 300;
  }

  /** A refusal without an id is ours only where no other answer can be due: on a new connection. */
  private isOurs(id: string | null, refused: boolean, freshConnection: boolean): boolean {
    return id === this.request.id || (id === null && refused && freshConnection);
  }

  head(
    received: number,
    raw: RawHeaders,
    get: (name: string) => string | null,
    freshConnection: boolean,
  ): AttemptOutcome | null {
    this.currentStatus = received;
    this.headers = raw;
    const refused = this.currentStatus === WRONG_WORKER || get(this.names.notRun) !== null;
    if (!this.isOurs(get(this.names.attemptId), refused, freshConnection)) return { tag: 'garbled' };
    if (get('content-encoding') !== null) return { tag: 'garbled' };
    if (refused) {
      const retryAfterS = numberIn(get('retry-after')) ?? DEFAULT_RETRY_AFTER_S;
      this.refusal = { tag: this.currentStatus === WRONG_WORKER ? 'wrongWorker' : 'notExecuted', retryAfterS };
      return null;
    }
    if (this.isSuccess() && get(this.names.seal) === null) return { tag: 'garbled' };
    if (this.isSuccess() && this.request.stream) this.splitter = createEventSplitter();
    return null;
  }

  data(chunk: Buffer): AttemptOutcome | null {
    if (this.splitter) return this.passEvents(this.splitter, chunk);
    this.size += chunk.length;
    this.chunks.push(chunk);
    return this.size > MOST_HELD_BYTES ? { tag: 'garbled' } : null;
  }

  private passEvents(from: EventSplitter, chunk: Buffer): AttemptOutcome | null {
    const events = from.push(chunk);
    if (events.length > 0) this.answers.begin(this.request, this.currentStatus, this.headers);
    for (const event of events) {
      if (event.id === null) this.request.unnumbered = this.request.unnumbered || !isComment(event.bytes);
      else if (this.request.lastEvent !== null && event.id <= this.request.lastEvent) return { tag: 'garbled' };
      else this.request.lastEvent = event.id;
      this.request.incoming.answerer.write(event.bytes);
    }
    return null;
  }

  end(): AttemptOutcome {
    if (this.refusal) return this.refusal;
    if (!this.isSuccess()) return { tag: 'workerFailed' };
    if (!this.splitter) return { tag: 'answered' };
    if (this.splitter.remainder().length > 0) return { tag: 'garbled' };
    this.answers.begin(this.request, this.currentStatus, this.headers);
    return { tag: 'answered' };
  }

  broken(how: 'reset' | 'garbled'): AttemptOutcome {
    if (this.refusal) return this.refusal;
    if (this.currentStatus > 0) return { tag: 'answerCut' };
    return how === 'reset' ? { tag: 'resetWritten' } : { tag: 'garbled' };
  }

  buffered(): BufferedResponse {
    const body = Buffer.concat(this.chunks);
    this.chunks = [];
    return { status: this.currentStatus, headers: this.headers, body };
  }

  status(): number {
    return this.currentStatus;
  }
}

/** A reader for the response to one attempt of a request. */
export function createResponseReader(
  names: HeaderNames,
  request: RelayedRequest,
  answers: CallerResponses,
): ResponseReader {
  return new CheckedResponseReader(names, request, answers);
}

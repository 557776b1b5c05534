/**
 * Reads a worker's response to one attempt and checks that it belongs to the attempt and is complete. Events of a
 * stream are forwarded as they arrive, each once and in order. Any other response is buffered until its end, so that a
 * failed request can still be retried at another worker.
 */
import { ByteAccumulator } from '../../base/byte-accumulator.js';
import type { HeaderNames } from '../../protocol/header-names.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import { createEventSplitter, isCommentOnly } from '../../state/forwarding/event-splitter.js';
import type { EventSplitter } from '../../state/forwarding/event-splitter.js';
import type { RawHeaders } from '../../transport/opaque-http.js';
import type { CallerResponses, BufferedResponse } from './caller-responses.js';
import { parseNumber } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';

/** What has arrived of a response: its status, 0 before its head, and the bytes and pieces of its body. */
export type ReceivedResponse = { readonly status: number; readonly bytes: number; readonly pieces: number };

/** Consumes a worker's response as it arrives. */
export interface ResponseReader {
  /** Called with the head of the response. `onHead` and `onData` return the outcome once it is known, else null. */
  onHead(
    status: number,
    headers: RawHeaders,
    get: (name: string) => string | null,
    isNewConnection: boolean,
  ): AttemptOutcome | null;
  onData(chunk: Buffer): AttemptOutcome | null;
  /** Called when the response has ended regularly. */
  onEnd(): AttemptOutcome;
  /** Called when the connection ended, or carried invalid HTTP, before or within the response. */
  onBroken(cause: 'reset' | 'garbled'): AttemptOutcome;
  /** Returns the buffered response and empties the buffer. May be called once the outcome says that there is one. */
  takeBuffered(): BufferedResponse;
  status(): number;
  received(): ReceivedResponse;
}

const WRONG_WORKER = 421;
const DEFAULT_RETRY_AFTER_S = 0.2;
/** Maximum size of a response that is buffered in memory. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Maximum number of pieces in which it may arrive: each costs processor time, however short it is. */
const MAX_BUFFERED_PIECES = 65_536;
/** An event is passed on once it is complete, so it is buffered like a response. */
const EVENT_LIMITS = { maxBytes: MAX_BUFFERED_BYTES, maxPieces: MAX_BUFFERED_PIECES };

class CheckedResponseReader implements ResponseReader {
  private currentStatus = 0;
  private headers: RawHeaders = [];
  private readonly buffered = new ByteAccumulator();
  private receivedBytes = 0;
  private receivedPieces = 0;
  private splitter: EventSplitter | null = null;
  private rejection: AttemptOutcome | null = null;

  constructor(
    private readonly headerNames: HeaderNames,
    private readonly request: RelayedRequest,
    private readonly callerResponses: CallerResponses,
  ) {}

  private isSuccess(): boolean {
    return this.currentStatus >= 200 && this.currentStatus < 300;
  }

  /**
   * A rejection without an attempt id counts as the response to this attempt only on a new connection, where no other
   * response can be outstanding.
   */
  private isForThisAttempt(id: string | null, isRejection: boolean, isNewConnection: boolean): boolean {
    return id === this.request.id || (id === null && isRejection && isNewConnection);
  }

  onHead(
    status: number,
    headers: RawHeaders,
    get: (name: string) => string | null,
    isNewConnection: boolean,
  ): AttemptOutcome | null {
    this.currentStatus = status;
    this.headers = headers;
    const isRejection = this.currentStatus === WRONG_WORKER || get(this.headerNames.notRun) !== null;
    if (!this.isForThisAttempt(get(this.headerNames.attemptId), isRejection, isNewConnection))
      return { tag: 'garbled' };
    if (get('content-encoding') !== null) return { tag: 'garbled' };
    if (isRejection) {
      const retryAfterS = parseNumber(get('retry-after')) ?? DEFAULT_RETRY_AFTER_S;
      this.rejection = { tag: this.currentStatus === WRONG_WORKER ? 'wrongWorker' : 'notExecuted', retryAfterS };
      return null;
    }
    if (this.isSuccess() && get(this.headerNames.seal) === null) return { tag: 'garbled' };
    if (this.isSuccess() && this.request.stream) this.splitter = createEventSplitter(EVENT_LIMITS);
    return null;
  }

  onData(chunk: Buffer): AttemptOutcome | null {
    this.receivedBytes += chunk.length;
    this.receivedPieces += 1;
    if (this.splitter) return this.forwardEvents(this.splitter, chunk);
    const isTooLarge = this.buffered.length + chunk.length > MAX_BUFFERED_BYTES;
    if (isTooLarge || this.receivedPieces > MAX_BUFFERED_PIECES) return this.rejection ?? { tag: 'garbled' };
    this.buffered.append(chunk);
    return this.hold(this.buffered.heldBytes);
  }

  private forwardEvents(splitter: EventSplitter, chunk: Buffer): AttemptOutcome | null {
    const events = splitter.push(chunk);
    if (events.length > 0) this.callerResponses.startStream(this.request, this.currentStatus, this.headers);
    for (const event of events) {
      if (event.id === null)
        this.request.hasUnnumberedEvent = this.request.hasUnnumberedEvent || !isCommentOnly(event.bytes);
      else if (this.request.lastEvent !== null && event.id <= this.request.lastEvent) return { tag: 'garbled' };
      else this.request.lastEvent = event.id;
      this.request.incoming.responseWriter.write(event.bytes);
    }
    return splitter.isOverLimit() ? { tag: 'garbled' } : this.hold(splitter.heldBytes());
  }

  /** Accounts for what is buffered. Returns the outcome if there is no room for it. */
  private hold(bytes: number): AttemptOutcome | null {
    return this.request.incoming.responseWriter.tryHold(bytes) ? null : (this.rejection ?? { tag: 'overloaded' });
  }

  onEnd(): AttemptOutcome {
    if (this.rejection) return this.rejection;
    if (!this.isSuccess()) return { tag: 'workerFailed' };
    if (!this.splitter) return { tag: 'answered' };
    if (this.splitter.remainingBytes() > 0) return { tag: 'garbled' };
    this.callerResponses.startStream(this.request, this.currentStatus, this.headers);
    return { tag: 'answered' };
  }

  onBroken(cause: 'reset' | 'garbled'): AttemptOutcome {
    if (this.rejection) return this.rejection;
    if (this.currentStatus > 0) return { tag: 'answerCut' };
    return cause === 'reset' ? { tag: 'resetWritten' } : { tag: 'garbled' };
  }

  takeBuffered(): BufferedResponse {
    return { status: this.currentStatus, headers: this.headers, body: this.buffered.take() };
  }

  status(): number {
    return this.currentStatus;
  }

  received(): ReceivedResponse {
    return { status: this.currentStatus, bytes: this.receivedBytes, pieces: this.receivedPieces };
  }
}

/** Creates a reader for the response to one attempt of a request. */
export function createResponseReader(
  headerNames: HeaderNames,
  request: RelayedRequest,
  callerResponses: CallerResponses,
): ResponseReader {
  return new CheckedResponseReader(headerNames, request, callerResponses);
}

/** Writes responses to callers: errors of the relay itself, and responses of workers that it forwards. */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { OpaqueRequest, RawHeaders } from '../../transport/opaque-http.js';
import { responseHeaders, withoutHeader } from './forwarded-headers.js';
import type { RelayedRequest } from './relayed-request.js';

/** A worker's response that was buffered until its end. */
export type BufferedResponse = { readonly status: number; readonly headers: RawHeaders; readonly body: Buffer };

/** Sends the relay's own errors, and forwards responses of workers. */
export interface CallerResponses {
  /** Sends an error of the relay itself. `retryAfterS` is set for a 503. */
  sendError(incoming: OpaqueRequest, status: number, tag: string, retryAfterS: number | null): void;
  /** Forwards a worker's complete response. */
  forward(request: RelayedRequest, response: BufferedResponse): void;
  /** Forwards the head of a stream unless one was forwarded before. */
  startStream(request: RelayedRequest, status: number, headers: RawHeaders): void;
}

/** Statuses with which a proxy promises that a request has not run and never will. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([503, 429, 408, 421]);
/** Errors of requests whose body was not read to its end, so that nothing more can follow it on its connection. */
const INCOMPLETE_TAGS: ReadonlySet<string> = new Set(['bodyTooLarge', 'stalled', 'overloaded']);
const BAD_GATEWAY = 502;

class HttpCallerResponses implements CallerResponses {
  constructor(
    private readonly headerNames: HeaderNames,
    private readonly isClosing: () => boolean,
  ) {}

  sendError(incoming: OpaqueRequest, status: number, tag: string, retryAfterS: number | null): void {
    const body = Buffer.from(JSON.stringify({ error: { tag } }));
    const head = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfterS !== null) head.push('Retry-After', retryAfterS.toFixed(2));
    if (this.isClosing() || INCOMPLETE_TAGS.has(tag)) head.push('Connection', 'close');
    incoming.responseWriter.head(status, head);
    incoming.responseWriter.write(body);
    incoming.responseWriter.end();
  }

  private closeHeaders(): string[] {
    return this.isClosing() ? ['Connection', 'close'] : [];
  }

  /**
   * A worker's status that callers would read as this promise is replaced by 502. The digest is then dropped, because
   * it stands for the worker's original response.
   */
  forward(request: RelayedRequest, response: BufferedResponse): void {
    const { responseWriter } = request.incoming;
    responseWriter.tryHold(0);
    const promisesNotExecuted = NOT_EXECUTED_STATUSES.has(response.status);
    const headers = responseHeaders(response.headers);
    responseWriter.head(promisesNotExecuted ? BAD_GATEWAY : response.status, [
      ...(promisesNotExecuted ? withoutHeader(headers, this.headerNames.seal) : headers),
      'Content-Length',
      String(response.body.length),
      ...this.closeHeaders(),
    ]);
    responseWriter.write(response.body);
    responseWriter.end();
  }

  startStream(request: RelayedRequest, status: number, headers: RawHeaders): void {
    if (request.isResponseStarted) return;
    request.isResponseStarted = true;
    request.incoming.responseWriter.head(status, [...responseHeaders(headers), ...this.closeHeaders()]);
  }
}

/** Creates responses with the platform's header names. While `isClosing`, each is the last on its connection. */
export function createCallerResponses(headerNames: HeaderNames, isClosing: () => boolean): CallerResponses {
  return new HttpCallerResponses(headerNames, isClosing);
}

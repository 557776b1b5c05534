/** What the relay tells callers: its own refusals and failures, and workers' answers passed on. */
import type { HeaderNames } from '../../protocol/header-names.js';
import type { OpaqueRequest, RawHeaders } from '../../transport/opaque-http.js';
import { answerHeaders, withoutHeader } from './forwarded-headers.js';
import type { RelayedRequest } from './relayed-request.js';

/** A worker's answer, held until its end was seen. */
export type BufferedResponse = { readonly status: number; readonly headers: RawHeaders; readonly body: Buffer };

/** Responses to callers: the relay's own, and those of workers passed on. */
export interface CallerResponses {
  /** Answers with a failure of the relay's own; a 503 tells when to come back. */
  refuse(incoming: OpaqueRequest, status: number, tag: string, retryAfterS: number | null): void;
  /** Passes a worker's whole answer on. */
  passOn(request: RelayedRequest, answer: BufferedResponse): void;
  /** Passes the head of a stream on, if none has been. */
  begin(request: RelayedRequest, status: number, headers: RawHeaders): void;
}

/** Statuses by which a proxy promises that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([503, 429, 408, 421]);
const CONTENT_TOO_LARGE = 413;
const BAD_GATEWAY = 502;

class HttpCallerResponses implements CallerResponses {
  constructor(
    private readonly headerNames: HeaderNames,
    private readonly closing: () => boolean,
  ) {}

  refuse(incoming: OpaqueRequest, status: number, tag: string, retryAfterS: number | null): void {
    const body = Buffer.from(JSON.stringify({ error: { tag } }));
    const head = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfterS !== null) head.push('Retry-After', retryAfterS.toFixed(2));
    if (this.closing() || status === CONTENT_TOO_LARGE) head.push('Connection', 'close');
    incoming.answerer.head(status, head);
    incoming.answerer.write(body);
    incoming.answerer.end();
  }

  private lastOnConnection(): string[] {
    return this.closing() ? ['Connection', 'close'] : [];
  }

  /**
   * A worker's own status that would be a promise is passed on as 502, and then without the seal, which
   * stands for the worker's answer as it was.
   */
  passOn(request: RelayedRequest, answer: BufferedResponse): void {
    const { answerer } = request.incoming;
    const promises = PROMISES.has(answer.status);
    const headers = answerHeaders(answer.headers);
    answerer.head(promises ? BAD_GATEWAY : answer.status, [
      ...(promises ? withoutHeader(headers, this.headerNames.seal) : headers),
      'Content-Length',
      String(answer.body.length),
      ...this.lastOnConnection(),
    ]);
    answerer.write(answer.body);
    answerer.end();
  }

  begin(request: RelayedRequest, status: number, headers: RawHeaders): void {
    if (request.answerBegun) return;
    request.answerBegun = true;
    request.incoming.answerer.head(status, [...answerHeaders(headers), ...this.lastOnConnection()]);
  }
}

/** Responses in the platform's header names; while `closing`, each is the last on its connection. */
export function createCallerResponses(headerNames: HeaderNames, closing: () => boolean): CallerResponses {
  return new HttpCallerResponses(headerNames, closing);
}

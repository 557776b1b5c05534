/**
 * Interfaces of HTTP servers and clients, so that tests can run on a simulated network. Servers serve
 * routes, clients make calls; `http-server.ts` and `http-client.ts` implement them.
 */

import type { Result } from '../base/result.js';
import type { StopLimits } from './http-connections.js';
import type { Address, Listener, WireError } from './wire.js';

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string>>;

/** A request as a handler sees it. `gone` returns whether its caller has disconnected. */
export type HttpRequest = {
  readonly method: string;
  readonly path: string;
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  readonly headers: Headers;
  readonly body: unknown;
  readonly gone: () => boolean;
  readonly arrivedAt?: number;
};

/** A response: one JSON body, one text, or a stream of JSON lines. */
export type HttpReply = {
  readonly status: number;
  readonly headers?: Headers;
  readonly body?: unknown;
  readonly text?: string;
  readonly lines?: AsyncIterable<unknown>;
};

/** A handler of one method and path. `earlyReply` may reject a request by its headers, before the body is read. */
export type Route = {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly maxBytes?: number;
  readonly earlyReply?: (req: HttpRequest) => HttpReply | null;
  readonly handle: (req: HttpRequest) => Promise<HttpReply>;
};

/** A listener that responds to the requests it has read before it closes; the default limits depend on its kind. */
export type HttpListener = Listener & { readonly close: (limits?: StopLimits) => Promise<void> };

/** Opens listeners that serve routes. */
export interface HttpServer {
  open(address: Address, routes: readonly Route[]): Promise<Result<HttpListener, WireError>>;
}

/** An outgoing call. `timeoutMs` covers the entire call; `stream` requests the response's lines as they arrive. */
export type HttpCall = {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly address: Address;
  readonly path: string;
  readonly headers?: Headers;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly stream?: boolean;
  readonly signal?: AbortSignal;
};

/** Why a call has no response. Only `neverSent` guarantees that the request was not sent. */
export type HttpError =
  | { readonly tag: 'neverSent' }
  | { readonly tag: 'broken' }
  | { readonly tag: 'timedOut' }
  /** The response, or a line of it, exceeds what the client keeps. */
  | { readonly tag: 'tooLarge' }
  | { readonly tag: 'notJson' };

/** A response. `lines` are those of a streamed response, and `abandon` ends the stream early. */
export type HttpAnswer = {
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly lines: AsyncIterable<Result<unknown, HttpError>>;
  readonly abandon: () => void;
};

/** Makes outgoing calls. */
export type HttpClient = { readonly call: (call: HttpCall) => Promise<Result<HttpAnswer, HttpError>> };

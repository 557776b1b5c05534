/**
 * Interfaces of servers and connection pools for opaque HTTP messages, which are passed on unchanged.
 * They allow tests to run on a simulated network.
 */
import type { Result } from '../base/result.js';
import type { Address, Listener, WireError } from './wire.js';

/** Header names and values in alternation, as they were received. */
export type RawHeaders = readonly string[];

/** Why a body was not read. */
export type BodyError =
  | { readonly tag: 'bodyTooLarge' }
  /** All callers together hold as much as the process may. */
  | { readonly tag: 'overloaded' }
  /** Nothing of the body came for the idle timeout. */
  | { readonly tag: 'stalled' }
  | { readonly tag: 'callerGone' };

/** Writes one response. After `abort` the caller can tell that the response is truncated. */
export type ResponseWriter = {
  readonly head: (status: number, headers: RawHeaders) => void;
  readonly write: (data: Buffer) => void;
  readonly end: () => void;
  readonly abort: () => void;
  readonly gone: () => boolean;
  /** Whether the head has been sent. */
  readonly begun: () => boolean;
  readonly onCallerGone: (callback: () => void) => void;
  /**
   * Accounts for `bytes` of a response that is buffered before it is written, instead of those before. Returns false if
   * all callers together hold too much for them.
   */
  readonly tryHold: (bytes: number) => boolean;
};

/** A request whose body has not been read yet; `body` reads at most `maxBytes` bytes. */
export type OpaqueRequest = {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly get: (name: string) => string | null;
  readonly body: (maxBytes: number) => Promise<Result<Buffer, BodyError>>;
  readonly responseWriter: ResponseWriter;
};

/** Sizes of a head and of a body in bytes, and timeouts of heads and of idle connections in milliseconds. */
export type OpaqueLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
};

/** A listener whose limits can be changed while it serves. */
export type OpaqueListener = Listener & {
  /**
   * Returns the number of requests whose response has not been handed to the operating system completely, including
   * requests that are still being read.
   */
  readonly inFlight: () => number;
  /** Rejects requests with 503 that arrived at least `afterMs` ago and are still incomplete. */
  readonly rejectIncomplete: (afterMs: number) => void;
  /** Stops accepting connections and closes idle ones; requests in flight continue. Idempotent. */
  readonly stopListening: () => void;
  readonly setLimits: (limits: OpaqueLimits) => void;
};

/** Opens listeners. */
export type OpaqueHttpServer = {
  readonly open: (address: Address, handle: (req: OpaqueRequest) => void) => Promise<Result<OpaqueListener, WireError>>;
};

/** Why a send failed; the outcomes in state/attempt-outcome.ts define what each error means. */
export type SendError =
  | { readonly tag: 'notConnected' }
  | { readonly tag: 'withheld' }
  | { readonly tag: 'resetUnwritten' }
  | { readonly tag: 'resetPartlyWritten' }
  | { readonly tag: 'reset' }
  | { readonly tag: 'garbled' };

/** Events of a send: the head, data and the end of the response, or one error. */
export type SendEvents = {
  readonly connected?: (ms: number) => void;
  readonly head: (status: number, headers: RawHeaders, get: (name: string) => string | null) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly failed: (error: SendError) => void;
};

/** A request to send, and the connect timeout in milliseconds. */
export type OutgoingRequest = {
  readonly address: Address;
  readonly method: string;
  readonly target: string;
  /** Called when the connection is established and the request is about to be written; null withholds the request. */
  readonly headers: () => RawHeaders | null;
  readonly body: Buffer | null;
  /** Whether the request must not be sent on a connection that has carried a request before. */
  readonly requiresNewConnection: boolean;
  readonly connectTimeoutMs: number;
};

/** A send in flight; `abort` ends it and closes its connection. */
export interface PendingSend {
  abort(): void;
}

/** A pool of connections to workers, which are kept open between requests. */
export interface ConnectionPool {
  send(what: OutgoingRequest, events: SendEvents): PendingSend;
  check(address: Address, waitMs: number, done: (reached: boolean) => void): void;
  open(address: Address): number;
  idle(address: Address): number;
  forget(address: Address): void;
  totalDialled(): number;
  stop(): void;
}

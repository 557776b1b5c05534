import type { Result } from '../base/result.js';
import type { Address, Listener, WireError } from './wire.js';

export type RawHeaders = readonly string[];

export type BodyError = { readonly tag: 'bodyTooLarge' } | { readonly tag: 'callerGone' };

export type Answerer = {
  readonly head: (status: number, headers: RawHeaders) => void;
  readonly write: (data: Buffer) => void;
  readonly end: () => void;
  readonly abort: () => void;
  readonly gone: () => boolean;
  readonly onGone: (callback: () => void) => void;
};

export type OpaqueRequest = {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly get: (name: string) => string | null;
  readonly body: (most: number) => Promise<Result<Buffer, BodyError>>;
  readonly answerer: Answerer;
};

export type OpaqueLimits = { readonly headerMs: number; readonly idleMs: number };

export type OpaqueListener = Listener & {
  /** Takes no new connection and closes the idle ones; what is under way goes on. Calling it again changes nothing. */
  readonly stopListening: () => void;
  readonly limit: (limits: OpaqueLimits) => void;
};

export type OpaqueHttpServer = {
  readonly open: (address: Address, handle: (req: OpaqueRequest) => void) => Promise<Result<OpaqueListener, WireError>>;
};

/** How a sending failed; the outcomes of state/attempt-outcome.ts say what each means. */
export type SendError =
  | { readonly tag: 'notConnected' }
  | { readonly tag: 'withheld' }
  | { readonly tag: 'resetUnwritten' }
  | { readonly tag: 'resetPartlyWritten' }
  | { readonly tag: 'reset' }
  | { readonly tag: 'garbled' };

export type SendEvents = {
  readonly connected?: (ms: number) => void;
  readonly head: (status: number, headers: RawHeaders, get: (name: string) => string | null) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly failed: (error: SendError) => void;
};

export type Sending = {
  readonly address: Address;
  readonly method: string;
  readonly target: string;
  /** Asked at the moment of writing, when the connection is up; null withholds the request. */
  readonly headers: () => RawHeaders | null;
  readonly body: Buffer | null;
  /** Not to be sent on a connection that has carried a request before. */
  readonly newConnection: boolean;
  readonly connectMs: number;
};

export interface Sent {
  abort(): void;
}

export interface ConnectionPool {
  send(what: Sending, events: SendEvents): Sent;
  check(address: Address, waitMs: number, done: (reached: boolean) => void): void;
  open(address: Address): number;
  idle(address: Address): number;
  forget(address: Address): void;
  made(): number;
  stop(): void;
}

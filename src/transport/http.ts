import type { Result } from '../base/result.js';
import type { Address, Listener, WireFault } from './wire.js';

export type Headers = Readonly<Record<string, string>>;

export type HttpRequest = {
  readonly method: string;
  readonly path: string;
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  readonly headers: Headers;
  readonly body: unknown;
  readonly gone: () => boolean;
  readonly cameAt?: number;
};

export type HttpReply = {
  readonly status: number;
  readonly headers?: Headers;
  readonly body?: unknown;
  readonly text?: string;
  readonly lines?: AsyncIterable<unknown>;
};

export type Route = {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly maxBytes?: number;
  readonly gate?: (req: HttpRequest) => HttpReply | null;
  readonly handle: (req: HttpRequest) => Promise<HttpReply>;
};

export type HttpServer = {
  readonly open: (address: Address, routes: readonly Route[]) => Promise<Result<Listener, WireFault>>;
};

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

export type HttpFault =
  | { readonly tag: 'neverSent' }
  | { readonly tag: 'broken' }
  | { readonly tag: 'timedOut' }
  | { readonly tag: 'notJson' };

export type HttpAnswer = {
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly lines: AsyncIterable<Result<unknown, HttpFault>>;
  readonly abandon: () => void;
};

export type HttpClient = { readonly call: (call: HttpCall) => Promise<Result<HttpAnswer, HttpFault>> };

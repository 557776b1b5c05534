/**
 * Outgoing HTTP calls, implemented with `got`. Errors say whether a request may have reached the server:
 * only `neverSent` guarantees that it has not. Nothing is retried here. What a server answers is bounded: one response, one
 * line of a stream, and all responses that are being received at a time.
 */

import got from 'got';
import type { Request } from 'got';
import { Agent } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { ByteAccumulator } from '../base/byte-accumulator.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from './http.js';
import { splitLines } from './response-lines.js';
import type { LineLimits } from './response-lines.js';
import { setOwnValue } from '../base/own-value.js';

/** Limits of what servers answer, in bytes. */
export type ResponseLimits = {
  readonly maxResponseBytes: number;
  readonly maxLineBytes: number;
  /** All responses and lines that are being received at a time. */
  readonly maxHeldBytes: number;
};

const MB = 1_048_576;
const DEFAULT_LIMITS: ResponseLimits = { maxResponseBytes: 32 * MB, maxLineBytes: MB, maxHeldBytes: 64 * MB };
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL']);
const TOO_LARGE: HttpError = { tag: 'tooLarge' };

function errorOf(error: unknown): HttpError {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';
  const event = typeof error === 'object' && error !== null && 'event' in error ? String(error.event) : '';
  if (NOT_SENT_CODES.has(code) || event === 'connect' || event === 'lookup') return { tag: 'neverSent' };
  if (code === 'ETIMEDOUT') return { tag: 'timedOut' };
  return { tag: 'broken' };
}

function headersOf(res: IncomingMessage): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [key, value] of Object.entries(res.headers)) if (typeof value === 'string') setOwnValue(out, key, value);
  return out;
}

async function* noLines(): AsyncGenerator<Result<unknown, HttpError>> {}

/** Parses a body. An error response may have any body unless its stream was asked for, or it claims to be JSON. */
function parseBody(text: string, res: IncomingMessage, isStrict: boolean): Result<unknown, HttpError> {
  if (text === '') return ok(null);
  try {
    return ok(JSON.parse(text));
  } catch {
    const isOtherType = !(res.headers['content-type'] ?? '').includes('json');
    return isStrict || !isOtherType || res.statusCode === 200 ? err({ tag: 'notJson' }) : ok(null);
  }
}

/** One call. Its promise resolves with the response, or with the head of a streamed one. */
class GotCall {
  private readonly stream: Request;
  private streamError: HttpError | null = null;
  private isSettled = false;

  constructor(
    private readonly client: GotHttpClient,
    private readonly call: HttpCall,
    private readonly resolve: (result: Result<HttpAnswer, HttpError>) => void,
  ) {
    this.stream = got.stream(`http://${call.address}${call.path}`, {
      method: call.method,
      agent: client.agent,
      ...(call.headers ? { headers: { ...call.headers } } : {}),
      ...this.bodyOptions(),
      throwHttpErrors: false,
      followRedirect: false,
      retry: { limit: 0 },
      timeout: { request: call.timeoutMs, connect: client.connectTimeoutMs },
      ...(call.signal ? { signal: call.signal } : {}),
    });
    this.stream.on('error', (error) => this.onError(error));
    this.stream.once('response', (res: IncomingMessage) => this.onResponse(res));
  }

  /** Without a body, a call that may have one needs an empty one to be sent. */
  private bodyOptions(): { json?: unknown; body?: string } {
    if (this.call.body !== undefined) return { json: this.call.body };
    return this.call.method === 'GET' ? {} : { body: '' };
  }

  private settle(result: Result<HttpAnswer, HttpError>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.resolve(result);
  }

  private onError(error: unknown): void {
    this.streamError = errorOf(error);
    this.settle(err(this.streamError));
  }

  private onResponse(res: IncomingMessage): void {
    const isLines = this.call.stream === true && (res.headers['content-type'] ?? '').includes('ndjson');
    if (isLines) this.settle(ok(this.answerOf(res, null, this.readLines(res))));
    else void this.readBody(res);
  }

  private answerOf(res: IncomingMessage, body: unknown, lines = noLines()): HttpAnswer {
    const abandon = (): void => {
      this.stream.destroy();
    };
    return { status: res.statusCode ?? 0, headers: headersOf(res), body, lines, abandon };
  }

  private async readBody(res: IncomingMessage): Promise<void> {
    const received = new ByteAccumulator();
    let held = 0;
    try {
      for await (const chunk of this.stream as AsyncIterable<Buffer>) {
        const isTooLarge = received.length + chunk.length > this.client.limits.maxResponseBytes;
        if (isTooLarge || !this.client.tryHold(chunk.length)) {
          this.settle(err(TOO_LARGE));
          return;
        }
        held += chunk.length;
        received.append(chunk);
      }
      const body = parseBody(received.take().toString(), res, this.call.stream === true);
      this.settle(body.ok ? ok(this.answerOf(res, body.value)) : body);
    } catch (error) {
      this.settle(err(errorOf(error)));
    } finally {
      this.client.release(held);
      this.stream.destroy();
    }
  }

  private async *readLines(res: IncomingMessage): AsyncGenerator<Result<unknown, HttpError>> {
    const chunks = this.stream as AsyncIterable<Buffer>;
    try {
      for await (const line of splitLines(chunks, this.client.lineLimits)) {
        if (line.tag === 'tooLong') {
          yield err(TOO_LARGE);
          return;
        }
        if (line.text === '') continue;
        const value = parseBody(line.text, res, true);
        yield value;
        if (!value.ok) return;
      }
    } catch (error) {
      this.streamError = errorOf(error);
    } finally {
      this.stream.destroy();
    }
    if (this.streamError) yield err(this.streamError);
    else if (!res.complete) yield err({ tag: 'broken' });
  }
}

class GotHttpClient implements HttpClient {
  readonly agent = { http: new Agent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 64 }) };
  readonly lineLimits: LineLimits;
  private heldBytes = 0;

  constructor(
    readonly connectTimeoutMs: number,
    readonly limits: ResponseLimits,
  ) {
    this.lineLimits = {
      maxBytes: limits.maxLineBytes,
      tryHold: (bytes) => this.tryHold(bytes),
      release: (bytes) => this.release(bytes),
    };
  }

  tryHold(bytes: number): boolean {
    if (this.heldBytes + bytes > this.limits.maxHeldBytes) return false;
    this.heldBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.heldBytes -= bytes;
  }

  call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    return new Promise((resolve) => {
      new GotCall(this, httpCall, resolve);
    });
  }
}

/** Creates a client with keep-alive connections. Connecting takes at most `connectTimeoutMs`. */
export function createGotHttpClient(connectTimeoutMs: number, limits = DEFAULT_LIMITS): HttpClient {
  const client = new GotHttpClient(connectTimeoutMs, limits);
  return { call: (httpCall) => client.call(httpCall) };
}

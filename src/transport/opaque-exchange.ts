/** One opaque request and the response to it, with what both hold of the memory for all callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { CallerIntake } from './caller-intake.js';
import { endResponse } from './end-response.js';
import type { MemoryHold } from './memory-budget.js';
import { readRequestBody } from './message-body.js';
import type { BodyError, OpaqueRequest, RawHeaders, ResponseWriter } from './opaque-http.js';
import { ownValue } from '../base/own-value.js';

/** What an exchange needs of its server. */
export type ExchangeDeps = {
  readonly intake: CallerIntake;
  /** How long a caller may neither send nor read anything while it is waited for, in milliseconds. */
  readonly idleMs: () => number;
};

/** A caller with more unread bytes than this is cut off. One event, or one response, is always taken. */
const MAX_UNREAD_BYTES = 1_048_576;

/** Bodies are passed on unread, so their tokens are not counted. */
const BODY_ERRORS = {
  tooLarge: { tag: 'bodyTooLarge' },
  tooManyTokens: { tag: 'bodyTooLarge' },
  overloaded: { tag: 'overloaded' },
  stalled: { tag: 'stalled' },
} as const;

class OpaqueExchange implements OpaqueRequest, ResponseWriter {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly responseWriter: ResponseWriter = this;
  private readonly goneCallbacks: (() => void)[] = [];
  private isClosedEarly = false;
  private hasSentHead = false;
  private memory: MemoryHold | null = null;
  private bodyBytes = 0;
  private bufferedBytes = 0;

  constructor(
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly deps: ExchangeDeps,
  ) {
    this.method = req.method ?? 'GET';
    this.target = req.url ?? '/';
    this.headers = req.rawHeaders;
    res.on('close', () => this.onClose());
    res.on('drain', () => this.resizeMemory());
    res.on('error', () => undefined);
  }

  readonly get = (name: string): string | null => {
    const value = ownValue(this.req.headers, name);
    return typeof value === 'string' ? value : null;
  };

  readonly body = async (maxBytes: number): Promise<Result<Buffer, BodyError>> => {
    const { intake, idleMs } = this.deps;
    const { read, hold } = await readRequestBody(this.req, { maxBytes, stallMs: idleMs(), intake });
    if (read.tag !== 'complete' || this.res.headersSent || this.res.destroyed) {
      hold.release();
      if (read.tag === 'complete' || read.tag === 'aborted') return err({ tag: 'callerGone' });
      return err(BODY_ERRORS[read.tag]);
    }
    this.memory = hold;
    this.bodyBytes = read.body.length;
    this.tryHold(0);
    return ok(read.body);
  };

  readonly tryHold = (bytes: number): boolean => {
    this.bufferedBytes = bytes;
    return this.resizeMemory();
  };

  readonly head = (status: number, headers: RawHeaders): void => {
    if (this.res.headersSent || this.res.destroyed) return;
    this.hasSentHead = true;
    this.res.sendDate = false;
    this.res.writeHead(status, headers as unknown as string[]);
  };

  readonly write = (data: Buffer): void => {
    if (this.res.destroyed || this.isRejected()) return;
    const isCutOff = this.res.writableLength > MAX_UNREAD_BYTES;
    if (!isCutOff) this.res.write(data);
    if (isCutOff || !this.resizeMemory()) this.abort();
  };

  readonly end = (): void => {
    if (this.res.destroyed || this.isRejected()) return;
    endResponse(this.req, this.res, this.deps.intake.lingering);
    if (!this.res.writableFinished) this.res.socket?.setTimeout(this.deps.idleMs());
  };

  /**
   * Ends a response so that the caller can't take it for a complete one: without chunked encoding only a connection
   * reset shows that it was truncated.
   */
  readonly abort = (): void => {
    if (this.res.headersSent && !this.res.chunkedEncoding) this.res.socket?.resetAndDestroy();
    this.res.destroy();
  };

  readonly gone = (): boolean => this.isClosedEarly || this.res.destroyed || this.isRejected();

  readonly begun = (): boolean => this.res.headersSent;

  readonly onCallerGone = (callback: () => void): void => {
    this.goneCallbacks.push(callback);
  };

  private resizeMemory(): boolean {
    return this.memory?.tryResize(this.bodyBytes + this.bufferedBytes + this.res.writableLength) ?? true;
  }

  /**
   * Whether the server rejected this request because it was incomplete when the server stopped (`rejectIncomplete`).
   */
  private isRejected(): boolean {
    return this.res.headersSent && !this.hasSentHead;
  }

  private onClose(): void {
    this.memory?.release();
    this.memory = null;
    if (this.isClosedEarly || this.res.writableFinished) return;
    this.isClosedEarly = true;
    for (const callback of this.goneCallbacks) callback();
  }
}

/** Creates the request that a handler sees. */
export function createOpaqueRequest(req: IncomingMessage, res: ServerResponse, deps: ExchangeDeps): OpaqueRequest {
  return new OpaqueExchange(req, res, deps);
}

/** Reads the body of an HTTP message into memory, up to a limit. */
import type { IncomingMessage } from 'node:http';
import { ByteAccumulator } from '../base/byte-accumulator.js';
import { JsonTokenCounter } from '../base/json-tokens.js';
import { BodyPace } from './body-pace.js';
import type { CallerIntake } from './caller-intake.js';
import type { MemoryHold } from './memory-budget.js';
import { stopParsing } from './socket-reading.js';

/**
 * How reading a body ended: with all of it, at one of its limits, because all callers together hold too much, because nothing of it
 * came for too long, or with the connection.
 */
export type BodyRead =
  | { readonly tag: 'complete'; readonly body: Buffer }
  | { readonly tag: 'tooLarge' }
  | { readonly tag: 'tooManyTokens' }
  | { readonly tag: 'overloaded' }
  | { readonly tag: 'stalled' }
  | { readonly tag: 'aborted' };

/** Reads at most `maxBytes`; a body that announces more is not read at all. Nothing is kept unless it is complete. */
export function readMessageBody(message: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  return new BodyReader(message, maxBytes).read();
}

/** Limits of the body of a caller's request. */
export type RequestBodyLimits = {
  readonly maxBytes: number;
  /** For a body that is to be parsed as JSON: its largest number of tokens. */
  readonly maxTokens?: number;
  /** Time without any byte after which the body is given up, in milliseconds. */
  readonly stallMs: number;
  readonly intake: CallerIntake;
};

/** The outcome of reading a request's body, and what it holds of the budget until it is released. */
export type RequestBodyRead = { readonly read: BodyRead; readonly hold: MemoryHold };

/** Reads the body of a request within the budget of all callers. The hold is to be released with the request. */
export async function readRequestBody(request: IncomingMessage, limits: RequestBodyLimits): Promise<RequestBodyRead> {
  const reader = new BodyReader(request, limits.maxBytes, limits.maxTokens);
  const hold = limits.intake.budget.open(() => reader.giveUp('overloaded'));
  const pace = new BodyPace(request.socket, limits.intake.reading, () => reader.refuseTinyPieces());
  request.setTimeout(limits.stallMs, () => reader.giveUp('stalled'));
  const read = await reader.read(hold, pace);
  pace.end();
  request.setTimeout(0);
  if (read.tag === 'complete') hold.keep();
  return { read, hold };
}

class BodyReader {
  private readonly received = new ByteAccumulator();
  private readonly tokens = new JsonTokenCounter();
  private resolve: (read: BodyRead) => void = () => undefined;
  private hold: MemoryHold | null = null;
  private pace: BodyPace | null = null;

  constructor(
    private readonly message: IncomingMessage,
    private readonly maxBytes: number,
    private readonly maxTokens = Infinity,
  ) {}

  read(hold: MemoryHold | null = null, pace: BodyPace | null = null): Promise<BodyRead> {
    this.hold = hold;
    this.pace = pace;
    if (Number(this.message.headers['content-length'] ?? 0) > this.maxBytes)
      return Promise.resolve({ tag: 'tooLarge' });
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.message.on('data', this.onData);
      this.message.on('end', () => this.onEnd());
      for (const event of ['error', 'aborted', 'close']) this.message.on(event, () => this.giveUp('aborted'));
    });
  }

  giveUp(tag: 'tooLarge' | 'tooManyTokens' | 'overloaded' | 'stalled' | 'aborted'): void {
    this.settle({ tag });
  }

  /** Gives the body up, and spends no more time on the pieces of it that have been read already. */
  refuseTinyPieces(): void {
    this.giveUp('overloaded');
    stopParsing(this.message.socket);
  }

  private readonly onData = (chunk: Buffer): void => {
    if (this.pace?.tryAdd(chunk.length) === false) {
      this.refuseTinyPieces();
      return;
    }
    if (this.received.length + chunk.length > this.maxBytes) {
      this.giveUp('tooLarge');
      return;
    }
    if (this.maxTokens !== Infinity && this.tokens.add(chunk) > this.maxTokens) {
      this.giveUp('tooManyTokens');
      return;
    }
    const heldBefore = this.received.heldBytes;
    this.received.append(chunk);
    this.hold?.touch();
    const { heldBytes } = this.received;
    if (heldBytes !== heldBefore && this.hold?.tryResize(heldBytes) === false) this.giveUp('overloaded');
  };

  private onEnd(): void {
    this.settle(this.message.complete ? { tag: 'complete', body: this.received.take() } : { tag: 'aborted' });
  }

  private settle(read: BodyRead): void {
    this.message.off('data', this.onData);
    this.received.clear();
    if (read.tag !== 'complete') this.hold?.tryResize(0);
    this.resolve(read);
  }
}

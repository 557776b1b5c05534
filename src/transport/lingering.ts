/**
 * Closes connections whose request was answered before it had arrived whole. Closing a connection with unread bytes resets
 * it, and its caller could lose the response, so some time is given to it, for a bounded number of connections.
 */
import type { IncomingMessage } from 'node:http';
import type { Clock } from './clock.js';
import type { ReadTurns } from './read-turns.js';
import { isParsingStopped } from './socket-reading.js';

/** A caller that is answered while it still sends its body has this long, and this many bytes, to end. */
const LINGER_MS = 1_000;
const MAX_DISCARDED_BYTES = 4 * 1_048_576;
/** Connections whose bodies are read on, and discarded. */
const MAX_DISCARDING = 16;
/** Connections that are kept open, but not read, so that their callers can read the response. */
const MAX_WAITING = 256;
const BYTES_PER_TURN = 32_768;

/** The lingering connections of a process. */
export class Lingering {
  private discarding = 0;
  private waiting = 0;

  constructor(
    private readonly clock: Clock,
    private readonly turns: ReadTurns,
  ) {}

  /** Calls `onEnd` once the caller has had its time, or at once if too many other connections linger. */
  linger(req: IncomingMessage, onEnd: () => void): void {
    if (this.discarding < MAX_DISCARDING && !isParsingStopped(req.socket)) this.discard(req, onEnd);
    else if (this.waiting < MAX_WAITING) this.wait(req, onEnd);
    else onEnd();
  }

  private discard(req: IncomingMessage, onEnd: () => void): void {
    let discardedBytes = 0;
    let bytesOfTurn = 0;
    const onData = (chunk: Buffer): void => {
      discardedBytes += chunk.length;
      bytesOfTurn += chunk.length;
      if (discardedBytes > MAX_DISCARDED_BYTES) finish();
      else if (bytesOfTurn >= BYTES_PER_TURN) {
        bytesOfTurn = 0;
        this.turns.await(req.socket);
      }
    };
    this.discarding += 1;
    const finish = this.onceEnded(req, onEnd, () => {
      this.discarding -= 1;
      req.off('data', onData);
    });
    req.on('data', onData);
    req.once('end', finish);
    req.resume();
  }

  private wait(req: IncomingMessage, onEnd: () => void): void {
    req.pause();
    this.turns.end(req.socket);
    this.waiting += 1;
    this.onceEnded(req, onEnd, () => (this.waiting -= 1));
  }

  /** Returns a function that ends the lingering; it ends by itself after its time, or when the connection closes. */
  private onceEnded(req: IncomingMessage, onEnd: () => void, cleanUp: () => void): () => void {
    let hasEnded = false;
    const timer = this.clock.timer(LINGER_MS, () => finish());
    function end(): boolean {
      if (hasEnded) return false;
      hasEnded = true;
      timer.cancel();
      cleanUp();
      return true;
    }
    function finish(): void {
      if (end()) onEnd();
    }
    req.once('close', end);
    return finish;
  }
}

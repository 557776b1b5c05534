/**
 * Lets connections that send large bodies take turns. Without turns, the runtime reads up to two megabytes from each of them
 * before it looks at the next, other callers wait meanwhile, and the operating system grows the receive buffer of a
 * connection that is read that fast.
 */
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';
import { continueReading, stopReading } from './socket-reading.js';

/** Connections that read in one turn of the event loop; each reads 64 KB at most. */
const READERS_PER_TURN = 16;
const LONG_TURN_MS = 4;
/** A turn in which the process stood still may have taken any time. */
const MAX_PAUSE_MS = 50;

/** What a connection sends: pieces of usual size, or so many tiny ones that its read takes a turn of its own. */
export type PieceSize = 'usual' | 'tiny';

/** The connections of a process that wait for their turn, in the order in which they came. */
export class ReadTurns {
  private readonly waiting = new Map<Socket, PieceSize>();
  private isScheduled = false;

  constructor(private readonly clock: Clock) {}

  /** Stops reading from the connection until its next turn. */
  await(socket: Socket, size: PieceSize = 'usual'): void {
    if (!stopReading(socket)) return;
    this.waiting.set(socket, size);
    this.schedule();
  }

  /** Stops reading from the connection, without another turn. */
  end(socket: Socket): void {
    stopReading(socket);
    this.waiting.delete(socket);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => this.beginTurn());
  }

  /** Lets the next connections read when the event loop polls next. */
  private beginTurn(): void {
    const startedAt = this.clock.mono();
    let readers = 0;
    for (const [socket, size] of this.waiting) {
      if (readers >= READERS_PER_TURN) break;
      this.waiting.delete(socket);
      if (socket.destroyed) continue;
      readers += size === 'tiny' ? READERS_PER_TURN : 1;
      continueReading(socket);
    }
    setImmediate(() => this.endTurn(startedAt));
  }

  /** After a long turn, everything else gets as much time as it took. */
  private endTurn(startedAt: number): void {
    const tookMs = this.clock.mono() - startedAt;
    if (tookMs < LONG_TURN_MS) this.beginNext();
    else this.clock.timer(Math.min(tookMs, MAX_PAUSE_MS), () => this.beginNext());
  }

  private beginNext(): void {
    this.isScheduled = false;
    this.schedule();
  }
}

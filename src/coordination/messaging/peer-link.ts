/**
 * One connection to another node: the calls that wait for an answer on it, and when it is closed. A connection that owes an
 * answer for too long is closed, and so is one that nobody has used for a while. `peers.ts` makes one for each connection.
 */
import { readFrame } from '../../protocol/messages.js';
import type { Message } from '../../protocol/messages.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Connection } from '../../transport/wire.js';

/** The other end of a connection. */
export type Peer = {
  readonly send: (message: Message) => void;
  readonly onClosed: (callback: () => void) => void;
  readonly close: () => void;
};

/** What a link tells its owner. */
export type PeerLinkEvents = {
  /** A message came; the value is sent back if it was a call. */
  readonly onMessage: (message: Message, peer: Peer) => Promise<Message> | Message | null;
  readonly onGone: () => void;
};

type PendingCall = { readonly done: (answer: Message | null) => void; readonly timer: Timer };

/** Longest wait for any byte after a call was sent, in milliseconds. */
export const SILENT_MS = 1_200;
/** A timer that fires this much late says that this process stood still, and nothing of the peer. */
const STOOD_STILL_MS = 600;
/** Least time between two looks at whether the link is idle. */
const LEAST_IDLE_CHECK_MS = 1_000;

/** A link over one connection. It closes itself after `idleMs` without use, unless `keep` was called. */
export class PeerLink {
  readonly peer: Peer;
  private readonly closeCallbacks: (() => void)[] = [];
  private readonly pending = new Map<number, PendingCall>();
  private owedSince: number | null = null;
  private responseTimer: Timer | null = null;
  private usedAt: number;
  private idleTimer: Timer;
  private closed = false;
  private isKept = false;

  constructor(
    private readonly connection: Connection,
    private readonly idleMs: number,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly events: PeerLinkEvents,
  ) {
    this.usedAt = clock.mono();
    this.idleTimer = clock.timer(idleMs, () => this.checkIdle());
    this.peer = {
      send: (message) => this.send(message),
      onClosed: (callback) => this.onClosed(callback),
      close: () => connection.close(),
    };
    connection.attach({
      frame: (body) => this.onFrame(body),
      closed: () => this.onConnectionClosed(),
      heard: () => this.onBytes(),
    });
  }

  isClosed(): boolean {
    return this.closed;
  }

  /** From now on the link is not closed for being idle. */
  keep(): void {
    this.isKept = true;
  }

  close(): void {
    this.connection.close();
  }

  /**
   * Sends a call. `done` is given the answer, or null if none came within `leftMs` or the connection ended. With `watched`
   * a peer that sends no byte at all for SILENT_MS loses the connection.
   */
  call(id: number, message: Message, leftMs: number, watched: boolean, done: (answer: Message | null) => void): void {
    const expire = (): void => {
      this.pending.delete(id);
      done(null);
    };
    this.pending.set(id, { done, timer: this.clock.timer(leftMs, expire) });
    this.connection.send({ t: 'call', id, m: message });
    if (watched) this.expectBytes();
  }

  private send(message: Message): void {
    this.usedAt = this.clock.mono();
    this.connection.send({ t: 'tell', m: message });
  }

  private onClosed(callback: () => void): void {
    if (this.closed) callback();
    else this.closeCallbacks.push(callback);
  }

  private expectBytes(): void {
    this.usedAt = this.clock.mono();
    if (this.owedSince !== null) return;
    this.owedSince = this.usedAt;
    this.responseTimer = this.clock.timer(SILENT_MS, () => this.checkTimeout());
  }

  private onBytes(): void {
    this.usedAt = this.clock.mono();
    this.owedSince = null;
    this.responseTimer?.cancel();
  }

  private checkTimeout(): void {
    if (this.owedSince === null || this.closed) return;
    if (this.clock.mono() - this.owedSince < SILENT_MS + STOOD_STILL_MS) {
      this.connection.close();
      return;
    }
    this.owedSince = null;
    this.expectBytes();
  }

  private checkIdle(): void {
    if (this.closed) return;
    const left = this.usedAt + this.idleMs - this.clock.mono();
    if (left <= 0 && !this.isKept) this.connection.close();
    else this.idleTimer = this.clock.timer(Math.max(LEAST_IDLE_CHECK_MS, left), () => this.checkIdle());
  }

  private onConnectionClosed(): void {
    if (this.closed) return;
    this.closed = true;
    this.responseTimer?.cancel();
    this.idleTimer.cancel();
    this.events.onGone();
    for (const call of this.pending.values()) {
      call.timer.cancel();
      call.done(null);
    }
    this.pending.clear();
    for (const callback of this.closeCallbacks) callback();
  }

  private onFrame(body: unknown): void {
    this.onBytes();
    const frame = readFrame(body);
    if (!frame) {
      this.log.warn('connection closed', { peer: this.connection.peer, reason: 'a frame had no known shape' });
      this.connection.close();
      return;
    }
    if (frame.t === 'answer') {
      this.onAnswer(frame.id, frame.m);
      return;
    }
    const answer = this.events.onMessage(frame.m, this.peer);
    if (frame.t === 'call') void this.answer(frame.id, answer);
  }

  private onAnswer(id: number, answer: Message): void {
    const call = this.pending.get(id);
    if (!call) return;
    this.pending.delete(id);
    call.timer.cancel();
    call.done(answer);
  }

  private async answer(id: number, given: Promise<Message> | Message | null): Promise<void> {
    const answer = await given;
    if (answer) this.connection.send({ t: 'answer', id, m: answer });
  }
}

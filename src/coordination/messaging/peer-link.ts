/**
 * One connection to another node: its pending calls, and when it is closed. A connection on which no byte arrives for
 * too long after a call is closed, and so is one that has been idle for a while. `peers.ts` creates one link for each
 * connection.
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

/** Callbacks from a link to its owner. */
export type PeerLinkEvents = {
  /** Called for each message received; the value is sent back if the message was a call. */
  readonly onMessage: (message: Message, peer: Peer) => Promise<Message> | Message | null;
  readonly onLinkClosed: () => void;
};

type PendingCall = { readonly done: (response: Message | null) => void; readonly timer: Timer };

/** Maximum time without any byte received after a call was sent, in milliseconds. */
export const UNRESPONSIVE_TIMEOUT_MS = 1_200;
/** A timer that fires this late, in milliseconds, indicates a pause of this process and not an unresponsive peer. */
const PROCESS_PAUSE_MS = 600;
/** Minimum interval between two idle checks, in milliseconds. */
const MIN_IDLE_CHECK_INTERVAL_MS = 1_000;

/** A link over one connection. It closes itself after `idleLimitMs` without use, unless `keepOpen` was called. */
export class PeerLink {
  readonly peer: Peer;
  private readonly closeCallbacks: (() => void)[] = [];
  private readonly pending = new Map<number, PendingCall>();
  private awaitingBytesSince: number | null = null;
  private unresponsiveTimer: Timer | null = null;
  private lastUsedAt: number;
  private idleTimer: Timer;
  private closed = false;
  private isKeptOpen = false;

  constructor(
    private readonly connection: Connection,
    private readonly idleLimitMs: number,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly events: PeerLinkEvents,
  ) {
    this.lastUsedAt = clock.mono();
    this.idleTimer = clock.timer(idleLimitMs, () => this.checkIdle());
    this.peer = {
      send: (message) => this.send(message),
      onClosed: (callback) => this.onClosed(callback),
      close: () => connection.close(),
    };
    connection.attach({
      frame: (body) => this.onFrame(body),
      closed: () => this.onConnectionClosed(),
      bytesReceived: () => this.onBytes(),
    });
  }

  isClosed(): boolean {
    return this.closed;
  }

  /** Exempts the link from the idle timeout. */
  keepOpen(): void {
    this.isKeptOpen = true;
  }

  close(): void {
    this.connection.close();
  }

  /**
   * Sends a call. `onResponse` is called with the response, or with null if none arrived within `timeoutMs` or the
   * connection closed. With `isWatched`, the connection is closed if the peer is unresponsive: no byte arrives in time.
   */
  call(
    id: number,
    message: Message,
    timeoutMs: number,
    isWatched: boolean,
    onResponse: (response: Message | null) => void,
  ): void {
    const onTimeout = (): void => {
      this.pending.delete(id);
      onResponse(null);
    };
    this.pending.set(id, { done: onResponse, timer: this.clock.timer(timeoutMs, onTimeout) });
    this.connection.send({ t: 'call', id, m: message });
    if (isWatched) this.expectBytes();
  }

  private send(message: Message): void {
    this.lastUsedAt = this.clock.mono();
    this.connection.send({ t: 'tell', m: message });
  }

  private onClosed(callback: () => void): void {
    if (this.closed) callback();
    else this.closeCallbacks.push(callback);
  }

  private expectBytes(): void {
    this.lastUsedAt = this.clock.mono();
    if (this.awaitingBytesSince !== null) return;
    this.awaitingBytesSince = this.lastUsedAt;
    this.unresponsiveTimer = this.clock.timer(UNRESPONSIVE_TIMEOUT_MS, () => this.checkUnresponsive());
  }

  private onBytes(): void {
    this.lastUsedAt = this.clock.mono();
    this.awaitingBytesSince = null;
    this.unresponsiveTimer?.cancel();
  }

  private checkUnresponsive(): void {
    if (this.awaitingBytesSince === null || this.closed) return;
    if (this.clock.mono() - this.awaitingBytesSince < UNRESPONSIVE_TIMEOUT_MS + PROCESS_PAUSE_MS) {
      this.connection.close();
      return;
    }
    this.awaitingBytesSince = null;
    this.expectBytes();
  }

  private checkIdle(): void {
    if (this.closed) return;
    const remainingMs = this.lastUsedAt + this.idleLimitMs - this.clock.mono();
    if (remainingMs <= 0 && !this.isKeptOpen) this.connection.close();
    else this.idleTimer = this.clock.timer(Math.max(MIN_IDLE_CHECK_INTERVAL_MS, remainingMs), () => this.checkIdle());
  }

  private onConnectionClosed(): void {
    if (this.closed) return;
    this.closed = true;
    this.unresponsiveTimer?.cancel();
    this.idleTimer.cancel();
    this.events.onLinkClosed();
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
      this.log.warn('connection closed', { peer: this.connection.peer, reason: 'received a malformed frame' });
      this.connection.close();
      return;
    }
    if (frame.t === 'answer') {
      this.onResponse(frame.id, frame.m);
      return;
    }
    const response = this.events.onMessage(frame.m, this.peer);
    if (frame.t === 'call') void this.respond(frame.id, response);
  }

  private onResponse(id: number, response: Message): void {
    const call = this.pending.get(id);
    if (!call) return;
    this.pending.delete(id);
    call.timer.cancel();
    call.done(response);
  }

  private async respond(id: number, pendingResponse: Promise<Message> | Message | null): Promise<void> {
    const response = await pendingResponse;
    if (response) this.connection.send({ t: 'answer', id, m: response });
  }
}

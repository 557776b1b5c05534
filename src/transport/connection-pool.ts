/**
 * Connections to workers that are kept between requests, by address. A connection rests no longer than the worker said it
 * keeps it, and shorter where resets show that workers forget connections sooner.
 */
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock, Timer } from './clock.js';
import type { ConnectionPool, SendEvents, Sending, Sent } from './opaque-http.js';
import { createPooledSend } from './pooled-send.js';
import type { Endpoint, Idle, SendingPool } from './pooled-send.js';
import { splitAddress } from './wire.js';
import type { Address } from './wire.js';

const KEEP_MS = 20_000;
const KEEP_MARGIN_MS = 700;
const SWEEP_MS = 500;
const LEARNED_LEAST_MS = 400;
const RELEARN = 1.02;

class KeepAliveConnectionPool implements ConnectionPool, SendingPool {
  private readonly endpoints = new Map<Address, Endpoint>();
  private dialled = 0;
  private learnedMs = KEEP_MS;
  private sweeping: Timer;

  constructor(private readonly clock: Clock) {
    this.sweeping = this.clock.timer(SWEEP_MS, () => this.sweep());
  }

  endpointOf(address: Address): Endpoint {
    const have = this.endpoints.get(address);
    if (have) return have;
    const made: Endpoint = { open: 0, idle: [], keepAliveMs: KEEP_MS };
    this.endpoints.set(address, made);
    return made;
  }

  keepIdle(at: Endpoint, sock: Socket): void {
    function drop(): void {
      sock.off('data', drop);
      sock.off('end', drop);
      sock.off('close', drop);
      const i = at.idle.indexOf(idle);
      if (i >= 0) at.idle.splice(i, 1);
      sock.destroy();
    }
    const from = this.clock.mono();
    const idle: Idle = { sock, from, until: from + Math.min(at.keepAliveMs - KEEP_MARGIN_MS, this.learnedMs), drop };
    sock.on('data', drop);
    sock.on('end', drop);
    sock.on('close', drop);
    at.idle.push(idle);
  }

  forgotten(restedMs: number): void {
    this.learnedMs = Math.max(LEARNED_LEAST_MS, Math.min(this.learnedMs, restedMs / 2));
    for (const at of this.endpoints.values())
      for (const idle of [...at.idle]) if (this.clock.mono() - idle.from > this.learnedMs) idle.drop();
  }

  takeIdle(at: Endpoint): Idle | null {
    const now = this.clock.mono();
    for (;;) {
      const idle = at.idle.pop();
      if (!idle) return null;
      idle.sock.off('data', idle.drop);
      idle.sock.off('end', idle.drop);
      idle.sock.off('close', idle.drop);
      if (
        idle.until > now &&
        now - idle.from < this.learnedMs &&
        !idle.sock.destroyed &&
        idle.sock.readableLength === 0
      )
        return idle;
      idle.sock.destroy();
    }
  }

  dial(address: Address, at: Endpoint, waitMs: number, done: (sock: Socket | null) => void): Socket | null {
    const hostPort = splitAddress(address);
    if (!hostPort) {
      done(null);
      return null;
    }
    this.dialled += 1;
    at.open += 1;
    const socket = createConnection({ host: hostPort.host, port: hostPort.port, noDelay: true });
    let isDone = false;
    function finish(response: Socket | null): void {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      if (!response) socket.destroy();
      done(response);
    }
    function refused(): void {
      finish(null);
    }
    function connected(): void {
      finish(socket);
    }
    const timer = this.clock.timer(waitMs, refused);
    socket.on('error', refused);

    const closed = (): void => {
      at.open -= 1;
      if (at.open === 0 && at.idle.length === 0) this.endpoints.delete(address);
      finish(null);
    };
    socket.once('close', closed);
    socket.once('connect', connected);
    return socket;
  }

  check(address: Address, waitMs: number, done: (reached: boolean) => void): void {
    const at = this.endpointOf(address);

    const dialledTo = (socket: Socket | null): void => {
      if (socket) this.keepIdle(at, socket);
      done(socket !== null);
    };
    this.dial(address, at, waitMs, dialledTo);
  }

  send(what: Sending, events: SendEvents): Sent {
    return createPooledSend(this, this.clock, what, events);
  }

  private sweep(): void {
    this.learnedMs = Math.min(KEEP_MS, this.learnedMs * RELEARN);
    const now = this.clock.mono();
    for (const at of this.endpoints.values()) for (const idle of [...at.idle]) if (idle.until <= now) idle.drop();
    this.sweeping = this.clock.timer(SWEEP_MS, () => this.sweep());
  }

  open(address: Address): number {
    return this.endpoints.get(address)?.open ?? 0;
  }

  idle(address: Address): number {
    return this.endpoints.get(address)?.idle.length ?? 0;
  }

  forget(address: Address): void {
    for (const idle of [...(this.endpoints.get(address)?.idle ?? [])]) idle.drop();
  }

  made(): number {
    return this.dialled;
  }

  stop(): void {
    this.sweeping.cancel();
    for (const at of this.endpoints.values()) for (const idle of [...at.idle]) idle.drop();
  }
}

/** An empty pool; `stop` closes all resting connections. */
export function createConnectionPool(clock: Clock): ConnectionPool {
  return new KeepAliveConnectionPool(clock);
}

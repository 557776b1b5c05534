/**
 * A keep-alive connection pool to workers, by address. A connection stays idle no longer than the keep-alive timeout
 * that the worker announced, and for less time if resets show that workers drop idle connections sooner.
 */
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock, Timer } from './clock.js';
import type { ConnectionPool, SendEvents, OutgoingRequest, PendingSend } from './opaque-http.js';
import { createPooledSend } from './pooled-send.js';
import type { Endpoint, IdleConnection, SendingPool } from './pooled-send.js';
import { splitAddress } from './wire.js';
import type { Address } from './wire.js';

const MAX_IDLE_MS = 20_000;
/** An idle connection is closed this long before the keep-alive timeout that its worker announced. */
const KEEP_ALIVE_MARGIN_MS = 700;
const SWEEP_INTERVAL_MS = 500;
/** Resets never lower the idle limit below this. */
const MIN_IDLE_LIMIT_MS = 400;
/** Factor by which a lowered idle limit recovers at each sweep. */
const IDLE_LIMIT_GROWTH = 1.02;

class KeepAliveConnectionPool implements ConnectionPool, SendingPool {
  private readonly endpoints = new Map<Address, Endpoint>();
  private dialledCount = 0;
  private idleLimitMs = MAX_IDLE_MS;
  private sweepTimer: Timer;
  private openCount = 0;
  /** All idle connections, the one that is idle for the longest time first. */
  private readonly idleInOrder = new Set<IdleConnection>();

  constructor(
    private readonly clock: Clock,
    private readonly maxConnections: number,
  ) {
    this.sweepTimer = this.clock.timer(SWEEP_INTERVAL_MS, () => this.sweep());
  }

  endpointOf(address: Address): Endpoint {
    const existing = this.endpoints.get(address);
    if (existing) return existing;
    const created: Endpoint = { open: 0, idle: [], keepAliveMs: MAX_IDLE_MS };
    this.endpoints.set(address, created);
    return created;
  }

  keepIdle(endpoint: Endpoint, socket: Socket): void {
    const drop = (): void => {
      socket.off('data', drop);
      socket.off('end', drop);
      socket.off('close', drop);
      this.idleInOrder.delete(idle);
      const index = endpoint.idle.indexOf(idle);
      if (index >= 0) endpoint.idle.splice(index, 1);
      socket.destroy();
    };
    const from = this.clock.mono();
    const idle: IdleConnection = {
      socket,
      from,
      until: from + Math.min(endpoint.keepAliveMs - KEEP_ALIVE_MARGIN_MS, this.idleLimitMs),
      drop,
    };
    socket.on('data', drop);
    socket.on('end', drop);
    socket.on('close', drop);
    endpoint.idle.push(idle);
    this.idleInOrder.add(idle);
  }

  forgotten(idleMs: number): void {
    this.idleLimitMs = Math.max(MIN_IDLE_LIMIT_MS, Math.min(this.idleLimitMs, idleMs / 2));
    for (const endpoint of this.endpoints.values())
      for (const idle of [...endpoint.idle]) if (this.clock.mono() - idle.from > this.idleLimitMs) idle.drop();
  }

  takeIdle(endpoint: Endpoint): IdleConnection | null {
    const now = this.clock.mono();
    for (;;) {
      const idle = endpoint.idle.pop();
      if (!idle) return null;
      this.idleInOrder.delete(idle);
      idle.socket.off('data', idle.drop);
      idle.socket.off('end', idle.drop);
      idle.socket.off('close', idle.drop);
      if (
        idle.until > now &&
        now - idle.from < this.idleLimitMs &&
        !idle.socket.destroyed &&
        idle.socket.readableLength === 0
      )
        return idle;
      idle.socket.destroy();
    }
  }

  dial(address: Address, endpoint: Endpoint, timeoutMs: number, done: (socket: Socket | null) => void): Socket | null {
    const hostPort = splitAddress(address);
    if (!hostPort) {
      done(null);
      return null;
    }
    this.makeRoom();
    this.dialledCount += 1;
    this.openCount += 1;
    endpoint.open += 1;
    const socket = createConnection({ host: hostPort.host, port: hostPort.port, noDelay: true });
    let isSettled = false;
    function settle(result: Socket | null): void {
      if (isSettled) return;
      isSettled = true;
      timer.cancel();
      if (!result) socket.destroy();
      done(result);
    }
    function onFailed(): void {
      settle(null);
    }
    function onConnected(): void {
      settle(socket);
    }
    const timer = this.clock.timer(timeoutMs, onFailed);
    socket.on('error', onFailed);

    const onClosed = (): void => {
      this.openCount -= 1;
      endpoint.open -= 1;
      if (endpoint.open === 0 && endpoint.idle.length === 0) this.endpoints.delete(address);
      settle(null);
    };
    socket.once('close', onClosed);
    socket.once('connect', onConnected);
    return socket;
  }

  /** Closes the connection that is idle for the longest time. Those in use are bounded by the slots of the workers. */
  private makeRoom(): void {
    if (this.openCount < this.maxConnections) return;
    for (const idle of this.idleInOrder) {
      idle.drop();
      return;
    }
  }

  check(address: Address, timeoutMs: number, done: (reached: boolean) => void): void {
    const endpoint = this.endpointOf(address);

    const onDialled = (socket: Socket | null): void => {
      if (socket) this.keepIdle(endpoint, socket);
      done(socket !== null);
    };
    this.dial(address, endpoint, timeoutMs, onDialled);
  }

  send(what: OutgoingRequest, events: SendEvents): PendingSend {
    return createPooledSend(this, this.clock, what, events);
  }

  private sweep(): void {
    this.idleLimitMs = Math.min(MAX_IDLE_MS, this.idleLimitMs * IDLE_LIMIT_GROWTH);
    const now = this.clock.mono();
    for (const endpoint of this.endpoints.values())
      for (const idle of [...endpoint.idle]) if (idle.until <= now) idle.drop();
    this.sweepTimer = this.clock.timer(SWEEP_INTERVAL_MS, () => this.sweep());
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

  totalDialled(): number {
    return this.dialledCount;
  }

  stop(): void {
    this.sweepTimer.cancel();
    for (const endpoint of this.endpoints.values()) for (const idle of [...endpoint.idle]) idle.drop();
  }
}

/** Creates an empty pool, which keeps idle connections up to `maxConnections`. Its `stop` closes all of these. */
export function createConnectionPool(clock: Clock, maxConnections = Infinity): ConnectionPool {
  return new KeepAliveConnectionPool(clock, maxConnections);
}

/**
 * Sends one request to a worker over a pooled connection. It tracks what was written and what was received, and
 * decides whether the connection can be reused. `connection-pool.ts` creates one object for each send;
 * docs/repeats.md describes what each outcome means.
 */
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';
import { hasTokenNames, isFinalStatus } from './http-syntax.js';
import type { SendEvents, SendError, OutgoingRequest, PendingSend } from './opaque-http.js';
import type { Address } from './wire.js';
import { ownValue } from '../base/own-value.js';

/** A connection that is idle between two requests, with the monotonic times of its idle period in milliseconds. */
export type IdleConnection = {
  readonly socket: Socket;
  readonly from: number;
  readonly until: number;
  readonly drop: () => void;
};
/** State of one worker address: open and idle connections, and the keep-alive timeout of the worker. */
export type Endpoint = { open: number; readonly idle: IdleConnection[]; keepAliveMs: number };

/** Functions of the pool that a send uses. */
export interface SendingPool {
  endpointOf(address: Address): Endpoint;
  takeIdle(endpoint: Endpoint): IdleConnection | null;
  keepIdle(endpoint: Endpoint, socket: Socket): void;
  dial(address: Address, endpoint: Endpoint, timeoutMs: number, done: (socket: Socket | null) => void): Socket | null;
  /** Called when a worker reset a connection that had been idle for this long. */
  forgotten(idleMs: number): void;
}

/** A reset after a shorter idle time says nothing about how long the worker keeps idle connections. */
const MIN_IDLE_RESET_MS = 100;
/** Prefix of the error codes of the runtime's HTTP parser. */
const PARSE_ERROR_PREFIX = 'HPE_';
/** After an early response, time to write the rest of the request body before the connection is closed. */
const BODY_TIMEOUT_MS = 5_000;

class PooledSend implements PendingSend {
  private readonly endpoint: Endpoint;
  private isSettled = false;
  private readonly idleMs: number;
  private readonly isReused: boolean;
  private socket: Socket | null;
  private req: ClientRequest | null = null;
  private res: IncomingMessage | null = null;

  constructor(
    private readonly pool: SendingPool,
    private readonly clock: Clock,
    private readonly outgoing: OutgoingRequest,
    private readonly events: SendEvents,
  ) {
    this.endpoint = this.pool.endpointOf(this.outgoing.address);

    const idle = this.outgoing.requiresNewConnection ? null : this.pool.takeIdle(this.endpoint);
    this.idleMs = idle ? this.clock.mono() - idle.from : 0;
    this.isReused = idle !== null;
    this.socket = idle?.socket ?? null;

    if (this.socket) this.sendOver(this.socket);
    else this.dialAndSend();
  }

  private fail(error: SendError): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.socket?.destroy();
    this.events.failed(error);
  }

  // An error after a complete response is ignored: it belongs to no request, and the `end` event is still to come.
  private onConnectionLost(error?: NodeJS.ErrnoException): void {
    if (this.isSettled || this.res?.complete === true) return;
    if (this.isReused && this.res === null && this.idleMs > MIN_IDLE_RESET_MS && error?.code === 'ECONNRESET')
      this.pool.forgotten(this.idleMs);
    if (error?.code?.startsWith(PARSE_ERROR_PREFIX) === true) this.fail({ tag: 'garbled' });
    else if (this.res === null && this.req?.writableFinished === false) this.fail({ tag: 'resetPartlyWritten' });
    else this.fail({ tag: 'reset' });
  }

  private onResponse(response: IncomingMessage): void {
    if (this.isSettled) {
      response.resume();
      return;
    }
    this.res = response;
    if (!isFinalStatus(response.statusCode) || !hasTokenNames(response.rawHeaders)) {
      this.fail({ tag: 'garbled' });
      return;
    }
    const keepAliveHeader = response.headers['keep-alive'];
    const timeout = typeof keepAliveHeader === 'string' ? /timeout=(\d+)/.exec(keepAliveHeader) : null;
    if (timeout) this.endpoint.keepAliveMs = Number(timeout[1]) * 1_000;
    function get(name: string): string | null {
      const value = ownValue(response.headers, name);
      return typeof value === 'string' ? value : null;
    }

    const onData = (chunk: Buffer): void => {
      if (!this.isSettled) this.events.data(chunk);
    };
    response.on('data', onData);

    const onEnd = (): void => {
      if (this.isSettled) return;
      if (!response.complete) {
        this.onConnectionLost();
        return;
      }
      this.isSettled = true;
      this.awaitBodyWritten();
      process.nextTick(this.events.end);
    };
    response.on('end', onEnd);
    response.on('aborted', () => this.onConnectionLost());
    response.on('error', (error) => this.onConnectionLost(error));
    this.events.head(response.statusCode ?? 0, response.rawHeaders, get);
  }

  // After an early response the rest of the request body is still to be written. Until then the connection is not
  // reused, and data that the worker sends meanwhile belongs to no request, so the connection is closed.
  private awaitBodyWritten(): void {
    const socket = this.socket;
    if (!socket || this.req?.writableFinished !== false) return;
    const pendingSocket = socket;
    function destroyConnection(): void {
      stopWaiting();
      pendingSocket.destroy();
    }
    function stopWaiting(): void {
      timer.cancel();
      pendingSocket.off('data', destroyConnection);
      pendingSocket.off('free', stopWaiting);
    }
    const timer = this.clock.timer(BODY_TIMEOUT_MS, destroyConnection);
    pendingSocket.on('data', destroyConnection);
    pendingSocket.once('free', stopWaiting);
  }

  private sendOver(socket: Socket): void {
    // A response without a length ends when its connection closes. If the last bytes and a reset arrive together, the
    // runtime reports a normal end; a connection that was reset has no remote address any more by then.
    const onSocketEnd = (): void => {
      if (socket.remoteAddress === undefined) this.onConnectionLost();
    };
    if (this.isSettled) {
      socket.destroy();
      return;
    }
    this.socket = socket;
    if (socket.destroyed) {
      this.fail({ tag: 'resetUnwritten' });
      return;
    }
    function useSocket(): Socket {
      return socket;
    }
    const head = this.outgoing.headers();
    if (head === null) {
      this.isSettled = true;
      this.pool.keepIdle(this.endpoint, socket);
      this.events.failed({ tag: 'withheld' });
      return;
    }
    const headers = [...head, 'Connection', 'keep-alive'];
    if (this.outgoing.body !== null) headers.push('Content-Length', String(this.outgoing.body.length));
    this.req = request({
      method: this.outgoing.method,
      path: this.outgoing.target,
      headers: headers as unknown as Record<string, string>,
      createConnection: useSocket,
      setHost: false,
    });
    this.req.shouldKeepAlive = true;
    socket.once('end', onSocketEnd);
    this.req.on('response', (response) => this.onResponse(response));

    const onUpgrade = (_answer: IncomingMessage, upgradedSocket: Socket): void => {
      this.onConnectionLost();
      upgradedSocket.destroy();
    };
    this.req.on('upgrade', onUpgrade);

    const onRequestClose = (): void => {
      socket.off('end', onSocketEnd);
      this.onConnectionLost();
    };
    this.req.on('close', onRequestClose);
    this.req.on('error', (error) => this.onConnectionLost(error));

    const onSocketFree = (): void => {
      if (socket.destroyed || !this.isSettled) socket.destroy();
      else this.pool.keepIdle(this.endpoint, socket);
    };
    socket.once('free', onSocketFree);
    this.req.end(this.outgoing.body ?? undefined);
  }

  private dialAndSend(): void {
    const startedAt = this.clock.mono();

    const onDialled = (socket: Socket | null): void => {
      if (!socket) {
        this.fail({ tag: 'notConnected' });
        return;
      }
      this.events.connected?.(this.clock.mono() - startedAt);
      this.sendOver(socket);
    };
    this.socket = this.pool.dial(this.outgoing.address, this.endpoint, this.outgoing.connectTimeoutMs, onDialled);
  }

  abort(): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.req?.destroy();
    this.socket?.destroy();
  }
}

/** Sends one request on an idle or a new connection of `pool`, and returns the connection to the pool if reusable. */
export function createPooledSend(
  pool: SendingPool,
  clock: Clock,
  outgoing: OutgoingRequest,
  events: SendEvents,
): PendingSend {
  return new PooledSend(pool, clock, outgoing, events);
}

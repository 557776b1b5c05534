/**
 * Tracks the connections of a `node:http` server and closes them gracefully when the server stops. Connections
 * without a request are closed at once, incomplete requests get some time to arrive, and complete requests get their
 * response. The runtime's own `closeIdleConnections` is no replacement: it keeps connections that have not begun a
 * request, for any length of time, and closes connections whose response is still being written.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import { createClock } from './clock.js';
import type { Clock, Timer } from './clock.js';
import { endResponse } from './end-response.js';
import { Lingering } from './lingering.js';
import type { Log } from './log.js';
import { OverloadLog } from './overload-log.js';
import { ReadTurns } from './read-turns.js';
import { stopParsing } from './socket-reading.js';

/** Deadlines of a graceful stop, in milliseconds from its start. */
export type StopLimits = {
  /** A request that is still incomplete by then is rejected with 503. */
  readonly receiveTimeoutMs: number;
  /** Connections whose request has no complete response by then are closed. */
  readonly stopTimeoutMs: number;
};

/** Closes all connections at once. */
export const STOP_IMMEDIATELY: StopLimits = { receiveTimeoutMs: 0, stopTimeoutMs: 0 };

/** A request that is still incomplete this long after the stop is rejected, in milliseconds. */
const RECEIVE_TIMEOUT_MS = 2_000;

/** Returns the limits for a server that must have stopped within `longestMs`. */
export function stopLimits(longestMs: number): StopLimits {
  return { receiveTimeoutMs: Math.min(RECEIVE_TIMEOUT_MS, longestMs), stopTimeoutMs: longestMs };
}

/** The most connections of a server. What is closed to make room for others is logged. */
export type ConnectionLimit = { readonly maxConnections: number; readonly log: Log };

type Connection = { readonly exchanges: Set<Exchange> };
type Exchange = { readonly req: IncomingMessage; readonly res: ServerResponse; readonly arrivedAt: number };

/** Requests of one connection that are not answered yet; a connection with more is closed. */
const MAX_PIPELINED = 64;

const SERVICE_UNAVAILABLE = 503;
const STOPPING_BODY = JSON.stringify({ error: { tag: 'stopping' } });

/** Tracks the connections of one server; created before the server listens. */
export class HttpConnections {
  private readonly connections = new Map<Socket, Connection>();
  /** Connections without any request so far, the oldest first. */
  private readonly unused = new Set<Socket>();
  /** Connections that rest after a response, the one that rests longest first. */
  private readonly resting = new Set<Socket>();
  /** Connections with a request that may be incomplete, the one that began it first. */
  private readonly receiving = new Set<Socket>();
  private readonly closedForOthers: OverloadLog;
  private readonly closedForPipelining: OverloadLog;
  private readonly lingering: Lingering;
  private readonly timers = new Set<Timer>();
  private isStopping = false;

  constructor(
    private readonly server: Server,
    private readonly limit: ConnectionLimit,
    private readonly clock: Clock = createClock(),
  ) {
    this.closedForOthers = new OverloadLog('connection closed to make room', clock, limit.log);
    this.closedForPipelining = new OverloadLog('connection with too many requests closed', clock, limit.log);
    this.lingering = new Lingering(clock, new ReadTurns(clock));
    server.on('connection', (socket: Socket) => this.onConnection(socket));
    server.on('request', (req: IncomingMessage, res: ServerResponse) => this.onRequest(req, res));
  }

  /** Returns the number of requests whose response has not been handed to the operating system completely. */
  inFlight(): number {
    let count = 0;
    for (const { exchanges } of this.connections.values()) count += exchanges.size;
    return count;
  }

  /** Stops accepting connections and keeps the open ones. The runtime's `close` of an HTTP server would close some. */
  stopListening(onClosed?: () => void): void {
    NetServer.prototype.close.call(this.server, onClosed);
  }

  /** Closes connections without a request, now and whenever another one becomes idle. */
  closeIdle(): void {
    this.isStopping = true;
    for (const [socket, { exchanges }] of this.connections) if (exchanges.size === 0) socket.destroy();
  }

  /** Stops accepting connections, closes all within `limits`, and resolves when none is left. */
  stop(limits: StopLimits): Promise<void> {
    const closed = this.closed();
    this.closeIdle();
    if (limits.stopTimeoutMs <= 0) this.destroyAll();
    else {
      this.after(limits.receiveTimeoutMs, () => this.rejectIncomplete());
      this.after(limits.stopTimeoutMs, () => this.destroyAll());
    }
    return closed;
  }

  /**
   * Rejects requests that arrived at least `afterMs` ago and are still incomplete. Their handlers can tell from
   * `headersSent` that a response has been sent.
   */
  rejectIncomplete(afterMs = 0): void {
    const latest = this.clock.mono() - afterMs;
    for (const { exchanges } of this.connections.values())
      for (const exchange of exchanges)
        if (exchange.arrivedAt <= latest && isIncomplete(exchange)) this.refuse(exchange);
  }

  private refuse({ req, res }: Exchange): void {
    res.writeHead(SERVICE_UNAVAILABLE, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(STOPPING_BODY),
      Connection: 'close',
    });
    res.write(STOPPING_BODY);
    endResponse(req, res, this.lingering);
  }

  private closed(): Promise<void> {
    return new Promise((resolve) => {
      const onClosed = (): void => {
        for (const timer of this.timers) timer.cancel();
        this.server.close(); // stops the runtime's own connection checks
        resolve();
      };
      this.stopListening(onClosed);
    });
  }

  private after(ms: number, callback: () => void): Timer {
    const timer = this.clock.timer(ms, callback);
    this.timers.add(timer);
    return timer;
  }

  private destroyAll(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }

  private onConnection(socket: Socket): void {
    if (this.connections.size >= this.limit.maxConnections) this.makeRoom();
    this.connections.set(socket, { exchanges: new Set() });
    this.unused.add(socket);
    socket.on('close', () => this.forget(socket));
  }

  private forget(socket: Socket): void {
    this.connections.delete(socket);
    this.unused.delete(socket);
    this.resting.delete(socket);
    this.receiving.delete(socket);
  }

  /**
   * Closes the connection that is least likely to be missed: one on which no request has arrived whole. If there is none,
   * the number of connections is above its limit until one ends: what is read is answered.
   */
  private makeRoom(): void {
    const chosen = firstOf(this.unused) ?? firstOf(this.resting) ?? this.firstIncomplete();
    if (!chosen) return;
    this.closedForOthers.record(() => ({ connections: this.connections.size }));
    this.forget(chosen);
    chosen.destroy();
  }

  /** Connections that it passes over are not looked at again until they have another request. */
  private firstIncomplete(): Socket | null {
    for (const socket of this.receiving) {
      const exchanges = [...(this.connections.get(socket)?.exchanges ?? [])];
      if (exchanges.length > 0 && exchanges.every(isIncomplete)) return socket;
      this.receiving.delete(socket);
    }
    return null;
  }

  private onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const exchange: Exchange = { req, res, arrivedAt: this.clock.mono() };
    const connection = this.connections.get(socket);
    res.on('close', () => this.onResponseClosed(socket, exchange));
    if (!connection) return;
    connection.exchanges.add(exchange);
    this.unused.delete(socket);
    this.resting.delete(socket);
    this.receiving.add(socket);
    if (connection.exchanges.size > MAX_PIPELINED) this.closePipelining(socket);
  }

  private closePipelining(socket: Socket): void {
    this.closedForPipelining.record(() => ({ requests: MAX_PIPELINED }));
    stopParsing(socket);
    socket.destroy();
  }

  /** During a stop, closes the connection: a head that was sent before did not announce `Connection: close`. */
  private onResponseClosed(socket: Socket, exchange: Exchange): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.exchanges.delete(exchange);
    if (connection.exchanges.size === 0) {
      this.receiving.delete(socket);
      this.resting.add(socket);
    }
    if (this.isStopping && connection.exchanges.size === 0) socket.destroySoon();
  }
}

function firstOf(sockets: Iterable<Socket>): Socket | null {
  for (const socket of sockets) return socket;
  return null;
}

function isIncomplete({ req, res }: Exchange): boolean {
  return !req.complete && !res.headersSent;
}

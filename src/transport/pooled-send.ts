/**
 * One request on its way to a worker over a pooled connection: what was written, what came back, and what became of the
 * connection. `connection-pool.ts` makes one for each send; docs/repeats.md tells what each outcome means.
 */
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';
import { hasTokenNames, isFinalStatus } from './http-syntax.js';
import type { SendEvents, SendError, Sending, Sent } from './opaque-http.js';
import type { Address } from './wire.js';

/** A connection that rests between two requests. Times are of the monotonic clock, in milliseconds. */
export type Idle = { readonly sock: Socket; readonly from: number; readonly until: number; readonly drop: () => void };
/** What is known of one worker's address: connections open and resting, and how long the worker keeps them. */
export type Endpoint = { open: number; readonly idle: Idle[]; keepAliveMs: number };

/** What a send needs of the pool. */
export interface SendingPool {
  endpointOf(address: Address): Endpoint;
  takeIdle(at: Endpoint): Idle | null;
  keepIdle(at: Endpoint, socket: Socket): void;
  dial(address: Address, at: Endpoint, waitMs: number, done: (socket: Socket | null) => void): Socket | null;
  /** The worker reset a connection that had rested this long. */
  forgotten(restedMs: number): void;
}

const LEARNED_FROM_MS = 100;
/** Codes of the runtime's HTTP parser. */
const PARSE_ERROR = 'HPE_';
const REST_OF_BODY_MS = 5_000;

class PooledSend implements Sent {
  private readonly at: Endpoint;
  private over = false;
  private readonly restedMs: number;
  private readonly reused: boolean;
  private sock: Socket | null;
  private req: ClientRequest | null = null;
  private res: IncomingMessage | null = null;

  constructor(
    private readonly pool: SendingPool,
    private readonly clock: Clock,
    private readonly what: Sending,
    private readonly events: SendEvents,
  ) {
    this.at = this.pool.endpointOf(this.what.address);

    const idle = this.what.newConnection ? null : this.pool.takeIdle(this.at);
    this.restedMs = idle ? this.clock.mono() - idle.from : 0;
    this.reused = idle !== null;
    this.sock = idle?.sock ?? null;

    if (this.sock) this.sendOn(this.sock);
    else this.dialSending();
  }

  private fail(error: SendError): void {
    if (this.over) return;
    this.over = true;
    this.sock?.destroy();
    this.events.failed(error);
  }

  // What goes wrong behind a whole answer belongs to no request: its end is still to be told.
  private broke(event?: NodeJS.ErrnoException): void {
    if (this.over || this.res?.complete === true) return;
    if (this.reused && this.res === null && this.restedMs > LEARNED_FROM_MS && event?.code === 'ECONNRESET')
      this.pool.forgotten(this.restedMs);
    if (event?.code?.startsWith(PARSE_ERROR) === true) this.fail({ tag: 'garbled' });
    else if (this.res === null && this.req?.writableFinished === false) this.fail({ tag: 'resetPartlyWritten' });
    else this.fail({ tag: 'reset' });
  }

  private onResponse(response: IncomingMessage): void {
    if (this.over) {
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
    if (timeout) this.at.keepAliveMs = Number(timeout[1]) * 1_000;
    function get(name: string): string | null {
      const value = response.headers[name];
      return typeof value === 'string' ? value : null;
    }

    const data = (chunk: Buffer): void => {
      if (!this.over) this.events.data(chunk);
    };
    response.on('data', data);

    const end = (): void => {
      if (this.over) return;
      if (!response.complete) {
        this.broke();
        return;
      }
      this.over = true;
      this.awaitRestOfBody();
      process.nextTick(this.events.end);
    };
    response.on('end', end);
    response.on('aborted', () => this.broke());
    response.on('error', (event) => this.broke(event));
    this.events.head(response.statusCode ?? 0, response.rawHeaders, get);
  }

  // An early answer leaves the rest of the request's body due. Until it is written the connection
  // serves nobody else, and whatever the worker says meanwhile belongs to no request.
  private awaitRestOfBody(): void {
    const socket = this.sock;
    if (!socket || this.req?.writableFinished !== false) return;
    const still = socket;
    function drop(): void {
      written();
      still.destroy();
    }
    function written(): void {
      timer.cancel();
      still.off('data', drop);
      still.off('free', written);
    }
    const timer = this.clock.timer(REST_OF_BODY_MS, drop);
    still.on('data', drop);
    still.once('free', written);
  }

  private sendOn(ownSocket: Socket): void {
    // An answer without a length ends with its connection. When the last bytes and a reset arrive
    // together the runtime reports a plain end; only a reset connection has lost its peer by then.
    const ended = (): void => {
      if (ownSocket.remoteAddress === undefined) this.broke();
    };
    if (this.over) {
      ownSocket.destroy();
      return;
    }
    this.sock = ownSocket;
    if (ownSocket.destroyed) {
      this.fail({ tag: 'resetUnwritten' });
      return;
    }
    function own(): Socket {
      return ownSocket;
    }
    const head = this.what.headers();
    if (head === null) {
      this.over = true;
      this.pool.keepIdle(this.at, ownSocket);
      this.events.failed({ tag: 'withheld' });
      return;
    }
    const headers = [...head, 'Connection', 'keep-alive'];
    if (this.what.body !== null) headers.push('Content-Length', String(this.what.body.length));
    this.req = request({
      method: this.what.method,
      path: this.what.target,
      headers: headers as unknown as Record<string, string>,
      createConnection: own,
      setHost: false,
    });
    this.req.shouldKeepAlive = true;
    ownSocket.once('end', ended);
    this.req.on('response', (response) => this.onResponse(response));

    const upgraded = (_answer: IncomingMessage, socket: Socket): void => {
      this.broke();
      socket.destroy();
    };
    this.req.on('upgrade', upgraded);

    const closed = (): void => {
      ownSocket.off('end', ended);
      this.broke();
    };
    this.req.on('close', closed);
    this.req.on('error', (event) => this.broke(event));

    const free = (): void => {
      if (ownSocket.destroyed || !this.over) ownSocket.destroy();
      else this.pool.keepIdle(this.at, ownSocket);
    };
    ownSocket.once('free', free);
    this.req.end(this.what.body ?? undefined);
  }

  private dialSending(): void {
    const from = this.clock.mono();

    const done = (socket: Socket | null): void => {
      if (!socket) {
        this.fail({ tag: 'notConnected' });
        return;
      }
      this.events.connected?.(this.clock.mono() - from);
      this.sendOn(socket);
    };
    this.sock = this.pool.dial(this.what.address, this.at, this.what.connectMs, done);
  }

  abort(): void {
    if (this.over) return;
    this.over = true;
    this.req?.destroy();
    this.sock?.destroy();
  }
}

/** Sends one request on a kept or a new connection; `pool` lends and takes back the connection. */
export function createPooledSend(pool: SendingPool, clock: Clock, what: Sending, events: SendEvents): Sent {
  return new PooledSend(pool, clock, what, events);
}

/**
 * Connections between nodes: JSON frames, one per line, over TCP, behind an interface that tests
 * implement with a simulated network. Frames arrive in order or the connection closes; it may close
 * at any time, and frames in flight are lost then. A connection that exceeds a size limit is closed,
 * so that it can't exhaust memory.
 */

import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { ByteAccumulator } from '../base/byte-accumulator.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { splitAddress } from './address.js';
import type { Address } from './address.js';
import { listen } from './listen.js';
import type { ListenError, ListenRetry } from './listen.js';
import type { Log } from './log.js';

export type { Address } from './address.js';
export { splitAddress } from './address.js';

/** Why a connection or listener could not be opened. */
export type WireError = ListenError | { readonly tag: 'unreachable'; readonly address: Address };

/** Events of a connection. `bytesReceived` is called for any bytes received, also those of an incomplete frame. */
export type ConnectionEvents = {
  readonly frame: (body: unknown) => void;
  readonly closed: () => void;
  readonly bytesReceived?: () => void;
};

/** An open connection. `send` neither waits nor fails: frames that a failed peer does not receive are lost. */
export interface Connection {
  readonly peer: Address;
  send(body: unknown): void;
  close(): void;
  attach(events: ConnectionEvents): void;
}

/** Listens at an address until it is closed. */
export type Listener = { readonly address: Address; readonly close: () => Promise<void> };

/** Opens connections and listeners. */
export interface Wire {
  listen(address: Address, onConnection: (connection: Connection) => void): Promise<Result<Listener, WireError>>;
  dial(address: Address): Promise<Result<Connection, WireError>>;
}

/** Callbacks that count frames and connections, for measurements. */
export type WireMeter = {
  readonly frame: (direction: 'out' | 'in', peer: Address, dialled: boolean, bytes: number, body: unknown) => void;
  readonly connections: (peer: Address, dialled: boolean, step: 1 | -1) => void;
};

const LINE_FEED = 10;
const MAX_FRAME_BYTES = 64 * 1024 * 1024;
/** Incomplete frames of all peers together; a connection on which more would be held is closed. */
const MAX_INCOMPLETE_BYTES = 96 * 1024 * 1024;
/** A peer with more unread data than this is disconnected. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
/** Data that peers together have not read; the one that is furthest behind is disconnected when there is more. */
const MAX_UNSENT_BYTES_OF_ALL = 96 * 1024 * 1024;
/** Less unread data is not counted. */
const MIN_COUNTED_UNSENT_BYTES = 65_536;

/** The bytes of incomplete frames that all connections of a process hold. */
class IncompleteFrames {
  private bytes = 0;

  tryAdd(bytes: number): boolean {
    if (this.bytes + bytes > MAX_INCOMPLETE_BYTES) return false;
    this.bytes += bytes;
    return true;
  }

  remove(bytes: number): void {
    this.bytes -= bytes;
  }
}

/** The connections of a process whose peers have not read what was sent, and how much. */
class UnsentFrames {
  private readonly bytesOf = new Map<TcpConnection, number>();
  private bytes = 0;

  set(connection: TcpConnection, bytes: number): void {
    this.bytes += bytes - (this.bytesOf.get(connection) ?? 0);
    if (bytes > 0) this.bytesOf.set(connection, bytes);
    else this.bytesOf.delete(connection);
  }

  /** Returns the connection that is to be closed, if there is too much. */
  furthestBehind(): TcpConnection | null {
    if (this.bytes <= MAX_UNSENT_BYTES_OF_ALL) return null;
    let furthest: TcpConnection | null = null;
    let most = 0;
    for (const [connection, bytes] of this.bytesOf) {
      if (bytes <= most) continue;
      furthest = connection;
      most = bytes;
    }
    return furthest;
  }
}

/** What the connections of a process hold together. */
type HeldFrames = { readonly incomplete: IncompleteFrames; readonly unsent: UnsentFrames };

class TcpConnection implements Connection {
  private events: ConnectionEvents | null = null;
  private readonly incomplete = new ByteAccumulator();
  private isClosed = false;

  constructor(
    private readonly sock: Socket,
    readonly peer: Address,
    private readonly dialled: boolean,
    private readonly log: Log,
    private readonly meter: WireMeter | null,
    private readonly held: HeldFrames,
  ) {
    this.meter?.connections(this.peer, this.dialled, 1);

    this.sock.setNoDelay(true);

    this.sock.pause();

    this.sock.on('data', (chunk: Buffer) => this.onData(chunk));

    this.sock.on('drain', () => this.held.unsent.set(this, 0));

    this.sock.on('error', () => this.close());

    this.sock.on('close', () => this.close());
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.sock.destroy();
    this.held.incomplete.remove(this.incomplete.length);
    this.held.unsent.set(this, 0);
    this.incomplete.clear();
    this.meter?.connections(this.peer, this.dialled, -1);
    this.events?.closed();
  }

  private closeWithWarning(cause: string): void {
    this.log.warn('connection closed', { peer: this.peer, reason: cause });
    this.close();
  }

  private takeIncomplete(): Buffer {
    this.held.incomplete.remove(this.incomplete.length);
    return this.incomplete.take();
  }

  private onLine(line: Buffer): void {
    let body: unknown;
    try {
      body = JSON.parse(line.toString());
    } catch {
      this.closeWithWarning('a frame was not JSON');
      return;
    }
    this.meter?.frame('in', this.peer, this.dialled, line.length + 1, body);
    this.events?.frame(body);
  }

  private onData(chunk: Buffer): void {
    this.events?.bytesReceived?.();
    let start = 0;
    for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, start)) {
      const line = this.completeLine(chunk.subarray(start, end));
      if (line === null) return;
      this.onLine(line);
      if (this.isClosed) return;
      start = end + 1;
    }
    this.tryKeep(chunk.subarray(start));
  }

  /** Returns the line that ends with `rest`, or null if it is too large and the connection was closed. */
  private completeLine(rest: Buffer): Buffer | null {
    if (this.incomplete.length === 0) return rest;
    return this.tryKeep(rest) ? this.takeIncomplete() : null;
  }

  private tryKeep(bytes: Buffer): boolean {
    if (this.incomplete.length + bytes.length > MAX_FRAME_BYTES) {
      this.closeWithWarning('a frame was over the size limit');
      return false;
    }
    if (!this.held.incomplete.tryAdd(bytes.length)) {
      this.closeWithWarning('the frames of all peers were over the size limit');
      return false;
    }
    this.incomplete.append(bytes);
    return true;
  }

  send(body: unknown): void {
    if (this.isClosed) return;
    const text = `${JSON.stringify(body)}\n`;
    this.meter?.frame('out', this.peer, this.dialled, text.length, body);
    this.sock.write(text);
    const unsent = this.sock.writableLength;
    if (unsent > MAX_UNSENT_BYTES) this.closeWithWarning('the peer reads too slowly');
    else if (unsent >= MIN_COUNTED_UNSENT_BYTES) this.countUnsent(unsent);
  }

  private countUnsent(bytes: number): void {
    const { unsent } = this.held;
    unsent.set(this, bytes);
    unsent.furthestBehind()?.closeWithWarning('all peers together read too slowly, and this one most');
  }

  attach(events: ConnectionEvents): void {
    this.events = events;
    if (this.isClosed) events.closed();
    else this.sock.resume();
  }
}

class TcpWire implements Wire {
  private readonly held: HeldFrames = { incomplete: new IncompleteFrames(), unsent: new UnsentFrames() };

  constructor(
    private readonly log: Log,
    private readonly dialTimeoutMs: number,
    private readonly meter: WireMeter | null,
    private readonly retry: ListenRetry | null,
  ) {}

  async listen(address: Address, onConnection: (connection: Connection) => void): Promise<Result<Listener, WireError>> {
    const openSockets = new Set<Socket>();
    const onSocket = (socket: Socket): void => {
      openSockets.add(socket);
      socket.on('close', () => openSockets.delete(socket));
      const peer = `${socket.remoteAddress ?? '?'}:${socket.remotePort ?? 0}`;
      onConnection(new TcpConnection(socket, peer, false, this.log, this.meter, this.held));
    };
    const server = createServer(onSocket);
    const listening = await listen(server, address, this.retry);
    return listening.ok ? ok({ address: listening.value, close: () => closeServer(server, openSockets) }) : listening;
  }

  dial(address: Address): Promise<Result<Connection, WireError>> {
    const hostPort = splitAddress(address);
    if (!hostPort) return Promise.resolve(err({ tag: 'badAddress', address }));
    const target = hostPort;

    const start = (resolve: (result: Result<Connection, WireError>) => void): void => {
      const sock = createConnection({ host: target.host, port: target.port });
      function onFailed(): void {
        sock.destroy();
        resolve(err({ tag: 'unreachable', address }));
      }
      sock.setTimeout(this.dialTimeoutMs);
      sock.once('timeout', onFailed);
      sock.once('error', onFailed);

      const onConnected = (): void => {
        sock.setTimeout(0);
        sock.off('error', onFailed);
        sock.off('timeout', onFailed);
        resolve(ok(new TcpConnection(sock, address, true, this.log, this.meter, this.held)));
      };
      sock.once('connect', onConnected);
    };
    return new Promise(start);
  }
}

/** Stops listening and closes the connections; resolves when all are closed. */
function closeServer(server: Server, connections: Iterable<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    for (const socket of connections) socket.destroy();
  });
}

/** Creates connections over TCP. Connecting takes at most `dialTimeoutMs`; `retry` says how to wait for an address. */
export function createTcpWire(
  log: Log,
  dialTimeoutMs: number,
  meter: WireMeter | null = null,
  retry: ListenRetry | null = null,
): Wire {
  return new TcpWire(log, dialTimeoutMs, meter, retry);
}

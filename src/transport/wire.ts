/**
 * Connections between nodes: JSON frames, one a line, over TCP, as an interface that tests
 * replace by a simulated network. Frames arrive in order or the connection ends; it may end
 * at any moment, with frames on the way lost. Size bounds end connections rather than memory.
 */

import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { closeServer, portOf } from './close-server.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Log } from './log.js';

/** A host and port, as "host:port". */
export type Address = string;

/** Why no connection or listener was made. */
export type WireError =
  | { readonly tag: 'unreachable'; readonly address: Address }
  | { readonly tag: 'addressInUse'; readonly address: Address }
  | { readonly tag: 'badAddress'; readonly address: Address };

/** What a connection tells its user; `heard` comes with any bytes, also those of an unfinished frame. */
export type ConnectionEvents = {
  readonly frame: (body: unknown) => void;
  readonly closed: () => void;
  readonly heard?: () => void;
};

/** An open connection. `send` neither waits nor fails: what a dead peer does not take is lost. */
export interface Connection {
  readonly peer: Address;
  send(body: unknown): void;
  close(): void;
  attach(events: ConnectionEvents): void;
}

/** Something that listens at an address until closed. */
export type Listener = { readonly address: Address; readonly close: () => Promise<void> };

/** Dials and listens. */
export interface Wire {
  listen(address: Address, onConnection: (connection: Connection) => void): Promise<Result<Listener, WireError>>;
  dial(address: Address): Promise<Result<Connection, WireError>>;
}

/** Counts frames and connections, for measurements. */
export type WireMeter = {
  readonly frame: (direction: 'out' | 'in', peer: Address, dialled: boolean, bytes: number, body: unknown) => void;
  readonly connections: (peer: Address, dialled: boolean, step: 1 | -1) => void;
};

/** The two halves of an address. */
export type HostPort = { readonly host: string; readonly port: number };

/** The halves of an address, or null if it is none. */
export function splitAddress(address: Address): HostPort | null {
  const at = address.lastIndexOf(':');
  if (at <= 0) return null;
  const port = Number(address.slice(at + 1));
  if (!Number.isInteger(port) || port < 0 || port > 65535) return null;
  return { host: address.slice(0, at), port };
}

const MAX_FRAME = 64 * 1024 * 1024;
const MAX_UNSENT = 64 * 1024 * 1024;

class TcpConnection implements Connection {
  private events: ConnectionEvents | null = null;
  private chunks: string[] = [];
  private size = 0;
  private done = false;

  constructor(
    private readonly sock: Socket,
    readonly peer: Address,
    private readonly dialled: boolean,
    private readonly log: Log,
    private readonly meter: WireMeter | null,
  ) {
    this.meter?.connections(this.peer, this.dialled, 1);

    this.sock.setEncoding('utf8');

    this.sock.setNoDelay(true);

    this.sock.pause();

    this.sock.on('data', (chunk) => this.data(chunk));

    this.sock.on('error', () => this.close());

    this.sock.on('close', () => this.close());
  }

  close(): void {
    if (this.done) return;
    this.done = true;
    this.sock.destroy();
    this.meter?.connections(this.peer, this.dialled, -1);
    this.events?.closed();
  }

  private closeInvalid(why: string): void {
    this.log.warn('connection closed', { peer: this.peer, reason: why });
    this.close();
  }

  private onLine(text: string): void {
    if (this.done) return;
    let body: unknown;
    try {
      body = JSON.parse(text);
    } catch {
      this.closeInvalid('a frame was not JSON');
      return;
    }
    this.meter?.frame('in', this.peer, this.dialled, text.length + 1, body);
    this.events?.frame(body);
  }

  private data(chunk: string | Buffer): void {
    this.events?.heard?.();
    const lines = chunk.toString().split('\n');
    for (let i = 0; i < lines.length; i += 1) {
      const line = lines[i] as string;
      this.chunks.push(line);
      this.size += line.length;
      if (this.size > MAX_FRAME) {
        this.closeInvalid('a frame was over the size limit');
        return;
      }
      if (i < lines.length - 1) {
        const frame = this.chunks.join('');
        this.chunks = [];
        this.size = 0;
        this.onLine(frame);
        if (this.done) return;
      }
    }
  }

  send(body: unknown): void {
    if (this.done) return;
    const text = `${JSON.stringify(body)}\n`;
    this.meter?.frame('out', this.peer, this.dialled, text.length, body);
    this.sock.write(text);
    if (this.sock.writableLength > MAX_UNSENT) this.closeInvalid('the peer reads too slowly');
  }

  attach(to: ConnectionEvents): void {
    this.events = to;
    if (this.done) to.closed();
    else this.sock.resume();
  }
}

class TcpWire implements Wire {
  constructor(
    private readonly log: Log,
    private readonly dialTimeoutMs: number,
    private readonly meter: WireMeter | null = null,
  ) {}

  listen(address: Address, onConnection: (connection: Connection) => void): Promise<Result<Listener, WireError>> {
    const hostPort = splitAddress(address);
    if (!hostPort) return Promise.resolve(err({ tag: 'badAddress', address }));
    const target = hostPort;

    const start = (resolve: (result: Result<Listener, WireError>) => void): void => {
      const open = new Set<Socket>();

      const accept = (sock: Socket): void => {
        open.add(sock);
        function gone(): void {
          open.delete(sock);
        }
        sock.on('close', gone);
        onConnection(
          new TcpConnection(sock, `${sock.remoteAddress ?? '?'}:${sock.remotePort ?? 0}`, false, this.log, this.meter),
        );
      };
      const server: Server = createServer(accept);
      function failed(): void {
        resolve(err({ tag: 'addressInUse', address }));
      }
      function drop(): void {
        for (const sock of open) sock.destroy();
      }
      function close(): Promise<void> {
        return closeServer(server, drop);
      }
      function ready(): void {
        server.off('error', failed);
        resolve(ok({ address: `${target.host}:${portOf(server, target.port)}`, close }));
      }
      server.once('error', failed);
      server.listen(target.port, target.host, ready);
    };
    return new Promise(start);
  }

  dial(address: Address): Promise<Result<Connection, WireError>> {
    const hostPort = splitAddress(address);
    if (!hostPort) return Promise.resolve(err({ tag: 'badAddress', address }));
    const target = hostPort;

    const start = (resolve: (result: Result<Connection, WireError>) => void): void => {
      const sock = createConnection({ host: target.host, port: target.port });
      function failed(): void {
        sock.destroy();
        resolve(err({ tag: 'unreachable', address }));
      }
      sock.setTimeout(this.dialTimeoutMs);
      sock.once('timeout', failed);
      sock.once('error', failed);

      const connected = (): void => {
        sock.setTimeout(0);
        sock.off('error', failed);
        sock.off('timeout', failed);
        resolve(ok(new TcpConnection(sock, address, true, this.log, this.meter)));
      };
      sock.once('connect', connected);
    };
    return new Promise(start);
  }
}

/** Connections over TCP; dialling takes at most `dialTimeoutMs`. */
export function createTcpWire(log: Log, dialTimeoutMs: number, meter: WireMeter | null = null): Wire {
  return new TcpWire(log, dialTimeoutMs, meter);
}

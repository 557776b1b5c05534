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
export type Connection = {
  readonly peer: Address;
  readonly send: (body: unknown) => void;
  readonly close: () => void;
  readonly attach: (events: ConnectionEvents) => void;
};

/** Something that listens at an address until closed. */
export type Listener = { readonly address: Address; readonly close: () => Promise<void> };

/** Dials and listens. */
export type Wire = {
  readonly listen: (
    address: Address,
    onConnection: (connection: Connection) => void,
  ) => Promise<Result<Listener, WireError>>;
  readonly dial: (address: Address) => Promise<Result<Connection, WireError>>;
};

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

/** Connections over TCP; dialling takes at most `dialTimeoutMs`. */
export function createTcpWire(log: Log, dialTimeoutMs: number, meter: WireMeter | null = null): Wire {
  function connectionOf(sock: Socket, peer: Address, dialled: boolean): Connection {
    meter?.connections(peer, dialled, 1);
    let events: ConnectionEvents | null = null;
    let chunks: string[] = [];
    let size = 0;
    let done = false;
    sock.setEncoding('utf8');
    sock.setNoDelay(true);
    sock.pause();

    function finish(): void {
      if (done) return;
      done = true;
      sock.destroy();
      meter?.connections(peer, dialled, -1);
      events?.closed();
    }
    function closeInvalid(why: string): void {
      log.warn(`Connection to ${peer} ended: ${why}.`);
      finish();
    }
    function queue(text: string): void {
      if (done) return;
      let body: unknown;
      try {
        body = JSON.parse(text);
      } catch {
        closeInvalid('a frame was not JSON');
        return;
      }
      meter?.frame('in', peer, dialled, text.length + 1, body);
      events?.frame(body);
    }
    function data(chunk: string | Buffer): void {
      events?.heard?.();
      const lines = chunk.toString().split('\n');
      for (let i = 0; i < lines.length; i += 1) {
        const line = lines[i] as string;
        chunks.push(line);
        size += line.length;
        if (size > MAX_FRAME) {
          closeInvalid('a frame was over the size limit');
          return;
        }
        if (i < lines.length - 1) {
          const frame = chunks.join('');
          chunks = [];
          size = 0;
          queue(frame);
          if (done) return;
        }
      }
    }
    sock.on('data', data);
    sock.on('error', finish);
    sock.on('close', finish);

    function send(body: unknown): void {
      if (done) return;
      const text = `${JSON.stringify(body)}\n`;
      meter?.frame('out', peer, dialled, text.length, body);
      sock.write(text);
      if (sock.writableLength > MAX_UNSENT) closeInvalid('the peer reads too slowly');
    }
    function attach(to: ConnectionEvents): void {
      events = to;
      if (done) to.closed();
      else sock.resume();
    }
    return { peer, send, close: finish, attach };
  }

  function listen(
    address: Address,
    onConnection: (connection: Connection) => void,
  ): Promise<Result<Listener, WireError>> {
    const hostPort = splitAddress(address);
    if (!hostPort) return Promise.resolve(err({ tag: 'badAddress', address }));
    const target = hostPort;
    function start(resolve: (result: Result<Listener, WireError>) => void): void {
      const open = new Set<Socket>();
      function accept(sock: Socket): void {
        open.add(sock);
        function gone(): void {
          open.delete(sock);
        }
        sock.on('close', gone);
        onConnection(connectionOf(sock, `${sock.remoteAddress ?? '?'}:${sock.remotePort ?? 0}`, false));
      }
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
    }
    return new Promise(start);
  }

  function dial(address: Address): Promise<Result<Connection, WireError>> {
    const hostPort = splitAddress(address);
    if (!hostPort) return Promise.resolve(err({ tag: 'badAddress', address }));
    const target = hostPort;
    function start(resolve: (result: Result<Connection, WireError>) => void): void {
      const sock = createConnection({ host: target.host, port: target.port });
      function failed(): void {
        sock.destroy();
        resolve(err({ tag: 'unreachable', address }));
      }
      function connected(): void {
        sock.setTimeout(0);
        sock.off('error', failed);
        sock.off('timeout', failed);
        resolve(ok(connectionOf(sock, address, true)));
      }
      sock.setTimeout(dialTimeoutMs);
      sock.once('timeout', failed);
      sock.once('error', failed);
      sock.once('connect', connected);
    }
    return new Promise(start);
  }

  return { listen, dial };
}

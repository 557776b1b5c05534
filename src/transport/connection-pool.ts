import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock } from './clock.js';
import type { ConnectionPool, SendEvents, SendError, Sending, Sent } from './opaque-http.js';
import { splitAddress } from './wire.js';
import type { Address } from './wire.js';

type Idle = { readonly sock: Socket; readonly from: number; readonly until: number; readonly drop: () => void };
type Endpoint = { open: number; readonly idle: Idle[]; keepAliveMs: number };

const KEEP_MS = 20_000;
const KEEP_MARGIN_MS = 700;
const SWEEP_MS = 500;
const LEARNED_LEAST_MS = 400;
const LEARNED_FROM_MS = 100;
const RELEARN = 1.02;
/** Codes of the runtime's HTTP parser. */
const PARSE_ERROR = 'HPE_';
const REST_OF_BODY_MS = 5_000;

export function createConnectionPool(clock: Clock): ConnectionPool {
  const endpoints = new Map<Address, Endpoint>();
  let dialled = 0;
  let learnedMs = KEEP_MS;

  function endpointOf(address: Address): Endpoint {
    const have = endpoints.get(address);
    if (have) return have;
    const made: Endpoint = { open: 0, idle: [], keepAliveMs: KEEP_MS };
    endpoints.set(address, made);
    return made;
  }

  function keepIdle(at: Endpoint, sock: Socket): void {
    function drop(): void {
      sock.off('data', drop);
      sock.off('end', drop);
      sock.off('close', drop);
      const i = at.idle.indexOf(idle);
      if (i >= 0) at.idle.splice(i, 1);
      sock.destroy();
    }
    const from = clock.mono();
    const idle: Idle = { sock, from, until: from + Math.min(at.keepAliveMs - KEEP_MARGIN_MS, learnedMs), drop };
    sock.on('data', drop);
    sock.on('end', drop);
    sock.on('close', drop);
    at.idle.push(idle);
  }

  function forgotten(restedMs: number): void {
    learnedMs = Math.max(LEARNED_LEAST_MS, Math.min(learnedMs, restedMs / 2));
    for (const at of endpoints.values())
      for (const idle of [...at.idle]) if (clock.mono() - idle.from > learnedMs) idle.drop();
  }

  function takeIdle(at: Endpoint): Idle | null {
    const now = clock.mono();
    for (;;) {
      const idle = at.idle.pop();
      if (!idle) return null;
      idle.sock.off('data', idle.drop);
      idle.sock.off('end', idle.drop);
      idle.sock.off('close', idle.drop);
      if (idle.until > now && now - idle.from < learnedMs && !idle.sock.destroyed && idle.sock.readableLength === 0)
        return idle;
      idle.sock.destroy();
    }
  }

  function dial(address: Address, at: Endpoint, waitMs: number, done: (sock: Socket | null) => void): Socket | null {
    const hostPort = splitAddress(address);
    if (!hostPort) {
      done(null);
      return null;
    }
    dialled += 1;
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
    function closed(): void {
      at.open -= 1;
      if (at.open === 0 && at.idle.length === 0) endpoints.delete(address);
      finish(null);
    }
    function refused(): void {
      finish(null);
    }
    function connected(): void {
      finish(socket);
    }
    const timer = clock.timer(waitMs, refused);
    socket.on('error', refused);
    socket.once('close', closed);
    socket.once('connect', connected);
    return socket;
  }

  function check(address: Address, waitMs: number, done: (reached: boolean) => void): void {
    const at = endpointOf(address);
    function dialledTo(socket: Socket | null): void {
      if (socket) keepIdle(at, socket);
      done(socket !== null);
    }
    dial(address, at, waitMs, dialledTo);
  }

  function send(what: Sending, events: SendEvents): Sent {
    const at = endpointOf(what.address);
    let over = false;
    const idle = what.newConnection ? null : takeIdle(at);
    const restedMs = idle ? clock.mono() - idle.from : 0;
    const reused = idle !== null;
    let sock: Socket | null = idle?.sock ?? null;
    let req: ClientRequest | null = null;
    let res: IncomingMessage | null = null;

    function fail(error: SendError): void {
      if (over) return;
      over = true;
      sock?.destroy();
      events.failed(error);
    }
    // What goes wrong behind a whole answer belongs to no request: its end is still to be told.
    function broke(event?: { readonly code?: string }): void {
      if (over || res?.complete === true) return;
      if (reused && res === null && restedMs > LEARNED_FROM_MS && event?.code === 'ECONNRESET') forgotten(restedMs);
      if (event?.code?.startsWith(PARSE_ERROR) === true) fail({ tag: 'garbled' });
      else if (res === null && req?.writableFinished === false) fail({ tag: 'resetPartlyWritten' });
      else fail({ tag: 'reset' });
    }

    function onResponse(response: IncomingMessage): void {
      if (over) {
        response.resume();
        return;
      }
      res = response;
      const keepAliveHeader = response.headers['keep-alive'];
      const timeout = typeof keepAliveHeader === 'string' ? /timeout=(\d+)/.exec(keepAliveHeader) : null;
      if (timeout) at.keepAliveMs = Number(timeout[1]) * 1_000;
      function get(name: string): string | null {
        const value = response.headers[name];
        return typeof value === 'string' ? value : null;
      }
      function data(chunk: Buffer): void {
        if (!over) events.data(chunk);
      }
      function end(): void {
        if (over) return;
        if (!response.complete) {
          broke();
          return;
        }
        over = true;
        awaitRestOfBody();
        process.nextTick(events.end);
      }
      response.on('data', data);
      response.on('end', end);
      response.on('aborted', broke);
      response.on('error', broke);
      events.head(response.statusCode ?? 0, response.rawHeaders, get);
    }

    // An early answer leaves the rest of the request's body due. Until it is written the connection
    // serves nobody else, and whatever the worker says meanwhile belongs to no request.
    function awaitRestOfBody(): void {
      const socket = sock;
      if (!socket || req?.writableFinished !== false) return;
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
      const timer = clock.timer(REST_OF_BODY_MS, drop);
      still.on('data', drop);
      still.once('free', written);
    }

    function sendOn(ownSocket: Socket): void {
      if (over) {
        ownSocket.destroy();
        return;
      }
      sock = ownSocket;
      if (ownSocket.destroyed) {
        fail({ tag: 'resetUnwritten' });
        return;
      }
      function own(): Socket {
        return ownSocket;
      }
      const head = what.headers();
      if (head === null) {
        over = true;
        keepIdle(at, ownSocket);
        events.failed({ tag: 'withheld' });
        return;
      }
      const headers = [...head, 'Connection', 'keep-alive'];
      if (what.body !== null) headers.push('Content-Length', String(what.body.length));
      req = request({
        method: what.method,
        path: what.target,
        headers: headers as unknown as Record<string, string>,
        createConnection: own,
        setHost: false,
      });
      req.shouldKeepAlive = true;
      // An answer without a length ends with its connection. When the last bytes and a reset arrive
      // together the runtime reports a plain end; only a reset connection has lost its peer by then.
      function ended(): void {
        if (ownSocket.remoteAddress === undefined) broke();
      }
      ownSocket.once('end', ended);
      function upgraded(_answer: IncomingMessage, socket: Socket): void {
        broke();
        socket.destroy();
      }
      function closed(): void {
        ownSocket.off('end', ended);
        broke();
      }
      req.on('response', onResponse);
      req.on('upgrade', upgraded);
      req.on('close', closed);
      req.on('error', broke);
      function free(): void {
        if (ownSocket.destroyed || !over) ownSocket.destroy();
        else keepIdle(at, ownSocket);
      }
      ownSocket.once('free', free);
      req.end(what.body ?? undefined);
    }

    function dialSending(): void {
      const from = clock.mono();
      function done(socket: Socket | null): void {
        if (!socket) {
          fail({ tag: 'notConnected' });
          return;
        }
        events.connected?.(clock.mono() - from);
        sendOn(socket);
      }
      sock = dial(what.address, at, what.connectMs, done);
    }

    if (sock) sendOn(sock);
    else dialSending();

    function abort(): void {
      if (over) return;
      over = true;
      req?.destroy();
      sock?.destroy();
    }
    return { abort };
  }

  function sweep(): void {
    learnedMs = Math.min(KEEP_MS, learnedMs * RELEARN);
    const now = clock.mono();
    for (const at of endpoints.values()) for (const idle of [...at.idle]) if (idle.until <= now) idle.drop();
    sweeping = clock.timer(SWEEP_MS, sweep);
  }
  let sweeping = clock.timer(SWEEP_MS, sweep);

  function open(address: Address): number {
    return endpoints.get(address)?.open ?? 0;
  }
  function idleAt(address: Address): number {
    return endpoints.get(address)?.idle.length ?? 0;
  }
  function forget(address: Address): void {
    for (const idle of [...(endpoints.get(address)?.idle ?? [])]) idle.drop();
  }
  function made(): number {
    return dialled;
  }
  function stop(): void {
    sweeping.cancel();
    for (const at of endpoints.values()) for (const idle of [...at.idle]) idle.drop();
  }
  return { send, check, open, idle: idleAt, forget, made, stop };
}

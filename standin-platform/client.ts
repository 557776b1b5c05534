/** An HTTP/1.1 client over a plain socket that also reports bytes which belong to no response. */

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock, Timer } from '../src/transport/clock.js';
import { createResponseReader } from './reader.js';
import type { ResponseHead } from './reader.js';

/** How a response ended, and what was received of it; `head` is null if it ended before its head was complete. */
export type ExchangeResult = {
  readonly end: 'whole' | 'cut' | 'garbage' | 'deadline' | 'silence';
  readonly head: ResponseHead | null;
  readonly body: Buffer;
};

/** Limits for a whole exchange and for the time without received data; null means no such limit. */
export type ExchangeTimeouts = { readonly deadlineMs: number; readonly inactivityTimeoutMs: number | null };

/** An HTTP/1.1 connection that carries one exchange at a time. */
export type Connection = {
  readonly address: string;
  readonly isUsable: () => boolean;
  readonly exchange: (
    bytes: readonly Buffer[],
    timeouts: ExchangeTimeouts,
    onBody: (part: Buffer) => void,
    onSent: () => void,
  ) => Promise<ExchangeResult>;
  readonly close: () => void;
};

/** Receives bytes that belong to no response; the flag tells whether a request was pending. */
export type ConnectionListener = { readonly onStrayBytes: (text: string, isRequestPending: boolean) => void };

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_BODY_BYTES = 8_388_608;

/** Opens a connection; resolves to null on failure or timeout. */
export function openConnection(
  address: string,
  clock: Clock,
  listener: ConnectionListener,
): Promise<Connection | null> {
  const [host = '', port = '0'] = address.split(':');
  function openSocket(resolve: (connection: Connection | null) => void): void {
    const socket = connect({ host, port: Number(port), noDelay: true });
    function onConnectTimeout(): void {
      socket.destroy();
      resolve(null);
    }
    const timer = clock.timer(CONNECT_TIMEOUT_MS, onConnectTimeout);
    function onConnectError(): void {
      timer.cancel();
      resolve(null);
    }
    function onConnect(): void {
      timer.cancel();
      socket.off('error', onConnectError);
      resolve(createConnection(address, socket, clock, listener));
    }
    socket.once('error', onConnectError);
    socket.once('connect', onConnect);
  }
  return new Promise<Connection | null>(openSocket);
}

type PendingExchange = {
  readonly resolve: (result: ExchangeResult) => void;
  readonly parts: Buffer[];
  readonly onBody: (part: Buffer) => void;
  readonly inactivityTimeoutMs: number | null;
  readonly deadlineTimer: Timer;
  inactivityTimer: Timer | null;
  head: ResponseHead | null;
};

function createConnection(address: string, socket: Socket, clock: Clock, listener: ConnectionListener): Connection {
  let pending: PendingExchange | null = null;
  let isOpen = true;
  let isClosedLocally = false;
  let keepAliveTimer: Timer | null = null;
  let receivedBytes = 0;

  const reader = createResponseReader({
    onHead,
    onBody,
    onComplete,
    onInvalidBytes,
    onStrayBytes,
  });

  function settle(end: ExchangeResult['end']): void {
    const settled = pending;
    if (!settled) return;
    pending = null;
    settled.deadlineTimer.cancel();
    settled.inactivityTimer?.cancel();
    const headers = settled.head?.headers;
    if (end !== 'whole' || (headers?.get('connection') ?? '').toLowerCase() === 'close') close();
    const keepAlive = /timeout=(\d+)/.exec(headers?.get('keep-alive') ?? '');
    if (keepAlive) keepAliveTimer = clock.timer(Math.max(0, Number(keepAlive[1]) * 1_000 - 500), close);
    settled.resolve({ end, head: settled.head, body: Buffer.concat(settled.parts) });
  }
  function onHead(head: ResponseHead): void {
    if (pending) pending.head = head;
    restartInactivityTimer();
  }
  function onBody(part: Buffer): void {
    if (!pending) return;
    receivedBytes += part.length;
    if (receivedBytes <= MAX_BODY_BYTES) pending.parts.push(part);
    pending.onBody(part);
    restartInactivityTimer();
  }
  function restartInactivityTimer(): void {
    const current = pending;
    if (!current || current.inactivityTimeoutMs === null) return;
    current.inactivityTimer?.cancel();
    current.inactivityTimer = clock.timer(current.inactivityTimeoutMs, onInactive);
  }
  function onInactive(): void {
    settle('silence');
  }
  function onComplete(): void {
    settle('whole');
  }
  function onInvalidBytes(text: string): void {
    listener.onStrayBytes(text, true);
    settle('garbage');
    close();
  }
  function onStrayBytes(text: string): void {
    if (isOpen) listener.onStrayBytes(text, false);
    close();
  }
  function onClose(): void {
    isOpen = false;
    keepAliveTimer?.cancel();
    reader.onClose();
    settle('cut');
  }
  function noop(): void {}
  socket.on('data', reader.push);
  socket.on('error', noop);
  socket.on('end', onClose);
  socket.on('close', onClose);

  function isUsable(): boolean {
    return isOpen && !isClosedLocally && pending === null && !reader.isBusy();
  }
  function close(): void {
    isOpen = false;
    isClosedLocally = true;
    keepAliveTimer?.cancel();
    socket.destroy();
  }
  function exchange(
    bytes: readonly Buffer[],
    timeouts: ExchangeTimeouts,
    onBodyPart: (part: Buffer) => void,
    onSent: () => void,
  ): Promise<ExchangeResult> {
    function start(resolve: (result: ExchangeResult) => void): void {
      keepAliveTimer?.cancel();
      receivedBytes = 0;
      if (!isOpen) {
        resolve({ end: 'cut', head: null, body: Buffer.alloc(0) });
        return;
      }
      function onDeadline(): void {
        settle('deadline');
      }
      pending = {
        resolve,
        parts: [],
        onBody: onBodyPart,
        inactivityTimeoutMs: timeouts.inactivityTimeoutMs,
        deadlineTimer: clock.timer(timeouts.deadlineMs, onDeadline),
        inactivityTimer: null,
        head: null,
      };
      reader.expectResponse();
      restartInactivityTimer();
      socket.write(Buffer.concat(bytes), onSent);
    }
    return new Promise<ExchangeResult>(start);
  }
  return { address, isUsable, exchange, close };
}

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock, Timer } from '../src/transport/clock.js';
import { createResponseReader } from './reader.js';
import type { Head } from './reader.js';

export type Answer = {
  readonly end: 'whole' | 'cut' | 'garbage' | 'deadline' | 'silence';
  readonly head: Head | null;
  readonly body: Buffer;
};

export type Waits = { readonly deadlineMs: number; readonly silenceMs: number | null };

export type Connection = {
  readonly address: string;
  readonly usable: () => boolean;
  readonly exchange: (
    bytes: readonly Buffer[],
    waits: Waits,
    onBody: (part: Buffer) => void,
    onSent: () => void,
  ) => Promise<Answer>;
  readonly close: () => void;
};

export type ConnectionSink = { readonly stray: (text: string, waiting: boolean) => void };

const DIAL_MS = 1_000;
const MOST_BODY = 8_388_608;

export function openConnection(address: string, clock: Clock, sink: ConnectionSink): Promise<Connection | null> {
  const [host = '', port = '0'] = address.split(':');
  function dial(resolve: (connection: Connection | null) => void): void {
    const socket = connect({ host, port: Number(port), noDelay: true });
    function late(): void {
      socket.destroy();
      resolve(null);
    }
    const timer = clock.timer(DIAL_MS, late);
    function failed(): void {
      timer.cancel();
      resolve(null);
    }
    function up(): void {
      timer.cancel();
      socket.off('error', failed);
      resolve(createPeerConnection(address, socket, clock, sink));
    }
    socket.once('error', failed);
    socket.once('connect', up);
  }
  return new Promise<Connection | null>(dial);
}

type Waiting = {
  readonly resolve: (answer: Answer) => void;
  readonly parts: Buffer[];
  readonly onBody: (part: Buffer) => void;
  readonly silenceMs: number | null;
  readonly deadline: Timer;
  silence: Timer | null;
  head: Head | null;
};

function createPeerConnection(address: string, socket: Socket, clock: Clock, sink: ConnectionSink): Connection {
  let waiting: Waiting | null = null;
  let open = true;
  let spent = false;
  let idle: Timer | null = null;
  let size = 0;

  const reader = createResponseReader({
    head: onHead,
    body: onBody,
    whole: onWhole,
    garbage: onGarbage,
    stray: onStray,
  });

  function linearizableRead(end: Answer['end']): void {
    const worker = waiting;
    if (!worker) return;
    waiting = null;
    worker.deadline.cancel();
    worker.silence?.cancel();
    const hints = worker.head?.headers;
    if (end !== 'whole' || (hints?.get('connection') ?? '').toLowerCase() === 'close') close();
    const keep = /timeout=(\d+)/.exec(hints?.get('keep-alive') ?? '');
    if (keep) idle = clock.timer(Math.max(0, Number(keep[1]) * 1_000 - 500), close);
    worker.resolve({ end, head: worker.head, body: Buffer.concat(worker.parts) });
  }
  function onHead(head: Head): void {
    if (waiting) waiting.head = head;
    heard();
  }
  function onBody(part: Buffer): void {
    if (!waiting) return;
    size += part.length;
    if (size <= MOST_BODY) waiting.parts.push(part);
    waiting.onBody(part);
    heard();
  }
  function heard(): void {
    const worker = waiting;
    if (!worker || worker.silenceMs === null) return;
    worker.silence?.cancel();
    worker.silence = clock.timer(worker.silenceMs, silent);
  }
  function silent(): void {
    linearizableRead('silence');
  }
  function onWhole(): void {
    linearizableRead('whole');
  }
  function onGarbage(text: string): void {
    sink.stray(text, true);
    linearizableRead('garbage');
    close();
  }
  function onStray(text: string): void {
    if (open) sink.stray(text, false);
    close();
  }
  function onClose(): void {
    open = false;
    idle?.cancel();
    reader.closed();
    linearizableRead('cut');
  }
  function ignore(): void {}
  socket.on('data', reader.push);
  socket.on('error', ignore);
  socket.on('end', onClose);
  socket.on('close', onClose);

  function usable(): boolean {
    return open && !spent && waiting === null && !reader.busy();
  }
  function close(): void {
    open = false;
    spent = true;
    idle?.cancel();
    socket.destroy();
  }
  function exchange(
    bytes: readonly Buffer[],
    waits: Waits,
    part: (bytes: Buffer) => void,
    onSent: () => void,
  ): Promise<Answer> {
    function begin(resolve: (answer: Answer) => void): void {
      idle?.cancel();
      size = 0;
      if (!open) {
        resolve({ end: 'cut', head: null, body: Buffer.alloc(0) });
        return;
      }
      function late(): void {
        linearizableRead('deadline');
      }
      waiting = {
        resolve,
        parts: [],
        onBody: part,
        silenceMs: waits.silenceMs,
        deadline: clock.timer(waits.deadlineMs, late),
        silence: null,
        head: null,
      };
      reader.expect();
      heard();
      socket.write(Buffer.concat(bytes), onSent);
    }
    return new Promise<Answer>(begin);
  }
  return { address, usable, exchange, close };
}

/** A faulty worker: it answers each request with bytes that never form a complete response, until the caller closes. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { HEADER } from '../../platform/words.js';
import { sendWithoutEnd } from '../endless.js';
import type { ListedWorker } from '../worker-spec.js';

/** What a response consists of: bytes that are sent once, then bytes that are repeated without end. */
export type EndlessResponse = { readonly head: string; readonly repeated: Buffer };

const CAPACITY = 64;
const HEAD_END = '\r\n\r\n';
/** In a head, stands for the id of the attempt that the response belongs to. */
export const ATTEMPT_ID = '{attemptId}';

/** A running faulty worker. */
export class EndlessWorker {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private requestCount = 0;

  constructor(
    private readonly ip: string,
    private readonly port: number,
    private readonly model: string,
    private readonly zone: string,
    private readonly response: EndlessResponse,
  ) {
    this.server = createServer((socket) => this.onConnection(socket));
  }

  listen(): Promise<void> {
    return new Promise((resolve) => this.server.listen(this.port, this.ip, () => resolve()));
  }

  /** The entry of the worker list. */
  listed(): ListedWorker {
    return {
      id: 'i-endless',
      address: `${this.ip}:${this.port}`,
      model: this.model,
      zone: this.zone,
      capacity: CAPACITY,
      phase: 'serving',
      coldLeftMs: 0,
      remainingMs: null,
      weights: null,
    };
  }

  /** The number of requests that were answered so far. */
  answered(): number {
    return this.requestCount;
  }

  close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private onConnection(socket: Socket): void {
    this.sockets.add(socket);
    let received = '';
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (part) => {
      received += part.toString('latin1');
      if (!received.includes(HEAD_END)) return;
      socket.removeAllListeners('data').resume();
      this.requestCount += 1;
      this.respond(socket, attemptIdIn(received));
    });
  }

  private respond(socket: Socket, attemptId: string): void {
    const { head, repeated } = this.response;
    socket.write(head.replaceAll(ATTEMPT_ID, attemptId), 'latin1');
    sendWithoutEnd(socket, repeated);
  }
}

function attemptIdIn(head: string): string {
  return new RegExp(`^${HEADER.attemptId}: *(\\S+)`, 'im').exec(head)?.[1] ?? '';
}

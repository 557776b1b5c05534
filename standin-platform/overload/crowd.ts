/** A crowd of clients that do not behave: each opens a connection, sends bytes as it pleases and keeps it open. */
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';

/** What one client sends: a head, then parts until there are no more, and whether it reads what it is answered. */
export type ClientScript = {
  readonly head: string;
  readonly parts: () => Iterator<Buffer>;
  readonly reads: boolean;
};

/** Clients on open connections. */
export class Crowd {
  private readonly sockets: Socket[] = [];
  private readonly statuses: string[] = [];

  /** Opens `count` connections that follow the script. Resolves once each has sent all or was closed. */
  async join(address: { readonly ip: string; readonly port: number }, count: number, script: ClientScript) {
    await Promise.all(Array.from({ length: count }, () => this.openOne(address.ip, address.port, script)));
  }

  /** Returns how many answers there were, by status line. */
  answers(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const status of this.statuses) counts.set(status, (counts.get(status) ?? 0) + 1);
    return counts;
  }

  answerCount(): number {
    return this.statuses.length;
  }

  openConnections(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length;
  }

  leave(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private openOne(host: string, port: number, script: ClientScript): Promise<void> {
    return new Promise((resolve) => {
      const socket = createConnection({ host, port });
      this.sockets.push(socket);
      const parts = script.parts();
      const sendMore = (): void => {
        for (;;) {
          if (socket.destroyed) return;
          const next = parts.next();
          if (next.done === true) return resolve();
          if (!socket.write(next.value)) return;
        }
      };
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.on('drain', sendMore);
      if (script.reads) socket.once('data', (part) => this.statuses.push(statusLineOf(part)));
      if (script.reads) socket.resume();
      else socket.pause();
      socket.on('connect', () => {
        socket.write(script.head);
        sendMore();
      });
    });
  }
}

function statusLineOf(answer: Buffer): string {
  return answer.toString('latin1').split('\r\n', 1)[0] ?? '';
}

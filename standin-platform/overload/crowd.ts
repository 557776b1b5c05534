/** A crowd of clients that do not behave: each opens a connection, sends bytes as it pleases and keeps it open. */
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';

/** What one client sends: a head, then parts until there are no more. */
export type ClientScript = {
  readonly head: string;
  readonly parts: () => Iterator<Buffer>;
  /** Whether it reads what it is answered. */
  readonly reads: boolean;
  /** Time between two parts, in milliseconds; 0 sends each as soon as the connection takes it. */
  readonly pauseMs: number;
  /** How often it connects anew, at once, when its connection is closed. */
  readonly returns: number;
};
/** Reads, sends as fast as it can, and stays away once closed. */
export const SCRIPT_DEFAULTS = { reads: true, pauseMs: 0, returns: 0 } as const;

/** Clients of a crowd that do the same. */
export type CrowdGroup = { readonly count: number; readonly script: ClientScript };

/** Where a crowd connects. */
export type CrowdAddress = { readonly ip: string; readonly port: number };

/** Clients on open connections. */
export class Crowd {
  private readonly sockets: Socket[] = [];
  private readonly statuses: string[] = [];
  private hasLeft = false;

  /**
   * Opens a connection for each client, and once all are open lets them follow their scripts. Resolves once each has sent
   * all or was closed.
   */
  async join(address: CrowdAddress, groups: readonly CrowdGroup[]): Promise<void> {
    const clients = groups.flatMap(({ count, script }) => Array.from({ length: count }, () => script));
    const connected = await Promise.all(
      clients.map(async (script) => ({ script, socket: await this.connect(address) })),
    );
    await Promise.all(connected.map(({ script, socket }) => this.follow(address, script, socket)));
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

  /** The number of connections that were opened. */
  opened(): number {
    return this.sockets.length;
  }

  openConnections(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length;
  }

  leave(): void {
    this.hasLeft = true;
    for (const socket of this.sockets) socket.destroy();
  }

  /** Resolves once the connection is open or has failed. */
  private connect({ ip, port }: CrowdAddress): Promise<Socket> {
    const socket = createConnection({ host: ip, port });
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    return new Promise((resolve) => {
      socket.once('connect', () => resolve(socket));
      socket.once('close', () => resolve(socket));
    });
  }

  /** Resolves once the client has sent all or was closed. It connects anew as often as its script says. */
  private async follow(address: CrowdAddress, script: ClientScript, socket: Socket): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      if (socket.destroyed) resolve();
      else socket.once('close', () => resolve());
    });
    if (script.returns > 0) void closed.then(() => this.comeBack(address, script));
    await Promise.race([closed, this.send(script, socket)]);
  }

  private async comeBack(address: CrowdAddress, script: ClientScript): Promise<void> {
    if (this.hasLeft) return;
    const socket = await this.connect(address);
    await this.follow(address, { ...script, returns: script.returns - 1 }, socket);
  }

  private send(script: ClientScript, socket: Socket): Promise<void> {
    if (script.reads) socket.once('data', (part: Buffer) => this.statuses.push(statusLineOf(part)));
    if (script.reads) socket.resume();
    else socket.pause();
    const parts = script.parts();
    return new Promise((resolve) => {
      const sendMore = (): void => {
        for (;;) {
          if (socket.destroyed) return;
          const next = parts.next();
          if (next.done === true) return resolve();
          if (!socket.write(next.value)) return;
          if (script.pauseMs > 0) return void setTimeout(sendMore, script.pauseMs);
        }
      };
      socket.on('drain', sendMore);
      socket.write(script.head);
      sendMore();
    });
  }
}

function statusLineOf(answer: Buffer): string {
  return answer.toString('latin1').split('\r\n', 1)[0] ?? '';
}

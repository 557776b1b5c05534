/** What every listening server needs at its two ends: its port once it listens, and its closing. */

import type { Server } from 'node:net';

/** Stops listening, drops open connections by `drop`, and resolves when all are gone. */
export function closeServer(server: Server, drop: () => void): Promise<void> {
  function stop(closed: () => void): void {
    function ended(): void {
      closed();
    }
    server.close(ended);
    drop();
  }
  return new Promise<void>(stop);
}

/** The port a server listens on; `asked` where it has none to tell. */
export function portOf(server: Server, asked: number): number {
  const at = server.address();
  return at && typeof at === 'object' ? at.port : asked;
}

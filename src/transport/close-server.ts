/** Helpers for listening servers: closing a server and reading its port. */

import type { Server } from 'node:net';

/** Stops listening, closes open connections by calling `drop`, and resolves when all are closed. */
export function closeServer(server: Server, drop: () => void): Promise<void> {
  function start(resolve: () => void): void {
    function onClosed(): void {
      resolve();
    }
    server.close(onClosed);
    drop();
  }
  return new Promise<void>(start);
}

/** Returns the port a server listens on, or `requestedPort` if the server does not report one. */
export function portOf(server: Server, requestedPort: number): number {
  const address = server.address();
  return address && typeof address === 'object' ? address.port : requestedPort;
}

/** Makes a server listen, and waits while its address is not available, as after a restart of the process. */
import type { Server } from 'node:net';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { splitAddress } from './address.js';
import type { Address, HostPort } from './address.js';
import { delay } from './clock.js';
import type { Clock } from './clock.js';
import type { Log } from './log.js';

/** Why a server can't listen; `code` is that of the operating system. */
export type ListenError =
  | { readonly tag: 'addressInUse'; readonly address: Address }
  | { readonly tag: 'cannotListen'; readonly address: Address; readonly code: string }
  | { readonly tag: 'badAddress'; readonly address: Address };

/** How long to wait for an address that is not available; the wait ends early when `isStopping`. */
export type ListenRetry = {
  readonly clock: Clock;
  readonly log: Log;
  readonly maxWaitMs: number;
  readonly isStopping: () => boolean;
};

/**
 * The wait of a role. A previous process that is still stopping holds its ports for its grace period. An outgoing
 * connection that uses one as its local port holds it while it is open, and for another 60 s in the state TIME_WAIT.
 */
export const MAX_LISTEN_WAIT_MS = 90_000;
const RETRY_INTERVAL_MS = 50;
/** Length of the queue of connections that are not accepted yet. */
const BACKLOG = 511;
/** Errors that may pass: address in use, network interface not up yet, no free descriptor. */
const TRANSIENT_CODES: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE']);

/**
 * Listens at `address`, at any free port if its port is 0. Returns the address with the actual port. Without `retry`, an
 * address that is not available is an error at once.
 */
export async function listen(
  server: Server,
  address: Address,
  retry: ListenRetry | null = null,
): Promise<Result<Address, ListenError>> {
  const hostPort = splitAddress(address);
  if (!hostPort) return err({ tag: 'badAddress', address });
  const code = retry ? await listenWithRetry(server, address, hostPort, retry) : await tryListen(server, hostPort);
  if (code === 'EADDRINUSE') return err({ tag: 'addressInUse', address });
  if (code !== null) return err({ tag: 'cannotListen', address, code });
  const listening = `${hostPort.host}:${portOf(server, hostPort.port)}`;
  if (retry)
    server.on('error', (error) => retry.log.error('listener failed', { address: listening, error: error.message }));
  return ok(listening);
}

async function listenWithRetry(
  server: Server,
  address: Address,
  hostPort: HostPort,
  { clock, log, maxWaitMs, isStopping }: ListenRetry,
): Promise<string | null> {
  const startedAt = clock.mono();
  let lastCode: string | null = null;
  for (;;) {
    const code = await tryListen(server, hostPort);
    const waitedMs = clock.mono() - startedAt;
    if (code === null) {
      if (lastCode !== null) log.info('address available again', { address, afterMs: Math.round(waitedMs) });
      return null;
    }
    if (code !== lastCode) log.warn('address not available', { address, code });
    if (!TRANSIENT_CODES.has(code) || isStopping() || waitedMs >= maxWaitMs) return code;
    lastCode = code;
    await delay(clock, RETRY_INTERVAL_MS);
  }
}

/** Resolves to null once the server listens, or to the code of the error. */
function tryListen(server: Server, { host, port }: HostPort): Promise<string | null> {
  return new Promise((resolve) => {
    function onError(error: NodeJS.ErrnoException): void {
      server.off('listening', onListening);
      resolve(error.code ?? error.message);
    }
    function onListening(): void {
      server.off('error', onError);
      resolve(null);
    }
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen({ port, host, backlog: BACKLOG });
  });
}

function portOf(server: Server, requestedPort: number): number {
  const address = server.address();
  return address && typeof address === 'object' ? address.port : requestedPort;
}

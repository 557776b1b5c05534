import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { createClock } from './clock.js';
import { formatFields } from './log-line.js';
import type { LogFields } from './log-line.js';
import { listen } from './listen.js';
import type { ListenRetry } from './listen.js';

const servers: Server[] = [];
const lines: string[] = [];

function record(event: string, fields: LogFields = {}): void {
  lines.push(`${event} ${formatFields(fields)}`);
}
function newServer(): Server {
  const server = createServer();
  servers.push(server);
  return server;
}
async function takenAddress(): Promise<string> {
  const listening = await listen(newServer(), '127.0.0.1:0');
  return listening.ok ? listening.value : '';
}
function retryFor(maxWaitMs: number, isStopping = false): ListenRetry {
  return {
    clock: createClock(),
    log: { info: record, warn: record, error: record },
    maxWaitMs,
    isStopping: () => isStopping,
  };
}

afterEach(() => {
  lines.splice(0);
  for (const server of servers.splice(0)) server.close();
});

describe('listening', () => {
  test('without a retry reports an address in use at once', async () => {
    const address = await takenAddress();
    expect(await listen(newServer(), address)).toEqual({ ok: false, error: { tag: 'addressInUse', address } });
  });

  test('with a retry waits for the address, and logs once that it does', async () => {
    const address = await takenAddress();
    const listening = listen(newServer(), address, retryFor(60_000));
    while (lines.length === 0) await new Promise((done) => setImmediate(done));
    servers[0]?.close();
    expect(await listening).toEqual({ ok: true, value: address });
    expect(lines[0]).toBe(`address not available address=${address} code=EADDRINUSE`);
    expect(lines[1]).toMatch(/^address available again /);
    expect(lines).toHaveLength(2);
  });

  test('gives up when the wait is over', async () => {
    const address = await takenAddress();
    expect(await listen(newServer(), address, retryFor(0))).toEqual({
      ok: false,
      error: { tag: 'addressInUse', address },
    });
  });

  test('gives up when the process stops', async () => {
    const address = await takenAddress();
    expect(await listen(newServer(), address, retryFor(60_000, true))).toEqual({
      ok: false,
      error: { tag: 'addressInUse', address },
    });
  });

  test('at an address of another machine reports the code of the error', async () => {
    const address = '192.0.2.1:80';
    expect(await listen(newServer(), address)).toEqual({
      ok: false,
      error: { tag: 'cannotListen', address, code: 'EADDRNOTAVAIL' },
    });
  });

  test('at an address without a port is an error', async () => {
    const error = { tag: 'badAddress', address: 'localhost' };
    expect(await listen(newServer(), 'localhost', retryFor(60_000))).toEqual({ ok: false, error });
  });

  // Guards against a proxy that ends because one connection could not be accepted.
  test('an error of a server that listens is logged and does not end the process', async () => {
    const server = newServer();
    const listening = await listen(server, '127.0.0.1:0', retryFor(0));
    server.emit('error', new Error('accept EMFILE'));
    const address = listening.ok ? listening.value : '';
    expect(lines).toEqual([`listener failed address=${address} error="accept EMFILE"`]);
  });
});

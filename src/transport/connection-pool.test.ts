import { afterEach, expect, test } from '@jest/globals';
import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createClock } from './clock.js';
import { createOpaqueHttpServer } from './opaque-http-server.js';
import type { OpaqueRequest, ConnectionPool, SendError } from './opaque-http.js';
import { createConnectionPool } from './connection-pool.js';

const openResources: { close: () => void }[] = [];
afterEach(() => {
  for (const resource of openResources.splice(0)) resource.close();
});

function rawWorker(serve: (sock: Socket, text: string) => void): Promise<string> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((sock) => {
    sockets.add(sock);
    sock.on('error', () => undefined);
    sock.on('data', (d) => serve(sock, d.toString('latin1')));
  });
  openResources.push({
    close: () => {
      for (const s of sockets) s.destroy();
      server.close();
    },
  });
  return new Promise((done) =>
    server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${(server.address() as AddressInfo).port}`)),
  );
}

function newPool(): ConnectionPool {
  const pool = createConnectionPool(createClock());
  openResources.push({ close: () => pool.stop() });
  return pool;
}

type Outcome = { status: number; body: string; error: SendError | null };
function sendRequest(
  pool: ConnectionPool,
  address: string,
  body: string | null = 'x',
  newConnection = false,
): Promise<Outcome> {
  return new Promise((done) => {
    const outcome: Outcome = { status: 0, body: '', error: null };
    pool.send(
      {
        address,
        method: 'POST',
        target: '/p?q=1',
        headers: () => ['Host', 'h', 'X-One', '1'],
        body: body === null ? null : Buffer.from(body),
        requiresNewConnection: newConnection,
        connectTimeoutMs: 500,
      },
      {
        head: (status) => {
          outcome.status = status;
        },
        data: (chunk) => {
          outcome.body += chunk.toString();
        },
        end: () => done(outcome),
        failed: (error) => done({ ...outcome, error }),
      },
    );
  });
}
const OK_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi';

test('one connection carries several requests, one after the other', async () => {
  let connections = 0;
  const seen = new Set<Socket>();
  const address = await rawWorker((sock) => {
    if (!seen.has(sock)) connections += 1;
    seen.add(sock);
    sock.write(OK_RESPONSE);
  });
  const pool = newPool();
  for (let i = 0; i < 3; i += 1)
    expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
  expect(connections).toBe(1);
  expect(pool.totalDialled()).toBe(1);
});

test('bytes after a complete response belong to no request', async () => {
  const address = await rawWorker((sock) =>
    sock.write(OK_RESPONSE + 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'),
  );
  const pool = newPool();
  expect(await sendRequest(pool, address)).toMatchObject({ body: 'hi', error: null });
  expect(await sendRequest(pool, address)).toMatchObject({ body: 'hi', error: null });
  expect(pool.totalDialled()).toBe(2);
});

test('a late response on an idle connection closes that connection', async () => {
  let requestCount = 0;
  let sendLateResponse: (() => void) | null = null;
  const address = await rawWorker((sock) => {
    requestCount += 1;
    sock.write(OK_RESPONSE);
    if (requestCount === 1) sendLateResponse = () => sock.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad');
  });
  const pool = newPool();
  await sendRequest(pool, address);
  sendLateResponse!();
  while (pool.idle(address) > 0) await new Promise((r) => setImmediate(r));
  expect(await sendRequest(pool, address)).toMatchObject({ body: 'hi', error: null });
  expect(pool.totalDialled()).toBe(2);
});

test('a truncated response is an error, not an end', async () => {
  const address = await rawWorker((sock) => {
    sock.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi');
    sock.end();
  });
  expect((await sendRequest(newPool(), address)).error).toEqual({ tag: 'reset' });
});

test('bytes that are not an HTTP response are reported as garbled', async () => {
  const address = await rawWorker((sock) => sock.write('nonsense\r\n\r\n'));
  expect((await sendRequest(newPool(), address)).error).toEqual({ tag: 'garbled' });
});

// Guards against a crash of the proxy process by a response head that the runtime can't write to the caller.
test.each([
  ['a status below 100', 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi'],
  ['an empty header name', 'HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 2\r\n\r\nhi'],
  ['a header name with a space', 'HTTP/1.1 200 OK\r\nX One: x\r\nContent-Length: 2\r\n\r\nhi'],
])('a response with %s is reported as garbled, and its connection is not reused', async (_description, response) => {
  const address = await rawWorker((sock) => sock.write(response));
  const pool = newPool();
  expect(await sendRequest(pool, address)).toEqual({ status: 0, body: '', error: { tag: 'garbled' } });
  expect(pool.idle(address)).toBe(0);
});

test('a request to an address without a listener is reported as not connected', async () => {
  const address = await rawWorker(() => undefined);
  openResources.splice(0).forEach((resource) => resource.close());
  await new Promise((r) => setImmediate(r));
  expect((await sendRequest(newPool(), address)).error).toEqual({ tag: 'notConnected' });
});

test('a connection that its worker closes is not reused', async () => {
  const address = await rawWorker((sock) => {
    sock.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi');
    sock.end();
  });
  const pool = newPool();
  await sendRequest(pool, address);
  expect(await sendRequest(pool, address)).toMatchObject({ body: 'hi', error: null });
  expect(pool.totalDialled()).toBe(2);
});

test('through the server and the pool: head, chunks and end arrive unchanged, and a truncated response as an error', async () => {
  const httpServer = createOpaqueHttpServer();
  let isTruncated = false;
  const opened = await httpServer.open('127.0.0.1:0', (req: OpaqueRequest) => {
    void req.body(100).then((b) => {
      req.responseWriter.head(200, ['X-Body', b.ok ? b.value.toString() : b.error.tag]);
      req.responseWriter.write(Buffer.from('one'));
      if (isTruncated) req.responseWriter.abort();
      else req.responseWriter.end();
    });
  });
  if (!opened.ok) throw new Error('listen');
  openResources.push({ close: () => void opened.value.close() });
  const pool = newPool();
  expect(await sendRequest(pool, opened.value.address)).toMatchObject({ status: 200, body: 'one', error: null });
  isTruncated = true;
  expect((await sendRequest(pool, opened.value.address)).error).toEqual({ tag: 'reset' });
});

test('a reset of an idle connection by its worker shortens the time that connections stay idle', async () => {
  let hasForgotten = false;
  const address = await rawWorker((sock) => {
    if (hasForgotten) sock.resetAndDestroy();
    else sock.write(OK_RESPONSE);
  });
  let now = 0;
  const clock = { ...createClock(), mono: () => now };
  const pool = createConnectionPool(clock);
  openResources.push({ close: () => pool.stop() });
  await sendRequest(pool, address);
  now = 4_000;
  hasForgotten = true;
  expect((await sendRequest(pool, address)).error).toEqual({ tag: 'reset' });
  hasForgotten = false;
  await sendRequest(pool, address);
  const dialledBefore = pool.totalDialled();
  now += 2_600;
  await sendRequest(pool, address);
  expect(pool.totalDialled()).toBe(dialledBefore + 1);
  now += 1_000;
  await sendRequest(pool, address);
  expect(pool.totalDialled()).toBe(dialledBefore + 1);
});

test('garbage in the same packet as a complete response does not affect that response', async () => {
  for (const extra of ['\u0001\u0002 no answer\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad']) {
    const address = await rawWorker((sock) => sock.write(OK_RESPONSE + extra));
    const pool = newPool();
    expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
    expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
    expect(pool.totalDialled()).toBe(2);
  }
});

test('an informational response is not taken for the final response', async () => {
  const address = await rawWorker((sock) =>
    sock.write('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + OK_RESPONSE),
  );
  const pool = newPool();
  expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
  expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
  expect(pool.totalDialled()).toBe(1);
});

test('an unrequested protocol upgrade is reported as a reset', async () => {
  const address = await rawWorker((sock) =>
    sock.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'),
  );
  expect((await sendRequest(newPool(), address)).error).toEqual({ tag: 'reset' });
});

test('a response without a length is complete when its connection ends, and an error when that is reset', async () => {
  for (const reset of [false, true]) {
    const address = await rawWorker((sock) => {
      sock.write('HTTP/1.1 200 OK\r\n\r\nhi');
      setImmediate(() => (reset ? sock.resetAndDestroy() : sock.end()));
    });
    expect((await sendRequest(newPool(), address)).error).toEqual(reset ? { tag: 'reset' } : null);
  }
});

test('a chunked response without its last chunk is an error, whether the connection is closed or reset', async () => {
  for (const reset of [false, true]) {
    const address = await rawWorker((sock) => {
      sock.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n');
      setImmediate(() => (reset ? sock.resetAndDestroy() : sock.end()));
    });
    expect((await sendRequest(newPool(), address)).error).toEqual({ tag: 'reset' });
  }
});

test('the rest of an unsolicited response that arrives after the next request is not taken for its response', async () => {
  let requestCount = 0;
  const address = await rawWorker((sock) => {
    requestCount += 1;
    sock.write(requestCount === 1 ? `${OK_RESPONSE}HTTP/1.1 20` : `0 OK\r\nContent-Length: 3\r\n\r\nbad`);
  });
  const pool = newPool();
  expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
  expect(await sendRequest(pool, address)).toEqual({ status: 0, body: '', error: { tag: 'garbled' } });
});

const LARGE_BODY = 'x'.repeat(12_000_000);

/** A worker that responds before it reads the request body; its first connection stays paused until resumed. */
function earlyRespondingWorker(): {
  readonly at: Promise<string>;
  readonly connections: { sock: Socket; bytes: number }[];
} {
  const connections: { sock: Socket; bytes: number }[] = [];
  const server = createServer((sock) => {
    const connection = { sock, bytes: 0 };
    connections.push(connection);
    sock.on('error', () => undefined);
    sock.on('data', (d) => {
      connection.bytes += d.length;
    });
    sock.once('data', () => {
      sock.write(OK_RESPONSE);
      if (connections.length === 1) sock.pause();
    });
  });
  openResources.push({
    close: () => {
      for (const c of connections) c.sock.destroy();
      server.close();
    },
  });
  return {
    at: new Promise((done) =>
      server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${(server.address() as AddressInfo).port}`)),
    ),
    connections,
  };
}

test('after an early response the connection is reused only once the request body is written', async () => {
  const worker = earlyRespondingWorker();
  const address = await worker.at;
  const pool = newPool();
  expect(await sendRequest(pool, address, LARGE_BODY)).toEqual({ status: 200, body: 'hi', error: null });
  const first = worker.connections[0]!;
  expect(first.bytes).toBeLessThan(LARGE_BODY.length);
  expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
  expect(worker.connections).toHaveLength(2);
  first.sock.resume();
  while (pool.idle(address) < 2) await new Promise((r) => setImmediate(r));
  expect(pool.totalDialled()).toBe(2);
});

test('bytes that arrive after an early response, before the request body is written, close the connection', async () => {
  const worker = earlyRespondingWorker();
  const address = await worker.at;
  const pool = newPool();
  await sendRequest(pool, address, LARGE_BODY);
  const first = worker.connections[0]!;
  first.sock.write(OK_RESPONSE.slice(0, 9));
  first.sock.resume();
  await new Promise((done) => first.sock.once('close', done));
  expect([pool.open(address), pool.idle(address)]).toEqual([0, 0]);
});

test('a request that is withheld once connected is not written, and the connection is reused', async () => {
  let received = '';
  const workerAddress = await rawWorker((sock, text) => {
    received += text;
    sock.write(OK_RESPONSE);
  });
  const pool = newPool();
  const error = await new Promise((done) =>
    pool.send(
      {
        address: workerAddress,
        method: 'POST',
        target: '/held',
        headers: () => null,
        body: Buffer.from('x'),
        requiresNewConnection: false,
        connectTimeoutMs: 500,
      },
      { head: () => undefined, data: () => undefined, end: () => done(null), failed: done },
    ),
  );
  expect(error).toEqual({ tag: 'withheld' });
  expect(await sendRequest(pool, workerAddress)).toEqual({ status: 200, body: 'hi', error: null });
  expect([pool.totalDialled(), received.includes('/held')]).toEqual([1, false]);
});

test('a truncated response of unknown length does not look complete to a caller without chunked encoding', async () => {
  const httpServer = createOpaqueHttpServer();
  let isTruncated = false;
  const opened = await httpServer.open('127.0.0.1:0', (req: OpaqueRequest) => {
    req.responseWriter.head(200, []);
    req.responseWriter.write(Buffer.from('one'));
    const finish = (): void => (isTruncated ? req.responseWriter.abort() : req.responseWriter.end());
    setImmediate(finish);
  });
  if (!opened.ok) throw new Error('listen');
  openResources.push({ close: () => void opened.value.close() });
  const [host, port] = opened.value.address.split(':') as [string, string];
  const ends: string[] = [];
  for (isTruncated of [false, true]) {
    const sock = createConnection({ host, port: Number(port) });
    sock.write('GET / HTTP/1.0\r\nHost: h\r\n\r\n');
    sock.on('data', () => undefined);
    ends.push(
      await new Promise((done) => {
        sock.on('error', (e: { code?: string }) => done(e.code ?? ''));
        sock.on('end', () => done(sock.remoteAddress === undefined ? 'ECONNRESET' : 'end'));
      }),
    );
  }
  expect(ends).toEqual(['end', 'ECONNRESET']);
});

test('a request that must not share a connection with an earlier one gets a new connection', async () => {
  const address = await rawWorker((sock) => sock.write(OK_RESPONSE));
  const pool = newPool();
  await sendRequest(pool, address);
  expect(pool.idle(address)).toBe(1);
  expect(await sendRequest(pool, address, 'x', true)).toEqual({ status: 200, body: 'hi', error: null });
  expect(pool.totalDialled()).toBe(2);
});

test('aborting an attempt closes its connection, so that a late response of the worker is discarded', async () => {
  const sockets: Socket[] = [];
  const address = await rawWorker((sock) => {
    sockets.push(sock);
    if (sockets.length > 1) sock.write(OK_RESPONSE);
  });
  const pool = newPool();
  const events: string[] = [];
  const attempt = pool.send(
    {
      address,
      method: 'POST',
      target: '/first',
      headers: () => ['Host', 'h'],
      body: null,
      requiresNewConnection: false,
      connectTimeoutMs: 500,
    },
    {
      head: () => events.push('head'),
      data: () => events.push('data'),
      end: () => events.push('end'),
      failed: () => events.push('failed'),
    },
  );
  while (sockets.length === 0) await new Promise((r) => setImmediate(r));
  attempt.abort();
  sockets[0]!.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate');
  expect(await sendRequest(pool, address)).toEqual({ status: 200, body: 'hi', error: null });
  expect([pool.totalDialled(), events]).toEqual([2, []]);
});

// Guards against connections to many workers that take all descriptors of a process.
test('above its limit the pool closes the connection that is idle for the longest time, and none in use', async () => {
  const pool = createConnectionPool(createClock(), 2);
  openResources.push({ close: () => pool.stop() });
  const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
  const [first, second, third] = await Promise.all([1, 2, 3].map(() => rawWorker((sock) => void sock.write(answer))));
  for (const address of [first!, second!, third!]) {
    expect((await sendRequest(pool, address)).status).toBe(200);
    while (pool.idle(address) === 0) await new Promise((done) => setImmediate(done));
  }
  expect([first!, second!, third!].map((address) => pool.idle(address))).toEqual([0, 1, 1]);
});

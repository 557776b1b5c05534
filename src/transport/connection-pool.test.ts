import { afterEach, expect, test } from '@jest/globals';
import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createClock } from './clock.js';
import { createOpaqueHttpServer } from './opaque-http-server.js';
import type { OpaqueRequest, ConnectionPool, SendError } from './opaque-http.js';
import { createConnectionPool } from './connection-pool.js';

const open: { close: () => void }[] = [];
afterEach(() => {
  for (const o of open.splice(0)) o.close();
});

function raw(serve: (sock: Socket, text: string) => void): Promise<string> {
  const socks = new Set<Socket>();
  const server: Server = createServer((sock) => {
    socks.add(sock);
    sock.on('error', () => undefined);
    sock.on('data', (d) => serve(sock, d.toString('latin1')));
  });
  open.push({
    close: () => {
      for (const s of socks) s.destroy();
      server.close();
    },
  });
  return new Promise((done) =>
    server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${(server.address() as AddressInfo).port}`)),
  );
}

function connectionPool(): ConnectionPool {
  const o = createConnectionPool(createClock());
  open.push({ close: () => o.stop() });
  return o;
}

type Got = { status: number; body: string; error: SendError | null };
function ask(o: ConnectionPool, address: string, body: string | null = 'x', newConnection = false): Promise<Got> {
  return new Promise((done) => {
    const response: Got = { status: 0, body: '', error: null };
    o.send(
      {
        address,
        method: 'POST',
        target: '/p?q=1',
        headers: () => ['Host', 'h', 'X-One', '1'],
        body: body === null ? null : Buffer.from(body),
        newConnection,
        connectMs: 500,
      },
      {
        head: (s) => {
          response.status = s;
        },
        data: (c) => {
          response.body += c.toString();
        },
        end: () => done(response),
        failed: (error) => done({ ...response, error }),
      },
    );
  });
}
const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi';

test('one connection serves one request after the other', async () => {
  let connections = 0;
  const seen = new Set<Socket>();
  const at = await raw((sock) => {
    if (!seen.has(sock)) connections += 1;
    seen.add(sock);
    sock.write(OK);
  });
  const o = connectionPool();
  for (let i = 0; i < 3; i += 1) expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect(connections).toBe(1);
  expect(o.made()).toBe(1);
});

test('bytes behind a whole answer belong to no request', async () => {
  const at = await raw((sock) => sock.write(OK + 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'));
  const o = connectionPool();
  expect(await ask(o, at)).toMatchObject({ body: 'hi', error: null });
  expect(await ask(o, at)).toMatchObject({ body: 'hi', error: null });
  expect(o.made()).toBe(2);
});

test('a late answer on a resting connection ends that connection', async () => {
  let n = 0;
  let late: (() => void) | null = null;
  const at = await raw((sock) => {
    n += 1;
    sock.write(OK);
    if (n === 1) late = () => sock.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad');
  });
  const o = connectionPool();
  await ask(o, at);
  late!();
  while (o.idle(at) > 0) await new Promise((r) => setImmediate(r));
  expect(await ask(o, at)).toMatchObject({ body: 'hi', error: null });
  expect(o.made()).toBe(2);
});

test('an answer that breaks off is no end', async () => {
  const at = await raw((sock) => {
    sock.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi');
    sock.end();
  });
  expect((await ask(connectionPool(), at)).error).toEqual({ tag: 'reset' });
});

test('bytes that are no answer are a broken one', async () => {
  const at = await raw((sock) => sock.write('nonsense\r\n\r\n'));
  expect((await ask(connectionPool(), at)).error).toEqual({ tag: 'garbled' });
});

// An answer's head that can't be written to the caller ended the proxy's process.
test.each([
  ['a status below 100', 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi'],
  ['an empty header name', 'HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 2\r\n\r\nhi'],
  ['a header name with a space', 'HTTP/1.1 200 OK\r\nX One: x\r\nContent-Length: 2\r\n\r\nhi'],
])('an answer with %s is a broken one, and its connection serves no other request', async (_what, answer) => {
  const at = await raw((sock) => sock.write(answer));
  const pool = connectionPool();
  expect(await ask(pool, at)).toEqual({ status: 0, body: '', error: { tag: 'garbled' } });
  expect(pool.idle(at)).toBe(0);
});

test('an address without listener was never sent to', async () => {
  const at = await raw(() => undefined);
  open.splice(0).forEach((o) => o.close());
  await new Promise((r) => setImmediate(r));
  expect((await ask(connectionPool(), at)).error).toEqual({ tag: 'notConnected' });
});

test('a connection that its worker closes is not used again', async () => {
  const at = await raw((sock) => {
    sock.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi');
    sock.end();
  });
  const o = connectionPool();
  await ask(o, at);
  expect(await ask(o, at)).toMatchObject({ body: 'hi', error: null });
  expect(o.made()).toBe(2);
});

test('through the server and out: head, chunks and end as they come, and a cut as a cut', async () => {
  const httpServer = createOpaqueHttpServer();
  let cut = false;
  const opened = await httpServer.open('127.0.0.1:0', (req: OpaqueRequest) => {
    void req.body(100).then((b) => {
      req.answerer.head(200, ['X-Body', b.ok ? b.value.toString() : b.error.tag]);
      req.answerer.write(Buffer.from('one'));
      if (cut) req.answerer.abort();
      else req.answerer.end();
    });
  });
  if (!opened.ok) throw new Error('listen');
  open.push({ close: () => void opened.value.close() });
  const o = connectionPool();
  expect(await ask(o, opened.value.address)).toMatchObject({ status: 200, body: 'one', error: null });
  cut = true;
  expect((await ask(o, opened.value.address)).error).toEqual({ tag: 'reset' });
});

test('a connection that its worker forgot teaches to let connections rest for less', async () => {
  let forget = false;
  const at = await raw((sock) => {
    if (forget) sock.resetAndDestroy();
    else sock.write(OK);
  });
  let now = 0;
  const clock = { ...createClock(), mono: () => now };
  const o = createConnectionPool(clock);
  open.push({ close: () => o.stop() });
  await ask(o, at);
  now = 4_000;
  forget = true;
  expect((await ask(o, at)).error).toEqual({ tag: 'reset' });
  forget = false;
  await ask(o, at);
  const before = o.made();
  now += 2_600;
  await ask(o, at);
  expect(o.made()).toBe(before + 1);
  now += 1_000;
  await ask(o, at);
  expect(o.made()).toBe(before + 1);
});

test('garbage in the same packet as a whole answer takes nothing from that answer', async () => {
  for (const extra of ['\u0001\u0002 no answer\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad']) {
    const at = await raw((sock) => sock.write(OK + extra));
    const o = connectionPool();
    expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
    expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
    expect(o.made()).toBe(2);
  }
});

test('an informational answer is not the answer', async () => {
  const at = await raw((sock) =>
    sock.write('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + OK),
  );
  const o = connectionPool();
  expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect(o.made()).toBe(1);
});

test('a change of protocol that nobody asked for is a broken answer', async () => {
  const at = await raw((sock) =>
    sock.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'),
  );
  expect((await ask(connectionPool(), at)).error).toEqual({ tag: 'reset' });
});

test('an answer without a length is whole when its connection ends, and broken when that is reset', async () => {
  for (const reset of [false, true]) {
    const at = await raw((sock) => {
      sock.write('HTTP/1.1 200 OK\r\n\r\nhi');
      setImmediate(() => (reset ? sock.resetAndDestroy() : sock.end()));
    });
    expect((await ask(connectionPool(), at)).error).toEqual(reset ? { tag: 'reset' } : null);
  }
});

test('chunks without their end are a broken answer, closed or reset', async () => {
  for (const reset of [false, true]) {
    const at = await raw((sock) => {
      sock.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n');
      setImmediate(() => (reset ? sock.resetAndDestroy() : sock.end()));
    });
    expect((await ask(connectionPool(), at)).error).toEqual({ tag: 'reset' });
  }
});

test("the rest of a surplus answer that comes after the next request is nobody's answer", async () => {
  let n = 0;
  const at = await raw((sock) => {
    n += 1;
    sock.write(n === 1 ? `${OK}HTTP/1.1 20` : `0 OK\r\nContent-Length: 3\r\n\r\nbad`);
  });
  const o = connectionPool();
  expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect(await ask(o, at)).toEqual({ status: 0, body: '', error: { tag: 'garbled' } });
});

const LONG = 'x'.repeat(12_000_000);

/** A worker that answers at the head of a request and reads its body only when told to. */
function earlyWorker(): { readonly at: Promise<string>; readonly connections: { sock: Socket; bytes: number }[] } {
  const connections: { sock: Socket; bytes: number }[] = [];
  const server = createServer((sock) => {
    const connection = { sock, bytes: 0 };
    connections.push(connection);
    sock.on('error', () => undefined);
    sock.on('data', (d) => {
      connection.bytes += d.length;
    });
    sock.once('data', () => {
      sock.write(OK);
      if (connections.length === 1) sock.pause();
    });
  });
  open.push({
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

test('while the body of an early answered request is due its connection serves nobody else, and then it does', async () => {
  const worker = earlyWorker();
  const at = await worker.at;
  const o = connectionPool();
  expect(await ask(o, at, LONG)).toEqual({ status: 200, body: 'hi', error: null });
  const first = worker.connections[0]!;
  expect(first.bytes).toBeLessThan(LONG.length);
  expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect(worker.connections).toHaveLength(2);
  first.sock.resume();
  while (o.idle(at) < 2) await new Promise((r) => setImmediate(r));
  expect(o.made()).toBe(2);
});

test('bytes that come while the body of an early answered request is due end that connection', async () => {
  const worker = earlyWorker();
  const at = await worker.at;
  const o = connectionPool();
  await ask(o, at, LONG);
  const first = worker.connections[0]!;
  first.sock.write(OK.slice(0, 9));
  first.sock.resume();
  await new Promise((done) => first.sock.once('close', done));
  expect([o.open(at), o.idle(at)]).toEqual([0, 0]);
});

test('a request that is withheld when its connection is up is not written, and the connection serves the next', async () => {
  let heard = '';
  const at = await raw((sock, text) => {
    heard += text;
    sock.write(OK);
  });
  const o = connectionPool();
  const error = await new Promise((done) =>
    o.send(
      {
        address: at,
        method: 'POST',
        target: '/held',
        headers: () => null,
        body: Buffer.from('x'),
        newConnection: false,
        connectMs: 500,
      },
      { head: () => undefined, data: () => undefined, end: () => done(null), failed: done },
    ),
  );
  expect(error).toEqual({ tag: 'withheld' });
  expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect([o.made(), heard.includes('/held')]).toEqual([1, false]);
});

test('an answer of unknown length that is cut does not look whole to a caller without chunks', async () => {
  const httpServer = createOpaqueHttpServer();
  let cut = false;
  const opened = await httpServer.open('127.0.0.1:0', (req: OpaqueRequest) => {
    req.answerer.head(200, []);
    req.answerer.write(Buffer.from('one'));
    const finish = (): void => (cut ? req.answerer.abort() : req.answerer.end());
    setImmediate(finish);
  });
  if (!opened.ok) throw new Error('listen');
  open.push({ close: () => void opened.value.close() });
  const [host, port] = opened.value.address.split(':') as [string, string];
  const ends: string[] = [];
  for (cut of [false, true]) {
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

test('a request that must not meet an earlier one gets a new connection', async () => {
  const at = await raw((sock) => sock.write(OK));
  const o = connectionPool();
  await ask(o, at);
  expect(o.idle(at)).toBe(1);
  expect(await ask(o, at, 'x', true)).toEqual({ status: 200, body: 'hi', error: null });
  expect(o.made()).toBe(2);
});

test('an attempt that was given up takes its connection along: what its worker says late reaches nobody', async () => {
  const socks: Socket[] = [];
  const at = await raw((sock) => {
    socks.push(sock);
    if (socks.length > 1) sock.write(OK);
  });
  const o = connectionPool();
  const heard: string[] = [];
  const sent = o.send(
    {
      address: at,
      method: 'POST',
      target: '/first',
      headers: () => ['Host', 'h'],
      body: null,
      newConnection: false,
      connectMs: 500,
    },
    {
      head: () => heard.push('head'),
      data: () => heard.push('data'),
      end: () => heard.push('end'),
      failed: () => heard.push('failed'),
    },
  );
  while (socks.length === 0) await new Promise((r) => setImmediate(r));
  sent.abort();
  socks[0]!.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate');
  expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', error: null });
  expect([o.made(), heard]).toEqual([2, []]);
});

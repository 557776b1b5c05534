import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createConnection } from 'node:net';
import { expect, test } from '@jest/globals';
import { createIntakeOf } from './caller-intake.js';
import { createClock } from './clock.js';
import { createQuietLog } from './log.js';
import { createMemoryBudget } from './memory-budget.js';
import { createOpaqueHttpServer } from './opaque-http-server.js';
import type { OpaqueRequest } from './opaque-http.js';

type Answer = { readonly status: number; readonly body: string } | { readonly failed: string };

function get(address: string, path: string, agent: Agent): Promise<Answer> {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const sent = request({ host, port, path, agent }, (res) => {
      const parts: Buffer[] = [];
      res.on('data', (part: Buffer) => parts.push(part));
      res.on('end', () => resolve({ status: res.statusCode ?? 0, body: Buffer.concat(parts).toString() }));
    });
    sent.on('error', (error: NodeJS.ErrnoException) => resolve({ failed: error.code ?? 'unknown' }));
    sent.end();
  });
}

function respondWith(req: OpaqueRequest, body: string): void {
  req.responseWriter.head(200, ['Content-Length', String(body.length)]);
  req.responseWriter.write(Buffer.from(body));
  req.responseWriter.end();
}

test('a server that stops listening completes requests in flight, refuses new connections and closes idle ones', async () => {
  const held: OpaqueRequest[] = [];
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    if (req.target === '/held') held.push(req);
    else respondWith(req, 'at once');
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const server = opened.value;
  const idle = new Agent({ keepAlive: true, maxSockets: 1 });
  const busy = new Agent({ keepAlive: true, maxSockets: 1 });
  expect(await get(server.address, '/', idle)).toEqual({ status: 200, body: 'at once' });
  const inFlight = get(server.address, '/held', busy);
  while (held.length === 0) await get(server.address, '/', idle);

  server.stopListening();
  server.stopListening();

  expect(await get(server.address, '/', new Agent())).toEqual({ failed: 'ECONNREFUSED' });
  expect(await get(server.address, '/', idle)).toHaveProperty('failed');
  respondWith(held[0] as OpaqueRequest, 'in the end');
  expect(await inFlight).toEqual({ status: 200, body: 'in the end' });
  expect(await get(server.address, '/', busy)).toHaveProperty('failed');
  await server.close();
  idle.destroy();
  busy.destroy();
});

// Guards against a response that is truncated when the server stops listening: the runtime takes its connection for
// idle.
test('a server that stops listening lets a slow caller read its response completely', async () => {
  const size = 48 * 1_048_576;
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    req.responseWriter.head(200, ['Content-Length', String(size)]);
    req.responseWriter.write(Buffer.alloc(size));
    req.responseWriter.end();
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const server = opened.value;
  const [host, port] = server.address.split(':');
  const response = await new Promise<IncomingMessage>((resolve) => {
    request({ host, port, agent: false }, resolve).end();
  });
  server.stopListening();
  expect(server.inFlight()).toBe(1);
  let receivedBytes = 0;
  response.on('data', (part: Buffer) => (receivedBytes += part.length));
  await new Promise((resolve) => response.on('close', resolve));
  expect(receivedBytes).toBe(size);
  await server.close();
});

/** Sends these bytes and returns what the server responds until it closes the connection. */
function responseTo(address: string, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    let text = '';
    const socket = createConnection({ host, port: Number(port) }, () => socket.write(bytes, 'latin1'));
    socket.on('data', (part) => {
      text += part.toString('latin1');
    });
    socket.on('close', () => resolve(text));
  });
}

// Guards against a crash of the proxy process: forwarding such a request threw in a callback of the connection.
test.each([
  ['a tab in its target', 'POST /a\tb HTTP/1.1\r\nHost: h\r\n'],
  ['a form feed in its target', 'POST /a\fb HTTP/1.1\r\nHost: h\r\n'],
  ['a space in a header name', 'POST /ab HTTP/1.1\r\nHost: h\r\nX One: 1\r\n'],
])('a request with %s is rejected with 400 and not passed to the handler', async (_description, head) => {
  const forwardedTargets: string[] = [];
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    forwardedTargets.push(req.target);
    respondWith(req, 'taken');
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const response = await responseTo(opened.value.address, `${head}Connection: close\r\nContent-Length: 0\r\n\r\n`);
  await opened.value.close();
  expect(response).toMatch(/^HTTP\/1\.1 400 .*malformed/s);
  expect(forwardedTargets).toEqual([]);
});

test('a head over the limit is answered 431, and one that takes too long 408', async () => {
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', () => undefined);
  if (!opened.ok) throw new Error(opened.error.tag);
  opened.value.setLimits({ headerBytes: 16_384, bodyBytes: 1_024, headerMs: 50, idleMs: 1_000 });
  const { address } = opened.value;
  expect(await responseTo(address, `GET / HTTP/1.1\r\nX-A: ${'x'.repeat(70_000)}`)).toMatch(/^HTTP\/1\.1 431 /);
  expect(await responseTo(address, 'GET / HTTP/1.1\r\nX-A: x')).toMatch(/^HTTP\/1\.1 408 /);
  await opened.value.close();
});

/** Sends a head and then `parts` of a megabyte; returns what the server responds, and how many parts it took. */
async function sendMegabytes(address: string, head: string, parts: number): Promise<{ text: string; sent: number }> {
  const [host, port] = address.split(':');
  const socket = createConnection({ host, port: Number(port) });
  const received = { text: '', sent: 0 };
  socket.on('data', (bytes) => (received.text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = new Promise((done) => socket.once('close', done));
  socket.write(head);
  for (; received.sent < parts && !socket.destroyed; received.sent += 1)
    if (!socket.write(Buffer.alloc(1_048_576, 'x')))
      await new Promise((done) => socket.once('drain', done).once('close', done));
  await closed;
  return received;
}

// Guards against a caller that keeps a server busy with a body that it was told not to send, or that misses the answer.
test('a body that is announced too large is answered before it is read, and not read on for long', async () => {
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    void req.body(1_000).then((body) => respondWith(req, body.ok ? 'taken' : body.error.tag));
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const { address } = opened.value;
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000000\r\n\r\n';
  const silent = await sendMegabytes(address, head, 0);
  expect(silent.text).toMatch(/bodyTooLarge$/);
  const talkative = await sendMegabytes(address, head, 100);
  expect(talkative.text).toMatch(/bodyTooLarge$/);
  expect(talkative.sent).toBeLessThan(100);
  await opened.value.close();
});

// Guards against callers who fill a process with bodies that never end.
test('bodies that stop short of their end give way to others, with the promise that they have not run', async () => {
  const log = createQuietLog().component('t');
  const clock = createClock();
  const intake = createIntakeOf(createMemoryBudget(1_048_576, clock, log), 100, clock, log);
  const opened = await createOpaqueHttpServer(null, intake).open('127.0.0.1:0', (req) => {
    void req.body(1_000_000).then((body) => respondWith(req, body.ok ? 'taken' : body.error.tag));
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const { address } = opened.value;
  const head = (bytes: number): string =>
    `POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ${bytes}\r\n\r\n`;
  const stalled = [1, 2, 3].map(() => responseTo(address, `${head(500_000)}${'x'.repeat(400_000)}`));
  expect(await Promise.race(stalled)).toMatch(/overloaded$/);
  const ordinary = Array.from({ length: 10 }, () => responseTo(address, `${head(60_000)}${'x'.repeat(60_000)}`));
  for (const response of await Promise.all(ordinary)) expect(response).toMatch(/taken$/);
  await opened.value.close();
});

/** Opens a server that writes a part of 64 KB at each turn of the event loop until its caller is gone. */
async function serveWithoutEnd(maxParts: number) {
  const progress = { parts: 0, isGone: false };
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    const { responseWriter } = req;
    void req.body(1_000).then(() => {
      responseWriter.onCallerGone(() => (progress.isGone = true));
      responseWriter.head(200, []);
      function writeMore(): void {
        if (responseWriter.gone()) return;
        if (progress.parts === maxParts) return responseWriter.end();
        progress.parts += 1;
        responseWriter.write(Buffer.alloc(65_536, 'x'));
        setImmediate(writeMore);
      }
      writeMore();
    });
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  return { listener: opened.value, progress };
}
/** Sends a request and reads nothing. */
function silentReader(address: string): ReturnType<typeof createConnection> {
  const [host, port] = address.split(':');
  const socket = createConnection({ host, port: Number(port) }, () =>
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'),
  );
  socket.on('error', () => undefined);
  return socket.pause();
}

// Guards against callers that do not read: what a worker sends them piled up until the process ended.
test('a caller that does not read a long response is cut off', async () => {
  const { listener, progress } = await serveWithoutEnd(10_000);
  const socket = silentReader(listener.address);
  while (!progress.isGone) await new Promise((done) => setImmediate(done));
  expect(progress.parts).toBeLessThan(10_000);
  socket.destroy();
  await listener.close();
});

test('a caller that does not read the end of a response is cut off after the idle timeout', async () => {
  let isAnswered = false;
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    void req.body(1_000).then(() => {
      respondWith(req, 'x'.repeat(16 * 1_048_576));
      isAnswered = true;
    });
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const listener = opened.value;
  listener.setLimits({ headerBytes: 16_384, bodyBytes: 1_024, headerMs: 1_000, idleMs: 50 });
  const socket = silentReader(listener.address);
  while (!isAnswered) await new Promise((done) => setImmediate(done));
  expect(listener.inFlight()).toBe(1);
  while (listener.inFlight() > 0) await new Promise((done) => setImmediate(done));
  socket.destroy();
  await listener.close();
});

// Guards against a second execution: 408 says that a request has not run, but the first one here may be running.
test('a head that stalls behind a request that was read is not answered in its place', async () => {
  let taken = 0;
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    void req.body(1_000).then(() => (taken += 1));
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  opened.value.setLimits({ headerBytes: 16_384, bodyBytes: 1_024, headerMs: 50, idleMs: 1_000 });
  const first = 'GET /first HTTP/1.1\r\nHost: h\r\n\r\n';
  expect(await responseTo(opened.value.address, `${first}GET /second HTTP/1.1\r\nX-A: x`)).toBe('');
  expect(taken).toBe(1);
  await opened.value.close();
});

const TINY_CHUNKS = 2_000;
/** A body in chunks of one byte. */
function tinyChunks(isComplete: boolean): string {
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
  return `${head}${'1\r\nx\r\n'.repeat(TINY_CHUNKS)}${isComplete ? '0\r\n\r\n' : ''}`;
}

// Guards against a crowd of callers in tiny chunks: parsing them took all of the processor from other callers.
test('a body in tiny chunks is taken, but not while others come in tiny chunks, and other bodies are', async () => {
  const opened = await createOpaqueHttpServer().open('127.0.0.1:0', (req) => {
    void req.body(100_000).then((body) => respondWith(req, body.ok ? `taken ${body.value.length}` : body.error.tag));
  });
  if (!opened.ok) throw new Error(opened.error.tag);
  const { address } = opened.value;
  expect(await responseTo(address, tinyChunks(true))).toMatch(/taken 2000$/);
  const crowd = Array.from({ length: 12 }, () => responseTo(address, tinyChunks(false)));
  expect(await Promise.race(crowd)).toMatch(/^HTTP\/1\.1 200 [^]*overloaded$/);
  const ordinary = `POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 50000\r\n\r\n`;
  expect(await responseTo(address, ordinary + 'x'.repeat(50_000))).toMatch(/taken 50000$/);
  await opened.value.close();
  const texts = await Promise.all(crowd);
  expect(texts.filter((text) => text.endsWith('overloaded'))).toHaveLength(10);
});

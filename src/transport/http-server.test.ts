import { afterAll, beforeAll, describe, expect, test } from '@jest/globals';
import { createConnection } from 'node:net';
import { gzipSync } from 'node:zlib';
import { createClock } from './clock.js';
import { createGotHttpClient } from './http-client.js';
import { splitAddress } from './wire.js';
import { createExpressHttpServer } from './http-server.js';
import type { HttpAnswer, HttpError, HttpReply, HttpRequest, Route } from './http.js';
import { createQuietLog } from './log.js';
import { createIntakeOf } from './caller-intake.js';
import { createMemoryBudget } from './memory-budget.js';
import type { Listener } from './wire.js';
import type { Result } from '../base/result.js';

let httpServer: Listener;
let shortTimeoutServer: Listener;
let echoCalls = 0;
const httpClient = createGotHttpClient(1_000);

async function echo(req: HttpRequest): Promise<HttpReply> {
  echoCalls += 1;
  return { status: 200, body: { got: req.body, id: req.params['id'], q: req.query['q'] } };
}
function gate(req: HttpRequest): HttpReply | null {
  return req.headers['x-pass'] === 'yes'
    ? null
    : { status: 503, headers: { 'retry-after': '1' }, body: { error: { tag: 'shed' } } };
}
async function* threeLines(): AsyncGenerator<unknown> {
  yield { n: 1 };
  yield { n: 2 };
  yield { n: 3 };
}
async function* endlessLines(): AsyncGenerator<unknown> {
  yield { n: 1 };
  await new Promise(() => {});
}
async function* failingLines(): AsyncGenerator<unknown> {
  yield { n: 1 };
  await Promise.reject(new Error('lost'));
}
const routes: Route[] = [
  { method: 'POST', path: '/echo/:id', maxBytes: 1_000, handle: echo },
  { method: 'POST', path: '/gated', earlyReply: gate, handle: echo },
  { method: 'GET', path: '/three', handle: () => Promise.resolve({ status: 200, lines: threeLines() }) },
  { method: 'GET', path: '/cut', handle: () => Promise.resolve({ status: 200, lines: failingLines() }) },
  { method: 'GET', path: '/endless', handle: () => Promise.resolve({ status: 200, lines: endlessLines() }) },
  { method: 'GET', path: '/boom', handle: () => Promise.reject(new Error('boom')) },
  { method: 'GET', path: '/text', handle: () => Promise.resolve({ status: 200, text: 'plain' }) },
];

async function openServer(requestTimeoutMs?: number): Promise<Listener> {
  const response = await createExpressHttpServer(createQuietLog().component('httpServer'), requestTimeoutMs).open(
    '127.0.0.1:0',
    routes,
  );
  if (!response.ok) throw new Error(response.error.tag);
  return response.value;
}
beforeAll(async () => {
  httpServer = await openServer();
  shortTimeoutServer = await openServer(300);
});
afterAll(() => Promise.all([httpServer.close(), shortTimeoutServer.close()]));

function post(path: string, body: unknown, headers = {}): Promise<Result<HttpAnswer, HttpError>> {
  return httpClient.call({ method: 'POST', address: httpServer.address, path, body, headers, timeoutMs: 3_000 });
}
async function readLines(path: string): Promise<unknown[]> {
  const response = await httpClient.call({
    method: 'GET',
    address: httpServer.address,
    path,
    timeoutMs: 3_000,
    stream: true,
  });
  const received: unknown[] = [];
  if (response.ok) for await (const line of response.value.lines) received.push(line.ok ? line.value : line.error.tag);
  return received;
}

describe('the HTTP server and client', () => {
  test('carry JSON, parameters and queries', async () => {
    const response = await post('/echo/7?q=x', { a: 1 });
    expect(response.ok && response.value.body).toEqual({ got: { a: 1 }, id: '7', q: 'x' });
  });
  test('reject requests that are too large or not JSON, with typed errors', async () => {
    const large = await post('/echo/7', { a: 'x'.repeat(2_000) });
    expect(large.ok && [large.value.status, large.value.body]).toEqual([413, { error: { tag: 'bodyTooLarge' } }]);
    const res = await fetch(`http://${httpServer.address}/echo/7`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: '{"a":',
    });
    expect([res.status, ((await res.json()) as { error: { tag: string } }).error.tag]).toEqual([400, 'malformed']);
    const unknown = await post('/nowhere', {});
    expect(unknown.ok && unknown.value.status).toBe(404);
  });
  function sendRaw(text: string, hangUp: boolean): Promise<string> {
    return new Promise((done) => {
      const at = splitAddress(shortTimeoutServer.address);
      const sock = createConnection({ host: at?.host ?? '', port: at?.port ?? 0 });
      let received = '';
      sock.on('data', (chunk) => (received += String(chunk)));
      sock.on('close', () => done(received));
      sock.write(text, () => hangUp && sock.destroy());
    });
  }
  const incompleteRequest =
    'POST /echo/7 HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 40\r\n\r\n{"a":1';

  test('a body that arrives too slowly or only in part reaches no handler', async () => {
    echoCalls = 0;
    expect(await sendRaw(incompleteRequest, false)).toMatch(/^HTTP\/1.1 408 /);
    expect(await sendRaw('POST /echo/7 HTTP/1.1\r\nhost: x\r\n', false)).toMatch(/^HTTP\/1.1 408 /);
    await sendRaw(incompleteRequest, true);
    const after = await post('/echo/7', { a: 1 });
    expect([after.ok, echoCalls]).toEqual([true, 1]);
    expect(await (await fetch(`http://${shortTimeoutServer.address}/text`)).text()).toBe('plain');
  });

  test('a body that is nested too deeply and another method are rejected, and a body of another type is not parsed', async () => {
    const deep = await fetch(`http://${httpServer.address}/echo/7`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: `${'['.repeat(200)}${']'.repeat(200)}`,
    });
    expect([deep.status, await deep.json()]).toEqual([
      400,
      { error: { tag: 'malformed', detail: '/: expected at most 64 levels' } },
    ]);
    const put = await fetch(`http://${httpServer.address}/echo/7`, { method: 'PUT', body: '{}' });
    expect([put.status, await put.json()]).toEqual([404, { error: { tag: 'unknownPath' } }]);
    const plain = await fetch(`http://${httpServer.address}/echo/7`, {
      method: 'POST',
      headers: { 'content-type': 'text/plain' },
      body: '{"a":1}',
    });
    expect(await plain.json()).toEqual({ id: '7' });
    const twice = await fetch(`http://${httpServer.address}/echo/7`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: '{"a":1,"a":2}',
    });
    expect(await twice.json()).toEqual({ got: { a: 2 }, id: '7' });
  });

  test('an aborted call ends at once, and so does the iteration over its lines', async () => {
    const stop = new AbortController();
    const response = await httpClient.call({
      method: 'GET',
      address: httpServer.address,
      path: '/endless',
      timeoutMs: 60_000,
      stream: true,
      signal: stop.signal,
    });
    const seen: unknown[] = [];
    if (response.ok) {
      for await (const line of response.value.lines) {
        seen.push(line.ok ? line.value : line.error.tag);
        stop.abort();
      }
    }
    expect(seen).toEqual([{ n: 1 }, 'broken']);
    const bufferedStop = new AbortController();
    const pending = httpClient.call({
      method: 'GET',
      address: httpServer.address,
      path: '/endless',
      timeoutMs: 60_000,
      signal: bufferedStop.signal,
    });
    bufferedStop.abort();
    expect(await pending).toEqual({ ok: false, error: { tag: 'broken' } });
  });

  test('a gate rejects by the headers before the body is read', async () => {
    echoCalls = 0;
    const rejected = await post('/gated', { a: 1 });
    expect(rejected.ok && [rejected.value.status, rejected.value.headers['retry-after']]).toEqual([503, '1']);
    expect(echoCalls).toBe(0);
    const admitted = await post('/gated', { a: 1 }, { 'x-pass': 'yes' });
    expect(admitted.ok && admitted.value.status).toBe(200);
  });
  test('a stream arrives line by line; a truncated one never looks complete', async () => {
    expect(await readLines('/three')).toEqual([{ n: 1 }, { n: 2 }, { n: 3 }]);
    const truncated = await readLines('/cut');
    expect(truncated[truncated.length - 1]).toBe('broken');
    expect([[], [{ n: 1 }]]).toContainEqual(truncated.slice(0, -1));
  });
  test('errors are typed', async () => {
    const failing = await httpClient.call({
      method: 'GET',
      address: httpServer.address,
      path: '/boom',
      timeoutMs: 3_000,
    });
    expect(failing.ok && failing.value.status).toBe(500);
    const text = await httpClient.call({ method: 'GET', address: httpServer.address, path: '/text', timeoutMs: 3_000 });
    expect(text).toEqual({ ok: false, error: { tag: 'notJson' } });
    const unreachable = await httpClient.call({ method: 'GET', address: '127.0.0.1:1', path: '/', timeoutMs: 3_000 });
    expect(unreachable).toEqual({ ok: false, error: { tag: 'neverSent' } });
    const twice = await createExpressHttpServer(createQuietLog().component('httpServer')).open(httpServer.address, []);
    expect(twice).toEqual({ ok: false, error: { tag: 'addressInUse', address: httpServer.address } });
  });
});

describe('the bodies of all callers together', () => {
  async function openSmallServer(): Promise<Listener> {
    const log = createQuietLog().component('t');
    const clock = createClock();
    const intake = createIntakeOf(createMemoryBudget(100_000, clock, log), 100, clock, log);
    const opened = await createExpressHttpServer(log, 5_000, null, intake).open('127.0.0.1:0', [
      { method: 'POST', path: '/echo/:id', maxBytes: 80_000, handle: echo },
    ]);
    if (!opened.ok) throw new Error(opened.error.tag);
    return opened.value;
  }
  function send(address: string, body: Uint8Array | string, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`http://${address}/echo/7`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...headers },
      body,
    });
  }

  // Guards against callers of the operators' interface who fill a process with bodies that never end.
  test('are bounded: those that stop short of their end give way with 503, and others are answered', async () => {
    const server = await openSmallServer();
    const at = splitAddress(server.address);
    const texts: string[] = [];
    const sockets = Array.from({ length: 4 }, (_, index) => {
      const socket = createConnection({ host: at?.host ?? '', port: at?.port ?? 0 });
      texts.push('');
      socket.on('data', (part) => (texts[index] += String(part)));
      socket.on('error', () => undefined);
      const head =
        'POST /echo/7 HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 70000\r\n\r\n';
      socket.write(`${head}"${'x'.repeat(60_000)}`);
      return socket;
    });
    while (texts.filter((text) => /^HTTP\/1.1 503 .*overloaded/s.test(text)).length < 3)
      await new Promise((done) => setImmediate(done));
    expect((await send(server.address, '{"a":1}')).status).toBe(200);
    for (const socket of sockets) socket.destroy();
    await server.close();
  });

  test('count as what they decode to, which may not exceed the limit either', async () => {
    const server = await openSmallServer();
    const encoded = { 'content-encoding': 'gzip' };
    const small = await send(server.address, gzipSync('{"a":1}'), encoded);
    expect(await small.json()).toMatchObject({ got: { a: 1 } });
    expect((await send(server.address, gzipSync(`"${'x'.repeat(90_000)}"`), encoded)).status).toBe(413);
    expect((await send(server.address, 'no gzip', encoded)).status).toBe(400);
    expect((await send(server.address, '{}', { 'content-encoding': 'unknown' })).status).toBe(400);
    await server.close();
  });
});

// Guards against a document of the operators' interface that exhausts the heap when it is parsed.
test('a body of too many values is answered 413, not parsed', async () => {
  const opened = await createExpressHttpServer(createQuietLog().component('t')).open('127.0.0.1:0', [
    { method: 'POST', path: '/echo/:id', maxBytes: 8_000_000, handle: echo },
  ]);
  if (!opened.ok) throw new Error(opened.error.tag);
  const res = await fetch(`http://${opened.value.address}/echo/7`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: `[${'{},'.repeat(600_000)}{}]`,
  });
  expect([res.status, await res.json()]).toEqual([413, { error: { tag: 'tooManyTokens', most: 1_000_000 } }]);
  await opened.value.close();
});

// Guards against callers of the operators' interface who do not read what they asked for.
test('a whole response that has no room in what all callers may hold is not sent, and others are', async () => {
  const log = createQuietLog().component('t');
  const clock = createClock();
  const intake = createIntakeOf(createMemoryBudget(100_000, clock, log), 100, clock, log);
  const opened = await createExpressHttpServer(log, 5_000, null, intake).open('127.0.0.1:0', [
    { method: 'GET', path: '/large', handle: () => Promise.resolve({ status: 200, text: 'x'.repeat(200_000) }) },
    { method: 'GET', path: '/small', handle: () => Promise.resolve({ status: 200, body: { small: true } }) },
  ]);
  if (!opened.ok) throw new Error(opened.error.tag);
  const { address } = opened.value;
  await expect(fetch(`http://${address}/large`).then((res) => res.text())).rejects.toThrow();
  const small = await fetch(`http://${address}/small`);
  expect([small.status, await small.json()]).toEqual([200, { small: true }]);
  expect(intake.budget.heldBytes()).toBe(0);
  await opened.value.close();
});

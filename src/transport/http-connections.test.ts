import { createServer, request } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createConnection } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { createWorld } from '../sim/world.js';
import type { World } from '../sim/world.js';
import { HttpConnections } from './http-connections.js';
import { createQuietLog } from './log.js';

const LIMITS = { receiveTimeoutMs: 2_000, stopTimeoutMs: 7_000 };

type TestServer = {
  readonly world: World;
  readonly server: Server;
  readonly connections: HttpConnections;
  readonly port: number;
  readonly requests: { readonly req: IncomingMessage; readonly res: ServerResponse }[];
};
/** One connection of a caller: the text it received, and whether the connection has closed. */
type Caller = { readonly socket: Socket; text: string; ended: boolean };

const callers: Caller[] = [];
afterEach(() => {
  for (const caller of callers.splice(0)) caller.socket.destroy();
});

async function startServer(maxConnections = 1_000): Promise<TestServer> {
  const world = createWorld(1);
  const server = createServer();
  const connections = new HttpConnections(
    server,
    { maxConnections, log: createQuietLog().component('t') },
    world.clockOf(world.startProcess(world.host('server', 'zone'))),
  );
  const requests: { req: IncomingMessage; res: ServerResponse }[] = [];
  server.on('request', (req: IncomingMessage, res: ServerResponse) => requests.push({ req, res }));
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  return { world, server, connections, port: (server.address() as AddressInfo).port, requests };
}

/** Waits until `condition` holds, checking it at each event loop tick. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((done) => setImmediate(done));
}

/** Opens a connection, whether or not the server accepts it. */
async function openCaller(fixture: TestServer, bytes: string): Promise<Caller> {
  const socket = createConnection(fixture.port, '127.0.0.1');
  const caller: Caller = { socket, text: '', ended: false };
  callers.push(caller);
  socket.on('data', (part) => (caller.text += part.toString()));
  socket.on('error', () => undefined);
  socket.on('close', () => (caller.ended = true));
  if (bytes !== '') socket.write(bytes);
  await new Promise((done) => socket.once('connect', done));
  return caller;
}
async function connectCaller(fixture: TestServer, bytes: string): Promise<Caller> {
  const before = await connectionCount(fixture);
  const caller = await openCaller(fixture, bytes);
  while ((await connectionCount(fixture)) === before) await new Promise((done) => setImmediate(done));
  return caller;
}
function connectionCount(fixture: TestServer): Promise<number> {
  return new Promise((done) => fixture.server.getConnections((_error, count) => done(count)));
}

const INCOMPLETE_REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1234';

describe('a server that stops', () => {
  // Guards against a stop that a caller without a request blocks: the runtime counts its connection as busy until it
  // has sent a request.
  test('closes connections without a request at once: no bytes, an incomplete head, idle', async () => {
    const fixture = await startServer();
    const withoutBytes = await connectCaller(fixture, '');
    const halfHead = await connectCaller(fixture, 'POST / HTTP/1.1\r\nHo');
    const idle = await connectCaller(fixture, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => fixture.requests.length === 1);
    fixture.requests[0]?.res.end('ok');
    await until(() => idle.text.includes('ok') && fixture.connections.inFlight() === 0);
    const stopped = fixture.connections.stop(LIMITS);
    await until(() => withoutBytes.ended && halfHead.ended && idle.ended);
    await stopped;
  });

  test('responds to what it has read, and closes the connection afterwards', async () => {
    const fixture = await startServer();
    const busy = await connectCaller(fixture, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => fixture.requests.length === 1);
    const stopped = fixture.connections.stop(LIMITS);
    await fixture.world.advance(6_000);
    expect([fixture.connections.inFlight(), busy.ended]).toEqual([1, false]);
    fixture.requests[0]?.res.end('in the end');
    await stopped;
    await until(() => busy.ended);
    expect(busy.text).toMatch(/^HTTP\/1.1 200 [^]*in the end/);
  });

  test('closes a connection whose response began before the stop, as keep-alive, once the response is complete', async () => {
    const fixture = await startServer();
    const busy = await connectCaller(fixture, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => fixture.requests.length === 1);
    fixture.requests[0]?.res.writeHead(200, { 'Content-Length': 4 });
    fixture.requests[0]?.res.write('ab');
    await until(() => busy.text.includes('ab'));
    const stopped = fixture.connections.stop(LIMITS);
    fixture.requests[0]?.res.end('cd');
    await stopped;
    await until(() => busy.ended);
    expect(busy.text).toMatch(/abcd/);
  });

  test('waits for a body until the receive timeout, then rejects it with 503 and lets the caller read that', async () => {
    const fixture = await startServer();
    const caller = await connectCaller(fixture, INCOMPLETE_REQUEST);
    await until(() => fixture.requests.length === 1);
    const stopped = fixture.connections.stop(LIMITS);
    await fixture.world.advance(1_900);
    expect(caller.text).toBe('');
    await fixture.world.advance(200);
    await until(() => caller.text.includes('stopping'));
    expect(caller.text).toMatch(/^HTTP\/1.1 503 [^]*Connection: close/);
    expect([caller.ended, fixture.requests[0]?.res.headersSent]).toEqual([false, true]);
    caller.socket.write('56789');
    await until(() => caller.ended);
    await stopped;
  });

  test('does not wait longer than a second for a rejected caller that continues to send', async () => {
    const fixture = await startServer();
    const caller = await connectCaller(fixture, INCOMPLETE_REQUEST);
    await until(() => fixture.requests.length === 1);
    const stopped = fixture.connections.stop(LIMITS);
    await fixture.world.advance(2_100);
    await until(() => caller.text.includes('stopping'));
    await fixture.world.advance(1_000);
    await stopped;
  });

  test('accepts a body that arrives within the receive timeout', async () => {
    const fixture = await startServer();
    const caller = await connectCaller(fixture, INCOMPLETE_REQUEST);
    await until(() => fixture.requests.length === 1);
    const stopped = fixture.connections.stop(LIMITS);
    caller.socket.write('56789');
    fixture.requests[0]?.req.resume();
    await until(() => fixture.requests[0]?.req.complete === true);
    await fixture.world.advance(2_100);
    fixture.requests[0]?.res.end('taken');
    await stopped;
    await until(() => caller.ended);
    expect(caller.text).toMatch(/^HTTP\/1.1 200 [^]*taken/);
  });

  test('closes connections without a response when the stop times out', async () => {
    const fixture = await startServer();
    const busy = await connectCaller(fixture, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => fixture.requests.length === 1);
    const stopped = fixture.connections.stop(LIMITS);
    await fixture.world.advance(LIMITS.stopTimeoutMs + 100);
    await stopped;
    await until(() => busy.ended);
    expect(busy.text).toBe('');
  });
});

// Guards against a process that exits while part of a response is still in its memory, because the caller reads slowly.
test('a response is in flight until the operating system holds all of it that its caller has not read', async () => {
  const fixture = await startServer();
  const size = 64 * 1_048_576;
  let receivedBytes = 0;
  const response = await new Promise<IncomingMessage>((done) => {
    const sent = request({ host: '127.0.0.1', port: fixture.port, agent: false }, done);
    sent.end();
    void until(() => fixture.requests.length === 1).then(() => fixture.requests[0]?.res.end(Buffer.alloc(size)));
  });
  for (let turns = 0; turns < 1_000; turns += 1) await new Promise((done) => setImmediate(done));
  expect(fixture.connections.inFlight()).toBe(1);
  const stopped = fixture.connections.stop(LIMITS);
  response.on('data', (part: Buffer) => (receivedBytes += part.length));
  await stopped;
  await until(() => receivedBytes === size);
  expect(fixture.connections.inFlight()).toBe(0);
});

// Guards against callers who open connections until the process has no descriptor left.
test('at the limit the connection that is least likely to be missed is closed, and none whose request has been read', async () => {
  const fixture = await startServer(4);
  const read = await connectCaller(fixture, 'GET /read HTTP/1.1\r\nHost: a\r\n\r\n');
  const resting = await connectCaller(fixture, 'GET /rests HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => fixture.requests.length === 2);
  fixture.requests.find(({ req }) => req.url === '/rests')?.res.end('done');
  await until(() => resting.text.endsWith('done'));
  const halfHead = await connectCaller(fixture, 'GET / HTTP/1.1\r\nHo');
  const halfBody = await connectCaller(fixture, 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1234');
  await until(() => fixture.requests.length === 3);
  for (const [index, closed] of [halfHead, resting, halfBody].entries()) {
    const newcomer = await openCaller(fixture, `GET /new-${index} HTTP/1.1\r\nHost: a\r\n\r\n`);
    await until(() => closed.ended && fixture.requests.length === 4 + index);
    expect(newcomer.ended).toBe(false);
  }
  await openCaller(fixture, 'GET /last HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => fixture.requests.length === 7);
  expect(read.ended).toBe(false);
  await fixture.connections.stop({ receiveTimeoutMs: 0, stopTimeoutMs: 0 });
});

// Guards against a caller that takes the processor with thousands of requests that it sends at once.
test('a connection with too many requests that are not answered is closed, and the others are not parsed', async () => {
  const fixture = await startServer();
  const caller = await openCaller(fixture, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1_000));
  await until(() => caller.ended);
  expect(fixture.requests.length).toBeLessThan(1_000);
  const other = await connectCaller(fixture, 'GET /other HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => fixture.requests.some(({ req }) => req.url === '/other'));
  expect(other.ended).toBe(false);
  await fixture.connections.stop({ receiveTimeoutMs: 0, stopTimeoutMs: 0 });
});

import { createConnection } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { createQuietLog } from './log.js';
import { createTcpWire } from './wire.js';
import type { Connection, Listener } from './wire.js';

const MB = 1_048_576;
const listeners: Listener[] = [];
const sockets: Socket[] = [];

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const listener of listeners.splice(0)) await listener.close();
});

/** Listens, connects `count` peers, and records the frames and the end of each connection. */
async function connectPeers(count: number) {
  const frames: unknown[] = [];
  let closed = 0;
  const wire = createTcpWire(createQuietLog().component('wire'), 1_000);
  const listening = await wire.listen('127.0.0.1:0', (connection) => {
    connection.attach({ frame: (body) => frames.push(body), closed: () => (closed += 1) });
  });
  if (!listening.ok) throw new Error(listening.error.tag);
  listeners.push(listening.value);
  const port = Number(listening.value.address.split(':')[1]);
  const peers: Socket[] = [];
  for (let peer = 0; peer < count; peer += 1) {
    const socket = createConnection(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    peers.push(socket);
    await new Promise((done) => socket.once('connect', done));
  }
  return { frames, peers, closed: () => closed };
}
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((done) => setImmediate(done));
}

test('frames arrive whole and in order however they are cut, also within a character', async () => {
  const { frames, peers } = await connectPeers(1);
  const bytes = Buffer.from('{"a":"ő"}\n\n["b"]\n{"c":1}\n'.replace('\n\n', '\n'));
  for (const byte of bytes) {
    peers[0]!.write(Buffer.from([byte]));
    await new Promise((done) => setImmediate(done));
  }
  await until(() => frames.length === 3);
  expect(frames).toEqual([{ a: 'ő' }, ['b'], { c: 1 }]);
});

// Guards against peers that fill the memory of a node with frames that do not end.
test('a peer whose frame does not end is disconnected at 64 MB, and all peers together at 96 MB', async () => {
  const { peers, closed } = await connectPeers(3);
  const part = Buffer.alloc(MB, 'x');
  async function send(peer: Socket, parts: number): Promise<void> {
    for (let sent = 0; sent < parts && !peer.destroyed; sent += 1)
      if (!peer.write(part)) await new Promise((done) => peer.once('drain', done).once('close', done));
  }
  await send(peers[0]!, 66);
  await until(() => closed() === 1);
  await send(peers[1]!, 50);
  await send(peers[2]!, 50);
  await until(() => closed() === 2);
});

// Guards against peers that fill the memory of a node by not reading what it sends them.
test('of peers that together leave 96 MB unread, the one that is furthest behind is disconnected', async () => {
  const wire = createTcpWire(createQuietLog().component('wire'), 1_000);
  const connections: Connection[] = [];
  const closed: number[] = [];
  const listening = await wire.listen('127.0.0.1:0', (connection) => {
    const index = connections.push(connection) - 1;
    connection.attach({ frame: () => undefined, closed: () => closed.push(index) });
  });
  if (!listening.ok) throw new Error(listening.error.tag);
  listeners.push(listening.value);
  const port = Number(listening.value.address.split(':')[1]);
  for (let peer = 0; peer < 3; peer += 1) {
    const socket = createConnection(port, '127.0.0.1').pause();
    socket.on('error', () => undefined);
    sockets.push(socket);
    await until(() => connections.length === peer + 1);
  }
  const frame = 'x'.repeat(2 * MB);
  function send(index: number, frames: number): void {
    for (let sent = 0; sent < frames; sent += 1) connections[index]!.send(frame);
  }
  send(0, 20);
  send(1, 25);
  expect(closed).toEqual([]);
  send(2, 15);
  expect(closed).toEqual([1]);
});

import { afterAll, expect, test } from '@jest/globals';
import { createConnection } from 'node:net';
import { once } from 'node:events';
import { createPeers } from './peers.js';
import type { Peers } from './peers.js';
import { createClock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { createTcpWire, splitAddress } from '../../transport/wire.js';

const said: string[] = [];
const log: Log = { info: () => {}, warn: (t) => said.push(t), error: () => {} };
const open: Peers[] = [];
function peers(): Peers {
  const made = createPeers(createTcpWire(log, 500), createClock(), log);
  open.push(made);
  return made;
}
afterAll(async () => {
  for (const p of open) await p.close();
});

test('a garbage frame ends that connection only, with a log line', async () => {
  const server = peers();
  server.on('memberStatusAsk', () => ({ kind: 'done', agreed: true }));
  const at = await server.open('127.0.0.1:0');
  if (!at.ok) throw new Error(at.error.tag);
  const friend = peers();
  const ask = () => friend.call(at.value.address, { kind: 'memberStatusAsk' }, 2_000);
  expect(await ask()).toEqual({ ok: true, value: { kind: 'done', agreed: true } });

  const hp = splitAddress(at.value.address);
  for (const bytes of ['not json\n', '{"t":"call","id":1,"m":{"kind":"nonsense"}}\n', '{"t":"tell"}\n']) {
    const sock = createConnection({ host: hp?.host ?? '', port: hp?.port ?? 0 });
    const ended = once(sock, 'close');
    sock.on('error', () => {});
    sock.write(bytes);
    await ended;
  }
  expect(said.length).toBe(3);
  expect(await ask()).toEqual({ ok: true, value: { kind: 'done', agreed: true } });
});

test('an address where no one listens is told as unreachable', async () => {
  expect(await peers().call('127.0.0.1:1', { kind: 'memberStatusAsk' }, 1_000)).toEqual({
    ok: false,
    error: { tag: 'peerUnreachable', address: '127.0.0.1:1' },
  });
});

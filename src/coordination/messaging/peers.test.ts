import { afterAll, expect, test } from '@jest/globals';
import { createConnection } from 'node:net';
import { once } from 'node:events';
import { createPeers } from './peers.js';
import type { Peers } from './peers.js';
import { createClock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { createTcpWire, splitAddress } from '../../transport/wire.js';

const warnings: string[] = [];
const log: Log = { info: () => {}, warn: (t) => warnings.push(t), error: () => {} };
const created: Peers[] = [];
function createTestPeers(): Peers {
  const instance = createPeers(createTcpWire(log, 500), createClock(), log);
  created.push(instance);
  return instance;
}
afterAll(async () => {
  for (const p of created) await p.close();
});

test('a malformed frame closes only its own connection, with a log line', async () => {
  const server = createTestPeers();
  server.on('memberStatusAsk', () => ({ kind: 'done', agreed: true }));
  const listening = await server.open('127.0.0.1:0');
  if (!listening.ok) throw new Error(listening.error.tag);
  const client = createTestPeers();
  const requestStatus = () => client.call(listening.value.address, { kind: 'memberStatusAsk' }, 2_000);
  expect(await requestStatus()).toEqual({ ok: true, value: { kind: 'done', agreed: true } });

  const target = splitAddress(listening.value.address);
  for (const bytes of ['not json\n', '{"t":"call","id":1,"m":{"kind":"nonsense"}}\n', '{"t":"tell"}\n']) {
    const sock = createConnection({ host: target?.host ?? '', port: target?.port ?? 0 });
    const ended = once(sock, 'close');
    sock.on('error', () => {});
    sock.write(bytes);
    await ended;
  }
  expect(warnings.length).toBe(3);
  expect(await requestStatus()).toEqual({ ok: true, value: { kind: 'done', agreed: true } });
});

test('a call to an address without a listener fails as unreachable', async () => {
  expect(await createTestPeers().call('127.0.0.1:1', { kind: 'memberStatusAsk' }, 1_000)).toEqual({
    ok: false,
    error: { tag: 'peerUnreachable', address: '127.0.0.1:1' },
  });
});

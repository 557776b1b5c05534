import { expect, test } from '@jest/globals';
import type { Message, MessageKind } from '../../protocol/messages.js';
import type { LoadRows } from '../../state/distribution/load-rows.js';
import { createWorld } from '../../sim/world.js';
import { createRng } from '../../transport/rng.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Handler, Peer, Peers } from '../messaging/peers.js';
import { createFleetLoadRelay } from './fleet-load-relay.js';

type Sent = { readonly to: string; readonly message: Message };

/** One of two controllers, on a simulated clock, with all messages that it sends. */
function createFixture() {
  const world = createWorld(25);
  const sent: Sent[] = [];
  const handlers = new Map<string, Handler<MessageKind>>();
  const peers = {
    on: (kind: string, handler: Handler<MessageKind>) => void handlers.set(kind, handler),
    send: (to: string, message: Message) => {
      sent.push({ to, message });
      return Promise.resolve(true);
    },
  } as unknown as Peers;
  const members = [
    { name: 'c1', incarnation: 1, address: 'c1:1' },
    { name: 'c2', incarnation: 1, address: 'c2:1' },
  ];
  const ledger = { self: members[0], controlState: () => ({ members }) } as unknown as Ledger;
  const clock = world.clockOf(world.startProcess(world.host('c1', 'z')));
  const relay = createFleetLoadRelay(ledger, peers, clock, createRng(1));
  function createProxy(name: string): { readonly peer: Peer; readonly report: (rows: LoadRows) => void } {
    let count = 0;
    const peer: Peer = {
      send: (message) => void sent.push({ to: name, message }),
      onClosed: () => undefined,
      close: () => undefined,
    };
    function report(rows: LoadRows): void {
      count += 1;
      const message = { kind: 'usage', told: { name, run: 'r', count, rows } } as Message;
      void handlers.get('usage')?.(message, peer);
    }
    return { peer, report };
  }
  return { world, sent, relay, createProxy };
}

test('a controller without any load sends one empty report to the others, and then nothing', async () => {
  const { world, sent, relay, createProxy } = createFixture();
  await world.advance(10_000);
  createProxy('p').report({});
  await world.advance(10_000);
  relay.stop();
  expect(sent.filter(({ to }) => to !== 'p').map(({ to, message }) => [to, 'told' in message && message.told])).toEqual(
    [['c2:1', expect.objectContaining({ name: 'c1', count: 1, rows: {} })]],
  );
  expect(sent.filter(({ to }) => to === 'p')).toEqual([{ to: 'p', message: { kind: 'fleetLoad', rows: {} } }]);
});

test('load reaches the other proxies and controllers within 100 ms, and a proxy that joins later gets the complete table', async () => {
  const { world, sent, relay, createProxy } = createFixture();
  const first = createProxy('p');
  first.report({ w: [1, 9_000, 9_000, 0, 1] });
  await world.advance(100);
  first.report({ w: [1, 0, 9_000, 0, 1], v: [1, 4_000, 5_000, 0, 1] });
  await world.advance(100);
  createProxy('q').report({});
  await world.advance(100);
  relay.stop();
  const changed = { w: [1, 0, 9_000, 0, 1], v: [1, 4_000, 5_000, 0, 1] };
  expect(sent.filter(({ to }) => to === 'p').map(({ message }) => message)).toEqual([
    { kind: 'fleetLoad', rows: { w: [1, 9_000, 9_000, 0, 1] } },
    { kind: 'fleetLoad', rows: changed, partial: true },
  ]);
  expect(sent.filter(({ to }) => to === 'q').map(({ message }) => message)).toEqual([
    { kind: 'fleetLoad', rows: changed },
  ]);
  expect(sent.filter(({ to }) => to === 'c2:1')).toHaveLength(2);
});

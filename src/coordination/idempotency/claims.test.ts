import { describe, expect, test } from '@jest/globals';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { emptyControlState, majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
import { HOUR_MS } from '../../state/idempotency/claim-table.js';
import { createPlatter, loseDisk, losePower, simDisk } from '../../sim/sim-disk.js';
import type { Platter } from '../../sim/sim-disk.js';
import { createWorld } from '../../sim/world.js';
import type { World } from '../../sim/world.js';
import { createQuietLog } from '../../transport/log.js';
import type { RingShape } from '../../transport/ring.js';
import { createClaimClient } from './claim-client.js';
import { createClaims } from './claims.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';

const SHAPE: RingShape = { name: 'claims', files: 3, fileBytes: 16_384, snapshotBytes: 400_000 };
const born = 500_000 * HOUR_MS;

type Handlers = Map<string, (m: Message) => Promise<Message> | Message | null>;
type Voter = {
  readonly ask: (m: Message) => Promise<Message | null>;
  readonly ready: () => boolean;
  readonly size: () => number;
};
type Room = {
  readonly world: World;
  readonly controlState: ControlState;
  readonly handlers: Map<string, Handlers>;
  readonly lost: { next: (m: Message) => boolean };
};

function room(): Room {
  const controlState = emptyControlState();
  controlState.ledger = 'ledger-1';
  controlState.members = [1, 2, 3].map((i): Member => ({ name: `h${i}`, incarnation: 'i1', address: `h${i}` }));
  controlState.claimants = controlState.members.map(memberId);
  return { world: createWorld(1), controlState, handlers: new Map(), lost: { next: () => false } };
}
function peersOf(r: Room, address: string): Peers {
  const own: Handlers = new Map();
  r.handlers.set(address, own);
  async function call(to: string, m: Message): Promise<unknown> {
    const response = r.lost.next(m) ? null : await r.handlers.get(to)?.get(m.kind)?.(m);
    return response ? { ok: true, value: response } : { ok: false, error: { tag: 'peerSilent', address: to } };
  }
  return { call, on: (kind: string, fn: never) => own.set(kind, fn) } as unknown as Peers;
}
async function voter(r: Room, at: number, platter: Platter): Promise<Voter> {
  const self = r.controlState.members[at] as Member;
  const proc = r.world.begin(r.world.host(self.name, 'z'));
  const ledger = { controlState: () => r.controlState, isMember: () => true, self } as unknown as Ledger;
  const made = await finish(
    r,
    createClaims(
      ledger,
      peersOf(r, self.address),
      simDisk(platter, proc, r.world),
      SHAPE,
      r.world.clockOf(proc),
      createQuietLog().component(''),
    ),
  );
  if (!made?.ok) throw new Error('not opened');
  return {
    ask: (m) => finish(r, Promise.resolve(r.handlers.get(self.address)?.get(m.kind)?.(m) ?? null)),
    ready: () => made.value.ready(),
    size: () => made.value.size(),
  };
}
async function finish<T>(r: Room, work: Promise<T>): Promise<T | null> {
  const box: { value: T | null; done: boolean } = { value: null, done: false };
  void work.then((v) => ((box.value = v), (box.done = true)));
  await r.world.until(60_000, () => box.done);
  return box.value;
}
function claim(r: Room, key: string, by: string, at = born): MessageOf<'claim'> {
  return {
    kind: 'claim',
    ledger: 'ledger-1',
    members: membersDigest(r.controlState.members),
    claims: [{ key, by, born: at }],
  };
}
function told(m: Message | null): string {
  return m?.kind === 'claimAnswer' ? (m.answers[0]?.tag ?? '') : (m?.kind ?? 'silent');
}

describe('claims', () => {
  test('nothing is answered from what is not synced, a repeated question included', async () => {
    const r = room();
    const platter = createPlatter();
    const v = await voter(r, 0, platter);
    platter.failing = true;
    expect(told(await v.ask(claim(r, 'k', 't1')))).toBe('cannotVote');
    expect(told(await v.ask(claim(r, 'k', 't1')))).toBe('cannotVote');
    losePower(platter, r.world);
    r.world.kill(r.world.host('h1', 'z'));
    platter.failing = false;
    const again = await voter(r, 0, platter);
    expect(told(await again.ask(claim(r, 'k', 't2')))).toBe('claimed');
  });

  test('a claim that waited for the disk while the members changed is not granted for the former ones', async () => {
    const r = room();
    const v = await voter(r, 0, createPlatter());
    const handler = r.handlers.get('h1')?.get('claim');
    const first = Promise.resolve(handler?.(claim(r, 'k1', 't1')) ?? null);
    const waiting = Promise.resolve(handler?.(claim(r, 'k2', 't1')) ?? null);
    r.controlState.members = [...r.controlState.members.slice(0, 2), { name: 'h4', incarnation: 'i1', address: 'h4' }];
    expect(told(await finish(r, first))).toBe('claimed');
    expect(told(await finish(r, waiting))).toBe('cannotVote');
    expect(told(await v.ask(claim(r, 'k2', 't2')))).toBe('claimed');
  });

  test('what was granted is held after power was lost', async () => {
    const r = room();
    const platter = createPlatter();
    const v = await voter(r, 0, platter);
    for (let i = 0; i < 2_000; i += 1) expect(told(await v.ask(claim(r, `k${i}`, 't1')))).toBe('claimed');
    losePower(platter, r.world);
    r.world.kill(r.world.host('h1', 'z'));
    const again = await voter(r, 0, platter);
    expect(again.size()).toBe(2_000);
    for (const i of [0, 700, 1_999]) expect(told(await again.ask(claim(r, `k${i}`, 't2')))).toBe('taken');
  });

  test('one that lost its disk reads all from the others, page by page, before it grants', async () => {
    const r = room();
    const platters = [createPlatter(), createPlatter(), createPlatter()];
    for (const at of [0, 1, 2]) await voter(r, at, platters[at] as Platter);
    for (let n = 0; n < 3; n += 1) {
      const claims = Array.from({ length: 3_000 }, (_, i) => ({
        key: `k${n}-${i}`,
        by: 't1',
        born: born + n * HOUR_MS,
      }));
      for (const h of ['h2', 'h3'])
        await finish(r, Promise.resolve(r.handlers.get(h)?.get('claim')?.({ ...claim(r, '', ''), claims })));
    }
    r.world.kill(r.world.host('h1', 'z'));
    loseDisk(platters[0] as Platter);
    r.controlState.members = r.controlState.members.map((m) => (m.name === 'h1' ? { ...m, incarnation: 'i2' } : m));
    const v = await voter(r, 0, platters[0] as Platter);
    expect(told(await v.ask(claim(r, 'k2-77', 't2')))).toBe('cannotVote');
    expect(await r.world.until(10_000, v.ready)).toBe(true);
    expect(v.size()).toBe(9_000);
    expect(told(await v.ask(claim(r, 'k2-77', 't2', born + 2 * HOUR_MS)))).toBe('taken');
  });

  test('a claim that counts a member that was replaced meanwhile is not granted', async () => {
    const r = room();
    const v = await voter(r, 1, createPlatter());
    const before = claim(r, 'k', 't1');
    r.controlState.members = r.controlState.members.map((m) => (m.name === 'h1' ? { ...m, incarnation: 'i2' } : m));
    expect(told(await v.ask(before))).toBe('cannotVote');
    expect(told(await v.ask(claim(r, 'k', 't1')))).toBe('claimed');
  });

  test('over two days keys come and go, none is granted twice, and what is held stays bounded', async () => {
    const r = room();
    const platter = createPlatter();
    const v = await voter(r, 0, platter);
    let most = 0;
    for (let hour = 0; hour < 50; hour += 1) {
      const at = born + hour * HOUR_MS;
      const claims = Array.from({ length: 200 }, (_, i) => ({ key: `k${hour}-${i}`, by: 't1', born: at }));
      const response = await v.ask({ ...claim(r, '', ''), claims });
      expect(response?.kind === 'claimAnswer' && response.answers.every((a) => a.tag === 'claimed')).toBe(true);
      await r.world.advance(HOUR_MS);
      most = Math.max(most, v.size());
      for (const back of [1, 20, 24, 30, 49]) {
        if (hour < back) continue;
        const old = await v.ask(claim(r, `k${hour - back}-5`, 't2', born + (hour - back) * HOUR_MS));
        expect([back, told(old)]).toEqual([back, back <= 24 ? 'taken' : 'tooOld']);
      }
    }
    expect(most).toBe(26 * 200);
  });
});

test('a release that gets lost is told again until it is heard; then the key is free', async () => {
  const r = room();
  for (const at of [0, 1, 2]) await voter(r, at, createPlatter());
  const proc = r.world.begin(r.world.host('proxy', 'z'));
  const client = createClaimClient(() => r.controlState, peersOf(r, 'proxy'), r.world.clockOf(proc));
  let answersLost = 0;
  r.lost.next = (m) => m.kind === 'claimEnds' && r.world.now() < 20_000;
  const held = r.handlers.get('h2')?.get('claim') as (m: Message) => Promise<Message>;
  r.handlers.get('h2')?.set('claim', (m) => held(m).then(() => ((answersLost += 1), null as never)));
  r.handlers.get('h3')?.set('claim', () => ({ kind: 'cannotVote' }));
  const first = await finish(r, client.claim({ text: 'k', born }, 't1'));
  expect([first?.tag, answersLost]).toEqual(['noMajority', 1]);
  r.handlers.get('h2')?.set('claim', held);
  expect((await finish(r, client.claim({ text: 'k', born }, 't2')))?.tag).toBe('taken');
  await r.world.advance(90_000);
  expect((await finish(r, client.claim({ text: 'k', born }, 't3')))?.tag).toBe('claimed');
  expect(majorityOf(r.controlState.members)).toBe(2);
});

import { describe, expect, test } from '@jest/globals';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { emptyControlState, majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
import { HOUR_MS } from '../../state/idempotency/claim-table.js';
import { createPlatter, eraseDisk, losePower, createSimDisk } from '../../sim/sim-disk.js';
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
  readonly call: (m: Message) => Promise<Message | null>;
  readonly ready: () => boolean;
  readonly size: () => number;
};
type TestEnv = {
  readonly world: World;
  readonly controlState: ControlState;
  readonly handlers: Map<string, Handlers>;
  readonly network: { drops: (m: Message) => boolean };
};

function createTestEnv(): TestEnv {
  const controlState = emptyControlState();
  controlState.ledger = 'ledger-1';
  controlState.members = [1, 2, 3].map((i): Member => ({ name: `h${i}`, incarnation: 'i1', address: `h${i}` }));
  controlState.claimants = controlState.members.map(memberId);
  return { world: createWorld(1), controlState, handlers: new Map(), network: { drops: () => false } };
}
function fakePeers(env: TestEnv, address: string): Peers {
  const ownHandlers: Handlers = new Map();
  env.handlers.set(address, ownHandlers);
  async function call(to: string, m: Message): Promise<unknown> {
    const response = env.network.drops(m) ? null : await env.handlers.get(to)?.get(m.kind)?.(m);
    return response ? { ok: true, value: response } : { ok: false, error: { tag: 'peerSilent', address: to } };
  }
  return { call, on: (kind: string, fn: never) => ownHandlers.set(kind, fn) } as unknown as Peers;
}
async function startVoter(env: TestEnv, index: number, platter: Platter): Promise<Voter> {
  const self = env.controlState.members[index] as Member;
  const proc = env.world.startProcess(env.world.host(self.name, 'z'));
  const ledger = { controlState: () => env.controlState, isMember: () => true, self } as unknown as Ledger;
  const opened = await waitFor(
    env,
    createClaims(
      ledger,
      fakePeers(env, self.address),
      createSimDisk(platter, proc, env.world),
      SHAPE,
      env.world.clockOf(proc),
      createQuietLog().component(''),
    ),
  );
  if (!opened?.ok) throw new Error('the claims could not be opened');
  return {
    call: (m) => waitFor(env, Promise.resolve(env.handlers.get(self.address)?.get(m.kind)?.(m) ?? null)),
    ready: () => opened.value.ready(),
    size: () => opened.value.size(),
  };
}
async function waitFor<T>(env: TestEnv, promise: Promise<T>): Promise<T | null> {
  const result: { value: T | null; done: boolean } = { value: null, done: false };
  void promise.then((v) => ((result.value = v), (result.done = true)));
  await env.world.until(60_000, () => result.done);
  return result.value;
}
function claim(env: TestEnv, key: string, by: string, at = born): MessageOf<'claim'> {
  return {
    kind: 'claim',
    ledger: 'ledger-1',
    members: membersDigest(env.controlState.members),
    claims: [{ key, by, born: at }],
  };
}
function voteTag(m: Message | null): string {
  return m?.kind === 'claimAnswer' ? (m.answers[0]?.tag ?? '') : (m?.kind ?? 'silent');
}

describe('claims', () => {
  test('a claim whose record is not synced is not answered, also when it is repeated', async () => {
    const env = createTestEnv();
    const platter = createPlatter();
    const voter = await startVoter(env, 0, platter);
    platter.failing = true;
    expect(voteTag(await voter.call(claim(env, 'k', 't1')))).toBe('cannotVote');
    expect(voteTag(await voter.call(claim(env, 'k', 't1')))).toBe('cannotVote');
    losePower(platter, env.world);
    env.world.kill(env.world.host('h1', 'z'));
    platter.failing = false;
    const restarted = await startVoter(env, 0, platter);
    expect(voteTag(await restarted.call(claim(env, 'k', 't2')))).toBe('claimed');
  });

  test('a claim that waited for the disk while the members changed is not granted for the previous members', async () => {
    const env = createTestEnv();
    const voter = await startVoter(env, 0, createPlatter());
    const handler = env.handlers.get('h1')?.get('claim');
    const first = Promise.resolve(handler?.(claim(env, 'k1', 't1')) ?? null);
    const waiting = Promise.resolve(handler?.(claim(env, 'k2', 't1')) ?? null);
    env.controlState.members = [
      ...env.controlState.members.slice(0, 2),
      { name: 'h4', incarnation: 'i1', address: 'h4' },
    ];
    expect(voteTag(await waitFor(env, first))).toBe('claimed');
    expect(voteTag(await waitFor(env, waiting))).toBe('cannotVote');
    expect(voteTag(await voter.call(claim(env, 'k2', 't2')))).toBe('claimed');
  });

  test('granted claims are still held after a power loss', async () => {
    const env = createTestEnv();
    const platter = createPlatter();
    const voter = await startVoter(env, 0, platter);
    for (let i = 0; i < 2_000; i += 1) expect(voteTag(await voter.call(claim(env, `k${i}`, 't1')))).toBe('claimed');
    losePower(platter, env.world);
    env.world.kill(env.world.host('h1', 'z'));
    const restarted = await startVoter(env, 0, platter);
    expect(restarted.size()).toBe(2_000);
    for (const i of [0, 700, 1_999]) expect(voteTag(await restarted.call(claim(env, `k${i}`, 't2')))).toBe('taken');
  });

  test('a controller that lost its disk reads all claims from the others page by page before it grants any', async () => {
    const env = createTestEnv();
    const platters = [createPlatter(), createPlatter(), createPlatter()];
    for (const index of [0, 1, 2]) await startVoter(env, index, platters[index] as Platter);
    for (let n = 0; n < 3; n += 1) {
      const claims = Array.from({ length: 3_000 }, (_, i) => ({
        key: `k${n}-${i}`,
        by: 't1',
        born: born + n * HOUR_MS,
      }));
      for (const h of ['h2', 'h3'])
        await waitFor(env, Promise.resolve(env.handlers.get(h)?.get('claim')?.({ ...claim(env, '', ''), claims })));
    }
    env.world.kill(env.world.host('h1', 'z'));
    eraseDisk(platters[0] as Platter);
    env.controlState.members = env.controlState.members.map((m) => (m.name === 'h1' ? { ...m, incarnation: 'i2' } : m));
    const voter = await startVoter(env, 0, platters[0] as Platter);
    expect(voteTag(await voter.call(claim(env, 'k2-77', 't2')))).toBe('cannotVote');
    expect(await env.world.until(10_000, voter.ready)).toBe(true);
    expect(voter.size()).toBe(9_000);
    expect(voteTag(await voter.call(claim(env, 'k2-77', 't2', born + 2 * HOUR_MS)))).toBe('taken');
  });

  test('a claim sent for members of which one was replaced since then is not granted', async () => {
    const env = createTestEnv();
    const voter = await startVoter(env, 1, createPlatter());
    const claimBefore = claim(env, 'k', 't1');
    env.controlState.members = env.controlState.members.map((m) => (m.name === 'h1' ? { ...m, incarnation: 'i2' } : m));
    expect(voteTag(await voter.call(claimBefore))).toBe('cannotVote');
    expect(voteTag(await voter.call(claim(env, 'k', 't1')))).toBe('claimed');
  });

  test('over two days of new and expiring keys none is granted twice, and the number of claims held stays bounded', async () => {
    const env = createTestEnv();
    const platter = createPlatter();
    const voter = await startVoter(env, 0, platter);
    let maxSize = 0;
    for (let hour = 0; hour < 50; hour += 1) {
      const at = born + hour * HOUR_MS;
      const claims = Array.from({ length: 200 }, (_, i) => ({ key: `k${hour}-${i}`, by: 't1', born: at }));
      const response = await voter.call({ ...claim(env, '', ''), claims });
      expect(response?.kind === 'claimAnswer' && response.answers.every((a) => a.tag === 'claimed')).toBe(true);
      await env.world.advance(HOUR_MS);
      maxSize = Math.max(maxSize, voter.size());
      for (const hoursAgo of [1, 20, 24, 30, 49]) {
        if (hour < hoursAgo) continue;
        const old = await voter.call(claim(env, `k${hour - hoursAgo}-5`, 't2', born + (hour - hoursAgo) * HOUR_MS));
        expect([hoursAgo, voteTag(old)]).toEqual([hoursAgo, hoursAgo <= 24 ? 'taken' : 'tooOld']);
      }
    }
    expect(maxSize).toBe(26 * 200);
  });
});

test('a lost release is sent again until it is acknowledged, and then the key is free', async () => {
  const env = createTestEnv();
  for (const index of [0, 1, 2]) await startVoter(env, index, createPlatter());
  const proc = env.world.startProcess(env.world.host('proxy', 'z'));
  const client = createClaimClient(() => env.controlState, fakePeers(env, 'proxy'), env.world.clockOf(proc));
  let responsesLost = 0;
  env.network.drops = (m) => m.kind === 'claimEnds' && env.world.now() < 20_000;
  const originalHandler = env.handlers.get('h2')?.get('claim') as (m: Message) => Promise<Message>;
  env.handlers.get('h2')?.set('claim', (m) => originalHandler(m).then(() => ((responsesLost += 1), null as never)));
  env.handlers.get('h3')?.set('claim', () => ({ kind: 'cannotVote' }));
  const first = await waitFor(env, client.claim({ text: 'k', born }, 't1'));
  expect([first?.tag, responsesLost]).toEqual(['noMajority', 1]);
  env.handlers.get('h2')?.set('claim', originalHandler);
  expect((await waitFor(env, client.claim({ text: 'k', born }, 't2')))?.tag).toBe('taken');
  await env.world.advance(90_000);
  expect((await waitFor(env, client.claim({ text: 'k', born }, 't3')))?.tag).toBe('claimed');
  expect(majorityOf(env.controlState.members)).toBe(2);
});

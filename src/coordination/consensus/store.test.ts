import { describe, expect, test } from '@jest/globals';
import { createPlatter, losePowerWith, createSimDisk, createHangingDisk } from '../../sim/sim-disk.js';
import type { Platter, SurvivingBytes } from '../../sim/sim-disk.js';
import { createWorld } from '../../sim/world.js';
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import { openStore } from './store.js';
import type { Store, StoreResult, StoreCommand } from './store.js';

/** Small enough for the script below to cross files, fill the ring log and compact many times. */
const SHAPE = { name: 'ledger', files: 3, fileBytes: 1_400, snapshotBytes: 24_000 };
const SLOTS = 14;

function batchOf(slot: number): Batch {
  const member = (name: string) => ({ name, incarnation: '1', address: `${name}:1` });
  const command =
    slot === 0
      ? { tag: 'bootstrapped' as const, ledger: 'l', ticketKey: 'k', members: ['a', 'b', 'c'].map(member) }
      : { tag: 'evacuation' as const, zone: `z${slot}`, begun: true };
  return { id: `batch-${slot}`, entries: [{ id: `op-${slot}`, author: 'a', wall: 0, cause: 'A test.', act: command }] };
}
function stateAt(slot: number): ControlState {
  const state = emptyControlState();
  for (let n = 0; n <= slot; n += 1) foldBatch(state, n, batchOf(n));
  return state;
}
const STATES = [...Array(SLOTS + 1).keys()].map(stateAt);

function ballot(round: number): Ballot {
  return { round, by: 'a#1/b' };
}
function prepare(slot: number, round: number): StoreCommand {
  return { tag: 'prepare', slot, ballot: ballot(round) };
}
function accept(slot: number, round: number): StoreCommand {
  return { tag: 'accept', slot, ballot: ballot(round), batch: batchOf(slot) };
}
function chosen(slot: number): StoreCommand {
  return { tag: 'chosen', slot, batch: batchOf(slot) };
}
function adopt(slot: number): StoreCommand {
  return { tag: 'adopt', controlState: STATES[slot] as ControlState };
}

/** The commands of one line are issued together, so they share writes and a sync. */
const SCRIPT: readonly (readonly StoreCommand[])[] = [
  [prepare(0, 1)],
  [accept(0, 1)],
  [chosen(0), prepare(1, 1), prepare(1, 2)],
  [accept(1, 2)],
  [chosen(1)],
  [prepare(2, 1), accept(2, 1), prepare(3, 4), accept(3, 4)],
  [adopt(2)],
  [prepare(4, 2), accept(4, 2)],
  [prepare(3, 6)],
  [adopt(5), prepare(6, 1)],
  [accept(6, 1), chosen(6), prepare(9, 3), accept(9, 3)],
  [adopt(8)],
  [prepare(9, 5), chosen(9)],
  [
    ...[10, 11, 12].flatMap((slot) => [prepare(slot, 1), accept(slot, 2), prepare(slot, 3), accept(slot, 4)]),
    prepare(10, 7),
    accept(10, 7),
    prepare(11, 8),
  ],
  [chosen(10), prepare(13, 9), accept(13, 9)],
  [{ tag: 'fillClosed', orders: [], whole: true }],
  [adopt(11), prepare(12, 9)],
  [chosen(12), chosen(13)],
  [prepare(14, 1)],
  [accept(14, 1)],
];

/** The commands answered so far. Other members may have acted on the answers, so none of these may ever be lost. */
type Acknowledged = { readonly promised: Map<number, Ballot>; readonly accepted: Map<number, Ballot>; learned: number };

function recordAcknowledged(acknowledged: Acknowledged, command: StoreCommand, result: StoreResult): void {
  if (result.tag === 'vote' && result.vote.tag === 'promised' && command.tag === 'prepare')
    acknowledged.promised.set(command.slot, command.ballot);
  if (result.tag === 'vote' && result.vote.tag === 'accepted' && command.tag === 'accept')
    acknowledged.accepted.set(command.slot, command.ballot);
  if (result.tag !== 'folded') return;
  if (command.tag === 'chosen') acknowledged.learned = command.slot;
  if (command.tag === 'adopt') acknowledged.learned = command.controlState.slot;
}

type ScriptRun = {
  readonly store: Store | null;
  readonly error: string | null;
  readonly used: number;
  readonly answered: Acknowledged;
};

/** Opens the store on a disk that stops after a number of operations, and runs the script until then. */
async function runScript(
  platter: Platter,
  operations: number,
  script: readonly (readonly StoreCommand[])[],
): Promise<ScriptRun> {
  const world = createWorld(1);
  const stopping = createHangingDisk(
    createSimDisk(platter, world.startProcess(world.host('h', 'z')), world),
    operations,
  );
  const answered: Acknowledged = { promised: new Map(), accepted: new Map(), learned: -1 };
  const opened: { store: Store | null; error: string | null; ended: boolean } = {
    store: null,
    error: null,
    ended: false,
  };
  async function run(): Promise<void> {
    const openResult = await openStore(
      stopping.disk,
      SHAPE,
      () => undefined,
      () => undefined,
    );
    if (!openResult.ok) {
      opened.error = openResult.error.tag;
      opened.ended = true;
      return;
    }
    opened.store = openResult.value;
    for (const commands of script) {
      const results = await Promise.all(commands.map((command) => openResult.value.put(command)));
      commands.forEach((command, i) => recordAcknowledged(answered, command, results[i] as StoreResult));
    }
    opened.ended = true;
  }
  void run();
  await world.until(10_000, () => opened.ended);
  return { store: opened.store, error: opened.error, used: stopping.used(), answered };
}

const WRITE_FATES: Readonly<Record<string, SurvivingBytes>> = {
  'none kept': () => 0,
  'all kept': (bytes) => bytes,
  'halves kept': (bytes) => Math.floor(bytes / 2),
  'the first kept': (bytes, index) => (index === 0 ? bytes : 0),
  'all but the first kept': (bytes, index) => (index === 0 ? 0 : bytes),
};

async function expectNothingLost(where: string, platter: Platter, before: Acknowledged): Promise<void> {
  const { store, error } = await runScript(platter, Infinity, []);
  expect([where, error]).toEqual([where, null]);
  const reopened = store as Store;
  const { slot } = reopened.controlState();
  expect([where, slot]).toEqual([where, expect.any(Number)]);
  expect(slot).toBeGreaterThanOrEqual(before.learned);
  expect([where, reopened.controlState()]).toEqual([where, slot < 0 ? emptyControlState() : STATES[slot]]);
  for (const [votedSlot, ballotBefore] of before.accepted) {
    if (votedSlot > slot)
      expect([where, votedSlot, reopened.accepted(votedSlot)]).toEqual([where, votedSlot, batchOf(votedSlot)]);
    expect(reopened.top()).toBeGreaterThanOrEqual(votedSlot);
    await expectRejected(where, reopened, votedSlot, ballotBefore);
  }
  for (const [votedSlot, ballotBefore] of before.promised)
    await expectRejected(where, reopened, votedSlot, ballotBefore);
}

/**
 * Expects a ballot below the promised or accepted one to be rejected, with that ballot or a higher one as the reason.
 */
async function expectRejected(where: string, store: Store, slot: number, ballotBefore: Ballot): Promise<void> {
  const world = createWorld(2);
  let pendingResult: StoreResult | null = null;
  void store
    .put({ tag: 'prepare', slot, ballot: { ...ballotBefore, by: '' } })
    .then((response) => (pendingResult = response));
  await world.advance(1);
  const result = pendingResult as StoreResult | null;
  if (slot <= store.controlState().slot)
    expect([where, result]).toEqual([where, { tag: 'vote', vote: { tag: 'alreadyChosen' } }]);
  else if (result?.tag === 'vote' && result.vote.tag === 'outbid')
    expect(compareBallots(result.vote.by, ballotBefore)).toBeGreaterThanOrEqual(0);
  else expect([where, slot, result]).toEqual([where, slot, 'outbid']);
}

function copyOf(platter: Platter): Platter {
  const out = createPlatter();
  for (const [name, file] of platter.files) {
    out.files.set(name, {
      current: Buffer.from(file.current),
      synced: Buffer.from(file.synced),
      unsynced: file.unsynced.map((w) => ({ at: w.at, data: Buffer.from(w.data) })),
    });
  }
  return out;
}

describe('power loss between any two writes of the store', () => {
  test('the script crosses files, fills the ring log, and adopts states while newer votes are held', async () => {
    const platter = createPlatter();
    const { store, used, answered } = await runScript(platter, Infinity, SCRIPT);
    expect(store?.controlState()).toEqual(STATES[13]);
    expect([answered.learned, store?.accepted(14)]).toEqual([13, batchOf(14)]);
    expect(used).toBeGreaterThan(60);
  });

  test.each(Object.keys(WRITE_FATES))('nothing that was answered is lost: of the unsynced writes %s', async (fate) => {
    const { used } = await runScript(createPlatter(), Infinity, SCRIPT);
    for (let stopAfter = 0; stopAfter <= used; stopAfter += 1) {
      const platter = createPlatter();
      const { answered } = await runScript(platter, stopAfter, SCRIPT);
      losePowerWith(platter, WRITE_FATES[fate] as SurvivingBytes);
      await expectNothingLost(`stopped after ${stopAfter}`, platter, answered);
    }
  });

  test.each(Object.keys(WRITE_FATES))(
    'nothing that was answered is lost by a second power loss while the store is reopened: %s',
    async (fate) => {
      const { used } = await runScript(createPlatter(), Infinity, SCRIPT);
      for (let stopAfter = 0; stopAfter <= used; stopAfter += 1) {
        const first = createPlatter();
        const { answered } = await runScript(first, stopAfter, SCRIPT);
        losePowerWith(first, WRITE_FATES['halves kept'] as SurvivingBytes);
        const operationsToOpen = (await runScript(copyOf(first), Infinity, [])).used;
        for (let secondStopAfter = 0; secondStopAfter <= operationsToOpen; secondStopAfter += 1) {
          const platter = copyOf(first);
          await runScript(platter, secondStopAfter, []);
          losePowerWith(platter, WRITE_FATES[fate] as SurvivingBytes);
          await expectNothingLost(`stopped after ${stopAfter}, then ${secondStopAfter}`, platter, answered);
        }
      }
    },
  );
});

describe('damage of other kinds on the disk', () => {
  test('a snapshot older than the ring log next to it is reported as damage, not read as an older state', async () => {
    const platter = createPlatter();
    await runScript(platter, Infinity, SCRIPT);
    const areas = ['ledger-snapshot-0', 'ledger-snapshot-1'].map((name) => platter.files.get(name)?.current as Buffer);
    const newest = areas.sort((a, b) => b.readUIntBE(14, 6) - a.readUIntBE(14, 6))[0] as Buffer;
    newest.writeUInt8(newest.readUInt8(40) ^ 0xff, 40);
    expect((await runScript(platter, Infinity, [])).error).toBe('ringDamaged');
  });
});

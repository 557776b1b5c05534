import { describe, expect, test } from '@jest/globals';
import { createPlatter, losePowerWith, simDisk, stoppingDisk } from '../../sim/sim-disk.js';
import type { Platter, WriteFate } from '../../sim/sim-disk.js';
import { createWorld } from '../../sim/world.js';
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import { openStore } from './store.js';
import type { Store, StoreAnswer, StoreCommand } from './store.js';

/** Small enough that the script below crosses files, fills the ring and compacts many times. */
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

/** Commands of one line are put at once, so they share writes and a sync. */
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

/** What was answered, and so may have been acted on by others: nothing of it may ever be taken back. */
type Answered = { readonly promised: Map<number, Ballot>; readonly accepted: Map<number, Ballot>; learned: number };

function note(answered: Answered, command: StoreCommand, answer: StoreAnswer): void {
  if (answer.tag === 'vote' && answer.vote.tag === 'promised' && command.tag === 'prepare')
    answered.promised.set(command.slot, command.ballot);
  if (answer.tag === 'vote' && answer.vote.tag === 'accepted' && command.tag === 'accept')
    answered.accepted.set(command.slot, command.ballot);
  if (answer.tag !== 'folded') return;
  if (command.tag === 'chosen') answered.learned = command.slot;
  if (command.tag === 'adopt') answered.learned = command.controlState.slot;
}

type Life = {
  readonly store: Store | null;
  readonly error: string | null;
  readonly used: number;
  readonly answered: Answered;
};

/** Opens the store on a disk that stops after so many operations, and runs the script as far as it goes. */
async function live(platter: Platter, operations: number, script: readonly (readonly StoreCommand[])[]): Promise<Life> {
  const world = createWorld(1);
  const stopping = stoppingDisk(simDisk(platter, world.begin(world.host('h', 'z')), world), operations);
  const answered: Answered = { promised: new Map(), accepted: new Map(), learned: -1 };
  const opened: { store: Store | null; error: string | null; ended: boolean } = {
    store: null,
    error: null,
    ended: false,
  };
  async function run(): Promise<void> {
    const made = await openStore(
      stopping.disk,
      SHAPE,
      () => undefined,
      () => undefined,
    );
    if (!made.ok) {
      opened.error = made.error.tag;
      opened.ended = true;
      return;
    }
    opened.store = made.value;
    for (const line of script) {
      const answers = await Promise.all(line.map((command) => made.value.put(command)));
      line.forEach((command, i) => note(answered, command, answers[i] as StoreAnswer));
    }
    opened.ended = true;
  }
  void run();
  await world.until(10_000, () => opened.ended);
  return { store: opened.store, error: opened.error, used: stopping.used(), answered };
}

const FATES: Readonly<Record<string, WriteFate>> = {
  'none kept': () => 0,
  'all kept': (bytes) => bytes,
  'halves kept': (bytes) => Math.floor(bytes / 2),
  'the first kept': (bytes, index) => (index === 0 ? bytes : 0),
  'all but the first kept': (bytes, index) => (index === 0 ? 0 : bytes),
};

async function nothingTakenBack(where: string, platter: Platter, before: Answered): Promise<void> {
  const { store, error } = await live(platter, Infinity, []);
  expect([where, error]).toEqual([where, null]);
  const held = store as Store;
  const { slot } = held.controlState();
  expect([where, slot]).toEqual([where, expect.any(Number)]);
  expect(slot).toBeGreaterThanOrEqual(before.learned);
  expect([where, held.controlState()]).toEqual([where, slot < 0 ? emptyControlState() : STATES[slot]]);
  for (const [at, was] of before.accepted) {
    if (at > slot) expect([where, at, held.accepted(at)]).toEqual([where, at, batchOf(at)]);
    expect(held.top()).toBeGreaterThanOrEqual(at);
    await refuses(where, held, at, was);
  }
  for (const [at, was] of before.promised) await refuses(where, held, at, was);
}

/** A ballot below what was promised or accepted is turned away, with nothing less than that. */
async function refuses(where: string, store: Store, slot: number, was: Ballot): Promise<void> {
  const world = createWorld(2);
  let vote: StoreAnswer | null = null;
  void store.put({ tag: 'prepare', slot, ballot: { ...was, by: '' } }).then((answer) => (vote = answer));
  await world.advance(1);
  const told = vote as StoreAnswer | null;
  if (slot <= store.controlState().slot)
    expect([where, told]).toEqual([where, { tag: 'vote', vote: { tag: 'alreadyChosen' } }]);
  else if (told?.tag === 'vote' && told.vote.tag === 'outbid')
    expect(compareBallots(told.vote.by, was)).toBeGreaterThanOrEqual(0);
  else expect([where, slot, told]).toEqual([where, slot, 'outbid']);
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

describe('power lost between any two writes of the store', () => {
  test('the script crosses files, fills the ring, and adopts while newer votes are held', async () => {
    const platter = createPlatter();
    const { store, used, answered } = await live(platter, Infinity, SCRIPT);
    expect(store?.controlState()).toEqual(STATES[13]);
    expect([answered.learned, store?.accepted(14)]).toEqual([13, batchOf(14)]);
    expect(used).toBeGreaterThan(60);
  });

  test.each(Object.keys(FATES))(
    'nothing that was answered is taken back: of the writes that were not synced %s',
    async (fate) => {
      const { used } = await live(createPlatter(), Infinity, SCRIPT);
      for (let stop = 0; stop <= used; stop += 1) {
        const platter = createPlatter();
        const { answered } = await live(platter, stop, SCRIPT);
        losePowerWith(platter, FATES[fate] as WriteFate);
        await nothingTakenBack(`stopped after ${stop}`, platter, answered);
      }
    },
  );

  test.each(Object.keys(FATES))('nor by a second loss while the store is opened again: %s', async (fate) => {
    const { used } = await live(createPlatter(), Infinity, SCRIPT);
    for (let stop = 0; stop <= used; stop += 1) {
      const first = createPlatter();
      const { answered } = await live(first, stop, SCRIPT);
      losePowerWith(first, FATES['halves kept'] as WriteFate);
      const opening = (await live(copyOf(first), Infinity, [])).used;
      for (let again = 0; again <= opening; again += 1) {
        const platter = copyOf(first);
        await live(platter, again, []);
        losePowerWith(platter, FATES[fate] as WriteFate);
        await nothingTakenBack(`stopped after ${stop}, then ${again}`, platter, answered);
      }
    }
  });
});

describe('what the disk holds after losses of other kinds', () => {
  test('a snapshot older than the ring beside it is damage, not an older state', async () => {
    const platter = createPlatter();
    await live(platter, Infinity, SCRIPT);
    const areas = ['ledger-snapshot-0', 'ledger-snapshot-1'].map((name) => platter.files.get(name)?.current as Buffer);
    const newest = areas.sort((a, b) => b.readUIntBE(14, 6) - a.readUIntBE(14, 6))[0] as Buffer;
    newest.writeUInt8(newest.readUInt8(40) ^ 0xff, 40);
    expect((await live(platter, Infinity, [])).error).toBe('ringDamaged');
  });
});

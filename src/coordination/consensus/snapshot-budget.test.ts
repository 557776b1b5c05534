import { describe, expect, test } from '@jest/globals';
import { createPlatter, createSimDisk } from '../../sim/sim-disk.js';
import type { Platter } from '../../sim/sim-disk.js';
import { createWorld } from '../../sim/world.js';
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch, Command } from '../../state/consensus/entry.js';
import { openRing } from '../../transport/ring.js';
import type { RingShape } from '../../transport/ring.js';
import { ringShapesFor } from '../controller.js';
import { snapshotBudget, snapshotBytesOf } from './snapshot-budget.js';
import { openStore } from './store.js';
import type { Store } from './store.js';

const DISKS_MB = [16, 64, 128];
const ROUTE_BYTES = 1_000;
const BALLOT = { round: 1, by: 'a#1/b' };

function shapeOf(diskMegabytes: number): RingShape {
  return ringShapesFor(diskMegabytes * 1_048_576).ledger;
}
function batch(id: string, act: Command): Batch {
  return { id, entries: [{ id: `op-${id}`, author: 'a', wall: 0, cause: 'A test.', act }] };
}
function configured(id: string, base: number, paths: readonly string[], letter: string): Batch {
  const changes = paths.map((path) => ({ path: ['deployment', path], value: letter.repeat(ROUTE_BYTES) }));
  return batch(id, { tag: 'configured', base, changes });
}
function pathsOf(bytes: number): string[] {
  return [...Array(Math.floor(bytes / (ROUTE_BYTES + 80))).keys()].map((n) => `p${n}`);
}
/** A state whose configuration, with the changes back from it, takes about this many bytes. */
function stateOf(configurationBytes: number): ControlState {
  const state = emptyControlState();
  const members = ['a', 'b', 'c'].map((name) => ({ name, incarnation: '1', address: `${name}:1` }));
  foldBatch(state, 0, batch('b0', { tag: 'bootstrapped', ledger: 'l', ticketKey: 'k', members }));
  foldBatch(state, 1, configured('b1', 0, pathsOf(configurationBytes), 'x'));
  return state;
}
async function openOn(
  platter: Platter,
  shape: RingShape,
): Promise<{ store: Store; settle: <T>(p: Promise<T>) => Promise<T> }> {
  const world = createWorld(1);
  const disk = createSimDisk(platter, world.startProcess(world.host('a', 'z')), world);
  async function settle<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    void promise.finally(() => (isSettled = true));
    while (!isSettled) await world.advance(1);
    return promise;
  }
  const opened = await settle(
    openStore(
      disk,
      shape,
      () => undefined,
      () => undefined,
    ),
  );
  if (!opened.ok) throw new Error(opened.error.tag);
  return { store: opened.value, settle };
}

/** Writes what the version before wrote: a snapshot of a state, and a vote on the slot after it. */
async function writeFormer(
  platter: Platter,
  shape: RingShape,
  controlState: ControlState,
  change: Batch,
): Promise<void> {
  const world = createWorld(1);
  const disk = createSimDisk(platter, world.startProcess(world.host('a', 'z')), world);
  async function write(): Promise<void> {
    const opened = await openRing(disk, shape);
    if (!opened.ok) throw new Error(opened.error.tag);
    const snapshot = { controlState, closed: { orders: [], lacking: null }, slots: [] };
    expect(await opened.value.ring.compact(Buffer.from(JSON.stringify(snapshot)))).toMatchObject({ ok: true });
    const vote = { t: 'slot', slot: 2, state: { promised: BALLOT, accepted: { ballot: BALLOT, batch: change } } };
    expect(await opened.value.ring.append([Buffer.from(JSON.stringify(vote))])).toMatchObject({ ok: true });
  }
  let isWritten = false;
  const writing = write().finally(() => (isWritten = true));
  while (!isWritten) await world.advance(1);
  await writing;
}

describe('the parts of a snapshot', () => {
  test.each(DISKS_MB)('add up to its size (disk of %i MB)', (diskMegabytes) => {
    const shape = shapeOf(diskMegabytes);
    const budget = snapshotBudget(shape);
    expect(budget.state + budget.closedOrders + budget.acceptedBatch).toBeLessThan(shape.snapshotBytes);
    expect(budget.configuration).toBeLessThan(budget.state);
    expect(budget.configuration).toBeGreaterThanOrEqual(Math.floor(0.85 * 3 * shape.fileBytes));
  });
});

describe('a log with the largest configuration', () => {
  // Guards against a batch that was accepted and not chosen and made every later snapshot too large, at a majority at once.
  test.each(DISKS_MB)(
    'is compacted while the largest change is accepted and not chosen (disk of %i MB)',
    async (diskMegabytes) => {
      const shape = shapeOf(diskMegabytes);
      const platter = createPlatter();
      const { store, settle } = await openOn(platter, shape);
      const state = stateOf(0.95 * snapshotBudget(shape).configuration);
      expect(await settle(store.put({ tag: 'adopt', controlState: state }))).toMatchObject({ tag: 'folded' });
      const change = configured('b2', 1, pathsOf(0.85 * shape.fileBytes), 'y');
      const accepted = await settle(store.put({ tag: 'accept', slot: 2, ballot: BALLOT, batch: change }));
      expect(accepted).toMatchObject({ tag: 'vote', vote: { tag: 'accepted' } });
      expect(await settle(store.put({ tag: 'rewrite' }))).toMatchObject({ tag: 'folded' });
      expect(store.writable()).toBe(true);
      const reopened = await openOn(platter, shape);
      expect(reopened.store.accepted(2)).toEqual(change);
    },
  );

  test('a change that a snapshot could not hold is refused and leaves the log writable', async () => {
    const shape = shapeOf(16);
    const { store, settle } = await openOn(createPlatter(), shape);
    const state = stateOf(snapshotBudget(shape).configuration);
    await settle(store.put({ tag: 'adopt', controlState: state }));
    const added = pathsOf(0.9 * shape.fileBytes).map((path) => `other-${path}`);
    for (let n = 0; n < 4; n += 1) {
      const slot = store.controlState().slot + 1;
      const change = configured(
        `c${n}`,
        store.controlState().version,
        added.map((path) => `${path}-${n}`),
        'z',
      );
      const result = await settle(store.put({ tag: 'accept', slot, ballot: BALLOT, batch: change }));
      if (result.tag === 'cannotWrite') {
        expect([n > 0, result.error.tag, store.writable()]).toEqual([true, 'recordTooLarge', true]);
        expect(store.accepted(slot)).toBeNull();
        expect(await settle(store.put({ tag: 'rewrite' }))).toMatchObject({ tag: 'folded' });
        return;
      }
      await settle(store.put({ tag: 'chosen', slot, batch: change }));
    }
    expect(snapshotBytesOf(store.controlState())).toBeLessThan(0);
  });

  // Guards against disks of the version before, whose log is full and whose snapshot area was too small for what it holds.
  test('is written again by this version when the version before could not write it', async () => {
    const shape = shapeOf(128);
    const former: RingShape = { ...shape, snapshotBytes: 3 * shape.fileBytes };
    const platter = createPlatter();
    const state = stateOf(0.8 * former.snapshotBytes);
    const change = configured('b2', 1, pathsOf(0.9 * shape.fileBytes), 'y');
    await writeFormer(platter, former, state, change);
    const { store, settle } = await openOn(platter, shape);
    expect(store.accepted(2)).toEqual(change);
    expect(await settle(store.put({ tag: 'rewrite' }))).toMatchObject({ tag: 'folded' });
    expect((await openOn(platter, shape)).store.accepted(2)).toEqual(change);
  });
});

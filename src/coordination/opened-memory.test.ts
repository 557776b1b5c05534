import { afterEach, describe, expect, test } from '@jest/globals';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Result } from '../base/result.js';
import { createPlatter, createSimDisk } from '../sim/sim-disk.js';
import { createWorld } from '../sim/world.js';
import { emptyControlState } from '../state/consensus/control-state.js';
import { yieldToEventLoop } from '../transport/clock.js';
import type { Disk } from '../transport/disk.js';
import { createQuietLog } from '../transport/log.js';
import { openRing } from '../transport/ring.js';
import type { RingShape } from '../transport/ring.js';
import { openStore } from './consensus/store.js';
import type { Ledger } from './consensus/ledger.js';
import { createClaims } from './idempotency/claims.js';
import type { Peers } from './messaging/peers.js';

const MB = 1_048_576;
const SHAPE: RingShape = { name: 'ring', files: 2, fileBytes: 4_096, snapshotBytes: 9 * MB };
/** A field that no reader uses, which makes the snapshot large. */
const PADDING = 'x'.repeat(8 * MB);

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the bytes of buffers in use. Runs several ticks, as memory is released gradually after a collection. */
async function bufferBytes(): Promise<number> {
  for (let i = 0; i < 4; i += 1) {
    collectGarbage();
    await yieldToEventLoop();
  }
  return process.memoryUsage().arrayBuffers;
}

type Opener = (disk: Disk) => Promise<Result<unknown, unknown>>;

/**
 * Opens a disk with a large snapshot twice, and returns the bytes of buffers that the second opening adds while the
 * first is still in use.
 */
async function bytesRetainedByOpening(snapshot: Buffer, open: Opener): Promise<number> {
  const world = createWorld(1);
  const disk = createSimDisk(createPlatter(), world.startProcess(world.host('h', 'z')), world);
  const openedValues: unknown[] = [];
  let written = false;
  async function writeSnapshot(): Promise<void> {
    const ring = await openRing(disk, SHAPE);
    if (!ring.ok) throw new Error(ring.error.tag);
    written = (await ring.value.ring.compact(snapshot)).ok;
  }
  async function openOnce(): Promise<void> {
    const opened = await open(disk);
    if (!opened.ok) throw new Error('the ring could not be opened');
    openedValues.push(opened.value);
  }
  void writeSnapshot();
  expect(await world.until(10_000, () => written)).toBe(true);
  void openOnce();
  expect(await world.until(10_000, () => openedValues.length === 1)).toBe(true);
  const before = await bufferBytes();
  void openOnce();
  expect(await world.until(10_000, () => openedValues.length === 2)).toBe(true);
  return (await bufferBytes()) - before;
}

const stops: (() => void)[] = [];
afterEach(() => {
  for (const stop of stops.splice(0)) stop();
});

describe('the bytes read from the disk at startup are not retained', () => {
  test('by the store', async () => {
    const content = { controlState: emptyControlState(), closed: { orders: [], lacking: null }, slots: [], PADDING };
    const retainedBytes = await bytesRetainedByOpening(Buffer.from(JSON.stringify(content)), (disk) =>
      openStore(
        disk,
        SHAPE,
        () => undefined,
        () => undefined,
      ),
    );
    expect(retainedBytes).toBeLessThan(MB);
  });

  test('by the claims', async () => {
    const header = { readyFor: '', uptime: 0, forgotten: [], PADDING };
    const world = createWorld(1);
    const clock = world.clockOf(world.startProcess(world.host('c', 'z')));
    const ledger = { controlState: emptyControlState, isMember: () => false } as unknown as Ledger;
    const peers = { on: () => undefined } as unknown as Peers;
    const retainedBytes = await bytesRetainedByOpening(Buffer.from(`${JSON.stringify(header)}\n`), async (disk) => {
      const opened = await createClaims(ledger, peers, disk, SHAPE, clock, createQuietLog().component(''));
      if (opened.ok) stops.push(() => opened.value.stop());
      return opened;
    });
    expect(retainedBytes).toBeLessThan(MB);
  });
});

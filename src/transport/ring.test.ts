import { describe, expect, test } from '@jest/globals';
import { createPlatter, losePower, createSimDisk } from '../sim/sim-disk.js';
import type { Platter } from '../sim/sim-disk.js';
import { createWorld } from '../sim/world.js';
import type { World } from '../sim/world.js';
import { openRing } from './ring.js';
import type { OpenedRing, RingError } from './ring.js';
import type { Result } from '../base/result.js';

const shape = { name: 'r', files: 4, fileBytes: 400, snapshotBytes: 2_000 };

async function advanceUntilDone<T>(world: World, operation: Promise<T>): Promise<T> {
  let value: { v: T } | null = null;
  void operation.then((v) => (value = { v }));
  await world.until(60_000, () => value !== null);
  return (value as unknown as { v: T }).v;
}
function open(world: World, platter: Platter): Promise<Result<OpenedRing, RingError>> {
  return advanceUntilDone(
    world,
    openRing(createSimDisk(platter, world.startProcess(world.host('h', 'z')), world), shape),
  );
}
async function openOrThrow(world: World, platter: Platter): Promise<OpenedRing> {
  const response = await open(world, platter);
  if (!response.ok) throw new Error(JSON.stringify(response.error));
  return response.value;
}

type ItemLog = { readonly base: number; readonly items: number[] };
function readItems(opened: OpenedRing): number[] {
  const all = opened.snapshot ? [...(JSON.parse(opened.snapshot.toString()) as ItemLog).items] : [];
  for (const r of opened.records) all.push(Number(r.toString()));
  return all;
}

/** Kills the process. Its unsynced writes remain readable for the next process, unless the power is lost too. */
function killProcess(world: World, platter: Platter, losesPower: boolean): void {
  world.kill(world.host('h', 'z'));
  if (losesPower) losePower(platter, world);
}

describe('ring', () => {
  test.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'loss of power at any point: all acknowledged records read back, in order (seed %i)',
    async (seed) => {
      const world = createWorld(seed);
      const platter = createPlatter();
      const acknowledged: number[] = [];
      let next = 0;
      for (let incarnation = 0; incarnation < 12; incarnation += 1) {
        const opened = await openOrThrow(world, platter);
        const items = readItems(opened);
        expect(items.slice(0, acknowledged.length)).toEqual(acknowledged);
        expect(items).toEqual([...items.keys()]);
        acknowledged.splice(0, acknowledged.length, ...items);
        next = items.length;
        const writeCount = 5 + Math.floor(world.rng.next() * 30);
        for (let i = 0; i < writeCount; i += 1) {
          if (opened.ring.isNearlyFull()) {
            const snapshot = Buffer.from(JSON.stringify({ base: 0, items: [...acknowledged] }));
            const compacting = opened.ring.compact(snapshot);
            if (i === writeCount - 1 && world.rng.next() < 0.5) break;
            expect((await advanceUntilDone(world, compacting)).ok).toBe(true);
          }
          const count = 1 + Math.floor(world.rng.next() * 3);
          const batch = Array.from({ length: count }, (_, k) => next + k);
          const writing = opened.ring.append(batch.map((n) => Buffer.from(String(n))));
          if (i === writeCount - 1) {
            await world.advance(world.rng.next() * 1.2);
            break;
          }
          expect((await advanceUntilDone(world, writing)).ok).toBe(true);
          acknowledged.push(...batch);
          next += count;
        }
        killProcess(world, platter, true);
      }
      expect(acknowledged.length).toBeGreaterThan(50);
    },
  );

  test.each([...Array(40).keys()])(
    'a process killed at any point, then loss of power at any point of the next: all that was read back stays (seed %i)',
    async (seed) => {
      const world = createWorld(500 + seed);
      const platter = createPlatter();
      let readBack: number[] = [];
      for (let incarnation = 0; incarnation < 12; incarnation += 1) {
        const opened = await openOrThrow(world, platter);
        const items = readItems(opened);
        expect(items).toEqual([...items.keys()]);
        expect(items.slice(0, readBack.length)).toEqual(readBack);
        readBack = items;
        const writeCount = Math.floor(world.rng.next() * 12);
        for (let i = 0; i <= writeCount; i += 1) {
          const nextItem = readBack.length;
          const compacts = opened.ring.isNearlyFull();
          const operation = compacts
            ? opened.ring.compact(Buffer.from(JSON.stringify({ base: 0, items: readBack })))
            : opened.ring.append([Buffer.from(String(nextItem)), Buffer.from(String(nextItem + 1))]);
          if (i === writeCount) {
            await world.advance(world.rng.next() * 1.2);
            break;
          }
          expect((await advanceUntilDone(world, operation)).ok).toBe(true);
          if (!compacts) readBack = [...readBack, nextItem, nextItem + 1];
        }
        killProcess(world, platter, world.rng.next() < 0.5);
      }
    },
  );

  test('damage in the middle is reported, never skipped; a torn tail is truncated', async () => {
    const world = createWorld(9);
    const platter = createPlatter();
    const opened = await openOrThrow(world, platter);
    for (let n = 0; n < 12; n += 1)
      expect((await advanceUntilDone(world, opened.ring.append([Buffer.from(String(n))]))).ok).toBe(true);
    const file = platter.files.get('r-0');
    const undamaged = Buffer.from(file?.current as Buffer);
    (file as { current: Buffer }).current[31 + 28] = 0xff;
    const damaged = await open(world, platter);
    expect(damaged.ok ? null : damaged.error.tag).toBe('ringDamaged');
    (file as { current: Buffer }).current = undamaged;
    expect(readItems(await openOrThrow(world, platter))).toEqual([...Array(12).keys()]);
    const last = [...platter.files.values()][0] as { current: Buffer };
    const end = last.current.lastIndexOf(Buffer.from('11'));
    last.current[end] = 0;
    expect(readItems(await openOrThrow(world, platter))).toEqual([...Array(11).keys()]);
  });

  test('records of an older version are reported with their file, never taken for an empty disk', async () => {
    const world = createWorld(10);
    const platter = createPlatter();
    const opened = await openOrThrow(world, platter);
    expect((await advanceUntilDone(world, opened.ring.append([Buffer.from('0')]))).ok).toBe(true);
    (platter.files.get('r-0') as { current: Buffer }).current.write('MILL', 0);
    const older = await open(world, platter);
    expect(older).toEqual({ ok: false, error: { tag: 'olderFormat', file: 'r-0', needed: 'MIL2' } });
  });

  test('a ring without a snapshot reports when it is full; a disk error makes it reject records', async () => {
    const world = createWorld(3);
    const platter = createPlatter();
    const opened = await openOrThrow(world, platter);
    let tag = '';
    for (let n = 0; n < 100 && tag === ''; n += 1) {
      const response = await advanceUntilDone(world, opened.ring.append([Buffer.alloc(100)]));
      if (!response.ok) tag = response.error.tag;
    }
    expect(tag).toBe('ringFull');
    expect((await advanceUntilDone(world, opened.ring.compact(Buffer.from('{}')))).ok).toBe(true);
    expect((await advanceUntilDone(world, opened.ring.append([Buffer.alloc(100)]))).ok).toBe(true);
    platter.failing = true;
    expect((await advanceUntilDone(world, opened.ring.append([Buffer.alloc(10)]))).ok).toBe(false);
    platter.failing = false;
    const after = await advanceUntilDone(world, opened.ring.append([Buffer.alloc(10)]));
    expect(after.ok ? '' : after.error.tag).toBe('ringBroken');
  });

  test.each(['append', 'compact'] as const)(
    'a successful snapshot makes a ring accept records again after a failed %s',
    async (failed) => {
      for (let seed = 0; seed < 20; seed += 1) {
        const world = createWorld(seed);
        const platter = createPlatter();
        const opened = await openOrThrow(world, platter);
        expect((await advanceUntilDone(world, opened.ring.append([Buffer.from('before')]))).ok).toBe(true);
        platter.failing = true;
        for (let n = 0; n <= seed % 3; n += 1) {
          const operation =
            failed === 'append' ? opened.ring.append([Buffer.from('lost')]) : opened.ring.compact(Buffer.from('lost'));
          expect((await advanceUntilDone(world, operation)).ok).toBe(false);
        }
        platter.failing = false;
        expect((await advanceUntilDone(world, opened.ring.compact(Buffer.from('whole')))).ok).toBe(true);
        for (const after of ['one', 'two'])
          expect((await advanceUntilDone(world, opened.ring.append([Buffer.from(after)]))).ok).toBe(true);
        losePower(platter, world);
        const reopened = await openOrThrow(world, platter);
        expect([reopened.snapshot?.toString(), ...reopened.records.map(String)]).toEqual(['whole', 'one', 'two']);
      }
    },
  );
});

import { describe, expect, test } from '@jest/globals';
import { createPlatter, losePower, simDisk } from '../sim/sim-disk.js';
import type { Platter } from '../sim/sim-disk.js';
import { createWorld } from '../sim/world.js';
import type { World } from '../sim/world.js';
import { openRing } from './ring.js';
import type { Opened, RingError } from './ring.js';
import type { Result } from '../base/result.js';

const shape = { name: 'r', files: 4, fileBytes: 400, snapshotBytes: 2_000 };

async function within<T>(world: World, work: Promise<T>): Promise<T> {
  let value: { v: T } | null = null;
  void work.then((v) => (value = { v }));
  await world.until(60_000, () => value !== null);
  return (value as unknown as { v: T }).v;
}
function open(world: World, platter: Platter): Promise<Result<Opened, RingError>> {
  return within(world, openRing(simDisk(platter, world.begin(world.host('h', 'z')), world), shape));
}
async function opened(world: World, platter: Platter): Promise<Opened> {
  const response = await open(world, platter);
  if (!response.ok) throw new Error(JSON.stringify(response.error));
  return response.value;
}

type Log = { readonly base: number; readonly items: number[] };
function readLog(o: Opened): number[] {
  const all = o.snapshot ? [...(JSON.parse(o.snapshot.toString()) as Log).items] : [];
  for (const r of o.records) all.push(Number(r.toString()));
  return all;
}

/** A process that is killed leaves its unsynced writes to the next one; power that is lost takes them away. */
function endLife(world: World, platter: Platter, losesPower: boolean): void {
  world.kill(world.host('h', 'z'));
  if (losesPower) losePower(platter, world);
}

describe('ring', () => {
  test.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'power lost at any point: all that was acknowledged reads back, in order (seed %i)',
    async (seed) => {
      const world = createWorld(seed);
      const platter = createPlatter();
      const acknowledged: number[] = [];
      let next = 0;
      for (let life = 0; life < 12; life += 1) {
        const o = await opened(world, platter);
        const log = readLog(o);
        expect(log.slice(0, acknowledged.length)).toEqual(acknowledged);
        expect(log).toEqual([...log.keys()]);
        acknowledged.splice(0, acknowledged.length, ...log);
        next = log.length;
        const lives = 5 + Math.floor(world.rng.next() * 30);
        for (let i = 0; i < lives; i += 1) {
          if (o.ring.crowded()) {
            const snap = Buffer.from(JSON.stringify({ base: 0, items: [...acknowledged] }));
            const compacting = o.ring.compact(snap);
            if (i === lives - 1 && world.rng.next() < 0.5) break;
            expect((await within(world, compacting)).ok).toBe(true);
          }
          const count = 1 + Math.floor(world.rng.next() * 3);
          const batch = Array.from({ length: count }, (_, k) => next + k);
          const writing = o.ring.append(batch.map((n) => Buffer.from(String(n))));
          if (i === lives - 1) {
            await world.advance(world.rng.next() * 1.2);
            break;
          }
          expect((await within(world, writing)).ok).toBe(true);
          acknowledged.push(...batch);
          next += count;
        }
        endLife(world, platter, true);
      }
      expect(acknowledged.length).toBeGreaterThan(50);
    },
  );

  test.each([...Array(40).keys()])(
    'a process killed at any point, then power lost at any point of the next: all that was read back stays (seed %i)',
    async (seed) => {
      const world = createWorld(500 + seed);
      const platter = createPlatter();
      let readBack: number[] = [];
      for (let life = 0; life < 12; life += 1) {
        const o = await opened(world, platter);
        const log = readLog(o);
        expect(log).toEqual([...log.keys()]);
        expect(log.slice(0, readBack.length)).toEqual(readBack);
        readBack = log;
        const writes = Math.floor(world.rng.next() * 12);
        for (let i = 0; i <= writes; i += 1) {
          const items = readBack.length;
          const compacts = o.ring.crowded();
          const work = compacts
            ? o.ring.compact(Buffer.from(JSON.stringify({ base: 0, items: readBack })))
            : o.ring.append([Buffer.from(String(items)), Buffer.from(String(items + 1))]);
          if (i === writes) {
            await world.advance(world.rng.next() * 1.2);
            break;
          }
          expect((await within(world, work)).ok).toBe(true);
          if (!compacts) readBack = [...readBack, items, items + 1];
        }
        endLife(world, platter, world.rng.next() < 0.5);
      }
    },
  );

  test('damage in the middle is told, never read over; a torn tail is cut', async () => {
    const world = createWorld(9);
    const platter = createPlatter();
    const o = await opened(world, platter);
    for (let n = 0; n < 12; n += 1)
      expect((await within(world, o.ring.append([Buffer.from(String(n))]))).ok).toBe(true);
    const file = platter.files.get('r-0');
    const whole = Buffer.from(file?.current as Buffer);
    (file as { current: Buffer }).current[31 + 28] = 0xff;
    const bad = await open(world, platter);
    expect(bad.ok ? null : bad.error.tag).toBe('ringDamaged');
    (file as { current: Buffer }).current = whole;
    expect(readLog(await opened(world, platter))).toEqual([...Array(12).keys()]);
    const last = [...platter.files.values()][0] as { current: Buffer };
    const end = last.current.lastIndexOf(Buffer.from('11'));
    last.current[end] = 0;
    expect(readLog(await opened(world, platter))).toEqual([...Array(11).keys()]);
  });

  test('records of an older version are told by their file, never taken for an empty disk', async () => {
    const world = createWorld(10);
    const platter = createPlatter();
    const o = await opened(world, platter);
    expect((await within(world, o.ring.append([Buffer.from('0')]))).ok).toBe(true);
    (platter.files.get('r-0') as { current: Buffer }).current.write('MILL', 0);
    const older = await open(world, platter);
    expect(older).toEqual({ ok: false, error: { tag: 'olderFormat', file: 'r-0', needed: 'MIL2' } });
  });

  test('a ring without a snapshot fills and says so; a broken disk closes it', async () => {
    const world = createWorld(3);
    const platter = createPlatter();
    const o = await opened(world, platter);
    let tag = '';
    for (let n = 0; n < 100 && tag === ''; n += 1) {
      const response = await within(world, o.ring.append([Buffer.alloc(100)]));
      if (!response.ok) tag = response.error.tag;
    }
    expect(tag).toBe('ringFull');
    expect((await within(world, o.ring.compact(Buffer.from('{}')))).ok).toBe(true);
    expect((await within(world, o.ring.append([Buffer.alloc(100)]))).ok).toBe(true);
    platter.failing = true;
    expect((await within(world, o.ring.append([Buffer.alloc(10)]))).ok).toBe(false);
    platter.failing = false;
    const after = await within(world, o.ring.append([Buffer.alloc(10)]));
    expect(after.ok ? '' : after.error.tag).toBe('ringBroken');
  });

  test.each(['append', 'compact'] as const)(
    'a snapshot that succeeds opens a ring again that a failed %s had closed',
    async (failed) => {
      for (let seed = 0; seed < 20; seed += 1) {
        const world = createWorld(seed);
        const platter = createPlatter();
        const o = await opened(world, platter);
        expect((await within(world, o.ring.append([Buffer.from('before')]))).ok).toBe(true);
        platter.failing = true;
        for (let n = 0; n <= seed % 3; n += 1) {
          const work = failed === 'append' ? o.ring.append([Buffer.from('lost')]) : o.ring.compact(Buffer.from('lost'));
          expect((await within(world, work)).ok).toBe(false);
        }
        platter.failing = false;
        expect((await within(world, o.ring.compact(Buffer.from('whole')))).ok).toBe(true);
        for (const after of ['one', 'two'])
          expect((await within(world, o.ring.append([Buffer.from(after)]))).ok).toBe(true);
        losePower(platter, world);
        const again = await opened(world, platter);
        expect([again.snapshot?.toString(), ...again.records.map(String)]).toEqual(['whole', 'one', 'two']);
      }
    },
  );
});

import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCoreOptions, SimCore } from '../../sim/sim-core.js';
import { createPlatter, losePowerWith, createSimDisk, createHangingDisk } from '../../sim/sim-disk.js';
import type { Platter } from '../../sim/sim-disk.js';
import { createWorld } from '../../sim/world.js';
import { formatFields } from '../../transport/log-line.js';
import type { Log, LogRoot } from '../../transport/log.js';
import { createQuietLog } from '../../transport/log.js';
import { openRing } from '../../transport/ring.js';
import { openOrRejoinBlank } from './damaged-ring.js';

const THREE = ['h1', 'h2', 'h3'];
const SEEDS = [1, 2, 3, 4, 5, 6];
const SHAPE: SimCoreOptions = { controllers: 3, seeds: 3, regionMs: 35 };

function createRecordingLog(): { readonly logs: LogRoot; readonly lines: string[] } {
  const lines: string[] = [];
  const record: Log['info'] = (event, fields) => void lines.push(`${event} ${formatFields(fields ?? {})}`);
  return { logs: { component: () => ({ info: record, warn: record, error: record }) }, lines };
}

async function bootstrapped(seed: number, shape: SimCoreOptions, logs: LogRoot): Promise<SimCore> {
  const core = createSimCore(seed, shape, logs);
  core.startAll();
  expect(await core.until(4_000, () => core.whole(THREE))).toBe(true);
  return core;
}
function incarnation(core: SimCore, name: string): string {
  return core.node(name).controller?.ledger.self.incarnation ?? '';
}

/** Damages the oldest record of a ring log, which newer records follow. */
function damageOldestRecord(platter: Platter, file: string): void {
  const stored = platter.files.get(file);
  for (const copy of stored ? [stored.current, stored.synced] : []) copy.writeUInt8(copy.readUInt8(60) ^ 0xff, 60);
}

describe('a damaged ring log', () => {
  test.each(SEEDS)(
    'the controller rejoins blank under a new incarnation, and logs this once (seed %i)',
    async (seed) => {
      const { logs, lines } = createRecordingLog();
      const core = await bootstrapped(seed, SHAPE, logs);
      for (const zone of ['a', 'b', 'c']) expect((await core.order('h1', zone)).result?.ok).toBe(true);
      await core.world.advance(1_000);
      const before = incarnation(core, 'h2');
      core.powerLoss('h2');
      damageOldestRecord(core.node('h2').platter, 'ledger-0');
      core.start('h2');
      expect(await core.until(6_000, () => core.whole(THREE) && incarnation(core, 'h2') !== before)).toBe(true);
      expect(lines.filter((line) => line.includes('log damaged')).length).toBe(1);
      expect(lines.find((line) => line.includes('log damaged'))).toContain(`h2#${incarnation(core, 'h2')}`);
      core.kill('h1');
      expect((await core.order('h2', 'd', 4_000)).result?.ok).toBe(true);
      expect(await core.readEvacuatedZones('h3')).toEqual(['a', 'b', 'c', 'd']);
      core.powerLoss('h2');
      core.start('h2');
      expect(await core.until(4_000, () => core.node('h2').controller?.ledger.isMember() === true)).toBe(true);
      expect(core.broken).toEqual([]);
    },
  );

  test('of run-once claims: no claim is answered from a blank table under the old incarnation', async () => {
    const { logs, lines } = createRecordingLog();
    const core = await bootstrapped(7, { ...SHAPE, claims: true }, logs);
    expect(
      await core.until(10_000, () => THREE.every((name) => core.node(name).controller?.claimsReady() === true)),
    ).toBe(true);
    const before = incarnation(core, 'h2');
    core.powerLoss('h2');
    const claims = core.node('h2').platter.files.get('claims-0')?.current as Buffer;
    const records = core.node('h2').platter.files.get('ledger-0')?.current as Buffer;
    records.copy(claims, 0, 0, 4_000);
    damageOldestRecord(core.node('h2').platter, 'claims-0');
    core.start('h2');
    await core.until(10_000, () => core.node('h2').controller !== null);
    expect(incarnation(core, 'h2')).not.toBe(before);
    expect(lines.filter((line) => line.includes('log damaged, rejoining blank file=claims-0 ')).length).toBe(1);
    expect(core.node('h2').controller?.claimsReady()).toBe(false);
    expect(
      await core.until(20_000, () => core.whole(THREE) && core.node('h2').controller?.claimsReady() === true),
    ).toBe(true);
    expect(core.broken).toEqual([]);
  });

  test('power loss at any write of the recovery: a ring that is no longer damaged always has a new incarnation', async () => {
    const shape = { name: 'r', files: 3, fileBytes: 500, snapshotBytes: 800 };
    const world = createWorld(1);
    async function within<T>(work: Promise<T>): Promise<T | null> {
      let value: { readonly v: T } | null = null;
      void work.then((v) => (value = { v }));
      await world.until(2_000, () => value !== null);
      return (value as { readonly v: T } | null)?.v ?? null;
    }
    function freshDisk(platter: Platter) {
      return createSimDisk(platter, world.startProcess(world.host('h', 'z')), world);
    }
    async function createDamagedPlatter(): Promise<Platter> {
      const platter = createPlatter();
      const opened = await within(openRing(freshDisk(platter), shape));
      for (let n = 0; n < 30 && opened?.ok; n += 1)
        await within(opened.value.ring.append([Buffer.from(`record ${n}`)]));
      await within(freshDisk(platter).replace('identity', Buffer.from('old')));
      damageOldestRecord(platter, 'r-0');
      return platter;
    }
    async function openOnStoppingDisk(platter: Platter, operations: number) {
      const { disk, used } = createHangingDisk(freshDisk(platter), operations);
      const log = createQuietLog().component('x');
      const renew = async () => (await disk.replace('identity', Buffer.from('new'))).ok;
      const ended = await within(
        openOrRejoinBlank(() => openRing(disk, shape), {
          disk,
          shape,
          log,
          renewIncarnation: renew,
          memberId: () => 'h',
        }),
      );
      return { ended, used: used() };
    }
    const { ended, used } = await openOnStoppingDisk(await createDamagedPlatter(), Infinity);
    expect(ended).toMatchObject({ ok: true, value: { snapshot: null, records: [] } });
    for (let stopAfter = 0; stopAfter < used; stopAfter += 1) {
      for (const keptShare of [0, 1]) {
        const platter = await createDamagedPlatter();
        await openOnStoppingDisk(platter, stopAfter);
        losePowerWith(platter, (bytes) => keptShare * bytes);
        const identity = platter.files.get('identity')?.current.toString();
        const reopened = await within(openRing(freshDisk(platter), shape));
        if (reopened?.ok) expect([stopAfter, identity]).toEqual([stopAfter, 'new']);
        const secondRun = await openOnStoppingDisk(platter, Infinity);
        expect([stopAfter, secondRun.ended?.ok]).toEqual([stopAfter, true]);
        expect(platter.files.get('identity')?.current.toString()).toBe('new');
      }
    }
  });
});

describe('a blank controller whose seeds no longer exist', () => {
  test.each(SEEDS)('joins on its own once a member that knows its address contacts it (seed %i)', async (seed) => {
    const { logs, lines } = createRecordingLog();
    const core = await bootstrapped(seed, SHAPE, logs);
    expect((await core.order('h1', 'a')).result?.ok).toBe(true);
    const before = incarnation(core, 'h3');
    core.powerLoss('h3');
    core.wipe('h3');
    for (const gone of ['g1', 'g2']) core.addNode(gone);
    core.seeds(['g1', 'g2']);
    core.start('h3');
    expect(await core.until(12_000, () => core.whole(THREE))).toBe(true);
    expect(incarnation(core, 'h3')).not.toBe(before);
    expect(await core.readEvacuatedZones('h3')).toEqual(['a']);
    expect(lines.filter((line) => line.includes('no seed reachable')).length).toBe(1);
    expect(core.broken).toEqual([]);
  });
});

/** What a partitioned controller serves, and until when: proxy updates, the proxy directory and the worker list. */
import { describe, expect, test } from '@jest/globals';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { createSimCore } from '../sim/sim-core.js';
import type { SimCore } from '../sim/sim-core.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import type { Host } from '../sim/world.js';
import type { WorkerEntry } from '../state/discovery/worker-entry.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import { createQuietLog } from '../transport/log.js';
import { createDirectory } from './discovery/directory.js';
import type { WorkerListError, WorkerListReader } from './discovery/worker-list-feed.js';
import { createPeers } from './messaging/peers.js';

const CONTROLLER_UNDER_TEST = 'controller-1';

function partitionFromOthers(fleet: SimFleet): void {
  for (const other of ['controller-2', 'controller-3']) {
    fleet.world.cut(CONTROLLER_UNDER_TEST, other);
    fleet.world.cut(other, CONTROLLER_UNDER_TEST);
  }
}
async function startFleet(seed: number): Promise<SimFleet> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  await fleet.run(4_000);
  return fleet;
}

describe('proxies on the side of a partitioned controller', () => {
  function proxyView(
    f: SimFleet,
  ): { readonly serving: boolean; readonly partitioned: boolean; readonly version: number } | undefined {
    return f.proxies[0]?.proxy?.view();
  }
  const PROXY = 'proxy-hu-1-1';

  test.each([1, 2, 3])(
    'a proxy that reaches only this controller is partitioned within 2.5 s, and never ready after a restart (seed %i)',
    async (seed) => {
      const fleet = await startFleet(530 + seed);
      fleet.isolate([CONTROLLER_UNDER_TEST, PROXY]);
      await fleet.run(2_600);
      for (let n = 0; n < 40; n += 1) {
        expect(proxyView(fleet)?.partitioned).toBe(true);
        await fleet.run(100);
      }
      fleet.kill(PROXY);
      void fleet.startNode(PROXY);
      for (let n = 0; n < 60; n += 1) {
        await fleet.run(100);
        expect(proxyView(fleet)?.serving ?? false).toBe(false);
      }
      fleet.world.healAll();
      expect(await fleet.until(6_000, () => proxyView(fleet)?.serving === true)).toBe(true);
    },
  );
});

describe('the directory of a partitioned controller', () => {
  const WARM_UP_MS = 1_000;
  const STOPPED_PROXY = 'proxy-hu-1-1';
  type DirectoryFixture = { readonly fleet: SimFleet; readonly listedProxies: () => string[] };

  function createDirectoryLookup(fleet: SimFleet): () => string[] {
    const clock: Clock = { mono: fleet.world.now, wall: fleet.world.now, timer: fleet.world.at };
    const distribution = fleet.controllers[0]?.controller?.distribution;
    if (!distribution) throw new Error('controller-1 is not running');
    const directory = createDirectory(distribution, () => null, 'hungary', clock);
    const byAddress = new Map(fleet.proxies.map((s) => [s.http, s.name]));
    return () =>
      directory
        .addressesFor({ host: 'a', zone: 'hu-1', region: 'hungary' })
        .addresses.map((a) => byAddress.get(a) ?? a);
  }
  async function startWithDirectory(seed: number): Promise<DirectoryFixture> {
    const fleet = await startFleet(seed);
    const listedProxies = createDirectoryLookup(fleet);
    listedProxies();
    await fleet.run(WARM_UP_MS);
    expect(listedProxies()).toEqual([STOPPED_PROXY]);
    return { fleet, listedProxies };
  }

  const PARTITIONS: readonly [string, (fleet: SimFleet) => void][] = [
    ['from the other controllers', (fleet) => partitionFromOthers(fleet)],
    ['from all nodes', (fleet) => fleet.isolate([CONTROLLER_UNDER_TEST])],
  ];
  // No proxy follows a partitioned controller, so it has no contact with any proxy in either case.
  test.each(PARTITIONS.flatMap(([what, partition]) => [1, 2, 3].map((n) => [what, n, partition] as const)))(
    '%s: it lists the proxies that were ready at the last contact, for as long as the fault lasts (seed %i)',
    async (_what, seed, partition) => {
      const { fleet, listedProxies } = await startWithDirectory(550 + seed);
      partition(fleet);
      await fleet.run(3_000);
      fleet.kill(STOPPED_PROXY);
      for (let n = 0; n < 20; n += 1) {
        await fleet.run(1_000);
        expect(listedProxies()).toEqual([STOPPED_PROXY]);
      }
      fleet.world.healAll();
      expect(
        await fleet.until(2_600, () => listedProxies().length > 0 && !listedProxies().includes(STOPPED_PROXY)),
      ).toBe(true);
    },
  );

  test.each([1, 2, 3])(
    'from all nodes, and restarted meanwhile: it lists no proxy until it is in contact (seed %i)',
    async (seed) => {
      const { fleet } = await startWithDirectory(560 + seed);
      fleet.isolate([CONTROLLER_UNDER_TEST]);
      fleet.kill(CONTROLLER_UNDER_TEST);
      void fleet.startNode(CONTROLLER_UNDER_TEST);
      expect(await fleet.until(3_000, () => fleet.controllers[0]?.controller !== null)).toBe(true);
      const listedProxies = createDirectoryLookup(fleet);
      for (let n = 0; n < 20; n += 1) {
        await fleet.run(500);
        expect(listedProxies()).toEqual([]);
      }
      fleet.world.healAll();
      expect(await fleet.until(4_000, () => listedProxies().includes(STOPPED_PROXY))).toBe(true);
    },
  );

  test.each([1, 2, 3])(
    'frozen for 20 s: a proxy that stopped meanwhile is listed for at most 2.6 s after the thaw (seed %i)',
    async (seed) => {
      const { fleet, listedProxies } = await startWithDirectory(570 + seed);
      fleet.world.freeze(fleet.hostOf(CONTROLLER_UNDER_TEST));
      await fleet.run(10_000);
      fleet.kill(STOPPED_PROXY);
      await fleet.run(10_000);
      fleet.world.thaw(fleet.hostOf(CONTROLLER_UNDER_TEST));
      const thawedAt = fleet.world.now();
      expect(
        await fleet.until(3_000, () => listedProxies().length > 0 && !listedProxies().includes(STOPPED_PROXY)),
      ).toBe(true);
      expect(fleet.world.now() - thawedAt).toBeLessThan(2_600);
    },
  );
});

describe('the worker list that a controller serves while it is partitioned', () => {
  type WorkerListFixture = {
    readonly core: SimCore;
    readonly fetchList: () => Promise<{ readonly ids: readonly string[]; readonly ageMs: number } | null>;
    readonly changeList: () => void;
    readonly unreachable: Set<string>;
  };

  function worker(id: string): WorkerEntry {
    return {
      id,
      model: 'm',
      address: '10.9.0.1:80',
      zone: 'z',
      region: 'r',
      release: 'v1',
      places: 64,
      leaving: false,
      remainingMs: null,
      coldMs: 0,
    };
  }
  async function startCore(seed: number): Promise<WorkerListFixture> {
    let ids = ['before'];
    const unreachable = new Set<string>();
    function listReader(clock: Clock, host: Host): WorkerListReader {
      async function read(): Promise<Result<readonly WorkerEntry[], WorkerListError>> {
        if (!unreachable.has(host.name)) return ok(ids.map(worker));
        await delay(clock, 900);
        return err({ tag: 'listSilent' });
      }
      return { read };
    }
    const core = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: 35, listReader });
    core.startAll();
    expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
    await core.world.advance(6_000);
    const lab = core.lab('proxy');
    const peers = createPeers(lab.wire, lab.clock, createQuietLog().component('peers'));
    async function fetchList(): Promise<{ readonly ids: readonly string[]; readonly ageMs: number } | null> {
      const response = await core.runUntilSettled(
        peers.call(core.node('h1').wire, { kind: 'listFollow', number: null }, 400),
        1_000,
      );
      if (!response?.ok || response.value.kind !== 'listWhole') return null;
      return { ids: response.value.entries.map((e) => e.id), ageMs: response.value.ageMs };
    }
    return { core, fetchList, changeList: () => (ids = ['after']), unreachable };
  }
  const FAULTS: Readonly<
    Record<string, { readonly begin: (core: SimCore) => void; readonly end: (core: SimCore) => void }>
  > = {
    'partitioned both ways': { begin: (c) => c.isolate(['h1']), end: (c) => c.world.healAll() },
    'unable to send to the others': {
      begin: (c) => ['h2', 'h3'].forEach((n) => c.world.cut('h1', n)),
      end: (c) => c.world.healAll(),
    },
    'unable to receive from the others': {
      begin: (c) => ['h2', 'h3'].forEach((n) => c.world.cut(n, 'h1')),
      end: (c) => c.world.healAll(),
    },
    frozen: { begin: (c) => c.world.freeze(c.node('h1').host), end: (c) => c.world.thaw(c.node('h1').host) },
  };

  test.each(Object.keys(FAULTS).flatMap((what) => [1, 2, 3].map((n) => [what, n] as const)))(
    '%s, and partitioned from the platform: it reports the true age of the list, and is up to date 3 s after the end (seed %i)',
    async (what, seed) => {
      const { core, fetchList, changeList, unreachable } = await startCore(600 + seed);
      const { begin, end } = FAULTS[what] as (typeof FAULTS)[string];
      unreachable.add('h1');
      begin(core);
      await core.world.advance(1_000);
      changeList();
      const changedAt = core.world.now();
      const understatedAges: unknown[] = [];
      let outdatedCount = 0;
      async function checkList(): Promise<void> {
        const list = await fetchList();
        if (list?.ids.includes('before')) outdatedCount += 1;
        if (list?.ids.includes('before') && list.ageMs < core.world.now() - changedAt - 1_000)
          understatedAges.push([Math.round(core.world.now() - changedAt), list]);
      }
      for (let n = 0; n < 40; n += 1) {
        await checkList();
        await core.world.advance(500);
      }
      end(core);
      const endedAt = core.world.now();
      for (let n = 0; n < 40; n += 1) {
        await checkList();
        await core.world.advance(50);
      }
      expect(understatedAges).toEqual([]);
      if (what === 'partitioned both ways') expect(outdatedCount).toBeGreaterThan(30);
      await core.world.advance(Math.max(0, endedAt + 3_000 - core.world.now()));
      expect((await fetchList())?.ids).toEqual(['after']);
    },
  );

  test.each([1, 2, 3])(
    'restarted while it is partitioned from all nodes: it serves no list (seed %i)',
    async (seed) => {
      const { core, fetchList, unreachable } = await startCore(610 + seed);
      unreachable.add('h1');
      core.isolate(['h1']);
      core.kill('h1');
      core.start('h1');
      expect(await core.until(3_000, () => core.node('h1').controller !== null)).toBe(true);
      for (let n = 0; n < 20; n += 1) {
        expect(await fetchList()).toBeNull();
        await core.world.advance(500);
      }
    },
  );
});

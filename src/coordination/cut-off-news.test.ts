/** What a controller that is cut off hands out: proxies' news, directory and list of workers, and until when. */
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

const VICTIM = 'controller-1';

function cutFromOthers(fleet: SimFleet): void {
  for (const other of ['controller-2', 'controller-3']) {
    fleet.world.cut(VICTIM, other);
    fleet.world.cut(other, VICTIM);
  }
}
async function ready(seed: number): Promise<SimFleet> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  await fleet.run(4_000);
  return fleet;
}

describe('the proxies beside a controller that is cut off', () => {
  function proxy(
    f: SimFleet,
  ): { readonly serving: boolean; readonly partitioned: boolean; readonly version: number } | undefined {
    return f.proxies[0]?.proxy?.view();
  }
  const PROXY = 'proxy-hu-1-1';

  test.each([1, 2, 3])(
    'one that reaches it alone is partitioned within 2.5 s, and never ready if it starts anew (seed %i)',
    async (seed) => {
      const fleet = await ready(530 + seed);
      fleet.cutOff([VICTIM, PROXY]);
      await fleet.run(2_600);
      for (let n = 0; n < 40; n += 1) {
        expect(proxy(fleet)?.partitioned).toBe(true);
        await fleet.run(100);
      }
      fleet.kill(PROXY);
      void fleet.startNode(PROXY);
      for (let n = 0; n < 60; n += 1) {
        await fleet.run(100);
        expect(proxy(fleet)?.serving ?? false).toBe(false);
      }
      fleet.world.healAll();
      expect(await fleet.until(6_000, () => proxy(fleet)?.serving === true)).toBe(true);
    },
  );
});

describe('the directory of a controller that is cut off', () => {
  const WARM_MS = 1_000;
  const GONE = 'proxy-hu-1-1';
  type Named = { readonly fleet: SimFleet; readonly names: () => string[] };

  function namesOf(fleet: SimFleet): () => string[] {
    const clock: Clock = { mono: fleet.world.now, wall: fleet.world.now, timer: fleet.world.at };
    const distribution = fleet.controllers[0]?.controller?.distribution;
    if (!distribution) throw new Error('not up');
    const directory = createDirectory(distribution, () => null, 'hungary', clock);
    const byAddress = new Map(fleet.proxies.map((s) => [s.http, s.name]));
    return () =>
      directory
        .addressesFor({ host: 'a', zone: 'hu-1', region: 'hungary' })
        .addresses.map((a) => byAddress.get(a) ?? a);
  }
  async function named(seed: number): Promise<Named> {
    const fleet = await ready(seed);
    const names = namesOf(fleet);
    names();
    await fleet.run(WARM_MS);
    expect(names()).toEqual([GONE]);
    return { fleet, names };
  }

  const MANNERS: readonly [string, (fleet: SimFleet) => void][] = [
    ['from the other controllers', (fleet) => cutFromOthers(fleet)],
    ['from all', (fleet) => fleet.cutOff([VICTIM])],
  ];
  // No proxy follows a controller that is cut off, so it hears none in either case.
  test.each(MANNERS.flatMap(([what, cut]) => [1, 2, 3].map((n) => [what, n, cut] as const)))(
    '%s: it names those that were ready when it last heard, as long as it lasts (seed %i)',
    async (_what, seed, cut) => {
      const { fleet, names } = await named(550 + seed);
      cut(fleet);
      await fleet.run(3_000);
      fleet.kill(GONE);
      for (let n = 0; n < 20; n += 1) {
        await fleet.run(1_000);
        expect(names()).toEqual([GONE]);
      }
      fleet.world.healAll();
      expect(await fleet.until(2_600, () => names().length > 0 && !names().includes(GONE))).toBe(true);
    },
  );

  test.each([1, 2, 3])('from all, and restarted meanwhile: it names none until it hears (seed %i)', async (seed) => {
    const { fleet } = await named(560 + seed);
    fleet.cutOff([VICTIM]);
    fleet.kill(VICTIM);
    void fleet.startNode(VICTIM);
    expect(await fleet.until(3_000, () => fleet.controllers[0]?.controller !== null)).toBe(true);
    const names = namesOf(fleet);
    for (let n = 0; n < 20; n += 1) {
      await fleet.run(500);
      expect(names()).toEqual([]);
    }
    fleet.world.healAll();
    expect(await fleet.until(4_000, () => names().includes(GONE))).toBe(true);
  });

  test.each([1, 2, 3])(
    'frozen for 20 s: one that went meanwhile is named for 2.6 s at most (seed %i)',
    async (seed) => {
      const { fleet, names } = await named(570 + seed);
      fleet.world.freeze(fleet.hostOf(VICTIM));
      await fleet.run(10_000);
      fleet.kill(GONE);
      await fleet.run(10_000);
      fleet.world.thaw(fleet.hostOf(VICTIM));
      const from = fleet.world.now();
      expect(await fleet.until(3_000, () => names().length > 0 && !names().includes(GONE))).toBe(true);
      expect(fleet.world.now() - from).toBeLessThan(2_600);
    },
  );
});

describe('the list of workers that a controller hands out while it is cut off', () => {
  type Listing = {
    readonly core: SimCore;
    readonly ask: () => Promise<{ readonly ids: readonly string[]; readonly ageMs: number } | null>;
    readonly change: () => void;
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
  async function listing(seed: number): Promise<Listing> {
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
    async function ask(): Promise<{ readonly ids: readonly string[]; readonly ageMs: number } | null> {
      const response = await core.finish(
        peers.call(core.node('h1').wire, { kind: 'listFollow', number: null }, 400),
        1_000,
      );
      if (!response?.ok || response.value.kind !== 'listWhole') return null;
      return { ids: response.value.entries.map((e) => e.id), ageMs: response.value.ageMs };
    }
    return { core, ask, change: () => (ids = ['after']), unreachable };
  }
  const MANNERS: Readonly<
    Record<string, { readonly begin: (core: SimCore) => void; readonly end: (core: SimCore) => void }>
  > = {
    'cut off both ways': { begin: (c) => c.cutOff(['h1']), end: (c) => c.world.healAll() },
    'not heard by the others': {
      begin: (c) => ['h2', 'h3'].forEach((n) => c.world.cut('h1', n)),
      end: (c) => c.world.healAll(),
    },
    'not hearing the others': {
      begin: (c) => ['h2', 'h3'].forEach((n) => c.world.cut(n, 'h1')),
      end: (c) => c.world.healAll(),
    },
    frozen: { begin: (c) => c.world.freeze(c.node('h1').host), end: (c) => c.world.thaw(c.node('h1').host) },
  };

  test.each(Object.keys(MANNERS).flatMap((what) => [1, 2, 3].map((n) => [what, n] as const)))(
    '%s, and cut off from the platform: it tells the list’s true age, and is up to date 3 s after the end (seed %i)',
    async (what, seed) => {
      const { core, ask, change, unreachable } = await listing(600 + seed);
      const { begin, end } = MANNERS[what] as (typeof MANNERS)[string];
      unreachable.add('h1');
      begin(core);
      await core.world.advance(1_000);
      change();
      const changedAt = core.world.now();
      const young: unknown[] = [];
      let old = 0;
      async function look(): Promise<void> {
        const told = await ask();
        if (told?.ids.includes('before')) old += 1;
        if (told?.ids.includes('before') && told.ageMs < core.world.now() - changedAt - 1_000)
          young.push([Math.round(core.world.now() - changedAt), told]);
      }
      for (let n = 0; n < 40; n += 1) {
        await look();
        await core.world.advance(500);
      }
      end(core);
      const endedAt = core.world.now();
      for (let n = 0; n < 40; n += 1) {
        await look();
        await core.world.advance(50);
      }
      expect(young).toEqual([]);
      if (what === 'cut off both ways') expect(old).toBeGreaterThan(30);
      await core.world.advance(Math.max(0, endedAt + 3_000 - core.world.now()));
      expect((await ask())?.ids).toEqual(['after']);
    },
  );

  test.each([1, 2, 3])('restarted while it is cut off from all: it hands out none (seed %i)', async (seed) => {
    const { core, ask, unreachable } = await listing(610 + seed);
    unreachable.add('h1');
    core.cutOff(['h1']);
    core.kill('h1');
    core.start('h1');
    expect(await core.until(3_000, () => core.node('h1').controller !== null)).toBe(true);
    for (let n = 0; n < 20; n += 1) {
      expect(await ask()).toBeNull();
      await core.world.advance(500);
    }
  });
});

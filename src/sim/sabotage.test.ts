import { describe, expect, test } from '@jest/globals';
import { runChaos } from './chaos.js';
import type { ChaosOptions } from './chaos.js';
import { createSimFleet } from './sim-fleet.js';
import { SMALL } from './shapes.js';
import type { SimFleet } from './sim-fleet.js';
import { checkMachines, createInvariantChecker } from './invariant-checker.js';

function rules(broken: readonly { readonly rule: string }[]): string[] {
  return [...new Set(broken.map((b) => b.rule))];
}

describe('a deliberate fault is detected', () => {
  const cases: readonly (readonly [string, number, ChaosOptions, readonly string[]])[] = [
    [
      'worker selection that ignores evacuations',
      2,
      { faults: ['evacuate'], seconds: 20, everyMs: 9_000, sabotage: { withoutPolicy: 'evacuated' } },
      ['evacuated'],
    ],
    [
      'disks that lie about syncing',
      3,
      { faults: ['powerAllHeads'], seconds: 20, everyMs: 6_000, sabotage: { disksLie: true } },
      ['readBack', 'oneLedger', 'serveAgain'],
    ],
    [
      'controllers that read without a majority',
      3,
      {
        faults: ['cutRegion', 'crowdOfOperators'],
        seconds: 40,
        everyMs: 2_000,
        sabotage: { readsWithoutMajority: true },
      },
      ['linearizable'],
    ],
    [
      'controllers that keep no record of applied changes',
      6,
      { faults: ['crowdOfOperators'], seconds: 30, everyMs: 4_000, sabotage: { forgetsChanges: true } },
      ['linearizable'],
    ],
    [
      'a cloud that forgets idempotency keys',
      1,
      {
        faults: ['loseReplies', 'reclaim'],
        seconds: 30,
        everyMs: 2_000,
        sabotage: { cloudForgetsKeys: true, listLagMs: 4_000 },
      },
      ['oneMachine'],
    ],
  ];
  test.each(cases)('%s', async (_name, seed, options, expected) => {
    const end = await runChaos(seed, options);
    expect(rules(end.broken).filter((r) => expected.includes(r))).not.toEqual([]);
  });

  test('a cloud whose list lags breaks no rule as long as it knows its idempotency keys', async () => {
    const end = await runChaos(4, {
      faults: ['loseReplies', 'reclaim'],
      seconds: 30,
      everyMs: 2_000,
      sabotage: { listLagMs: 4_000 },
    });
    expect(end.broken).toEqual([]);
  });

  test('worker selection that ignores homes', async () => {
    async function rulesBroken(withoutPolicy: string): Promise<string[]> {
      const fleet = createSimFleet(7, undefined, undefined, { withoutPolicy });
      expect(await fleet.start()).toBe(true);
      for (const w of fleet.workers) if (w.fixed && w.zone !== 'ro-1') fleet.kill(w.id);
      const tally = await fleet.runUntilSettled(fleet.traffic({ zone: 'ro-1', seconds: 8, runOnceShare: 1 }), 60_000);
      expect(Object.keys(tally ?? {}).some((k) => k.includes(withoutPolicy === 'none' ? 'shed' : 'success'))).toBe(
        true,
      );
      return rules(fleet.check());
    }
    expect(await rulesBroken('homes')).toEqual(['homes']);
    expect(await rulesBroken('none')).toEqual([]);
  });

  test('an unbounded retry share', async () => {
    async function rulesBroken(retryShare: number): Promise<string[]> {
      const configuration = { ...(SMALL.configuration as object), deployment: { nExtra: 1, rampS: 0, retryShare } };
      const fleet = createSimFleet(8, { ...SMALL, configuration });
      expect(await fleet.start()).toBe(true);
      for (const w of fleet.workers)
        await fleet.call({ method: 'POST', address: w.http, path: '/lab/fault', body: { mode: 'refuse' } });
      await fleet.runUntilSettled(fleet.traffic({ zone: 'hu-1', seconds: 20, perSecond: 10, runOnceShare: 0 }), 60_000);
      createInvariantChecker(fleet).checkRecords();
      return rules(fleet.check());
    }
    expect(await rulesBroken(1)).toEqual(['retries']);
    expect(await rulesBroken(0.2)).toEqual([]);
  });

  test('worker selection that ignores leaving workers', async () => {
    async function rulesBroken(withoutPolicy: string): Promise<string[]> {
      const fleet = createSimFleet(6, undefined, undefined, { withoutPolicy });
      expect(await fleet.start()).toBe(true);
      const gateway = fleet.workers.find((w) => w.fixed && w.zone === 'hu-1');
      const traffic = fleet.traffic({ zone: 'hu-1', seconds: 9, runOnceShare: 1 });
      await fleet.run(500);
      await fleet.call({
        method: 'POST',
        address: fleet.platformAddress,
        path: `/lab/workers/${gateway?.id}/drain`,
        body: { remainingMs: 9_000 },
      });
      fleet.records.push({ who: 'cloud', event: 'reclaiming', machine: `${gateway?.id}-fixed`, at: fleet.world.now() });
      await fleet.runUntilSettled(traffic, 30_000);
      return rules(fleet.check());
    }
    expect(await rulesBroken('leaving')).toEqual(['leaving']);
    expect(await rulesBroken('none')).toEqual([]);
  });

  type View = { slot: number; version: number; serving: boolean; partitioned: boolean; configuration: object };
  type Node = {
    name: string;
    host: { running: boolean; frozen: boolean; zone: string; life: number };
    platter: { failing: boolean; full: boolean };
    proxy: { view: () => View };
  };
  function createFakeFleet(
    views: readonly View[],
    records: readonly Readonly<Record<string, unknown>>[] = [],
  ): { fleet: SimFleet; now: { at: number }; set: (i: number, v: View) => void } {
    const now = { at: 0 };
    const currentViews = [...views];
    const platter = { failing: false, full: false };
    const proxies = currentViews.map((_, i): Node => ({
      name: `s${i}`,
      host: { running: true, frozen: false, zone: 'z', life: 1 },
      platter,
      proxy: { view: () => currentViews[i] as View },
    }));
    const controllers = [0, 1, 2].map((i) => ({
      name: `h${i}`,
      host: { running: true, frozen: false, zone: 'z', life: 1 },
      platter,
      controller: null,
    }));
    const world = { now: () => now.at, isTouched: () => false };
    const shape = { configuration: { deployment: { rampS: 3 }, regions: { r: { models: { summary: {} } } } } };
    const fleet = {
      world,
      violations: [],
      records,
      proxies,
      controllers,
      shape,
      hostOf: () => ({ life: 1 }),
    } as unknown as SimFleet;
    return { fleet, now, set: (i, v) => void (currentViews[i] = v) };
  }
  const upToDateView: View = {
    slot: 5,
    version: 4,
    serving: true,
    partitioned: false,
    configuration: { deployment: { lineLimit: 50 } },
  };
  function advance(fake: { now: { at: number } }, watchers: { step: () => void }, ms: number): void {
    for (const end = fake.now.at + ms; fake.now.at < end; fake.now.at += 100) watchers.step();
  }

  test('a proxy that reverts to an older version, or serves what an acknowledged change replaced, now or later', () => {
    const fake = createFakeFleet([upToDateView, upToDateView]);
    const watchers = createInvariantChecker(fake.fleet);
    watchers.step();
    watchers.acknowledged(4, 50);
    advance(fake, watchers, 20_000);
    expect(fake.fleet.violations).toEqual([]);
    fake.set(0, { ...upToDateView, version: 3 });
    watchers.acknowledged(4, 50);
    expect(rules(fake.fleet.violations)).toEqual(['inForce']);
    advance(fake, watchers, 200);
    expect(rules(fake.fleet.violations)).toEqual(['inForce', 'noOlderVersion']);
  });

  test('a reachable node that does not learn within 3 s of a change that was agreed without all nodes', () => {
    const fake = createFakeFleet([upToDateView, { ...upToDateView, slot: 3, version: 2, configuration: {} }]);
    const watchers = createInvariantChecker(fake.fleet);
    advance(fake, watchers, 8_000);
    watchers.agreed(4, 50);
    advance(fake, watchers, 2_900);
    expect(fake.fleet.violations).toEqual([]);
    advance(fake, watchers, 500);
    expect(rules(fake.fleet.violations)).toEqual(['inForce']);
  });

  test('a rejected configuration in any node, or two configurations under one version', () => {
    const fake = createFakeFleet([upToDateView, upToDateView]);
    const watchers = createInvariantChecker(fake.fleet);
    watchers.refused(51);
    watchers.step();
    expect(fake.fleet.violations).toEqual([]);
    fake.set(1, { ...upToDateView, configuration: { deployment: { lineLimit: 51 } } });
    advance(fake, watchers, 200);
    expect(rules(fake.fleet.violations)).toEqual(['oneContent', 'refusedSeen']);
  });

  test('two winners on one base, an acknowledged change that is lost or read with another content', () => {
    const fake = createFakeFleet([]);
    const watchers = createInvariantChecker(fake.fleet);
    const completeConfiguration = {
      deployment: { rampS: 3, lineLimit: 50 },
      regions: { r: { models: { summary: {} } } },
    };
    watchers.won(1, 2);
    watchers.won(1, 2);
    watchers.acknowledged(2, 50);
    watchers.read('h', 2, 2, completeConfiguration);
    watchers.read('h', 2, 3, { ...completeConfiguration, deployment: { rampS: 3, lineLimit: 7 } });
    expect(fake.fleet.violations).toEqual([]);
    watchers.won(1, 3);
    expect(rules(fake.fleet.violations)).toEqual(['oneWinner']);
    watchers.read('h', 2, 1, completeConfiguration);
    expect(fake.fleet.violations.map((v) => v.rule)).toEqual(['oneWinner', 'readBack']);
    watchers.read('k', 2, 2, { deployment: { rampS: 3, lineLimit: 50 } });
    expect(rules(fake.fleet.violations)).toEqual(['oneWinner', 'readBack', 'oneContent']);
  });

  test('a machine that belongs to no open order, or whose order has no known author', () => {
    const fake = createFakeFleet(
      [],
      [
        { who: 'cloud', event: 'machine', machine: 'm1', key: 'o1' },
        { who: 'cloud', event: 'machine', machine: 'm2', key: 'o2' },
        { who: 'cloud', event: 'gone', machine: 'm2' },
      ],
    );
    const closedOrders = [{ id: 'o1', events: [{ author: 'h' }] }];
    const controllers = [
      {
        name: 'h',
        controller: { ledger: { controlState: () => ({ orders: {} }), closedOrders: { all: () => closedOrders } } },
      },
    ];
    const fleet = { ...fake.fleet, controllers } as unknown as SimFleet;
    checkMachines(fleet);
    expect(fleet.violations.map((v) => v.detail)).toEqual([
      'machine m1 runs, but order o1 is not open for h',
      "h can't tell who ordered m2 (order o2)",
    ]);
  });

  test('a cold worker that gets too many requests, at any time of its ramp-up', () => {
    function run(at: number, running: number): string[] {
      const arrivalRecord = {
        who: 'worker',
        event: 'arrived',
        worker: 'w',
        zone: 'z',
        model: 'summary',
        state: 'ready',
        requestId: 'r',
        at,
        running,
      };
      const fake = createFakeFleet(
        [upToDateView, upToDateView],
        [{ who: 'worker', event: 'ready', worker: 'w', at: 100 }, arrivalRecord],
      );
      createInvariantChecker(fake.fleet).checkRecords();
      return rules(fake.fleet.violations);
    }
    expect([run(200, 2), run(1_600, 8), run(3_200, 40)]).toEqual([[], [], []]);
    expect([run(200, 3), run(1_600, 9)]).toEqual([['coldFlood'], ['coldFlood']]);
  });
});

import { describe, expect, test } from '@jest/globals';
import { runChaos } from './chaos.js';
import type { ChaosOptions } from './chaos.js';
import { createSimFleet } from './sim-fleet.js';
import { SMALL } from './shapes.js';
import type { SimFleet } from './sim-fleet.js';
import { checkMachines, createWatchers } from './watchers.js';

function rules(broken: readonly { readonly rule: string }[]): string[] {
  return [...new Set(broken.map((b) => b.rule))];
}

describe('a deliberate break is seen', () => {
  const cases: readonly (readonly [string, number, ChaosOptions, readonly string[]])[] = [
    [
      'placement that ignores evacuations',
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
      'no record of the changes that were applied',
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

  test('a cloud whose list lags breaks nothing while it knows its keys', async () => {
    const end = await runChaos(4, {
      faults: ['loseReplies', 'reclaim'],
      seconds: 30,
      everyMs: 2_000,
      sabotage: { listLagMs: 4_000 },
    });
    expect(end.broken).toEqual([]);
  });

  test('placement that ignores homes', async () => {
    async function ran(withoutPolicy: string): Promise<string[]> {
      const fleet = createSimFleet(7, undefined, undefined, { withoutPolicy });
      expect(await fleet.start()).toBe(true);
      for (const w of fleet.workers) if (w.fixed && w.zone !== 'ro-1') fleet.kill(w.id);
      const tally = await fleet.finish(fleet.traffic({ zone: 'ro-1', seconds: 8, runOnceShare: 1 }), 60_000);
      expect(Object.keys(tally ?? {}).some((k) => k.includes(withoutPolicy === 'none' ? 'shed' : 'success'))).toBe(
        true,
      );
      return rules(fleet.check());
    }
    expect(await ran('homes')).toEqual(['homes']);
    expect(await ran('none')).toEqual([]);
  });

  test('an unbounded retry share', async () => {
    async function ran(retryShare: number): Promise<string[]> {
      const configuration = { ...(SMALL.configuration as object), deployment: { nExtra: 1, rampS: 0, retryShare } };
      const fleet = createSimFleet(8, { ...SMALL, configuration });
      expect(await fleet.start()).toBe(true);
      for (const w of fleet.workers)
        await fleet.call({ method: 'POST', address: w.http, path: '/lab/fault', body: { mode: 'refuse' } });
      await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 20, perSecond: 10, runOnceShare: 0 }), 60_000);
      createWatchers(fleet).end();
      return rules(fleet.check());
    }
    expect(await ran(1)).toEqual(['retries']);
    expect(await ran(0.2)).toEqual([]);
  });

  test('placement that ignores leaving', async () => {
    async function ran(withoutPolicy: string): Promise<string[]> {
      const fleet = createSimFleet(6, undefined, undefined, { withoutPolicy });
      expect(await fleet.start()).toBe(true);
      const gateway = fleet.workers.find((w) => w.fixed && w.zone === 'hu-1');
      const busy = fleet.traffic({ zone: 'hu-1', seconds: 9, runOnceShare: 1 });
      await fleet.run(500);
      await fleet.call({
        method: 'POST',
        address: fleet.platformAddress,
        path: `/lab/workers/${gateway?.id}/drain`,
        body: { remainingMs: 9_000 },
      });
      fleet.records.push({ who: 'cloud', event: 'reclaiming', machine: `${gateway?.id}-fixed`, at: fleet.world.now() });
      await fleet.finish(busy, 30_000);
      return rules(fleet.check());
    }
    expect(await ran('leaving')).toEqual(['leaving']);
    expect(await ran('none')).toEqual([]);
  });

  type View = { slot: number; version: number; serving: boolean; partitioned: boolean; configuration: object };
  type Node = {
    name: string;
    host: { running: boolean; frozen: boolean; zone: string; life: number };
    platter: { failing: boolean; full: boolean };
    proxy: { view: () => View };
  };
  function watched(
    views: readonly View[],
    records: readonly Readonly<Record<string, unknown>>[] = [],
  ): { fleet: SimFleet; now: { at: number }; set: (i: number, v: View) => void } {
    const now = { at: 0 };
    const held = [...views];
    const platter = { failing: false, full: false };
    const proxies = held.map((_, i): Node => ({
      name: `s${i}`,
      host: { running: true, frozen: false, zone: 'z', life: 1 },
      platter,
      proxy: { view: () => held[i] as View },
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
    return { fleet, now, set: (i, v) => void (held[i] = v) };
  }
  const fresh: View = {
    slot: 5,
    version: 4,
    serving: true,
    partitioned: false,
    configuration: { deployment: { lineLimit: 50 } },
  };
  function over(w: { now: { at: number } }, watchers: { step: () => void }, ms: number): void {
    for (const end = w.now.at + ms; w.now.at < end; w.now.at += 100) watchers.step();
  }

  test('a proxy that slides back, or serves what an acknowledgement replaced, at once or later', () => {
    const w = watched([fresh, fresh]);
    const watchers = createWatchers(w.fleet);
    watchers.step();
    watchers.acknowledged(4, 50);
    over(w, watchers, 20_000);
    expect(w.fleet.violations).toEqual([]);
    w.set(0, { ...fresh, version: 3 });
    watchers.acknowledged(4, 50);
    expect(rules(w.fleet.violations)).toEqual(['inForce']);
    over(w, watchers, 200);
    expect(rules(w.fleet.violations)).toEqual(['inForce', 'noOlderVersion']);
  });

  test('a node that could hear of a change agreed without all, and does not within 3 s', () => {
    const w = watched([fresh, { ...fresh, slot: 3, version: 2, configuration: {} }]);
    const watchers = createWatchers(w.fleet);
    over(w, watchers, 8_000);
    watchers.agreed(4, 50);
    over(w, watchers, 2_900);
    expect(w.fleet.violations).toEqual([]);
    over(w, watchers, 500);
    expect(rules(w.fleet.violations)).toEqual(['inForce']);
  });

  test('a refused configuration in any node, or two under one version', () => {
    const w = watched([fresh, fresh]);
    const watchers = createWatchers(w.fleet);
    watchers.refused(51);
    watchers.step();
    expect(w.fleet.violations).toEqual([]);
    w.set(1, { ...fresh, configuration: { deployment: { lineLimit: 51 } } });
    over(w, watchers, 200);
    expect(rules(w.fleet.violations)).toEqual(['oneContent', 'refusedSeen']);
  });

  test('two winners on one base, an acknowledged change that is lost or reads otherwise', () => {
    const w = watched([]);
    const watchers = createWatchers(w.fleet);
    const whole = { deployment: { rampS: 3, lineLimit: 50 }, regions: { r: { models: { summary: {} } } } };
    watchers.won(1, 2);
    watchers.won(1, 2);
    watchers.acknowledged(2, 50);
    watchers.read('h', 2, 2, whole);
    watchers.read('h', 2, 3, { ...whole, deployment: { rampS: 3, lineLimit: 7 } });
    expect(w.fleet.violations).toEqual([]);
    watchers.won(1, 3);
    expect(rules(w.fleet.violations)).toEqual(['oneWinner']);
    watchers.read('h', 2, 1, whole);
    expect(w.fleet.violations.map((v) => v.rule)).toEqual(['oneWinner', 'readBack']);
    watchers.read('k', 2, 2, { deployment: { rampS: 3, lineLimit: 50 } });
    expect(rules(w.fleet.violations)).toEqual(['oneWinner', 'readBack', 'oneContent']);
  });

  test('a machine that no open order holds, or that nobody is known to have ordered', () => {
    const w = watched(
      [],
      [
        { who: 'cloud', event: 'machine', machine: 'm1', key: 'o1' },
        { who: 'cloud', event: 'machine', machine: 'm2', key: 'o2' },
        { who: 'cloud', event: 'gone', machine: 'm2' },
      ],
    );
    const closed = [{ id: 'o1', events: [{ author: 'h' }] }];
    const controllers = [
      {
        name: 'h',
        controller: { ledger: { controlState: () => ({ orders: {} }), closedOrders: { all: () => closed } } },
      },
    ];
    const fleet = { ...w.fleet, controllers } as unknown as SimFleet;
    checkMachines(fleet);
    expect(fleet.violations.map((v) => v.detail)).toEqual([
      'machine m1 runs, but order o1 is not open for h',
      "h can't tell who ordered m2 (order o2)",
    ]);
  });

  test('a cold worker that is flooded, at any time of its ramp', () => {
    function run(at: number, running: number): string[] {
      const arrived = {
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
      const w = watched([fresh, fresh], [{ who: 'worker', event: 'ready', worker: 'w', at: 100 }, arrived]);
      createWatchers(w.fleet).end();
      return rules(w.fleet.violations);
    }
    expect([run(200, 2), run(1_600, 8), run(3_200, 40)]).toEqual([[], [], []]);
    expect([run(200, 3), run(1_600, 9)]).toEqual([['coldFlood'], ['coldFlood']]);
  });
});

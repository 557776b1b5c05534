import { describe, expect, test } from '@jest/globals';
import { checkHeartbeats } from '../../sim/heartbeat-checker.js';
import type { HeartbeatChecker } from '../../sim/heartbeat-checker.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { randomInt } from '../../transport/rng.js';

const SEEDS = [...Array(16).keys()];
const CONFIRM_TIMEOUT_MS = 5_000;
/**
 * A heartbeat attests a slot number that was received before the majority was asked, which was within the last
 * second. The heartbeat itself takes 35 ms.
 */
const MAX_ATTESTED_AGE_MS = 1_600;

type Scenario = {
  readonly core: SimCore;
  readonly names: string[];
  readonly watches: Map<string, HeartbeatChecker>;
  readonly zones: string[];
};

async function createScenario(seed: number, size: number): Promise<Scenario> {
  const core = createSimCore(9_000 + seed, { controllers: size, seeds: 3, regionMs: 20 });
  const names = core.nodes.map((n) => n.name);
  core.startAll();
  expect(await core.until(6_000, () => core.whole(names))).toBe(true);
  const watches = new Map<string, HeartbeatChecker>();
  for (const name of names) watches.set(name, await checkHeartbeats(core, name));
  await core.world.advance(1_500);
  return { core, names, watches, zones: [] };
}

/**
 * Places an order at `at` and expects it to be confirmed in time. Every read that starts later, on any node, must
 * include it.
 */
async function confirmOrder(scenario: Scenario, at: string, withinMs = CONFIRM_TIMEOUT_MS): Promise<void> {
  const zone = `z${scenario.zones.length}`;
  const response = await scenario.core.order(at, zone, withinMs);
  expect([at, zone, response.result, response.tookMs]).toMatchObject([
    at,
    zone,
    { ok: true, value: { outcome: { tag: 'applied' } } },
    expect.any(Number),
  ]);
  expect(response.tookMs).toBeLessThan(withinMs);
  if (response.result?.ok) for (const watch of scenario.watches.values()) watch.confirmed(response.result.value.slot);
  scenario.zones.push(zone);
}

async function readZones(scenario: Scenario, at: string): Promise<readonly string[] | null> {
  const before = [...scenario.zones];
  const read = await scenario.core.readEvacuatedZones(at);
  if (read !== null) expect(read).toEqual(expect.arrayContaining(before));
  return read;
}

function partition(
  scenario: Scenario,
  group: readonly string[],
  peers: readonly string[],
  direction: 'both' | 'out' | 'in',
): void {
  for (const a of group) {
    for (const b of peers) {
      if (direction !== 'in') scenario.core.world.cut(a, b);
      if (direction !== 'out') scenario.core.world.cut(b, a);
    }
  }
}

async function runTraffic(scenario: Scenario, at: readonly string[], ms: number): Promise<void> {
  for (const end = scenario.core.world.now() + ms; scenario.core.world.now() < end;) {
    await confirmOrder(scenario, at[randomInt(scenario.core.world.rng, at.length)] as string, 1_500);
    for (const name of scenario.names) if (scenario.core.node(name).controller) await readZones(scenario, name);
    await scenario.core.world.advance(300 * scenario.core.world.rng.next());
  }
}

async function healAndVerify(scenario: Scenario, names: readonly string[] = scenario.names): Promise<void> {
  scenario.core.world.healAll();
  await scenario.core.world.advance(500 * scenario.core.world.rng.next());
  for (const name of [...names].reverse()) await confirmOrder(scenario, name);
  expect(await scenario.core.until(12_000, () => scenario.core.whole(names))).toBe(true);
  for (const name of names) expect(await readZones(scenario, name)).toHaveLength(scenario.zones.length);
  expect(scenario.core.broken).toEqual([]);
}

describe('twenty seconds without some of the controllers', () => {
  describe.each(['both', 'out', 'in'] as const)('partitioned, direction: %s', (direction) => {
    test.each(SEEDS)('one of three (seed %i)', async (seed) => {
      const scenario = await createScenario(seed, 3);
      const isolated = scenario.names[seed % 3] as string;
      const others = scenario.names.filter((name) => name !== isolated);
      await confirmOrder(scenario, isolated);
      const partitionedAt = scenario.core.world.now();
      partition(scenario, [isolated], others, direction);
      await runTraffic(scenario, others, 20_000);
      expect(scenario.watches.get(isolated)?.attestedAsOf()).toBeLessThan(partitionedAt + MAX_ATTESTED_AGE_MS);
      for (const name of others)
        expect(scenario.core.world.now() - (scenario.watches.get(name)?.attestedAsOf() ?? 0)).toBeLessThan(
          MAX_ATTESTED_AGE_MS,
        );
      expect(await readZones(scenario, isolated)).toBeNull();
      await healAndVerify(scenario);
    });

    test.each(SEEDS)('two of five, in contact with each other (seed %i)', async (seed) => {
      const scenario = await createScenario(50 + seed, 5);
      const isolated = [scenario.names[seed % 5] as string, scenario.names[(seed + 1 + (seed % 4)) % 5] as string];
      const others = scenario.names.filter((name) => !isolated.includes(name));
      await confirmOrder(scenario, isolated[0] as string);
      const partitionedAt = scenario.core.world.now();
      partition(scenario, isolated, others, direction);
      await runTraffic(scenario, others, 20_000);
      for (const name of isolated)
        expect(scenario.watches.get(name)?.attestedAsOf()).toBeLessThan(partitionedAt + MAX_ATTESTED_AGE_MS);
      await healAndVerify(scenario);
    });
  });

  test.each(SEEDS)(
    'one of three is partitioned while both others are replaced, one after the other (seed %i)',
    async (seed) => {
      const scenario = await createScenario(100 + seed, 3);
      const isolated = scenario.names[seed % 3] as string;
      const [first, second] = scenario.names.filter((name) => name !== isolated) as [string, string];
      await confirmOrder(scenario, first);
      partition(scenario, [isolated], [first, second], 'both');
      await runTraffic(scenario, [first], 1_000);
      for (const [replaced, replacement, remaining] of [
        [first, 'h4', second],
        [second, 'h5', 'h4'],
      ] as const) {
        scenario.core.addNode(replacement);
        partition(scenario, [isolated], [replacement], 'both');
        scenario.core.seeds([remaining]);
        scenario.core.start(replacement);
        expect(
          await scenario.core.until(
            9_000,
            () =>
              scenario.core.members(remaining).includes(replacement) &&
              scenario.core.node(replacement).controller?.ledger.isMember() === true,
          ),
        ).toBe(true);
        await scenario.core.stop(replaced);
        scenario.names.splice(scenario.names.indexOf(replaced), 1, replacement);
        await runTraffic(scenario, [remaining, replacement], 4_000);
      }
      expect(await readZones(scenario, isolated)).toBeNull();
      await healAndVerify(scenario);
    },
  );

  test.each(SEEDS)('one restarts during the partition and reaches only the partitioned one (seed %i)', async (seed) => {
    const scenario = await createScenario(150 + seed, 5);
    const [isolated, restarted, ...others] = scenario.names as [string, string, ...string[]];
    partition(scenario, [isolated], [restarted, ...others], 'both');
    await runTraffic(scenario, others, 3_000);
    if (seed % 2 === 0) scenario.core.kill(restarted);
    else scenario.core.powerLoss(restarted);
    if (seed % 4 === 0) scenario.core.wipe(restarted);
    scenario.core.world.heal(isolated, restarted);
    scenario.core.world.heal(restarted, isolated);
    partition(scenario, [restarted], others, 'both');
    scenario.core.seeds([isolated]);
    scenario.core.start(restarted);
    await runTraffic(scenario, others, 10_000);
    expect(await readZones(scenario, restarted)).toBeNull();
    expect(await readZones(scenario, isolated)).toBeNull();
    scenario.core.seeds(others);
    await healAndVerify(scenario);
  });

  test.each(SEEDS)(
    'a new machine whose only seed is partitioned serves nothing, and joins when the partition heals (seed %i)',
    async (seed) => {
      const scenario = await createScenario(200 + seed, 3);
      const isolated = scenario.names[seed % 3] as string;
      const others = scenario.names.filter((name) => name !== isolated);
      partition(scenario, [isolated], others, 'both');
      await runTraffic(scenario, others, 1_000);
      scenario.core.addNode('h4');
      partition(scenario, ['h4'], others, 'both');
      scenario.core.seeds([isolated]);
      scenario.core.start('h4');
      await runTraffic(scenario, others, 8_000);
      expect(scenario.core.node('h4').controller?.ledger.isMember()).toBe(false);
      expect(await readZones(scenario, 'h4')).toBeNull();
      await healAndVerify(scenario, [...scenario.names, 'h4'].sort());
    },
  );

  // Confirmed orders are on two disks: one is wiped, the other one is offline. The controller with the blank disk
  // responds at the address of the former member and catches up from the lagging one. If its responses counted as
  // that member's, the two would form a majority that lacks the confirmed orders.
  test.each(SEEDS)(
    'a controller with a blank disk does not count under its former identity (seed %i)',
    async (seed) => {
      const scenario = await createScenario(250 + seed, 3);
      const [offline, wiped, lagging] = [0, 1, 2].map((i) => scenario.names[(seed + i) % 3]) as [
        string,
        string,
        string,
      ];
      partition(scenario, [lagging], [offline, wiped], 'both');
      await confirmOrder(scenario, offline);
      await confirmOrder(scenario, wiped);
      scenario.core.powerLoss(offline);
      scenario.core.powerLoss(wiped);
      scenario.core.wipe(wiped);
      scenario.core.world.healAll();
      scenario.core.start(wiped);
      for (const end = scenario.core.world.now() + 6_000; scenario.core.world.now() < end;) {
        for (const name of [lagging, wiped]) {
          if (!scenario.core.node(name).controller) continue;
          expect(await readZones(scenario, name)).toBeNull();
          const response = await scenario.core.order(name, 'alone', 300);
          expect(response.result?.ok).toBe(false);
        }
        await scenario.core.world.advance(100);
      }
      scenario.core.start(offline);
      await scenario.core.until(1_000, () => scenario.core.node(offline).controller !== null);
      await healAndVerify(scenario);
    },
  );
});

import { describe, expect, test } from '@jest/globals';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { workerEntry } from '../../sim/builders.js';
import { createSimNet } from '../../sim/sim-wire.js';
import type { SimNet } from '../../sim/sim-wire.js';
import { createWorld } from '../../sim/world.js';
import type { Host, Proc, World } from '../../sim/world.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import type { Clock } from '../../transport/clock.js';
import { createQuietLog } from '../../transport/log.js';
import { createRng } from '../../transport/rng.js';
import type { WorkerListError, WorkerListFeed, WorkerListReader } from '../discovery/worker-list-feed.js';
import { createPushedListFeed } from '../discovery/pushed-list-feed.js';
import { createPeers } from '../messaging/peers.js';
import type { Peers } from '../messaging/peers.js';
import { createWorkerListRole } from './worker-list-role.js';
import type { WorkerListRole } from './worker-list-role.js';

const LIST_LAG_MS = 800;
const READ_WAIT_MS = 900;

type ControllerNode = { readonly host: Host; readonly address: string; role: WorkerListRole | null };
type ProxyNode = { readonly host: Host; readonly address: string; feed: WorkerListFeed | null; changeCount: number };
type Listing = { readonly at: number; readonly entries: readonly WorkerEntry[] };
type Scenario = {
  readonly world: World;
  readonly net: SimNet;
  readonly controllers: ControllerNode[];
  readonly proxyNodes: ProxyNode[];
  readonly calls: { readonly at: number; readonly by: string; readonly good: boolean }[];
  readonly platform: { down: boolean; listings: Listing[]; readonly host: Host };
  readonly startController: (h: ControllerNode) => void;
  readonly startProxy: (e: ProxyNode) => void;
};

function worker(n: number, overrides: Partial<WorkerEntry> = {}): WorkerEntry {
  return workerEntry(`w${n}`, `z${n % 3}`, { address: `10.9.0.${n}:80`, region: `r${n % 3}`, ...overrides });
}

function createScenario(seed: number, controllerCount: number, proxyCount: number): Scenario {
  const world = createWorld(seed);
  const net = createSimNet(world);
  for (const [a, b] of [
    ['z0', 'z1'],
    ['z0', 'z2'],
    ['z1', 'z2'],
  ] as const)
    world.setDelay(a, b, 35);
  const platform: Scenario['platform'] = {
    down: false,
    listings: [{ at: -10_000, entries: [1, 2, 3, 4, 5, 6].map((n) => worker(n)) }],
    host: world.host('platform', 'z0'),
  };
  world.startProcess(platform.host);
  const calls: { at: number; by: string; good: boolean }[] = [];
  const scenario: Scenario = {
    world,
    net,
    controllers: [],
    proxyNodes: [],
    calls,
    platform,
    startController,
    startProxy,
  };
  for (let i = 0; i < controllerCount; i += 1)
    scenario.controllers.push({ host: world.host(`head-${i}`, `z${i % 3}`), address: `10.0.0.${i + 1}:1`, role: null });
  for (let i = 0; i < proxyCount; i += 1)
    scenario.proxyNodes.push({
      host: world.host(`edge-${i}`, `z${i % 3}`),
      address: `10.1.0.${i}:1`,
      feed: null,
      changeCount: 0,
    });

  function readerOf(proc: Proc): WorkerListReader {
    const clock = world.clockOf(proc);
    function read(): Promise<Result<readonly WorkerEntry[], WorkerListError>> {
      return new Promise((resolve) => {
        const isUnreachable =
          platform.down || world.isCut(proc.host, platform.host) || world.isCut(platform.host, proc.host);
        calls.push({ at: world.now(), by: proc.host.name, good: !isUnreachable });
        const visible = platform.listings.filter((l) => l.at <= world.now() - LIST_LAG_MS);
        const last = visible[visible.length - 1] as Listing;
        const entries = last.entries.map((e) =>
          e.remainingMs === null ? e : { ...e, remainingMs: Math.max(0, e.remainingMs - (world.now() - last.at)) },
        );
        clock.timer(isUnreachable ? READ_WAIT_MS : 2 * world.delay(proc.host, platform.host), () =>
          resolve(isUnreachable ? err({ tag: 'listSilent' }) : ok(entries)),
        );
      });
    }
    return { read };
  }
  function peersOf(proc: Proc, address: string): Peers {
    const peers = createPeers(net.wireOf(proc), world.clockOf(proc), createQuietLog().component('peers'));
    void peers.open(address);
    return peers;
  }
  function startController(h: ControllerNode): void {
    const proc = world.startProcess(h.host);
    const startedAt = world.now();
    const worldClock = world.clockOf(proc);
    const clock: Clock = { ...worldClock, mono: () => worldClock.mono() - startedAt };
    h.role = createWorkerListRole({
      self: h.address,
      reader: readerOf(proc),
      controllers: () => scenario.controllers.map((x) => x.address),
      peers: peersOf(proc, h.address),
      clock,
      rng: createRng(seed * 31 + h.host.life * 7 + Number(h.host.name.slice(5))),
      log: createQuietLog().component('list'),
    });
  }
  function startProxy(e: ProxyNode): void {
    const proc = world.startProcess(e.host);
    const nearestFirst = [...scenario.controllers].sort(
      (a, b) => Number(a.host.zone !== e.host.zone) - Number(b.host.zone !== e.host.zone),
    );
    const feed = createPushedListFeed({
      reader: readerOf(proc),
      controllers: () => nearestFirst.map((x) => x.address),
      peers: peersOf(proc, e.address),
      clock: world.clockOf(proc),
      rng: createRng(seed * 17 + e.host.life * 5 + Number(e.host.name.slice(5)) * 3),
      log: createQuietLog().component('list'),
    });
    feed.events.on('changed', () => (e.changeCount += 1));
    e.feed = feed;
  }
  return scenario;
}
async function startScenario(seed: number, controllerCount = 3, proxyCount = 6): Promise<Scenario> {
  const scenario = createScenario(seed, controllerCount, proxyCount);
  for (const h of scenario.controllers) scenario.startController(h);
  for (const e of scenario.proxyNodes) scenario.startProxy(e);
  await scenario.world.advance(6_000);
  return scenario;
}
function publishListing(scenario: Scenario, entries: readonly WorkerEntry[]): number {
  const at = scenario.world.now();
  scenario.platform.listings.push({ at, entries });
  return at + LIST_LAG_MS;
}
function currentReader(scenario: Scenario): ControllerNode {
  const all = scenario.controllers.filter((h) => h.role?.isReading() === true && h.host.running && !h.host.frozen);
  expect(all.map((h) => h.host.name)).toHaveLength(1);
  return all[0] as ControllerNode;
}
function callsSince(scenario: Scenario, at: number): { controllers: number; proxies: number; readers: number } {
  const since = scenario.calls.filter((c) => c.at >= at);
  return {
    controllers: since.filter((c) => c.by.startsWith('head')).length,
    proxies: since.filter((c) => c.by.startsWith('edge')).length,
    readers: new Set(since.map((c) => c.by)).size,
  };
}
function seesLeaving(e: ProxyNode, id: string): boolean {
  return e.feed?.entries().some((w) => w.id === id && w.leaving) ?? false;
}
async function msUntilAllSee(
  scenario: Scenario,
  id: string,
  visibleAt: number,
  proxyNodes = scenario.proxyNodes,
): Promise<number> {
  expect(await scenario.world.until(20_000, () => proxyNodes.every((e) => seesLeaving(e, id)))).toBe(true);
  return scenario.world.now() - visibleAt;
}
const W2_DRAINING = [1, 2, 3, 4, 5, 6].map((n) => worker(n, n === 2 ? { leaving: true, remainingMs: 5_000 } : {}));

describe('the worker list role', () => {
  test('without faults one controller reads once a second, and no proxy does', async () => {
    const scenario = await startScenario(1);
    const from = scenario.world.now();
    const sent = scenario.net.sent().bytes;
    await scenario.world.advance(20_000);
    currentReader(scenario);
    expect(callsSince(scenario, from)).toEqual({ controllers: 20, proxies: 0, readers: 1 });
    expect(scenario.proxyNodes.every((e) => e.feed?.entries().length === 6)).toBe(true);
    expect(scenario.proxyNodes.map((e) => e.changeCount)).toEqual([1, 1, 1, 1, 1, 1]);
    expect((scenario.net.sent().bytes - sent) / 20).toBeLessThan(9 * 200);
  });

  test('350 proxies do not poll, neither without faults nor when the reader is killed', async () => {
    const scenario = await startScenario(2, 5, 350);
    const from = scenario.world.now();
    await scenario.world.advance(5_000);
    expect(callsSince(scenario, from).proxies).toBe(0);
    const killed = currentReader(scenario);
    const at = scenario.world.now();
    scenario.world.kill(killed.host);
    await scenario.world.advance(10_000);
    currentReader(scenario);
    expect(callsSince(scenario, at).proxies).toBe(0);
    expect(callsSince(scenario, at).controllers).toBeLessThan(16);
  });

  test.each([
    ['killed', 3, (scenario: Scenario) => scenario.world.kill(currentReader(scenario).host)],
    [
      'powered off',
      4,
      (scenario: Scenario) => {
        const { host } = currentReader(scenario);
        host.powered = false;
        scenario.world.kill(host);
      },
    ],
    ['frozen', 5, (scenario: Scenario) => scenario.world.freeze(currentReader(scenario).host)],
    ['partitioned', 6, (scenario: Scenario) => isolate(scenario, currentReader(scenario), true, true)],
    ['unable to send', 7, (scenario: Scenario) => isolate(scenario, currentReader(scenario), true, false)],
    ['unable to receive', 8, (scenario: Scenario) => isolate(scenario, currentReader(scenario), false, true)],
  ] as const)(
    'with the reader %s, every proxy in contact sees a drain within 2 s of its appearance in the list',
    async (_, seed, injectFault) => {
      for (let s = 0; s < 5; s += 1) {
        const scenario = await startScenario(seed + 100 * s);
        await scenario.world.advance(170 * s);
        injectFault(scenario);
        const visibleAt = publishListing(scenario, W2_DRAINING);
        const before = scenario.calls.length;
        expect(await msUntilAllSee(scenario, 'w2', visibleAt)).toBeLessThan(2_000);
        await scenario.world.advance(3_000);
        const since = scenario.world.now();
        await scenario.world.advance(5_000);
        expect(callsSince(scenario, since).proxies).toBe(0);
        expect(scenario.calls.slice(before).filter((c) => c.by.startsWith('edge')).length).toBeLessThanOrEqual(
          scenario.proxyNodes.length,
        );
      }
    },
  );

  test('a reader that resumes after a freeze finds that another controller reads, and stops at once', async () => {
    const scenario = await startScenario(9);
    const previousReader = currentReader(scenario);
    scenario.world.freeze(previousReader.host);
    await scenario.world.advance(7_000);
    const newReader = currentReader(scenario);
    const thawedAt = scenario.world.now();
    scenario.world.thaw(previousReader.host);
    await scenario.world.advance(500);
    const from = scenario.world.now();
    await scenario.world.advance(5_000);
    expect(currentReader(scenario)).toBe(newReader);
    expect(scenario.calls.filter((c) => c.at > thawedAt && c.by === previousReader.host.name)).toEqual([]);
    expect(callsSince(scenario, from)).toEqual({ controllers: 5, proxies: 0, readers: 1 });
  });

  test.each([30, 31, 32, 33])(
    'a reader that restarts soon after a crash does not delay the next read (seed %i)',
    async (seed) => {
      const scenario = await startScenario(seed);
      const previousReader = currentReader(scenario);
      const before = scenario.calls.length;
      await scenario.world.until(2_000, () => scenario.calls.length > before);
      const last = scenario.world.now();
      await scenario.world.advance(100);
      scenario.world.kill(previousReader.host);
      await scenario.world.advance(500);
      scenario.startController(previousReader);
      expect(await scenario.world.until(5_000, () => scenario.calls.some((c) => c.at > last))).toBe(true);
      expect(scenario.world.now() - last).toBeLessThan(1_700);
    },
  );

  test('a resumed reader that at first can receive but not send lets the new reader continue', async () => {
    const scenario = await startScenario(15);
    const previousReader = currentReader(scenario);
    scenario.world.freeze(previousReader.host);
    await scenario.world.advance(4_000);
    const newReader = currentReader(scenario);
    for (const h of scenario.controllers)
      if (h !== previousReader) scenario.world.cut(previousReader.host.name, h.host.name);
    const thawedAt = scenario.world.now();
    scenario.world.thaw(previousReader.host);
    await scenario.world.advance(800);
    scenario.world.healAll();
    await scenario.world.advance(4_000);
    expect(currentReader(scenario)).toBe(newReader);
    expect(scenario.calls.filter((c) => c.at > thawedAt && c.by === previousReader.host.name)).toEqual([]);
  });

  test('messages queued while a proxy was frozen do not count as fresh after it resumes', async () => {
    const scenario = await startScenario(10);
    const proxy = scenario.proxyNodes[0] as ProxyNode;
    scenario.world.freeze(proxy.host);
    await scenario.world.advance(2_000);
    publishListing(scenario, W2_DRAINING);
    await scenario.world.advance(200);
    for (const h of scenario.controllers) cutBothWays(scenario, h.host, proxy.host);
    await scenario.world.advance(3_000);
    const resumedAt = scenario.world.now();
    scenario.world.thaw(proxy.host);
    await scenario.world.advance(1);
    expect(proxy.feed?.asOf()).toBeLessThan(resumedAt);
    expect(await scenario.world.until(1_000, () => seesLeaving(proxy, 'w2'))).toBe(true);
    expect(proxy.feed?.asOf()).toBeGreaterThanOrEqual(resumedAt);
  });

  test('a proxy without contact to a controller reads the platform itself, at most once a second, until contact returns', async () => {
    const scenario = await startScenario(11);
    const proxy = scenario.proxyNodes[1] as ProxyNode;
    for (const h of scenario.controllers) cutBothWays(scenario, h.host, proxy.host);
    const from = scenario.world.now();
    await scenario.world.advance(10_000);
    const proxyCalls = callsSince(scenario, from).proxies;
    expect(proxyCalls).toBeGreaterThanOrEqual(6);
    expect(proxyCalls).toBeLessThanOrEqual(9);
    const visibleAt = publishListing(scenario, W2_DRAINING);
    expect(await msUntilAllSee(scenario, 'w2', visibleAt, [proxy])).toBeLessThan(2_000);
    scenario.world.healAll();
    await scenario.world.advance(1_000);
    const healedAt = scenario.world.now();
    await scenario.world.advance(6_000);
    expect(callsSince(scenario, healedAt).proxies).toBe(0);
    expect(seesLeaving(proxy, 'w2')).toBe(true);
  });

  test('while the platform is down proxies keep the list with few reads, and see changes soon after it is back', async () => {
    const scenario = await startScenario(12, 3, 40);
    scenario.platform.down = true;
    const from = scenario.world.now();
    await scenario.world.advance(20_000);
    const calls = callsSince(scenario, from);
    expect(calls.controllers / 20).toBeLessThan(2.5);
    expect(calls.proxies / 20).toBeLessThan(12);
    const perSecond = new Map<number, number>();
    for (const c of scenario.calls)
      if (c.at >= from && c.by.startsWith('edge'))
        perSecond.set(Math.floor(c.at / 1_000), (perSecond.get(Math.floor(c.at / 1_000)) ?? 0) + 1);
    expect(Math.max(...perSecond.values())).toBeLessThanOrEqual(20);
    expect(scenario.proxyNodes.every((e) => e.feed?.entries().length === 6)).toBe(true);
    scenario.platform.down = false;
    const visibleAt = publishListing(scenario, W2_DRAINING);
    expect(await msUntilAllSee(scenario, 'w2', visibleAt)).toBeLessThan(2_000);
    await scenario.world.advance(3_000);
    const restoredAt = scenario.world.now();
    await scenario.world.advance(3_000);
    expect(callsSince(scenario, restoredAt)).toEqual({ controllers: 3, proxies: 0, readers: 1 });
  });

  test('if only the reader cannot reach the platform, another controller takes over', async () => {
    const scenario = await startScenario(13);
    const formerReader = currentReader(scenario);
    cutBothWays(scenario, formerReader.host, scenario.platform.host);
    const visibleAt = publishListing(scenario, W2_DRAINING);
    expect(await msUntilAllSee(scenario, 'w2', visibleAt)).toBeLessThan(3_000);
    expect(currentReader(scenario)).not.toBe(formerReader);
  });

  test('all controllers killed at once: proxies read by themselves, then follow the restarted controllers, which have no state', async () => {
    const scenario = await startScenario(14);
    for (let i = 0; i < 3; i += 1) {
      const killed = currentReader(scenario);
      scenario.world.kill(killed.host);
      await scenario.world.advance(3_000);
      scenario.startController(killed);
      await scenario.world.advance(3_000);
    }
    for (const h of scenario.controllers) scenario.world.kill(h.host);
    await scenario.world.advance(900);
    for (const h of scenario.controllers) scenario.startController(h);
    const visibleAt = publishListing(scenario, W2_DRAINING);
    expect(await msUntilAllSee(scenario, 'w2', visibleAt)).toBeLessThan(2_000);
    await scenario.world.advance(3_000);
    const from = scenario.world.now();
    await scenario.world.advance(5_000);
    expect(callsSince(scenario, from)).toEqual({ controllers: 5, proxies: 0, readers: 1 });
  });

  test('duplicated, delayed and reordered messages neither restore an older list nor block updates', async () => {
    for (let seed = 20; seed < 24; seed += 1) {
      const scenario = await startScenario(seed);
      scenario.net.setFrameDisturbance({ delayProbability: 0.3, duplicateProbability: 0.3, reorderProbability: 0.3 });
      const releases = [1, 1, 1];
      const regressions: string[] = [];
      for (const e of scenario.proxyNodes) {
        let newestSum = 0;
        e.feed?.events.on('changed', (c) => {
          const sum = c.entries.reduce((n, w) => n + Number(w.release.slice(1)), 0);
          if (sum < newestSum) regressions.push(`${e.host.name} from ${newestSum} back to ${sum}`);
          newestSum = sum;
        });
      }
      for (let i = 2; i < 40; i += 1) {
        releases[i % 3] = i;
        publishListing(
          scenario,
          [1, 2, 3].map((n) => worker(n, { release: `v${releases[n - 1]}` })),
        );
        await scenario.world.advance(900);
      }
      await scenario.world.advance(2_500);
      expect(regressions).toEqual([]);
      for (const e of scenario.proxyNodes)
        expect(e.feed?.entries().map((w) => w.release)).toEqual(releases.map((n) => `v${n}`));
    }
  });

  test('the remaining time of a worker counts down between reads', async () => {
    const scenario = await startScenario(25);
    publishListing(scenario, W2_DRAINING);
    await scenario.world.advance(3_000);
    const feed = scenario.proxyNodes[0]?.feed as WorkerListFeed;
    const remainingMs = feed.entries().find((w) => w.id === 'w2')?.remainingMs ?? 0;
    const dueIn = remainingMs - (scenario.world.now() - (feed.asOf() ?? 0));
    expect(dueIn).toBeGreaterThan(1_500);
    expect(dueIn).toBeLessThan(2_200);
    expect(scenario.proxyNodes[0]?.changeCount).toBe(2);
  });
});

function cutBothWays(scenario: Scenario, a: Host, b: Host): void {
  scenario.world.cut(a.name, b.name);
  scenario.world.cut(b.name, a.name);
}
function isolate(scenario: Scenario, node: ControllerNode, outbound: boolean, inbound: boolean): void {
  for (const h of scenario.world.hosts()) {
    if (h === node.host) continue;
    if (outbound) scenario.world.cut(node.host.name, h.name);
    if (inbound) scenario.world.cut(h.name, node.host.name);
  }
}

import { describe, expect, test } from '@jest/globals';
import { workerEntry } from '../../sim/builders.js';
import { err, ok } from '../../base/result.js';
import { ledgerRequest, ordersRequest } from '../../operator/requests.js';
import { createCoreClient } from '../../operator/core.js';
import { ledgerText, ordersText } from '../../programs/inspect-text.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Entry, ScalerStep } from '../../state/consensus/entry.js';
import type { Report } from '../../state/distribution/report.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { Settings } from '../../state/configuration/settings-tree.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { createQuietLog } from '../../transport/log.js';
import { createPeers } from '../messaging/peers.js';
import type { WorkerListReader } from '../discovery/worker-list-feed.js';

const ZONES = ['a', 'b', 'c'];
const CONTROLLERS = ['h1', 'h2', 'h3'];

type Scenario = { readonly core: SimCore; readonly platform: { list: WorkerEntry[]; down: boolean } };

async function startScenario(seed: number, deployment: Settings = {}): Promise<Scenario> {
  const platform = { list: [...Array(9).keys()].map((i) => workerEntry(`w${i}`, ZONES[i % 3] as string)), down: false };
  function listReader(): WorkerListReader {
    return {
      read: () => Promise.resolve(platform.down ? err({ tag: 'listSilent' as const }) : ok([...platform.list])),
    };
  }
  const core = createSimCore(seed, {
    controllers: 3,
    seeds: 3,
    regionMs: 35,
    zones: ZONES,
    listReader,
    operatorHttpServer: true,
  });
  core.startAll();
  expect(await core.until(5_000, () => core.whole(CONTROLLERS))).toBe(true);
  const serving = {
    number: 1,
    mappings: {},
    models: {
      m: { at: 0, probePath: '/h', maxConns: 9, coldS: 3, coldRateS: 9, engine: { batch: 64, kvTokens: 1 } },
    },
    limits: DEFAULT_LIMITS,
  };
  const changes = [
    { path: ['serving'], value: serving },
    { path: ['deployment'], value: deployment },
  ];
  const first = core.node('h1').controller?.ledger;
  await core.runUntilSettled(
    first?.propose({ cause: 'An operator.', act: { tag: 'configured', base: 0, changes } }, 3_000) ??
      Promise.resolve(null),
    5_000,
  );
  expect(await core.until(20_000, () => Object.keys(controlState(core).orders).length >= 9)).toBe(true);
  await core.world.advance(2_000);
  return { core, platform };
}
function controlState(core: SimCore): ControlState {
  let newest: ControlState | null = null;
  for (const n of core.nodes) {
    const b = n.controller?.ledger.controlState();
    if (b && (newest === null || b.slot > newest.slot)) newest = b;
  }
  return newest as ControlState;
}
function scalerHolders(core: SimCore): string[] {
  return core.nodes.filter((n) => n.host.running && !n.host.frozen && n.controller?.holdsScaler()).map((n) => n.name);
}
async function waitForHolder(core: SimCore): Promise<string> {
  expect(await core.until(20_000, () => scalerHolders(core).length === 1)).toBe(true);
  return scalerHolders(core)[0] as string;
}
function decisions(core: SimCore, from = 0): { slot: number; entry: Entry; steps: readonly ScalerStep[] }[] {
  const out: { slot: number; entry: Entry; steps: readonly ScalerStep[] }[] = [];
  const newest = core.nodes
    .map((n) => n.controller?.ledger)
    .reduce((a, b) => ((b?.controlState().slot ?? -1) > (a?.controlState().slot ?? -1) ? b : a));
  for (const { slot, batch } of newest?.since(from) ?? [])
    for (const entry of batch.entries)
      if (entry.act.tag === 'decided') out.push({ slot, entry, steps: entry.act.steps });
  return out;
}
function zoneSetsText(core: SimCore): string {
  const zoneSets = controlState(core).zoneSets['m'];
  return `${zoneSets?.active.join('')}|${zoneSets?.preemptive.join('')}`;
}
function changeWorker(d: Scenario, id: string, patch: Partial<WorkerEntry> | null): void {
  d.platform.list = d.platform.list.flatMap((w) => (w.id !== id ? [w] : patch === null ? [] : [{ ...w, ...patch }]));
}

function report(reporter: string, count: number, overrides: Partial<Report>): Report {
  return {
    reporter,
    run: 'r1',
    incarnation: 1,
    count,
    requests: {},
    shed: 0,
    attempted: 0,
    retried: 0,
    slot: 0,
    health: {},
    http: 'x:1',
    ready: true,
    zone: 'a',
    region: 'a',
    ...overrides,
  };
}

describe('the scaler on a platform that starts workers itself', () => {
  test('existing workers are adopted in one entry, and no entry is written while nothing changes', async () => {
    const { core } = await startScenario(1);
    expect(decisions(core).map((d) => d.steps.map((s) => s.act.tag))).toEqual([
      ['zonesMoved', 'targetChanged', 'ordersAdopted'],
    ]);
    const { slot } = controlState(core);
    await core.world.advance(60_000);
    expect(controlState(core).slot).toBe(slot);
  });

  test('a short-notice drain demotes its zone, a launch restores it, and inspect shows who decided it and why', async () => {
    const d = await startScenario(2);
    changeWorker(d, 'w1', { leaving: true, remainingMs: 6_000 });
    expect(await d.core.until(5_000, () => zoneSetsText(d.core) === 'ac|b')).toBe(true);
    changeWorker(d, 'w1', null);
    await d.core.world.advance(4_000);
    d.platform.list.push(workerEntry('w20', 'b', { coldMs: 3_000 }));
    await d.core.world.advance(4_000);
    expect(zoneSetsText(d.core)).toBe('ac|b');
    changeWorker(d, 'w20', { coldMs: 0 });
    expect(await d.core.until(5_000, () => zoneSetsText(d.core) === 'acb|')).toBe(true);

    await d.core.world.advance(500);
    const at = await waitForHolder(d.core);
    const fence = controlState(d.core).leases['scaler']?.fence;
    const inspect = createCoreClient(
      ['h1', 'h2', 'h3'].map((n) => `${d.core.node(n).wire}0`),
      d.core.lab('inspect').httpClient,
    );
    const orders = ordersText((await d.core.runUntilSettled(inspect.request(ordersRequest('m')), 5_000))?.body);
    expect(orders).toMatch(
      new RegExp(
        `found-w1 m spot in b: lost, machine w1\\n.*placed +by ${at}.* \\(fence ${fence}\\): Stood in the list.*\\n.*\\n.*lost +by ${at}.* \\(fence ${fence}\\): Taken away at short notice: \\d+ ms were left`,
      ),
    );
    const ledger = ledgerText((await d.core.runUntilSettled(inspect.request(ledgerRequest('0')), 5_000))?.body);
    expect(ledger).toMatch(/zonesMoved +A spot worker was lost in b\./);
    expect(ledger).toMatch(/zonesMoved +A launch became ready in b\./);
  });

  test.each(['kill', 'freeze', 'cut'] as const)(
    'after the holder is lost by %s, the next one continues from the log, and only the new holder writes',
    async (fault) => {
      for (let seed = 30; seed < 34; seed += 1) {
        const d = await startScenario(seed);
        changeWorker(d, 'w1', { leaving: true, remainingMs: 6_000 });
        expect(await d.core.until(5_000, () => zoneSetsText(d.core) === 'ac|b')).toBe(true);
        const previousHolder = await waitForHolder(d.core);
        const { host } = d.core.node(previousHolder);
        const { slot } = controlState(d.core);
        if (fault === 'kill') d.core.kill(previousHolder);
        if (fault === 'freeze') d.core.world.freeze(host);
        if (fault === 'cut') d.core.isolate([previousHolder]);
        changeWorker(d, 'w1', null);
        changeWorker(d, 'w2', { leaving: true });
        expect(await d.core.until(25_000, () => scalerHolders(d.core).some((n) => n !== previousHolder))).toBe(true);
        await d.core.world.advance(3_000);
        if (fault === 'kill') d.core.start(previousHolder);
        if (fault === 'freeze') d.core.world.thaw(host);
        if (fault === 'cut') d.core.world.healAll();
        d.platform.list.push(workerEntry('w20', 'b'));
        await d.core.world.advance(8_000);
        const newHolder = await waitForHolder(d.core);
        expect(newHolder).not.toBe(previousHolder);
        expect(zoneSetsText(d.core)).toBe('acb|');
        const since = decisions(d.core, slot + 1);
        expect(since.flatMap((x) => x.steps.map((s) => s.act.tag)).sort()).toEqual([
          'orderDraining',
          'ordersAdopted',
          'zonesMoved',
        ]);
        const { leases } = controlState(d.core);
        for (const x of since)
          expect([x.entry.author.startsWith(newHolder), x.entry.fence]).toEqual([true, leases['scaler']?.fence]);
        expect(d.core.broken).toEqual([]);
      }
    },
  );

  test('late decisions of a previous holder are rejected', async () => {
    const d = await startScenario(40);
    const previousHolder = await waitForHolder(d.core);
    const previousLedger = d.core.node(previousHolder).controller?.ledger;
    const fence = controlState(d.core).leases['scaler']?.fence as number;
    d.core.world.freeze(d.core.node(previousHolder).host);
    expect(await d.core.until(25_000, () => scalerHolders(d.core).some((n) => n !== previousHolder))).toBe(true);
    d.core.world.thaw(d.core.node(previousHolder).host);
    const steps: ScalerStep[] = [{ cause: 'late', act: { tag: 'targetChanged', model: 'm', target: 50 } }];
    const response = await d.core.runUntilSettled(
      previousLedger?.propose({ cause: 'late', act: { tag: 'decided', steps }, fence }, 3_000) ?? Promise.resolve(null),
      10_000,
    );
    expect(response).toMatchObject({ ok: true, value: { outcome: { tag: 'staleFence' } } });
    expect(controlState(d.core).targets['m']).toBe(1);
  });

  test('after a restart of all controllers the orders are unchanged, and nothing is written twice', async () => {
    const d = await startScenario(50);
    const before = Object.keys(controlState(d.core).orders).sort();
    for (const n of CONTROLLERS) d.core.powerLoss(n);
    d.core.startAll();
    await d.core.world.advance(500);
    expect(await d.core.until(20_000, () => d.core.whole(CONTROLLERS))).toBe(true);
    await waitForHolder(d.core);
    await d.core.world.advance(5_000);
    expect(Object.keys(controlState(d.core).orders).sort()).toEqual(before);
    expect(decisions(d.core)).toHaveLength(1);
  });

  test('nothing counts as lost while the platform is unresponsive', async () => {
    const d = await startScenario(60);
    d.platform.down = true;
    const { slot } = controlState(d.core);
    await d.core.world.advance(30_000);
    d.platform.down = false;
    await d.core.world.advance(10_000);
    expect(controlState(d.core).slot).toBe(slot);
  });

  test('no worker is lost if the list is empty for less than 1.5 seconds', async () => {
    const d = await startScenario(61);
    const { list } = d.platform;
    const { slot } = controlState(d.core);
    d.platform.list = [];
    await d.core.world.advance(1_100);
    d.platform.list = list;
    await d.core.world.advance(10_000);
    expect(controlState(d.core).slot).toBe(slot);
  });

  test('the target follows the counts of proxies, and does not fall if the reports of a proxy stop', async () => {
    const d = await startScenario(70, { windowS: 5, holdS: 5, qTar: 2 });
    const { wire, clock } = d.core.lab('proxy-1');
    const peers = createPeers(wire, clock, createQuietLog().component('peers'));
    let n = 0;
    async function send(seconds: number, perSecond: number): Promise<void> {
      for (let i = 0; i < seconds * 2; i += 1) {
        n += perSecond / 2;
        for (const name of CONTROLLERS)
          void peers.send(d.core.node(name).wire, {
            kind: 'reports',
            reports: [report('proxy-1', i + 1, { requests: { m: n } })],
          });
        await d.core.world.advance(500);
      }
    }
    await d.core.runUntilSettled(
      d.core
        .node('h1')
        .controller?.ledger.propose(
          { cause: '-', act: { tag: 'proxyKnown', name: 'proxy-1', zone: 'a', region: 'a' } },
          3_000,
        ) ?? Promise.resolve(null),
      5_000,
    );
    await send(20, 10);
    expect(controlState(d.core).targets['m']).toBe(5);
    await d.core.world.advance(20_000);
    expect(controlState(d.core).targets['m']).toBe(5);
  });

  test.each([
    ['most', 3, 1],
    ['one of nine', 1, 0],
  ] as const)(
    'a listed worker that %s proxies report unhealthy for long is lost, or not',
    async (_, reporterCount, lostCount) => {
      const d = await startScenario(80);
      const { wire, clock } = d.core.lab('proxies');
      const peers = createPeers(wire, clock, createQuietLog().component('peers'));
      for (let i = 1; i <= 30; i += 1) {
        const reports = [...Array(9).keys()].map((k) =>
          report(`s${k}`, i, { health: k < reporterCount ? { w4: 'unfit' } : {} }),
        );
        for (const name of CONTROLLERS) void peers.send(d.core.node(name).wire, { kind: 'reports', reports });
        await d.core.world.advance(500);
      }
      expect(controlState(d.core).closed.filter((o) => o.machine === 'w4' && o.status === 'lost')).toHaveLength(
        lostCount,
      );
    },
  );
});

import { describe, expect, test } from '@jest/globals';
import { workerEntry } from '../../sim/builders.js';
import { err, ok } from '../../base/result.js';
import { ledgerRequest, ordersRequest } from '../../operator/requests.js';
import { createCore } from '../../operator/core.js';
import { ledgerText, ordersText } from '../../programs/inspect-text.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Entry, Step } from '../../state/consensus/entry.js';
import type { Report } from '../../state/distribution/report.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { Settings } from '../../state/configuration/settings-tree.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { createQuietLog } from '../../transport/log.js';
import { createPeers } from '../messaging/peers.js';
import type { WorkerListReader } from '../discovery/worker-list-feed.js';

const ZONES = ['a', 'b', 'c'];
const THREE = ['h1', 'h2', 'h3'];

type Day = { readonly core: SimCore; readonly platform: { list: WorkerEntry[]; down: boolean } };

async function day(seed: number, deployment: Settings = {}): Promise<Day> {
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
  expect(await core.until(5_000, () => core.whole(THREE))).toBe(true);
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
  await core.finish(
    first?.propose({ cause: 'An operator.', act: { tag: 'configured', base: 0, changes } }, 3_000) ??
      Promise.resolve(null),
    5_000,
  );
  expect(await core.until(20_000, () => Object.keys(controlState(core).orders).length >= 9)).toBe(true);
  await core.world.advance(2_000);
  return { core, platform };
}
function controlState(core: SimCore): ControlState {
  let best: ControlState | null = null;
  for (const n of core.nodes) {
    const b = n.controller?.ledger.controlState();
    if (b && (best === null || b.slot > best.slot)) best = b;
  }
  return best as ControlState;
}
function holders(core: SimCore): string[] {
  return core.nodes.filter((n) => n.host.running && !n.host.frozen && n.controller?.holdsScaler()).map((n) => n.name);
}
async function holder(core: SimCore): Promise<string> {
  expect(await core.until(20_000, () => holders(core).length === 1)).toBe(true);
  return holders(core)[0] as string;
}
function decisions(core: SimCore, from = 0): { slot: number; entry: Entry; steps: readonly Step[] }[] {
  const out: { slot: number; entry: Entry; steps: readonly Step[] }[] = [];
  const newest = core.nodes
    .map((n) => n.controller?.ledger)
    .reduce((a, b) => ((b?.controlState().slot ?? -1) > (a?.controlState().slot ?? -1) ? b : a));
  for (const { slot, batch } of newest?.since(from) ?? [])
    for (const entry of batch.entries)
      if (entry.act.tag === 'decided') out.push({ slot, entry, steps: entry.act.steps });
  return out;
}
function sets(core: SimCore): string {
  const z = controlState(core).zoneSets['m'];
  return `${z?.active.join('')}|${z?.preemptive.join('')}`;
}
function change(d: Day, id: string, more: Partial<WorkerEntry> | null): void {
  d.platform.list = d.platform.list.flatMap((w) => (w.id !== id ? [w] : more === null ? [] : [{ ...w, ...more }]));
}

function report(reporter: string, count: number, more: Partial<Report>): Report {
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
    ...more,
  };
}

describe('the scaler where no machine can be ordered', () => {
  test('a calm day: what stands is taken over in one entry, and then none is written', async () => {
    const { core } = await day(1);
    expect(decisions(core).map((d) => d.steps.map((s) => s.act.tag))).toEqual([
      ['zonesMoved', 'targetChanged', 'ordersAdopted'],
    ]);
    const { slot } = controlState(core);
    await core.world.advance(60_000);
    expect(controlState(core).slot).toBe(slot);
  });

  test('a short-notice drain demotes its zone, a launch restores it, and inspect tells who decided it and why', async () => {
    const d = await day(2);
    change(d, 'w1', { leaving: true, remainingMs: 6_000 });
    expect(await d.core.until(5_000, () => sets(d.core) === 'ac|b')).toBe(true);
    change(d, 'w1', null);
    await d.core.world.advance(4_000);
    d.platform.list.push(workerEntry('w20', 'b', { coldMs: 3_000 }));
    await d.core.world.advance(4_000);
    expect(sets(d.core)).toBe('ac|b');
    change(d, 'w20', { coldMs: 0 });
    expect(await d.core.until(5_000, () => sets(d.core) === 'acb|')).toBe(true);

    await d.core.world.advance(500);
    const at = await holder(d.core);
    const fence = controlState(d.core).leases['scaler']?.fence;
    const inspect = createCore(
      ['h1', 'h2', 'h3'].map((n) => `${d.core.node(n).wire}0`),
      d.core.lab('inspect').httpClient,
    );
    const orders = ordersText((await d.core.finish(inspect.request(ordersRequest('m')), 5_000))?.body);
    expect(orders).toMatch(
      new RegExp(
        `found-w1 m spot in b: lost, machine w1\\n.*placed +by ${at}.* \\(fence ${fence}\\): Stood in the list.*\\n.*\\n.*lost +by ${at}.* \\(fence ${fence}\\): Taken away at short notice: \\d+ ms were left`,
      ),
    );
    const ledger = ledgerText((await d.core.finish(inspect.request(ledgerRequest('0')), 5_000))?.body);
    expect(ledger).toMatch(/zonesMoved +A spot worker was lost in b\./);
    expect(ledger).toMatch(/zonesMoved +A launch became ready in b\./);
  });

  test.each(['kill', 'freeze', 'cut'] as const)(
    'a holder lost by %s: the next goes on from the ledger, and both never write',
    async (how) => {
      for (let seed = 30; seed < 34; seed += 1) {
        const d = await day(seed);
        change(d, 'w1', { leaving: true, remainingMs: 6_000 });
        expect(await d.core.until(5_000, () => sets(d.core) === 'ac|b')).toBe(true);
        const was = await holder(d.core);
        const { host } = d.core.node(was);
        const { slot } = controlState(d.core);
        if (how === 'kill') d.core.kill(was);
        if (how === 'freeze') d.core.world.freeze(host);
        if (how === 'cut') d.core.cutOff([was]);
        change(d, 'w1', null);
        change(d, 'w2', { leaving: true });
        expect(await d.core.until(25_000, () => holders(d.core).some((n) => n !== was))).toBe(true);
        await d.core.world.advance(3_000);
        if (how === 'kill') d.core.start(was);
        if (how === 'freeze') d.core.world.thaw(host);
        if (how === 'cut') d.core.world.healAll();
        d.platform.list.push(workerEntry('w20', 'b'));
        await d.core.world.advance(8_000);
        const now = await holder(d.core);
        expect(now).not.toBe(was);
        expect(sets(d.core)).toBe('acb|');
        const since = decisions(d.core, slot + 1);
        expect(since.flatMap((x) => x.steps.map((s) => s.act.tag)).sort()).toEqual([
          'orderDraining',
          'ordersAdopted',
          'zonesMoved',
        ]);
        const { leases } = controlState(d.core);
        for (const x of since)
          expect([x.entry.author.startsWith(now), x.entry.fence]).toEqual([true, leases['scaler']?.fence]);
        expect(d.core.broken).toEqual([]);
      }
    },
  );

  test('decisions of an old holder that come late fold to nothing', async () => {
    const d = await day(40);
    const was = await holder(d.core);
    const old = d.core.node(was).controller?.ledger;
    const fence = controlState(d.core).leases['scaler']?.fence as number;
    d.core.world.freeze(d.core.node(was).host);
    expect(await d.core.until(25_000, () => holders(d.core).some((n) => n !== was))).toBe(true);
    d.core.world.thaw(d.core.node(was).host);
    const steps: Step[] = [{ cause: 'late', act: { tag: 'targetChanged', model: 'm', target: 50 } }];
    const response = await d.core.finish(
      old?.propose({ cause: 'late', act: { tag: 'decided', steps }, fence }, 3_000) ?? Promise.resolve(null),
      10_000,
    );
    expect(response).toMatchObject({ ok: true, value: { outcome: { tag: 'staleFence' } } });
    expect(controlState(d.core).targets['m']).toBe(1);
  });

  test('all controllers restarted: the orders stand as they stood, and nothing is written twice', async () => {
    const d = await day(50);
    const before = Object.keys(controlState(d.core).orders).sort();
    for (const n of THREE) d.core.powerLoss(n);
    d.core.startAll();
    await d.core.world.advance(500);
    expect(await d.core.until(20_000, () => d.core.whole(THREE))).toBe(true);
    await holder(d.core);
    await d.core.world.advance(5_000);
    expect(Object.keys(controlState(d.core).orders).sort()).toEqual(before);
    expect(decisions(d.core)).toHaveLength(1);
  });

  test('while the platform is silent nothing is held to be lost', async () => {
    const d = await day(60);
    d.platform.down = true;
    const { slot } = controlState(d.core);
    await d.core.world.advance(30_000);
    d.platform.down = false;
    await d.core.world.advance(10_000);
    expect(controlState(d.core).slot).toBe(slot);
  });

  test('a list that empties and fills again within a second and a half loses nobody', async () => {
    const d = await day(61);
    const { list } = d.platform;
    const { slot } = controlState(d.core);
    d.platform.list = [];
    await d.core.world.advance(1_100);
    d.platform.list = list;
    await d.core.world.advance(10_000);
    expect(controlState(d.core).slot).toBe(slot);
  });

  test('the target follows what the proxies count, and one whose reports stop does not make it fall', async () => {
    const d = await day(70, { windowS: 5, holdS: 5, qTar: 2 });
    const { wire, clock } = d.core.lab('proxy-1');
    const peers = createPeers(wire, clock, createQuietLog().component('peers'));
    let n = 0;
    async function send(seconds: number, perSecond: number): Promise<void> {
      for (let i = 0; i < seconds * 2; i += 1) {
        n += perSecond / 2;
        for (const name of THREE)
          void peers.send(d.core.node(name).wire, {
            kind: 'reports',
            reports: [report('proxy-1', i + 1, { requests: { m: n } })],
          });
        await d.core.world.advance(500);
      }
    }
    await d.core.finish(
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
    'a worker that %s proxies find unfit for long, while it is listed, is lost or not',
    async (_, saying, lost) => {
      const d = await day(80);
      const { wire, clock } = d.core.lab('proxies');
      const peers = createPeers(wire, clock, createQuietLog().component('peers'));
      for (let i = 1; i <= 30; i += 1) {
        const reports = [...Array(9).keys()].map((k) =>
          report(`s${k}`, i, { health: k < saying ? { w4: 'unfit' } : {} }),
        );
        for (const name of THREE) void peers.send(d.core.node(name).wire, { kind: 'reports', reports });
        await d.core.world.advance(500);
      }
      expect(controlState(d.core).closed.filter((o) => o.machine === 'w4' && o.status === 'lost')).toHaveLength(lost);
    },
  );
});

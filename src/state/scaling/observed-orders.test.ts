import { describe, expect, test } from '@jest/globals';
import { workerEntry } from '../../sim/builders.js';
import { emptyControlState, foldBatch } from '../consensus/control-state.js';
import type { ControlState } from '../consensus/control-state.js';
import type { Command, ScalerStep } from '../consensus/entry.js';
import { decideOrdersFromList, decideRetiredModels, createListScalerMemory, scaledModels } from './observed-orders.js';
import type { ListScalerMemory, ListObservation } from './observed-orders.js';
import { DEFAULT_LIMITS } from '../configuration/serving.js';
import type { ModelTraits } from '../configuration/serving.js';
import type { Settings } from '../configuration/settings-tree.js';
import type { WorkerEntry } from '../discovery/worker-entry.js';

const ZONES = ['a', 'b', 'c'];
const TRAITS: ModelTraits = {
  at: 0,
  probePath: '/h',
  maxConns: 9,
  coldS: 3,
  coldRateS: 9,
  engine: { batch: 64, kvTokens: 1 },
};

type Scenario = {
  controlState: ControlState;
  memory: ListScalerMemory;
  list: WorkerEntry[];
  now: number;
  serial: number;
  entries: number;
};

function createScenario(deployment: Settings = {}, workers = 6): Scenario {
  const controlState = emptyControlState();
  controlState.configuration = {
    zones: {},
    deployment,
    regions: {},
    serving: {
      number: 1,
      mappings: {},
      models: { m: TRAITS, gate: { ...TRAITS, engine: null } },
      limits: DEFAULT_LIMITS,
    },
  };
  const list = [...Array(workers).keys()].map((i) => workerEntry(`w${i}`, ZONES[i % 3] as string));
  return { controlState, memory: createListScalerMemory(), list, now: 0, serial: 0, entries: 0 };
}
function fold(s: Scenario, command: Command): void {
  s.serial += 1;
  foldBatch(s.controlState, s.controlState.slot + 1, {
    id: `b${s.serial}`,
    entries: [{ id: `e${s.serial}`, author: 'h1', wall: 0, cause: '-', act: command }],
  });
}
function tick(s: Scenario, overrides: Partial<ListObservation> = {}, ms = 1_000): ScalerStep[] {
  s.now += ms;
  const [scaledModel] = scaledModels(s.controlState.configuration, ZONES);
  if (!scaledModel) return [];
  const observation: ListObservation = {
    now: s.now,
    list: s.list,
    rate: null,
    dead: new Set(),
    plannedDepartures: new Set(),
    ...overrides,
  };
  const steps = decideOrdersFromList(scaledModel, s.controlState, observation, s.memory, () => `o${(s.serial += 1)}`);
  if (steps.length > 0) fold(s, { tag: 'decided', steps });
  return steps;
}
function changeWorker(s: Scenario, id: string, overrides: Partial<WorkerEntry> | null): void {
  s.list = s.list.flatMap((w) => (w.id !== id ? [w] : overrides === null ? [] : [{ ...w, ...overrides }]));
}
function tags(steps: readonly ScalerStep[]): string[] {
  return steps.map((s) => s.act.tag);
}
function zoneSetsText(s: Scenario): string {
  const zoneSets = s.controlState.zoneSets['m'];
  return `${zoneSets?.active.join('')}|${zoneSets?.preemptive.join('')}`;
}
function orderTexts(s: Scenario): string[] {
  return Object.values(s.controlState.orders)
    .map((o) => `${o.kind} ${o.zone} ${o.status}`)
    .sort();
}

describe('orders matched with the worker list', () => {
  test('listed workers are adopted in one entry, and nothing is written while nothing changes', () => {
    const s = createScenario();
    expect(tags(tick(s))).toEqual(['zonesMoved', 'targetChanged', 'ordersAdopted']);
    expect(orderTexts(s)).toHaveLength(6);
    expect(zoneSetsText(s)).toBe('abc|');
    for (let i = 0; i < 100; i += 1) expect(tick(s, { rate: { perSecond: 3, complete: true } })).toEqual([]);
  });

  test('a model without an engine, or with scaling turned off, is not scaled', () => {
    expect(scaledModels(createScenario().controlState.configuration, ZONES).map((r) => r.model)).toEqual(['m']);
    expect(scaledModels(createScenario({ scaled: false }).controlState.configuration, ZONES)).toEqual([]);
  });

  test('Q_Tar follows the batch size unless it is configured', () => {
    expect(scaledModels(createScenario().controlState.configuration, ZONES)[0]?.values.qTar).toBe(6.4);
    expect(scaledModels(createScenario({ qTar: 2 }).controlState.configuration, ZONES)[0]?.values.qTar).toBe(2);
  });

  test('a preemption at short notice moves the zone to Z_P, a ready launch there moves it back', () => {
    const s = createScenario();
    tick(s);
    changeWorker(s, 'w1', { leaving: true, remainingMs: 6_000 });
    const lost = tick(s);
    expect(lost.map((x) => x.act)).toEqual([
      { tag: 'zonesMoved', model: 'm', active: ['a', 'c'], preemptive: ['b'] },
      { tag: 'orderLost', order: 'found-w1', preempted: true },
    ]);
    expect(lost[1]?.cause).toContain('6000 ms');
    expect(tick(s)).toEqual([]);
    changeWorker(s, 'w1', null);
    s.list.push(workerEntry('w9', 'b', { coldMs: 3_000 }));
    expect(tags(tick(s))).toEqual(['ordersAdopted']);
    expect(zoneSetsText(s)).toBe('ac|b');
    changeWorker(s, 'w9', { coldMs: 0 });
    expect(tags(tick(s))).toEqual(['zonesMoved', 'orderReady']);
    expect(zoneSetsText(s)).toBe('acb|');
  });

  test('if fewer than two zones are active, all become active again', () => {
    const s = createScenario();
    tick(s);
    changeWorker(s, 'w0', { leaving: true, remainingMs: 1 });
    tick(s);
    changeWorker(s, 'w1', { leaving: true, remainingMs: 1 });
    tick(s);
    expect(zoneSetsText(s)).toBe('cab|');
  });

  test('a planned drain ends as a release, not as a preemption', () => {
    const s = createScenario();
    tick(s);
    changeWorker(s, 'w1', { leaving: true });
    expect(tags(tick(s))).toEqual(['orderDraining']);
    changeWorker(s, 'w1', null);
    tick(s);
    expect(tags(tick(s, {}, 2_000))).toEqual(['orderReleased']);
    expect(zoneSetsText(s)).toBe('abc|');
  });

  test('a worker whose planned drain was seen only before this holder took over is released too', () => {
    const s = createScenario();
    tick(s);
    changeWorker(s, 'w1', null);
    expect(tick(s)).toEqual([]);
    expect(tags(tick(s, { plannedDepartures: new Set(['w1']) }, 2_000))).toEqual(['orderReleased']);
  });

  test('a worker missing from the list is lost, but not at the first list without it', () => {
    const s = createScenario();
    tick(s);
    changeWorker(s, 'w1', null);
    expect(tick(s)).toEqual([]);
    expect(tags(tick(s, {}, 2_000))).toEqual(['zonesMoved', 'orderLost']);
    s.list.push(workerEntry('w1', 'b'));
    tick(s);
    expect(orderTexts(s)).toHaveLength(6);
  });

  test('a worker that is listed but unhealthy for long is lost, and adopted again once it is healthy', () => {
    const s = createScenario();
    tick(s);
    const dead = { dead: new Set(['w2']) };
    expect(tags(tick(s, dead))).toEqual(['zonesMoved', 'orderLost']);
    expect(tick(s, dead)).toEqual([]);
    expect(tags(tick(s))).toEqual(['zonesMoved', 'ordersAdopted']);
    expect(zoneSetsText(s)).toBe('abc|');
  });

  test('missing workers are ordered by zone and kind, and a new worker is matched with the oldest order of its zone', () => {
    const s = createScenario({ minTarget: 2 }, 2);
    expect(
      tick(s)
        .map((x) => x.act)
        .filter((a) => a.tag === 'orderIntended')
        .map((a) => `${a.kind} ${a.zone}`),
    ).toEqual(['spot c', 'spot a', 'onDemand a', 'onDemand a']);
    s.list.push(workerEntry('w7', 'a'));
    expect(tags(tick(s))).toEqual(['orderPlaced', 'orderReady', 'orderReleased']);
    expect(orderTexts(s)).toEqual([
      'onDemand a intended',
      'spot a ready',
      'spot a ready',
      'spot b ready',
      'spot c intended',
    ]);
    s.list.push(workerEntry('w8', 'c', { coldMs: 2_000 }));
    expect(tags(tick(s))).toEqual(['orderPlaced']);
    changeWorker(s, 'w8', { coldMs: 0 });
    expect(tags(tick(s))).toEqual(['orderReady', 'orderReleased']);
    expect(orderTexts(s)).toEqual(['spot a ready', 'spot a ready', 'spot b ready', 'spot c ready']);
    expect(tick(s)).toEqual([]);
  });

  test('an on-demand fallback worker is drained once enough spot workers are ready', () => {
    const s = createScenario({ minTarget: 1, nExtra: 1 }, 0);
    tick(s);
    expect(orderTexts(s)).toEqual(['onDemand a intended', 'spot a intended', 'spot b intended']);
    s.list.push(workerEntry('x1', 'a'), workerEntry('x2', 'a'));
    tick(s);
    expect(orderTexts(s)).toEqual(['onDemand a ready', 'spot a ready', 'spot b intended']);
    s.list.push(workerEntry('x3', 'b'));
    tick(s);
    expect(orderTexts(s)).toEqual(['onDemand a draining', 'spot a ready', 'spot b ready']);
    changeWorker(s, 'x2', null);
    tick(s);
    tick(s, {}, 2_000);
    expect(orderTexts(s)).toEqual(['spot a ready', 'spot b ready']);
  });

  test('an order without a worker within the launch timeout fails, and its zone is demoted', () => {
    const s = createScenario({ launchTimeoutS: 60, minTarget: 3, nExtra: 1 }, 3);
    tick(s);
    expect(orderTexts(s).filter((o) => o.startsWith('spot') && o.endsWith('intended'))).toEqual(['spot a intended']);
    tick(s);
    const steps = tick(s, {}, 61_000);
    expect(tags(steps)).toContain('orderFailed');
    expect(zoneSetsText(s)).toBe('bc|a');
  });

  test('the target follows the rate after the hold time; unknown rates change nothing', () => {
    const s = createScenario({ holdS: 5, qTar: 1 });
    tick(s);
    const rate = { perSecond: 3.2, complete: true };
    for (let i = 0; i < 5; i += 1) expect(tick(s, { rate })).toEqual([]);
    expect(tick(s, { rate })[0]).toEqual({
      cause: 'Rate 3.20/s over 60s against 1/s a worker.',
      act: { tag: 'targetChanged', model: 'm', target: 4 },
    });
    for (let i = 0; i < 20; i += 1) tick(s);
    expect(s.controlState.targets['m']).toBe(4);
  });

  test('an evacuated zone leaves Z; its workers do not count, and no steps are written for them', () => {
    const s = createScenario({}, 6);
    tick(s);
    fold(s, { tag: 'evacuation', zone: 'b', begun: true });
    expect(tags(tick(s))).toEqual(['zonesMoved']);
    expect(zoneSetsText(s)).toBe('ac|');
    expect(tick(s)).toEqual([]);
    fold(s, { tag: 'evacuation', zone: 'b', begun: false });
    expect(tags(tick(s))).toEqual(['zonesMoved']);
    expect(zoneSetsText(s)).toBe('abc|');
  });

  test('the number of steps in one entry is limited, however much changes', () => {
    const s = createScenario({ minTarget: 30 }, 60);
    tick(s);
    s.list = s.list.map((w) => ({ ...w, leaving: true }));
    let steps = 0;
    for (let i = 0; i < 30; i += 1) {
      const count = tick(s).length;
      expect(count).toBeLessThanOrEqual(9);
      steps += count;
    }
    expect(steps).toBeGreaterThan(60);
  });

  test('orders of a model that is no longer configured are released once their workers are gone', () => {
    const s = createScenario();
    tick(s);
    expect(decideRetiredModels(s.controlState, new Set(['m']), [])).toEqual([]);
    expect(tags(decideRetiredModels(s.controlState, new Set(), s.list))).toEqual([]);
    expect(tags(decideRetiredModels(s.controlState, new Set(), s.list.slice(1)))).toEqual(['orderReleased']);
  });

  test('decisions under a stale fencing token are rejected', () => {
    const s = createScenario();
    fold(s, { tag: 'leaseTaken', duty: 'scaler', holder: 'h2' });
    const steps: ScalerStep[] = [{ cause: '-', act: { tag: 'targetChanged', model: 'm', target: 9 } }];
    const [outcome] = foldBatch(s.controlState, s.controlState.slot + 1, {
      id: 'x',
      entries: [{ id: 'x', author: 'h1', wall: 0, cause: '-', fence: 77, act: { tag: 'decided', steps } }],
    });
    expect(outcome).toEqual({ tag: 'staleFence', fence: s.controlState.leases['scaler']?.fence });
    expect(s.controlState.targets).toEqual({});
  });
});

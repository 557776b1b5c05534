import { describe, expect, test } from '@jest/globals';
import { workerEntry } from '../../sim/builders.js';
import { emptyControlState, foldBatch } from '../consensus/control-state.js';
import type { ControlState } from '../consensus/control-state.js';
import type { Command, Step } from '../consensus/entry.js';
import { decideObserved, decideRetired, observedMemory, observedRules } from './observed-orders.js';
import type { ObservedMemory, ListObservation } from './observed-orders.js';
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

type Stage = {
  controlState: ControlState;
  memory: ObservedMemory;
  list: WorkerEntry[];
  now: number;
  serial: number;
  entries: number;
};

function stage(deployment: Settings = {}, workers = 6): Stage {
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
  return { controlState, memory: observedMemory(), list, now: 0, serial: 0, entries: 0 };
}
function fold(s: Stage, command: Command): void {
  s.serial += 1;
  foldBatch(s.controlState, s.controlState.slot + 1, {
    id: `b${s.serial}`,
    entries: [{ id: `e${s.serial}`, author: 'h1', wall: 0, cause: '-', act: command }],
  });
}
function turn(s: Stage, more: Partial<ListObservation> = {}, ms = 1_000): Step[] {
  s.now += ms;
  const [rule] = observedRules(s.controlState.configuration, ZONES);
  if (!rule) return [];
  const observation: ListObservation = {
    now: s.now,
    list: s.list,
    rate: null,
    dead: new Set(),
    planned: new Set(),
    ...more,
  };
  const steps = decideObserved(rule, s.controlState, observation, s.memory, () => `o${(s.serial += 1)}`);
  if (steps.length > 0) fold(s, { tag: 'decided', steps });
  return steps;
}
function change(s: Stage, id: string, more: Partial<WorkerEntry> | null): void {
  s.list = s.list.flatMap((w) => (w.id !== id ? [w] : more === null ? [] : [{ ...w, ...more }]));
}
function tags(steps: readonly Step[]): string[] {
  return steps.map((s) => s.act.tag);
}
function sets(s: Stage): string {
  const z = s.controlState.zoneSets['m'];
  return `${z?.active.join('')}|${z?.preemptive.join('')}`;
}
function open(s: Stage): string[] {
  return Object.values(s.controlState.orders)
    .map((o) => `${o.kind} ${o.zone} ${o.status}`)
    .sort();
}

describe('orders by observation', () => {
  test('workers in the list are taken over in one entry, and a calm day adds none', () => {
    const s = stage();
    expect(tags(turn(s))).toEqual(['zonesMoved', 'targetChanged', 'ordersAdopted']);
    expect(open(s)).toHaveLength(6);
    expect(sets(s)).toBe('abc|');
    for (let i = 0; i < 100; i += 1) expect(turn(s, { rate: { perSecond: 3, complete: true } })).toEqual([]);
  });

  test('a model without an engine, or one that is not to be scaled, is left alone', () => {
    expect(observedRules(stage().controlState.configuration, ZONES).map((r) => r.model)).toEqual(['m']);
    expect(observedRules(stage({ scaled: false }).controlState.configuration, ZONES)).toEqual([]);
  });

  test('Q_Tar follows the batch, and a setting comes first', () => {
    expect(observedRules(stage().controlState.configuration, ZONES)[0]?.values.qTar).toBe(6.4);
    expect(observedRules(stage({ qTar: 2 }).controlState.configuration, ZONES)[0]?.values.qTar).toBe(2);
  });

  test('short notice moves the zone to Z_P, a ready launch there moves it back', () => {
    const s = stage();
    turn(s);
    change(s, 'w1', { leaving: true, remainingMs: 6_000 });
    const lost = turn(s);
    expect(lost.map((x) => x.act)).toEqual([
      { tag: 'zonesMoved', model: 'm', active: ['a', 'c'], preemptive: ['b'] },
      { tag: 'orderLost', order: 'found-w1', preempted: true },
    ]);
    expect(lost[1]?.cause).toContain('6000 ms');
    expect(turn(s)).toEqual([]);
    change(s, 'w1', null);
    s.list.push(workerEntry('w9', 'b', { coldMs: 3_000 }));
    expect(tags(turn(s))).toEqual(['ordersAdopted']);
    expect(sets(s)).toBe('ac|b');
    change(s, 'w9', { coldMs: 0 });
    expect(tags(turn(s))).toEqual(['zonesMoved', 'orderReady']);
    expect(sets(s)).toBe('acb|');
  });

  test('fewer than two active zones bring all back', () => {
    const s = stage();
    turn(s);
    change(s, 'w0', { leaving: true, remainingMs: 1 });
    turn(s);
    change(s, 'w1', { leaving: true, remainingMs: 1 });
    turn(s);
    expect(sets(s)).toBe('cab|');
  });

  test('a planned drain is a release, not a preemption', () => {
    const s = stage();
    turn(s);
    change(s, 'w1', { leaving: true });
    expect(tags(turn(s))).toEqual(['orderDraining']);
    change(s, 'w1', null);
    turn(s);
    expect(tags(turn(s, {}, 2_000))).toEqual(['orderReleased']);
    expect(sets(s)).toBe('abc|');
  });

  test('a worker that another holder saw leave in order is released too', () => {
    const s = stage();
    turn(s);
    change(s, 'w1', null);
    expect(turn(s)).toEqual([]);
    expect(tags(turn(s, { planned: new Set(['w1']) }, 2_000))).toEqual(['orderReleased']);
  });

  test('a worker that vanishes is lost, though not at the first list without it', () => {
    const s = stage();
    turn(s);
    change(s, 'w1', null);
    expect(turn(s)).toEqual([]);
    expect(tags(turn(s, {}, 2_000))).toEqual(['zonesMoved', 'orderLost']);
    s.list.push(workerEntry('w1', 'b'));
    turn(s);
    expect(open(s)).toHaveLength(6);
  });

  test('a worker that is listed and unfit for long is lost, and taken again once it is fit', () => {
    const s = stage();
    turn(s);
    const dead = { dead: new Set(['w2']) };
    expect(tags(turn(s, dead))).toEqual(['zonesMoved', 'orderLost']);
    expect(turn(s, dead)).toEqual([]);
    expect(tags(turn(s))).toEqual(['zonesMoved', 'ordersAdopted']);
    expect(sets(s)).toBe('abc|');
  });

  test('what is wanted and not there is ordered by zone and kind, and a new worker fills the oldest order of its zone', () => {
    const s = stage({ minTarget: 2 }, 2);
    expect(
      turn(s)
        .map((x) => x.act)
        .filter((a) => a.tag === 'orderIntended')
        .map((a) => `${a.kind} ${a.zone}`),
    ).toEqual(['spot c', 'spot a', 'onDemand a', 'onDemand a']);
    s.list.push(workerEntry('w7', 'a'));
    expect(tags(turn(s))).toEqual(['orderPlaced', 'orderReady', 'orderReleased']);
    expect(open(s)).toEqual(['onDemand a intended', 'spot a ready', 'spot a ready', 'spot b ready', 'spot c intended']);
    s.list.push(workerEntry('w8', 'c', { coldMs: 2_000 }));
    expect(tags(turn(s))).toEqual(['orderPlaced']);
    change(s, 'w8', { coldMs: 0 });
    expect(tags(turn(s))).toEqual(['orderReady', 'orderReleased']);
    expect(open(s)).toEqual(['spot a ready', 'spot a ready', 'spot b ready', 'spot c ready']);
    expect(turn(s)).toEqual([]);
  });

  test('a fallback worker is to be given back once enough spot is ready', () => {
    const s = stage({ minTarget: 1, nExtra: 1 }, 0);
    turn(s);
    expect(open(s)).toEqual(['onDemand a intended', 'spot a intended', 'spot b intended']);
    s.list.push(workerEntry('x1', 'a'), workerEntry('x2', 'a'));
    turn(s);
    expect(open(s)).toEqual(['onDemand a ready', 'spot a ready', 'spot b intended']);
    s.list.push(workerEntry('x3', 'b'));
    turn(s);
    expect(open(s)).toEqual(['onDemand a draining', 'spot a ready', 'spot b ready']);
    change(s, 'x2', null);
    turn(s);
    turn(s, {}, 2_000);
    expect(open(s)).toEqual(['spot a ready', 'spot b ready']);
  });

  test('an order of which nothing came in time has failed, and its zone is demoted', () => {
    const s = stage({ launchTimeoutS: 60, minTarget: 3, nExtra: 1 }, 3);
    turn(s);
    expect(open(s).filter((o) => o.startsWith('spot') && o.endsWith('intended'))).toEqual(['spot a intended']);
    turn(s);
    const steps = turn(s, {}, 61_000);
    expect(tags(steps)).toContain('orderFailed');
    expect(sets(s)).toBe('bc|a');
  });

  test('the target moves by the rate once it has differed for the hold time; unknown rates move nothing', () => {
    const s = stage({ holdS: 5, qTar: 1 });
    turn(s);
    const rate = { perSecond: 3.2, complete: true };
    for (let i = 0; i < 5; i += 1) expect(turn(s, { rate })).toEqual([]);
    expect(turn(s, { rate })[0]).toEqual({
      cause: 'Rate 3.20/s over 60s against 1/s a worker.',
      act: { tag: 'targetChanged', model: 'm', target: 4 },
    });
    for (let i = 0; i < 20; i += 1) turn(s);
    expect(s.controlState.targets['m']).toBe(4);
  });

  test('an evacuated zone leaves Z; its workers do not count, and no order is written for them', () => {
    const s = stage({}, 6);
    turn(s);
    fold(s, { tag: 'evacuation', zone: 'b', begun: true });
    expect(tags(turn(s))).toEqual(['zonesMoved']);
    expect(sets(s)).toBe('ac|');
    expect(turn(s)).toEqual([]);
    fold(s, { tag: 'evacuation', zone: 'b', begun: false });
    expect(tags(turn(s))).toEqual(['zonesMoved']);
    expect(sets(s)).toBe('abc|');
  });

  test('no more than a few orders an entry, however much happens', () => {
    const s = stage({ minTarget: 30 }, 60);
    turn(s);
    s.list = s.list.map((w) => ({ ...w, leaving: true }));
    let steps = 0;
    for (let i = 0; i < 30; i += 1) {
      const now = turn(s).length;
      expect(now).toBeLessThanOrEqual(9);
      steps += now;
    }
    expect(steps).toBeGreaterThan(60);
  });

  test('a model that is configured no more is forgotten as its workers go', () => {
    const s = stage();
    turn(s);
    expect(decideRetired(s.controlState, new Set(['m']), [])).toEqual([]);
    expect(tags(decideRetired(s.controlState, new Set(), s.list))).toEqual([]);
    expect(tags(decideRetired(s.controlState, new Set(), s.list.slice(1)))).toEqual(['orderReleased']);
  });

  test('decisions under another fence fold to nothing', () => {
    const s = stage();
    fold(s, { tag: 'leaseTaken', duty: 'scaler', holder: 'h2' });
    const steps: Step[] = [{ cause: '-', act: { tag: 'targetChanged', model: 'm', target: 9 } }];
    const [outcome] = foldBatch(s.controlState, s.controlState.slot + 1, {
      id: 'x',
      entries: [{ id: 'x', author: 'h1', wall: 0, cause: '-', fence: 77, act: { tag: 'decided', steps } }],
    });
    expect(outcome).toEqual({ tag: 'staleFence', fence: s.controlState.leases['scaler']?.fence });
    expect(s.controlState.targets).toEqual({});
  });
});

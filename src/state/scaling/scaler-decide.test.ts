import { describe, expect, test } from '@jest/globals';
import { emptyControlState, foldBatch } from '../consensus/control-state.js';
import type { ControlState } from '../consensus/control-state.js';
import type { Command } from '../consensus/entry.js';
import { decideModel, ordersOf } from './scaler-decide.js';
import type { Decision } from './scaler-decide.js';
import { recordLaunchFailed } from './scaler-memory.js';
import type { ScalerMemory } from './scaler-memory.js';
import type { ObservedMachine, ScalerObservation } from './scaler-observation.js';
import { resolveModel } from '../configuration/settings-tree.js';
import type { Configuration } from '../configuration/settings-tree.js';

const zones = { zone1: { region: 'r1' }, zone2: { region: 'r2' }, zone3: { region: 'r3' } };

type Stage = {
  controlState: ControlState;
  memory: ScalerMemory;
  readonly dry: Set<string>;
  readonly machines: Map<string, ObservedMachine>;
  failedIn: string[];
  readonly seen: Set<string>;
  now: number;
};

function stage(minTarget: number, nExtra: number, extra: object = {}): Stage {
  const configuration: Configuration = {
    zones,
    deployment: { minTarget, nExtra, ...extra },
    regions: { r1: { models: { m: {} } } },
  };
  const controlState = { ...emptyControlState(), configuration };
  return {
    controlState,
    memory: new Map(),
    dry: new Set(),
    machines: new Map(),
    failedIn: [],
    seen: new Set(),
    now: 0,
  };
}

let serial = 0;
function fold(s: Stage, acts: readonly Command[]): void {
  const entries = acts.map((command) => ({
    id: `e${(serial += 1)}`,
    author: 'h',
    wall: s.now,
    cause: '-',
    act: command,
  }));
  foldBatch(s.controlState, s.controlState.slot + 1, { id: `b${serial}`, entries });
}

function decide(s: Stage, over: Partial<ScalerObservation> = {}): Decision[] {
  const rm = resolveModel(s.controlState.configuration, 'r1', 'm');
  const failedIn = s.failedIn;
  s.failedIn = [];
  const observation: ScalerObservation = {
    now: s.now,
    workers: [...s.machines.values()].map((m) => ({ id: `w-${m.id}`, machine: m.id, state: 'ready' as const })),
    machines: [...s.machines.values()],
    prices: { zone1: { spot: 1, onDemand: 3 }, zone2: { spot: 1, onDemand: 3 }, zone3: { spot: 1, onDemand: 3 } },
    rates: {},
    deadMachines: new Set(),
    failedIn,
    asOf: s.controlState.slot,
    knownMachines: s.seen,
    ...over,
  };
  return decideModel(rm, s.controlState, observation, s.memory, () => `o${(serial += 1)}`);
}

function turn(s: Stage): Decision[] {
  s.now += 1_000;
  for (const o of ordersOf(s.controlState, 'm')) {
    if (o.status === 'draining') {
      s.machines.delete(o.machine ?? '');
      fold(s, [{ tag: 'orderReleased', order: o.id }]);
    }
    if (o.status !== 'intended') continue;
    if (o.kind === 'spot' && s.dry.has(o.zone)) {
      recordLaunchFailed(s.memory, 'm', 'spot', o.zone, s.now);
      s.failedIn.push(o.zone);
      fold(s, [{ tag: 'orderFailed', order: o.id }]);
      continue;
    }
    s.seen.add(`m-${o.id}`);
    s.machines.set(`m-${o.id}`, { id: `m-${o.id}`, key: o.id, zone: o.zone, state: 'running' });
    fold(s, [{ tag: 'orderPlaced', order: o.id, machine: `m-${o.id}` }]);
  }
  const decisions = decide(s);
  fold(
    s,
    decisions.map((d) => d.act),
  );
  return decisions;
}

function preempt(s: Stage, zone: string): void {
  s.dry.add(zone);
  for (const o of ordersOf(s.controlState, 'm'))
    if (o.kind === 'spot' && o.zone === zone && o.machine) s.machines.delete(o.machine);
}

function readySpot(s: Stage): Record<string, number> {
  const out: Record<string, number> = {};
  for (const o of ordersOf(s.controlState, 'm'))
    if (o.kind === 'spot' && o.status === 'ready') out[o.zone] = (out[o.zone] ?? 0) + 1;
  return out;
}
function onDemand(s: Stage): number {
  return ordersOf(s.controlState, 'm').filter(
    (o) => o.kind === 'onDemand' && ['intended', 'placed', 'ready'].includes(o.status),
  ).length;
}
function turns(s: Stage, n: number): void {
  for (let i = 0; i < n; i += 1) turn(s);
}

describe('scaler', () => {
  test('walks the example of section 3.3: four spot workers over three zones', () => {
    const s = stage(2, 2);
    s.dry.add('zone2');
    turns(s, 1);
    expect(onDemand(s)).toBe(2);
    turns(s, 12);
    expect(s.controlState.zoneSets['m']?.preemptive).toEqual(['zone2']);
    expect(Object.keys(readySpot(s)).sort()).toEqual(['zone1', 'zone3']);
    expect(Object.values(readySpot(s)).reduce((a, b) => a + b, 0)).toBe(4);
    expect(onDemand(s)).toBe(0);

    preempt(s, 'zone3');
    turns(s, 12);
    expect(readySpot(s)).toEqual({ zone1: 4 });

    s.dry.delete('zone3');
    preempt(s, 'zone1');
    turns(s, 80);
    expect(readySpot(s)).toEqual({ zone3: 4 });

    s.dry.delete('zone1');
    s.dry.delete('zone2');
    preempt(s, 'zone3');
    turns(s, 80);
    expect(Object.keys(readySpot(s)).sort()).toEqual(['zone1', 'zone2']);

    preempt(s, 'zone1');
    preempt(s, 'zone2');
    turns(s, 20);
    expect(readySpot(s)).toEqual({});
    expect(onDemand(s)).toBe(2);
  });

  test('a drought does not fill the ledger: dry zones rest longer and longer', () => {
    const s = stage(2, 2);
    for (const z of Object.keys(zones)) s.dry.add(z);
    let intents = 0;
    for (let i = 0; i < 600; i += 1) intents += turn(s).filter((d) => d.act.tag === 'orderIntended').length;
    expect(onDemand(s)).toBe(2);
    expect(intents).toBeLessThan(200);
    expect(intents).toBeGreaterThan(20);
  });

  test('a preemption notice counts as lost at once, and the zone is demoted', () => {
    const s = stage(2, 1);
    turns(s, 4);
    const victim = ordersOf(s.controlState, 'm').find((o) => o.kind === 'spot');
    const machine = s.machines.get(victim?.machine ?? '') as ObservedMachine;
    s.machines.set(machine.id, { ...machine, state: 'reclaiming' });
    const acts = turn(s).map((d) => d.act);
    expect(acts).toContainEqual({ tag: 'orderLost', order: victim?.id, preempted: true });
    expect(s.controlState.zoneSets['m']?.preemptive).toEqual([victim?.zone]);
    expect(acts.filter((a) => a.tag === 'orderIntended' && a.kind === 'spot').length).toBe(1);
    expect(acts.filter((a) => a.tag === 'orderIntended' && a.kind === 'onDemand').length).toBe(1);
  });

  test('an evacuated zone is drained and left, without demotion', () => {
    const s = stage(2, 1);
    turns(s, 4);
    fold(s, [{ tag: 'evacuation', zone: 'zone1', begun: true }]);
    turns(s, 6);
    expect(readySpot(s)['zone1']).toBeUndefined();
    expect(Object.values(readySpot(s)).reduce((a, b) => a + b, 0)).toBe(3);
    expect(s.controlState.zoneSets['m']?.preemptive).toEqual([]);
  });

  test('with all zones evacuated nothing is ordered', () => {
    const s = stage(2, 1);
    for (const zone of Object.keys(zones)) fold(s, [{ tag: 'evacuation', zone, begun: true }]);
    turns(s, 5);
    expect(ordersOf(s.controlState, 'm')).toEqual([]);
  });

  test('what the cloud could not tell is not a loss', () => {
    const s = stage(2, 1);
    turns(s, 4);
    expect(decide(s, { machines: null, workers: null }).filter((d) => d.act.tag === 'orderLost')).toEqual([]);
    const early = decide(s, { machines: [], asOf: -1 });
    expect(early.filter((d) => d.act.tag === 'orderLost')).toEqual([]);
    const late = decide(s, { machines: [] });
    expect(late.filter((d) => d.act.tag === 'orderLost').length).toBe(3);
    const neverSeen = { machines: [], knownMachines: new Set<string>() };
    expect(decide(s, neverSeen).filter((d) => d.act.tag === 'orderLost')).toEqual([]);
    s.now += 40_000;
    expect(decide(s, neverSeen).filter((d) => d.act.tag === 'orderLost').length).toBe(3);
  });

  test('a new holder waits out the lag of the cloud for no machine whose worker the platform lists no more', () => {
    const s = stage(2, 1);
    turns(s, 4);
    const [gone, ...held] = ordersOf(s.controlState, 'm').map((o) => o.machine ?? '');
    expect(s.controlState.orders[ordersOf(s.controlState, 'm')[0]?.id ?? '']?.status).toBe('ready');
    const successor = { ...s, memory: new Map(), seen: new Set<string>() };
    const workers = held.map((machine) => ({ id: `w-${machine}`, machine, state: 'ready' as const }));
    const lostBy = (over: Partial<ScalerObservation>) =>
      decide(successor, { machines: [], ...over })
        .filter((d) => d.act.tag === 'orderLost')
        .map((d) => (d.act.tag === 'orderLost' ? s.controlState.orders[d.act.order]?.machine : null));
    expect(lostBy({ workers })).toEqual([gone]);
    expect(lostBy({ workers: null })).toEqual([]);
  });

  test('the target follows the rate after the hold time, and surplus spot is drained', () => {
    const s = stage(1, 1, { holdS: 3 });
    turns(s, 4);
    const fast = { rates: { m: { perSecond: 3.5, complete: true } } };
    for (let i = 0; i < 6; i += 1) {
      fold(
        s,
        decide(s, fast).map((d) => d.act),
      );
      turn(s);
    }
    expect(s.controlState.targets['m']).toBe(1);
    for (let i = 0; i < 6; i += 1) {
      s.now += 1_000;
      fold(
        s,
        decide(s, fast).map((d) => d.act),
      );
    }
    expect(s.controlState.targets['m']).toBe(4);
  });
});

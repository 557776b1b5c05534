import { describe, expect, test } from '@jest/globals';
import { emptyControlState, foldBatch } from '../consensus/control-state.js';
import type { ControlState } from '../consensus/control-state.js';
import type { Command } from '../consensus/entry.js';
import { decideModel, ordersOfModel } from './scaler-decide.js';
import type { Decision } from './scaler-decide.js';
import { recordLaunchFailed } from './scaler-memory.js';
import type { ScalerMemory } from './scaler-memory.js';
import type { ObservedMachine, ScalerObservation } from './scaler-observation.js';
import { resolveModel } from '../configuration/settings-tree.js';
import type { Configuration } from '../configuration/settings-tree.js';

const zones = { zone1: { region: 'r1' }, zone2: { region: 'r2' }, zone3: { region: 'r3' } };

type Scenario = {
  controlState: ControlState;
  memory: ScalerMemory;
  readonly zonesWithoutSpot: Set<string>;
  readonly machines: Map<string, ObservedMachine>;
  failedIn: string[];
  readonly knownMachines: Set<string>;
  now: number;
};

function createScenario(minTarget: number, nExtra: number, settings: object = {}): Scenario {
  const configuration: Configuration = {
    zones,
    deployment: { minTarget, nExtra, ...settings },
    regions: { r1: { models: { m: {} } } },
  };
  const controlState = { ...emptyControlState(), configuration };
  return {
    controlState,
    memory: new Map(),
    zonesWithoutSpot: new Set(),
    machines: new Map(),
    failedIn: [],
    knownMachines: new Set(),
    now: 0,
  };
}

let serial = 0;
function fold(s: Scenario, commands: readonly Command[]): void {
  const entries = commands.map((command) => ({
    id: `e${(serial += 1)}`,
    author: 'h',
    wall: s.now,
    cause: '-',
    act: command,
  }));
  foldBatch(s.controlState, s.controlState.slot + 1, { id: `b${serial}`, entries });
}

function decide(s: Scenario, overrides: Partial<ScalerObservation> = {}): Decision[] {
  const resolved = resolveModel(s.controlState.configuration, 'r1', 'm');
  const failedIn = s.failedIn;
  s.failedIn = [];
  const observation: ScalerObservation = {
    now: s.now,
    workers: [...s.machines.values()].map((m) => ({ id: `w-${m.id}`, machine: m.id, state: 'ready' as const })),
    machines: [...s.machines.values()],
    prices: { zone1: { spot: 1, onDemand: 3 }, zone2: { spot: 1, onDemand: 3 }, zone3: { spot: 1, onDemand: 3 } },
    rates: {},
    deadMachines: new Set(),
    failedSpotZones: failedIn,
    asOfSlot: s.controlState.slot,
    knownMachines: s.knownMachines,
    ...overrides,
  };
  return decideModel(resolved, s.controlState, observation, s.memory, () => `o${(serial += 1)}`);
}

function tick(s: Scenario): Decision[] {
  s.now += 1_000;
  for (const o of ordersOfModel(s.controlState, 'm')) {
    if (o.status === 'draining') {
      s.machines.delete(o.machine ?? '');
      fold(s, [{ tag: 'orderReleased', order: o.id }]);
    }
    if (o.status !== 'intended') continue;
    if (o.kind === 'spot' && s.zonesWithoutSpot.has(o.zone)) {
      recordLaunchFailed(s.memory, 'm', 'spot', o.zone, s.now);
      s.failedIn.push(o.zone);
      fold(s, [{ tag: 'orderFailed', order: o.id }]);
      continue;
    }
    s.knownMachines.add(`m-${o.id}`);
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

function preemptZone(s: Scenario, zone: string): void {
  s.zonesWithoutSpot.add(zone);
  for (const o of ordersOfModel(s.controlState, 'm'))
    if (o.kind === 'spot' && o.zone === zone && o.machine) s.machines.delete(o.machine);
}

function readySpotByZone(s: Scenario): Record<string, number> {
  const out: Record<string, number> = {};
  for (const o of ordersOfModel(s.controlState, 'm'))
    if (o.kind === 'spot' && o.status === 'ready') out[o.zone] = (out[o.zone] ?? 0) + 1;
  return out;
}
function openOnDemandCount(s: Scenario): number {
  return ordersOfModel(s.controlState, 'm').filter(
    (o) => o.kind === 'onDemand' && ['intended', 'placed', 'ready'].includes(o.status),
  ).length;
}
function ticks(s: Scenario, n: number): void {
  for (let i = 0; i < n; i += 1) tick(s);
}

describe('scaler', () => {
  test('follows the example of section 3.3: four spot workers in three zones', () => {
    const s = createScenario(2, 2);
    s.zonesWithoutSpot.add('zone2');
    ticks(s, 1);
    expect(openOnDemandCount(s)).toBe(2);
    ticks(s, 12);
    expect(s.controlState.zoneSets['m']?.preemptive).toEqual(['zone2']);
    expect(Object.keys(readySpotByZone(s)).sort()).toEqual(['zone1', 'zone3']);
    expect(Object.values(readySpotByZone(s)).reduce((a, b) => a + b, 0)).toBe(4);
    expect(openOnDemandCount(s)).toBe(0);

    preemptZone(s, 'zone3');
    ticks(s, 12);
    expect(readySpotByZone(s)).toEqual({ zone1: 4 });

    s.zonesWithoutSpot.delete('zone3');
    preemptZone(s, 'zone1');
    ticks(s, 80);
    expect(readySpotByZone(s)).toEqual({ zone3: 4 });

    s.zonesWithoutSpot.delete('zone1');
    s.zonesWithoutSpot.delete('zone2');
    preemptZone(s, 'zone3');
    ticks(s, 80);
    expect(Object.keys(readySpotByZone(s)).sort()).toEqual(['zone1', 'zone2']);

    preemptZone(s, 'zone1');
    preemptZone(s, 'zone2');
    ticks(s, 20);
    expect(readySpotByZone(s)).toEqual({});
    expect(openOnDemandCount(s)).toBe(2);
  });

  test('a lack of spot capacity does not flood the log: launches are retried with exponential backoff', () => {
    const s = createScenario(2, 2);
    for (const z of Object.keys(zones)) s.zonesWithoutSpot.add(z);
    let intents = 0;
    for (let i = 0; i < 600; i += 1) intents += tick(s).filter((d) => d.act.tag === 'orderIntended').length;
    expect(openOnDemandCount(s)).toBe(2);
    expect(intents).toBeLessThan(200);
    expect(intents).toBeGreaterThan(20);
  });

  test('a machine with a preemption notice counts as lost at once, and its zone is demoted', () => {
    const s = createScenario(2, 1);
    ticks(s, 4);
    const preempted = ordersOfModel(s.controlState, 'm').find((o) => o.kind === 'spot');
    const machine = s.machines.get(preempted?.machine ?? '') as ObservedMachine;
    s.machines.set(machine.id, { ...machine, state: 'reclaiming' });
    const acts = tick(s).map((d) => d.act);
    expect(acts).toContainEqual({ tag: 'orderLost', order: preempted?.id, preempted: true });
    expect(s.controlState.zoneSets['m']?.preemptive).toEqual([preempted?.zone]);
    expect(acts.filter((a) => a.tag === 'orderIntended' && a.kind === 'spot').length).toBe(1);
    expect(acts.filter((a) => a.tag === 'orderIntended' && a.kind === 'onDemand').length).toBe(1);
  });

  test('an evacuated zone is drained and gets no new orders, without being demoted', () => {
    const s = createScenario(2, 1);
    ticks(s, 4);
    fold(s, [{ tag: 'evacuation', zone: 'zone1', begun: true }]);
    ticks(s, 6);
    expect(readySpotByZone(s)['zone1']).toBeUndefined();
    expect(Object.values(readySpotByZone(s)).reduce((a, b) => a + b, 0)).toBe(3);
    expect(s.controlState.zoneSets['m']?.preemptive).toEqual([]);
  });

  test('nothing is ordered if all zones are evacuated', () => {
    const s = createScenario(2, 1);
    for (const zone of Object.keys(zones)) fold(s, [{ tag: 'evacuation', zone, begun: true }]);
    ticks(s, 5);
    expect(ordersOfModel(s.controlState, 'm')).toEqual([]);
  });

  test('a machine is not lost if the list is unknown, too old, or may lag behind the order', () => {
    const s = createScenario(2, 1);
    ticks(s, 4);
    expect(decide(s, { machines: null, workers: null }).filter((d) => d.act.tag === 'orderLost')).toEqual([]);
    const early = decide(s, { machines: [], asOfSlot: -1 });
    expect(early.filter((d) => d.act.tag === 'orderLost')).toEqual([]);
    const late = decide(s, { machines: [] });
    expect(late.filter((d) => d.act.tag === 'orderLost').length).toBe(3);
    const neverSeen = { machines: [], knownMachines: new Set<string>() };
    expect(decide(s, neverSeen).filter((d) => d.act.tag === 'orderLost')).toEqual([]);
    s.now += 40_000;
    expect(decide(s, neverSeen).filter((d) => d.act.tag === 'orderLost').length).toBe(3);
  });

  test('a new holder does not wait for a lagging list of the cloud if the platform no longer lists the worker', () => {
    const s = createScenario(2, 1);
    ticks(s, 4);
    const [missing, ...listed] = ordersOfModel(s.controlState, 'm').map((o) => o.machine ?? '');
    expect(s.controlState.orders[ordersOfModel(s.controlState, 'm')[0]?.id ?? '']?.status).toBe('ready');
    const successor = { ...s, memory: new Map(), knownMachines: new Set<string>() };
    const workers = listed.map((machine) => ({ id: `w-${machine}`, machine, state: 'ready' as const }));
    const lostMachines = (overrides: Partial<ScalerObservation>) =>
      decide(successor, { machines: [], ...overrides })
        .filter((d) => d.act.tag === 'orderLost')
        .map((d) => (d.act.tag === 'orderLost' ? s.controlState.orders[d.act.order]?.machine : null));
    expect(lostMachines({ workers })).toEqual([missing]);
    expect(lostMachines({ workers: null })).toEqual([]);
  });

  test('the target follows the rate after the hold time, and surplus spot workers are drained', () => {
    const s = createScenario(1, 1, { holdS: 3 });
    ticks(s, 4);
    const fast = { rates: { m: { perSecond: 3.5, complete: true } } };
    for (let i = 0; i < 6; i += 1) {
      fold(
        s,
        decide(s, fast).map((d) => d.act),
      );
      tick(s);
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

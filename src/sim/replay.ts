import { emptyControlState, foldBatch } from '../state/consensus/control-state.js';
import type { Command, MachineKind } from '../state/consensus/entry.js';
import { decideModel, ordersOfModel } from '../state/scaling/scaler-decide.js';
import { recordLaunchFailed } from '../state/scaling/scaler-memory.js';
import type { ScalerMemory } from '../state/scaling/scaler-memory.js';
import type { ObservedMachine } from '../state/scaling/scaler-observation.js';
import { resolveModel } from '../state/configuration/settings-tree.js';
import type { Configuration } from '../state/configuration/settings-tree.js';
import { createRng, exponential } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';

export const TRACES = ['calm', 'volatile', 'correlated', 'reported'] as const;
export type TraceName = (typeof TRACES)[number];
export const BUYERS = ['skyserve', 'staticSpread', 'roundRobin', 'onDemandOnly'] as const;
export type BuyerName = (typeof BUYERS)[number];

export type Trace = {
  readonly zones: readonly string[];
  readonly regionOf: Readonly<Record<string, string>>;
  readonly room: (zone: string, step: number) => number;
  readonly steps: number;
};

export type ReplayEnd = {
  readonly cost: number;
  readonly availability: number;
  readonly preemptions: number;
  readonly failedLaunches: number;
  readonly launches: number;
};

export type ReplayRule = {
  readonly target: number;
  readonly nExtra: number;
  readonly holdS: number;
  readonly hours: number;
  readonly demand?: (nowS: number) => number;
};

const STEP_S = 20;
const COLD_START_S = 183;
const SPOT_PRICE = 1;
const ON_DEMAND_PRICE = 3;
const ROOM = 4;

type Habit = { readonly downEach: number; readonly upEach: number; readonly shared: number };
const HABITS: Readonly<Record<Exclude<TraceName, 'reported'>, Habit>> = {
  calm: { downEach: 30 * 3_600, upEach: 1_200, shared: 0.2 },
  volatile: { downEach: 3 * 3_600, upEach: 2_400, shared: 0.2 },
  correlated: { downEach: 5 * 3_600, upEach: 3_000, shared: 0.9 },
};

type Place = {
  readonly regions: readonly string[];
  readonly zones: readonly string[];
  readonly regionOf: Readonly<Record<string, string>>;
  readonly steps: number;
};

function placeOf(hours: number): Place {
  const regions = ['east', 'middle', 'west'];
  const zones: string[] = [];
  const regionOf: Record<string, string> = {};
  for (const region of regions) {
    for (let i = 1; i <= 3; i += 1) {
      zones.push(`${region}-${i}`);
      regionOf[`${region}-${i}`] = region;
    }
  }
  return { regions, zones, regionOf, steps: Math.floor((hours * 3_600) / STEP_S) };
}

const LEAST_AVAILABLE = 0.167;
const MOST_AVAILABLE = 0.904;
const REGION_DOWN: Readonly<Record<string, number>> = { east: 0.331, middle: 0.1, west: 0.02 };
const REGION_OUTAGE_S = 3 * 3_600;
const ZONE_OUTAGE_S = 3_600;

function alternating(rng: Rng, upShare: number, downS: number, steps: number): Uint8Array {
  const out = new Uint8Array(steps);
  const upS = (downS * upShare) / (1 - upShare);
  let up = rng.next() < upShare;
  for (let time = 0; time < steps;) {
    const lasts = Math.max(1, Math.round((exponential(rng) * (up ? upS : downS)) / STEP_S));
    if (up) out.fill(1, time, Math.min(steps, time + lasts));
    time += lasts;
    up = !up;
  }
  return out;
}

function reportedTrace(seed: number, hours: number): Trace {
  const { regions, zones, regionOf, steps } = placeOf(hours);
  const rng = createRng(seed * 65_537 + TRACES.indexOf('reported'));
  const regionUp = new Map<string, Uint8Array>();
  for (const region of regions)
    regionUp.set(region, alternating(rng, 1 - (REGION_DOWN[region] as number), REGION_OUTAGE_S, steps));
  const own = new Map<string, Uint8Array>();
  for (let i = 0; i < zones.length; i += 1) {
    const zone = zones[i] as string;
    const share = LEAST_AVAILABLE + ((MOST_AVAILABLE - LEAST_AVAILABLE) * i) / (zones.length - 1);
    own.set(
      zone,
      alternating(
        rng,
        Math.min(0.98, share / (1 - (REGION_DOWN[regionOf[zone] as string] as number))),
        ZONE_OUTAGE_S,
        steps,
      ),
    );
  }
  function room(zone: string, step: number): number {
    return regionUp.get(regionOf[zone] ?? '')?.[step] === 1 && own.get(zone)?.[step] === 1 ? ROOM : 0;
  }
  return { zones, regionOf, room, steps };
}

export function makeTrace(name: TraceName, seed: number, hours: number): Trace {
  if (name === 'reported') return reportedTrace(seed, hours);
  const habit = HABITS[name];
  const rng = createRng(seed * 65_537 + TRACES.indexOf(name));
  const { regions, zones, regionOf, steps } = placeOf(hours);
  const rooms = new Map<string, Uint8Array>();
  for (const zone of zones) rooms.set(zone, new Uint8Array(steps).fill(ROOM));

  function drought(zone: string, from: number): void {
    const length = Math.ceil((habit.upEach * (0.3 + 1.4 * rng.next())) / STEP_S);
    rooms.get(zone)?.fill(0, from, Math.min(steps, from + length));
  }
  for (const region of regions) {
    for (const zone of zones) {
      if (regionOf[zone] !== region) continue;
      for (let time = 0; time < steps; time += 1) {
        if (rng.next() > STEP_S / habit.downEach) continue;
        drought(zone, time);
        for (const other of zones)
          if (other !== zone && regionOf[other] === region && rng.next() < habit.shared)
            drought(other, Math.min(steps - 1, time + Math.floor(rng.next() * 6)));
      }
    }
  }
  function room(zone: string, step: number): number {
    return rooms.get(zone)?.[step] ?? 0;
  }
  return { zones, regionOf, room, steps };
}

type Instance = {
  readonly id: string;
  readonly key: string;
  readonly zone: string;
  readonly kind: MachineKind;
  readonly readyAt: number;
};

type Buyer = {
  readonly wants: (
    now: number,
    live: readonly Instance[],
  ) => readonly { readonly key: string; readonly zone: string; readonly kind: MachineKind }[];
  readonly launched: (i: Instance, now: number) => void;
  readonly failed: (key: string, zone: string, kind: MachineKind, now: number) => void;
  readonly lost: (i: Instance, now: number) => void;
  readonly drops: (now: number) => readonly string[];
};

export function dayOf(seed: number): (nowS: number) => number {
  const rng = createRng(seed);
  const bumps: number[] = [];
  for (let i = 0; i < 24 * 14; i += 1) bumps.push(rng.next() < 0.2 ? 3 * rng.next() : 0);
  function demand(nowS: number): number {
    const hour = nowS / 3_600;
    const wave = 5 + 3 * Math.sin((2 * Math.PI * (hour - 8)) / 24);
    const bump = (hour % 1) * 60 < 12 ? (bumps[Math.floor(hour) % bumps.length] ?? 0) : 0;
    return wave + bump;
  }
  return demand;
}

export function replay(trace: Trace, name: BuyerName, rule: ReplayRule): ReplayEnd {
  const buyer = name === 'skyserve' ? skyserve(trace, rule) : baseline(name, trace, rule);
  let live: Instance[] = [];
  let serial = 0;
  let cost = 0;
  let up = 0;
  let preemptions = 0;
  let failedLaunches = 0;
  for (let step = 0; step < trace.steps; step += 1) {
    const now = step * STEP_S;
    for (const zone of trace.zones) {
      const inZone: Instance[] = [];
      for (const i of live) if (i.kind === 'spot' && i.zone === zone) inZone.push(i);
      for (let count = inZone.length; count > trace.room(zone, step); count -= 1) {
        const victim = inZone[count - 1] as Instance;
        live = live.filter(isNot(victim.id));
        preemptions += 1;
        buyer.lost(victim, now);
      }
    }
    for (const want of buyer.wants(now, live)) {
      let held = 0;
      for (const i of live) if (i.kind === 'spot' && i.zone === want.zone) held += 1;
      if (want.kind === 'spot' && held >= trace.room(want.zone, step)) {
        failedLaunches += 1;
        buyer.failed(want.key, want.zone, want.kind, now);
        continue;
      }
      serial += 1;
      const made: Instance = {
        id: `m${serial}`,
        key: want.key,
        zone: want.zone,
        kind: want.kind,
        readyAt: now + COLD_START_S,
      };
      live.push(made);
      buyer.launched(made, now);
    }
    for (const id of buyer.drops(now)) live = live.filter(isNot(id));
    let ready = 0;
    for (const i of live) {
      if (i.readyAt <= now) ready += 1;
      cost += i.kind === 'spot' ? SPOT_PRICE : ON_DEMAND_PRICE;
    }
    if (ready >= (rule.demand ? Math.ceil(rule.demand(now)) : rule.target)) up += 1;
  }
  return {
    cost: cost / (trace.steps * rule.target * ON_DEMAND_PRICE),
    availability: up / trace.steps,
    preemptions,
    failedLaunches,
    launches: serial,
  };
}

function isNot(id: string): (i: Instance) => boolean {
  function differs(i: Instance): boolean {
    return i.id !== id;
  }
  return differs;
}

function skyserve(trace: Trace, rule: ReplayRule): Buyer {
  const zones: Record<string, { region: string }> = {};
  const prices: Record<string, { spot: number; onDemand: number }> = {};
  for (const zone of trace.zones) {
    zones[zone] = { region: trace.regionOf[zone] as string };
    prices[zone] = { spot: SPOT_PRICE, onDemand: ON_DEMAND_PRICE };
  }
  const configuration: Configuration = {
    zones,
    deployment: { nExtra: rule.nExtra, minTarget: rule.target, holdS: rule.holdS },
    regions: { east: { models: { m: {} } } },
  };
  const controlState = { ...emptyControlState(), configuration };
  const resolved = resolveModel(configuration, 'east', 'm');
  const memory: ScalerMemory = new Map();
  const machines = new Map<string, Instance>();
  const seen = new Set<string>();
  let serial = 0;
  let failedIn: string[] = [];

  function fold(acts: readonly Command[], wall: number): void {
    const entries = [];
    for (const command of acts) {
      serial += 1;
      entries.push({ id: `e${serial}`, author: 'replay', wall, cause: '-', act: command });
    }
    foldBatch(controlState, controlState.slot + 1, { id: `b${serial}`, entries });
  }
  function nextId(): string {
    serial += 1;
    return `o${serial}`;
  }
  function wants(
    now: number,
    live: readonly Instance[],
  ): readonly { readonly key: string; readonly zone: string; readonly kind: MachineKind }[] {
    const listed: ObservedMachine[] = [];
    const workers = [];
    for (const i of live) {
      listed.push({ id: i.id, key: i.key, zone: i.zone, state: 'running' });
      workers.push({ id: i.id, machine: i.id, state: i.readyAt <= now ? ('ready' as const) : ('loading' as const) });
    }
    const decisions = decideModel(
      resolved,
      controlState,
      {
        now: now * 1_000,
        workers,
        machines: listed,
        prices,
        rates: rule.demand ? { m: { perSecond: rule.demand(now), complete: true } } : {},
        deadMachines: new Set(),
        failedSpotZones: failedIn,
        asOfSlot: controlState.slot,
        knownMachines: seen,
      },
      memory,
      nextId,
    );
    failedIn = [];
    const acts: Command[] = [];
    for (const decision of decisions) acts.push(decision.act);
    fold(acts, now * 1_000);
    const out = [];
    for (const order of ordersOfModel(controlState, 'm'))
      if (order.status === 'intended') out.push({ key: order.id, zone: order.zone, kind: order.kind });
    return out;
  }
  function launched(i: Instance, now: number): void {
    machines.set(i.id, i);
    seen.add(i.id);
    fold([{ tag: 'orderPlaced', order: i.key, machine: i.id }], now * 1_000);
  }
  function failed(key: string, zone: string, kind: MachineKind, now: number): void {
    recordLaunchFailed(memory, 'm', kind, zone, now * 1_000);
    if (kind === 'spot') failedIn.push(zone);
    fold([{ tag: 'orderFailed', order: key }], now * 1_000);
  }
  function lost(i: Instance): void {
    machines.delete(i.id);
  }
  function drops(now: number): readonly string[] {
    const out: string[] = [];
    for (const order of ordersOfModel(controlState, 'm')) {
      if (order.status !== 'draining') continue;
      if (order.machine !== null) out.push(order.machine);
      fold([{ tag: 'orderReleased', order: order.id }], now * 1_000);
    }
    return out;
  }
  return { wants, launched, failed, lost, drops };
}

function baseline(name: Exclude<BuyerName, 'skyserve'>, trace: Trace, rule: ReplayRule): Buyer {
  const wanted = name === 'onDemandOnly' ? rule.target : rule.target + rule.nExtra;
  let turn = 0;
  let serial = 0;
  function wants(
    _now: number,
    live: readonly Instance[],
  ): readonly { readonly key: string; readonly zone: string; readonly kind: MachineKind }[] {
    const out = [];
    const held = new Map<string, number>();
    for (const i of live) held.set(i.zone, (held.get(i.zone) ?? 0) + 1);
    for (let count = live.length; count < wanted; count += 1) {
      serial += 1;
      const zone = name === 'staticSpread' ? leastHeld(held) : (trace.zones[turn % trace.zones.length] as string);
      turn += 1;
      held.set(zone, (held.get(zone) ?? 0) + 1);
      out.push({ key: `k${serial}`, zone, kind: name === 'onDemandOnly' ? ('onDemand' as const) : ('spot' as const) });
    }
    return out;
  }
  function leastHeld(held: ReadonlyMap<string, number>): string {
    let best = trace.zones[0] as string;
    for (const zone of trace.zones) if ((held.get(zone) ?? 0) < (held.get(best) ?? 0)) best = zone;
    return best;
  }
  function nothing(): void {}
  function none(): readonly string[] {
    return [];
  }
  return { wants, launched: nothing, failed: nothing, lost: nothing, drops: none };
}

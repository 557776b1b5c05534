/**
 * Replays traces of spot capacity against the scaler and against simpler launch policies, and measures their cost and
 * availability. Prices are relative to one spot machine per step.
 */
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

/** Traces of spot capacity; `reported` uses the availabilities of zones and regions in the constants below. */
export const TRACES = ['calm', 'volatile', 'correlated', 'reported'] as const;
/** Name of a trace. Its position in `TRACES` is part of the seed that `makeTrace` uses. */
export type TraceName = (typeof TRACES)[number];
/** Launch policies: `skyserve` is the scaler of this project, the others are baselines. */
export const BUYERS = ['skyserve', 'staticSpread', 'roundRobin', 'onDemandOnly'] as const;
/** Name of a launch policy, which `replay` runs and tools/replay.mjs prints. */
export type BuyerName = (typeof BUYERS)[number];

/** Spot capacity of each zone over time; `room` returns the number of spot machines that a zone can hold at a step. */
export type Trace = {
  readonly zones: readonly string[];
  readonly regionOf: Readonly<Record<string, string>>;
  readonly room: (zone: string, step: number) => number;
  readonly steps: number;
};

/**
 * Result of a replay: `cost` is relative to running the target on demand, `availability` is the share of steps with
 * enough ready machines.
 */
export type ReplayResult = {
  readonly cost: number;
  readonly availability: number;
  readonly preemptions: number;
  readonly failedLaunches: number;
  readonly launches: number;
};

/**
 * Settings of a replay; with `demand`, the scaler is given this request rate and availability is measured against it.
 */
export type ReplaySettings = {
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
const ZONE_CAPACITY = 4;

type OutageProfile = {
  readonly meanOutageIntervalS: number;
  readonly meanOutageS: number;
  readonly spreadProbability: number;
};
const OUTAGE_PROFILES: Readonly<Record<Exclude<TraceName, 'reported'>, OutageProfile>> = {
  calm: { meanOutageIntervalS: 30 * 3_600, meanOutageS: 1_200, spreadProbability: 0.2 },
  volatile: { meanOutageIntervalS: 3 * 3_600, meanOutageS: 2_400, spreadProbability: 0.2 },
  correlated: { meanOutageIntervalS: 5 * 3_600, meanOutageS: 3_000, spreadProbability: 0.9 },
};

type TraceLayout = {
  readonly regions: readonly string[];
  readonly zones: readonly string[];
  readonly regionOf: Readonly<Record<string, string>>;
  readonly steps: number;
};

function createTraceLayout(hours: number): TraceLayout {
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

const MIN_ZONE_AVAILABILITY = 0.167;
const MAX_ZONE_AVAILABILITY = 0.904;
const REGION_DOWNTIME_SHARE: Readonly<Record<string, number>> = { east: 0.331, middle: 0.1, west: 0.02 };
const REGION_OUTAGE_S = 3 * 3_600;
const ZONE_OUTAGE_S = 3_600;

function createUpDownSeries(rng: Rng, upShare: number, downS: number, steps: number): Uint8Array {
  const out = new Uint8Array(steps);
  const upS = (downS * upShare) / (1 - upShare);
  let isUp = rng.next() < upShare;
  for (let step = 0; step < steps;) {
    const durationSteps = Math.max(1, Math.round((exponential(rng) * (isUp ? upS : downS)) / STEP_S));
    if (isUp) out.fill(1, step, Math.min(steps, step + durationSteps));
    step += durationSteps;
    isUp = !isUp;
  }
  return out;
}

function reportedTrace(seed: number, hours: number): Trace {
  const { regions, zones, regionOf, steps } = createTraceLayout(hours);
  const rng = createRng(seed * 65_537 + TRACES.indexOf('reported'));
  const regionUp = new Map<string, Uint8Array>();
  for (const region of regions)
    regionUp.set(
      region,
      createUpDownSeries(rng, 1 - (REGION_DOWNTIME_SHARE[region] as number), REGION_OUTAGE_S, steps),
    );
  const zoneUp = new Map<string, Uint8Array>();
  for (let i = 0; i < zones.length; i += 1) {
    const zone = zones[i] as string;
    const share = MIN_ZONE_AVAILABILITY + ((MAX_ZONE_AVAILABILITY - MIN_ZONE_AVAILABILITY) * i) / (zones.length - 1);
    zoneUp.set(
      zone,
      createUpDownSeries(
        rng,
        Math.min(0.98, share / (1 - (REGION_DOWNTIME_SHARE[regionOf[zone] as string] as number))),
        ZONE_OUTAGE_S,
        steps,
      ),
    );
  }
  function room(zone: string, step: number): number {
    return regionUp.get(regionOf[zone] ?? '')?.[step] === 1 && zoneUp.get(zone)?.[step] === 1 ? ZONE_CAPACITY : 0;
  }
  return { zones, regionOf, room, steps };
}

/** Generates a trace from a seed. */
export function makeTrace(name: TraceName, seed: number, hours: number): Trace {
  if (name === 'reported') return reportedTrace(seed, hours);
  const profile = OUTAGE_PROFILES[name];
  const rng = createRng(seed * 65_537 + TRACES.indexOf(name));
  const { regions, zones, regionOf, steps } = createTraceLayout(hours);
  const capacityByZone = new Map<string, Uint8Array>();
  for (const zone of zones) capacityByZone.set(zone, new Uint8Array(steps).fill(ZONE_CAPACITY));

  function addOutage(zone: string, from: number): void {
    const length = Math.ceil((profile.meanOutageS * (0.3 + 1.4 * rng.next())) / STEP_S);
    capacityByZone.get(zone)?.fill(0, from, Math.min(steps, from + length));
  }
  for (const region of regions) {
    for (const zone of zones) {
      if (regionOf[zone] !== region) continue;
      for (let step = 0; step < steps; step += 1) {
        if (rng.next() > STEP_S / profile.meanOutageIntervalS) continue;
        addOutage(zone, step);
        for (const other of zones)
          if (other !== zone && regionOf[other] === region && rng.next() < profile.spreadProbability)
            addOutage(other, Math.min(steps - 1, step + Math.floor(rng.next() * 6)));
      }
    }
  }
  function room(zone: string, step: number): number {
    return capacityByZone.get(zone)?.[step] ?? 0;
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

/** A launch policy: decides which machines to launch and release, and is notified of launches, failures and losses. */
type Buyer = {
  readonly decideLaunches: (
    now: number,
    live: readonly Instance[],
  ) => readonly { readonly key: string; readonly zone: string; readonly kind: MachineKind }[];
  readonly launched: (i: Instance, now: number) => void;
  readonly failed: (key: string, zone: string, kind: MachineKind, now: number) => void;
  readonly lost: (i: Instance, now: number) => void;
  readonly releaseMachines: (now: number) => readonly string[];
};

/** Returns a demand curve with a daily wave and, at the start of some hours, a peak of 12 minutes. */
export function dayOf(seed: number): (nowS: number) => number {
  const rng = createRng(seed);
  const peaks: number[] = [];
  for (let i = 0; i < 24 * 14; i += 1) peaks.push(rng.next() < 0.2 ? 3 * rng.next() : 0);
  function demand(nowS: number): number {
    const hour = nowS / 3_600;
    const wave = 5 + 3 * Math.sin((2 * Math.PI * (hour - 8)) / 24);
    const peak = (hour % 1) * 60 < 12 ? (peaks[Math.floor(hour) % peaks.length] ?? 0) : 0;
    return wave + peak;
  }
  return demand;
}

/** Runs a launch policy over a trace. */
export function replay(trace: Trace, name: BuyerName, settings: ReplaySettings): ReplayResult {
  const buyer = name === 'skyserve' ? skyserve(trace, settings) : baseline(name, trace, settings);
  let live: Instance[] = [];
  let serial = 0;
  let cost = 0;
  let stepsUp = 0;
  let preemptions = 0;
  let failedLaunches = 0;
  for (let step = 0; step < trace.steps; step += 1) {
    const now = step * STEP_S;
    for (const zone of trace.zones) {
      const inZone: Instance[] = [];
      for (const i of live) if (i.kind === 'spot' && i.zone === zone) inZone.push(i);
      for (let count = inZone.length; count > trace.room(zone, step); count -= 1) {
        const victim = inZone[count - 1] as Instance;
        live = live.filter(hasOtherId(victim.id));
        preemptions += 1;
        buyer.lost(victim, now);
      }
    }
    for (const launch of buyer.decideLaunches(now, live)) {
      let spotCount = 0;
      for (const i of live) if (i.kind === 'spot' && i.zone === launch.zone) spotCount += 1;
      if (launch.kind === 'spot' && spotCount >= trace.room(launch.zone, step)) {
        failedLaunches += 1;
        buyer.failed(launch.key, launch.zone, launch.kind, now);
        continue;
      }
      serial += 1;
      const instance: Instance = {
        id: `m${serial}`,
        key: launch.key,
        zone: launch.zone,
        kind: launch.kind,
        readyAt: now + COLD_START_S,
      };
      live.push(instance);
      buyer.launched(instance, now);
    }
    for (const id of buyer.releaseMachines(now)) live = live.filter(hasOtherId(id));
    let readyCount = 0;
    for (const i of live) {
      if (i.readyAt <= now) readyCount += 1;
      cost += i.kind === 'spot' ? SPOT_PRICE : ON_DEMAND_PRICE;
    }
    if (readyCount >= (settings.demand ? Math.ceil(settings.demand(now)) : settings.target)) stepsUp += 1;
  }
  return {
    cost: cost / (trace.steps * settings.target * ON_DEMAND_PRICE),
    availability: stepsUp / trace.steps,
    preemptions,
    failedLaunches,
    launches: serial,
  };
}

function hasOtherId(id: string): (i: Instance) => boolean {
  function hasDifferentId(i: Instance): boolean {
    return i.id !== id;
  }
  return hasDifferentId;
}

/** The scaler of this project, with its decisions applied to a control state. */
function skyserve(trace: Trace, settings: ReplaySettings): Buyer {
  const zones: Record<string, { region: string }> = {};
  const prices: Record<string, { spot: number; onDemand: number }> = {};
  for (const zone of trace.zones) {
    zones[zone] = { region: trace.regionOf[zone] as string };
    prices[zone] = { spot: SPOT_PRICE, onDemand: ON_DEMAND_PRICE };
  }
  const configuration: Configuration = {
    zones,
    deployment: { nExtra: settings.nExtra, minTarget: settings.target, holdS: settings.holdS },
    regions: { east: { models: { m: {} } } },
  };
  const controlState = { ...emptyControlState(), configuration };
  const resolved = resolveModel(configuration, 'east', 'm');
  const memory: ScalerMemory = new Map();
  const machines = new Map<string, Instance>();
  const seen = new Set<string>();
  let serial = 0;
  let failedIn: string[] = [];

  function fold(commands: readonly Command[], wall: number): void {
    const entries = [];
    for (const command of commands) {
      serial += 1;
      entries.push({ id: `e${serial}`, author: 'replay', wall, cause: '-', act: command });
    }
    foldBatch(controlState, controlState.slot + 1, { id: `b${serial}`, entries });
  }
  function nextId(): string {
    serial += 1;
    return `o${serial}`;
  }
  function decideLaunches(
    now: number,
    live: readonly Instance[],
  ): readonly { readonly key: string; readonly zone: string; readonly kind: MachineKind }[] {
    const observedMachines: ObservedMachine[] = [];
    const workers = [];
    for (const i of live) {
      observedMachines.push({ id: i.id, key: i.key, zone: i.zone, state: 'running' });
      workers.push({ id: i.id, machine: i.id, state: i.readyAt <= now ? ('ready' as const) : ('loading' as const) });
    }
    const decisions = decideModel(
      resolved,
      controlState,
      {
        now: now * 1_000,
        workers,
        machines: observedMachines,
        prices,
        rates: settings.demand ? { m: { perSecond: settings.demand(now), complete: true } } : {},
        deadMachines: new Set(),
        failedSpotZones: failedIn,
        asOfSlot: controlState.slot,
        knownMachines: seen,
      },
      memory,
      nextId,
    );
    failedIn = [];
    const commands: Command[] = [];
    for (const decision of decisions) commands.push(decision.act);
    fold(commands, now * 1_000);
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
  function releaseMachines(now: number): readonly string[] {
    const out: string[] = [];
    for (const order of ordersOfModel(controlState, 'm')) {
      if (order.status !== 'draining') continue;
      if (order.machine !== null) out.push(order.machine);
      fold([{ tag: 'orderReleased', order: order.id }], now * 1_000);
    }
    return out;
  }
  return { decideLaunches, launched, failed, lost, releaseMachines };
}

/** A policy that keeps a fixed number of machines. */
function baseline(name: Exclude<BuyerName, 'skyserve'>, trace: Trace, settings: ReplaySettings): Buyer {
  const instanceCount = name === 'onDemandOnly' ? settings.target : settings.target + settings.nExtra;
  let nextZone = 0;
  let serial = 0;
  function decideLaunches(
    _now: number,
    live: readonly Instance[],
  ): readonly { readonly key: string; readonly zone: string; readonly kind: MachineKind }[] {
    const out = [];
    const countByZone = new Map<string, number>();
    for (const i of live) countByZone.set(i.zone, (countByZone.get(i.zone) ?? 0) + 1);
    for (let count = live.length; count < instanceCount; count += 1) {
      serial += 1;
      const zone =
        name === 'staticSpread' ? leastUsedZone(countByZone) : (trace.zones[nextZone % trace.zones.length] as string);
      nextZone += 1;
      countByZone.set(zone, (countByZone.get(zone) ?? 0) + 1);
      out.push({ key: `k${serial}`, zone, kind: name === 'onDemandOnly' ? ('onDemand' as const) : ('spot' as const) });
    }
    return out;
  }
  function leastUsedZone(held: ReadonlyMap<string, number>): string {
    let best = trace.zones[0] as string;
    for (const zone of trace.zones) if ((held.get(zone) ?? 0) < (held.get(best) ?? 0)) best = zone;
    return best;
  }
  function noop(): void {}
  function noMachines(): readonly string[] {
    return [];
  }
  return { decideLaunches, launched: noop, failed: noop, lost: noop, releaseMachines: noMachines };
}

/** Discrete event simulation of hosts and processes, with a clock, a network topology and process pauses. */
import { Heap } from 'mnemonist';
import type { Clock, Timer } from '../transport/clock.js';
import { yieldToEventLoop } from '../transport/clock.js';
import { createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address } from '../transport/wire.js';

type ScheduledEvent = {
  readonly at: number;
  readonly seq: number;
  readonly callback: () => void;
  isCancelled: boolean;
};

/**
 * A simulated machine. `life` counts the processes that ran on it; `frozen` pauses the process, whose callbacks wait in
 * `deferredCallbacks`; `wallOffset` shifts its wall clock, in milliseconds.
 */
export type Host = {
  readonly name: string;
  readonly zone: string;
  life: number;
  running: boolean;
  frozen: boolean;
  powered: boolean;
  wallOffset: number;
  readonly deferredCallbacks: (() => void)[];
};

/** One process on a host; it is alive until the host is killed or starts another process. */
export type Proc = { readonly host: Host; readonly life: number };

/** The simulation. Callbacks with the same due time run in the order in which they were scheduled. */
export type World = {
  readonly rng: Rng;
  readonly now: () => number;
  /** Schedules a callback after a delay in milliseconds. */
  readonly at: (ms: number, callback: () => void) => Timer;
  /** Returns the host of this name and creates it if needed. */
  readonly host: (name: string, zone: string) => Host;
  readonly hosts: () => readonly Host[];
  /** Starts a new process on a host; any process before it is no longer alive. */
  readonly startProcess: (host: Host) => Proc;
  readonly alive: (proc: Proc) => boolean;
  readonly clockOf: (proc: Proc) => Clock;
  /** Runs a callback in a process: not at all if the process is dead, and after the thaw if it is frozen. */
  readonly run: (proc: Proc, callback: () => void) => void;
  readonly kill: (host: Host) => void;
  readonly freeze: (host: Host) => void;
  readonly thaw: (host: Host) => void;
  /** Records which host an address belongs to. */
  readonly registerAddress: (address: Address, host: Host) => void;
  readonly ownerOf: (address: Address) => Host | null;
  /** Cuts the link from one host to another, in this direction only. */
  readonly cut: (from: string, to: string) => void;
  readonly heal: (from: string, to: string) => void;
  readonly healAll: () => void;
  readonly isCut: (from: Host, to: Host) => boolean;
  /** Whether a link from or to this host is cut. */
  readonly isTouched: (name: string) => boolean;
  readonly onHeal: (callback: () => void) => void;
  readonly onKill: (callback: (host: Host) => void) => void;
  readonly setDelay: (zoneA: string, zoneB: string, ms: number) => void;
  /** Draws the one-way delay of a frame between two hosts, in milliseconds. */
  readonly delay: (from: Host, to: Host) => number;
  /** Runs the simulation for this many milliseconds. */
  readonly advance: (ms: number, afterStep?: () => void) => Promise<void>;
  /** Runs the simulation until the test passes; false after the time limit. */
  readonly until: (limitMs: number, test: () => boolean, afterStep?: () => void) => Promise<boolean>;
  /** Number of events handled so far. */
  readonly events: () => number;
};

/** Wall clock time at the start of a simulation, in milliseconds since the epoch. */
export const SIM_START_WALL_MS = 1_800_000_000_000;
const SAME_ZONE_MS = 0.3;

function compareEvents(left: ScheduledEvent, right: ScheduledEvent): number {
  return left.at - right.at || left.seq - right.seq;
}

/** Creates a simulation with a seeded random number generator. */
export function createWorld(seed: number): World {
  const rng = createRng(seed);
  const heap = new Heap<ScheduledEvent>(compareEvents);
  const hosts = new Map<string, Host>();
  const owners = new Map<Address, Host>();
  const cuts = new Set<string>();
  const delays = new Map<string, number>();
  const healListeners: (() => void)[] = [];
  const killListeners: ((host: Host) => void)[] = [];
  let time = 0;
  let seq = 0;
  let handledEvents = 0;

  function now(): number {
    return time;
  }
  function at(ms: number, callback: () => void): Timer {
    const event: ScheduledEvent = { at: time + Math.max(0, ms), seq: (seq += 1), callback, isCancelled: false };
    heap.push(event);
    function cancel(): void {
      event.isCancelled = true;
    }
    return { cancel };
  }
  function host(name: string, zone: string): Host {
    const existing = hosts.get(name);
    if (existing) return existing;
    const created: Host = {
      name,
      zone,
      life: 0,
      running: false,
      frozen: false,
      powered: true,
      wallOffset: 0,
      deferredCallbacks: [],
    };
    hosts.set(name, created);
    return created;
  }
  function allHosts(): readonly Host[] {
    return [...hosts.values()];
  }
  function startProcess(host: Host): Proc {
    host.life += 1;
    host.running = true;
    host.frozen = false;
    host.powered = true;
    host.deferredCallbacks.length = 0;
    return { host, life: host.life };
  }
  function alive(proc: Proc): boolean {
    return proc.host.running && proc.host.life === proc.life;
  }
  function run(proc: Proc, callback: () => void): void {
    if (!alive(proc)) return;
    if (proc.host.frozen) {
      proc.host.deferredCallbacks.push(runIfAlive);
      return;
    }
    callback();
    function runIfAlive(): void {
      if (alive(proc)) callback();
    }
  }
  function clockOf(proc: Proc): Clock {
    function mono(): number {
      return time;
    }
    function wall(): number {
      return SIM_START_WALL_MS + time + proc.host.wallOffset;
    }
    function timer(ms: number, callback: () => void): Timer {
      function fire(): void {
        run(proc, fired);
      }
      let isCancelled = false;
      function fired(): void {
        if (!isCancelled) callback();
      }
      const scheduled = at(ms, fire);
      function cancel(): void {
        isCancelled = true;
        scheduled.cancel();
      }
      return { cancel };
    }
    return { mono, wall, timer };
  }
  function kill(host: Host): void {
    if (!host.running) return;
    host.running = false;
    host.frozen = false;
    host.deferredCallbacks.length = 0;
    for (const callback of killListeners) callback(host);
  }
  function freeze(host: Host): void {
    host.frozen = true;
  }
  function thaw(host: Host): void {
    host.frozen = false;
    const callbacks = host.deferredCallbacks.splice(0);
    for (const callback of callbacks) callback();
  }
  function registerAddress(address: Address, host: Host): void {
    owners.set(address, host);
  }
  function ownerOf(address: Address): Host | null {
    return owners.get(address) ?? null;
  }
  function cut(from: string, to: string): void {
    cuts.add(`${from}>${to}`);
  }
  function heal(from: string, to: string): void {
    cuts.delete(`${from}>${to}`);
    for (const callback of healListeners) callback();
  }
  function healAll(): void {
    cuts.clear();
    for (const callback of healListeners) callback();
  }
  function isCut(from: Host, to: Host): boolean {
    return cuts.has(`${from.name}>${to.name}`);
  }
  function isTouched(name: string): boolean {
    if (cuts.size === 0) return false;
    for (const pair of cuts) if (pair.startsWith(`${name}>`) || pair.endsWith(`>${name}`)) return true;
    return false;
  }
  function setDelay(zoneA: string, zoneB: string, ms: number): void {
    delays.set(`${zoneA}|${zoneB}`, ms);
    delays.set(`${zoneB}|${zoneA}`, ms);
  }
  function delay(from: Host, to: Host): number {
    const base = from.zone === to.zone ? SAME_ZONE_MS : (delays.get(`${from.zone}|${to.zone}`) ?? 1);
    return base * (1 + 0.2 * rng.next()) + 0.1 * rng.next();
  }

  async function step(limit: number): Promise<boolean> {
    const next = heap.peek();
    if (!next || next.at > limit) return false;
    heap.pop();
    time = next.at;
    if (next.isCancelled) return true;
    handledEvents += 1;
    next.callback();
    await yieldToEventLoop();
    return true;
  }
  async function advance(ms: number, afterStep?: () => void): Promise<void> {
    const end = time + ms;
    await yieldToEventLoop();
    while (await step(end)) afterStep?.();
    time = end;
  }
  async function until(limitMs: number, test: () => boolean, afterStep?: () => void): Promise<boolean> {
    const end = time + limitMs;
    await yieldToEventLoop();
    while (!test()) {
      if (!(await step(end))) return test();
      afterStep?.();
    }
    return true;
  }
  function events(): number {
    return handledEvents;
  }
  function onHeal(callback: () => void): void {
    healListeners.push(callback);
  }
  function onKill(callback: (host: Host) => void): void {
    killListeners.push(callback);
  }
  return {
    rng,
    now,
    at,
    host,
    hosts: allHosts,
    startProcess,
    alive,
    clockOf,
    run,
    kill,
    freeze,
    thaw,
    registerAddress,
    ownerOf,
    cut,
    heal,
    healAll,
    isCut,
    isTouched,
    onHeal,
    onKill,
    setDelay,
    delay,
    advance,
    until,
    events,
  };
}

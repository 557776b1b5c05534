import { Heap } from 'mnemonist';
import type { Clock, Timer } from '../transport/clock.js';
import { yieldToEventLoop } from '../transport/clock.js';
import { createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address } from '../transport/wire.js';

type Event = { readonly at: number; readonly seq: number; readonly callback: () => void; off: boolean };

export type Host = {
  readonly name: string;
  readonly zone: string;
  life: number;
  running: boolean;
  frozen: boolean;
  powered: boolean;
  wallOffset: number;
  readonly parked: (() => void)[];
};

export type Proc = { readonly host: Host; readonly life: number };

export type World = {
  readonly rng: Rng;
  readonly now: () => number;
  readonly at: (ms: number, callback: () => void) => Timer;
  readonly host: (name: string, zone: string) => Host;
  readonly hosts: () => readonly Host[];
  readonly begin: (host: Host) => Proc;
  readonly alive: (proc: Proc) => boolean;
  readonly clockOf: (proc: Proc) => Clock;
  readonly run: (proc: Proc, callback: () => void) => void;
  readonly kill: (host: Host) => void;
  readonly freeze: (host: Host) => void;
  readonly thaw: (host: Host) => void;
  readonly own: (address: Address, host: Host) => void;
  readonly ownerOf: (address: Address) => Host | null;
  readonly cut: (from: string, to: string) => void;
  readonly heal: (from: string, to: string) => void;
  readonly healAll: () => void;
  readonly isCut: (from: Host, to: Host) => boolean;
  readonly isTouched: (name: string) => boolean;
  readonly onHeal: (callback: () => void) => void;
  readonly onKill: (callback: (host: Host) => void) => void;
  readonly setDelay: (zoneA: string, zoneB: string, ms: number) => void;
  readonly delay: (from: Host, to: Host) => number;
  readonly advance: (ms: number, everyStep?: () => void) => Promise<void>;
  readonly until: (limitMs: number, test: () => boolean, everyStep?: () => void) => Promise<boolean>;
  readonly events: () => number;
};

export const SIM_WALL = 1_800_000_000_000;
const SAME_ZONE_MS = 0.3;

function earlier(left: Event, right: Event): number {
  return left.at - right.at || left.seq - right.seq;
}

export function createWorld(seed: number): World {
  const rng = createRng(seed);
  const heap = new Heap<Event>(earlier);
  const hosts = new Map<string, Host>();
  const owners = new Map<Address, Host>();
  const cuts = new Set<string>();
  const delays = new Map<string, number>();
  const healers: (() => void)[] = [];
  const killers: ((host: Host) => void)[] = [];
  let time = 0;
  let seq = 0;
  let handled = 0;

  function now(): number {
    return time;
  }
  function at(ms: number, callback: () => void): Timer {
    const event: Event = { at: time + Math.max(0, ms), seq: (seq += 1), callback, off: false };
    heap.push(event);
    function cancel(): void {
      event.off = true;
    }
    return { cancel };
  }
  function host(name: string, zone: string): Host {
    const have = hosts.get(name);
    if (have) return have;
    const made: Host = { name, zone, life: 0, running: false, frozen: false, powered: true, wallOffset: 0, parked: [] };
    hosts.set(name, made);
    return made;
  }
  function allHosts(): readonly Host[] {
    return [...hosts.values()];
  }
  function begin(host: Host): Proc {
    host.life += 1;
    host.running = true;
    host.frozen = false;
    host.powered = true;
    host.parked.length = 0;
    return { host, life: host.life };
  }
  function alive(proc: Proc): boolean {
    return proc.host.running && proc.host.life === proc.life;
  }
  function run(proc: Proc, callback: () => void): void {
    if (!alive(proc)) return;
    if (proc.host.frozen) {
      proc.host.parked.push(later);
      return;
    }
    callback();
    function later(): void {
      if (alive(proc)) callback();
    }
  }
  function clockOf(proc: Proc): Clock {
    function mono(): number {
      return time;
    }
    function wall(): number {
      return SIM_WALL + time + proc.host.wallOffset;
    }
    function timer(ms: number, callback: () => void): Timer {
      function fire(): void {
        run(proc, fired);
      }
      let off = false;
      function fired(): void {
        if (!off) callback();
      }
      const inner = at(ms, fire);
      function cancel(): void {
        off = true;
        inner.cancel();
      }
      return { cancel };
    }
    return { mono, wall, timer };
  }
  function kill(host: Host): void {
    if (!host.running) return;
    host.running = false;
    host.frozen = false;
    host.parked.length = 0;
    for (const callback of killers) callback(host);
  }
  function freeze(host: Host): void {
    host.frozen = true;
  }
  function thaw(host: Host): void {
    host.frozen = false;
    const waiting = host.parked.splice(0);
    for (const callback of waiting) callback();
  }
  function own(address: Address, host: Host): void {
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
    for (const callback of healers) callback();
  }
  function healAll(): void {
    cuts.clear();
    for (const callback of healers) callback();
  }
  function isCut(from: Host, to: Host): boolean {
    return cuts.has(`${from.name}>${to.name}`);
  }
  function isTouched(name: string): boolean {
    if (cuts.size === 0) return false;
    for (const pair of cuts) if (pair.startsWith(`${name}>`) || pair.endsWith(`>${name}`)) return true;
    return false;
  }
  function setDelay(address: string, second: string, ms: number): void {
    delays.set(`${address}|${second}`, ms);
    delays.set(`${second}|${address}`, ms);
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
    if (next.off) return true;
    handled += 1;
    next.callback();
    await yieldToEventLoop();
    return true;
  }
  async function advance(ms: number, everyStep?: () => void): Promise<void> {
    const end = time + ms;
    await yieldToEventLoop();
    while (await step(end)) everyStep?.();
    time = end;
  }
  async function until(limitMs: number, test: () => boolean, everyStep?: () => void): Promise<boolean> {
    const end = time + limitMs;
    await yieldToEventLoop();
    while (!test()) {
      if (!(await step(end))) return test();
      everyStep?.();
    }
    return true;
  }
  function events(): number {
    return handled;
  }
  function onHeal(callback: () => void): void {
    healers.push(callback);
  }
  function onKill(callback: (host: Host) => void): void {
    killers.push(callback);
  }
  return {
    rng,
    now,
    at,
    host,
    hosts: allHosts,
    begin,
    alive,
    clockOf,
    run,
    kill,
    freeze,
    thaw,
    own,
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

import { Heap } from 'mnemonist';
import type { Clock, Timer } from '../transport/clock.js';
import { turnOver } from '../transport/clock.js';
import { createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { Address } from '../transport/wire.js';

type Event = { readonly at: number; readonly seq: number; readonly fn: () => void; off: boolean };

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
  readonly at: (ms: number, fn: () => void) => Timer;
  readonly host: (name: string, zone: string) => Host;
  readonly hosts: () => readonly Host[];
  readonly begin: (host: Host) => Proc;
  readonly alive: (proc: Proc) => boolean;
  readonly clockOf: (proc: Proc) => Clock;
  readonly run: (proc: Proc, fn: () => void) => void;
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
  readonly onHeal: (fn: () => void) => void;
  readonly onKill: (fn: (host: Host) => void) => void;
  readonly setDelay: (zoneA: string, zoneB: string, ms: number) => void;
  readonly delay: (from: Host, to: Host) => number;
  readonly advance: (ms: number, everyStep?: () => void) => Promise<void>;
  readonly until: (limitMs: number, test: () => boolean, everyStep?: () => void) => Promise<boolean>;
  readonly events: () => number;
};

export const SIM_WALL = 1_800_000_000_000;
const SAME_ZONE_MS = 0.3;

function earlier(a: Event, b: Event): number {
  return a.at - b.at || a.seq - b.seq;
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
  function at(ms: number, fn: () => void): Timer {
    const event: Event = { at: time + Math.max(0, ms), seq: (seq += 1), fn, off: false };
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
  function begin(h: Host): Proc {
    h.life += 1;
    h.running = true;
    h.frozen = false;
    h.powered = true;
    h.parked.length = 0;
    return { host: h, life: h.life };
  }
  function alive(p: Proc): boolean {
    return p.host.running && p.host.life === p.life;
  }
  function run(p: Proc, fn: () => void): void {
    if (!alive(p)) return;
    if (p.host.frozen) {
      p.host.parked.push(later);
      return;
    }
    fn();
    function later(): void {
      if (alive(p)) fn();
    }
  }
  function clockOf(p: Proc): Clock {
    function mono(): number {
      return time;
    }
    function wall(): number {
      return SIM_WALL + time + p.host.wallOffset;
    }
    function timer(ms: number, fn: () => void): Timer {
      function fire(): void {
        run(p, fired);
      }
      let off = false;
      function fired(): void {
        if (!off) fn();
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
  function kill(h: Host): void {
    if (!h.running) return;
    h.running = false;
    h.frozen = false;
    h.parked.length = 0;
    for (const fn of killers) fn(h);
  }
  function freeze(h: Host): void {
    h.frozen = true;
  }
  function thaw(h: Host): void {
    h.frozen = false;
    const waiting = h.parked.splice(0);
    for (const fn of waiting) fn();
  }
  function own(address: Address, h: Host): void {
    owners.set(address, h);
  }
  function ownerOf(address: Address): Host | null {
    return owners.get(address) ?? null;
  }
  function cut(from: string, to: string): void {
    cuts.add(`${from}>${to}`);
  }
  function heal(from: string, to: string): void {
    cuts.delete(`${from}>${to}`);
    for (const fn of healers) fn();
  }
  function healAll(): void {
    cuts.clear();
    for (const fn of healers) fn();
  }
  function isCut(from: Host, to: Host): boolean {
    return cuts.has(`${from.name}>${to.name}`);
  }
  function isTouched(name: string): boolean {
    if (cuts.size === 0) return false;
    for (const pair of cuts) if (pair.startsWith(`${name}>`) || pair.endsWith(`>${name}`)) return true;
    return false;
  }
  function setDelay(a: string, b: string, ms: number): void {
    delays.set(`${a}|${b}`, ms);
    delays.set(`${b}|${a}`, ms);
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
    next.fn();
    await turnOver();
    return true;
  }
  async function advance(ms: number, everyStep?: () => void): Promise<void> {
    const end = time + ms;
    await turnOver();
    while (await step(end)) everyStep?.();
    time = end;
  }
  async function until(limitMs: number, test: () => boolean, everyStep?: () => void): Promise<boolean> {
    const end = time + limitMs;
    await turnOver();
    while (!test()) {
      if (!(await step(end))) return test();
      everyStep?.();
    }
    return true;
  }
  function events(): number {
    return handled;
  }
  function onHeal(fn: () => void): void {
    healers.push(fn);
  }
  function onKill(fn: (h: Host) => void): void {
    killers.push(fn);
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

import { below } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimFleet } from './sim-fleet.js';
import { CALM } from './sim-wire.js';

export type FaultAct = {
  readonly fleet: SimFleet;
  readonly rng: Rng;
  readonly note: (text: string) => void;
  readonly evacuate: (zone: string, ms: number) => void;
  readonly crowdOfOperators: () => void;
};

export function pick<T>(rng: Rng, xs: readonly T[]): T {
  return xs[below(rng, xs.length)] as T;
}

function after(a: FaultAct, ms: number, fn: () => void): void {
  a.fleet.world.at(ms, fn);
}

function bounce(a: FaultAct, name: string, ms: number): void {
  function back(): void {
    if (!a.fleet.hostOf(name).running) void a.fleet.startNode(name);
  }
  after(a, ms, back);
}

export function inZone(fleet: SimFleet, zone: string): string[] {
  const out: string[] = [];
  for (const n of [...fleet.controllers, ...fleet.proxies]) if (n.host.zone === zone) out.push(n.name);
  for (const w of fleet.workers) if (w.zone === zone) out.push(w.id);
  return out;
}

function isUp(fleet: SimFleet, name: string): boolean {
  for (const h of fleet.controllers) if (h.name === name) return h.controller !== null;
  for (const s of fleet.proxies) if (s.name === name) return s.proxy !== null;
  return true;
}

export function names(list: readonly { readonly name: string }[]): string[] {
  const out: string[] = [];
  for (const x of list) out.push(x.name);
  return out;
}

export function nodeNames(a: { readonly fleet: SimFleet }): string[] {
  return [...names(a.fleet.proxies), ...names(a.fleet.controllers)];
}

function runningHeads(a: FaultAct): number {
  let n = 0;
  for (const h of a.fleet.controllers)
    if (h.host.running && h.controller?.ledger.isMember() && h.controller.claimsReady()) n += 1;
  return n;
}

function killWorker(a: FaultAct): void {
  const w = pick(a.rng, a.fleet.workers);
  a.note(`kills ${w.id}`);
  a.fleet.kill(w.id);
  bounce(a, w.id, 1_000 + below(a.rng, 6_000));
}
function lab(a: FaultAct, address: string, path: string, body: unknown): void {
  void a.fleet.call({ method: 'POST', address, path, body, timeoutMs: 2_000 });
}
function spell(a: FaultAct, address: string, mode: string, ms: number): void {
  lab(a, address, '/lab/fault', { mode });
  function back(): void {
    lab(a, address, '/lab/fault', { mode: 'none' });
  }
  after(a, ms, back);
}
function silenceWorker(a: FaultAct): void {
  const w = pick(a.rng, a.fleet.workers);
  a.note(`silences ${w.id}`);
  spell(a, w.http, 'silent', 2_000 + below(a.rng, 8_000));
}
function lyingWorker(a: FaultAct): void {
  const w = pick(a.rng, a.fleet.workers);
  const mode = pick(a.rng, ['truncate', 'wrongSeal', 'swapPieces', 'refuse']);
  a.note(`${w.id} does ${mode}`);
  spell(a, w.http, mode, 3_000 + below(a.rng, 4_000));
}
function coldWorker(a: FaultAct): void {
  const w = pick(a.rng, a.fleet.workers);
  a.note(`${w.id} goes cold`);
  lab(a, w.http, '/lab/cold', {});
}
function reclaim(a: FaultAct): void {
  for (const machine of readySpot(a)) {
    if (a.rng.next() < 0.5) continue;
    const remainingMs = 500 + below(a.rng, 4_000);
    a.note(`reclaims ${machine} within ${remainingMs}`);
    lab(a, a.fleet.cloudAddress, '/lab/reclaim', { machine, remainingMs });
    return;
  }
}
function dryZone(a: FaultAct): void {
  const zone = pick(a.rng, a.fleet.zones);
  a.note(`no spot in ${zone}`);
  lab(a, a.fleet.cloudAddress, '/lab/zone', { zone, spot: false });
  function back(): void {
    lab(a, a.fleet.cloudAddress, '/lab/zone', { zone, spot: true });
  }
  after(a, 5_000 + below(a.rng, 10_000), back);
}
function loseReplies(a: FaultAct): void {
  a.note('cloud loses replies');
  lab(a, a.fleet.cloudAddress, '/lab/lose', { replies: 1 + below(a.rng, 3) });
}
function platformFault(a: FaultAct): void {
  const mode = pick(a.rng, ['down', 'nonsense']);
  a.note(`platform ${mode}`);
  spell(a, a.fleet.platformAddress, mode, 1_000 + below(a.rng, 4_000));
}
function killHead(a: FaultAct): void {
  const name = pick(a.rng, names(a.fleet.controllers));
  a.note(`kills ${name}`);
  a.fleet.kill(name);
  bounce(a, name, 500 + below(a.rng, 8_000));
}
function powerHead(a: FaultAct): void {
  const name = pick(a.rng, names(a.fleet.controllers));
  a.note(`${name} loses power`);
  a.fleet.powerLoss(name);
  bounce(a, name, 500 + below(a.rng, 8_000));
}
function powerAllHeads(a: FaultAct): void {
  a.note('all controllers lose power');
  for (const name of names(a.fleet.controllers)) {
    a.fleet.powerLoss(name);
    bounce(a, name, 500 + below(a.rng, 3_000));
  }
}
function wipeHead(a: FaultAct): void {
  if (runningHeads(a) < a.fleet.controllers.length) return;
  const name = pick(a.rng, names(a.fleet.controllers));
  a.note(`${name} loses its disk`);
  a.fleet.kill(name);
  a.fleet.wipe(name);
  bounce(a, name, 500 + below(a.rng, 4_000));
}
function killProxy(a: FaultAct): void {
  const name = pick(a.rng, names(a.fleet.proxies));
  a.note(`kills ${name}`);
  a.fleet.kill(name);
  bounce(a, name, 200 + below(a.rng, 5_000));
}
function killMany(a: FaultAct): void {
  a.note('kills many');
  for (const name of nodeNames(a)) {
    if (a.rng.next() < 0.5) continue;
    a.fleet.kill(name);
    bounce(a, name, 500 + below(a.rng, 3_000));
  }
}
function freeze(a: FaultAct): void {
  const name = pick(a.rng, nodeNames(a));
  const host = a.fleet.hostOf(name);
  if (!host.running || host.frozen) return;
  a.note(`freezes ${name}`);
  a.fleet.world.freeze(host);
  function thaw(): void {
    a.fleet.world.thaw(host);
  }
  after(a, 500 + below(a.rng, 9_000), thaw);
}
function jumpClock(a: FaultAct): void {
  const name = pick(a.rng, nodeNames(a));
  const ms = (a.rng.next() < 0.5 ? -1 : 1) * (1_000 + below(a.rng, 3_600_000));
  a.note(`${name}'s clock jumps ${ms}`);
  a.fleet.hostOf(name).wallOffset += ms;
}
function cutRegion(a: FaultAct): void {
  const zone = pick(a.rng, a.fleet.zones);
  const inside: string[] = [];
  for (const h of a.fleet.world.hosts()) if (h.zone === zone) inside.push(h.name);
  a.note(`cuts ${zone} off`);
  a.fleet.cutOff(inside);
  after(a, 1_000 + below(a.rng, 9_000), a.fleet.world.healAll);
}
function cutOne(a: FaultAct): void {
  const name = pick(a.rng, nodeNames(a));
  a.note(`cuts ${name} off`);
  a.fleet.cutOff([name]);
  after(a, 1_000 + below(a.rng, 9_000), a.fleet.world.healAll);
}
function oneWay(a: FaultAct): void {
  const all = nodeNames(a);
  const from = pick(a.rng, all);
  const to = pick(a.rng, all);
  a.note(`${from} is not heard by ${to}`);
  a.fleet.world.cut(from, to);
  after(a, 1_000 + below(a.rng, 9_000), a.fleet.world.healAll);
}
function fullDisk(a: FaultAct): void {
  const h = pick(a.rng, a.fleet.controllers);
  a.note(`${h.name}'s disk fails writes`);
  h.platter.failing = true;
  function back(): void {
    h.platter.failing = false;
  }
  after(a, 2_000 + below(a.rng, 3_000), back);
  function restart(): void {
    a.fleet.kill(h.name);
    bounce(a, h.name, 200);
  }
  after(a, 5_100, restart);
}
function evacuate(a: FaultAct): void {
  const zone = pick(a.rng, a.fleet.zones);
  a.note(`evacuates ${zone}`);
  a.evacuate(zone, 9_000 + below(a.rng, 6_000));
}
function crowdOfOperators(a: FaultAct): void {
  a.note('six operators at once, some of them wrong');
  a.crowdOfOperators();
}
function readySpot(a: FaultAct): string[] {
  const out: string[] = [];
  for (const h of a.fleet.controllers) {
    for (const o of Object.values(h.controller?.ledger.controlState().orders ?? {}))
      if (o.kind === 'spot' && o.status === 'ready' && o.machine !== null) out.push(o.machine);
    if (out.length > 0) break;
  }
  return out;
}
function drainWorker(a: FaultAct): void {
  const machines = readySpot(a);
  if (machines.length === 0) return;
  const machine = pick(a.rng, machines);
  const remainingMs = 3_000 + below(a.rng, 6_000);
  a.note(`drains ${machine} within ${remainingMs}`);
  lab(a, a.fleet.platformAddress, '/lab/drain', { machine, remainingMs });
}
function freezeWorker(a: FaultAct): void {
  const w = pick(a.rng, a.fleet.workers);
  if (!w.host.running || w.host.frozen) return;
  a.note(`freezes ${w.id}`);
  a.fleet.world.freeze(w.host);
  function thaw(): void {
    a.fleet.world.thaw(w.host);
  }
  after(a, 1_000 + below(a.rng, 8_000), thaw);
}
function stallWorker(a: FaultAct): void {
  const w = pick(a.rng, a.fleet.workers);
  a.note(`${w.id} stalls between pieces`);
  spell(a, w.http, 'stall', 2_000 + below(a.rng, 3_000));
}
function replaceWorkers(a: FaultAct): void {
  a.note('replaces the fixed workers one by one, at new addresses');
  let ms = 0;
  for (const w of a.fleet.workers) {
    if (!w.fixed) continue;
    function move(): void {
      a.fleet.moveWorker(w.id);
    }
    after(a, ms, move);
    ms += 3_500;
  }
}
function regionLost(a: FaultAct): void {
  const zone = pick(a.rng, a.fleet.zones);
  a.note(`${zone} loses power, and comes back cold`);
  const ms = 3_000 + below(a.rng, 6_000);
  for (const name of inZone(a.fleet, zone)) {
    a.fleet.powerLoss(name);
    bounce(a, name, ms);
  }
}
function splitThree(a: FaultAct): void {
  a.note('the core falls into three');
  for (const h of a.fleet.controllers)
    for (const k of a.fleet.controllers) if (h !== k) a.fleet.world.cut(h.name, k.name);
  after(a, 2_000 + below(a.rng, 6_000), a.fleet.world.healAll);
}
function moveHead(a: FaultAct): void {
  if (runningHeads(a) < a.fleet.controllers.length) return;
  const at = below(a.rng, a.fleet.controllers.length);
  a.note(`controller-${at + 1} moves to a new address`);
  a.fleet.moveController(at);
}
function turbulence(a: FaultAct): void {
  a.note('messages come twice, late and out of order');
  a.fleet.turbulence({ slow: 0.1, twice: 0.1, overtake: 0.1 });
  function calm(): void {
    a.fleet.turbulence(CALM);
  }
  after(a, 2_000 + below(a.rng, 4_000), calm);
}
function noRoom(a: FaultAct): void {
  const n = pick(a.rng, [...a.fleet.controllers, ...a.fleet.proxies]);
  a.note(`${n.name}'s disk has no room`);
  n.platter.full = true;
  if (a.rng.next() < 0.5) {
    a.fleet.kill(n.name);
    bounce(a, n.name, 500);
  }
  function room(): void {
    n.platter.full = false;
    if (a.fleet.hostOf(n.name).running && !isUp(a.fleet, n.name)) a.fleet.kill(n.name);
    bounce(a, n.name, 100);
  }
  after(a, 2_000 + below(a.rng, 4_000), room);
}
function powerProxy(a: FaultAct): void {
  const name = pick(a.rng, names(a.fleet.proxies));
  a.note(`${name} loses power`);
  a.fleet.powerLoss(name);
  bounce(a, name, 500 + below(a.rng, 4_000));
}
function outsideUnseen(a: FaultAct): void {
  const what = pick(a.rng, ['platform', 'cloud']);
  const blind: string[] = [];
  for (const name of nodeNames(a)) if (a.rng.next() < 0.5) blind.push(name);
  a.note(`${blind.join()} can't reach the ${what}`);
  for (const name of blind) a.fleet.world.cut(name, what);
  after(a, 2_000 + below(a.rng, 8_000), a.fleet.world.healAll);
}
function crowd(a: FaultAct): void {
  const zone = pick(a.rng, a.fleet.zones);
  a.note(`a crowd in ${zone}`);
  void a.fleet.traffic({ zone, seconds: 3, perSecond: 60, name: `crowd-${zone}-${a.fleet.world.now()}` });
}

export const FAULTS = {
  killWorker,
  silenceWorker,
  lyingWorker,
  coldWorker,
  reclaim,
  dryZone,
  loseReplies,
  platformFault,
  killHead,
  powerHead,
  powerAllHeads,
  wipeHead,
  killProxy,
  killMany,
  freeze,
  jumpClock,
  cutRegion,
  cutOne,
  oneWay,
  fullDisk,
  evacuate,
  crowdOfOperators,
  drainWorker,
  freezeWorker,
  stallWorker,
  replaceWorkers,
  regionLost,
  splitThree,
  moveHead,
  turbulence,
  noRoom,
  powerProxy,
  outsideUnseen,
  crowd,
} as const;

export type FaultName = keyof typeof FAULTS;
export const ALL_FAULTS = Object.keys(FAULTS) as FaultName[];

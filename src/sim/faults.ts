import { randomInt, pick } from '../transport/rng.js';
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

function after(faultAct: FaultAct, ms: number, callback: () => void): void {
  faultAct.fleet.world.at(ms, callback);
}

function bounce(faultAct: FaultAct, name: string, ms: number): void {
  function back(): void {
    if (!faultAct.fleet.hostOf(name).running) void faultAct.fleet.startNode(name);
  }
  after(faultAct, ms, back);
}

export function inZone(fleet: SimFleet, zone: string): string[] {
  const out: string[] = [];
  for (const n of [...fleet.controllers, ...fleet.proxies]) if (n.host.zone === zone) out.push(n.name);
  for (const simWorker of fleet.workers) if (simWorker.zone === zone) out.push(simWorker.id);
  return out;
}

function isUp(fleet: SimFleet, name: string): boolean {
  for (const node of fleet.controllers) if (node.name === name) return node.controller !== null;
  for (const simProxy of fleet.proxies) if (simProxy.name === name) return simProxy.proxy !== null;
  return true;
}

export function names(list: readonly { readonly name: string }[]): string[] {
  const out: string[] = [];
  for (const item of list) out.push(item.name);
  return out;
}

export function nodeNames(first: { readonly fleet: SimFleet }): string[] {
  return [...names(first.fleet.proxies), ...names(first.fleet.controllers)];
}

function runningHeads(faultAct: FaultAct): number {
  let count = 0;
  for (const node of faultAct.fleet.controllers)
    if (node.host.running && node.controller?.ledger.isMember() && node.controller.claimsReady()) count += 1;
  return count;
}

function killWorker(faultAct: FaultAct): void {
  const simWorker = pick(faultAct.rng, faultAct.fleet.workers);
  faultAct.note(`kills ${simWorker.id}`);
  faultAct.fleet.kill(simWorker.id);
  bounce(faultAct, simWorker.id, 1_000 + randomInt(faultAct.rng, 6_000));
}
function lab(faultAct: FaultAct, address: string, path: string, body: unknown): void {
  void faultAct.fleet.call({ method: 'POST', address, path, body, timeoutMs: 2_000 });
}
function spell(faultAct: FaultAct, address: string, mode: string, ms: number): void {
  lab(faultAct, address, '/lab/fault', { mode });
  function back(): void {
    lab(faultAct, address, '/lab/fault', { mode: 'none' });
  }
  after(faultAct, ms, back);
}
function silenceWorker(faultAct: FaultAct): void {
  const simWorker = pick(faultAct.rng, faultAct.fleet.workers);
  faultAct.note(`silences ${simWorker.id}`);
  spell(faultAct, simWorker.http, 'silent', 2_000 + randomInt(faultAct.rng, 8_000));
}
function lyingWorker(faultAct: FaultAct): void {
  const simWorker = pick(faultAct.rng, faultAct.fleet.workers);
  const mode = pick(faultAct.rng, ['truncate', 'wrongSeal', 'swapPieces', 'refuse']);
  faultAct.note(`${simWorker.id} does ${mode}`);
  spell(faultAct, simWorker.http, mode, 3_000 + randomInt(faultAct.rng, 4_000));
}
function coldWorker(faultAct: FaultAct): void {
  const simWorker = pick(faultAct.rng, faultAct.fleet.workers);
  faultAct.note(`${simWorker.id} goes cold`);
  lab(faultAct, simWorker.http, '/lab/cold', {});
}
function reclaim(faultAct: FaultAct): void {
  for (const machine of readySpot(faultAct)) {
    if (faultAct.rng.next() < 0.5) continue;
    const remainingMs = 500 + randomInt(faultAct.rng, 4_000);
    faultAct.note(`reclaims ${machine} within ${remainingMs}`);
    lab(faultAct, faultAct.fleet.cloudAddress, '/lab/reclaim', { machine, remainingMs });
    return;
  }
}
function dryZone(faultAct: FaultAct): void {
  const zone = pick(faultAct.rng, faultAct.fleet.zones);
  faultAct.note(`no spot in ${zone}`);
  lab(faultAct, faultAct.fleet.cloudAddress, '/lab/zone', { zone, spot: false });
  function back(): void {
    lab(faultAct, faultAct.fleet.cloudAddress, '/lab/zone', { zone, spot: true });
  }
  after(faultAct, 5_000 + randomInt(faultAct.rng, 10_000), back);
}
function loseReplies(faultAct: FaultAct): void {
  faultAct.note('cloud loses replies');
  lab(faultAct, faultAct.fleet.cloudAddress, '/lab/lose', { replies: 1 + randomInt(faultAct.rng, 3) });
}
function platformFault(faultAct: FaultAct): void {
  const mode = pick(faultAct.rng, ['down', 'nonsense']);
  faultAct.note(`platform ${mode}`);
  spell(faultAct, faultAct.fleet.platformAddress, mode, 1_000 + randomInt(faultAct.rng, 4_000));
}
function killHead(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, names(faultAct.fleet.controllers));
  faultAct.note(`kills ${name}`);
  faultAct.fleet.kill(name);
  bounce(faultAct, name, 500 + randomInt(faultAct.rng, 8_000));
}
function powerHead(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, names(faultAct.fleet.controllers));
  faultAct.note(`${name} loses power`);
  faultAct.fleet.powerLoss(name);
  bounce(faultAct, name, 500 + randomInt(faultAct.rng, 8_000));
}
function powerAllHeads(faultAct: FaultAct): void {
  faultAct.note('all controllers lose power');
  for (const name of names(faultAct.fleet.controllers)) {
    faultAct.fleet.powerLoss(name);
    bounce(faultAct, name, 500 + randomInt(faultAct.rng, 3_000));
  }
}
function wipeHead(faultAct: FaultAct): void {
  if (runningHeads(faultAct) < faultAct.fleet.controllers.length) return;
  const name = pick(faultAct.rng, names(faultAct.fleet.controllers));
  faultAct.note(`${name} loses its disk`);
  faultAct.fleet.kill(name);
  faultAct.fleet.wipe(name);
  bounce(faultAct, name, 500 + randomInt(faultAct.rng, 4_000));
}
function killProxy(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, names(faultAct.fleet.proxies));
  faultAct.note(`kills ${name}`);
  faultAct.fleet.kill(name);
  bounce(faultAct, name, 200 + randomInt(faultAct.rng, 5_000));
}
function killMany(faultAct: FaultAct): void {
  faultAct.note('kills many');
  for (const name of nodeNames(faultAct)) {
    if (faultAct.rng.next() < 0.5) continue;
    faultAct.fleet.kill(name);
    bounce(faultAct, name, 500 + randomInt(faultAct.rng, 3_000));
  }
}
function freeze(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, nodeNames(faultAct));
  const host = faultAct.fleet.hostOf(name);
  if (!host.running || host.frozen) return;
  faultAct.note(`freezes ${name}`);
  faultAct.fleet.world.freeze(host);
  function thaw(): void {
    faultAct.fleet.world.thaw(host);
  }
  after(faultAct, 500 + randomInt(faultAct.rng, 9_000), thaw);
}
function jumpClock(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, nodeNames(faultAct));
  const ms = (faultAct.rng.next() < 0.5 ? -1 : 1) * (1_000 + randomInt(faultAct.rng, 3_600_000));
  faultAct.note(`${name}'s clock jumps ${ms}`);
  faultAct.fleet.hostOf(name).wallOffset += ms;
}
function cutRegion(faultAct: FaultAct): void {
  const zone = pick(faultAct.rng, faultAct.fleet.zones);
  const inside: string[] = [];
  for (const host of faultAct.fleet.world.hosts()) if (host.zone === zone) inside.push(host.name);
  faultAct.note(`cuts ${zone} off`);
  faultAct.fleet.cutOff(inside);
  after(faultAct, 1_000 + randomInt(faultAct.rng, 9_000), faultAct.fleet.world.healAll);
}
function cutOne(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, nodeNames(faultAct));
  faultAct.note(`cuts ${name} off`);
  faultAct.fleet.cutOff([name]);
  after(faultAct, 1_000 + randomInt(faultAct.rng, 9_000), faultAct.fleet.world.healAll);
}
function oneWay(faultAct: FaultAct): void {
  const all = nodeNames(faultAct);
  const from = pick(faultAct.rng, all);
  const to = pick(faultAct.rng, all);
  faultAct.note(`${from} is not heard by ${to}`);
  faultAct.fleet.world.cut(from, to);
  after(faultAct, 1_000 + randomInt(faultAct.rng, 9_000), faultAct.fleet.world.healAll);
}
function fullDisk(faultAct: FaultAct): void {
  const node = pick(faultAct.rng, faultAct.fleet.controllers);
  faultAct.note(`${node.name}'s disk fails writes`);
  node.platter.failing = true;
  function back(): void {
    node.platter.failing = false;
  }
  after(faultAct, 2_000 + randomInt(faultAct.rng, 3_000), back);
  function restart(): void {
    faultAct.fleet.kill(node.name);
    bounce(faultAct, node.name, 200);
  }
  after(faultAct, 5_100, restart);
}
function evacuate(faultAct: FaultAct): void {
  const zone = pick(faultAct.rng, faultAct.fleet.zones);
  faultAct.note(`evacuates ${zone}`);
  faultAct.evacuate(zone, 9_000 + randomInt(faultAct.rng, 6_000));
}
function crowdOfOperators(faultAct: FaultAct): void {
  faultAct.note('six operators at once, some of them wrong');
  faultAct.crowdOfOperators();
}
function readySpot(faultAct: FaultAct): string[] {
  const out: string[] = [];
  for (const node of faultAct.fleet.controllers) {
    for (const order of Object.values(node.controller?.ledger.controlState().orders ?? {}))
      if (order.kind === 'spot' && order.status === 'ready' && order.machine !== null) out.push(order.machine);
    if (out.length > 0) break;
  }
  return out;
}
function drainWorker(faultAct: FaultAct): void {
  const machines = readySpot(faultAct);
  if (machines.length === 0) return;
  const machine = pick(faultAct.rng, machines);
  const remainingMs = 3_000 + randomInt(faultAct.rng, 6_000);
  faultAct.note(`drains ${machine} within ${remainingMs}`);
  lab(faultAct, faultAct.fleet.platformAddress, '/lab/drain', { machine, remainingMs });
}
function freezeWorker(faultAct: FaultAct): void {
  const simWorker = pick(faultAct.rng, faultAct.fleet.workers);
  if (!simWorker.host.running || simWorker.host.frozen) return;
  faultAct.note(`freezes ${simWorker.id}`);
  faultAct.fleet.world.freeze(simWorker.host);
  function thaw(): void {
    faultAct.fleet.world.thaw(simWorker.host);
  }
  after(faultAct, 1_000 + randomInt(faultAct.rng, 8_000), thaw);
}
function stallWorker(faultAct: FaultAct): void {
  const simWorker = pick(faultAct.rng, faultAct.fleet.workers);
  faultAct.note(`${simWorker.id} stalls between pieces`);
  spell(faultAct, simWorker.http, 'stall', 2_000 + randomInt(faultAct.rng, 3_000));
}
function replaceWorkers(faultAct: FaultAct): void {
  faultAct.note('replaces the fixed workers one by one, at new addresses');
  let ms = 0;
  for (const simWorker of faultAct.fleet.workers) {
    if (!simWorker.fixed) continue;
    function move(): void {
      faultAct.fleet.moveWorker(simWorker.id);
    }
    after(faultAct, ms, move);
    ms += 3_500;
  }
}
function regionLost(faultAct: FaultAct): void {
  const zone = pick(faultAct.rng, faultAct.fleet.zones);
  faultAct.note(`${zone} loses power, and comes back cold`);
  const ms = 3_000 + randomInt(faultAct.rng, 6_000);
  for (const name of inZone(faultAct.fleet, zone)) {
    faultAct.fleet.powerLoss(name);
    bounce(faultAct, name, ms);
  }
}
function splitThree(faultAct: FaultAct): void {
  faultAct.note('the core falls into three');
  for (const node of faultAct.fleet.controllers)
    for (const target of faultAct.fleet.controllers)
      if (node !== target) faultAct.fleet.world.cut(node.name, target.name);
  after(faultAct, 2_000 + randomInt(faultAct.rng, 6_000), faultAct.fleet.world.healAll);
}
function moveHead(faultAct: FaultAct): void {
  if (runningHeads(faultAct) < faultAct.fleet.controllers.length) return;
  const at = randomInt(faultAct.rng, faultAct.fleet.controllers.length);
  faultAct.note(`controller-${at + 1} moves to a new address`);
  faultAct.fleet.moveController(at);
}
function turbulence(faultAct: FaultAct): void {
  faultAct.note('messages come twice, late and out of order');
  faultAct.fleet.turbulence({ slow: 0.1, twice: 0.1, overtake: 0.1 });
  function calm(): void {
    faultAct.fleet.turbulence(CALM);
  }
  after(faultAct, 2_000 + randomInt(faultAct.rng, 4_000), calm);
}
function noRoom(faultAct: FaultAct): void {
  const n = pick(faultAct.rng, [...faultAct.fleet.controllers, ...faultAct.fleet.proxies]);
  faultAct.note(`${n.name}'s disk has no room`);
  n.platter.full = true;
  if (faultAct.rng.next() < 0.5) {
    faultAct.fleet.kill(n.name);
    bounce(faultAct, n.name, 500);
  }
  function room(): void {
    n.platter.full = false;
    if (faultAct.fleet.hostOf(n.name).running && !isUp(faultAct.fleet, n.name)) faultAct.fleet.kill(n.name);
    bounce(faultAct, n.name, 100);
  }
  after(faultAct, 2_000 + randomInt(faultAct.rng, 4_000), room);
}
function powerProxy(faultAct: FaultAct): void {
  const name = pick(faultAct.rng, names(faultAct.fleet.proxies));
  faultAct.note(`${name} loses power`);
  faultAct.fleet.powerLoss(name);
  bounce(faultAct, name, 500 + randomInt(faultAct.rng, 4_000));
}
function outsideUnseen(faultAct: FaultAct): void {
  const what = pick(faultAct.rng, ['platform', 'cloud']);
  const blind: string[] = [];
  for (const name of nodeNames(faultAct)) if (faultAct.rng.next() < 0.5) blind.push(name);
  faultAct.note(`${blind.join()} can't reach the ${what}`);
  for (const name of blind) faultAct.fleet.world.cut(name, what);
  after(faultAct, 2_000 + randomInt(faultAct.rng, 8_000), faultAct.fleet.world.healAll);
}
function crowd(faultAct: FaultAct): void {
  const zone = pick(faultAct.rng, faultAct.fleet.zones);
  faultAct.note(`a crowd in ${zone}`);
  void faultAct.fleet.traffic({ zone, seconds: 3, perSecond: 60, name: `crowd-${zone}-${faultAct.fleet.world.now()}` });
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

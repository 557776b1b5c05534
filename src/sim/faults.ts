/** The faults of chaos runs. Each injects one fault, logs it, and schedules its end where it has one. */
import { randomInt, pick } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimFleet } from './sim-fleet.js';
import { NO_DISTURBANCE } from './sim-wire.js';

/** What a fault needs: the fleet, the random numbers, the log of faults and the calls of operators. */
export type FaultContext = {
  readonly fleet: SimFleet;
  readonly rng: Rng;
  readonly logFault: (text: string) => void;
  readonly evacuate: (zone: string, ms: number) => void;
  readonly raceChanges: () => void;
};

function after(context: FaultContext, ms: number, callback: () => void): void {
  context.fleet.world.at(ms, callback);
}

/** Starts a stopped node or worker again after `ms`. */
function restartAfter(context: FaultContext, name: string, ms: number): void {
  function restart(): void {
    if (!context.fleet.hostOf(name).running) void context.fleet.startNode(name);
  }
  after(context, ms, restart);
}

/** Returns the names of all nodes and workers in a zone. */
export function namesInZone(fleet: SimFleet, zone: string): string[] {
  const found: string[] = [];
  for (const node of [...fleet.controllers, ...fleet.proxies]) if (node.host.zone === zone) found.push(node.name);
  for (const simWorker of fleet.workers) if (simWorker.zone === zone) found.push(simWorker.id);
  return found;
}

function isNodeUp(fleet: SimFleet, name: string): boolean {
  for (const node of fleet.controllers) if (node.name === name) return node.controller !== null;
  for (const simProxy of fleet.proxies) if (simProxy.name === name) return simProxy.proxy !== null;
  return true;
}

/** Returns the names of the given controllers or proxies, in the same order and whether or not they are running. */
export function namesOf(list: readonly { readonly name: string }[]): string[] {
  const out: string[] = [];
  for (const item of list) out.push(item.name);
  return out;
}

/** Returns the names of all proxies and controllers. */
export function nodeNames(context: { readonly fleet: SimFleet }): string[] {
  return [...namesOf(context.fleet.proxies), ...namesOf(context.fleet.controllers)];
}

/** Counts the running controllers that are members and have rebuilt the claims. */
function readyControllerCount(context: FaultContext): number {
  let count = 0;
  for (const node of context.fleet.controllers)
    if (node.host.running && node.controller?.ledger.isMember() && node.controller.claimsReady()) count += 1;
  return count;
}

function killWorker(context: FaultContext): void {
  const simWorker = pick(context.rng, context.fleet.workers);
  context.logFault(`kills ${simWorker.id}`);
  context.fleet.kill(simWorker.id);
  restartAfter(context, simWorker.id, 1_000 + randomInt(context.rng, 6_000));
}
function callLab(context: FaultContext, address: string, path: string, body: unknown): void {
  void context.fleet.call({ method: 'POST', address, path, body, timeoutMs: 2_000 });
}
/** Sets a fault mode of a stand-in for `ms`. */
function setLabFaultFor(context: FaultContext, address: string, mode: string, ms: number): void {
  callLab(context, address, '/lab/fault', { mode });
  function restore(): void {
    callLab(context, address, '/lab/fault', { mode: 'none' });
  }
  after(context, ms, restore);
}
function silenceWorker(context: FaultContext): void {
  const simWorker = pick(context.rng, context.fleet.workers);
  context.logFault(`${simWorker.id} stops responding`);
  setLabFaultFor(context, simWorker.http, 'silent', 2_000 + randomInt(context.rng, 8_000));
}
function lyingWorker(context: FaultContext): void {
  const simWorker = pick(context.rng, context.fleet.workers);
  const mode = pick(context.rng, ['truncate', 'wrongSeal', 'swapPieces', 'refuse']);
  context.logFault(`${simWorker.id} misbehaves: ${mode}`);
  setLabFaultFor(context, simWorker.http, mode, 3_000 + randomInt(context.rng, 4_000));
}
function coldWorker(context: FaultContext): void {
  const simWorker = pick(context.rng, context.fleet.workers);
  context.logFault(`${simWorker.id} reloads its model`);
  callLab(context, simWorker.http, '/lab/cold', {});
}
function reclaim(context: FaultContext): void {
  for (const machine of readySpotMachines(context)) {
    if (context.rng.next() < 0.5) continue;
    const remainingMs = 500 + randomInt(context.rng, 4_000);
    context.logFault(`reclaims ${machine} within ${remainingMs} ms`);
    callLab(context, context.fleet.cloudAddress, '/lab/reclaim', { machine, remainingMs });
    return;
  }
}
function dryZone(context: FaultContext): void {
  const zone = pick(context.rng, context.fleet.zones);
  context.logFault(`no spot capacity in ${zone}`);
  callLab(context, context.fleet.cloudAddress, '/lab/zone', { zone, spot: false });
  function restore(): void {
    callLab(context, context.fleet.cloudAddress, '/lab/zone', { zone, spot: true });
  }
  after(context, 5_000 + randomInt(context.rng, 10_000), restore);
}
function loseReplies(context: FaultContext): void {
  context.logFault('responses of the cloud are lost');
  callLab(context, context.fleet.cloudAddress, '/lab/lose', { replies: 1 + randomInt(context.rng, 3) });
}
function platformFault(context: FaultContext): void {
  const mode = pick(context.rng, ['down', 'nonsense']);
  context.logFault(`platform fault: ${mode}`);
  setLabFaultFor(context, context.fleet.platformAddress, mode, 1_000 + randomInt(context.rng, 4_000));
}
function killHead(context: FaultContext): void {
  const name = pick(context.rng, namesOf(context.fleet.controllers));
  context.logFault(`kills ${name}`);
  context.fleet.kill(name);
  restartAfter(context, name, 500 + randomInt(context.rng, 8_000));
}
function powerHead(context: FaultContext): void {
  const name = pick(context.rng, namesOf(context.fleet.controllers));
  context.logFault(`${name} loses power`);
  context.fleet.powerLoss(name);
  restartAfter(context, name, 500 + randomInt(context.rng, 8_000));
}
function powerAllHeads(context: FaultContext): void {
  context.logFault('all controllers lose power');
  for (const name of namesOf(context.fleet.controllers)) {
    context.fleet.powerLoss(name);
    restartAfter(context, name, 500 + randomInt(context.rng, 3_000));
  }
}
function wipeHead(context: FaultContext): void {
  if (readyControllerCount(context) < context.fleet.controllers.length) return;
  const name = pick(context.rng, namesOf(context.fleet.controllers));
  context.logFault(`${name} loses its disk`);
  context.fleet.kill(name);
  context.fleet.wipe(name);
  restartAfter(context, name, 500 + randomInt(context.rng, 4_000));
}
function killProxy(context: FaultContext): void {
  const name = pick(context.rng, namesOf(context.fleet.proxies));
  context.logFault(`kills ${name}`);
  context.fleet.kill(name);
  restartAfter(context, name, 200 + randomInt(context.rng, 5_000));
}
function killMany(context: FaultContext): void {
  context.logFault('kills about half of the proxies and controllers');
  for (const name of nodeNames(context)) {
    if (context.rng.next() < 0.5) continue;
    context.fleet.kill(name);
    restartAfter(context, name, 500 + randomInt(context.rng, 3_000));
  }
}
function freeze(context: FaultContext): void {
  const name = pick(context.rng, nodeNames(context));
  const host = context.fleet.hostOf(name);
  if (!host.running || host.frozen) return;
  context.logFault(`freezes ${name}`);
  context.fleet.world.freeze(host);
  function thaw(): void {
    context.fleet.world.thaw(host);
  }
  after(context, 500 + randomInt(context.rng, 9_000), thaw);
}
function jumpClock(context: FaultContext): void {
  const name = pick(context.rng, nodeNames(context));
  const ms = (context.rng.next() < 0.5 ? -1 : 1) * (1_000 + randomInt(context.rng, 3_600_000));
  context.logFault(`${name}'s clock jumps by ${ms} ms`);
  context.fleet.hostOf(name).wallOffset += ms;
}
function cutRegion(context: FaultContext): void {
  const zone = pick(context.rng, context.fleet.zones);
  const inside: string[] = [];
  for (const host of context.fleet.world.hosts()) if (host.zone === zone) inside.push(host.name);
  context.logFault(`partitions ${zone}`);
  context.fleet.isolate(inside);
  after(context, 1_000 + randomInt(context.rng, 9_000), context.fleet.world.healAll);
}
function cutOne(context: FaultContext): void {
  const name = pick(context.rng, nodeNames(context));
  context.logFault(`partitions ${name}`);
  context.fleet.isolate([name]);
  after(context, 1_000 + randomInt(context.rng, 9_000), context.fleet.world.healAll);
}
function oneWay(context: FaultContext): void {
  const all = nodeNames(context);
  const from = pick(context.rng, all);
  const to = pick(context.rng, all);
  context.logFault(`messages from ${from} to ${to} are lost`);
  context.fleet.world.cut(from, to);
  after(context, 1_000 + randomInt(context.rng, 9_000), context.fleet.world.healAll);
}
function fullDisk(context: FaultContext): void {
  const node = pick(context.rng, context.fleet.controllers);
  context.logFault(`${node.name}'s disk fails writes`);
  node.platter.failing = true;
  function restore(): void {
    node.platter.failing = false;
  }
  after(context, 2_000 + randomInt(context.rng, 3_000), restore);
  function restart(): void {
    context.fleet.kill(node.name);
    restartAfter(context, node.name, 200);
  }
  after(context, 5_100, restart);
}
function evacuate(context: FaultContext): void {
  const zone = pick(context.rng, context.fleet.zones);
  context.logFault(`evacuates ${zone}`);
  context.evacuate(zone, 9_000 + randomInt(context.rng, 6_000));
}
function crowdOfOperators(context: FaultContext): void {
  context.logFault('six concurrent changes, some of them invalid or stale');
  context.raceChanges();
}
function readySpotMachines(context: FaultContext): string[] {
  const out: string[] = [];
  for (const node of context.fleet.controllers) {
    for (const order of Object.values(node.controller?.ledger.controlState().orders ?? {}))
      if (order.kind === 'spot' && order.status === 'ready' && order.machine !== null) out.push(order.machine);
    if (out.length > 0) break;
  }
  return out;
}
function drainWorker(context: FaultContext): void {
  const machines = readySpotMachines(context);
  if (machines.length === 0) return;
  const machine = pick(context.rng, machines);
  const remainingMs = 3_000 + randomInt(context.rng, 6_000);
  context.logFault(`drains ${machine} within ${remainingMs} ms`);
  callLab(context, context.fleet.platformAddress, '/lab/drain', { machine, remainingMs });
}
function freezeWorker(context: FaultContext): void {
  const simWorker = pick(context.rng, context.fleet.workers);
  if (!simWorker.host.running || simWorker.host.frozen) return;
  context.logFault(`freezes ${simWorker.id}`);
  context.fleet.world.freeze(simWorker.host);
  function thaw(): void {
    context.fleet.world.thaw(simWorker.host);
  }
  after(context, 1_000 + randomInt(context.rng, 8_000), thaw);
}
function stallWorker(context: FaultContext): void {
  const simWorker = pick(context.rng, context.fleet.workers);
  context.logFault(`${simWorker.id} stalls between pieces of a response`);
  setLabFaultFor(context, simWorker.http, 'stall', 2_000 + randomInt(context.rng, 3_000));
}
function replaceWorkers(context: FaultContext): void {
  context.logFault('replaces the fixed workers one by one, at new addresses');
  let ms = 0;
  for (const simWorker of context.fleet.workers) {
    if (!simWorker.fixed) continue;
    function move(): void {
      context.fleet.moveWorker(simWorker.id);
    }
    after(context, ms, move);
    ms += 3_500;
  }
}
function regionLost(context: FaultContext): void {
  const zone = pick(context.rng, context.fleet.zones);
  context.logFault(`${zone} loses power and its workers restart cold`);
  const ms = 3_000 + randomInt(context.rng, 6_000);
  for (const name of namesInZone(context.fleet, zone)) {
    context.fleet.powerLoss(name);
    restartAfter(context, name, ms);
  }
}
function splitThree(context: FaultContext): void {
  context.logFault('partitions each controller from the others');
  for (const node of context.fleet.controllers)
    for (const target of context.fleet.controllers)
      if (node !== target) context.fleet.world.cut(node.name, target.name);
  after(context, 2_000 + randomInt(context.rng, 6_000), context.fleet.world.healAll);
}
function moveHead(context: FaultContext): void {
  if (readyControllerCount(context) < context.fleet.controllers.length) return;
  const at = randomInt(context.rng, context.fleet.controllers.length);
  context.logFault(`controller-${at + 1} moves to a new address`);
  context.fleet.moveController(at);
}
function turbulence(context: FaultContext): void {
  context.logFault('messages are duplicated, delayed and reordered');
  context.fleet.setFrameDisturbance({ delayProbability: 0.1, duplicateProbability: 0.1, reorderProbability: 0.1 });
  function calm(): void {
    context.fleet.setFrameDisturbance(NO_DISTURBANCE);
  }
  after(context, 2_000 + randomInt(context.rng, 4_000), calm);
}
function noRoom(context: FaultContext): void {
  const node = pick(context.rng, [...context.fleet.controllers, ...context.fleet.proxies]);
  context.logFault(`${node.name}'s disk is full`);
  node.platter.full = true;
  if (context.rng.next() < 0.5) {
    context.fleet.kill(node.name);
    restartAfter(context, node.name, 500);
  }
  function freeSpace(): void {
    node.platter.full = false;
    if (context.fleet.hostOf(node.name).running && !isNodeUp(context.fleet, node.name)) context.fleet.kill(node.name);
    restartAfter(context, node.name, 100);
  }
  after(context, 2_000 + randomInt(context.rng, 4_000), freeSpace);
}
function powerProxy(context: FaultContext): void {
  const name = pick(context.rng, namesOf(context.fleet.proxies));
  context.logFault(`${name} loses power`);
  context.fleet.powerLoss(name);
  restartAfter(context, name, 500 + randomInt(context.rng, 4_000));
}
function outsideUnseen(context: FaultContext): void {
  const target = pick(context.rng, ['platform', 'cloud']);
  const isolated: string[] = [];
  for (const name of nodeNames(context)) if (context.rng.next() < 0.5) isolated.push(name);
  context.logFault(`${isolated.join()} can't reach the ${target}`);
  for (const name of isolated) context.fleet.world.cut(name, target);
  after(context, 2_000 + randomInt(context.rng, 8_000), context.fleet.world.healAll);
}
function crowd(context: FaultContext): void {
  const zone = pick(context.rng, context.fleet.zones);
  context.logFault(`load spike in ${zone}`);
  void context.fleet.traffic({ zone, seconds: 3, perSecond: 60, name: `crowd-${zone}-${context.fleet.world.now()}` });
}

/** All faults by name. The names are options of runs and of the tools. */
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

/** Name of a fault in the options of a chaos run and in `--faults` of tools/soak.mjs. */
export type FaultName = keyof typeof FAULTS;
/**
 * The names of all faults. Runs draw from them by position, so a change of their order changes the faults of a seed.
 */
export const ALL_FAULTS = Object.keys(FAULTS) as FaultName[];

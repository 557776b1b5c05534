/** Faults of controllers while operators continue: each is injected, lasts for a while and is ended again. */
import { randomInt } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimCore } from './sim-core.js';

const MAX_FAULT_MS = 7_000;
/** Length of the long partitions: about the longest that a day of operation has. */
const LONG_PARTITION_MS = 20_000;
const FLAP_COUNT = 6;
const MAX_FLAP_MS = 2_500;

type FaultContext = { readonly core: SimCore; readonly running: string[]; readonly rng: Rng; readonly name: string };
type Fault = (context: FaultContext) => Promise<string>;

async function waitOutFault(context: FaultContext): Promise<void> {
  await context.core.world.advance(200 + randomInt(context.rng, MAX_FAULT_MS));
}

async function kill(context: FaultContext): Promise<string> {
  context.core.kill(context.name);
  await waitOutFault(context);
  context.core.start(context.name);
  return `${context.name} is killed`;
}
async function losePower(context: FaultContext): Promise<string> {
  context.core.powerLoss(context.name);
  await waitOutFault(context);
  context.core.start(context.name);
  return `${context.name} loses power`;
}
async function freeze(context: FaultContext): Promise<string> {
  const host = context.core.node(context.name).host;
  context.core.world.freeze(host);
  await waitOutFault(context);
  context.core.world.thaw(host);
  return `${context.name} is frozen`;
}
async function partition(context: FaultContext): Promise<string> {
  context.core.isolate([context.name]);
  if (context.rng.next() < 0.3) await context.core.world.advance(LONG_PARTITION_MS);
  else await waitOutFault(context);
  context.core.world.healAll();
  return `${context.name} is partitioned`;
}
/** Partitions a node repeatedly: an order that was proposed before a partition is committed or abandoned after it. */
async function flap(context: FaultContext): Promise<string> {
  for (let count = 0; count < FLAP_COUNT; count += 1) {
    context.core.isolate([context.name]);
    await context.core.world.advance(100 + randomInt(context.rng, MAX_FLAP_MS));
    context.core.world.healAll();
    await context.core.world.advance(randomInt(context.rng, 500));
  }
  return `${context.name} is partitioned repeatedly`;
}
async function partitionOneWay(context: FaultContext): Promise<string> {
  const isOutward = context.rng.next() < 0.5;
  for (const other of context.running) {
    if (other === context.name) continue;
    context.core.world.cut(isOutward ? context.name : other, isOutward ? other : context.name);
  }
  await waitOutFault(context);
  context.core.world.healAll();
  return `${context.name} is partitioned one way, ${isOutward ? 'out' : 'in'}bound`;
}
async function loseDisk(context: FaultContext): Promise<string> {
  context.core.powerLoss(context.name);
  context.core.wipe(context.name);
  await waitOutFault(context);
  context.core.start(context.name);
  return `${context.name} loses its disk`;
}
async function loseAllPower(context: FaultContext): Promise<string> {
  for (const name of context.running) context.core.powerLoss(name);
  await waitOutFault(context);
  for (const name of context.running) context.core.start(name);
  return 'all controllers lose power';
}
async function restartWhilePartitioned(context: FaultContext): Promise<string> {
  context.core.isolate([context.name]);
  await waitOutFault(context);
  context.core.kill(context.name);
  context.core.start(context.name);
  await waitOutFault(context);
  context.core.world.healAll();
  return `${context.name} is partitioned and restarts meanwhile`;
}
async function replace(context: FaultContext): Promise<string> {
  const replacement = context.core.addNode(`n${context.core.nodes.length}`).name;
  context.core.seeds(context.running.slice(0, 3));
  const isPlanned = context.rng.next() < 0.5;
  if (isPlanned) {
    context.core.start(replacement);
    await context.core.world.advance(1_500 + randomInt(context.rng, 3_000));
    await context.core.stop(context.name);
  } else {
    context.core.powerLoss(context.name);
    await context.core.world.advance(randomInt(context.rng, 3_000));
    context.core.start(replacement);
  }
  context.running.splice(context.running.indexOf(context.name), 1, replacement);
  return `${context.name} is replaced by ${replacement}, ${isPlanned ? 'planned' : 'after power loss'}`;
}

const FAULTS: readonly Fault[] = [
  kill,
  losePower,
  freeze,
  partition,
  partition,
  partitionOneWay,
  flap,
  loseDisk,
  loseAllPower,
  restartWhilePartitioned,
  replace,
];

/**
 * Injects a random fault at a random controller of `running` and returns its description once the fault is over. A
 * replaced controller is also replaced in `running`.
 */
export function injectCoreFault(core: SimCore, running: string[], rng: Rng): Promise<string> {
  const name = running[randomInt(rng, running.length)] as string;
  const injectFault = FAULTS[randomInt(rng, FAULTS.length)] as Fault;
  return injectFault({ core, running, rng, name });
}

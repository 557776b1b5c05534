/** One trouble at a time for a core whose operators go on: struck, kept up for a while and ended again. */
import { randomInt } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimCore } from './sim-core.js';

const LONGEST_MS = 7_000;
/** A controller that is cut off for this long is what a day's worst cut looks like. */
const LONG_CUT_MS = 20_000;
const FLAPS = 6;
const LONGEST_FLAP_MS = 2_500;

type Struck = { readonly core: SimCore; readonly running: string[]; readonly rng: Rng; readonly name: string };
type Trouble = (struck: Struck) => Promise<string>;

async function spell(struck: Struck): Promise<void> {
  await struck.core.world.advance(200 + randomInt(struck.rng, LONGEST_MS));
}

async function kill(struck: Struck): Promise<string> {
  struck.core.kill(struck.name);
  await spell(struck);
  struck.core.start(struck.name);
  return `${struck.name} is killed`;
}
async function losePower(struck: Struck): Promise<string> {
  struck.core.powerLoss(struck.name);
  await spell(struck);
  struck.core.start(struck.name);
  return `${struck.name} loses power`;
}
async function freeze(struck: Struck): Promise<string> {
  const host = struck.core.node(struck.name).host;
  struck.core.world.freeze(host);
  await spell(struck);
  struck.core.world.thaw(host);
  return `${struck.name} is frozen`;
}
async function cutOff(struck: Struck): Promise<string> {
  struck.core.cutOff([struck.name]);
  if (struck.rng.next() < 0.3) await struck.core.world.advance(LONG_CUT_MS);
  else await spell(struck);
  struck.core.world.healAll();
  return `${struck.name} is cut off`;
}
/** A link that comes and goes: an order that was proposed before a cut is agreed or given up after it. */
async function flap(struck: Struck): Promise<string> {
  for (let count = 0; count < FLAPS; count += 1) {
    struck.core.cutOff([struck.name]);
    await struck.core.world.advance(100 + randomInt(struck.rng, LONGEST_FLAP_MS));
    struck.core.world.healAll();
    await struck.core.world.advance(randomInt(struck.rng, 500));
  }
  return `${struck.name} comes and goes`;
}
async function cutOneWay(struck: Struck): Promise<string> {
  const isOutward = struck.rng.next() < 0.5;
  for (const other of struck.running) {
    if (other === struck.name) continue;
    struck.core.world.cut(isOutward ? struck.name : other, isOutward ? other : struck.name);
  }
  await spell(struck);
  struck.core.world.healAll();
  return `${struck.name} is cut off one way, ${isOutward ? 'out' : 'in'}wards`;
}
async function loseDisk(struck: Struck): Promise<string> {
  struck.core.powerLoss(struck.name);
  struck.core.wipe(struck.name);
  await spell(struck);
  struck.core.start(struck.name);
  return `${struck.name} loses its disk`;
}
async function losePowerEverywhere(struck: Struck): Promise<string> {
  for (const name of struck.running) struck.core.powerLoss(name);
  await spell(struck);
  for (const name of struck.running) struck.core.start(name);
  return 'all lose power';
}
async function restartWhileCutOff(struck: Struck): Promise<string> {
  struck.core.cutOff([struck.name]);
  await spell(struck);
  struck.core.kill(struck.name);
  struck.core.start(struck.name);
  await spell(struck);
  struck.core.world.healAll();
  return `${struck.name} is cut off and restarts meanwhile`;
}
async function replace(struck: Struck): Promise<string> {
  const next = struck.core.add(`n${struck.core.nodes.length}`).name;
  struck.core.seeds(struck.running.slice(0, 3));
  const isPlanned = struck.rng.next() < 0.5;
  if (isPlanned) {
    struck.core.start(next);
    await struck.core.world.advance(1_500 + randomInt(struck.rng, 3_000));
    await struck.core.end(struck.name);
  } else {
    struck.core.powerLoss(struck.name);
    await struck.core.world.advance(randomInt(struck.rng, 3_000));
    struck.core.start(next);
  }
  struck.running.splice(struck.running.indexOf(struck.name), 1, next);
  return `${struck.name} is replaced by ${next}, ${isPlanned ? 'planned' : 'lost'}`;
}

const TROUBLES: readonly Trouble[] = [
  kill,
  losePower,
  freeze,
  cutOff,
  cutOff,
  cutOneWay,
  flap,
  loseDisk,
  losePowerEverywhere,
  restartWhileCutOff,
  replace,
];

/** Strikes any of `running` and returns what it did, once the trouble is over; `running` then names those that run. */
export function strikeCore(core: SimCore, running: string[], rng: Rng): Promise<string> {
  const name = running[randomInt(rng, running.length)] as string;
  const trouble = TROUBLES[randomInt(rng, TROUBLES.length)] as Trouble;
  return trouble({ core, running, rng, name });
}

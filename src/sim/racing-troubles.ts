/** One trouble at a time for a core whose operators go on: struck, kept up for a while and ended again. */
import { below } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import type { SimCore } from './sim-core.js';

const LONGEST_MS = 7_000;
/** A controller that is cut off for this long is what a day's worst cut looks like. */
const LONG_CUT_MS = 20_000;
const FLAPS = 6;
const LONGEST_FLAP_MS = 2_500;

type Struck = { readonly core: SimCore; readonly running: string[]; readonly rng: Rng; readonly name: string };
type Trouble = (struck: Struck) => Promise<string>;

async function spell(s: Struck): Promise<void> {
  await s.core.world.advance(200 + below(s.rng, LONGEST_MS));
}

async function kill(s: Struck): Promise<string> {
  s.core.kill(s.name);
  await spell(s);
  s.core.start(s.name);
  return `${s.name} is killed`;
}
async function losePower(s: Struck): Promise<string> {
  s.core.powerLoss(s.name);
  await spell(s);
  s.core.start(s.name);
  return `${s.name} loses power`;
}
async function freeze(s: Struck): Promise<string> {
  const host = s.core.node(s.name).host;
  s.core.world.freeze(host);
  await spell(s);
  s.core.world.thaw(host);
  return `${s.name} is frozen`;
}
async function cutOff(s: Struck): Promise<string> {
  s.core.cutOff([s.name]);
  if (s.rng.next() < 0.3) await s.core.world.advance(LONG_CUT_MS);
  else await spell(s);
  s.core.world.healAll();
  return `${s.name} is cut off`;
}
/** A link that comes and goes: an order that was proposed before a cut is agreed or given up after it. */
async function flap(s: Struck): Promise<string> {
  for (let n = 0; n < FLAPS; n += 1) {
    s.core.cutOff([s.name]);
    await s.core.world.advance(100 + below(s.rng, LONGEST_FLAP_MS));
    s.core.world.healAll();
    await s.core.world.advance(below(s.rng, 500));
  }
  return `${s.name} comes and goes`;
}
async function cutOneWay(s: Struck): Promise<string> {
  const isOutward = s.rng.next() < 0.5;
  for (const other of s.running) {
    if (other === s.name) continue;
    s.core.world.cut(isOutward ? s.name : other, isOutward ? other : s.name);
  }
  await spell(s);
  s.core.world.healAll();
  return `${s.name} is cut off one way, ${isOutward ? 'out' : 'in'}wards`;
}
async function loseDisk(s: Struck): Promise<string> {
  s.core.powerLoss(s.name);
  s.core.wipe(s.name);
  await spell(s);
  s.core.start(s.name);
  return `${s.name} loses its disk`;
}
async function losePowerEverywhere(s: Struck): Promise<string> {
  for (const name of s.running) s.core.powerLoss(name);
  await spell(s);
  for (const name of s.running) s.core.start(name);
  return 'all lose power';
}
async function restartWhileCutOff(s: Struck): Promise<string> {
  s.core.cutOff([s.name]);
  await spell(s);
  s.core.kill(s.name);
  s.core.start(s.name);
  await spell(s);
  s.core.world.healAll();
  return `${s.name} is cut off and restarts meanwhile`;
}
async function replace(s: Struck): Promise<string> {
  const next = s.core.add(`n${s.core.nodes.length}`).name;
  s.core.seeds(s.running.slice(0, 3));
  const isPlanned = s.rng.next() < 0.5;
  if (isPlanned) {
    s.core.start(next);
    await s.core.world.advance(1_500 + below(s.rng, 3_000));
    await s.core.end(s.name);
  } else {
    s.core.powerLoss(s.name);
    await s.core.world.advance(below(s.rng, 3_000));
    s.core.start(next);
  }
  s.running.splice(s.running.indexOf(s.name), 1, next);
  return `${s.name} is replaced by ${next}, ${isPlanned ? 'planned' : 'lost'}`;
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
  const name = running[below(rng, running.length)] as string;
  const trouble = TROUBLES[below(rng, TROUBLES.length)] as Trouble;
  return trouble({ core, running, rng, name });
}

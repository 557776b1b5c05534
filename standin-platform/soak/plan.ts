/** Draws what happens in one soak run from its seed: several series of troubles and orders that overlap. */
import { randomInt, createRng, pick } from '../../src/transport/rng.js';
import type { Rng } from '../../src/transport/rng.js';

/** What may be done to a machine that runs a role. */
export type NodeTrouble =
  | { readonly tag: 'freeze'; readonly forMs: number }
  | { readonly tag: 'kill'; readonly forMs: number; readonly wipe: boolean }
  | { readonly tag: 'stop' }
  | { readonly tag: 'reread' };

/** What may be done to a worker. */
export type WorkerTrouble =
  | { readonly tag: 'crash'; readonly forMs: number; readonly coldMs: number }
  | { readonly tag: 'dark'; readonly forMs: number }
  | { readonly tag: 'spoil'; readonly mode: SpoilMode; readonly forMs: number };
/** Ways in which a worker in trouble spoils its answers. */
export type SpoilMode = 'breakOff' | 'surplus' | 'garbage' | 'badStatus' | 'badName' | 'fail';

/** One step of a series: it begins so long after the step before it ended. `at` picks a machine, worker or zone. */
export type Step = { readonly afterMs: number; readonly at: number } & (
  | { readonly tag: 'core'; readonly trouble: NodeTrouble }
  | { readonly tag: 'edge'; readonly trouble: NodeTrouble }
  | { readonly tag: 'worker'; readonly trouble: WorkerTrouble }
  | { readonly tag: 'list'; readonly mode: 'down' | 'error' | 'slow'; readonly forMs: number }
  | { readonly tag: 'zone'; readonly begin: boolean; readonly patienceMs: number; readonly toFrozen: boolean }
  | { readonly tag: 'configure' }
  /** A machine is told to stop while callers hold connections to it in every state, and sometimes again as it starts. */
  | { readonly tag: 'held'; readonly core: boolean; readonly signals: number; readonly againAfterMs: number | null }
  /** A controller is replaced by plan; sometimes another one's disk is lost after the next acknowledgement. */
  | { readonly tag: 'replace'; readonly wipe: boolean }
);

/** The kinds of series; a run may leave some out. */
export const SERIES = ['core', 'zone', 'configure', 'edge', 'worker', 'list', 'held', 'replace'] as const;
/** One kind of series. */
export type Series = (typeof SERIES)[number];

/** All series of a run, and the share of controllers that lose power at its end. */
export type Plan = {
  readonly seed: number;
  readonly forMs: number;
  readonly series: readonly (readonly Step[])[];
  readonly lostAtEnd: number;
};

/** Each series draws from a stream of its own, so that the others stay as they are where one is added or left out. */
const STREAMS: Readonly<Record<Series | 'end', number>> = {
  core: 0,
  zone: 1,
  configure: 2,
  edge: 3,
  worker: 4,
  list: 5,
  end: 6,
  held: 7,
  replace: 1_000_000,
};
const STREAMS_A_SEED = 8;
const STEP_MEAN_MS = 3_000;
const SPOIL_MODES: readonly SpoilMode[] = ['breakOff', 'surplus', 'garbage', 'badStatus', 'badName', 'fail'];
/** After its return a machine counts as lost for this long; series of controllers mostly keep to one at a time. */
const SYNC_MS = 4_000;
const HURRIED_SHARE = 0.3;
/** Longest waits before a zone is evacuated, and before it is handed back. */
const MOST_CALM_MS = 3_000;
const MOST_EVACUATED_MS = 20_000;

function between(rng: Rng, least: number, most: number): number {
  return least + randomInt(rng, most - least + 1);
}

function nodeTrouble(rng: Rng, isCore: boolean): NodeTrouble {
  const drawn = rng.next();
  if (drawn < 0.5) return { tag: 'freeze', forMs: between(rng, 300, 7_000) };
  if (drawn < 0.75) return { tag: 'kill', forMs: between(rng, 0, 1_500), wipe: isCore && rng.next() < 0.3 };
  return drawn < 0.95 ? { tag: 'stop' } : { tag: 'reread' };
}

function workerTrouble(rng: Rng): WorkerTrouble {
  const forMs = between(rng, 500, 5_000);
  const drawn = rng.next();
  if (drawn < 0.3) return { tag: 'crash', forMs, coldMs: rng.next() < 0.5 ? 3_000 : 0 };
  return drawn < 0.6 ? { tag: 'dark', forMs } : { tag: 'spoil', mode: pick(rng, SPOIL_MODES), forMs };
}

function restOf(series: Series, rng: Rng, count: number): number {
  if (series === 'zone') return count % 2 === 0 ? between(rng, 50, MOST_CALM_MS) : between(rng, 500, MOST_EVACUATED_MS);
  if (series !== 'core') return between(rng, 100, 2 * STEP_MEAN_MS);
  return rng.next() < HURRIED_SHARE ? between(rng, 0, 1_000) : SYNC_MS + between(rng, 0, 2_000);
}

/** A lost disk has to be borne alone: nothing else may be lost within the time that its machine counts as lost. */
function keepDisksApart(steps: readonly Step[]): readonly Step[] {
  return steps.map((step, i) => {
    const isHurried = step.afterMs < SYNC_MS || (steps[i + 1]?.afterMs ?? 0) < SYNC_MS;
    if (!isHurried || step.tag !== 'core' || step.trouble.tag !== 'kill') return step;
    return { ...step, trouble: { ...step.trouble, wipe: false } };
  });
}

function step(series: Series, rng: Rng, count: number): Step {
  const common = { afterMs: restOf(series, rng, count), at: randomInt(rng, 1_000) };
  switch (series) {
    case 'core':
    case 'edge':
      return { ...common, tag: series, trouble: nodeTrouble(rng, series === 'core') };
    case 'worker':
      return { ...common, tag: series, trouble: workerTrouble(rng) };
    case 'list':
      return {
        ...common,
        tag: series,
        mode: pick(rng, ['down', 'error', 'slow'] as const),
        forMs: between(rng, 500, 4_000),
      };
    case 'zone':
      return {
        ...common,
        tag: series,
        begin: count % 2 === 0,
        patienceMs: pick(rng, [1_500, 5_000, 5_000]),
        toFrozen: rng.next() < 0.5,
      };
    case 'held':
      return {
        ...common,
        tag: series,
        core: rng.next() < 0.5,
        signals: between(rng, 1, 3),
        againAfterMs: rng.next() < 0.3 ? between(rng, 0, 300) : null,
      };
    case 'replace':
      return { ...common, tag: series, wipe: rng.next() < 0.7 };
    case 'configure':
      return { ...common, tag: series };
  }
}

/** More steps than a run has time for; those that are left over don't happen. */
const MOST_STEPS = 60;

/** The plan of a seed. The series that are left out don't change the others. */
export function drawPlan(seed: number, forMs: number, only: readonly Series[] = SERIES): Plan {
  const series: (readonly Step[])[] = [];
  function streamOf(name: Series | 'end'): Rng {
    return createRng(seed * STREAMS_A_SEED + STREAMS[name]);
  }
  for (const name of SERIES) {
    const rng = streamOf(name);
    const steps: Step[] = [];
    for (let count = 0; count < MOST_STEPS; count += 1) steps.push(step(name, rng, count));
    if (only.includes(name)) series.push(keepDisksApart(steps));
  }
  return { seed, forMs, series, lostAtEnd: streamOf('end').next() };
}

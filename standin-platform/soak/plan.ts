/** Draws the plan of a soak run from its seed: several series of faults and operator commands that overlap. */
import { randomInt, createRng, pick } from '../../src/transport/rng.js';
import type { Rng } from '../../src/transport/rng.js';
import type { EndlessMode } from '../worker-spec.js';
import { START_HAZARDS } from './start-hazards.js';
import type { StartHazard } from './start-hazards.js';

/** Faults of a node. */
export type NodeFault =
  | { readonly tag: 'freeze'; readonly forMs: number }
  | { readonly tag: 'kill'; readonly forMs: number; readonly wipe: boolean }
  | { readonly tag: 'stop' }
  | { readonly tag: 'reread' };

/** Faults of a worker. */
export type WorkerFault =
  | { readonly tag: 'crash'; readonly forMs: number; readonly coldMs: number }
  | { readonly tag: 'dark'; readonly forMs: number }
  | { readonly tag: 'spoil'; readonly mode: CorruptionMode | EndlessMode; readonly forMs: number };
/** How a faulty worker corrupts its responses. */
export type CorruptionMode = 'breakOff' | 'surplus' | 'garbage' | 'badStatus' | 'badName' | 'fail';

/** A step of a series. It begins `afterMs` after the end of the previous step; `at` selects a node or a worker. */
export type Step = { readonly afterMs: number; readonly at: number } & (
  | { readonly tag: 'core'; readonly fault: NodeFault }
  | { readonly tag: 'edge'; readonly fault: NodeFault }
  | { readonly tag: 'worker'; readonly fault: WorkerFault }
  | { readonly tag: 'list'; readonly mode: 'down' | 'error' | 'slow'; readonly forMs: number }
  | { readonly tag: 'zone'; readonly begin: boolean; readonly retryForMs: number; readonly toFrozenController: boolean }
  | { readonly tag: 'configure' }
  /** Stops a node while callers hold connections to it in each state, and sometimes again while it starts. */
  | { readonly tag: 'held'; readonly core: boolean; readonly signals: number; readonly stopAgainAfterMs: number | null }
  /** Replaces a controller; `wipe` deletes the disk of another one after the next acknowledged configuration. */
  | { readonly tag: 'replace'; readonly wipe: boolean }
  /** Replaces a controller in a way that leaves a silent member, then deletes the disk of another one. */
  | { readonly tag: 'succession'; readonly silence: Silence }
  /** A worker that answers without end, or a crowd that sends a node more bodies without end than it holds. */
  | {
      readonly tag: 'endless';
      readonly from: 'worker' | 'proxyCrowd' | 'controllerCrowd';
      readonly mode: EndlessMode;
      readonly forMs: number;
    }
  /** Restarts a node while something that its start needs is missing for `forMs`. */
  | {
      readonly tag: 'restart';
      readonly core: boolean;
      readonly isKilled: boolean;
      readonly hazard: StartHazard;
      readonly forMs: number;
    }
);

/**
 * Which member is silent around a replacement: the replaced one, which is switched off instead of told to end, or a third
 * one, which is dark or frozen and comes back with its disk.
 */
export type Silence = 'replacedOff' | 'otherDark' | 'otherFrozen';

/** All series; a run may play some of them only. */
export const SERIES = [
  'core',
  'zone',
  'configure',
  'edge',
  'worker',
  'list',
  'held',
  'replace',
  'restart',
  'endless',
  'succession',
] as const;
/** The name of a series. */
export type Series = (typeof SERIES)[number];

/** The series of a run, and the share of controllers that are killed at its end. */
export type Plan = {
  readonly seed: number;
  readonly forMs: number;
  readonly series: readonly (readonly Step[])[];
  readonly killedShareAtEnd: number;
};

/** Each series has its own random stream, so that adding or leaving out one does not change the others. */
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
  restart: 2_000_000,
  endless: 3_000_000,
  succession: 4_000_000,
};
const STREAMS_PER_SEED = 8;
const STEP_MEAN_MS = 3_000;
const CORRUPTION_MODES: readonly CorruptionMode[] = ['breakOff', 'surplus', 'garbage', 'badStatus', 'badName', 'fail'];
/** A machine counts as lost for this long after its restart; most controller faults are further apart than that. */
const SYNC_MS = 4_000;
/** Share of controller faults that follow the previous one within a second. */
const SHORT_DELAY_SHARE = 0.3;
/** Maximum delays before a zone is evacuated, and before it is restored. */
const MAX_DELAY_BEFORE_EVACUATION_MS = 3_000;
const MAX_EVACUATION_MS = 20_000;
/** Less than the time for which a process waits for its settings. */
const MAX_HAZARD_MS = 1_500;

function randomBetween(rng: Rng, min: number, max: number): number {
  return min + randomInt(rng, max - min + 1);
}

function drawNodeFault(rng: Rng, isCore: boolean): NodeFault {
  const drawn = rng.next();
  if (drawn < 0.5) return { tag: 'freeze', forMs: randomBetween(rng, 300, 7_000) };
  if (drawn < 0.75) return { tag: 'kill', forMs: randomBetween(rng, 0, 1_500), wipe: isCore && rng.next() < 0.3 };
  return drawn < 0.95 ? { tag: 'stop' } : { tag: 'reread' };
}

function drawWorkerFault(rng: Rng): WorkerFault {
  const forMs = randomBetween(rng, 500, 5_000);
  const drawn = rng.next();
  if (drawn < 0.3) return { tag: 'crash', forMs, coldMs: rng.next() < 0.5 ? 3_000 : 0 };
  return drawn < 0.6 ? { tag: 'dark', forMs } : { tag: 'spoil', mode: pick(rng, CORRUPTION_MODES), forMs };
}

function drawDelay(series: Series, rng: Rng, index: number): number {
  if (series === 'zone')
    return index % 2 === 0
      ? randomBetween(rng, 50, MAX_DELAY_BEFORE_EVACUATION_MS)
      : randomBetween(rng, 500, MAX_EVACUATION_MS);
  if (series !== 'core') return randomBetween(rng, 100, 2 * STEP_MEAN_MS);
  return rng.next() < SHORT_DELAY_SHARE ? randomBetween(rng, 0, 1_000) : SYNC_MS + randomBetween(rng, 0, 2_000);
}

/** Cancels disk losses that are too close to another fault: no other machine may be lost while one counts as lost. */
function keepDiskLossesApart(steps: readonly Step[]): readonly Step[] {
  return steps.map((step, i) => {
    const isTooClose = step.afterMs < SYNC_MS || (steps[i + 1]?.afterMs ?? 0) < SYNC_MS;
    if (!isTooClose || step.tag !== 'core' || step.fault.tag !== 'kill') return step;
    return { ...step, fault: { ...step.fault, wipe: false } };
  });
}

function drawStep(series: Series, rng: Rng, index: number): Step {
  const common = { afterMs: drawDelay(series, rng, index), at: randomInt(rng, 1_000) };
  switch (series) {
    case 'core':
    case 'edge':
      return { ...common, tag: series, fault: drawNodeFault(rng, series === 'core') };
    case 'worker':
      return { ...common, tag: series, fault: drawWorkerFault(rng) };
    case 'list':
      return {
        ...common,
        tag: series,
        mode: pick(rng, ['down', 'error', 'slow'] as const),
        forMs: randomBetween(rng, 500, 4_000),
      };
    case 'zone':
      return {
        ...common,
        tag: series,
        begin: index % 2 === 0,
        retryForMs: pick(rng, [1_500, 5_000, 5_000]),
        toFrozenController: rng.next() < 0.5,
      };
    case 'held':
      return {
        ...common,
        tag: series,
        core: rng.next() < 0.5,
        signals: randomBetween(rng, 1, 3),
        stopAgainAfterMs: rng.next() < 0.3 ? randomBetween(rng, 0, 300) : null,
      };
    case 'replace':
      return { ...common, tag: series, wipe: rng.next() < 0.7 };
    case 'succession':
      return { ...common, tag: series, silence: pick(rng, ['replacedOff', 'otherDark', 'otherFrozen'] as const) };
    case 'restart':
      return {
        ...common,
        tag: series,
        core: rng.next() < 0.5,
        isKilled: rng.next() < 0.5,
        hazard: pick(rng, START_HAZARDS),
        forMs: randomBetween(rng, 50, MAX_HAZARD_MS),
      };
    case 'endless':
      return {
        ...common,
        tag: series,
        from: pick(rng, ['worker', 'worker', 'proxyCrowd', 'controllerCrowd'] as const),
        mode: pick(rng, ['endless', 'endlessTiny'] as const),
        forMs: randomBetween(rng, 500, 5_000),
      };
    case 'configure':
      return { ...common, tag: series };
  }
}

/** More steps than a run has time for; the remaining ones are not played. */
const MAX_STEPS = 60;

/** Draws the plan of a seed. Leaving out a series does not change the others. */
export function drawPlan(seed: number, forMs: number, only: readonly Series[] = SERIES): Plan {
  const series: (readonly Step[])[] = [];
  function rngFor(name: Series | 'end'): Rng {
    return createRng(seed * STREAMS_PER_SEED + STREAMS[name]);
  }
  for (const name of SERIES) {
    const rng = rngFor(name);
    const steps: Step[] = [];
    for (let index = 0; index < MAX_STEPS; index += 1) steps.push(drawStep(name, rng, index));
    if (only.includes(name)) series.push(keepDiskLossesApart(steps));
  }
  return { seed, forMs, series, killedShareAtEnd: rngFor('end').next() };
}

/**
 * Deployments for the engine model: regions, workers, proxies and kinds of request. `drawDeployment`
 * draws one at random, so that a selection policy is evaluated on deployments that were not picked by hand.
 */

import { createRng, pick } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { EngineParameters } from './engine-worker.js';

/** A worker of a deployment. */
export type DeployedWorker = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly engine: EngineParameters;
};

/** A level of shared prompt parts: their number and their mean length in tokens. */
export type SharedLevel = { readonly count: number; readonly meanTokens: number };

/** A log-normal size: its mean, its sigma (`spread`) and its maximum (`most`). */
export type DrawnSize = { readonly mean: number; readonly spread: number; readonly most: number };

/**
 * A kind of request: its urgency (`rank`), arrival rate, the worth of a request that is in time or late, latency
 * target (`aimMs`), longest allowed pause between events, prompt and output sizes, and home regions.
 */
export type RequestKind = {
  readonly name: string;
  readonly rank: number;
  readonly ratePerSecond: number;
  readonly fullWorth: number;
  readonly lateWorth: number;
  readonly aimMs: number;
  readonly pauseMs: number;
  readonly shared: readonly SharedLevel[];
  readonly ownTokens: DrawnSize;
  readonly outTokens: DrawnSize;
  readonly homes: readonly string[];
};

/** A proxy of a deployment. */
export type DeployedProxy = { readonly name: string; readonly zone: string; readonly region: string };

/** A complete deployment. `rereadPrice` is the worth lost per 1,000 tokens of shared parts that are prefilled again. */
export type Deployment = {
  readonly workers: readonly DeployedWorker[];
  readonly proxies: readonly DeployedProxy[];
  readonly kinds: readonly RequestKind[];
  readonly controllers: number;
  readonly inZoneMs: number;
  readonly crossZoneMs: number;
  readonly crossRegionMs: number;
  readonly rereadPrice: number;
  readonly lengthMs: number;
};

const REGIONS = ['r0', 'r1', 'r2'];
const ZONES_PER_REGION = 2;
const DEFAULT_LENGTH_MS = 24_000;

function distribute<T>(
  count: number,
  weights: readonly number[],
  create: (index: number, regionIndex: number) => T,
): T[] {
  const out: T[] = [];
  let sum = 0;
  for (const weight of weights) sum += weight;
  for (let i = 0; i < count; i += 1) {
    let position = ((i + 0.5) / count) * sum;
    let regionIndex = 0;
    while (regionIndex < weights.length - 1 && position >= (weights[regionIndex] as number)) {
      position -= weights[regionIndex] as number;
      regionIndex += 1;
    }
    out.push(create(i, regionIndex));
  }
  return out;
}

function zoneOf(region: string, index: number): string {
  return `${region}-z${index % ZONES_PER_REGION}`;
}

/** Parameters that a deployment is built from. `slowdowns` are assigned to the workers in turn. */
export type DeploymentParameters = {
  readonly workers: number;
  readonly proxies: number;
  readonly regionWeights: readonly number[];
  readonly engine: Omit<EngineParameters, 'slowdown'>;
  readonly slowdowns: readonly number[];
  readonly kinds: readonly RequestKind[];
  readonly crossRegionMs: number;
  readonly rereadPrice: number;
  readonly lengthMs: number;
};

/** Builds a deployment: workers are distributed by the weights of the regions, proxies evenly. */
export function buildDeployment(parameters: DeploymentParameters): Deployment {
  const workers = distribute(parameters.workers, parameters.regionWeights, (index, regionIndex): DeployedWorker => {
    const region = REGIONS[regionIndex] as string;
    const slowdown = parameters.slowdowns[index % parameters.slowdowns.length] as number;
    return { id: `w${index}`, zone: zoneOf(region, index), region, engine: { ...parameters.engine, slowdown } };
  });
  const proxies = distribute(parameters.proxies, [1, 1, 1], (index, regionIndex): DeployedProxy => {
    const region = REGIONS[regionIndex] as string;
    return { name: `p${index}`, zone: zoneOf(region, index), region };
  });
  return {
    workers,
    proxies,
    kinds: parameters.kinds,
    controllers: Math.min(5, Math.max(1, parameters.proxies)),
    inZoneMs: 0.1,
    crossZoneMs: 1.4,
    crossRegionMs: parameters.crossRegionMs,
    rereadPrice: parameters.rereadPrice,
    lengthMs: parameters.lengthMs,
  };
}

function uniform(rng: Rng, min: number, max: number): number {
  return min + rng.next() * (max - min);
}
/** A value drawn uniformly on a logarithmic scale. */
function logUniform(rng: Rng, min: number, max: number): number {
  return min * (max / min) ** rng.next();
}

/** The load from which the kinds of request of a drawn deployment are derived. */
type DrawnLoad = {
  readonly ratePerSecond: number;
  readonly requests: number;
  readonly longFraction: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly shortTokens: number;
  readonly tokensPerMs: number;
};

/** Long prompts that share most of their tokens and have short outputs, and short prompts with long outputs. */
function drawKinds(rng: Rng, load: DrawnLoad): RequestKind[] {
  const { ratePerSecond, requests, longFraction, sharedTokens, ownTokens, shortTokens, tokensPerMs } = load;
  const subjectCount = Math.max(20, Math.round(requests * longFraction * uniform(rng, 0.1, 0.4)));
  const longTargetMs = Math.max(400, (3.5 * (sharedTokens + ownTokens)) / tokensPerMs);
  return [
    {
      name: 'long',
      rank: 0,
      ratePerSecond: ratePerSecond * longFraction,
      fullWorth: 3,
      lateWorth: 0.9,
      aimMs: longTargetMs,
      pauseMs: 600,
      shared: [
        { count: 4, meanTokens: sharedTokens * 0.4 },
        { count: subjectCount, meanTokens: sharedTokens * 0.6 },
      ],
      ownTokens: { mean: ownTokens, spread: uniform(rng, 0.5, 1), most: ownTokens * 13 },
      outTokens: { mean: 50, spread: 1, most: 200 },
      homes: [],
    },
    {
      name: 'short',
      rank: 1,
      ratePerSecond: ratePerSecond * (1 - longFraction),
      fullWorth: 2,
      lateWorth: 0.6,
      aimMs: 1_200,
      pauseMs: 600,
      shared: [{ count: 40, meanTokens: shortTokens * 0.3 }],
      ownTokens: { mean: shortTokens * 0.7, spread: 0.8, most: shortTokens * 5 },
      outTokens: { mean: uniform(rng, 60, 300), spread: 0.7, most: 950 },
      homes: rng.next() < 0.5 ? [] : ['r0', 'r1'],
    },
  ];
}

/** Draws a deployment by seed: 6 to 90 workers at 5 to 45% of their prefill speed, and two kinds of request. */
export function drawDeployment(seed: number, lengthMs = DEFAULT_LENGTH_MS): Deployment {
  const rng = createRng(seed ^ 0x0d15ea5e);
  const workers = Math.round(logUniform(rng, 6, 90));
  const tokensPerMs = logUniform(rng, 15, 90);
  const loadFraction = uniform(rng, 0.05, 0.45);
  const sharedTokens = logUniform(rng, 500, 12_000);
  const ownTokens = logUniform(rng, 400, 5_000);
  const shortTokens = logUniform(rng, 200, 1_500);
  const longFraction = uniform(rng, 0.15, 0.7);
  const prefillPerRequest = longFraction * (sharedTokens * 0.5 + ownTokens) + (1 - longFraction) * shortTokens;
  const ratePerSecond = (loadFraction * workers * tokensPerMs * 1_000) / prefillPerRequest;
  const batch = pick(rng, [16, 32, 64]);
  const requests = (ratePerSecond * lengthMs) / 1_000;
  const kinds = drawKinds(rng, {
    ratePerSecond,
    requests,
    longFraction,
    sharedTokens,
    ownTokens,
    shortTokens,
    tokensPerMs,
  });
  return buildDeployment({
    workers,
    proxies: Math.round(logUniform(rng, 3, 70)),
    regionWeights: [uniform(rng, 1, 6), uniform(rng, 1, 4), uniform(rng, 1, 2)],
    engine: {
      batch,
      kvTokens: Math.round(uniform(rng, 120_000, 400_000)),
      stepMs: uniform(rng, 4, 9),
      stepMsPerRequest: 0.004,
      contextMsPerThousandTokens: 0.0085,
      tokensPerMs,
      attentionMsPerMillionPairs: logUniform(rng, 0.1, 1),
      chunkTokens: 2_048,
      tokensPerEvent: pick(rng, [1, 5, 7]),
    },
    slowdowns: pick(rng, [[1], [1, 1, 1.3], [1, 1.2, 1.6, 1]]),
    kinds,
    crossRegionMs: logUniform(rng, 8, 90),
    rereadPrice: uniform(rng, 0, 0.2),
    lengthMs,
  });
}

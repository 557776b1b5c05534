/**
 * Deployments for the engine model: regions, workers, proxies and kinds of request. `drawDeployment`
 * draws one at random, so that a policy of placement is judged on deployments that nobody chose.
 */

import { createRng, pick } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { EngineFigures } from './engine-worker.js';

/** A worker of a deployment. */
export type DeployedWorker = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly figures: EngineFigures;
};

/** One level of shared prompt parts: how many there are, and their mean length in tokens. */
export type SharedLevel = { readonly count: number; readonly meanTokens: number };

/** A log-normal size: its mean, its spread (sigma) and its largest value. */
export type DrawnSize = { readonly mean: number; readonly spread: number; readonly most: number };

/** A kind of request. */
export type RequestKind = {
  readonly name: string;
  readonly rank: number;
  readonly perS: number;
  readonly worth: number;
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

/** A whole deployment. `rereadPrice` is in worth for 1,000 tokens of shared parts that are read again. */
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
const ZONES_A_REGION = 2;
const DRAWN_LENGTH_MS = 24_000;

function spreadOver<T>(count: number, weights: readonly number[], make: (index: number, at: number) => T): T[] {
  const out: T[] = [];
  let sum = 0;
  for (const weight of weights) sum += weight;
  for (let i = 0; i < count; i += 1) {
    let at = ((i + 0.5) / count) * sum;
    let region = 0;
    while (region < weights.length - 1 && at >= (weights[region] as number)) {
      at -= weights[region] as number;
      region += 1;
    }
    out.push(make(i, region));
  }
  return out;
}

function zpick(region: string, index: number): string {
  return `${region}-z${index % ZONES_A_REGION}`;
}

/** Figures that a deployment is built from. */
export type DeploymentFigures = {
  readonly workers: number;
  readonly proxies: number;
  readonly regionWeights: readonly number[];
  readonly engine: Omit<EngineFigures, 'slowness'>;
  readonly slowness: readonly number[];
  readonly kinds: readonly RequestKind[];
  readonly crossRegionMs: number;
  readonly rereadPrice: number;
  readonly lengthMs: number;
};

/** The deployment with these figures: workers by the weights of the regions, proxies evenly. */
export function buildDeployment(figures: DeploymentFigures): Deployment {
  const workers = spreadOver(figures.workers, figures.regionWeights, (index, at): DeployedWorker => {
    const region = REGIONS[at] as string;
    const slowness = figures.slowness[index % figures.slowness.length] as number;
    return { id: `w${index}`, zone: zpick(region, index), region, figures: { ...figures.engine, slowness } };
  });
  const proxies = spreadOver(figures.proxies, [1, 1, 1], (index, at): DeployedProxy => {
    const region = REGIONS[at] as string;
    return { name: `p${index}`, zone: zpick(region, index), region };
  });
  return {
    workers,
    proxies,
    kinds: figures.kinds,
    controllers: Math.min(5, Math.max(1, figures.proxies)),
    inZoneMs: 0.1,
    crossZoneMs: 1.4,
    crossRegionMs: figures.crossRegionMs,
    rereadPrice: figures.rereadPrice,
    lengthMs: figures.lengthMs,
  };
}

function between(rng: Rng, least: number, most: number): number {
  return least + rng.next() * (most - least);
}
/** Evenly drawn on a logarithmic scale. */
function scaled(rng: Rng, least: number, most: number): number {
  return least * (most / least) ** rng.next();
}

/** What the kinds of a drawn deployment follow from. */
type DrawnLoad = {
  readonly perS: number;
  readonly requests: number;
  readonly longFraction: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly shortTokens: number;
  readonly tokensPerMs: number;
};

/** Long prompts with short answers that share most of what they ask, and short ones with long answers. */
function drawKinds(rng: Rng, load: DrawnLoad): RequestKind[] {
  const { perS, requests, longFraction, sharedTokens, ownTokens, shortTokens, tokensPerMs } = load;
  const things = Math.max(20, Math.round(requests * longFraction * between(rng, 0.1, 0.4)));
  const longAimMs = Math.max(400, (3.5 * (sharedTokens + ownTokens)) / tokensPerMs);
  return [
    {
      name: 'long',
      rank: 0,
      perS: perS * longFraction,
      worth: 3,
      lateWorth: 0.9,
      aimMs: longAimMs,
      pauseMs: 600,
      shared: [
        { count: 4, meanTokens: sharedTokens * 0.4 },
        { count: things, meanTokens: sharedTokens * 0.6 },
      ],
      ownTokens: { mean: ownTokens, spread: between(rng, 0.5, 1), most: ownTokens * 13 },
      outTokens: { mean: 50, spread: 1, most: 200 },
      homes: [],
    },
    {
      name: 'short',
      rank: 1,
      perS: perS * (1 - longFraction),
      worth: 2,
      lateWorth: 0.6,
      aimMs: 1_200,
      pauseMs: 600,
      shared: [{ count: 40, meanTokens: shortTokens * 0.3 }],
      ownTokens: { mean: shortTokens * 0.7, spread: 0.8, most: shortTokens * 5 },
      outTokens: { mean: between(rng, 60, 300), spread: 0.7, most: 950 },
      homes: rng.next() < 0.5 ? [] : ['r0', 'r1'],
    },
  ];
}

/** A deployment drawn by seed: 6 to 90 workers at 5 to 45% of their reading speed, and two kinds of request. */
export function drawDeployment(seed: number, lengthMs = DRAWN_LENGTH_MS): Deployment {
  const rng = createRng(seed ^ 0x0d15ea5e);
  const workers = Math.round(scaled(rng, 6, 90));
  const tokensPerMs = scaled(rng, 15, 90);
  const busy = between(rng, 0.05, 0.45);
  const sharedTokens = scaled(rng, 500, 12_000);
  const ownTokens = scaled(rng, 400, 5_000);
  const shortTokens = scaled(rng, 200, 1_500);
  const longFraction = between(rng, 0.15, 0.7);
  const readPerRequest = longFraction * (sharedTokens * 0.5 + ownTokens) + (1 - longFraction) * shortTokens;
  const perS = (busy * workers * tokensPerMs * 1_000) / readPerRequest;
  const batch = pick(rng, [16, 32, 64]);
  const requests = (perS * lengthMs) / 1_000;
  const kinds = drawKinds(rng, { perS, requests, longFraction, sharedTokens, ownTokens, shortTokens, tokensPerMs });
  return buildDeployment({
    workers,
    proxies: Math.round(scaled(rng, 3, 70)),
    regionWeights: [between(rng, 1, 6), between(rng, 1, 4), between(rng, 1, 2)],
    engine: {
      batch,
      kvTokens: Math.round(between(rng, 120_000, 400_000)),
      stepMs: between(rng, 4, 9),
      stepMsPerRequest: 0.004,
      contextMsPerThousand: 0.0085,
      tokensPerMs,
      pairsMsPerMillion: scaled(rng, 0.1, 1),
      chunkTokens: 2_048,
      stride: pick(rng, [1, 5, 7]),
    },
    slowness: pick(rng, [[1], [1, 1, 1.3], [1, 1.2, 1.6, 1]]),
    kinds,
    crossRegionMs: scaled(rng, 8, 90),
    rereadPrice: between(rng, 0, 0.2),
    lengthMs,
  });
}

import { hash32 } from '../base/digest.js';
import type { Candidate, PlaceContext } from './candidate.js';

export type Policy = {
  readonly name: string;
  readonly keep?: (c: Candidate, ctx: PlaceContext) => boolean;
  readonly score?: (c: Candidate, ctx: PlaceContext) => number;
};

const AFFINITY_WEIGHT = 4;
const STICKY_WEIGHT = 0.8;
const USAGE_WEIGHT = 3;
const OTHER_ZONE = 0.4;
const OTHER_REGION = 1.5;
const BOUND = 1.25;
const BOUND_SLACK = 0.25;

function keepHomes(c: Candidate, ctx: PlaceContext): boolean {
  return ctx.homes === null || ctx.homes.includes(c.region);
}
function keepStaying(c: Candidate): boolean {
  return !c.leaving;
}
function keepOpenZones(c: Candidate): boolean {
  return !c.evacuated;
}
function keepFit(c: Candidate): boolean {
  return c.fit;
}
function keepPartition(c: Candidate, ctx: PlaceContext): boolean {
  return !ctx.partitioned || (c.region === ctx.ownRegion && c.answersUs);
}
function keepUntried(c: Candidate, ctx: PlaceContext): boolean {
  return !ctx.avoid.has(c.ix);
}
function keepRoom(c: Candidate): boolean {
  return c.running < c.limit;
}
function withinBound(c: Candidate, ctx: PlaceContext): boolean {
  return c.running / c.limit <= ctx.meanShare * BOUND + BOUND_SLACK;
}
function scorePrefix(c: Candidate, ctx: PlaceContext): number {
  if (!withinBound(c, ctx)) return 0;
  const sticky = !c.agreed ? 0 : hash32(`${ctx.seed}|${c.id}`) / 4294967296;
  return AFFINITY_WEIGHT * c.knownShare + STICKY_WEIGHT * sticky;
}
function scoreUsage(c: Candidate): number {
  return -USAGE_WEIGHT * (c.running / c.limit);
}
function scoreDistance(c: Candidate, ctx: PlaceContext): number {
  if (c.zone === ctx.zone) return 0;
  return c.region === ctx.region ? -OTHER_ZONE : -OTHER_REGION;
}

export const PREFIX_POLICY: Policy = { name: 'prefix', score: scorePrefix };

export const POLICIES: readonly Policy[] = [
  { name: 'homes', keep: keepHomes },
  { name: 'leaving', keep: keepStaying },
  { name: 'evacuated', keep: keepOpenZones },
  { name: 'health', keep: keepFit },
  { name: 'partition', keep: keepPartition },
  { name: 'untried', keep: keepUntried },
  { name: 'room', keep: keepRoom },
  PREFIX_POLICY,
  { name: 'usage', score: scoreUsage },
  { name: 'distance', score: scoreDistance },
];

export type Choice =
  { readonly tag: 'chosen'; readonly candidate: Candidate } | { readonly tag: 'none'; readonly stoppedBy: string };

export function placeAmong(all: readonly Candidate[], ctx: PlaceContext, policies: readonly Policy[]): Choice {
  let left = all;
  for (const p of policies) {
    if (!p.keep) continue;
    const kept: Candidate[] = [];
    for (const c of left) if (p.keep(c, ctx)) kept.push(c);
    if (kept.length === 0) return { tag: 'none', stoppedBy: left.length === 0 ? 'model' : p.name };
    left = kept;
  }
  let best: Candidate | null = null;
  let top = -Infinity;
  for (const c of left) {
    let score = 0;
    for (const p of policies) if (p.score) score += p.score(c, ctx);
    if (score > top || (score === top && best !== null && c.id < best.id)) {
      best = c;
      top = score;
    }
  }
  return best ? { tag: 'chosen', candidate: best } : { tag: 'none', stoppedBy: 'model' };
}

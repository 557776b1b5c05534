import { hash32 } from '../base/digest.js';
import type { Candidate, SelectionContext } from './candidate.js';

export type Policy = {
  readonly name: string;
  readonly filter?: (c: Candidate, ctx: SelectionContext) => boolean;
  readonly score?: (c: Candidate, ctx: SelectionContext) => number;
};

const AFFINITY_WEIGHT = 4;
const STICKY_WEIGHT = 0.8;
const USAGE_WEIGHT = 3;
const OTHER_ZONE = 0.4;
const OTHER_REGION = 1.5;
const BOUND = 1.25;
const BOUND_SLACK = 0.25;

function filterHomes(c: Candidate, ctx: SelectionContext): boolean {
  return ctx.homes === null || ctx.homes.includes(c.region);
}
function filterDraining(c: Candidate): boolean {
  return !c.leaving;
}
function filterEvacuated(c: Candidate): boolean {
  return !c.evacuated;
}
function filterUnhealthy(c: Candidate): boolean {
  return c.healthy;
}
function filterPartition(c: Candidate, ctx: SelectionContext): boolean {
  return !ctx.partitioned || (c.region === ctx.ownRegion && c.answersUs);
}
function filterTried(c: Candidate, ctx: SelectionContext): boolean {
  return !ctx.avoid.has(c.ix);
}
function filterFull(c: Candidate): boolean {
  return c.running < c.limit;
}
function withinBound(c: Candidate, ctx: SelectionContext): boolean {
  return c.running / c.limit <= ctx.meanLoad * BOUND + BOUND_SLACK;
}
function scorePrefix(c: Candidate, ctx: SelectionContext): number {
  if (!withinBound(c, ctx)) return 0;
  const sticky = !c.agreed ? 0 : hash32(`${ctx.seed}|${c.id}`) / 4294967296;
  return AFFINITY_WEIGHT * c.knownFraction + STICKY_WEIGHT * sticky;
}
function scoreLoad(c: Candidate): number {
  return -USAGE_WEIGHT * (c.running / c.limit);
}
function scoreDistance(c: Candidate, ctx: SelectionContext): number {
  if (c.zone === ctx.zone) return 0;
  return c.region === ctx.region ? -OTHER_ZONE : -OTHER_REGION;
}

export const PREFIX_POLICY: Policy = { name: 'prefix', score: scorePrefix };

export const POLICIES: readonly Policy[] = [
  { name: 'homes', filter: filterHomes },
  { name: 'leaving', filter: filterDraining },
  { name: 'evacuated', filter: filterEvacuated },
  { name: 'health', filter: filterUnhealthy },
  { name: 'partition', filter: filterPartition },
  { name: 'untried', filter: filterTried },
  { name: 'room', filter: filterFull },
  PREFIX_POLICY,
  { name: 'usage', score: scoreLoad },
  { name: 'distance', score: scoreDistance },
];

export type Choice =
  { readonly tag: 'chosen'; readonly candidate: Candidate } | { readonly tag: 'none'; readonly stoppedBy: string };

export function selectAmong(all: readonly Candidate[], ctx: SelectionContext, policies: readonly Policy[]): Choice {
  let left = all;
  for (const p of policies) {
    if (!p.filter) continue;
    const remaining: Candidate[] = [];
    for (const c of left) if (p.filter(c, ctx)) remaining.push(c);
    if (remaining.length === 0) return { tag: 'none', stoppedBy: left.length === 0 ? 'model' : p.name };
    left = remaining;
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

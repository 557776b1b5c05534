/** Placement as a line of policies: filters that rule workers out, then scorers whose sum decides. */
import { hash32 } from '../../base/digest.js';
import type { Candidate, SelectionContext } from './candidate.js';

/** A filter, a scorer, or both. */
export type Policy = {
  readonly name: string;
  readonly filter?: (candidate: Candidate, ctx: SelectionContext) => boolean;
  readonly score?: (candidate: Candidate, ctx: SelectionContext) => number;
};

const AFFINITY_WEIGHT = 4;
const STICKY_WEIGHT = 0.8;
const USAGE_WEIGHT = 3;
const OTHER_ZONE = 0.4;
const OTHER_REGION = 1.5;
const BOUND = 1.25;
const BOUND_SLACK = 0.25;

function filterHomes(candidate: Candidate, ctx: SelectionContext): boolean {
  return ctx.homes === null || ctx.homes.includes(candidate.region);
}
function filterDraining(candidate: Candidate): boolean {
  return !candidate.leaving;
}
function filterEvacuated(candidate: Candidate): boolean {
  return !candidate.evacuated;
}
function filterUnhealthy(candidate: Candidate): boolean {
  return candidate.healthy;
}
function filterPartition(candidate: Candidate, ctx: SelectionContext): boolean {
  return !ctx.partitioned || (candidate.region === ctx.ownRegion && candidate.answersUs);
}
function filterTried(candidate: Candidate, ctx: SelectionContext): boolean {
  return !ctx.avoid.has(candidate.index);
}
function filterFull(candidate: Candidate): boolean {
  return candidate.running < candidate.limit;
}
function withinBound(candidate: Candidate, ctx: SelectionContext): boolean {
  return candidate.running / candidate.limit <= ctx.meanLoad * BOUND + BOUND_SLACK;
}
function scorePrefix(candidate: Candidate, ctx: SelectionContext): number {
  if (!withinBound(candidate, ctx)) return 0;
  const sticky = !candidate.agreed ? 0 : hash32(`${ctx.seed}|${candidate.id}`) / 4294967296;
  return AFFINITY_WEIGHT * candidate.knownFraction + STICKY_WEIGHT * sticky;
}
function scoreLoad(candidate: Candidate): number {
  return -USAGE_WEIGHT * (candidate.running / candidate.limit);
}
function scoreDistance(candidate: Candidate, ctx: SelectionContext): number {
  if (candidate.zone === ctx.zone) return 0;
  return candidate.region === ctx.region ? -OTHER_ZONE : -OTHER_REGION;
}

/** Prefers workers that hold much of the prompt, unless they are loaded above the mean. */
export const PREFIX_POLICY: Policy = { name: 'prefix', score: scorePrefix };

/** The policies in use, in order. */
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

/** The chosen worker, or the name of the filter that left none. */
export type Choice =
  { readonly tag: 'chosen'; readonly candidate: Candidate } | { readonly tag: 'none'; readonly stoppedBy: string };

/** Chooses among candidates; ties go to the lower id. */
export function selectAmong(all: readonly Candidate[], ctx: SelectionContext, policies: readonly Policy[]): Choice {
  let left = all;
  for (const policy of policies) {
    if (!policy.filter) continue;
    const remaining: Candidate[] = [];
    for (const candidate of left) if (policy.filter(candidate, ctx)) remaining.push(candidate);
    if (remaining.length === 0) return { tag: 'none', stoppedBy: left.length === 0 ? 'model' : policy.name };
    left = remaining;
  }
  let best: Candidate | null = null;
  let top = -Infinity;
  for (const candidate of left) {
    let score = 0;
    for (const policy of policies) if (policy.score) score += policy.score(candidate, ctx);
    if (score > top || (score === top && best !== null && candidate.id < best.id)) {
      best = candidate;
      top = score;
    }
  }
  return best ? { tag: 'chosen', candidate: best } : { tag: 'none', stoppedBy: 'model' };
}

/** Selects a worker by a list of policies: filters that exclude candidates, then scores that are added up. */
import { hash32 } from '../../base/digest.js';
import type { Candidate, SelectionContext } from './candidate.js';

/** A filter, a score, or both. */
export type Policy = {
  readonly name: string;
  readonly filter?: (candidate: Candidate, ctx: SelectionContext) => boolean;
  readonly score?: (candidate: Candidate, ctx: SelectionContext) => number;
};

const AFFINITY_WEIGHT = 4;
const HASH_WEIGHT = 0.8;
const LOAD_WEIGHT = 3;
const CROSS_ZONE_PENALTY = 0.4;
const CROSS_REGION_PENALTY = 1.5;
const MAX_RELATIVE_LOAD = 1.25;
const LOAD_SLACK = 0.25;

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
/** Bounded load: the load per slot may be at most `MAX_RELATIVE_LOAD` times the mean, plus `LOAD_SLACK`. */
function isWithinLoadBound(candidate: Candidate, ctx: SelectionContext): boolean {
  return candidate.running / candidate.limit <= ctx.meanLoad * MAX_RELATIVE_LOAD + LOAD_SLACK;
}
function scorePrefix(candidate: Candidate, ctx: SelectionContext): number {
  if (!isWithinLoadBound(candidate, ctx)) return 0;
  const hashScore = !candidate.agreed ? 0 : hash32(`${ctx.seed}|${candidate.id}`) / 4294967296;
  return AFFINITY_WEIGHT * candidate.knownFraction + HASH_WEIGHT * hashScore;
}
function scoreLoad(candidate: Candidate): number {
  return -LOAD_WEIGHT * (candidate.running / candidate.limit);
}
function scoreDistance(candidate: Candidate, ctx: SelectionContext): number {
  if (candidate.zone === ctx.zone) return 0;
  return candidate.region === ctx.region ? -CROSS_ZONE_PENALTY : -CROSS_REGION_PENALTY;
}

/**
 * Prefers workers that have much of the prompt cached, unless their load is too far above the mean. A hash
 * makes all proxies prefer the same worker for a prompt that none has cached.
 */
export const PREFIX_POLICY: Policy = { name: 'prefix', score: scorePrefix };

/** The default policies, in order. */
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

/** The selected worker, or the name of the filter that excluded the last candidate. */
export type Choice =
  { readonly tag: 'chosen'; readonly candidate: Candidate } | { readonly tag: 'none'; readonly stoppedBy: string };

/** Selects the candidate with the highest score; the lower id wins a tie. */
export function selectAmong(all: readonly Candidate[], ctx: SelectionContext, policies: readonly Policy[]): Choice {
  let eligible = all;
  for (const policy of policies) {
    if (!policy.filter) continue;
    const passed: Candidate[] = [];
    for (const candidate of eligible) if (policy.filter(candidate, ctx)) passed.push(candidate);
    if (passed.length === 0) return { tag: 'none', stoppedBy: eligible.length === 0 ? 'model' : policy.name };
    eligible = passed;
  }
  let best: Candidate | null = null;
  let bestScore = -Infinity;
  for (const candidate of eligible) {
    let score = 0;
    for (const policy of policies) if (policy.score) score += policy.score(candidate, ctx);
    if (score > bestScore || (score === bestScore && best !== null && candidate.id < best.id)) {
      best = candidate;
      bestScore = score;
    }
  }
  return best ? { tag: 'chosen', candidate: best } : { tag: 'none', stoppedBy: 'model' };
}

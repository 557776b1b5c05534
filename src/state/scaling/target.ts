/**
 * How many workers are wanted, by the rate of requests: the rule of SkyServe (docs/skyserve.md).
 * A new target must hold for a while before it is taken, so that short swings order nothing.
 */
import type { Resolved } from '../configuration/settings-tree.js';

/** Requests per second that one worker takes, how long a change must hold, and the bounds. */
export type TargetRule = {
  readonly qTar: number;
  readonly holdMs: number;
  readonly minTarget: number;
  readonly maxTarget: number;
};

/** A change under way: its direction and when it began. */
export type PendingChange = { readonly direction: 'up' | 'down'; readonly since: number };

/** The target after one look, and the change under way. */
export type TargetStep = { readonly target: number; readonly pending: PendingChange | null };

/** The target that a rate asks for, within the bounds. */
export function candidateTarget(rate: number, rule: TargetRule): number {
  const wanted = Math.ceil(rate / rule.qTar - 1e-9);
  return Math.min(rule.maxTarget, Math.max(rule.minTarget, wanted));
}

/** A target forced into the bounds. */
export function bounded(target: number, rule: TargetRule): number {
  return Math.min(rule.maxTarget, Math.max(rule.minTarget, target));
}

/** A rate; `complete` tells whether every proxy was counted in all of it. */
export type Rate = { readonly perSecond: number; readonly complete: boolean };

/** One look. The target falls only on a complete rate, as a missing proxy would look like less traffic. */
export function stepTarget(
  current: number,
  rate: Rate | null,
  rule: TargetRule,
  pending: PendingChange | null,
  now: number,
): TargetStep {
  const legal = bounded(current, rule);
  if (legal !== current) return { target: legal, pending: null };
  if (rate === null) return { target: current, pending: null };
  const candidate = candidateTarget(rate.perSecond, rule);
  if (candidate === current || (candidate < current && !rate.complete)) return { target: current, pending: null };
  const direction = candidate > current ? 'up' : 'down';
  const since = pending && pending.direction === direction ? pending.since : now;
  if (now - since >= rule.holdMs) return { target: candidate, pending: null };
  return { target: current, pending: { direction, since } };
}

/** The target of a model after one look, and the decision to agree if it changed. */
export type TargetDecision = {
  readonly target: number;
  readonly decision: { readonly cause: string; readonly act: TargetChanged } | null;
};
type TargetChanged = { readonly tag: 'targetChanged'; readonly model: string; readonly target: number };

/** Decides a model's target; `known` is the agreed one, `memory` keeps the change under way between looks. */
export function decideTarget(
  model: string,
  values: Resolved,
  known: number | undefined,
  rate: Rate | null,
  memory: { pendingChange: PendingChange | null },
  now: number,
): TargetDecision {
  const { qTar, minTarget, maxTarget, holdS, windowS } = values;
  if (known === undefined) {
    const act: TargetChanged = { tag: 'targetChanged', model, target: minTarget };
    return { target: minTarget, decision: { cause: 'The model starts at its lowest target.', act } };
  }
  const rule = { qTar, holdMs: holdS * 1_000, minTarget, maxTarget };
  const step = stepTarget(known, rate, rule, memory.pendingChange, now);
  memory.pendingChange = step.pending;
  if (step.target === known) return { target: known, decision: null };
  const shown = rate === null ? 'unknown' : rate.perSecond.toFixed(2);
  const cause = `Rate ${shown}/s over ${windowS}s against ${qTar}/s a worker.`;
  return { target: step.target, decision: { cause, act: { tag: 'targetChanged', model, target: step.target } } };
}

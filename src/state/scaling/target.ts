/**
 * Computes the number of workers wanted from the request rate, following SkyServe (docs/skyserve.md). A change of the
 * target must persist for a hold time before it takes effect, so that short swings of the rate cause no orders.
 */
import type { ResolvedSettings } from '../configuration/settings-tree.js';

/** Requests per second that one worker serves, how long a change must persist, and the bounds of the target. */
export type TargetRule = {
  readonly qTar: number;
  readonly holdMs: number;
  readonly minTarget: number;
  readonly maxTarget: number;
};

/** A change that has not taken effect yet: its direction and when it began. */
export type PendingChange = { readonly direction: 'up' | 'down'; readonly since: number };

/** The target after one tick, and the change that is still pending. */
export type TargetStep = { readonly target: number; readonly pending: PendingChange | null };

/** Returns the target for a rate, within the bounds. */
export function candidateTarget(rate: number, rule: TargetRule): number {
  const desired = Math.ceil(rate / rule.qTar - 1e-9);
  return Math.min(rule.maxTarget, Math.max(rule.minTarget, desired));
}

/** Clamps a target to the bounds. */
export function clampTarget(target: number, rule: TargetRule): number {
  return Math.min(rule.maxTarget, Math.max(rule.minTarget, target));
}

/** A request rate; `complete` is true if every proxy was counted throughout the window. */
export type Rate = { readonly perSecond: number; readonly complete: boolean };

/**
 * Computes the target at one tick. The target falls only on a complete rate, because a missing proxy looks like less
 * traffic.
 */
export function stepTarget(
  current: number,
  rate: Rate | null,
  rule: TargetRule,
  pending: PendingChange | null,
  now: number,
): TargetStep {
  const clamped = clampTarget(current, rule);
  if (clamped !== current) return { target: clamped, pending: null };
  if (rate === null) return { target: current, pending: null };
  const candidate = candidateTarget(rate.perSecond, rule);
  if (candidate === current || (candidate < current && !rate.complete)) return { target: current, pending: null };
  const direction = candidate > current ? 'up' : 'down';
  const since = pending && pending.direction === direction ? pending.since : now;
  if (now - since >= rule.holdMs) return { target: candidate, pending: null };
  return { target: current, pending: { direction, since } };
}

/** The target of a model after one tick, and the decision to propose if it changed. */
export type TargetDecision = {
  readonly target: number;
  readonly decision: { readonly cause: string; readonly act: TargetChanged } | null;
};
type TargetChanged = { readonly tag: 'targetChanged'; readonly model: string; readonly target: number };

/** Decides a model's target. `agreedTarget` is the replicated target; `memory` keeps a pending change between ticks. */
export function decideTarget(
  model: string,
  values: ResolvedSettings,
  agreedTarget: number | undefined,
  rate: Rate | null,
  memory: { pendingChange: PendingChange | null },
  now: number,
): TargetDecision {
  const { qTar, minTarget, maxTarget, holdS, windowS } = values;
  if (agreedTarget === undefined) {
    const act: TargetChanged = { tag: 'targetChanged', model, target: minTarget };
    return { target: minTarget, decision: { cause: 'The model starts at its lowest target.', act } };
  }
  const rule = { qTar, holdMs: holdS * 1_000, minTarget, maxTarget };
  const step = stepTarget(agreedTarget, rate, rule, memory.pendingChange, now);
  memory.pendingChange = step.pending;
  if (step.target === agreedTarget) return { target: agreedTarget, decision: null };
  const rateText = rate === null ? 'unknown' : rate.perSecond.toFixed(2);
  const cause = `Rate ${rateText}/s over ${windowS}s against ${qTar}/s a worker.`;
  return { target: step.target, decision: { cause, act: { tag: 'targetChanged', model, target: step.target } } };
}

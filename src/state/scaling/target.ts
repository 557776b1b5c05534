/**
 * How many workers are wanted, by the rate of requests: the rule of SkyServe (docs/skyserve.md).
 * A new target must hold for a while before it is taken, so that short swings order nothing.
 */

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

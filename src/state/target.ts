export type TargetRule = {
  readonly qTar: number;
  readonly holdMs: number;
  readonly minTarget: number;
  readonly maxTarget: number;
};

export type Hold = { readonly direction: 'up' | 'down'; readonly since: number };

export type TargetStep = { readonly target: number; readonly hold: Hold | null };

export function candidateTarget(rate: number, rule: TargetRule): number {
  const wanted = Math.ceil(rate / rule.qTar - 1e-9);
  return Math.min(rule.maxTarget, Math.max(rule.minTarget, wanted));
}

export function bounded(target: number, rule: TargetRule): number {
  return Math.min(rule.maxTarget, Math.max(rule.minTarget, target));
}

export type Rate = { readonly perSecond: number; readonly complete: boolean };

export function stepTarget(
  current: number,
  rate: Rate | null,
  rule: TargetRule,
  hold: Hold | null,
  now: number,
): TargetStep {
  const legal = bounded(current, rule);
  if (legal !== current) return { target: legal, hold: null };
  if (rate === null) return { target: current, hold: null };
  const candidate = candidateTarget(rate.perSecond, rule);
  if (candidate === current || (candidate < current && !rate.complete)) return { target: current, hold: null };
  const direction = candidate > current ? 'up' : 'down';
  const since = hold && hold.direction === direction ? hold.since : now;
  if (now - since >= rule.holdMs) return { target: candidate, hold: null };
  return { target: current, hold: { direction, since } };
}

/** Reports on service-level targets: whether each was met over its window, and how much of its error budget is left. */
import { addCounts, CHANGES_SUBJECT, routeSubject, noCounts, within } from './latency-target-counts.js';
import type { Counts, CountTable } from './latency-target-counts.js';
import type { Minute } from './latency-target-table.js';

/** What a target is about. */
export type Measure = 'success' | 'firstPiece' | 'whole' | 'changeInForce' | 'shed';

/** A target: at least `objective` of the events of a subject are good, over `windowMinutes`. */
export type LatencyTarget = {
  readonly name: string;
  readonly measure: Measure;
  readonly model: string | null;
  readonly mapping: string | null;
  readonly withinMs: number | null;
  readonly objective: number;
  readonly windowMinutes: number;
};

/** Whether a target was met; `unknown` where minutes are missing. */
export type LatencyTargetState = 'met' | 'missed' | 'unknown';

/** One target's report; `burnRate` is bad events by those that the objective allows. */
export type LatencyTargetRow = {
  readonly name: string;
  readonly state: LatencyTargetState;
  readonly objective: number;
  readonly attained: number | null;
  readonly events: number;
  readonly bad: number;
  readonly budgetLeft: number | null;
  readonly burnRate: number | null;
  readonly knownMinutes: number;
  readonly unknownMinutes: number;
  readonly unknownOf: readonly string[];
};

/** The subject that a target counts. */
export function subjectOf(target: LatencyTarget): string {
  if (target.measure === 'changeInForce') return CHANGES_SUBJECT;
  return target.mapping === null ? (target.model ?? '') : routeSubject(target.mapping);
}

function weighed(target: LatencyTarget, counts: Counts): { readonly good: number; readonly all: number } {
  const asked = counts.good + counts.shed + counts.failed;
  switch (target.measure) {
    case 'success':
      return { good: counts.good, all: asked };
    case 'shed':
      return { good: asked - counts.shed, all: asked };
    case 'firstPiece':
      return within(counts.first, target.withinMs ?? 0);
    case 'whole':
    case 'changeInForce':
      return within(counts.whole, target.withinMs ?? 0);
  }
}

/** The report on one target, from the minutes before `nowMinute`. */
export function reportLatencyTarget(
  target: LatencyTarget,
  minutes: readonly Minute[],
  nowMinute: number,
): LatencyTargetRow {
  const subject = subjectOf(target);
  const from = nowMinute - target.windowMinutes;
  const sum: CountTable = { [subject]: noCounts() };
  const unknownOf = new Set<string>();
  let known = 0;
  for (const minute of minutes) {
    if (minute.minute < from || minute.minute >= nowMinute) continue;
    const counts = minute.counts[subject];
    if (counts) addCounts(sum, subject, counts);
    if (minute.unknown.length === 0) known += 1;
    for (const name of minute.unknown) unknownOf.add(name);
  }
  const unknownMinutes = target.windowMinutes - known;
  const { good, all } = weighed(target, sum[subject] as Counts);
  const bad = all - good;
  const attained = all === 0 ? null : good / all;
  const allowed = (1 - target.objective) * all;
  const burnRate = all === 0 || target.objective === 1 ? null : bad / allowed;
  const missed = attained !== null && attained < target.objective;
  const state: LatencyTargetState = missed ? 'missed' : attained === null || unknownMinutes > 0 ? 'unknown' : 'met';
  return {
    name: target.name,
    state,
    objective: target.objective,
    attained,
    events: all,
    bad,
    budgetLeft: burnRate === null ? null : 1 - burnRate,
    burnRate,
    knownMinutes: known,
    unknownMinutes,
    unknownOf: [...unknownOf].sort(),
  };
}

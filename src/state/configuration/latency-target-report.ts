/** Reports on service-level objectives: whether each was met over its window, and how much error budget remains. */
import { addCounts, CHANGES_SUBJECT, routeSubject, emptyCounts, countWithin } from './latency-target-counts.js';
import type { Counts, CountTable } from './latency-target-counts.js';
import type { Minute } from './latency-target-table.js';
import { ownValue } from '../../base/own-value.js';

/** What a target measures. */
export type Measure = 'success' | 'firstPiece' | 'whole' | 'changeInForce' | 'shed';

/** A target: at least the share `objective` of a subject's events within `windowMinutes` must be good. */
export type LatencyTarget = {
  readonly name: string;
  readonly measure: Measure;
  readonly model: string | null;
  readonly mapping: string | null;
  readonly withinMs: number | null;
  readonly objective: number;
  readonly windowMinutes: number;
};

/** Whether a target was met. `unknown`: no event was counted, or it was not missed but minutes are incomplete. */
export type LatencyTargetState = 'met' | 'missed' | 'unknown';

/** The report on one target; `burnRate` is the number of bad events divided by the number that the objective allows. */
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

/** Returns the subject whose counts a target is measured on. */
export function countedSubject(target: LatencyTarget): string {
  if (target.measure === 'changeInForce') return CHANGES_SUBJECT;
  return target.mapping === null ? (target.model ?? '') : routeSubject(target.mapping);
}

function goodAndTotal(target: LatencyTarget, counts: Counts): { readonly good: number; readonly all: number } {
  const requests = counts.good + counts.shed + counts.failed;
  switch (target.measure) {
    case 'success':
      return { good: counts.good, all: requests };
    case 'shed':
      return { good: requests - counts.shed, all: requests };
    case 'firstPiece':
      return countWithin(counts.first, target.withinMs ?? 0);
    case 'whole':
    case 'changeInForce':
      return countWithin(counts.whole, target.withinMs ?? 0);
  }
}

/** Returns the report on one target over its window, which ends before `nowMinute`. */
export function reportLatencyTarget(
  target: LatencyTarget,
  minutes: readonly Minute[],
  nowMinute: number,
): LatencyTargetRow {
  const subject = countedSubject(target);
  const firstMinute = nowMinute - target.windowMinutes;
  const sums: CountTable = { [subject]: emptyCounts() };
  const unknownOf = new Set<string>();
  let completeMinutes = 0;
  for (const minute of minutes) {
    if (minute.minute < firstMinute || minute.minute >= nowMinute) continue;
    const counts = ownValue(minute.counts, subject);
    if (counts) addCounts(sums, subject, counts);
    if (minute.unknown.length === 0) completeMinutes += 1;
    for (const name of minute.unknown) unknownOf.add(name);
  }
  const unknownMinutes = target.windowMinutes - completeMinutes;
  const { good, all } = goodAndTotal(target, ownValue(sums, subject) as Counts);
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
    knownMinutes: completeMinutes,
    unknownMinutes,
    unknownOf: [...unknownOf].sort(),
  };
}

import { addCounts, CHANGES_SUBJECT, routeSubject, noCounts, within } from './aim-counts.js';
import type { Counts, CountTable } from './aim-counts.js';
import type { Minute } from './aim-book.js';

export type Measure = 'success' | 'firstPiece' | 'whole' | 'changeInForce' | 'shed';

export type Aim = {
  readonly name: string;
  readonly measure: Measure;
  readonly model: string | null;
  readonly mapping: string | null;
  readonly withinMs: number | null;
  readonly objective: number;
  readonly windowMinutes: number;
};

export type AimState = 'met' | 'missed' | 'unknown';

export type AimRow = {
  readonly name: string;
  readonly state: AimState;
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

export function subjectOf(aim: Aim): string {
  if (aim.measure === 'changeInForce') return CHANGES_SUBJECT;
  return aim.mapping === null ? (aim.model ?? '') : routeSubject(aim.mapping);
}

function weighed(aim: Aim, c: Counts): { readonly good: number; readonly all: number } {
  const asked = c.good + c.shed + c.failed;
  switch (aim.measure) {
    case 'success':
      return { good: c.good, all: asked };
    case 'shed':
      return { good: asked - c.shed, all: asked };
    case 'firstPiece':
      return within(c.first, aim.withinMs ?? 0);
    case 'whole':
    case 'changeInForce':
      return within(c.whole, aim.withinMs ?? 0);
  }
}

export function reportAim(aim: Aim, minutes: readonly Minute[], nowMinute: number): AimRow {
  const subject = subjectOf(aim);
  const from = nowMinute - aim.windowMinutes;
  const sum: CountTable = { [subject]: noCounts() };
  const unknownOf = new Set<string>();
  let known = 0;
  for (const m of minutes) {
    if (m.minute < from || m.minute >= nowMinute) continue;
    const c = m.counts[subject];
    if (c) addCounts(sum, subject, c);
    if (m.unknown.length === 0) known += 1;
    for (const name of m.unknown) unknownOf.add(name);
  }
  const unknownMinutes = aim.windowMinutes - known;
  const { good, all } = weighed(aim, sum[subject] as Counts);
  const bad = all - good;
  const attained = all === 0 ? null : good / all;
  const allowed = (1 - aim.objective) * all;
  const burnRate = all === 0 || aim.objective === 1 ? null : bad / allowed;
  const missed = attained !== null && attained < aim.objective;
  const state: AimState = missed ? 'missed' : attained === null || unknownMinutes > 0 ? 'unknown' : 'met';
  return {
    name: aim.name,
    state,
    objective: aim.objective,
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

/**
 * Draws the history of a seed, runs it, and shrinks it if it violates a rule.
 * A seed always draws the same history, so a search over a range of seeds can
 * be stopped and resumed at any seed.
 */
import fc from 'fast-check';
import { arbitraryHistory } from './arbitrary-history.js';
import { describeHistory } from './history.js';
import type { ModelHistory } from './history.js';
import type { InjectedFaults } from './model-group.js';
import { runHistory } from './run-history.js';
import type { HistoryResult } from './run-history.js';

/** The result of the search for one seed. */
export type SeedResult = {
  readonly seed: number;
  /** The history drawn for the seed. */
  readonly history: ModelHistory;
  readonly end: HistoryResult;
  /** The smallest history found that violates the same rule, or null if no rule was violated. */
  readonly shrunk: ModelHistory | null;
  readonly shrunkEnd: HistoryResult | null;
};

/** Limit of runs for each shrinking method; histories shrunk this far are small enough to read. */
export const MAX_SHRINK_RUNS = 300;

/** The search for one seed: its first history and result, and the number of runs so far. */
type SeedSearch = { history: ModelHistory | null; end: HistoryResult | null; runs: number; readonly maxRuns: number };

/** Whether a history violates the same rule as the first one. */
async function violatesSameRule(
  search: SeedSearch,
  history: ModelHistory,
  injectedFaults: InjectedFaults,
): Promise<boolean> {
  search.runs += 1;
  if (search.runs > search.maxRuns) return false;
  const end = await runHistory(history, injectedFaults);
  search.history ??= history;
  search.end ??= end;
  const rule = end.broken[0]?.rule;
  return rule !== undefined && rule === search.end.broken[0]?.rule;
}

/**
 * Removes sequences of steps, of decreasing length, as long as the rule stays violated. fast-check itself shortens a
 * history from the front only.
 */
async function withoutRedundantSteps(
  search: SeedSearch,
  history: ModelHistory,
  injectedFaults: InjectedFaults,
): Promise<ModelHistory> {
  let shortest = history;
  for (let size = Math.ceil(shortest.steps.length / 2); size >= 1; size = Math.floor(size / 2)) {
    for (let start = 0; start < shortest.steps.length;) {
      const candidate = {
        ...shortest,
        steps: [...shortest.steps.slice(0, start), ...shortest.steps.slice(start + size)],
      };
      if (await violatesSameRule(search, candidate, injectedFaults)) shortest = candidate;
      else start += size;
    }
  }
  return shortest;
}

/** Draws and runs the history of a seed, and shrinks it if it violates a rule. */
export async function searchSeed(
  seed: number,
  injectedFaults: InjectedFaults = {},
  maxRuns = MAX_SHRINK_RUNS,
): Promise<SeedResult> {
  const search: SeedSearch = { history: null, end: null, runs: 0, maxRuns };
  async function holdsRules(history: ModelHistory): Promise<boolean> {
    return !(await violatesSameRule(search, history, injectedFaults));
  }
  const checked = await fc.check(fc.asyncProperty(arbitraryHistory, holdsRules), { seed, numRuns: 1 });
  const end = search.end as HistoryResult;
  const history = search.history as ModelHistory;
  if (!checked.failed) return { seed, history, end, shrunk: null, shrunkEnd: null };
  search.runs = 0;
  const counterexample = checked.counterexample?.[0] ?? history;
  const shrunk = await withoutRedundantSteps(search, counterexample, injectedFaults);
  return { seed, history, end, shrunk, shrunkEnd: await runHistory(shrunk, injectedFaults) };
}

/** The printed report of a seed: whether the rules held, the violations and the shrunk history. */
export function reportOf(result: SeedResult): string[] {
  const lines = [`seed ${result.seed} ${result.end.broken.length > 0 ? 'BROKEN' : 'held'}`];
  for (const { rule, detail } of result.end.broken.slice(0, 8)) lines.push(`  ${rule}: ${detail}`);
  if (!result.shrunk) return lines;
  lines.push(`  shrunk to ${result.shrunk.steps.length} steps, which violate:`);
  for (const { rule, detail } of result.shrunkEnd?.broken.slice(0, 8) ?? []) lines.push(`  ${rule}: ${detail}`);
  for (const line of describeHistory(result.shrunk)) lines.push(`    ${line}`);
  return lines;
}

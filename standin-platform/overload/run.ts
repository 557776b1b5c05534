/** Runs the cases one after the other; entry point of `tools/site.mjs overload`. */
import { createClock } from '../../src/transport/clock.js';
import { createRng } from '../../src/transport/rng.js';
import type { Site } from '../site.js';
import { OVERLOAD_CASES } from './cases.js';
import { playOverloadCase } from './play.js';
import type { OverloadCheck } from './play.js';

/** The failed cases that are not listed as known, and the lines to print. */
export type ClassifiedCase = { readonly newFailures: readonly string[]; readonly lines: readonly string[] };

/** Options; an empty list of names means all cases. `classify` tells whether a failure is new. */
export type OverloadOptions = {
  readonly root: string;
  readonly deployFile: string;
  readonly names: readonly string[];
  readonly onSite: (site: Site) => void;
  readonly classify: (name: string, failedChecks: readonly OverloadCheck[]) => ClassifiedCase;
  readonly say: (text: string) => void;
};

const SEED = 1;

/** Plays the cases; returns whether all passed but those known to fail. */
export async function runOverloadCases(options: OverloadOptions): Promise<boolean> {
  let passed = 0;
  let hasNewFailures = false;
  const cases = OVERLOAD_CASES.filter((each) => options.names.length === 0 || options.names.includes(each.name));
  for (const each of cases) {
    const deps = { clock: createClock(), rng: createRng(SEED), ...options };
    const result = await playOverloadCase(each, deps);
    const isPassed = result.failedChecks.length === 0;
    if (isPassed) passed += 1;
    const outcome = isPassed ? `Passed: ${each.name}` : `FAILED (${result.failedChecks.join(', ')}): ${each.name}`;
    const classified = options.classify(each.name, result.failedChecks);
    options.say([result.text, outcome, ...classified.lines, ''].join('\n'));
    hasNewFailures ||= classified.newFailures.length > 0;
  }
  options.say(`${passed} of ${cases.length} overload cases passed.`);
  return !hasNewFailures;
}

/** The names of all cases. */
export function overloadCaseNames(): readonly string[] {
  return OVERLOAD_CASES.map((each) => each.name);
}

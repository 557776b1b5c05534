/** Entry point of `tools/site.mjs`. */
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { readDeployFile } from './deploy-file.js';
import { playScenario } from './play.js';
import { SCENARIOS } from './scenarios.js';
import type { ScenarioCheck } from './scenarios.js';
import type { Site } from './site.js';

export { SCENARIO_CHECKS } from './scenarios.js';
export { overloadCaseNames, runOverloadCases } from './overload/run.js';
export { SERIES } from './soak/plan.js';
export { playSoak } from './soak/play.js';

/** The failed checks of a scenario that are not listed as known, and the lines to print about its checks. */
export type ClassifiedChecks = { readonly newFailures: readonly string[]; readonly lines: readonly string[] };

/**
 * Options of `tools/site.mjs`; an empty list of names means all scenarios. `classify` tells which of the failed
 * checks of a scenario are new.
 */
export type RunOptions = {
  readonly root: string;
  readonly deployFile: string;
  readonly names: readonly string[];
  readonly perS: number;
  readonly seed: number;
  readonly onSite: (site: Site) => void;
  readonly classify: (scenario: string, failedChecks: readonly ScenarioCheck[]) => ClassifiedChecks;
  readonly say: (text: string) => void;
};

/** Plays the scenarios one after the other; returns whether all checks held but those known to fail. */
export async function runScenarios(runOptions: RunOptions): Promise<boolean> {
  let hasNewFailures = false;
  for (const scenario of SCENARIOS) {
    if (runOptions.names.length > 0 && !runOptions.names.includes(scenario.name)) continue;
    const result = await playScenario(scenario, {
      clock: createClock(),
      rng: createRng(runOptions.seed),
      root: runOptions.root,
      deployFile: runOptions.deployFile,
      perS: runOptions.perS,
      onSite: runOptions.onSite,
    });
    const outcome = `${result.failedChecks.length === 0 ? 'Passed' : 'FAILED'}: ${scenario.name}`;
    const classified = runOptions.classify(scenario.name, result.failedChecks);
    runOptions.say([result.text, outcome, ...classified.lines, ''].join('\n'));
    hasNewFailures ||= classified.newFailures.length > 0;
  }
  return !hasNewFailures;
}

/** The names of all scenarios. */
export function scenarioNames(): readonly string[] {
  return SCENARIOS.map(nameOf);
}
function nameOf(scenario: { readonly name: string }): string {
  return scenario.name;
}

/** The build command of a deploy file. */
export function deployBuild(path: string): string {
  return readDeployFile(path).build;
}

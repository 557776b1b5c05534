/** Entry point of `tools/site.mjs`. */
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { readDeployFile } from './deploy-file.js';
import { playScenario } from './play.js';
import { SCENARIOS } from './scenarios.js';
import type { Site } from './site.js';

export { SERIES } from './soak/plan.js';
export { playSoak } from './soak/play.js';

/** Options of `tools/site.mjs`; an empty list of names means all scenarios. */
export type RunOptions = {
  readonly root: string;
  readonly deployFile: string;
  readonly names: readonly string[];
  readonly perS: number;
  readonly seed: number;
  readonly onSite: (site: Site) => void;
  readonly say: (text: string) => void;
};

/** Plays the scenarios one after the other; returns whether all passed. */
export async function runScenarios(runOptions: RunOptions): Promise<boolean> {
  let allPassed = true;
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
    runOptions.say(`${result.text}\n${result.good ? 'Passed' : 'FAILED'}: ${scenario.name}\n`);
    allPassed &&= result.good;
  }
  return allPassed;
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

import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { readDeployFile } from './deploy-file.js';
import { playScenario } from './play.js';
import { SCENARIOS } from './scenarios.js';
import type { Site } from './site.js';

export { SERIES } from './soak/plan.js';
export { playSoak } from './soak/play.js';

export type RunOptions = {
  readonly root: string;
  readonly deployFile: string;
  readonly names: readonly string[];
  readonly perS: number;
  readonly seed: number;
  readonly onSite: (site: Site) => void;
  readonly say: (text: string) => void;
};

export async function runScenarios(runOptions: RunOptions): Promise<boolean> {
  let good = true;
  for (const scenario of SCENARIOS) {
    if (runOptions.names.length > 0 && !runOptions.names.includes(scenario.name)) continue;
    const played = await playScenario(scenario, {
      clock: createClock(),
      rng: createRng(runOptions.seed),
      root: runOptions.root,
      deployFile: runOptions.deployFile,
      perS: runOptions.perS,
      onSite: runOptions.onSite,
    });
    runOptions.say(`${played.text}\n${played.good ? 'Held' : 'FAILED'}: ${scenario.name}\n`);
    good &&= played.good;
  }
  return good;
}

export function scenarioNames(): readonly string[] {
  return SCENARIOS.map(nameOf);
}
function nameOf(s: { readonly name: string }): string {
  return s.name;
}

export function deployBuild(path: string): string {
  return readDeployFile(path).build;
}

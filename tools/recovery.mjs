#!/usr/bin/env node
/** Plays simulated failure scenarios over several seeds and prints the recovery times and broken rules. */
import { playScenario, SCENARIO_NAMES } from '../dist/sim/scenarios.js';
import { spread } from './figures.mjs';

const [, , scenario, count = '5'] = process.argv;
if (scenario !== undefined && scenario !== 'all' && !SCENARIO_NAMES.includes(scenario)) {
  process.stderr.write(`scenario: expected all or one of ${SCENARIO_NAMES.join(', ')}; found ${scenario}\n`);
  process.exit(2);
}
let violationCount = 0;
for (const name of scenario === undefined || scenario === 'all' ? SCENARIO_NAMES : [scenario]) {
  const results = [];
  for (let seed = 1; seed <= Number(count); seed += 1) results.push(await playScenario(name, seed));
  const violations = results.flatMap((result) =>
    result.broken.map((violation) => `seed ${result.seed} ${violation.rule}: ${violation.detail}`),
  );
  violationCount += violations.length;
  const facts = Object.keys(results[0].facts).map(
    (key) =>
      `${key} ${typeof results[0].facts[key] === 'number' ? spread(results.map((result) => result.facts[key])) : results[0].facts[key]}`,
  );
  process.stdout.write(
    `${name.padEnd(22)} recover ms ${spread(results.map((result) => result.recoverMs)).padEnd(26)} ${facts.join('; ')}\n`,
  );
  for (const line of violations.slice(0, 5)) process.stdout.write(`  ${line}\n`);
}
process.exit(violationCount > 0 ? 1 : 0);

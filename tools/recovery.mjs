#!/usr/bin/env node
import { playScenario, SCENARIO_NAMES } from '../dist/sim/scenarios.js';
import { spread } from './figures.mjs';

const [, , only, count = '5'] = process.argv;
if (only !== undefined && only !== 'all' && !SCENARIO_NAMES.includes(only)) {
  process.stderr.write(`scenario: expected all or one of ${SCENARIO_NAMES.join(', ')}; found ${only}\n`);
  process.exit(2);
}
let bad = 0;
for (const name of only === undefined || only === 'all' ? SCENARIO_NAMES : [only]) {
  const ends = [];
  for (let seed = 1; seed <= Number(count); seed += 1) ends.push(await playScenario(name, seed));
  const broken = ends.flatMap((e) => e.broken.map((b) => `seed ${e.seed} ${b.rule}: ${b.detail}`));
  bad += broken.length;
  const facts = Object.keys(ends[0].facts).map(
    (k) => `${k} ${typeof ends[0].facts[k] === 'number' ? spread(ends.map((e) => e.facts[k])) : ends[0].facts[k]}`,
  );
  process.stdout.write(
    `${name.padEnd(22)} recover ms ${spread(ends.map((e) => e.recoverMs)).padEnd(26)} ${facts.join('; ')}\n`,
  );
  for (const line of broken.slice(0, 5)) process.stdout.write(`  ${line}\n`);
}
process.exit(bad > 0 ? 1 : 0);

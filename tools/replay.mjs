#!/usr/bin/env node
/** Replays generated spot-market traces with several buying policies; prints cost, availability and preemptions. */
import { BUYERS, dayOf, makeTrace, replay, TRACES } from '../dist/sim/replay.js';
import { spread } from './figures.mjs';

const seeds = Number(process.argv[2] ?? 5);
const hours = Number(process.argv[3] ?? 336);
if (!(seeds > 0) || !(hours > 0)) {
  process.stderr.write('usage: npm run replay -- [seeds] [hours]\n');
  process.exit(2);
}
function printRow(trace, buyer, rule, label) {
  const results = Array.from({ length: seeds }, (_, i) => replay(makeTrace(trace, i + 1, hours), buyer, rule));
  process.stdout.write(
    `| ${trace} | ${label} | ${spread(results.map((result) => result.cost))} | ${spread(results.map((result) => result.availability))} | ${spread(results.map((result) => result.preemptions))} |\n`,
  );
}
process.stdout.write(
  '| trace | buyer | cost | share of time with N_Tar ready | preemptions |\n| --- | --- | --- | --- | --- |\n',
);
for (const trace of TRACES)
  for (const buyer of BUYERS) printRow(trace, buyer, { target: 4, nExtra: 2, holdS: 600, hours }, buyer);
for (const trace of ['volatile', 'correlated'])
  for (const nExtra of [0, 1, 2, 3, 4])
    printRow(trace, 'skyserve', { target: 4, nExtra, holdS: 600, hours }, `skyserve, N_Extra ${nExtra}`);
process.stdout.write(
  '\n| hold time, calm trace, demand by day | cost | share of time with the demand covered | launches |\n| --- | --- | --- | --- |\n',
);
for (const holdS of [0, 60, 300, 600, 1800, 3600]) {
  const results = Array.from({ length: seeds }, (_, i) =>
    replay(makeTrace('calm', i + 1, hours), 'skyserve', { target: 2, nExtra: 2, holdS, hours, demand: dayOf(i + 1) }),
  );
  process.stdout.write(
    `| ${holdS} s | ${spread(results.map((result) => result.cost))} | ${spread(results.map((result) => result.availability))} | ${spread(results.map((result) => result.launches))} |\n`,
  );
}

#!/usr/bin/env node
/** Plays days of one proxy with troubled workers and callers, seed by seed, and tells the rules that they broke. */
import { createRelay } from '../dist/coordination/forwarding/relay.js';
import { runEdgeDay } from '../dist/sim/edge-day.js';

const PROGRESS_EVERY = 10_000;
const USAGE_CODE = 2;

function range() {
  const [flag, value] = process.argv.slice(2);
  const parts = /^(\d+)\.\.(\d+)$/.exec(value ?? '0..9999');
  if ((flag !== undefined && flag !== '--seeds') || !parts || Number(parts[1]) > Number(parts[2])) {
    process.stderr.write('use: npm run edge -- [--seeds A..B]\n');
    process.exit(USAGE_CODE);
  }
  return { from: Number(parts[1]), to: Number(parts[2]) };
}

const { from, to } = range();
const sums = { days: 0, requests: 0, arrivals: 0, runs: 0, failing: 0 };
for (let seed = from; seed <= to; seed += 1) {
  const { broken, journal, open, held } = await runEdgeDay(seed, { createRelay });
  sums.days += 1;
  sums.requests += journal.asked.length;
  sums.arrivals += journal.arrivals.length;
  for (const arrival of journal.arrivals) if (arrival.seal !== null) sums.runs += 1;
  if (broken.length > 0 || open > 0 || held > 0) {
    sums.failing += 1;
    process.stdout.write(`${JSON.stringify({ seed, broken, open, held })}\n`);
  }
  if (sums.days % PROGRESS_EVERY === 0) process.stdout.write(`${JSON.stringify(sums)}\n`);
}
process.stdout.write(`${JSON.stringify(sums)}\n`);
process.exit(sums.failing > 0 ? 1 : 0);

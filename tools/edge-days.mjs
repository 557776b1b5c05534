#!/usr/bin/env node
/** Runs simulated days of one proxy with faulty workers and callers, one for each seed, and reports broken rules. */
import { createRelay } from '../dist/coordination/forwarding/relay.js';
import { runEdgeDay } from '../dist/sim/edge-day.js';

const PROGRESS_INTERVAL_DAYS = 10_000;
const USAGE_EXIT_CODE = 2;

function parseSeedRange() {
  const [flag, value] = process.argv.slice(2);
  const match = /^(\d+)\.\.(\d+)$/.exec(value ?? '0..9999');
  if ((flag !== undefined && flag !== '--seeds') || !match || Number(match[1]) > Number(match[2])) {
    process.stderr.write('usage: npm run edge -- [--seeds A..B]\n');
    process.exit(USAGE_EXIT_CODE);
  }
  return { from: Number(match[1]), to: Number(match[2]) };
}

const { from, to } = parseSeedRange();
const totals = { days: 0, requests: 0, arrivals: 0, runs: 0, failing: 0 };
for (let seed = from; seed <= to; seed += 1) {
  const { broken, journal, open, held } = await runEdgeDay(seed, { createRelay });
  totals.days += 1;
  totals.requests += journal.asked.length;
  totals.arrivals += journal.arrivals.length;
  for (const arrival of journal.arrivals) if (arrival.seal !== null) totals.runs += 1;
  if (broken.length > 0 || open > 0 || held > 0) {
    totals.failing += 1;
    process.stdout.write(`${JSON.stringify({ seed, broken, open, held })}\n`);
  }
  if (totals.days % PROGRESS_INTERVAL_DAYS === 0) process.stdout.write(`${JSON.stringify(totals)}\n`);
}
process.stdout.write(`${JSON.stringify(totals)}\n`);
process.exit(totals.failing > 0 ? 1 : 0);

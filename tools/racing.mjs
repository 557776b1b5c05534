#!/usr/bin/env node
/**
 * Runs simulated days on which operators race at a core, one for each seed, and reports results that no serial order of
 * the operators' calls explains.
 */
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { runRacingDay } from '../dist/sim/racing-day.js';

const DEFAULTS = { '--seeds': '1..10', '--seconds': '240', '--threads': '2' };

function usage(message) {
  process.stderr.write(`${message}\nusage: npm run racing -- [--seeds A..B] [--seconds N] [--threads N]\n`);
  process.exit(2);
}

function parseOptions() {
  const args = process.argv.slice(2);
  const values = { ...DEFAULTS };
  for (let i = 0; i < args.length; i += 2) {
    if (!(args[i] in values) || args[i + 1] === undefined)
      usage(`flag: expected one of ${Object.keys(values).join(', ')} with a value; found ${args[i]}`);
    values[args[i]] = args[i + 1];
  }
  const range = /^(\d+)\.\.(\d+)$/.exec(values['--seeds']);
  if (!range || Number(range[1]) > Number(range[2])) usage(`--seeds: expected A..B; found ${values['--seeds']}`);
  return {
    from: Number(range[1]),
    to: Number(range[2]),
    seconds: Number(values['--seconds']),
    threads: Number(values['--threads']),
  };
}

/** Runs the seeds of one thread. Odd seeds use three controllers, even seeds five. */
async function runSeeds({ seeds, seconds }) {
  for (const seed of seeds) {
    const controllers = seed % 2 === 0 ? 5 : 3;
    parentPort.postMessage({ ...(await runRacingDay(seed, { controllers, seconds })), controllers });
  }
}

function printResult(result) {
  const hasHeld = result.violation === null && result.broken.length === 0;
  process.stdout.write(
    `seed ${result.seed}, ${result.controllers} controllers, ${hasHeld ? 'held' : 'BROKEN'}: ${result.confirmed} confirmed in ${result.calls} calls, ${result.zoneOrders} orders on zones, ${result.troubles.length} troubles\n`,
  );
  if (result.violation) process.stdout.write(`  ${result.violation.kind}: ${result.violation.detail}\n`);
  for (const line of result.broken) process.stdout.write(`  ${line}\n`);
  if (!hasHeld) for (const line of result.troubles) process.stdout.write(`    ${line}\n`);
}

async function main() {
  const { from, to, seconds, threads } = parseOptions();
  const totals = { days: 0, broken: 0, calls: 0, confirmed: 0, zoneOrders: 0, troubles: 0 };
  function onResult(result) {
    printResult(result);
    totals.days += 1;
    totals.calls += result.calls;
    totals.confirmed += result.confirmed;
    totals.zoneOrders += result.zoneOrders;
    totals.troubles += result.troubles.length;
    if (result.violation !== null || result.broken.length > 0) totals.broken += 1;
  }
  function startThread(threadIndex) {
    const seeds = [];
    for (let seed = from + threadIndex; seed <= to; seed += threads) seeds.push(seed);
    return new Promise((resolve, reject) => {
      const worker = new Worker(new URL(import.meta.url), { workerData: { seeds, seconds } });
      worker.on('message', onResult);
      worker.on('error', reject);
      worker.on('exit', resolve);
    });
  }
  await Promise.all(Array.from({ length: threads }, (_, threadIndex) => startThread(threadIndex)));
  process.stdout.write(
    `${totals.days} days, ${totals.broken} broken, ${totals.confirmed} changes confirmed in ${totals.calls} calls, ${totals.zoneOrders} orders on zones, ${totals.troubles} troubles\n`,
  );
  process.exitCode = totals.broken === 0 ? 0 : 1;
}

if (isMainThread) await main();
else await runSeeds(workerData);

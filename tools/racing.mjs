#!/usr/bin/env node
/** Plays racing days of operators at a simulated core, seed by seed, and tells what no order of their calls explains. */
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { runRacingDay } from '../dist/sim/racing-day.js';

const DEFAULTS = { '--seeds': '1..10', '--seconds': '240', '--threads': '2' };

function usage(text) {
  process.stderr.write(`${text}\nuse: npm run racing -- [--seeds A..B] [--seconds N] [--threads N]\n`);
  process.exit(2);
}

function options() {
  const args = process.argv.slice(2);
  const given = { ...DEFAULTS };
  for (let i = 0; i < args.length; i += 2) {
    if (!(args[i] in given) || args[i + 1] === undefined)
      usage(`flag: expected one of ${Object.keys(given).join(', ')} with a value; found ${args[i]}`);
    given[args[i]] = args[i + 1];
  }
  const range = /^(\d+)\.\.(\d+)$/.exec(given['--seeds']);
  if (!range || Number(range[1]) > Number(range[2])) usage(`--seeds: expected A..B; found ${given['--seeds']}`);
  return {
    from: Number(range[1]),
    to: Number(range[2]),
    seconds: Number(given['--seconds']),
    threads: Number(given['--threads']),
  };
}

/** Odd seeds have a core of three, even ones one of five. */
async function play({ seeds, seconds }) {
  for (const seed of seeds) {
    const controllers = seed % 2 === 0 ? 5 : 3;
    parentPort.postMessage({ ...(await runRacingDay(seed, { controllers, seconds })), controllers });
  }
}

function tell(end) {
  const isHeld = end.violation === null && end.broken.length === 0;
  process.stdout.write(
    `seed ${end.seed}, ${end.controllers} controllers, ${isHeld ? 'held' : 'BROKEN'}: ${end.confirmed} confirmed in ${end.calls} calls, ${end.zoneOrders} orders on zones, ${end.troubles.length} troubles\n`,
  );
  if (end.violation) process.stdout.write(`  ${end.violation.kind}: ${end.violation.detail}\n`);
  for (const line of end.broken) process.stdout.write(`  ${line}\n`);
  if (!isHeld) for (const line of end.troubles) process.stdout.write(`    ${line}\n`);
}

async function main() {
  const { from, to, seconds, threads } = options();
  const total = { days: 0, broken: 0, calls: 0, confirmed: 0, zoneOrders: 0, troubles: 0 };
  function note(end) {
    tell(end);
    total.days += 1;
    total.calls += end.calls;
    total.confirmed += end.confirmed;
    total.zoneOrders += end.zoneOrders;
    total.troubles += end.troubles.length;
    if (end.violation !== null || end.broken.length > 0) total.broken += 1;
  }
  function thread(n) {
    const seeds = [];
    for (let seed = from + n; seed <= to; seed += threads) seeds.push(seed);
    return new Promise((done, fail) => {
      const worker = new Worker(new URL(import.meta.url), { workerData: { seeds, seconds } });
      worker.on('message', note);
      worker.on('error', fail);
      worker.on('exit', done);
    });
  }
  await Promise.all(Array.from({ length: threads }, (_, n) => thread(n)));
  process.stdout.write(
    `${total.days} days, ${total.broken} broken, ${total.confirmed} changes confirmed in ${total.calls} calls, ${total.zoneOrders} orders on zones, ${total.troubles} troubles\n`,
  );
  process.exitCode = total.broken === 0 ? 0 : 1;
}

if (isMainThread) await main();
else await play(workerData);

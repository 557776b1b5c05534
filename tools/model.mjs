#!/usr/bin/env node
/**
 * Runs model histories (src/sim/model) over a range of seeds, on worker threads. A seed always generates the same
 * history, so a range can be stopped and resumed.
 */
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { explore } from '../dist/sim/model/explorer.js';
import { RACE, REPLACEMENT, TWO_SLOTS } from '../dist/sim/model/small-case.js';
import { reportOf, searchSeed } from '../dist/sim/model/search.js';

const PROGRESS_INTERVAL_MS = 10_000;
const MAX_FULL_REPORTS_PER_RULE = 3;
const MAX_STATES = 4_000_000;

function usage(message) {
  process.stderr.write(
    `${message}\nusage: npm run model -- --seeds A..B [--threads N]\n       npm run model -- --explore DEPTH\n`,
  );
  process.exit(2);
}

function parseOptions() {
  const args = process.argv.slice(2);
  const options = { '--seeds': '', '--threads': '1', '--explore': '' };
  for (let i = 0; i < args.length; i += 2) {
    if (!(args[i] in options) || args[i + 1] === undefined)
      usage(`flag: expected one of ${Object.keys(options).join(', ')} with a value; found ${args[i]}`);
    options[args[i]] = args[i + 1];
  }
  if (options['--explore'] !== '') {
    if (!(Number(options['--explore']) >= 1))
      usage(`--explore: expected a depth of at least 1; found ${options['--explore']}`);
    return { exploreTo: Number(options['--explore']) };
  }
  const range = /^(\d+)\.\.(\d+)$/.exec(options['--seeds']);
  if (!range || Number(range[1]) > Number(range[2])) usage(`--seeds: expected A..B; found ${options['--seeds']}`);
  const threads = Number(options['--threads']);
  if (!(threads >= 1)) usage(`--threads: expected a number of at least 1; found ${options['--threads']}`);
  return { from: Number(range[1]), to: Number(range[2]), threads };
}

/** Explores every order of messages of each small case, up to the depth or until all states are visited. */
function exploreAll(depth) {
  let allHeld = true;
  for (const [name, scenario] of Object.entries({ RACE, REPLACEMENT, TWO_SLOTS })) {
    const result = explore(scenario, { depth, states: MAX_STATES });
    const extent = result.complete ? 'all reachable states' : `to depth ${result.depth}`;
    process.stdout.write(
      `${name}: ${result.visited} states visited, ${extent}, ${result.broken ? `BROKEN ${result.broken.rule}` : 'held'}\n`,
    );
    for (const step of result.broken?.steps ?? []) process.stdout.write(`  ${step}\n`);
    allHeld &&= result.broken === null;
  }
  return allHeld;
}

/** Searches the seeds of one thread. Each thread takes every n-th seed, so that all end at about the same time. */
async function searchSeeds({ from, to, threads, thread }) {
  for (let seed = from + thread; seed <= to; seed += threads) {
    const result = await searchSeed(seed);
    const { slots, confirmed, adopted, simulatedMs, broken } = result.end;
    parentPort.postMessage({
      seed,
      slots,
      confirmed,
      adopted,
      simulatedMs,
      rule: broken[0]?.rule ?? null,
      report: broken.length > 0 ? reportOf(result) : [],
    });
  }
}

function printTotals(total, rules) {
  const { histories, broken, slots, confirmed, adopted, simulatedMs } = total;
  process.stdout.write(
    `${histories - broken} of ${histories} histories held: ${slots} slots, ${confirmed} calls confirmed, ${adopted} states taken whole, ${Math.round(simulatedMs / 1000)} s simulated.\n`,
  );
  for (const [rule, count] of rules) process.stdout.write(`  ${rule}: ${count}\n`);
}

async function main() {
  const options = parseOptions();
  if (options.exploreTo !== undefined) process.exit(exploreAll(options.exploreTo) ? 0 : 1);
  const total = { histories: 0, broken: 0, slots: 0, confirmed: 0, adopted: 0, simulatedMs: 0 };
  const rules = new Map();
  const startedAt = performance.now();
  const completedSeeds = new Set();
  let nextIncompleteSeed = options.from;

  function onResult(result) {
    total.histories += 1;
    for (const key of ['slots', 'confirmed', 'adopted', 'simulatedMs']) total[key] += result[key];
    completedSeeds.add(result.seed);
    while (completedSeeds.delete(nextIncompleteSeed)) nextIncompleteSeed += 1;
    if (result.rule === null) return;
    total.broken += 1;
    rules.set(result.rule, (rules.get(result.rule) ?? 0) + 1);
    if (rules.get(result.rule) <= MAX_FULL_REPORTS_PER_RULE) process.stdout.write(`${result.report.join('\n')}\n`);
    else process.stdout.write(`${result.report[0]} (${result.rule})\n`);
  }
  function printProgress() {
    const perMinute = Math.round((total.histories / (performance.now() - startedAt)) * 60_000);
    process.stdout.write(
      `${total.histories} of ${options.to - options.from + 1} histories, ${total.broken} broken, ${perMinute} a minute; all seeds below ${nextIncompleteSeed} are done\n`,
    );
  }
  const progressTimer = setInterval(printProgress, PROGRESS_INTERVAL_MS);
  await Promise.all(
    Array.from({ length: options.threads }, (_, thread) => {
      return new Promise((resolve, reject) => {
        const worker = new Worker(new URL(import.meta.url), { workerData: { ...options, thread } });
        worker.on('message', onResult);
        worker.on('error', reject);
        worker.on('exit', resolve);
      });
    }),
  );
  clearInterval(progressTimer);
  printTotals(total, rules);
  process.exit(total.broken === 0 ? 0 : 1);
}

if (isMainThread) await main();
else await searchSeeds(workerData);

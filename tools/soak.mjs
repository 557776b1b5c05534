#!/usr/bin/env node
/** Runs simulated chaos over a range of seeds on worker threads and prints which runs broke a rule. */
import { availableParallelism } from 'node:os';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { runChaos } from '../dist/sim/chaos.js';
import { ALL_FAULTS } from '../dist/sim/faults.js';
import { SHAPES } from '../dist/sim/shapes.js';
import { spread } from './figures.mjs';

function usage(message) {
  process.stderr.write(
    `${message}\nusage: npm run soak -- --seeds A..B [--shape ${Object.keys(SHAPES).join('|')}|all] [--seconds N] [--every MS] [--faults a,b] [--threads N]\n`,
  );
  process.exit(2);
}

async function runSeeds({ seeds, shapes, faults, seconds, everyMs }) {
  for (const seed of seeds) {
    const shape = shapes[seed % shapes.length];
    const result = await runChaos(seed, { faults, seconds, everyMs, shape });
    if (result.faults.length === 0) result.broken.push({ rule: 'noFault', detail: 'the run injected no fault' });
    parentPort.postMessage({ ...result, shape });
  }
}

function parseOptions() {
  const args = process.argv.slice(2);
  const values = {
    '--seeds': '',
    '--shape': 'all',
    '--seconds': '40',
    '--every': '2500',
    '--faults': ALL_FAULTS.join(','),
    '--threads': String(Math.max(1, availableParallelism() - 1)),
  };
  for (let i = 0; i < args.length; i += 2) {
    if (!(args[i] in values) || args[i + 1] === undefined)
      usage(`flag: expected one of ${Object.keys(values).join(', ')} with a value; found ${args[i]}`);
    values[args[i]] = args[i + 1];
  }
  const range = /^(\d+)\.\.(\d+)$/.exec(values['--seeds']);
  if (!range || Number(range[1]) > Number(range[2])) usage(`--seeds: expected A..B; found ${values['--seeds']}`);
  const shapes = values['--shape'] === 'all' ? Object.keys(SHAPES) : [values['--shape']];
  for (const shape of shapes)
    if (!(shape in SHAPES)) usage(`--shape: expected all or one of ${Object.keys(SHAPES).join(', ')}; found ${shape}`);
  const faults = values['--faults'].split(',');
  for (const fault of faults)
    if (!ALL_FAULTS.includes(fault)) usage(`--faults: expected some of ${ALL_FAULTS.join(', ')}; found ${fault}`);
  const threads = Number(values['--threads']);
  if (!(threads >= 1)) usage(`--threads: expected a number of at least 1; found ${values['--threads']}`);
  return {
    from: Number(range[1]),
    to: Number(range[2]),
    shapes,
    faults,
    threads,
    seconds: Number(values['--seconds']),
    everyMs: Number(values['--every']),
  };
}

async function main() {
  const values = parseOptions();
  const results = [];
  function onResult(result) {
    results.push(result);
    const verdict = result.broken.length === 0 ? 'held' : 'BROKEN';
    process.stdout.write(
      `seed ${result.seed} ${result.shape} ${verdict}: ${result.faults.length} faults, ${result.good}/${result.asked} good, after ${result.lastGood}/${result.lastAsked}, recovered in ${Math.max(...Object.values(result.recoveryMs))} ms (${result.disaster})\n`,
    );
    if (result.broken.length === 0) return;
    for (const violation of result.broken.slice(0, 12))
      process.stdout.write(`  ${violation.rule}: ${violation.detail}\n`);
    for (const line of result.portrait) process.stdout.write(`  ${line}\n`);
    for (const fault of result.faults) process.stdout.write(`    ${fault}\n`);
  }
  await Promise.all(
    Array.from({ length: values.threads }, (_, threadIndex) => {
      const seeds = [];
      for (let seed = values.from + threadIndex; seed <= values.to; seed += values.threads) seeds.push(seed);
      return new Promise((resolve, reject) => {
        const worker = new Worker(new URL(import.meta.url), { workerData: { ...values, seeds } });
        worker.on('message', onResult);
        worker.on('error', reject);
        worker.on('exit', resolve);
      });
    }),
  );
  const heldCount = results.filter((result) => result.broken.length === 0).length;
  process.stdout.write(`${heldCount} of ${results.length} seeds held.\n`);
  for (const shape of values.shapes) {
    const shapeResults = results.filter((result) => result.shape === shape);
    if (shapeResults.length === 0) continue;
    for (const kind of ['once', 'stream', 'operator']) {
      const recoveryMs = shapeResults.flatMap((result) =>
        Object.entries(result.recoveryMs)
          .filter(([k]) => k.startsWith(kind))
          .map(([, v]) => v),
      );
      process.stdout.write(`${shape} ${kind}: recovered after ms ${spread(recoveryMs)}\n`);
    }
    process.stdout.write(
      `${shape} in force: ${(shapeResults.reduce((total, result) => total + result.watchedMs, 0) / 1000).toFixed(0)} s of node time observed\n`,
    );
  }
  process.exit(heldCount === results.length ? 0 : 1);
}

if (isMainThread) await main();
else await runSeeds(workerData);

#!/usr/bin/env node
import { availableParallelism } from 'node:os';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { runChaos } from '../dist/sim/chaos.js';
import { ALL_FAULTS } from '../dist/sim/faults.js';
import { SHAPES } from '../dist/sim/shapes.js';
import { spread } from './figures.mjs';

function usage(text) {
  process.stderr.write(
    `${text}\nuse: npm run soak -- --seeds A..B [--shape ${Object.keys(SHAPES).join('|')}|all] [--seconds N] [--every MS] [--faults a,b] [--threads N]\n`,
  );
  process.exit(2);
}

async function play({ seeds, shapes, faults, seconds, everyMs }) {
  for (const seed of seeds) {
    const shape = shapes[seed % shapes.length];
    const end = await runChaos(seed, { faults, seconds, everyMs, shape });
    if (end.faults.length === 0) end.broken.push({ rule: 'noFault', detail: 'the run caused no fault' });
    parentPort.postMessage({ ...end, shape });
  }
}

function options() {
  const args = process.argv.slice(2);
  const o = {
    '--seeds': '',
    '--shape': 'all',
    '--seconds': '40',
    '--every': '2500',
    '--faults': ALL_FAULTS.join(','),
    '--threads': String(Math.max(1, availableParallelism() - 1)),
  };
  for (let i = 0; i < args.length; i += 2) {
    if (!(args[i] in o) || args[i + 1] === undefined)
      usage(`flag: expected one of ${Object.keys(o).join(', ')} with a value; found ${args[i]}`);
    o[args[i]] = args[i + 1];
  }
  const range = /^(\d+)\.\.(\d+)$/.exec(o['--seeds']);
  if (!range || Number(range[1]) > Number(range[2])) usage(`--seeds: expected A..B; found ${o['--seeds']}`);
  const shapes = o['--shape'] === 'all' ? Object.keys(SHAPES) : [o['--shape']];
  for (const s of shapes)
    if (!(s in SHAPES)) usage(`--shape: expected all or one of ${Object.keys(SHAPES).join(', ')}; found ${s}`);
  const faults = o['--faults'].split(',');
  for (const f of faults)
    if (!ALL_FAULTS.includes(f)) usage(`--faults: expected some of ${ALL_FAULTS.join(', ')}; found ${f}`);
  const threads = Number(o['--threads']);
  if (!(threads >= 1)) usage(`--threads: expected a number from 1; found ${o['--threads']}`);
  return {
    from: Number(range[1]),
    to: Number(range[2]),
    shapes,
    faults,
    threads,
    seconds: Number(o['--seconds']),
    everyMs: Number(o['--every']),
  };
}

async function main() {
  const o = options();
  const ends = [];
  function told(end) {
    ends.push(end);
    const mark = end.broken.length === 0 ? 'held' : 'BROKEN';
    process.stdout.write(
      `seed ${end.seed} ${end.shape} ${mark}: ${end.faults.length} faults, ${end.good}/${end.asked} good, after ${end.lastGood}/${end.lastAsked}, back in ${Math.max(...Object.values(end.recoveryMs))} ms (${end.disaster})\n`,
    );
    if (end.broken.length === 0) return;
    for (const b of end.broken.slice(0, 12)) process.stdout.write(`  ${b.rule}: ${b.detail}\n`);
    for (const p of end.portrait) process.stdout.write(`  ${p}\n`);
    for (const f of end.faults) process.stdout.write(`    ${f}\n`);
  }
  await Promise.all(
    Array.from({ length: o.threads }, (_, t) => {
      const seeds = [];
      for (let s = o.from + t; s <= o.to; s += o.threads) seeds.push(s);
      return new Promise((done, fail) => {
        const worker = new Worker(new URL(import.meta.url), { workerData: { ...o, seeds } });
        worker.on('message', told);
        worker.on('error', fail);
        worker.on('exit', done);
      });
    }),
  );
  const held = ends.filter((e) => e.broken.length === 0).length;
  process.stdout.write(`${held} of ${ends.length} seeds held.\n`);
  for (const shape of o.shapes) {
    const of = ends.filter((e) => e.shape === shape);
    if (of.length === 0) continue;
    for (const kind of ['once', 'stream', 'operator']) {
      const ms = of.flatMap((e) =>
        Object.entries(e.recoveryMs)
          .filter(([k]) => k.startsWith(kind))
          .map(([, v]) => v),
      );
      process.stdout.write(`${shape} ${kind}: back after ms ${spread(ms)}\n`);
    }
    process.stdout.write(
      `${shape} in force: ${(of.reduce((n, e) => n + e.watchedMs, 0) / 1000).toFixed(0)} s of nodes watched\n`,
    );
  }
  process.exit(held === ends.length ? 0 : 1);
}

if (isMainThread) await main();
else await play(workerData);

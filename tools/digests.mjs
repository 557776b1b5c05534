#!/usr/bin/env node
/**
 * One digest for each simulated run of a fixed list of seeds: `node tools/digests.mjs [FILE]`. A digest covers numbers
 * and outcomes only, never names, so that it is equal before and after a renaming. With FILE, compares with that file
 * and exits with 1 where a digest differs; without it, prints them.
 */
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';

const THREADS = 4;
const RACING_SECONDS = 60;
const CHAOS_SECONDS = 15;
const CHAOS_EVERY_MS = 2_500;

function sha(values) {
  return createHash('sha256').update(JSON.stringify(values)).digest('hex').slice(0, 16);
}
function span(from, to) {
  return Array.from({ length: to - from + 1 }, (_, i) => from + i);
}

async function modelRun(seed) {
  const { searchSeed } = await import('../dist/sim/model/search.js');
  const { slots, confirmed, adopted, simulatedMs, broken } = (await searchSeed(seed)).end;
  return [slots, confirmed, adopted, simulatedMs, broken.length];
}
async function racingRun(seed) {
  const { runRacingDay } = await import('../dist/sim/racing-day.js');
  const end = await runRacingDay(seed, { controllers: seed % 2 === 0 ? 5 : 3, seconds: RACING_SECONDS });
  return [end.calls, end.confirmed, end.zoneOrders, end.troubles.length, end.broken.length, end.violation !== null];
}
async function edgeRuns(seed) {
  const { runEdgeDay } = await import('../dist/sim/edge-day.js');
  const { createRelay } = await import('../dist/coordination/forwarding/relay.js');
  const rows = [];
  for (let day = seed * 100; day < (seed + 1) * 100; day += 1) {
    const { broken, journal } = await runEdgeDay(day, { createRelay });
    rows.push([broken.length, journal.asked.length, journal.arrivals.length]);
  }
  return rows;
}
async function soakRun(seed) {
  const { runChaos } = await import('../dist/sim/chaos.js');
  const { ALL_FAULTS } = await import('../dist/sim/faults.js');
  const { SHAPES } = await import('../dist/sim/shapes.js');
  const shapes = Object.keys(SHAPES);
  const end = await runChaos(seed, {
    faults: ALL_FAULTS,
    seconds: CHAOS_SECONDS,
    everyMs: CHAOS_EVERY_MS,
    shape: shapes[seed % shapes.length],
  });
  return [
    end.faults.length,
    end.broken.length,
    end.good,
    end.asked,
    end.lastGood,
    end.lastAsked,
    Object.values(end.recoveryMs),
    end.watchedMs,
  ];
}

const RUNS = { model: modelRun, racing: racingRun, edge: edgeRuns, soak: soakRun };
const SEEDS = { model: span(1, 60), racing: span(1, 4), edge: span(0, 9), soak: span(1, 6) };

async function work({ tasks }) {
  for (const [kind, seed] of tasks) parentPort.postMessage([`${kind} ${seed}`, sha(await RUNS[kind](seed))]);
}

async function main() {
  const tasks = Object.entries(SEEDS).flatMap(([kind, seeds]) => seeds.map((seed) => [kind, seed]));
  tasks.sort(([a], [b]) => Object.keys(SEEDS).indexOf(b) - Object.keys(SEEDS).indexOf(a));
  const digests = {};
  function thread(n) {
    return new Promise((done, fail) => {
      const worker = new Worker(new URL(import.meta.url), {
        workerData: { tasks: tasks.filter((_, i) => i % THREADS === n) },
      });
      worker.on('message', ([name, digest]) => (digests[name] = digest));
      worker.on('error', fail);
      worker.on('exit', done);
    });
  }
  await Promise.all(span(0, THREADS - 1).map(thread));
  const [file] = process.argv.slice(2);
  if (file && existsSync(file)) {
    const before = JSON.parse(readFileSync(file, 'utf8'));
    const moved = Object.keys(before).filter((name) => before[name] !== digests[name]);
    for (const name of moved) process.stdout.write(`moved: ${name}\n`);
    process.stdout.write(
      `${Object.keys(before).length - moved.length} of ${Object.keys(before).length} digests are equal\n`,
    );
    process.exitCode = moved.length === 0 ? 0 : 1;
  } else if (file) writeFileSync(file, `${JSON.stringify(digests, null, 1)}\n`);
  else process.stdout.write(`${JSON.stringify(digests, null, 1)}\n`);
}

if (isMainThread) await main();
else await work(workerData);

#!/usr/bin/env node
/**
 * Computes a digest of each simulated run of a fixed list of seeds: `node tools/digests.mjs [FILE]`. A digest covers
 * only numbers and outcomes, never names, so that it stays equal when identifiers are renamed. If FILE exists, the
 * digests are compared with it, and the exit code is 1 if any differs. If it does not exist, they are written to it.
 * Without FILE they are printed.
 */
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';

const THREADS = 4;
const RACING_SECONDS = 60;
const CHAOS_SECONDS = 15;
const CHAOS_EVERY_MS = 2_500;

function digestOf(values) {
  return createHash('sha256').update(JSON.stringify(values)).digest('hex').slice(0, 16);
}
function range(from, to) {
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
const SEEDS = { model: range(1, 60), racing: range(1, 4), edge: range(0, 9), soak: range(1, 6) };

async function runTasks({ tasks }) {
  for (const [kind, seed] of tasks) parentPort.postMessage([`${kind} ${seed}`, digestOf(await RUNS[kind](seed))]);
}

async function main() {
  const tasks = Object.entries(SEEDS).flatMap(([kind, seeds]) => seeds.map((seed) => [kind, seed]));
  tasks.sort(([a], [b]) => Object.keys(SEEDS).indexOf(b) - Object.keys(SEEDS).indexOf(a));
  const digests = {};
  function startThread(threadIndex) {
    return new Promise((done, reject) => {
      const worker = new Worker(new URL(import.meta.url), {
        workerData: { tasks: tasks.filter((_, i) => i % THREADS === threadIndex) },
      });
      worker.on('message', ([name, digest]) => (digests[name] = digest));
      worker.on('error', reject);
      worker.on('exit', done);
    });
  }
  await Promise.all(range(0, THREADS - 1).map(startThread));
  const [file] = process.argv.slice(2);
  if (file && existsSync(file)) {
    const expected = JSON.parse(readFileSync(file, 'utf8'));
    const changed = Object.keys(expected).filter((name) => expected[name] !== digests[name]);
    for (const name of changed) process.stdout.write(`changed: ${name}\n`);
    process.stdout.write(
      `${Object.keys(expected).length - changed.length} of ${Object.keys(expected).length} digests are equal\n`,
    );
    process.exitCode = changed.length === 0 ? 0 : 1;
  } else if (file) writeFileSync(file, `${JSON.stringify(digests, null, 1)}\n`);
  else process.stdout.write(`${JSON.stringify(digests, null, 1)}\n`);
}

if (isMainThread) await main();
else await runTasks(workerData);

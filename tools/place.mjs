#!/usr/bin/env node
/** Measures the time to select a worker and the prefix hits, with all workers as candidates and with at most 64. */
import { performance } from 'node:perf_hooks';
import { createPlacementService } from '../dist/coordination/forwarding/placement-service.js';
import { emptyControlState } from '../dist/state/consensus/control-state.js';
import { POLICIES } from '../dist/state/forwarding/policies.js';
import { createWorkerTable } from '../dist/state/discovery/worker-table.js';
import { createRng } from '../dist/transport/rng.js';
import { spread } from './figures.mjs';

const sizes = (process.argv[2] ?? '16,150,300,1000,3000').split(',').map(Number);
if (sizes.some((n) => !(n >= 1))) {
  process.stderr.write('usage: node tools/place.mjs [16,150,300,1000,3000]\n');
  process.exit(2);
}
const regions = ['a', 'b', 'c'];

function createPlacer(size, usesAllCandidates) {
  const table = createWorkerTable();
  const controlState = emptyControlState();
  controlState.version = 1;
  controlState.ticketKey = 'key';
  controlState.configuration = {
    zones: Object.fromEntries(regions.map((name) => [`${name}-1`, { region: name }])),
    deployment: { rampS: 0 },
    regions: { a: { models: { m: {} } } },
  };
  const workers = Array.from({ length: size }, (_, i) => ({
    id: `w${i}`,
    machine: `m${i}`,
    address: `w${i}`,
    model: 'm',
    zone: `${regions[i % 3]}-1`,
    region: regions[i % 3],
    kind: 'fixed',
    state: 'ready',
  }));
  table.takeList(workers, 0);
  for (const worker of workers)
    table.takeHealth(
      worker.id,
      { id: worker.id, incarnation: 'i', model: 'm', state: 'ready', running: 0, readyForMs: 1e9 },
      0,
    );
  const nodes = Array.from({ length: Math.max(3, Math.floor(size / 3)) }, (_, i) => ({
    name: `s${i}`,
    role: 'proxy',
    run: 'r',
    incarnation: 1,
    address: `s${i}`,
    http: `s${i}`,
    zone: `${regions[i % 3]}-1`,
    region: regions[i % 3],
    status: 'alive',
  }));
  const membership = { all: () => nodes, get: () => null, events: { on() {} }, leave() {}, stop() {} };
  const follower = { controlState: () => controlState, partitioned: () => false, sharedNow: () => 0 };
  const clock = { mono: () => 0, wall: () => 0 };
  const placementTable = usesAllCandidates
    ? { ...table, candidates: (query) => table.candidates({ ...query, whole: true }) }
    : table;
  const placer = createPlacementService({
    self: { name: 's0', run: 'r', zone: 'a-1', region: 'a', http: 's0' },
    ready: () => true,
    follower,
    membership,
    table: placementTable,
    policies: POLICIES,
    clock,
    rng: createRng(1),
  });
  return { table, placer };
}

function measure(size, usesAllCandidates) {
  const { table, placer } = createPlacer(size, usesAllCandidates);
  const rng = createRng(2);
  const modelIndex = table.modelIx('m');
  const drawPromptParts = () => ['rules', `history-${Math.floor(rng.next() * 400)}`, `case-${rng.next()}`];
  let hits = 0;
  const rounds = 4_000;
  for (let i = 0; i < 500; i += 1) placeOne();
  hits = 0;
  const startedAt = performance.now();
  for (let i = 0; i < rounds; i += 1) placeOne();
  return { us: ((performance.now() - startedAt) * 1_000) / rounds, hits: hits / rounds };
  function placeOne() {
    const promptParts = drawPromptParts();
    const choice = placer.choose({ model: 'm', parts: promptParts, homes: null, avoid: new Set() });
    if (choice.tag !== 'chosen') throw new Error(`no worker selected: ${choice.stoppedBy}`);
    if (choice.candidate.knownShare > 0.5) hits += 1;
    table.prefixes.learn(modelIndex, promptParts, choice.candidate.ix);
  }
}

process.stdout.write(
  '| workers of the model | all looked at, µs | at most 64, µs | ratio | prefix hits, all | prefix hits, at most 64 |\n| --- | --- | --- | --- | --- | --- |\n',
);
for (const size of sizes) {
  const runs = [];
  for (let i = 0; i < 3; i += 1)
    runs.push(
      i % 2 === 0 ? [measure(size, true), measure(size, false)] : [measure(size, false), measure(size, true)].reverse(),
    );
  process.stdout.write(
    `| ${size} | ${spread(runs.map((pair) => pair[0].us))} | ${spread(runs.map((pair) => pair[1].us))} | ${spread(runs.map((pair) => pair[0].us / pair[1].us))} | ${spread(runs.map((pair) => pair[0].hits))} | ${spread(runs.map((pair) => pair[1].hits))} |\n`,
  );
}

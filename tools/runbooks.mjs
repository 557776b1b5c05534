#!/usr/bin/env node
/**
 * Rehearses each runbook on a fleet of real processes: kills it midway, resumes it, and checks that no change was made
 * twice. Then checks that each runbook is refused without a majority of the controllers.
 */
import { existsSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parse } from 'yaml';
import {
  BIN,
  installShutdownHandlers,
  onShutdown,
  ROOT,
  runNodeScript,
  shutdown,
  startChild,
  stopFleet,
} from './children.mjs';

const FOLDER = join(ROOT, '.fleet-runbooks');
const env = { ...process.env, FLEET_FOLDER: FOLDER, FLEET_PORT: '25000' };
const only = process.argv[2];
const results = [];

function run(file, args, stdio = ['ignore', 'ignore', 'inherit']) {
  return runNodeScript(file, args, { env, stdio });
}
function runFleetCommand(...args) {
  return run(join(ROOT, 'tools/fleet.mjs'), args);
}
function readState() {
  return JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
}
function runAdmin(...args) {
  return run(BIN, ['admin', ...args, '--core', readState().core]);
}
async function postToCloud(path, body) {
  await fetch(`http://${readState().cloud}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(3000),
  });
}
function nodesInZone(zone) {
  return readState()
    .nodes.filter((n) => n.zone === zone)
    .map((n) => n.name);
}
async function setSpotAvailable(isAvailable) {
  for (const zone of ['hu-1', 'at-1', 'ro-1']) await postToCloud('/lab/zone', { zone, spot: isAvailable });
}
async function killAndRestart(name, ...restartArgs) {
  await runFleetCommand('kill', name);
  await sleep(400);
  await runFleetCommand('restart', name, ...restartArgs);
}

const rehearsals = [
  ['roll-out-setting', {}],
  ['take-back-setting', {}],
  ['upgrade-node', { inputs: { name: 'proxy-hu-1-2' }, during: () => killAndRestart('proxy-hu-1-2') }],
  [
    'full-disk',
    {
      inputs: { name: 'controller-2' },
      async before() {
        await runFleetCommand('fill', 'controller-2');
        await sleep(300);
        await runAdmin('set', '/deployment/lineLimit', '70');
      },
      async during() {
        await runFleetCommand('heal');
        await killAndRestart('controller-2');
      },
    },
  ],
  [
    'replace-core-machine',
    {
      inputs: { name: 'controller-3', address: () => readState().nodes.find((n) => n.name === 'controller-3').listen },
      before: () => runFleetCommand('kill', 'controller-3'),
      during: () => runFleetCommand('restart', 'controller-3', '--wipe'),
    },
  ],
  ['evacuate-and-hand-back', { inputs: { zone: 'ro-1' } }],
  [
    'region-lost',
    {
      inputs: { zone: 'ro-1', proxy: 'proxy-ro-1-2' },
      async before() {
        for (const name of nodesInZone('ro-1')) await runFleetCommand('kill', name);
        await sleep(3_000);
        await runAdmin('forget', 'proxy-ro-1-1');
      },
    },
  ],
  [
    'region-back-cold',
    {
      inputs: { zone: 'ro-1', node: 'proxy-ro-1-1' },
      async before() {
        for (const name of nodesInZone('ro-1')) await runFleetCommand('restart', name);
        await sleep(3_000);
      },
    },
  ],
  [
    'spot-drought',
    {
      inputs: { model: 'driver-notes' },
      async before() {
        await setSpotAvailable(false);
        await runFleetCommand('reclaim', '30', '300');
        await sleep(2_000);
      },
      async during() {
        await sleep(12_000);
        await setSpotAvailable(true);
      },
    },
  ],
];

function runbookArgs(name, inputs, record) {
  const inputValues = Object.entries(inputs ?? {}).map(([k, v]) => `${k}=${typeof v === 'function' ? v() : v}`);
  return [
    'runbook',
    'run',
    join(ROOT, 'runbooks', `${name}.yaml`),
    '--core',
    readState().core,
    '--record',
    record,
    ...(inputValues.length > 0 ? ['--input', inputValues.join(',')] : []),
  ];
}
function readSteps(record) {
  return existsSync(record)
    ? readFileSync(record, 'utf8')
        .split('\n')
        .filter(Boolean)
        .map((line) => JSON.parse(line))
    : [];
}
async function runInterrupted(args, record) {
  const child = startChild(process.execPath, [BIN, ...args], { env, stdio: ['pipe', 'ignore', 'ignore'] });
  for (let i = 0; i < 400 && readSteps(record).length === 0; i += 1) await sleep(50);
  await sleep(200);
  child.kill('SIGKILL');
  return readSteps(record).length;
}

installShutdownHandlers();
if ((await runFleetCommand('start', 'kutfo')) !== 0) await shutdown(1);
onShutdown(() => stopFleet(FOLDER));
for (const [name, rehearsal] of rehearsals) {
  if (only && only !== name) continue;
  const record = join(FOLDER, `${name}.jsonl`);
  rmSync(record, { force: true });
  await rehearsal.before?.();
  const stepsBeforeInterrupt = await runInterrupted(runbookArgs(name, rehearsal.inputs, record), record);
  const startedAt = Date.now();
  const concurrentActions = rehearsal.during?.();
  const code = await run(BIN, [...runbookArgs(name, rehearsal.inputs, record), '--yes']);
  await concurrentActions;
  const changesState = parse(readFileSync(join(ROOT, 'runbooks', `${name}.yaml`), 'utf8')).steps.map((s) =>
    ['set', 'evacuate', 'restore', 'forget', 'reopenClaims'].some((k) => k in s),
  );
  const completedChanges = readSteps(record).filter((s) => s.outcome === 'done' && changesState[s.step]);
  const repeatedChanges = completedChanges.length - new Set(completedChanges.map((s) => s.step)).size;
  results.push([
    name,
    code === 0 ? 'done' : `exit code ${code}`,
    stepsBeforeInterrupt,
    repeatedChanges,
    ((Date.now() - startedAt) / 1000).toFixed(1),
  ]);
  process.stdout.write(`${results.at(-1).join(' | ')}\n`);
  if (code !== 0) process.stdout.write(`${JSON.stringify(readSteps(record).at(-1))}\n`);
  await sleep(2_000);
}
await runFleetCommand('freeze', 'controller-2');
await runFleetCommand('freeze', 'controller-3');
await sleep(4_000);
const resultsWithoutMajority = {};
for (const [name, rehearsal] of rehearsals) {
  if (only && only !== name) continue;
  const record = join(FOLDER, `${name}.unmet.jsonl`);
  const code = await run(
    BIN,
    [...runbookArgs(name, rehearsal.inputs, record), '--yes'],
    ['ignore', 'ignore', 'ignore'],
  );
  resultsWithoutMajority[name] =
    code !== 0 && readSteps(record).every((s) => s.outcome !== 'done') ? `refused (${code})` : 'NOT refused';
}
await runFleetCommand('stop');
process.stdout.write(
  '| runbook | interrupted, then resumed | steps done before | changes made twice | s, resumed | without a majority |\n| --- | --- | --- | --- | --- | --- |\n',
);
for (const [name, end, stepsBeforeInterrupt, repeatedChanges, resumedS] of results)
  process.stdout.write(
    `| ${name} | ${end} | ${stepsBeforeInterrupt} | ${repeatedChanges} | ${resumedS} | ${resultsWithoutMajority[name]} |\n`,
  );
await shutdown(
  results.every((r) => r[1] === 'done' && r[2] > 0 && r[3] === 0) &&
    Object.values(resultsWithoutMajority).every((outcome) => outcome.startsWith('refused'))
    ? 0
    : 1,
);

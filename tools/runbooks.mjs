#!/usr/bin/env node
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
function fleet(...args) {
  return run(join(ROOT, 'tools/fleet.mjs'), args);
}
function state() {
  return JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
}
function admin(...args) {
  return run(BIN, ['admin', ...args, '--core', state().core]);
}
async function cloud(path, body) {
  await fetch(`http://${state().cloud}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(3000),
  });
}
function inZone(zone) {
  return state()
    .nodes.filter((n) => n.zone === zone)
    .map((n) => n.name);
}
async function spot(has) {
  for (const zone of ['hu-1', 'at-1', 'ro-1']) await cloud('/lab/zone', { zone, spot: has });
}
async function again(name, ...how) {
  await fleet('kill', name);
  await sleep(400);
  await fleet('restart', name, ...how);
}

const plays = [
  ['roll-out-setting', {}],
  ['take-back-setting', {}],
  ['upgrade-node', { inputs: { name: 'proxy-hu-1-2' }, during: () => again('proxy-hu-1-2') }],
  [
    'full-disk',
    {
      inputs: { name: 'controller-2' },
      async before() {
        await fleet('fill', 'controller-2');
        await sleep(300);
        await admin('set', '/deployment/lineLimit', '70');
      },
      async during() {
        await fleet('heal');
        await again('controller-2');
      },
    },
  ],
  [
    'replace-core-machine',
    {
      inputs: { name: 'controller-3', address: () => state().nodes.find((n) => n.name === 'controller-3').listen },
      before: () => fleet('kill', 'controller-3'),
      during: () => fleet('restart', 'controller-3', '--wipe'),
    },
  ],
  ['evacuate-and-hand-back', { inputs: { zone: 'ro-1' } }],
  [
    'region-lost',
    {
      inputs: { zone: 'ro-1', proxy: 'proxy-ro-1-2' },
      async before() {
        for (const name of inZone('ro-1')) await fleet('kill', name);
        await sleep(3_000);
        await admin('forget', 'proxy-ro-1-1');
      },
    },
  ],
  [
    'region-back-cold',
    {
      inputs: { zone: 'ro-1', node: 'proxy-ro-1-1' },
      async before() {
        for (const name of inZone('ro-1')) await fleet('restart', name);
        await sleep(3_000);
      },
    },
  ],
  [
    'spot-drought',
    {
      inputs: { model: 'driver-notes' },
      async before() {
        await spot(false);
        await fleet('reclaim', '30', '300');
        await sleep(2_000);
      },
      async during() {
        await sleep(12_000);
        await spot(true);
      },
    },
  ],
];

function argsOf(name, inputs, record) {
  const given = Object.entries(inputs ?? {}).map(([k, v]) => `${k}=${typeof v === 'function' ? v() : v}`);
  return [
    'runbook',
    'run',
    join(ROOT, 'runbooks', `${name}.yaml`),
    '--core',
    state().core,
    '--record',
    record,
    ...(given.length > 0 ? ['--input', given.join(',')] : []),
  ];
}
function steps(record) {
  return existsSync(record)
    ? readFileSync(record, 'utf8')
        .split('\n')
        .filter(Boolean)
        .map((l) => JSON.parse(l))
    : [];
}
async function interrupted(args, record) {
  const child = startChild(process.execPath, [BIN, ...args], { env, stdio: ['pipe', 'ignore', 'ignore'] });
  for (let i = 0; i < 400 && steps(record).length === 0; i += 1) await sleep(50);
  await sleep(200);
  child.kill('SIGKILL');
  return steps(record).length;
}

installShutdownHandlers();
if ((await fleet('start', 'kutfo')) !== 0) await shutdown(1);
onShutdown(() => stopFleet(FOLDER));
for (const [name, play] of plays) {
  if (only && only !== name) continue;
  const record = join(FOLDER, `${name}.jsonl`);
  rmSync(record, { force: true });
  await play.before?.();
  const before = await interrupted(argsOf(name, play.inputs, record), record);
  const from = Date.now();
  const during = play.during?.();
  const code = await run(BIN, [...argsOf(name, play.inputs, record), '--yes']);
  await during;
  const changing = parse(readFileSync(join(ROOT, 'runbooks', `${name}.yaml`), 'utf8')).steps.map((s) =>
    ['set', 'evacuate', 'restore', 'forget', 'reopenClaims'].some((k) => k in s),
  );
  const done = steps(record).filter((s) => s.outcome === 'done' && changing[s.step]);
  const twice = done.length - new Set(done.map((s) => s.step)).size;
  results.push([
    name,
    code === 0 ? 'done' : `left with ${code}`,
    before,
    twice,
    ((Date.now() - from) / 1000).toFixed(1),
  ]);
  process.stdout.write(`${results.at(-1).join(' | ')}\n`);
  if (code !== 0) process.stdout.write(`${JSON.stringify(steps(record).at(-1))}\n`);
  await sleep(2_000);
}
await fleet('freeze', 'controller-2');
await fleet('freeze', 'controller-3');
await sleep(4_000);
const unmet = {};
for (const [name, play] of plays) {
  if (only && only !== name) continue;
  const record = join(FOLDER, `${name}.unmet.jsonl`);
  const code = await run(BIN, [...argsOf(name, play.inputs, record), '--yes'], ['ignore', 'ignore', 'ignore']);
  unmet[name] = code !== 0 && steps(record).every((s) => s.outcome !== 'done') ? `refused (${code})` : 'NOT refused';
}
await fleet('stop');
process.stdout.write(
  '| runbook | interrupted, then resumed | steps done before | changes made twice | s, resumed | without a majority |\n| --- | --- | --- | --- | --- | --- |\n',
);
for (const [name, end, before, twice, s] of results)
  process.stdout.write(`| ${name} | ${end} | ${before} | ${twice} | ${s} | ${unmet[name]} |\n`);
await shutdown(
  results.every((r) => r[1] === 'done' && r[2] > 0 && r[3] === 0) &&
    Object.values(unmet).every((u) => u.startsWith('refused'))
    ? 0
    : 1,
);

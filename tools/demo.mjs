#!/usr/bin/env node
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import {
  BIN,
  installShutdownHandlers,
  isRunning,
  onShutdown,
  ROOT,
  runNodeScript,
  shutdown,
  stopFleet,
} from './children.mjs';
import { callerFigures } from './figures.mjs';
import { install } from './installed.mjs';
import { SHAPES } from './shapes.mjs';

const FOLDER = join(ROOT, '.fleet-demo');
const PORTS = 100;
const LONGEST_MS = 120_000;
const [, , shapeName = 'kutfo', secondsText = '20', rateText = '6'] = process.argv;
const shape = SHAPES[shapeName];
const seconds = Number(secondsText);
if (!shape || !(seconds >= 1 && seconds <= 60) || !(Number(rateText) > 0)) {
  process.stderr.write(
    `use: npm run demo -- [${Object.keys(SHAPES).join('|')}] [seconds, at most 60] [requests a second and zone]\n`,
  );
  process.exit(2);
}

function newest(folder) {
  const files = readdirSync(folder, { recursive: true, withFileTypes: true }).filter((f) => f.isFile());
  return Math.max(...files.map((f) => statSync(join(f.parentPath ?? f.path, f.name)).mtimeMs));
}
function isBuilt() {
  if (!existsSync(BIN)) return false;
  const sources = Math.max(
    newest(join(ROOT, 'src')),
    ...['tsconfig.json', 'tsconfig.build.json', 'package-lock.json'].map((f) => statSync(join(ROOT, f)).mtimeMs),
  );
  return statSync(BIN).mtimeMs > sources;
}
async function build() {
  if (isBuilt()) return true;
  process.stdout.write('Building.\n');
  return (
    (await runNodeScript(join(ROOT, 'node_modules/typescript/bin/tsc'), ['-p', 'tsconfig.build.json'], {
      cwd: ROOT,
      stdio: 'inherit',
    })) === 0
  );
}

function isFree(port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}
async function freeBase() {
  for (let base = 27_000; base < 32_000; base += PORTS) {
    const free = await Promise.all(Array.from({ length: PORTS }, (_, i) => isFree(base + i)));
    if (free.every(Boolean)) return base;
  }
  process.stderr.write('no free ports between 27000 and 32000\n');
  return shutdown(1);
}

function journals(prefix = '') {
  const folder = join(FOLDER, 'journals');
  if (!existsSync(folder)) return [];
  return readdirSync(folder)
    .filter((f) => f.startsWith(prefix))
    .flatMap((f) =>
      readFileSync(join(folder, f), 'utf8')
        .split('\n')
        .slice(0, -1)
        .map((l) => JSON.parse(l)),
    );
}
function percent(share) {
  return `${(share * 100).toFixed(1)} %`;
}
function ms(value) {
  return value === null ? 'none' : `${Math.round(value)} ms`;
}

function showProgress() {
  const from = performance.now();
  const timer = setInterval(tick, 1_000);
  function tick() {
    const f = callerFigures(journals('caller-'));
    const s = Math.min(seconds, Math.round((performance.now() - from) / 1_000));
    const line = `load: ${s} of ${seconds} s, ${f.asked} requests ended, ${percent(f.success)} answered, first piece ${ms(f.firstP50)}`;
    process.stdout.write(process.stdout.isTTY ? `\r${line}  ` : `${line}\n`);
  }
  return function stop() {
    clearInterval(timer);
    if (process.stdout.isTTY) process.stdout.write('\n');
  };
}

function checkJournals() {
  const args = [BIN, 'standin', 'check', join(FOLDER, 'journals')];
  if (shape.homes) args.push('--homes', `${shape.kind}=${shape.homes.join('+')}`);
  const got = spawnSync(process.execPath, args, { encoding: 'utf8', timeout: 30_000, maxBuffer: 64 * 2 ** 20 });
  if (got.stderr) process.stderr.write(got.stderr);
  try {
    return { code: got.status, ...JSON.parse(got.stdout) };
  } catch {
    return { code: got.status ?? 1, broken: [{ rule: 'check', detail: 'it told nothing' }], counts: {} };
  }
}

installShutdownHandlers();
if (!(await install()) || !(await build())) await shutdown(1);
const began = performance.now();
setTimeout(() => {
  process.stderr.write(`not done within ${LONGEST_MS / 1_000} s\n`);
  void shutdown(1);
}, LONGEST_MS).unref();

const env = { ...process.env, FLEET_FOLDER: FOLDER, FLEET_PORT: process.env.FLEET_PORT ?? String(await freeBase()) };
function fleet(...args) {
  return runNodeScript(join(ROOT, 'tools/fleet.mjs'), args, { env, stdio: ['ignore', 'ignore', 'inherit'] });
}
process.stdout.write(
  `Starting ${shapeName}'s fleet on loopback from port ${env.FLEET_PORT}; its logs and journals are in ${FOLDER}.\n`,
);
if ((await fleet('start', shapeName)) !== 0) await shutdown(1);
onShutdown(() => stopFleet(FOLDER));
const { nodes } = JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
process.stdout.write(`${nodes.length} processes serve after ${((performance.now() - began) / 1_000).toFixed(1)} s.\n`);

const stopProgress = showProgress();
const loaded = await fleet('load', shapeName, String(seconds), rateText);
stopProgress();
await fleet('stop');
const check = checkJournals();
const f = callerFigures(journals());
const held = check.code === 0 && check.broken.length === 0;
const rows = [
  ['requests', `${f.asked}, ${percent(f.success)} answered, ${percent(f.shed)} refused as not run`],
  ['first piece, p50 / p99', `${ms(f.firstP50)} / ${ms(f.firstP99)}`],
  ['whole answer, p50 / p99', `${ms(f.wholeP50)} / ${ms(f.wholeP99)}`],
  ['run-once request, p50 / p99', `${ms(f.onceP50)} / ${ms(f.onceP99)}`],
  ['prompt tokens found kept', percent(f.prefixHits)],
  ['dispatched a second time', percent(f.retries)],
  ['rules', held ? `held, over ${check.counts.attempts} dispatches` : `${check.broken.length} broken`],
];
process.stdout.write(`\n${rows.map(([what, value]) => `${what.padEnd(28)} ${value}`).join('\n')}\n`);
for (const b of check.broken.slice(0, 10)) process.stdout.write(`  ${b.rule}: ${b.detail}\n`);
const left = nodes.filter(isRunning).map((n) => n.name);
process.stdout.write(
  `${left.length === 0 ? `All ${nodes.length} processes ended` : `Still running: ${left.join(', ')}`}; ${((performance.now() - began) / 1_000).toFixed(0)} s in all.\n`,
);
await shutdown(held && loaded === 0 && left.length === 0 && f.success > 0 ? 0 : 1);

#!/usr/bin/env node
/** The demo: builds, starts a fleet on loopback, sends it load, checks its journals and prints the results. */
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
const PORT_COUNT = 100;
const TIMEOUT_MS = 120_000;
const [, , shapeName = 'kutfo', secondsText = '20', rateText = '6'] = process.argv;
const shape = SHAPES[shapeName];
const seconds = Number(secondsText);
if (!shape || !(seconds >= 1 && seconds <= 60) || !(Number(rateText) > 0)) {
  process.stderr.write(
    `usage: npm run demo -- [${Object.keys(SHAPES).join('|')}] [seconds, at most 60] [requests per second and zone]\n`,
  );
  process.exit(2);
}

function newestModificationMs(folder) {
  const files = readdirSync(folder, { recursive: true, withFileTypes: true }).filter((file) => file.isFile());
  return Math.max(...files.map((file) => statSync(join(file.parentPath ?? file.path, file.name)).mtimeMs));
}
function isBuilt() {
  if (!existsSync(BIN)) return false;
  const newestSourceMs = Math.max(
    newestModificationMs(join(ROOT, 'src')),
    ...['tsconfig.json', 'tsconfig.build.json', 'package-lock.json'].map((file) => statSync(join(ROOT, file)).mtimeMs),
  );
  return statSync(BIN).mtimeMs > newestSourceMs;
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

function isPortFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
async function findFreeBasePort() {
  for (let basePort = 27_000; basePort < 32_000; basePort += PORT_COUNT) {
    const free = await Promise.all(Array.from({ length: PORT_COUNT }, (_, i) => isPortFree(basePort + i)));
    if (free.every(Boolean)) return basePort;
  }
  process.stderr.write('found no block of 100 free ports between 27000 and 32000\n');
  return shutdown(1);
}

function readJournals(prefix = '') {
  const folder = join(FOLDER, 'journals');
  if (!existsSync(folder)) return [];
  return readdirSync(folder)
    .filter((file) => file.startsWith(prefix))
    .flatMap((file) =>
      readFileSync(join(folder, file), 'utf8')
        .split('\n')
        .slice(0, -1)
        .map((l) => JSON.parse(l)),
    );
}
function formatPercent(share) {
  return `${(share * 100).toFixed(1)} %`;
}
function formatMs(value) {
  return value === null ? 'none' : `${Math.round(value)} ms`;
}

function startProgress() {
  const startedAt = performance.now();
  const timer = setInterval(printProgress, 1_000);
  function printProgress() {
    const figures = callerFigures(readJournals('caller-'));
    const elapsedS = Math.min(seconds, Math.round((performance.now() - startedAt) / 1_000));
    const line = `load: ${elapsedS} of ${seconds} s, ${figures.asked} requests completed, ${formatPercent(figures.success)} succeeded, first piece ${formatMs(figures.firstP50)}`;
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
  const result = spawnSync(process.execPath, args, { encoding: 'utf8', timeout: 30_000, maxBuffer: 64 * 2 ** 20 });
  if (result.stderr) process.stderr.write(result.stderr);
  try {
    return { code: result.status, ...JSON.parse(result.stdout) };
  } catch {
    return { code: result.status ?? 1, broken: [{ rule: 'check', detail: 'the check printed no result' }], counts: {} };
  }
}

installShutdownHandlers();
if (!(await install()) || !(await build())) await shutdown(1);
const startedAt = performance.now();
setTimeout(() => {
  process.stderr.write(`the demo did not finish within ${TIMEOUT_MS / 1_000} s\n`);
  void shutdown(1);
}, TIMEOUT_MS).unref();

const env = {
  ...process.env,
  FLEET_FOLDER: FOLDER,
  FLEET_PORT: process.env.FLEET_PORT ?? String(await findFreeBasePort()),
};
function runFleetCommand(...args) {
  return runNodeScript(join(ROOT, 'tools/fleet.mjs'), args, { env, stdio: ['ignore', 'ignore', 'inherit'] });
}
process.stdout.write(
  `Starting the fleet ${shapeName} on loopback from port ${env.FLEET_PORT}; its logs and journals are in ${FOLDER}.\n`,
);
if ((await runFleetCommand('start', shapeName)) !== 0) await shutdown(1);
onShutdown(() => stopFleet(FOLDER));
const { nodes } = JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
process.stdout.write(
  `${nodes.length} processes are serving after ${((performance.now() - startedAt) / 1_000).toFixed(1)} s.\n`,
);

const stopProgress = startProgress();
const loadExitCode = await runFleetCommand('load', shapeName, String(seconds), rateText);
stopProgress();
await runFleetCommand('stop');
const check = checkJournals();
const figures = callerFigures(readJournals());
const rulesHeld = check.code === 0 && check.broken.length === 0;
const rows = [
  ['requests', `${figures.asked}, ${formatPercent(figures.success)} succeeded, ${formatPercent(figures.shed)} shed`],
  ['first piece, p50 / p99', `${formatMs(figures.firstP50)} / ${formatMs(figures.firstP99)}`],
  ['complete response, p50 / p99', `${formatMs(figures.wholeP50)} / ${formatMs(figures.wholeP99)}`],
  ['run-once request, p50 / p99', `${formatMs(figures.onceP50)} / ${formatMs(figures.onceP99)}`],
  ['prompt tokens found in cache', formatPercent(figures.prefixHits)],
  ['retries', formatPercent(figures.retries)],
  ['rules', rulesHeld ? `held, over ${check.counts.attempts} dispatches` : `${check.broken.length} broken`],
];
process.stdout.write(`\n${rows.map(([label, value]) => `${label.padEnd(28)} ${value}`).join('\n')}\n`);
for (const violation of check.broken.slice(0, 10)) process.stdout.write(`  ${violation.rule}: ${violation.detail}\n`);
const stillRunning = nodes.filter(isRunning).map((n) => n.name);
process.stdout.write(
  `${stillRunning.length === 0 ? `All ${nodes.length} processes ended` : `Still running: ${stillRunning.join(', ')}`}; ${((performance.now() - startedAt) / 1_000).toFixed(0)} s in total.\n`,
);
await shutdown(rulesHeld && loadExitCode === 0 && stillRunning.length === 0 && figures.success > 0 ? 0 : 1);

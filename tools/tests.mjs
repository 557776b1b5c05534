#!/usr/bin/env node
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { leave, leaveWhenCut, onLeave, ROOT, run } from './children.mjs';
import { install } from './installed.mjs';
import { joined, knownRed, tell, verdictOf, weigh } from './known-red.mjs';

const REAL = /node:child_process|\bcreate(Clock|ExpressDoor|GotCaller|OpenDoor|Outlets|TcpWire)\(/;

/** Tests with real processes, sockets or time: they run after the others, one by one, so that those don't slow them. */
function realTests() {
  const found = ['src', 'platform', 'tools'].flatMap((folder) => readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' }).map((f) => join(folder, f)));
  return found.filter((f) => /\.test\.(ts|mjs)$/.test(f) && REAL.test(readFileSync(join(ROOT, f), 'utf8')));
}

function step(what, ...args) {
  process.stdout.write(`${what}\n`);
  return run(process.execPath, args, { cwd: ROOT, stdio: 'inherit' });
}
async function jest(what, ...args) {
  const file = join(folder, `${what}.json`);
  const code = await step(what, '--experimental-vm-modules', '--no-warnings', 'node_modules/jest/bin/jest.js', '--json', '--outputFile', file, ...args);
  if (!existsSync(file)) await leave(code || 1);
  return { code, report: JSON.parse(readFileSync(file, 'utf8')) };
}
function patternOf(path) {
  return `/${path.replaceAll('.', '\\.')}$`;
}
async function allTests() {
  const real = realTests();
  return [await jest('Tests in simulated time', '--testPathIgnorePatterns', '/node_modules/', ...real.map(patternOf)), await jest('Tests in real time', '--runInBand', '--runTestsByPath', ...real)];
}

leaveWhenCut();
const folder = mkdtempSync(join(tmpdir(), 'millfield-tests-'));
onLeave(() => rmSync(folder, { recursive: true, force: true }));
const { known, faults } = knownRed();
for (const f of faults) process.stderr.write(`KNOWN-RED.txt: ${f}\n`);
if (faults.length > 0) await leave(1);
if (!(await install())) await leave(1);
if ((await step('Types', 'node_modules/typescript/bin/tsc', '-p', 'tsconfig.json', '--noEmit')) !== 0) await leave(1);
if ((await step('Lint', 'node_modules/eslint/bin/eslint.js', '.')) !== 0) await leave(1);
const chosen = process.argv.slice(2);
const runs = chosen.length > 0 ? [await jest('Tests', ...chosen)] : await allTests();
const report = joined(runs.map((r) => r.report));
const found = weigh(report, known);
for (const line of tell(found, known)) process.stdout.write(`${line}\n`);
process.stdout.write(`${report.numPassedTests} of ${report.numTotalTests} tests passed.\n`);
await leave(verdictOf(found, report, Math.max(...runs.map((r) => r.code))));

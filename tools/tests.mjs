#!/usr/bin/env node
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { leave, leaveWhenCut, onLeave, ROOT, run } from './children.mjs';
import { install } from './installed.mjs';
import { joined, knownRed, tell, verdictOf, weigh } from './known-red.mjs';
import { patternOf, realTimeTests } from './real-time-tests.mjs';

function step(what, ...args) {
  process.stdout.write(`${what}\n`);
  return run(process.execPath, args, { cwd: ROOT, stdio: 'inherit' });
}

/** One run of jest: its exit code and its report. */
async function jest(what, name, ...args) {
  const file = join(folder, `${name}.json`);
  const program = ['--experimental-vm-modules', '--no-warnings', 'node_modules/jest/bin/jest.js'];
  const code = await step(what, ...program, '--json', '--outputFile', file, ...args);
  if (!existsSync(file)) await leave(code || 1);
  return { code, report: JSON.parse(readFileSync(file, 'utf8')) };
}

/** Tests in real time run after all others, one by one: beside a simulator on every core their bounds would not hold. */
async function allTests() {
  const real = realTimeTests();
  const ignored = ['/node_modules/', ...real.map(patternOf)];
  return [
    await jest('Tests in simulated time', 'simulated', '--testPathIgnorePatterns', ...ignored),
    await jest('Tests in real time', 'real', '--runInBand', '--runTestsByPath', ...real),
  ];
}

leaveWhenCut();
const folder = mkdtempSync(join(tmpdir(), 'millfield-tests-'));
onLeave(() => rmSync(folder, { recursive: true, force: true }));
const { known, faults } = knownRed();
for (const f of faults) process.stderr.write(`KNOWN-RED.txt: ${f}\n`);
if (faults.length > 0) await leave(1);
if (!(await install())) await leave(1);
if ((await step('Types', 'node_modules/typescript/bin/tsc', '-p', 'tsconfig.json', '--noEmit')) !== 0) await leave(1);
if ((await step('Format', 'node_modules/prettier/bin/prettier.cjs', '--check', '.', '--log-level', 'warn')) !== 0)
  await leave(1);
if ((await step('Lint', 'node_modules/eslint/bin/eslint.js', '.')) !== 0) await leave(1);
if ((await step('Unused files, exports and packages', 'node_modules/knip/bin/knip.js', '--no-config-hints')) !== 0)
  await leave(1);
const chosen = process.argv.slice(2);
const runs = chosen.length > 0 ? [await jest('Tests', 'chosen', ...chosen)] : await allTests();
const report = joined(runs.map((run) => run.report));
const found = weigh(report, known);
for (const line of tell(found, known)) process.stdout.write(`${line}\n`);
process.stdout.write(`${report.numPassedTests} passed, ${report.numFailedTests} failed\n`);
await leave(verdictOf(found, report, Math.max(...runs.map((run) => run.code))));

#!/usr/bin/env node
/**
 * Runs all checks of CI: types, format, lint, unused code and the tests: `node tools/tests.mjs [JEST_ARG...]`. Given
 * arguments, it runs jest once, with these. Failures of tests listed in KNOWN-RED.txt are printed but don't fail CI.
 */
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { installShutdownHandlers, onShutdown, ROOT, run, shutdown } from './children.mjs';
import { install } from './installed.mjs';
import { classifyResults, describeResults, exitCodeOf, loadKnownRed, mergeReports } from './known-red.mjs';
import { exactPathPattern, realTimeTests } from './real-time-tests.mjs';

function runStep(title, ...args) {
  process.stdout.write(`${title}\n`);
  return run(process.execPath, args, { cwd: ROOT, stdio: 'inherit' });
}

/** Runs jest once; returns its exit code and its report. */
async function runJest(title, name, ...args) {
  const file = join(folder, `${name}.json`);
  const program = ['--experimental-vm-modules', '--no-warnings', 'node_modules/jest/bin/jest.js'];
  const code = await runStep(title, ...program, '--json', '--outputFile', file, ...args);
  if (!existsSync(file)) await shutdown(code || 1);
  return { code, report: JSON.parse(readFileSync(file, 'utf8')) };
}

/**
 * Runs all tests. Real-time tests run serially after all others: they would miss their time limits while simulations
 * use every core.
 */
async function runAllTests() {
  const realTimePaths = realTimeTests();
  const ignored = ['/node_modules/', ...realTimePaths.map(exactPathPattern)];
  return [
    await runJest('Tests in simulated time', 'simulated', '--testPathIgnorePatterns', ...ignored),
    await runJest('Tests in real time', 'real', '--runInBand', '--runTestsByPath', ...realTimePaths),
  ];
}

installShutdownHandlers();
const folder = mkdtempSync(join(tmpdir(), 'millfield-tests-'));
onShutdown(() => rmSync(folder, { recursive: true, force: true }));
const { known, errors } = loadKnownRed();
for (const error of errors) process.stderr.write(`KNOWN-RED.txt: ${error}\n`);
if (errors.length > 0) await shutdown(1);
if (!(await install())) await shutdown(1);
if ((await runStep('Types', 'node_modules/typescript/bin/tsc', '-p', 'tsconfig.json', '--noEmit')) !== 0)
  await shutdown(1);
if ((await runStep('Format', 'node_modules/prettier/bin/prettier.cjs', '--check', '.', '--log-level', 'warn')) !== 0)
  await shutdown(1);
if ((await runStep('Lint', 'node_modules/eslint/bin/eslint.js', '.')) !== 0) await shutdown(1);
if ((await runStep('Unused files, exports and packages', 'node_modules/knip/bin/knip.js', '--no-config-hints')) !== 0)
  await shutdown(1);
const jestArgs = process.argv.slice(2);
const runs = jestArgs.length > 0 ? [await runJest('Tests', 'selected', ...jestArgs)] : await runAllTests();
const report = mergeReports(runs.map((run) => run.report));
const results = classifyResults(report, known);
for (const outputLine of describeResults(results, known)) process.stdout.write(`${outputLine}\n`);
process.stdout.write(`${report.numPassedTests} passed, ${report.numFailedTests} failed\n`);
await shutdown(exitCodeOf(results, report, Math.max(...runs.map((run) => run.code))));

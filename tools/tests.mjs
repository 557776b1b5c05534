#!/usr/bin/env node
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { leave, leaveWhenCut, onLeave, ROOT, run } from './children.mjs';
import { install } from './installed.mjs';
import { knownRed, tell, verdictOf, weigh } from './known-red.mjs';

function step(what, ...args) {
  process.stdout.write(`${what}\n`);
  return run(process.execPath, args, { cwd: ROOT, stdio: 'inherit' });
}

leaveWhenCut();
const folder = mkdtempSync(join(tmpdir(), 'millfield-tests-'));
onLeave(() => rmSync(folder, { recursive: true, force: true }));
const file = join(folder, 'jest.json');
const { known, faults } = knownRed();
for (const f of faults) process.stderr.write(`KNOWN-RED.txt: ${f}\n`);
if (faults.length > 0) await leave(1);
if (!(await install())) await leave(1);
if ((await step('Types', 'node_modules/typescript/bin/tsc', '-p', 'tsconfig.json', '--noEmit')) !== 0) await leave(1);
if ((await step('Format', 'node_modules/prettier/bin/prettier.cjs', '--check', '.', '--log-level', 'warn')) !== 0)
  await leave(1);
if ((await step('Lint', 'node_modules/eslint/bin/eslint.js', '.')) !== 0) await leave(1);
const code = await step(
  'Tests',
  '--experimental-vm-modules',
  '--no-warnings',
  'node_modules/jest/bin/jest.js',
  '--json',
  '--outputFile',
  file,
  ...process.argv.slice(2),
);
const report = JSON.parse(readFileSync(file, 'utf8'));
const found = weigh(report, known);
for (const line of tell(found, known)) process.stdout.write(`${line}\n`);
await leave(verdictOf(found, report, code));

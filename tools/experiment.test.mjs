import { afterAll, expect, test } from '@jest/globals';
import { execFileSync, spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync, unlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ROOT = join(import.meta.dirname, '..');
const folder = mkdtempSync(join(tmpdir(), 'millfield-experiment-'));
afterAll(() => rmSync(folder, { recursive: true, force: true }));
if (!existsSync(join(ROOT, 'dist/sim/engine/engine-day.js')))
  execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.build.json'], { cwd: ROOT });

const PLAN = `
name = "small"
backend = "engine"
[[candidate]]
name = "now"
[[candidate]]
name = "no-affinity"
[candidate.tuning]
sharedMs = 0
[[site]]
name = "drawn"
seeds = [3, 14]
`;

function runExperiment(text, ...extraArgs) {
  const path = join(folder, 'plan.toml');
  writeFileSync(path, text);
  return spawnSync(process.execPath, ['tools/experiment.mjs', path, '--out', join(folder, 'out'), ...extraArgs], {
    cwd: ROOT,
    encoding: 'utf8',
  });
}

test('pairs are run and compared, and runs with a result are not repeated after an interruption', () => {
  const first = runExperiment(PLAN);
  expect(first.status).toBe(0);
  expect(first.stdout).toMatch(/\| no-affinity \| 2 \| worth \| [+-]0\.\d{4} \| 0\.\d{4} \|/);
  const out = join(folder, 'out');
  expect(readdirSync(out).sort()).toEqual([
    'no-affinity_drawn_drawn_14.json',
    'no-affinity_drawn_drawn_3.json',
    'now_drawn_drawn_14.json',
    'now_drawn_drawn_3.json',
    'small.md',
    'small.svg',
  ]);
  expect(readFileSync(join(out, 'small.svg'), 'utf8')).toMatch(/^<svg/);
  const keptResultPath = join(out, 'now_drawn_drawn_3.json');
  const result = JSON.parse(readFileSync(keptResultPath, 'utf8'));
  writeFileSync(keptResultPath, JSON.stringify({ ...result, figures: { ...result.figures, worth: 0.123 } }));
  unlinkSync(join(out, 'now_drawn_drawn_14.json'));
  const second = runExperiment(PLAN);
  expect(second.status).toBe(0);
  expect(JSON.parse(readFileSync(keptResultPath, 'utf8')).figures.worth).toBe(0.123);
  expect(second.stderr.trim().split('\n')).toEqual(['4 of 4: now_drawn_drawn_14']);
});

test('an invalid plan is rejected with all its errors and their locations, and nothing is run', () => {
  const rejected = runExperiment(`
name = "two words"
jobs = 40
colour = "red"
[[candidate]]
name = "a"
[candidate.tuning]
sharedMs = "much"
speed = 3
[[site]]
name = "s"
seeds = [0]
`);
  expect(rejected.status).toBe(65);
  expect(rejected.stderr.trim().split('\n').sort()).toEqual(
    [
      'name: expected a name of letters, digits and hyphens',
      'backend: expected one of engine, bench, it is missing',
      'jobs: expected a whole number from 1 to 5',
      'candidate: at least two are compared, the first one with each of the others',
      'candidate 1: tuning.sharedMs: expected a number',
      'candidate 1: tuning.speed: the tuning record has no such field',
      'site 1: seeds: expected a list of whole numbers above 0',
      'colour: unknown field',
    ].sort(),
  );
  expect(runExperiment('name = ').stderr).toMatch(/^not TOML: /);
  expect(runExperiment(PLAN.replace('"engine"', '"bench"').replace('seeds', 'path = "x.toml"\nseeds')).stderr).toBe(
    'backend: the bench needs --bench PROGRAM\n',
  );
});

import { execFileSync } from 'node:child_process';
import { cpSync, existsSync, mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { drawDeployment } from '../../dist/sim/engine/deployment.js';
import { playEngineDay } from '../../dist/sim/engine/engine-day.js';
import { EDGE_TUNING } from '../../dist/state/forwarding/edge-tuning.js';
import { ROOT, run } from '../children.mjs';
import { figuresOfBench, figuresOfEngine } from './results.mjs';

const TUNING_FILE = 'src/state/forwarding/edge-tuning.ts';
const RUN_TIMEOUT_S = 900;

/** Makes a run on the engine model, in this process; the commits of the candidates are ignored. */
export function runOnEngine({ candidate, seed }) {
  const tuning = { ...EDGE_TUNING, ...candidate.tuning };
  return Promise.resolve(figuresOfEngine(playEngineDay(drawDeployment(seed), { seed, tuning })));
}

/** Returns a function that makes a run with the program `bench`; each candidate gets its own clone below `folder`. */
export function createBenchRunner(bench, folder, plan) {
  const cloneByCandidate = new Map(
    plan.candidates.map((candidate) => [candidate.name, createClone(candidate, folder)]),
  );
  return async function runOnBench({ key, candidate, site, day, seed }) {
    const clone = cloneByCandidate.get(candidate.name);
    const report = join(folder, `${key}.report.json`);
    const why = `${plan.why || plan.name}: trial, candidate ${candidate.name}`;
    const args = [
      'run',
      resolve(site.path),
      day,
      '--seed',
      String(seed),
      ...plan.flags,
      '--report',
      report,
      '--why',
      why,
    ];
    const code = await run('timeout', [String(RUN_TIMEOUT_S), bench, ...args], { cwd: clone, stdio: 'ignore' });
    copyJournal(clone);
    if (!existsSync(report)) throw new Error(`${key}: the bench exited with code ${code} and wrote no report`);
    return figuresOfBench(JSON.parse(readFileSync(report, 'utf8')));
  };
}

function createClone(candidate, folder) {
  const clone = join(folder, 'trees', candidate.name);
  if (existsSync(clone)) return clone;
  mkdirSync(join(folder, 'trees'), { recursive: true });
  execFileSync('git', ['clone', '--quiet', ROOT, clone]);
  execFileSync('git', ['checkout', '--quiet', '--detach', resolveRevision(candidate)], { cwd: clone });
  cpSync(join(ROOT, 'node_modules'), join(clone, 'node_modules'), { recursive: true });
  const path = join(clone, TUNING_FILE);
  writeFileSync(path, withTuning(readFileSync(path, 'utf8'), candidate.tuning));
  return clone;
}

function resolveRevision({ commit }) {
  return execFileSync('git', ['rev-parse', `${commit}^{commit}`], { cwd: ROOT, encoding: 'utf8' }).trim();
}

/** Returns the source of the tuning record with these values replaced. */
export function withTuning(source, tuning) {
  let patched = source;
  for (const [field, value] of Object.entries(tuning)) {
    const line = new RegExp(`^  ${field}: [^;\\n]+,$`, 'm');
    if (!line.test(patched)) throw new Error(`${TUNING_FILE} has no value of ${field}`);
    patched = patched.replace(line, `  ${field}: ${JSON.stringify(value)},`);
  }
  return patched;
}

/** Copies the journal entries that the bench wrote in a clone to the journal of this repository. */
function copyJournal(clone) {
  for (const [from, to] of [
    [join(clone, 'journal'), join(ROOT, 'journal')],
    [join(clone, 'journal/blobs'), join(ROOT, 'journal/blobs')],
  ]) {
    if (!existsSync(from)) continue;
    mkdirSync(to, { recursive: true });
    for (const file of readdirSync(from, { withFileTypes: true }))
      if (file.isFile() && !existsSync(join(to, file.name))) cpSync(join(from, file.name), join(to, file.name));
  }
}

import { execFileSync } from 'node:child_process';
import { cpSync, existsSync, mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { drawDeployment } from '../../dist/sim/engine/deployment.js';
import { playEngineDay } from '../../dist/sim/engine/engine-day.js';
import { EDGE_TUNING } from '../../dist/state/forwarding/edge-tuning.js';
import { ROOT, run } from '../children.mjs';
import { figuresOfBench, figuresOfEngine } from './results.mjs';

const TUNING_FILE = 'src/state/forwarding/edge-tuning.ts';
const RUN_LIMIT_S = 900;

/** Plays on the engine model, in this process; the candidates' commits are not looked at. */
export function playOnEngine({ candidate, seed }) {
  const tuning = { ...EDGE_TUNING, ...candidate.tuning };
  return Promise.resolve(figuresOfEngine(playEngineDay(drawDeployment(seed), { seed, tuning })));
}

/** Makes a player on the bench at `bench`: each candidate gets a clone of its own below `folder`. */
export function benchPlayer(bench, folder, plan) {
  const trees = new Map(plan.candidates.map((candidate) => [candidate.name, cloneOf(candidate, folder)]));
  return async function play({ key, candidate, site, day, seed }) {
    const tree = trees.get(candidate.name);
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
    const code = await run('timeout', [String(RUN_LIMIT_S), bench, ...args], { cwd: tree, stdio: 'ignore' });
    keepJournal(tree);
    if (!existsSync(report)) throw new Error(`${key}: the bench ended with ${code} and wrote no report`);
    return figuresOfBench(JSON.parse(readFileSync(report, 'utf8')));
  };
}

function cloneOf(candidate, folder) {
  const tree = join(folder, 'trees', candidate.name);
  if (existsSync(tree)) return tree;
  mkdirSync(join(folder, 'trees'), { recursive: true });
  execFileSync('git', ['clone', '--quiet', ROOT, tree]);
  execFileSync('git', ['checkout', '--quiet', '--detach', revisionOf(candidate)], { cwd: tree });
  cpSync(join(ROOT, 'node_modules'), join(tree, 'node_modules'), { recursive: true });
  const path = join(tree, TUNING_FILE);
  writeFileSync(path, withTuning(readFileSync(path, 'utf8'), candidate.tuning));
  return tree;
}

function revisionOf({ commit }) {
  return execFileSync('git', ['rev-parse', `${commit}^{commit}`], { cwd: ROOT, encoding: 'utf8' }).trim();
}

/** The tuning record's source with other values in some fields. */
export function withTuning(source, tuning) {
  let out = source;
  for (const [field, value] of Object.entries(tuning)) {
    const line = new RegExp(`^  ${field}: [^;\\n]+,$`, 'm');
    if (!line.test(out)) throw new Error(`${TUNING_FILE} has no value of ${field}`);
    out = out.replace(line, `  ${field}: ${JSON.stringify(value)},`);
  }
  return out;
}

/** Entries that the bench wrote in a clone are kept with the repository's others. */
function keepJournal(tree) {
  for (const [from, to] of [
    [join(tree, 'journal'), join(ROOT, 'journal')],
    [join(tree, 'journal/blobs'), join(ROOT, 'journal/blobs')],
  ]) {
    if (!existsSync(from)) continue;
    mkdirSync(to, { recursive: true });
    for (const file of readdirSync(from, { withFileTypes: true }))
      if (file.isFile() && !existsSync(join(to, file.name))) cpSync(join(from, file.name), join(to, file.name));
  }
}

#!/usr/bin/env node
// Plays a plan of paired trials and compares its candidates; docs/experiments.md.
import { mkdirSync, existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { installShutdownHandlers, shutdown } from './children.mjs';
import { PlanError, readPlan, runsOf } from './experiment/plan.mjs';
import { benchPlayer, playOnEngine } from './experiment/play.mjs';
import { pairedDifferences, plotOf, tableOf } from './experiment/results.mjs';

const USAGE = 'use: node tools/experiment.mjs PLAN.toml --out FOLDER [--bench PROGRAM]\n';
const EXIT = { usage: 64, badPlan: 65, failedRuns: 1 };

function written(path, text) {
  writeFileSync(`${path}.part`, text);
  renameSync(`${path}.part`, path);
}

async function main() {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { out: { type: 'string' }, bench: { type: 'string' } },
  });
  if (positionals.length !== 1 || !values.out) {
    process.stderr.write(USAGE);
    return EXIT.usage;
  }
  const plan = readPlan(readFileSync(positionals[0], 'utf8'));
  if (plan.backend === 'bench' && !values.bench) throw new PlanError(['backend: the bench needs --bench PROGRAM']);
  mkdirSync(values.out, { recursive: true });
  const play = plan.backend === 'bench' ? benchPlayer(values.bench, values.out, plan) : playOnEngine;
  const failed = await playAll(plan, values.out, play);
  const results = resultsOf(plan, values.out);
  const table = tableOf(plan, pairedDifferences(plan, results));
  written(join(values.out, `${plan.name}.md`), table);
  written(join(values.out, `${plan.name}.svg`), await plotOf(plan, results));
  process.stdout.write(`\n${table}`);
  for (const message of failed) process.stderr.write(`failed: ${message}\n`);
  return failed.length > 0 ? EXIT.failedRuns : 0;
}

function fileOf(out, run) {
  return join(out, `${run.key}.json`);
}

/** Plays what has no result yet, in the plan's order, `jobs` at once. */
async function playAll(plan, out, play) {
  const runs = runsOf(plan);
  const left = runs.filter((run) => !existsSync(fileOf(out, run)));
  const failed = [];
  let done = runs.length - left.length;
  async function worker() {
    for (let run = left.shift(); run; run = left.shift()) {
      try {
        const figures = await play(run);
        const result = {
          candidate: run.candidate.name,
          tuning: run.candidate.tuning,
          site: run.site.name,
          day: run.day,
          seed: run.seed,
          figures,
        };
        written(fileOf(out, run), `${JSON.stringify(result, null, 2)}\n`);
      } catch (error) {
        failed.push(`${run.key}: ${error.message}`);
      }
      done += 1;
      process.stderr.write(`${done} of ${runs.length}: ${run.key}\n`);
    }
  }
  await Promise.all(Array.from({ length: plan.jobs }, worker));
  return failed;
}

function resultsOf(plan, out) {
  const results = new Map();
  for (const run of runsOf(plan))
    if (existsSync(fileOf(out, run))) results.set(run.key, JSON.parse(readFileSync(fileOf(out, run), 'utf8')));
  return results;
}

installShutdownHandlers();
try {
  await shutdown(await main());
} catch (error) {
  if (!(error instanceof PlanError) && error.code !== 'ENOENT' && !error.code?.startsWith('ERR_PARSE_ARGS'))
    throw error;
  process.stderr.write(`${error.message}\n`);
  await shutdown(error instanceof PlanError ? EXIT.badPlan : EXIT.usage);
}

#!/usr/bin/env node
// Runs a plan of paired trials and compares its candidates; see docs/experiments.md.
import { mkdirSync, existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { installShutdownHandlers, shutdown } from './children.mjs';
import { listRuns, parsePlan, PlanError } from './experiment/plan.mjs';
import { createBenchRunner, runOnEngine } from './experiment/play.mjs';
import { drawPlot, formatTable, pairedDifferences } from './experiment/results.mjs';

const USAGE = 'usage: node tools/experiment.mjs PLAN.toml --out FOLDER [--bench PROGRAM]\n';
const EXIT = { usage: 64, badPlan: 65, failedRuns: 1 };

function writeAtomically(path, text) {
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
  const plan = parsePlan(readFileSync(positionals[0], 'utf8'));
  if (plan.backend === 'bench' && !values.bench) throw new PlanError(['backend: the bench needs --bench PROGRAM']);
  mkdirSync(values.out, { recursive: true });
  const runTrial = plan.backend === 'bench' ? createBenchRunner(values.bench, values.out, plan) : runOnEngine;
  const failures = await runAll(plan, values.out, runTrial);
  const results = readResults(plan, values.out);
  const table = formatTable(plan, pairedDifferences(plan, results));
  writeAtomically(join(values.out, `${plan.name}.md`), table);
  writeAtomically(join(values.out, `${plan.name}.svg`), await drawPlot(plan, results));
  process.stdout.write(`\n${table}`);
  for (const message of failures) process.stderr.write(`failed: ${message}\n`);
  return failures.length > 0 ? EXIT.failedRuns : 0;
}

function resultPath(out, run) {
  return join(out, `${run.key}.json`);
}

/** Makes the runs that have no result yet in the order of the plan, `jobs` at a time; returns the error messages. */
async function runAll(plan, out, runTrial) {
  const runs = listRuns(plan);
  const remaining = runs.filter((run) => !existsSync(resultPath(out, run)));
  const failures = [];
  let completedCount = runs.length - remaining.length;
  async function worker() {
    for (let run = remaining.shift(); run; run = remaining.shift()) {
      try {
        const figures = await runTrial(run);
        const result = {
          candidate: run.candidate.name,
          tuning: run.candidate.tuning,
          site: run.site.name,
          day: run.day,
          seed: run.seed,
          figures,
        };
        writeAtomically(resultPath(out, run), `${JSON.stringify(result, null, 2)}\n`);
      } catch (error) {
        failures.push(`${run.key}: ${error.message}`);
      }
      completedCount += 1;
      process.stderr.write(`${completedCount} of ${runs.length}: ${run.key}\n`);
    }
  }
  await Promise.all(Array.from({ length: plan.jobs }, worker));
  return failures;
}

function readResults(plan, out) {
  const results = new Map();
  for (const run of listRuns(plan))
    if (existsSync(resultPath(out, run))) results.set(run.key, JSON.parse(readFileSync(resultPath(out, run), 'utf8')));
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

#!/usr/bin/env node
/**
 * Plays scenarios or seeded soak runs on a site of real processes on this machine: `node tools/site.mjs --list`. Failed
 * checks of scenarios listed in KNOWN-RED.txt are printed but don't fail the run.
 */
import { build } from 'esbuild';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { installShutdownHandlers, onShutdown, ROOT, run, shutdown } from './children.mjs';
import { classifyChecks, findUnknownChecks, loadKnownRed } from './known-red.mjs';
import { overload } from './site-overload.mjs';
import { soak } from './site-soak.mjs';

installShutdownHandlers();

const args = process.argv.slice(2);
const command = ['soak', 'overload'].find((name) => name === args[0]);
const commandArgs = command === undefined ? [] : args.splice(0).slice(1);
function takeOption(name, defaultValue) {
  const index = args.indexOf(`--${name}`);
  return index < 0 ? defaultValue : Number(args.splice(index, 2)[1]);
}
function takeFlag(name) {
  const index = args.indexOf(`--${name}`);
  return index >= 0 && args.splice(index, 1).length > 0;
}
const perS = takeOption('rate', 60);
const seed = takeOption('seed', 1);
const skipsBuild = takeFlag('built');
const deployIndex = args.indexOf('--deploy');
const deployFile = deployIndex < 0 ? join(ROOT, 'deploy/system.toml') : resolve(args.splice(deployIndex, 2)[1]);
const isList = takeFlag('list');
const isCleanBuild = takeFlag('clean');

const folder = mkdtempSync(join(tmpdir(), 'millfield-run-'));
onShutdown(() => rmSync(folder, { recursive: true, force: true }));
const outfile = join(folder, 'run.mjs');
await build({
  entryPoints: [join(ROOT, 'standin-platform/run.ts')],
  outfile,
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  logLevel: 'warning',
});
const program = await import(pathToFileURL(outfile).href);
if (command === 'soak') await soak(commandArgs, program);
if (command === 'overload') await overload(commandArgs, program);
const { deployBuild, runScenarios, SCENARIO_CHECKS, scenarioNames } = program;
const names = scenarioNames();
const unknown = args.filter((a) => !names.includes(a));
if (isList || unknown.length > 0) {
  process.stdout.write(
    `usage: node tools/site.mjs [--rate N] [--seed N] [--built | --clean] [--deploy FILE] [scenario...]\n       node tools/site.mjs soak --help\n       node tools/site.mjs overload --help\nscenarios: ${names.join(', ')}\n`,
  );
  await shutdown(isList ? 0 : 2);
}
const { known, errors } = loadKnownRed();
errors.push(...findUnknownChecks(known, names, SCENARIO_CHECKS));
for (const error of errors) process.stderr.write(`KNOWN-RED.txt: ${error}\n`);
if (errors.length > 0) await shutdown(1);
const [buildCommand, ...buildArgs] = isCleanBuild
  ? ['sh', '-c', deployBuild(deployFile)]
  : [process.execPath, 'platform/build.mjs'];
if (!skipsBuild && (await run(buildCommand, buildArgs, { cwd: ROOT, stdio: 'inherit' })) !== 0) await shutdown(1);

let site = null;
onShutdown(() => site?.stop());
function onSite(startedSite) {
  site = startedSite;
}
function classify(scenario, failedChecks) {
  return classifyChecks(scenario, failedChecks, known);
}
function say(text) {
  process.stdout.write(`${text}\n`);
}
await shutdown(
  (await runScenarios({ root: ROOT, deployFile, names: args, perS, seed, onSite, classify, say })) ? 0 : 1,
);

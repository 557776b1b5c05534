#!/usr/bin/env node
import { build } from 'esbuild';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { leave, leaveWhenCut, onLeave, ROOT, run } from './children.mjs';
import { soak } from './site-soak.mjs';

leaveWhenCut();

const args = process.argv.slice(2);
const isSoak = args[0] === 'soak';
const soakArgs = isSoak ? args.splice(0).slice(1) : [];
function option(name, otherwise) {
  const at = args.indexOf(`--${name}`);
  return at < 0 ? otherwise : Number(args.splice(at, 2)[1]);
}
function flag(name) {
  const at = args.indexOf(`--${name}`);
  return at >= 0 && args.splice(at, 1).length > 0;
}
const perS = option('rate', 60);
const seed = option('seed', 1);
const built = flag('built');
const deploy = args.indexOf('--deploy');
const deployFile = deploy < 0 ? join(ROOT, 'deploy/system.toml') : resolve(args.splice(deploy, 2)[1]);
const list = flag('list');
const clean = flag('clean');

const folder = mkdtempSync(join(tmpdir(), 'millfield-run-'));
onLeave(() => rmSync(folder, { recursive: true, force: true }));
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
if (isSoak) await soak(soakArgs, program);
const { deployBuild, runScenarios, scenarioNames } = program;
const names = scenarioNames();
const unknown = args.filter((a) => !names.includes(a));
if (list || unknown.length > 0) {
  process.stdout.write(
    `use: node tools/site.mjs [--rate N] [--seed N] [--built | --clean] [--deploy FILE] [scenario...]\n     node tools/site.mjs soak --help\nscenarios: ${names.join(', ')}\n`,
  );
  await leave(list ? 0 : 2);
}
const [command, ...how] = clean ? ['sh', '-c', deployBuild(deployFile)] : [process.execPath, 'platform/build.mjs'];
if (!built && (await run(command, how, { cwd: ROOT, stdio: 'inherit' })) !== 0) await leave(1);

let site = null;
onLeave(() => site?.stop());
function onSite(started) {
  site = started;
}
function say(text) {
  process.stdout.write(`${text}\n`);
}
await leave((await runScenarios({ root: ROOT, deployFile, names: args, perS, seed, onSite, say })) ? 0 : 1);

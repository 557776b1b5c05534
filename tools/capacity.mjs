#!/usr/bin/env node
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { join, resolve } from 'node:path';
import { defineCommand, runMain, showUsage } from 'citty';
import { runOnce } from './capacity/run.mjs';
import { slopes, slopeTable } from './capacity/slopes.mjs';

const ROOT = resolve(import.meta.dirname, '..');

const NUMBERS = {
  nodes: { default: '10', least: 1, most: 400, description: 'Hollow proxies' },
  workers: { default: '30', least: 1, most: 1_000, description: 'Hollow workers' },
  controllers: { default: '3', least: 1, most: 9, description: 'Controllers (real processes)' },
  settle: { default: '8', least: 0, most: 300, description: 'Seconds of rest before the quiet measurement' },
  seconds: { default: '12', least: 2, most: 60, description: 'Length of the quiet measurement' },
  changes: { default: '8', least: 0, most: 60, description: 'Configuration changes, one by one' },
  burst: { default: '20', least: 0, most: 200, description: 'Configuration changes without a pause' },
  restarts: { default: '0', least: 0, most: 400, description: 'Proxies that are restarted' },
  tenants: { default: '870', least: 0, most: 10_000, description: 'Mappings in the configuration' },
  repeats: { default: '1', least: 1, most: 10, description: 'How often the run is made' },
  port: { default: '20000', least: 1_024, most: 60_000, description: 'First of the ports on loopback' },
};

const RUN_ARGS = {
  ...Object.fromEntries(
    Object.entries(NUMBERS).map(([name, d]) => [
      name,
      { type: 'string', default: d.default, description: `${d.description} (${d.least} to ${d.most})` },
    ]),
  ),
  zoneLoss: { type: 'boolean', default: false, description: 'End with the loss of a whole zone' },
  wholeProbes: { type: 'boolean', default: false, description: "Ask workers' health over real connections too" },
  profile: { type: 'boolean', default: false, description: 'Sample where processor time goes, by duty' },
  dist: { type: 'string', default: 'dist', description: 'Folder of the built program' },
  out: { type: 'string', default: 'docs/runs', description: 'Folder that the record is written to' },
  name: { type: 'string', default: '', description: 'Name of the record (default: made of the sizes)' },
  json: { type: 'boolean', default: false, description: 'Print the record as JSON' },
};

function refuse(text) {
  process.stderr.write(`${text}\n`);
  process.exit(2);
}

function checked(rawArgs, args, known) {
  for (const raw of rawArgs) {
    if (!raw.startsWith('-')) continue;
    const name = raw
      .replace(/^--?(no-)?/, '')
      .split('=')[0]
      .replace(/-([a-z])/g, (_, c) => c.toUpperCase());
    if (!Object.hasOwn(known, name) && name !== 'help' && name !== 'h')
      refuse(`flag --${name}: expected one of ${Object.keys(known).join(', ')}`);
  }
  const out = { ...args };
  for (const [name, d] of Object.entries(NUMBERS)) {
    if (!Object.hasOwn(known, name)) continue;
    const n = Number(args[name]);
    if (!Number.isInteger(n) || n < d.least || n > d.most)
      refuse(
        `flag --${name}: expected a whole number from ${d.least} to ${d.most}; found ${JSON.stringify(args[name])}`,
      );
    out[name] = n;
  }
  return out;
}

function commitOf(dist) {
  const file = join(dist, 'commit');
  if (existsSync(file)) return execFileSync('cat', [file], { encoding: 'utf8' }).trim();
  return execFileSync('git', ['rev-parse', '--short', 'HEAD'], { cwd: ROOT, encoding: 'utf8' }).trim();
}

function tableOf(record) {
  const lines = [
    '| role | count | processor ms/s | RSS MB a process | connections | messages/s | bytes/s | in zone | between zones | between regions |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  for (const role of ['proxy', 'controller', 'outside']) {
    const r = record.quiet.roles[role];
    if (!r) continue;
    const by = (key) =>
      Object.values(r.duties)
        .reduce((n, d) => n + d[key], 0)
        .toFixed(0);
    const rss = r.rss.map((p) => p.rss / 1e6);
    lines.push(
      `| ${role} | ${r.count} | ${r.cpuMsS.toFixed(2)} | ${Math.min(...rss).toFixed(0)} to ${Math.max(...rss).toFixed(0)} | ${r.connections.toFixed(0)} | ${r.messagesS.toFixed(1)} | ${r.bytesS.toFixed(0)} | ${by('inZone')} | ${by('betweenZones')} | ${by('betweenRegions')} |`,
    );
  }
  lines.push(
    '',
    '| role | duty | messages/s | bytes/s | sent | received | between regions |',
    '| --- | --- | --- | --- | --- | --- | --- |',
  );
  for (const role of ['proxy', 'controller']) {
    for (const [duty, d] of Object.entries(record.quiet.roles[role]?.duties ?? {}).sort(
      (a, b) => b[1].bytes - a[1].bytes,
    ))
      lines.push(
        `| ${role} | ${duty} | ${d.messages.toFixed(2)} | ${d.bytes.toFixed(0)} | ${d.sent.toFixed(0)} | ${d.received.toFixed(0)} | ${d.betweenRegions.toFixed(0)} |`,
      );
  }
  const ms = (xs) => xs.map((c) => c.inForceMs ?? 'not seen').join(' ');
  lines.push(
    '',
    `changes in force after ms: ${ms(record.changes)}; in a burst of ${record.burst.length} (${record.burstS.toFixed(1)} s): ${ms(record.burst)}`,
  );
  if (record.lost)
    lines.push(
      `zone lost (${record.lost.proxies} proxies, ${record.lost.controllers} controllers): change answered ${record.lost.change.status}, in force after ${record.lost.change.inForceMs} ms; all known as dead after ${record.lost.allDeadS?.toFixed(1) ?? 'more than 30'} s`,
    );
  if (record.shares)
    for (const [role, s] of Object.entries(record.shares))
      lines.push(
        `processor ms/s by duty, ${role}: ${Object.entries(s)
          .map(([d, t]) => `${d} ${t}`)
          .join(', ')}`,
      );
  return lines.join('\n');
}

async function run(ctx) {
  const a = checked(ctx.rawArgs, ctx.args, RUN_ARGS);
  const dist = resolve(ROOT, a.dist);
  const bin = join(dist, 'programs/main.js');
  if (!existsSync(bin)) refuse(`flag --dist: expected a built program; found none at ${bin} (npm run build)`);
  if (a.port + 2 + 2 * a.controllers + 2 * a.nodes + a.workers > 32_000)
    refuse('flag --port: the ports would reach those that the system gives out (from 32768)');
  const out = resolve(ROOT, a.out);
  mkdirSync(out, { recursive: true });
  for (let i = 1; i <= a.repeats; i += 1) {
    const name = a.name || `${a.nodes}n-${a.workers}w-${a.controllers}h`;
    const folder = join(ROOT, 'target/capacity', `${name}-${process.pid}`);
    const before = loadavg()[0];
    const began = new Date().toISOString();
    const record = await runOnce({ ...a, bin, folder }, (text) => process.stderr.write(`${text}\n`));
    const whole = {
      name: `${name}-${i}`,
      began,
      commit: commitOf(dist),
      node: process.version,
      cores: availableParallelism(),
      loadBefore: before,
      loadAfter: loadavg()[0],
      ...record,
    };
    writeFileSync(join(out, `capacity-${name}-${i}.json`), `${JSON.stringify(whole)}\n`);
    process.stdout.write(a.json ? `${JSON.stringify(whole)}\n` : `${name}, run ${i}\n\n${tableOf(whole)}\n\n`);
  }
  process.exit(0);
}

const READ_ARGS = {
  runs: { type: 'string', default: 'docs/runs', description: 'Folder of the records' },
  only: { type: 'string', default: 'after', description: 'Start of the names of the records taken' },
  json: { type: 'boolean', default: false, description: 'Print as JSON' },
};
const PLOT_ARGS = {
  runs: READ_ARGS.runs,
  out: { type: 'string', default: 'docs/plots', description: 'Folder that the plots are written to' },
};

async function recordsIn(folder, only) {
  const { records } = await import('./capacity/plots.mjs');
  if (!existsSync(resolve(ROOT, folder)))
    refuse(`flag --runs: expected a folder with records; found ${JSON.stringify(folder)}`);
  const all = records(resolve(ROOT, folder)).filter((r) => r.name.startsWith(only));
  if (all.length === 0)
    refuse(`flag --runs: expected records named ${only}...; found none in ${JSON.stringify(folder)}`);
  return all;
}

async function tellSlopes(ctx) {
  const a = checked(ctx.rawArgs, ctx.args, READ_ARGS);
  const rows = slopes(await recordsIn(a.runs, a.only));
  process.stdout.write(a.json ? `${JSON.stringify(rows, null, 1)}\n` : `${slopeTable(rows)}\n`);
}

async function drawPlots(ctx) {
  const a = checked(ctx.rawArgs, ctx.args, PLOT_ARGS);
  const { plot } = await import('./capacity/plots.mjs');
  for (const name of await plot(await recordsIn(a.runs, ''), resolve(ROOT, a.out)))
    process.stdout.write(`${a.out}/${name}.svg\n`);
}

const main = defineCommand({
  meta: {
    name: 'capacity',
    description: 'What control costs at a size: hollow proxies and workers against real controllers on loopback',
  },
  subCommands: {
    run: defineCommand({ meta: { name: 'run', description: 'One or more measured runs' }, args: RUN_ARGS, run }),
    slopes: defineCommand({
      meta: {
        name: 'slopes',
        description: 'Straight lines through the recorded runs, and what they give at the design size',
      },
      args: READ_ARGS,
      run: tellSlopes,
    }),
    plots: defineCommand({
      meta: { name: 'plots', description: 'Draws the plots of docs/CAPACITY.md from the recorded runs' },
      args: PLOT_ARGS,
      run: drawPlots,
    }),
  },
});

if (process.argv.length < 3) {
  await showUsage(main);
  process.exit(2);
}
const verbs = Object.keys(main.subCommands);
if (!process.argv[2].startsWith('-') && !verbs.includes(process.argv[2]))
  refuse(`command: expected one of ${verbs.join(', ')}; found ${JSON.stringify(process.argv[2])}`);
runMain(main);

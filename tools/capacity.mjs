#!/usr/bin/env node
/**
 * Measures what control costs at a fleet size, with hollow proxies and workers and real controllers on loopback; fits
 * and plots the recorded runs.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { join, resolve } from 'node:path';
import { defineCommand, runMain, showUsage } from 'citty';
import { runOnce } from './capacity/run.mjs';
import { computeSlopes, formatSlopeTable } from './capacity/slopes.mjs';

const ROOT = resolve(import.meta.dirname, '..');

const NUMERIC_OPTIONS = {
  nodes: { default: '10', least: 1, most: 400, description: 'Hollow proxies' },
  workers: { default: '30', least: 1, most: 1_000, description: 'Hollow workers' },
  controllers: { default: '3', least: 1, most: 9, description: 'Controllers (real processes)' },
  settle: { default: '8', least: 0, most: 300, description: 'Seconds to settle before the quiet measurement' },
  seconds: { default: '12', least: 2, most: 60, description: 'Length of the quiet measurement' },
  changes: { default: '8', least: 0, most: 60, description: 'Configuration changes with a pause after each' },
  burst: { default: '20', least: 0, most: 200, description: 'Configuration changes without a pause' },
  restarts: { default: '0', least: 0, most: 400, description: 'Number of proxies to restart' },
  tenants: { default: '870', least: 0, most: 10_000, description: 'Mappings in the configuration' },
  repeats: { default: '1', least: 1, most: 10, description: 'Number of times to repeat the run' },
  port: { default: '20000', least: 1_024, most: 60_000, description: 'First port on loopback' },
};

const RUN_ARGS = {
  ...Object.fromEntries(
    Object.entries(NUMERIC_OPTIONS).map(([name, option]) => [
      name,
      {
        type: 'string',
        default: option.default,
        description: `${option.description} (${option.least} to ${option.most})`,
      },
    ]),
  ),
  zoneLoss: { type: 'boolean', default: false, description: 'End with the loss of a whole zone' },
  wholeProbes: {
    type: 'boolean',
    default: false,
    description: 'Send health checks to workers over real connections too',
  },
  profile: { type: 'boolean', default: false, description: 'Sample processor time by duty' },
  dist: { type: 'string', default: 'dist', description: 'Folder of the built program' },
  out: { type: 'string', default: 'docs/runs', description: 'Folder for the record' },
  name: { type: 'string', default: '', description: 'Name of the record (default: derived from the sizes)' },
  json: { type: 'boolean', default: false, description: 'Print the record as JSON' },
};

function exitWithUsageError(message) {
  process.stderr.write(`${message}\n`);
  process.exit(2);
}

function validateArgs(rawArgs, args, knownArgs) {
  for (const rawArg of rawArgs) {
    if (!rawArg.startsWith('-')) continue;
    const name = rawArg
      .replace(/^--?(no-)?/, '')
      .split('=')[0]
      .replace(/-([a-z])/g, (_, c) => c.toUpperCase());
    if (!Object.hasOwn(knownArgs, name) && name !== 'help' && name !== 'h')
      exitWithUsageError(`flag --${name}: expected one of ${Object.keys(knownArgs).join(', ')}`);
  }
  const validated = { ...args };
  for (const [name, option] of Object.entries(NUMERIC_OPTIONS)) {
    if (!Object.hasOwn(knownArgs, name)) continue;
    const number = Number(args[name]);
    if (!Number.isInteger(number) || number < option.least || number > option.most)
      exitWithUsageError(
        `flag --${name}: expected a whole number from ${option.least} to ${option.most}; found ${JSON.stringify(args[name])}`,
      );
    validated[name] = number;
  }
  return validated;
}

function commitOf(dist) {
  const file = join(dist, 'commit');
  if (existsSync(file)) return execFileSync('cat', [file], { encoding: 'utf8' }).trim();
  return execFileSync('git', ['rev-parse', '--short', 'HEAD'], { cwd: ROOT, encoding: 'utf8' }).trim();
}

function formatRecord(record) {
  const lines = [
    '| role | count | processor ms/s | RSS MB a process | connections | messages/s | bytes/s | in zone | between zones | between regions |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  for (const role of ['proxy', 'controller', 'outside']) {
    const roleFigures = record.quiet.roles[role];
    if (!roleFigures) continue;
    const sumOf = (key) =>
      Object.values(roleFigures.duties)
        .reduce((total, dutyFigures) => total + dutyFigures[key], 0)
        .toFixed(0);
    const rss = roleFigures.rss.map((p) => p.rss / 1e6);
    lines.push(
      `| ${role} | ${roleFigures.count} | ${roleFigures.cpuMsS.toFixed(2)} | ${Math.min(...rss).toFixed(0)} to ${Math.max(...rss).toFixed(0)} | ${roleFigures.connections.toFixed(0)} | ${roleFigures.messagesS.toFixed(1)} | ${roleFigures.bytesS.toFixed(0)} | ${sumOf('inZone')} | ${sumOf('betweenZones')} | ${sumOf('betweenRegions')} |`,
    );
  }
  lines.push(
    '',
    '| role | duty | messages/s | bytes/s | sent | received | between regions |',
    '| --- | --- | --- | --- | --- | --- | --- |',
  );
  for (const role of ['proxy', 'controller']) {
    for (const [duty, dutyFigures] of Object.entries(record.quiet.roles[role]?.duties ?? {}).sort(
      (a, b) => b[1].bytes - a[1].bytes,
    ))
      lines.push(
        `| ${role} | ${duty} | ${dutyFigures.messages.toFixed(2)} | ${dutyFigures.bytes.toFixed(0)} | ${dutyFigures.sent.toFixed(0)} | ${dutyFigures.received.toFixed(0)} | ${dutyFigures.betweenRegions.toFixed(0)} |`,
      );
  }
  const formatInForceMs = (xs) => xs.map((c) => c.inForceMs ?? 'not seen').join(' ');
  lines.push(
    '',
    `changes in force after ms: ${formatInForceMs(record.changes)}; in a burst of ${record.burst.length} (${record.burstS.toFixed(1)} s): ${formatInForceMs(record.burst)}`,
  );
  if (record.lost)
    lines.push(
      `zone lost (${record.lost.proxies} proxies, ${record.lost.controllers} controllers): change answered with ${record.lost.change.status}, in force after ${record.lost.change.inForceMs} ms; all detected as dead after ${record.lost.allDeadS?.toFixed(1) ?? 'more than 30'} s`,
    );
  if (record.shares)
    for (const [role, shares] of Object.entries(record.shares))
      lines.push(
        `processor ms/s by duty, ${role}: ${Object.entries(shares)
          .map(([duty, cpuMsS]) => `${duty} ${cpuMsS}`)
          .join(', ')}`,
      );
  return lines.join('\n');
}

async function runMeasurements(ctx) {
  const args = validateArgs(ctx.rawArgs, ctx.args, RUN_ARGS);
  const dist = resolve(ROOT, args.dist);
  const bin = join(dist, 'programs/main.js');
  if (!existsSync(bin))
    exitWithUsageError(`flag --dist: expected a built program; found none at ${bin} (npm run build)`);
  if (args.port + 2 + 2 * args.controllers + 2 * args.nodes + args.workers > 32_000)
    exitWithUsageError('flag --port: the ports would overlap the ephemeral ports of the system (from 32768)');
  const outFolder = resolve(ROOT, args.out);
  mkdirSync(outFolder, { recursive: true });
  for (let i = 1; i <= args.repeats; i += 1) {
    const name = args.name || `${args.nodes}n-${args.workers}w-${args.controllers}h`;
    const folder = join(ROOT, 'target/capacity', `${name}-${process.pid}`);
    const initialLoad = loadavg()[0];
    const startedAt = new Date().toISOString();
    const record = await runOnce({ ...args, bin, folder }, (message) => process.stderr.write(`${message}\n`));
    const fullRecord = {
      name: `${name}-${i}`,
      began: startedAt,
      commit: commitOf(dist),
      node: process.version,
      cores: availableParallelism(),
      loadBefore: initialLoad,
      loadAfter: loadavg()[0],
      ...record,
    };
    writeFileSync(join(outFolder, `capacity-${name}-${i}.json`), `${JSON.stringify(fullRecord)}\n`);
    process.stdout.write(
      args.json ? `${JSON.stringify(fullRecord)}\n` : `${name}, run ${i}\n\n${formatRecord(fullRecord)}\n\n`,
    );
  }
  process.exit(0);
}

const READ_ARGS = {
  runs: { type: 'string', default: 'docs/runs', description: 'Folder of the records' },
  only: { type: 'string', default: 'after', description: 'Prefix of the names of the records to use' },
  json: { type: 'boolean', default: false, description: 'Print as JSON' },
};
const PLOT_ARGS = {
  runs: READ_ARGS.runs,
  out: { type: 'string', default: 'docs/plots', description: 'Folder for the plots' },
};

async function readNamedRecords(folder, only) {
  const { readRecords } = await import('./capacity/plots.mjs');
  if (!existsSync(resolve(ROOT, folder)))
    exitWithUsageError(`flag --runs: expected a folder with records; found ${JSON.stringify(folder)}`);
  const all = readRecords(resolve(ROOT, folder)).filter((record) => record.name.startsWith(only));
  if (all.length === 0)
    exitWithUsageError(`flag --runs: expected records named ${only}...; found none in ${JSON.stringify(folder)}`);
  return all;
}

async function printSlopes(ctx) {
  const args = validateArgs(ctx.rawArgs, ctx.args, READ_ARGS);
  const rows = computeSlopes(await readNamedRecords(args.runs, args.only));
  process.stdout.write(args.json ? `${JSON.stringify(rows, null, 1)}\n` : `${formatSlopeTable(rows)}\n`);
}

async function writePlots(ctx) {
  const args = validateArgs(ctx.rawArgs, ctx.args, PLOT_ARGS);
  const { drawPlots } = await import('./capacity/plots.mjs');
  for (const name of await drawPlots(await readNamedRecords(args.runs, ''), resolve(ROOT, args.out)))
    process.stdout.write(`${args.out}/${name}.svg\n`);
}

const main = defineCommand({
  meta: {
    name: 'capacity',
    description:
      'Measures the cost of control at a fleet size: hollow proxies and workers, real controllers, on loopback',
  },
  subCommands: {
    run: defineCommand({
      meta: { name: 'run', description: 'Runs one or more measurements' },
      args: RUN_ARGS,
      run: runMeasurements,
    }),
    slopes: defineCommand({
      meta: {
        name: 'slopes',
        description: 'Fits straight lines to the recorded runs and prints their values at the design size',
      },
      args: READ_ARGS,
      run: printSlopes,
    }),
    plots: defineCommand({
      meta: { name: 'plots', description: 'Draws the plots of docs/CAPACITY.md from the recorded runs' },
      args: PLOT_ARGS,
      run: writePlots,
    }),
  },
});

if (process.argv.length < 3) {
  await showUsage(main);
  process.exit(2);
}
const subCommands = Object.keys(main.subCommands);
if (!process.argv[2].startsWith('-') && !subCommands.includes(process.argv[2]))
  exitWithUsageError(`command: expected one of ${subCommands.join(', ')}; found ${JSON.stringify(process.argv[2])}`);
runMain(main);

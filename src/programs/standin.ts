/** Command `millfield standin`: stand-ins for workers, platform, cloud and callers, and the check of their journals. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { startStandinCloud } from '../standin/cloud.js';
import { checkRecords } from '../standin/check.js';
import type { JournalRecord } from '../standin/check.js';
import { runCaller } from '../standin/caller.js';
import { startStandinPlatform } from '../standin/platform.js';
import { startStandinWorker, WORKER_DEFAULTS } from '../standin/worker.js';
import { createPathLookup, createSlowHttpClient } from '../standin/slow-net.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { createClock } from '../transport/clock.js';
import { createExpressHttpServer } from '../transport/http-server.js';
import type { HttpClient, HttpServer } from '../transport/http.js';
import { createFileJournal, createNoJournal } from '../transport/journal.js';
import type { Journal } from '../transport/journal.js';
import { createLogRoot } from '../transport/log.js';
import { createOsRng, createRng } from '../transport/rng.js';
import { createFaultSwitches } from '../transport/switch-file.js';
import { EXIT } from './exit-codes.js';
import { printError, areFlagsValid, setExitCode, setUsageExitCode, onStopSignal, printLine } from './flags.js';
import { HOLLOW_ARGS, runHollow } from './hollow.js';
import type { LabSettings } from './settings.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

type CommandContext = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function stringArg(ctx: CommandContext, key: string): string | undefined {
  const value = ownValue(ctx.args, key);
  return typeof value === 'string' && value !== '' ? value : undefined;
}
function numberArg(ctx: CommandContext, key: string, fallback: number): number {
  const number = Number(stringArg(ctx, key) ?? fallback);
  return Number.isFinite(number) ? number : fallback;
}
function openJournal(ctx: CommandContext): Journal {
  const path = stringArg(ctx, 'journal');
  return path === undefined ? createNoJournal() : createFileJournal(path);
}
function createHttpClient(ctx: CommandContext): HttpClient {
  const httpClient = createGotHttpClient(1_000);
  const file = stringArg(ctx, 'lab');
  if (file === undefined) return httpClient;
  const lab = JSON.parse(readFileSync(file, 'utf8')) as LabSettings;
  const clock = createClock();
  const switches = createFaultSwitches(lab.switches);
  return createSlowHttpClient(
    httpClient,
    clock,
    createPathLookup(stringArg(ctx, 'zone') ?? '', lab.zones, lab.delayMs, switches),
  );
}

function createHttpServer(): HttpServer {
  return createExpressHttpServer(createLogRoot('warn').component('standin'));
}

const COMMON_ARGS = {
  journal: { type: 'string', description: 'Journal file that events are appended to' },
  lab: { type: 'string', description: 'File with the zones and delays of the simulated network' },
} as const satisfies ArgsDef;

const WORKER_ARGS = {
  ...COMMON_ARGS,
  id: { type: 'string', required: true, description: 'Worker id' },
  zone: { type: 'string', required: true, description: 'Zone' },
  region: { type: 'string', required: true, description: 'Region' },
  http: { type: 'string', required: true, description: 'Address to serve at' },
  platform: { type: 'string', required: true, description: 'Address of the platform' },
  cloud: { type: 'string', required: true, description: 'Address of the cloud' },
  model: {
    type: 'string',
    description: 'Model that is always loaded (without it: an idle machine that the cloud boots)',
  },
  capacity: { type: 'string', description: 'Maximum number of concurrent requests' },
  loadMs: { type: 'string', description: 'Time to load the model, in ms' },
  decodeMs: { type: 'string', description: 'Time to generate one piece, in ms' },
} as const satisfies ArgsDef;

async function runWorker(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, WORKER_ARGS)) return setUsageExitCode();
  const started = await startStandinWorker(
    {
      id: stringArg(ctx, 'id') ?? '',
      zone: stringArg(ctx, 'zone') ?? '',
      region: stringArg(ctx, 'region') ?? '',
      address: stringArg(ctx, 'http') ?? '',
      platform: stringArg(ctx, 'platform') ?? '',
      cloud: stringArg(ctx, 'cloud') ?? '',
      fixedModel: stringArg(ctx, 'model') ?? null,
      ...WORKER_DEFAULTS,
      capacity: numberArg(ctx, 'capacity', WORKER_DEFAULTS.capacity),
      loadMs: numberArg(ctx, 'loadMs', WORKER_DEFAULTS.loadMs),
      decodeMsPerPiece: numberArg(ctx, 'decodeMs', WORKER_DEFAULTS.decodeMsPerPiece),
    },
    {
      clock: createClock(),
      rng: createOsRng(),
      httpServer: createHttpServer(),
      httpClient: createHttpClient(ctx),
      journal: openJournal(ctx),
    },
  );
  if (!started.ok) return reportStartFailure(started.error);
  onStopSignal(started.value.stop);
}

function reportStartFailure(error: { readonly tag: string }): void {
  printError(`standin could not start: ${JSON.stringify(error)}`);
  setExitCode(EXIT.cannotListen);
}

const PLATFORM_ARGS = {
  ...COMMON_ARGS,
  http: { type: 'string', required: true, description: 'Address to serve at' },
} as const satisfies ArgsDef;

async function runPlatform(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, PLATFORM_ARGS)) return setUsageExitCode();
  const started = await startStandinPlatform(
    stringArg(ctx, 'http') ?? '',
    createClock(),
    createHttpServer(),
    openJournal(ctx),
  );
  if (!started.ok) return reportStartFailure(started.error);
  onStopSignal(started.value.stop);
}

const CLOUD_ARGS = {
  ...COMMON_ARGS,
  http: { type: 'string', required: true, description: 'Address to serve at' },
  platform: { type: 'string', required: true, description: 'Address of the platform' },
  prices: { type: 'string', required: true, description: 'Prices as zone=spot/onDemand, separated by commas' },
} as const satisfies ArgsDef;

async function runCloud(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, CLOUD_ARGS)) return setUsageExitCode();
  const prices: Record<string, { spot: number; onDemand: number }> = {};
  for (const item of (stringArg(ctx, 'prices') ?? '').split(',')) {
    const match = /^([^=]+)=([\d.]+)\/([\d.]+)$/.exec(item);
    if (!match) {
      printError(`flag --prices: expected zone=spot/onDemand; found ${JSON.stringify(item)}`);
      return setUsageExitCode();
    }
    setOwnValue(prices, match[1] as string, { spot: Number(match[2]), onDemand: Number(match[3]) });
  }
  const started = await startStandinCloud(
    { address: stringArg(ctx, 'http') ?? '', platform: stringArg(ctx, 'platform') ?? '', prices },
    {
      clock: createClock(),
      rng: createOsRng(),
      httpServer: createHttpServer(),
      httpClient: createHttpClient(ctx),
      journal: openJournal(ctx),
    },
  );
  if (!started.ok) return reportStartFailure(started.error);
  onStopSignal(started.value.stop);
}

const CALLER_ARGS = {
  ...COMMON_ARGS,
  name: { type: 'string', default: 'caller', description: 'Name of the callers in the journal' },
  zone: { type: 'string', required: true, description: 'Zone of the callers' },
  proxies: { type: 'string', required: true, description: 'Addresses of proxies, separated by commas' },
  once: { type: 'string', description: 'Model of the run-once requests' },
  kind: { type: 'string', description: 'Kind of the run-once requests' },
  models: { type: 'string', description: 'Models of the streamed requests, separated by commas' },
  rate: { type: 'string', default: '5', description: 'Requests per second' },
  seconds: { type: 'string', default: '10', description: 'Duration, in seconds' },
  onceShare: { type: 'string', default: '0.4', description: 'Share of run-once requests' },
  prefixes: { type: 'string', default: '20', description: 'Number of shared prompt prefixes per model' },
  seed: { type: 'string', description: 'Random seed of the traffic' },
} as const satisfies ArgsDef;

async function runCallerCommand(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, CALLER_ARGS)) return setUsageExitCode();
  const seed = stringArg(ctx, 'seed');
  const journal = openJournal(ctx);
  const tally = await runCaller(
    {
      name: stringArg(ctx, 'name') ?? 'caller',
      proxies: (stringArg(ctx, 'proxies') ?? '').split(','),
      zone: stringArg(ctx, 'zone') ?? '',
      runOnceModel: stringArg(ctx, 'once') ?? null,
      streamModels: (stringArg(ctx, 'models') ?? '').split(',').filter(Boolean),
      kind: stringArg(ctx, 'kind') ?? null,
      perSecond: numberArg(ctx, 'rate', 5),
      seconds: numberArg(ctx, 'seconds', 10),
      runOnceShare: numberArg(ctx, 'onceShare', 0.4),
      prefixes: numberArg(ctx, 'prefixes', 20),
      maxRetries: 5,
    },
    {
      clock: createClock(),
      rng: seed === undefined ? createOsRng() : createRng(Number(seed)),
      httpClient: createHttpClient(ctx),
      journal,
    },
  );
  await journal.close();
  printLine(JSON.stringify(tally));
}

const CHECK_ARGS = {
  folder: { type: 'positional', required: true, description: 'Folder with journals (*.jsonl)' },
  homes: { type: 'string', description: 'Home regions as kind=region+region, separated by commas' },
} as const satisfies ArgsDef;

function runCheck(ctx: CommandContext): void {
  if (!areFlagsValid(ctx.rawArgs, CHECK_ARGS)) return setUsageExitCode();
  const folder = stringArg(ctx, 'folder') ?? '';
  const records: JournalRecord[] = [];
  try {
    for (const file of readdirSync(folder)) {
      if (!file.endsWith('.jsonl')) continue;
      for (const line of readFileSync(join(folder, file), 'utf8').split('\n'))
        if (line !== '') records.push(JSON.parse(line) as JournalRecord);
    }
  } catch (error) {
    printError(
      `folder: expected readable journals in ${JSON.stringify(folder)}; found ${error instanceof Error ? error.message : String(error)}`,
    );
    return setUsageExitCode();
  }
  const regionsOfKind: Record<string, string[]> = {};
  for (const item of (stringArg(ctx, 'homes') ?? '').split(',').filter(Boolean)) {
    const [kind, regions] = item.split('=');
    setOwnValue(regionsOfKind, kind as string, (regions ?? '').split('+'));
  }
  const report = checkRecords(records, { regionsOfKind, drainNoticeGraceMs: 4_000 });
  printLine(JSON.stringify(report, null, 2));
  const hasNoDispatches = !report.counts['first dispatches'];
  if (hasNoDispatches) printError('The journals contain no dispatch: nothing was checked.');
  setExitCode(report.broken.length > 0 || hasNoDispatches ? EXIT.refused : EXIT.ok);
}

/** The command and its subcommands. */
export const standinCommand = defineCommand({
  meta: { name: 'standin', description: 'Stand-ins for workers, platform, cloud and callers' },
  subCommands: {
    worker: defineCommand({
      meta: { name: 'worker', description: 'A model worker' },
      args: WORKER_ARGS,
      run: runWorker,
    }),
    platform: defineCommand({
      meta: { name: 'platform', description: 'The platform that lists workers' },
      args: PLATFORM_ARGS,
      run: runPlatform,
    }),
    cloud: defineCommand({ meta: { name: 'cloud', description: 'The cloud API' }, args: CLOUD_ARGS, run: runCloud }),
    caller: defineCommand({
      meta: { name: 'caller', description: 'Callers that send requests to proxies' },
      args: CALLER_ARGS,
      run: runCallerCommand,
    }),
    hollow: defineCommand({
      meta: { name: 'hollow', description: 'Many proxies without traffic, or many workers, in one process' },
      args: HOLLOW_ARGS,
      run: runHollow,
    }),
    check: defineCommand({
      meta: { name: 'check', description: 'Checks the journals for broken rules' },
      args: CHECK_ARGS,
      run: runCheck,
    }),
  },
});

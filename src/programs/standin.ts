/** `millfield standin`: stand-ins for workers, platform, cloud and callers. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { startStandinCloud } from '../standin/cloud.js';
import { checkRecords } from '../standin/check.js';
import type { Rec } from '../standin/check.js';
import { runCaller } from '../standin/caller.js';
import { startStandinPlatform } from '../standin/platform.js';
import { startStandinWorker, WORKER_DEFAULTS } from '../standin/worker.js';
import { pathTable, slowHttpClient } from '../standin/slow-net.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { createClock } from '../transport/clock.js';
import { createExpressHttpServer } from '../transport/http-server.js';
import type { HttpClient, HttpServer } from '../transport/http.js';
import { createFileJournal, createNoJournal } from '../transport/journal.js';
import type { Journal } from '../transport/journal.js';
import { createLogRoot } from '../transport/log.js';
import { createOsRng, createRng } from '../transport/rng.js';
import { switchesAt } from '../transport/switch-file.js';
import { EXIT } from './exit-codes.js';
import { complain, flagsFit, leave, leaveUsage, onStop, say } from './flags.js';
import { HOLLOW_ARGS, runHollow } from './hollow.js';
import type { Lab } from './settings.js';

type Ctx = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function textOf(ctx: Ctx, key: string): string | undefined {
  const value = ctx.args[key];
  return typeof value === 'string' && value !== '' ? value : undefined;
}
function numberOf(ctx: Ctx, key: string, fallback: number): number {
  const count = Number(textOf(ctx, key) ?? fallback);
  return Number.isFinite(count) ? count : fallback;
}
function journalOf(ctx: Ctx): Journal {
  const path = textOf(ctx, 'journal');
  return path === undefined ? createNoJournal() : createFileJournal(path);
}
function httpClientOf(ctx: Ctx): HttpClient {
  const httpClient = createGotHttpClient(1_000);
  const file = textOf(ctx, 'lab');
  if (file === undefined) return httpClient;
  const lab = JSON.parse(readFileSync(file, 'utf8')) as Lab;
  const clock = createClock();
  const switches = switchesAt(lab.switches);
  return slowHttpClient(httpClient, clock, pathTable(textOf(ctx, 'zone') ?? '', lab.zones, lab.delayMs, switches));
}

function standinHttpServer(): HttpServer {
  return createExpressHttpServer(createLogRoot('warn').component('standin'));
}

const COMMON = {
  journal: { type: 'string', description: 'File that what happened is appended to' },
  lab: { type: 'string', description: 'File with zones and delays of the lab network' },
} as const satisfies ArgsDef;

const WORKER_ARGS = {
  ...COMMON,
  id: { type: 'string', required: true, description: 'Worker id' },
  zone: { type: 'string', required: true, description: 'Zone' },
  region: { type: 'string', required: true, description: 'Region' },
  http: { type: 'string', required: true, description: 'Address to serve at' },
  platform: { type: 'string', required: true, description: 'Address of the platform' },
  cloud: { type: 'string', required: true, description: 'Address of the cloud' },
  model: { type: 'string', description: 'Fixed model (left out: an idle machine that the cloud boots)' },
  capacity: { type: 'string', description: 'Requests at once' },
  loadMs: { type: 'string', description: 'Time to load the model' },
  decodeMs: { type: 'string', description: 'Time for one piece' },
} as const satisfies ArgsDef;

async function runWorker(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, WORKER_ARGS)) return leaveUsage();
  const started = await startStandinWorker(
    {
      id: textOf(ctx, 'id') ?? '',
      zone: textOf(ctx, 'zone') ?? '',
      region: textOf(ctx, 'region') ?? '',
      address: textOf(ctx, 'http') ?? '',
      platform: textOf(ctx, 'platform') ?? '',
      cloud: textOf(ctx, 'cloud') ?? '',
      fixedModel: textOf(ctx, 'model') ?? null,
      ...WORKER_DEFAULTS,
      capacity: numberOf(ctx, 'capacity', WORKER_DEFAULTS.capacity),
      loadMs: numberOf(ctx, 'loadMs', WORKER_DEFAULTS.loadMs),
      decodeMsPerPiece: numberOf(ctx, 'decodeMs', WORKER_DEFAULTS.decodeMsPerPiece),
    },
    {
      clock: createClock(),
      rng: createOsRng(),
      httpServer: standinHttpServer(),
      httpClient: httpClientOf(ctx),
      journal: journalOf(ctx),
    },
  );
  if (!started.ok) return failedStart(started.error);
  onStop(started.value.stop);
}

function failedStart(error: { readonly tag: string }): void {
  complain(`standin could not start: ${JSON.stringify(error)}`);
  leave(EXIT.cannotListen);
}

const PLATFORM_ARGS = {
  ...COMMON,
  http: { type: 'string', required: true, description: 'Address to serve at' },
} as const satisfies ArgsDef;

async function runPlatform(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, PLATFORM_ARGS)) return leaveUsage();
  const started = await startStandinPlatform(
    textOf(ctx, 'http') ?? '',
    createClock(),
    standinHttpServer(),
    journalOf(ctx),
  );
  if (!started.ok) return failedStart(started.error);
  onStop(started.value.stop);
}

const CLOUD_ARGS = {
  ...COMMON,
  http: { type: 'string', required: true, description: 'Address to serve at' },
  platform: { type: 'string', required: true, description: 'Address of the platform' },
  prices: { type: 'string', required: true, description: 'zone=spot/onDemand, joined by commas' },
} as const satisfies ArgsDef;

async function runCloud(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, CLOUD_ARGS)) return leaveUsage();
  const prices: Record<string, { spot: number; onDemand: number }> = {};
  for (const item of (textOf(ctx, 'prices') ?? '').split(',')) {
    const m = /^([^=]+)=([\d.]+)\/([\d.]+)$/.exec(item);
    if (!m) {
      complain(`flag --prices: expected zone=spot/onDemand; found ${JSON.stringify(item)}`);
      return leaveUsage();
    }
    prices[m[1] as string] = { spot: Number(m[2]), onDemand: Number(m[3]) };
  }
  const started = await startStandinCloud(
    { address: textOf(ctx, 'http') ?? '', platform: textOf(ctx, 'platform') ?? '', prices },
    {
      clock: createClock(),
      rng: createOsRng(),
      httpServer: standinHttpServer(),
      httpClient: httpClientOf(ctx),
      journal: journalOf(ctx),
    },
  );
  if (!started.ok) return failedStart(started.error);
  onStop(started.value.stop);
}

const CALLER_ARGS = {
  ...COMMON,
  name: { type: 'string', default: 'caller', description: 'Name in the journal' },
  zone: { type: 'string', required: true, description: 'Zone that the callers sit in' },
  proxies: { type: 'string', required: true, description: 'Addresses of proxies, joined by commas' },
  once: { type: 'string', description: 'Model whose requests may not be repeated' },
  kind: { type: 'string', description: 'Kind of those requests' },
  models: { type: 'string', description: 'Models to stream from, joined by commas' },
  rate: { type: 'string', default: '5', description: 'Requests a second' },
  seconds: { type: 'string', default: '10', description: 'How long' },
  onceShare: { type: 'string', default: '0.4', description: 'Share that may not be repeated' },
  prefixes: { type: 'string', default: '20', description: 'How many shared prefixes a model has' },
  seed: { type: 'string', description: 'Seed of the traffic' },
} as const satisfies ArgsDef;

async function runCallerCommand(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, CALLER_ARGS)) return leaveUsage();
  const seed = textOf(ctx, 'seed');
  const journal = journalOf(ctx);
  const tally = await runCaller(
    {
      name: textOf(ctx, 'name') ?? 'caller',
      proxies: (textOf(ctx, 'proxies') ?? '').split(','),
      zone: textOf(ctx, 'zone') ?? '',
      runOnceModel: textOf(ctx, 'once') ?? null,
      streamModels: (textOf(ctx, 'models') ?? '').split(',').filter(Boolean),
      kind: textOf(ctx, 'kind') ?? null,
      perSecond: numberOf(ctx, 'rate', 5),
      seconds: numberOf(ctx, 'seconds', 10),
      runOnceShare: numberOf(ctx, 'onceShare', 0.4),
      prefixes: numberOf(ctx, 'prefixes', 20),
      patience: 5,
    },
    {
      clock: createClock(),
      rng: seed === undefined ? createOsRng() : createRng(Number(seed)),
      httpClient: httpClientOf(ctx),
      journal,
    },
  );
  await journal.close();
  say(JSON.stringify(tally));
}

const CHECK_ARGS = {
  folder: { type: 'positional', required: true, description: 'Folder with journals (*.jsonl)' },
  homes: { type: 'string', description: 'kind=region+region, joined by commas' },
} as const satisfies ArgsDef;

function runCheck(ctx: Ctx): void {
  if (!flagsFit(ctx.rawArgs, CHECK_ARGS)) return leaveUsage();
  const folder = textOf(ctx, 'folder') ?? '';
  const records: Rec[] = [];
  try {
    for (const file of readdirSync(folder)) {
      if (!file.endsWith('.jsonl')) continue;
      for (const line of readFileSync(join(folder, file), 'utf8').split('\n'))
        if (line !== '') records.push(JSON.parse(line) as Rec);
    }
  } catch (error) {
    complain(
      `folder: expected readable journals in ${JSON.stringify(folder)}; found ${error instanceof Error ? error.message : String(error)}`,
    );
    return leaveUsage();
  }
  const regionsOfKind: Record<string, string[]> = {};
  for (const item of (textOf(ctx, 'homes') ?? '').split(',').filter(Boolean)) {
    const [kind, regions] = item.split('=');
    regionsOfKind[kind as string] = (regions ?? '').split('+');
  }
  const report = checkRecords(records, { regionsOfKind, leavingMs: 4_000 });
  say(JSON.stringify(report, null, 2));
  const empty = !report.counts['first dispatches'];
  if (empty) complain('The journals hold no dispatch: nothing was checked.');
  leave(report.broken.length > 0 || empty ? EXIT.refused : EXIT.ok);
}

/** The command and its verbs. */
export const standinCommand = defineCommand({
  meta: { name: 'standin', description: 'Stand-ins for workers, platform, cloud and callers' },
  subCommands: {
    worker: defineCommand({
      meta: { name: 'worker', description: 'A model worker' },
      args: WORKER_ARGS,
      run: runWorker,
    }),
    platform: defineCommand({
      meta: { name: 'platform', description: 'The list of workers' },
      args: PLATFORM_ARGS,
      run: runPlatform,
    }),
    cloud: defineCommand({ meta: { name: 'cloud', description: 'The cloud API' }, args: CLOUD_ARGS, run: runCloud }),
    caller: defineCommand({
      meta: { name: 'caller', description: 'Callers' },
      args: CALLER_ARGS,
      run: runCallerCommand,
    }),
    hollow: defineCommand({
      meta: { name: 'hollow', description: 'Many proxies without traffic, or many workers, in one process' },
      args: HOLLOW_ARGS,
      run: runHollow,
    }),
    check: defineCommand({
      meta: { name: 'check', description: 'Compares the journals against the rules' },
      args: CHECK_ARGS,
      run: runCheck,
    }),
  },
});

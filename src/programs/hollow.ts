/** Command `millfield standin hollow`: runs many idle proxies or workers in one process, for capacity measurements. */
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import type { ArgsDef } from 'citty';
import { startStandinCloud } from '../standin/cloud.js';
import {
  createHollowHttpServer,
  createSharedListHttpClient,
  createLocalHttp,
  startHollowProxies,
} from '../standin/hollow.js';
import type { HollowProxyGroup, HollowProxy } from '../standin/hollow.js';
import { startStandinPlatform } from '../standin/platform.js';
import type { NodeLocation } from '../standin/tally.js';
import { startStandinWorker, WORKER_DEFAULTS } from '../standin/worker.js';
import type { NodeDeps } from '../coordination/node.js';
import { POLICIES } from '../state/forwarding/policies.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { createClock } from '../transport/clock.js';
import { createExpressHttpServer } from '../transport/http-server.js';
import { createNoJournal } from '../transport/journal.js';
import { createLogRoot } from '../transport/log.js';
import { createMeters } from '../transport/meters.js';
import { createOsRng } from '../transport/rng.js';
import { createTcpWire } from '../transport/wire.js';
import { EXIT } from './exit-codes.js';
import { printError, areFlagsValid, setExitCode, setUsageExitCode } from './flags.js';
import { createFileTally } from './tally-file.js';
import type { TallySettings } from './tally-file.js';

type HollowWorker = { readonly id: string; readonly zone: string; readonly region: string; readonly http: string };
type Prices = Readonly<Record<string, { readonly spot: number; readonly onDemand: number }>>;

/** The proxies to run, or the platform, cloud and workers (`outside`). */
export type HollowPlan = {
  readonly tally: TallySettings;
  readonly wholeProbes: boolean;
  readonly proxies: readonly HollowProxy[];
  readonly outside?: {
    readonly platform: string;
    readonly cloud: string;
    readonly prices: Prices;
    readonly workers: readonly HollowWorker[];
  };
};

/** Flags of the command. */
export const HOLLOW_ARGS = {
  plan: {
    type: 'string',
    required: true,
    description: 'File that lists the proxies and workers of this process (written by tools/capacity.mjs)',
  },
} as const satisfies ArgsDef;

const CONNECT_TIMEOUT_MS = 1_000;

/** Runs the proxies and workers of the plan until a stop signal or the end of standard input. */
export async function runHollow(ctx: {
  readonly rawArgs: string[];
  readonly args: Readonly<Record<string, unknown>>;
}): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, HOLLOW_ARGS)) return setUsageExitCode();
  const plan = JSON.parse(readFileSync(String(ctx.args['plan']), 'utf8')) as HollowPlan;
  const clock = createClock();
  const logs = createLogRoot('error');
  let proxyGroup: HollowProxyGroup | null = null;
  function extra(): unknown {
    return proxyGroup?.tally() ?? null;
  }
  const tally = createFileTally(plan.tally, extra);
  const sharedClient = createSharedListHttpClient(createGotHttpClient(CONNECT_TIMEOUT_MS), clock);

  if (plan.outside && !(await startExternalServices(plan.outside))) return setExitCode(EXIT.cannotListen);
  if (plan.proxies.length > 0) {
    const started = await startHollowProxies(plan.proxies, createProxyDeps, clock);
    if (!started.ok) {
      printError(`hollow proxies could not start: ${JSON.stringify(started.error)}`);
      process.exit(EXIT.cannotListen);
    }
    proxyGroup = started.value;
  }

  function createProxyDeps(hollowProxy: HollowProxy): NodeDeps {
    const location: NodeLocation = { role: 'proxy', zone: hollowProxy.zone, region: hollowProxy.region };
    const countedClient = tally.meteredHttpClient(location, createGotHttpClient(CONNECT_TIMEOUT_MS));
    return {
      clock,
      rng: createOsRng(),
      wire: createTcpWire(logs.component('wire'), CONNECT_TIMEOUT_MS, tally.meterOf(location)),
      httpServer: createHollowHttpServer(),
      httpClient: plan.wholeProbes ? countedClient : tally.meteredHttpClient(location, sharedClient),
      disk: null,
      logs,
      policies: POLICIES,
      meters: createMeters,
    };
  }

  async function startExternalServices(options: NonNullable<HollowPlan['outside']>): Promise<boolean> {
    const localHttp = createLocalHttp(
      createExpressHttpServer(logs.component('standin')),
      createGotHttpClient(CONNECT_TIMEOUT_MS),
    );
    const journal = createNoJournal();
    const deps = {
      clock,
      rng: createOsRng(),
      httpServer: localHttp.httpServer,
      httpClient: localHttp.httpClient,
      journal,
    };
    const platform = await startStandinPlatform(options.platform, clock, localHttp.httpServer, journal);
    const cloud = await startStandinCloud(
      { address: options.cloud, platform: options.platform, prices: options.prices },
      deps,
    );
    let allStarted = platform.ok && cloud.ok;
    for (const hollowWorker of options.workers) {
      const started = await startStandinWorker(
        {
          ...WORKER_DEFAULTS,
          id: hollowWorker.id,
          zone: hollowWorker.zone,
          region: hollowWorker.region,
          address: hollowWorker.http,
          platform: options.platform,
          cloud: options.cloud,
          fixedModel: null,
        },
        deps,
      );
      allStarted &&= started.ok;
    }
    return allStarted;
  }

  async function runCommand(line: string): Promise<void> {
    const [command, count] = line.split(' ');
    if (command === 'restart') await proxyGroup?.restart(Number(count ?? 1));
  }
  function onLine(line: string): void {
    void runCommand(line);
  }
  function exit(): void {
    process.exit(EXIT.ok);
  }
  createInterface({ input: process.stdin }).on('line', onLine).on('close', exit);
  process.on('SIGTERM', exit);
  process.on('SIGINT', exit);
}

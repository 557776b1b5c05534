/** Runs many proxies without requests in one process, for capacity measurements. */
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import type { ArgsDef } from 'citty';
import { startStandinCloud } from '../standin/cloud.js';
import { hollowHttpServer, hollowWorkers, localHttpServers, startHollowProxies } from '../standin/hollow.js';
import type { HollowPart, HollowProxy } from '../standin/hollow.js';
import { startStandinPlatform } from '../standin/platform.js';
import type { Place } from '../standin/tally.js';
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
import { complain, flagsFit, leave, leaveUsage } from './flags.js';
import { tallyInto } from './tally-file.js';
import type { TallySettings } from './tally-file.js';

type HollowWorker = { readonly id: string; readonly zone: string; readonly region: string; readonly http: string };
type Prices = Readonly<Record<string, { readonly spot: number; readonly onDemand: number }>>;

/** How many proxies, and where. */
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
    description: 'File that names the proxies and workers of this process (made by tools/capacity.mjs)',
  },
} as const satisfies ArgsDef;

const DIAL_MS = 1_000;

/** Runs them until the process is told to stop. */
export async function runHollow(ctx: {
  readonly rawArgs: string[];
  readonly args: Readonly<Record<string, unknown>>;
}): Promise<void> {
  if (!flagsFit(ctx.rawArgs, HOLLOW_ARGS)) return leaveUsage();
  const plan = JSON.parse(readFileSync(String(ctx.args['plan']), 'utf8')) as HollowPlan;
  const clock = createClock();
  const logs = createLogRoot('error');
  let part: HollowPart | null = null;
  function extra(): unknown {
    return part?.tally() ?? null;
  }
  const tally = tallyInto(plan.tally, extra);
  const shared = hollowWorkers(createGotHttpClient(DIAL_MS), clock);

  if (plan.outside && !(await startOutside(plan.outside))) return leave(EXIT.cannotListen);
  if (plan.proxies.length > 0) {
    const started = await startHollowProxies(plan.proxies, depsOf, clock);
    if (!started.ok) {
      complain(`hollow proxies could not start: ${JSON.stringify(started.error)}`);
      process.exit(EXIT.cannotListen);
    }
    part = started.value;
  }

  function depsOf(hollowProxy: HollowProxy): NodeDeps {
    const own: Place = { role: 'proxy', zone: hollowProxy.zone, region: hollowProxy.region };
    const counted = tally.countedHttpClient(own, createGotHttpClient(DIAL_MS));
    return {
      clock,
      rng: createOsRng(),
      wire: createTcpWire(logs.component('wire'), DIAL_MS, tally.meterOf(own)),
      httpServer: hollowHttpServer(),
      httpClient: plan.wholeProbes ? counted : tally.countedHttpClient(own, shared),
      disk: null,
      logs,
      policies: POLICIES,
      meters: createMeters,
    };
  }

  async function startOutside(options: NonNullable<HollowPlan['outside']>): Promise<boolean> {
    const local = localHttpServers(createExpressHttpServer(logs.component('standin')), createGotHttpClient(DIAL_MS));
    const journal = createNoJournal();
    const deps = { clock, rng: createOsRng(), httpServer: local.httpServer, httpClient: local.httpClient, journal };
    const platform = await startStandinPlatform(options.platform, clock, local.httpServer, journal);
    const cloud = await startStandinCloud(
      { address: options.cloud, platform: options.platform, prices: options.prices },
      deps,
    );
    let all = platform.ok && cloud.ok;
    for (const hollowWorker of options.workers) {
      const response = await startStandinWorker(
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
      all &&= response.ok;
    }
    return all;
  }

  async function obey(line: string): Promise<void> {
    const [verb, count] = line.split(' ');
    if (verb === 'restart') await part?.restart(Number(count ?? 1));
  }
  function heard(line: string): void {
    void obey(line);
  }
  function gone(): void {
    process.exit(EXIT.ok);
  }
  createInterface({ input: process.stdin }).on('line', heard).on('close', gone);
  process.on('SIGTERM', gone);
  process.on('SIGINT', gone);
}

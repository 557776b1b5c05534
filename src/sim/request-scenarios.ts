/** Scenarios of requests: overload, moving callers, changed request sizes, unresponsive workers and frozen proxies. */
import type { CallerCounts } from '../standin/caller.js';
import { markedHash } from '../standin/mark.js';
import { PLACEMENT_PATH, REQUESTS_PATH, ADMISSION_TOKEN_HEADER } from '../protocol/caller-wire.js';
import { errorLabel } from '../standin/caller.js';
import { createClientOver } from '../client/client.js';
import type { ClientRequest } from '../client/client.js';
import { runKey } from '../state/idempotency/run-key.js';
import { SIM_START_WALL_MS } from './world.js';
import type { SimFleet } from './sim-fleet.js';
import { createInvariantChecker } from './invariant-checker.js';
import { amendLineLimit, readVersion, versionOf, outcomeShare, statusOf } from './scenario-context.js';
import type { ScenarioContext } from './scenario-context.js';

/** Overload from all zones: throughput has to stay up, and rejections have to come early. */
export async function crowd(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const calmTally = await fleet.runUntilSettled(
    fleet.traffic({ zone: 'hu-1', seconds: 5, runOnceShare: 0, perSecond: 20 }),
    60_000,
  );
  const recordCount = fleet.records.length;
  const from = fleet.world.now();
  const callers: Promise<CallerCounts>[] = [];
  for (const zone of ['hu-1', 'at-1', 'ro-1'])
    callers.push(fleet.traffic({ zone, seconds: 10, runOnceShare: 0, perSecond: 90, name: `crowd-${zone}` }));
  await fleet.runUntilSettled(Promise.all(callers), 300_000);
  let successes = 0;
  let lateRejections = 0;
  let rejections = 0;
  for (const record of fleet.records.slice(recordCount)) {
    if (record['who'] !== 'caller') continue;
    if (record['result'] === 'success') successes += 1;
    else if (String(record['result']).startsWith('shed')) {
      rejections += 1;
      if ((record['wholeMs'] as number) > 1_000) lateRejections += 1;
    }
  }
  const seconds = (fleet.world.now() - from) / 1_000;
  context.told.facts['success share when calm'] = outcomeShare(calmTally, 'success');
  context.told.facts['goodput in the crowd, 1/s'] = Math.round(successes / seconds);
  context.told.facts['sheds'] = rejections;
  context.expect('goodput', successes / seconds > 25, `${successes} in ${seconds.toFixed(1)} s`);
  context.expect('fault', rejections > 0, 'the load caused no rejection');
  context.told.facts['share of sheds later than 1 s'] = rejections === 0 ? 0 : lateRejections / rejections;
  context.expect('early', lateRejections < rejections * 0.1, `${lateRejections} of ${rejections} rejections came late`);
}

/** All workers become cold under load: none may receive more requests than its ramp allows. */
export async function coldReturn(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const traffic = fleet.traffic({ zone: 'hu-1', seconds: 15, runOnceShare: 0, perSecond: 10 });
  await fleet.run(2_000);
  for (const simWorker of fleet.workers)
    if (!simWorker.fixed) await fleet.call({ method: 'POST', address: simWorker.http, path: '/lab/cold', body: {} });
  await fleet.runUntilSettled(traffic, 60_000);
  createInvariantChecker(fleet).checkRecords();
}

/** Callers move from zone to zone. */
export async function callersMove(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const successShares: number[] = [];
  for (const zone of ['hu-1', 'ro-1', 'at-1', 'hu-1']) {
    const tally = await fleet.runUntilSettled(
      fleet.traffic({ zone, seconds: 5, perSecond: 15, name: `moving-${zone}-${successShares.length}` }),
      60_000,
    );
    successShares.push(outcomeShare(tally, 'success'));
  }
  context.told.facts['success share'] = Math.min(...successShares);
  context.expect('serves', Math.min(...successShares) === 1, successShares.join());
}

/** The load swings between long prompts with short outputs and short prompts with long outputs. */
export async function swing(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const successShares: number[] = [];
  for (const [historyTokens, outputTokens] of [
    [12_000, 8],
    [50, 400],
    [12_000, 8],
  ] as const) {
    const tally = await fleet.runUntilSettled(
      fleet.traffic({
        zone: 'hu-1',
        seconds: 8,
        perSecond: 8,
        runOnceShare: 0.3,
        historyTokens,
        outputTokens,
        name: `swing-${successShares.length}`,
      }),
      120_000,
    );
    successShares.push(outcomeShare(tally, 'success'));
  }
  context.told.facts['success share'] = Math.min(...successShares);
  context.expect('serves', Math.min(...successShares) > 0.98, successShares.join());
}

type CallResult = { readonly tag: string; readonly tookMs: number };

async function sendRequest(
  fleet: SimFleet,
  zone: string,
  request: ClientRequest,
  stream: boolean,
): Promise<CallResult> {
  const { world } = fleet;
  const proc = world.startProcess(world.host(`caller-${zone}-${world.now()}-${request.parts[0]?.hash}`, zone));
  const proxyAddresses: string[] = [];
  for (const simProxy of fleet.proxies) if (simProxy.host.zone === zone) proxyAddresses.push(simProxy.http);
  const client = createClientOver({ proxies: proxyAddresses, zone }, fleet.httpClientOf(proc), world.clockOf(proc));
  const from = world.now();
  function resultWith(tag: string): CallResult {
    return { tag, tookMs: world.now() - from };
  }
  if (!stream) {
    const response = await client.send(request);
    return resultWith(response.ok ? 'success' : errorLabel(response.error));
  }
  const response = await client.stream(request);
  if (!response.ok) return resultWith(errorLabel(response.error));
  for await (const clientEvent of response.value.events)
    if (clientEvent.tag !== 'piece')
      return resultWith(clientEvent.tag === 'sealed' ? 'success' : errorLabel(clientEvent.error));
  return resultWith('nothing');
}

function streamRequest(i: number): ClientRequest {
  return { model: 'summary', parts: [{ hash: `part-${i}`, tokens: 50 }], outputTokens: 4_000, repeatable: true };
}
function runOnceRequest(i: number): ClientRequest {
  return {
    model: 'card-gateway',
    kind: 'card',
    parts: [{ hash: `card-${i}`, tokens: 8 }],
    outputTokens: 4_000,
    repeatable: false,
    key: runKey(`dark-${i}`, SIM_START_WALL_MS),
  };
}

/**
 * Injects a fault while requests run, and expects that each of them ends within the time limit, with these tags and no
 * others.
 */
async function expectEndsAfter(
  context: ScenarioContext,
  injectFault: () => Promise<void>,
  requestMakers: readonly ((i: number) => ClientRequest)[],
  maxWaitMs: number,
  expectedTags = requestMakers.length === 1 ? ['cut'] : ['cut', 'outcomeUnknown'],
): Promise<void> {
  const { fleet } = context;
  const pending: Promise<CallResult>[] = [];
  for (let i = 0; i < 6; i += 1)
    for (const makeRequest of requestMakers)
      pending.push(sendRequest(fleet, 'hu-1', makeRequest(i), makeRequest === streamRequest));
  await fleet.run(2_000);
  const from = fleet.world.now();
  await injectFault();
  const results = (await fleet.runUntilSettled(Promise.all(pending), 150_000)) ?? [];
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  for (const kind of ['cut', 'outcomeUnknown']) {
    let count = 0;
    for (const result of results) if (result.tag === kind) count += 1;
    if (count > 0) context.told.facts[`told ${kind}`] = count;
  }
  const tags = new Set<string>();
  for (const result of results) tags.add(result.tag);
  context.expect(
    'honestEnd',
    results.length > 0 && [...tags].sort().join() === expectedTags.join(),
    `requests ended with ${[...tags].join()}`,
  );
  context.expect('honestEnd', context.told.recoverMs <= maxWaitMs, `callers waited ${context.told.recoverMs} ms`);
}

/** All workers become unresponsive. */
export async function workersDark(context: ScenarioContext): Promise<void> {
  async function freezeAll(): Promise<void> {
    for (const simWorker of context.fleet.workers) context.fleet.world.freeze(simWorker.host);
  }
  await expectEndsAfter(context, freezeAll, [streamRequest, runOnceRequest], 6_000);
}

/** All workers disappear from the list of the platform. */
export async function workersUnlisted(context: ScenarioContext): Promise<void> {
  async function hideAll(): Promise<void> {
    for (const simWorker of context.fleet.workers)
      await context.fleet.call({
        method: 'POST',
        address: context.fleet.platformAddress,
        path: `/lab/workers/${simWorker.id}/hide`,
        body: { hidden: true },
      });
  }
  await expectEndsAfter(context, hideAll, [streamRequest, runOnceRequest], 5_000);
}

/** All workers stop producing output but stay reachable. */
export async function workersStall(context: ScenarioContext): Promise<void> {
  async function stallAll(): Promise<void> {
    for (const simWorker of context.fleet.workers)
      await context.fleet.call({
        method: 'POST',
        address: simWorker.http,
        path: '/lab/fault',
        body: { mode: 'stall' },
      });
  }
  await expectEndsAfter(context, stallAll, [streamRequest], 11_000);
}

/**
 * Placements from before a change of home regions, forged tickets, and tickets issued by a former process at the same
 * address: none may get a request executed outside its home regions.
 */
export async function homesStale(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  type Placement = {
    readonly ticket?: string;
    readonly requestId?: string;
    readonly address?: string;
    readonly proxy?: string;
  };
  async function placeRequest(at: number, homes?: readonly string[]): Promise<Placement> {
    const response = await fleet.call({
      method: 'POST',
      address: fleet.proxies[at]?.http ?? '',
      path: PLACEMENT_PATH,
      body: {
        model: 'card-gateway',
        kind: 'card',
        inputTokens: 8,
        outputTokens: 8,
        parts: ['a'],
        repeatable: false,
        ...(homes ? { homes } : {}),
      },
    });
    return response.ok ? (response.value.body as Placement) : {};
  }
  async function submit(
    placement: Placement,
    address: string,
    homes: readonly string[],
    token = placement.ticket ?? '',
  ): Promise<string> {
    const hash = markedHash({ key: null, kind: null, homes }, 'stale');
    const response = await fleet.call({
      method: 'POST',
      address,
      path: REQUESTS_PATH,
      headers: { [ADMISSION_TOKEN_HEADER]: token },
      body: { requestId: placement.requestId, parts: [{ hash, tokens: 8 }], outputTokens: 8, stream: false },
    });
    const error = response.ok
      ? (response.value.body as { readonly error?: { readonly tag: string; readonly reason?: string } }).error
      : null;
    return error ? `${error.tag} ${error.reason ?? ''}` : `${statusOf(response)}`;
  }
  const [inside, austria, outside] = fleet.proxies;
  const stale = await placeRequest(1, ['austria']);
  context.expect('fault', stale.proxy === austria?.name, `placed at ${stale.proxy}`);
  const narrowed = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base: await readVersion(fleet, 0),
    changes: [{ path: ['regions', 'hungary', 'models', 'card-gateway', 'homes', 'card'], value: ['hungary'] }],
  });
  context.expect('acknowledged', statusOf(narrowed) === 200, `answered ${statusOf(narrowed)}`);
  const staleOutcome = await submit(stale, stale.address ?? '', ['hungary']);
  context.expect(
    'homes',
    staleOutcome === 'shed outsideHomes',
    `a placement from before the homes changed was answered with ${staleOutcome}`,
  );

  const placement = await placeRequest(0);
  context.expect('fault', placement.proxy === inside?.name, `placed at ${placement.proxy}`);
  const [body] = (placement.ticket ?? '').split('.');
  const ticketFields = JSON.parse(Buffer.from(body ?? '', 'base64url').toString()) as Record<string, unknown>;
  const forgedToken = `${Buffer.from(JSON.stringify({ ...ticketFields, proxy: ticketFields['proxy'], bound: { mapping: null, kind: null, asked: null } })).toString('base64url')}.${(placement.ticket ?? '').split('.')[1]}`;
  for (const [label, token] of [
    ['unchanged', placement.ticket ?? ''],
    ['forged', forgedToken],
  ] as const) {
    const outcome = await submit(placement, outside?.http ?? '', ['hungary'], token);
    context.expect(
      'homes',
      outcome === 'shed ticketForeign',
      `a ticket (${label}) used outside its home regions was answered with ${outcome}`,
    );
  }
  const outcome = await submit(placement, placement.address ?? '', ['hungary'], forgedToken);
  context.expect(
    'homes',
    outcome === 'shed ticketForeign',
    `a forged ticket at its own proxy was answered with ${outcome}`,
  );

  const oldPlacement = await placeRequest(0);
  fleet.kill(inside?.name ?? '');
  void fleet.startNode(inside?.name ?? '');
  await fleet.run(3_000);
  const outcomeAfterRestart = await submit(oldPlacement, oldPlacement.address ?? '', ['hungary']);
  context.expect(
    'homes',
    outcomeAfterRestart === 'shed ticketForeign',
    `a ticket of the previous process at the address was answered with ${outcomeAfterRestart}`,
  );
  context.expect(
    'homes',
    (await submit(await placeRequest(1), inside?.http ?? '', ['hungary'])) === '200',
    'the home regions no longer serve',
  );
}

/** All proxies are frozen while requests run: callers cannot know the outcome. */
export async function proxyFrozenMidway(context: ScenarioContext): Promise<void> {
  async function freezeProxies(): Promise<void> {
    for (const simProxy of context.fleet.proxies) context.fleet.world.freeze(simProxy.host);
  }
  await expectEndsAfter(context, freezeProxies, [streamRequest, runOnceRequest], 7_000, ['outcomeUnknown']);
}

/**
 * A proxy is frozen and partitioned from the controllers while a zone is evacuated and the configuration changes. After
 * the thaw it may serve only once it has caught up.
 */
export async function proxyFrozen(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const checker = createInvariantChecker(fleet);
  const simProxy = fleet.proxies[0];
  const traffic = fleet.traffic({ zone: 'hu-1', seconds: 24, perSecond: 10 });
  await fleet.run(2_000);
  fleet.world.freeze(fleet.hostOf(simProxy?.name ?? ''));
  for (const simController of fleet.controllers)
    for (const [fromName, toName] of [
      [simController.name, simProxy?.name ?? ''],
      [simProxy?.name ?? '', simController.name],
    ] as const)
      fleet.world.cut(fromName, toName);
  await fleet.run(3_000);
  const response = await fleet.operator(1, 'POST', '/v1/zones/hu-1/evacuate', {});
  context.expect('fault', statusOf(response) === 202, `answered ${statusOf(response)}, although one proxy was frozen`);
  checker.evacuated('hu-1');
  const amended = await amendLineLimit(fleet, 1, await readVersion(fleet, 1), 91);
  await fleet.run(6_000);
  for (let i = 0; i < 20; i += 1) void sendRequest(fleet, 'hu-1', { ...streamRequest(900 + i), outputTokens: 8 }, true);
  await fleet.run(500);
  fleet.world.thaw(fleet.hostOf(simProxy?.name ?? ''));
  await fleet.run(3_000);
  const from = fleet.world.now();
  fleet.world.healAll();
  function isServingAgain(): boolean {
    const view = simProxy?.proxy?.view();
    return view !== undefined && view.serving && view.version >= versionOf(amended);
  }
  context.expect('wakes', await fleet.until(12_000, isServingAgain), 'it did not serve again');
  context.told.recoverMs = Math.round(fleet.world.now() - from);
  await fleet.runUntilSettled(traffic, 200_000);
  checker.checkRecords();
}

/**
 * A proxy restarts several times with its wall clock set back by another hour, and its disk kept, full or wiped.
 * Controllers have to accept its reports, and other proxies have to issue tickets for its new process.
 */
export async function clockBackRestart(context: ScenarioContext): Promise<void> {
  const { fleet } = context;
  const simProxy = fleet.proxies[0];
  for (const disk of ['kept', 'full', 'full', 'wiped']) {
    fleet.kill(simProxy?.name ?? '');
    if (disk === 'wiped') fleet.wipe(simProxy?.name ?? '');
    if (simProxy) simProxy.platter.full = disk === 'full';
    fleet.hostOf(simProxy?.name ?? '').wallOffset -= 3_600_000;
    await fleet.run(300);
    const from = fleet.world.now();
    void fleet.startNode(simProxy?.name ?? '');
    await fleet.run(4_000);
    for (let i = 0; i < 3; i += 1) {
      const status = await fleet.operator(i, 'GET', '/v1/status');
      const reportAgeMs = status.ok
        ? (status.value.body as { readonly proxies: Record<string, { readonly heardMs: number | null }> }).proxies[
            simProxy?.name ?? ''
          ]?.heardMs
        : null;
      context.expect(
        'heard',
        typeof reportAgeMs === 'number' && reportAgeMs < 1_500,
        `controller ${i + 1} last accepted a report ${reportAgeMs} ms ago`,
      );
    }
    context.told.recoverMs = Math.round(fleet.world.now() - from);
    for (const at of [1, 2]) {
      const placeResponse = await fleet.call({
        method: 'POST',
        address: fleet.proxies[at]?.http ?? '',
        path: '/v1/place',
        body: {
          model: 'summary',
          inputTokens: 10,
          outputTokens: 8,
          parts: ['a'],
          repeatable: true,
          homes: ['hungary'],
        },
      });
      const placement = placeResponse.ok
        ? (placeResponse.value.body as {
            readonly ticket?: string;
            readonly requestId?: string;
            readonly address?: string;
          })
        : {};
      const submitResponse = await fleet.call({
        method: 'POST',
        address: placement.address ?? '',
        path: '/v1/requests',
        headers: { 'x-millfield-ticket': placement.ticket ?? '' },
        body: { requestId: placement.requestId, parts: [{ hash: 'a', tokens: 10 }], outputTokens: 8, stream: false },
      });
      const isForeign = submitResponse.ok && submitResponse.value.status === 409;
      context.expect('known', !isForeign, `${fleet.proxies[at]?.name} still issues tickets for its previous process`);
    }
  }
}

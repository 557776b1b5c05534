import type { CallerCounts } from '../standin/caller.js';
import { markedHash } from '../standin/mark.js';
import { PLACEMENT_PATH, REQUESTS_PATH, ADMISSION_TOKEN_HEADER } from '../protocol/caller-wire.js';
import { errorLabel } from '../standin/caller.js';
import { createClientOver } from '../client/client.js';
import type { ClientRequest } from '../client/client.js';
import { runKey } from '../state/idempotency/run-key.js';
import { SIM_WALL } from './world.js';
import type { SimFleet } from './sim-fleet.js';
import { createWatchers } from './watchers.js';
import { amend, versionAt, versionOf, share, statusOf } from './stage.js';
import type { Stage } from './stage.js';

export async function crowd(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const calm = await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 5, runOnceShare: 0, perSecond: 20 }), 60_000);
  const mark = fleet.records.length;
  const from = fleet.world.now();
  const many: Promise<CallerCounts>[] = [];
  for (const zone of ['hu-1', 'at-1', 'ro-1'])
    many.push(fleet.traffic({ zone, seconds: 10, runOnceShare: 0, perSecond: 90, name: `crowd-${zone}` }));
  await fleet.finish(Promise.all(many), 300_000);
  let good = 0;
  let shedLate = 0;
  let sheds = 0;
  for (const r of fleet.records.slice(mark)) {
    if (r['who'] !== 'caller') continue;
    if (r['result'] === 'success') good += 1;
    else if (String(r['result']).startsWith('shed')) {
      sheds += 1;
      if ((r['wholeMs'] as number) > 1_000) shedLate += 1;
    }
  }
  const seconds = (fleet.world.now() - from) / 1_000;
  stage.told.facts['success share when calm'] = share(calm, 'success');
  stage.told.facts['goodput in the crowd, 1/s'] = Math.round(good / seconds);
  stage.told.facts['sheds'] = sheds;
  stage.expect('goodput', good / seconds > 25, `${good} in ${seconds.toFixed(1)} s`);
  stage.expect('fault', sheds > 0, 'the crowd was no crowd');
  stage.told.facts['share of sheds later than 1 s'] = sheds === 0 ? 0 : shedLate / sheds;
  stage.expect('early', shedLate < sheds * 0.1, `${shedLate} of ${sheds} sheds came late`);
}

export async function coldReturn(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 15, runOnceShare: 0, perSecond: 10 });
  await fleet.run(2_000);
  for (const simWorker of fleet.workers)
    if (!simWorker.fixed) await fleet.call({ method: 'POST', address: simWorker.http, path: '/lab/cold', body: {} });
  await fleet.finish(busy, 60_000);
  createWatchers(fleet).end();
}

export async function callersMove(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const shares: number[] = [];
  for (const zone of ['hu-1', 'ro-1', 'at-1', 'hu-1']) {
    const t = await fleet.finish(
      fleet.traffic({ zone, seconds: 5, perSecond: 15, name: `moving-${zone}-${shares.length}` }),
      60_000,
    );
    shares.push(share(t, 'success'));
  }
  stage.told.facts['success share'] = Math.min(...shares);
  stage.expect('serves', Math.min(...shares) === 1, shares.join());
}

export async function swing(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const shares: number[] = [];
  for (const [historyTokens, outputTokens] of [
    [12_000, 8],
    [50, 400],
    [12_000, 8],
  ] as const) {
    const t = await fleet.finish(
      fleet.traffic({
        zone: 'hu-1',
        seconds: 8,
        perSecond: 8,
        runOnceShare: 0.3,
        historyTokens,
        outputTokens,
        name: `swing-${shares.length}`,
      }),
      120_000,
    );
    shares.push(share(t, 'success'));
  }
  stage.told.facts['success share'] = Math.min(...shares);
  stage.expect('serves', Math.min(...shares) > 0.98, shares.join());
}

type Sent = { readonly tag: string; readonly tookMs: number };

async function sendTo(fleet: SimFleet, zone: string, ask: ClientRequest, stream: boolean): Promise<Sent> {
  const { world } = fleet;
  const proc = world.begin(world.host(`caller-${zone}-${world.now()}-${ask.parts[0]?.hash}`, zone));
  const near: string[] = [];
  for (const simProxy of fleet.proxies) if (simProxy.host.zone === zone) near.push(simProxy.http);
  const client = createClientOver({ proxies: near, zone }, fleet.httpClientOf(proc), world.clockOf(proc));
  const from = world.now();
  function over(tag: string): Sent {
    return { tag, tookMs: world.now() - from };
  }
  if (!stream) {
    const got = await client.send(ask);
    return over(got.ok ? 'success' : errorLabel(got.error));
  }
  const got = await client.stream(ask);
  if (!got.ok) return over(errorLabel(got.error));
  for await (const clientEvent of got.value.events)
    if (clientEvent.tag !== 'piece')
      return over(clientEvent.tag === 'sealed' ? 'success' : errorLabel(clientEvent.error));
  return over('nothing');
}

function streamAsk(i: number): ClientRequest {
  return { model: 'summary', parts: [{ hash: `part-${i}`, tokens: 50 }], outputTokens: 4_000, repeatable: true };
}
function onceAsk(i: number): ClientRequest {
  return {
    model: 'card-gateway',
    kind: 'card',
    parts: [{ hash: `card-${i}`, tokens: 8 }],
    outputTokens: 4_000,
    repeatable: false,
    key: runKey(`dark-${i}`, SIM_WALL),
  };
}

async function endsAfter(
  stage: Stage,
  cause: () => Promise<void>,
  makes: readonly ((i: number) => ClientRequest)[],
  mostMs: number,
  told = makes.length === 1 ? ['cut'] : ['cut', 'outcomeUnknown'],
): Promise<void> {
  const { fleet } = stage;
  const sent: Promise<Sent>[] = [];
  for (let i = 0; i < 6; i += 1)
    for (const make of makes) sent.push(sendTo(fleet, 'hu-1', make(i), make === streamAsk));
  await fleet.run(2_000);
  const from = fleet.world.now();
  await cause();
  const ends = (await fleet.finish(Promise.all(sent), 150_000)) ?? [];
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  for (const kind of ['cut', 'outcomeUnknown']) {
    let count = 0;
    for (const sent of ends) if (sent.tag === kind) count += 1;
    if (count > 0) stage.told.facts[`told ${kind}`] = count;
  }
  const tags = new Set<string>();
  for (const sent of ends) tags.add(sent.tag);
  stage.expect('honestEnd', ends.length > 0 && [...tags].sort().join() === told.join(), `told ${[...tags].join()}`);
  stage.expect('honestEnd', stage.told.recoverMs <= mostMs, `callers waited ${stage.told.recoverMs} ms`);
}

export async function workersDark(stage: Stage): Promise<void> {
  async function freezeAll(): Promise<void> {
    for (const simWorker of stage.fleet.workers) stage.fleet.world.freeze(simWorker.host);
  }
  await endsAfter(stage, freezeAll, [streamAsk, onceAsk], 6_000);
}

export async function workersUnlisted(stage: Stage): Promise<void> {
  async function hideAll(): Promise<void> {
    for (const simWorker of stage.fleet.workers)
      await stage.fleet.call({
        method: 'POST',
        address: stage.fleet.platformAddress,
        path: `/lab/workers/${simWorker.id}/hide`,
        body: { hidden: true },
      });
  }
  await endsAfter(stage, hideAll, [streamAsk, onceAsk], 5_000);
}

export async function workersStall(stage: Stage): Promise<void> {
  async function stallAll(): Promise<void> {
    for (const simWorker of stage.fleet.workers)
      await stage.fleet.call({ method: 'POST', address: simWorker.http, path: '/lab/fault', body: { mode: 'stall' } });
  }
  await endsAfter(stage, stallAll, [streamAsk], 11_000);
}

export async function homesStale(stage: Stage): Promise<void> {
  const { fleet } = stage;
  type Placement = {
    readonly ticket?: string;
    readonly requestId?: string;
    readonly address?: string;
    readonly proxy?: string;
  };
  async function placedFor(at: number, homes?: readonly string[]): Promise<Placement> {
    const got = await fleet.call({
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
    return got.ok ? (got.value.body as Placement) : {};
  }
  async function submit(
    placement: Placement,
    address: string,
    homes: readonly string[],
    token = placement.ticket ?? '',
  ): Promise<string> {
    const hash = markedHash({ key: null, kind: null, homes }, 'stale');
    const got = await fleet.call({
      method: 'POST',
      address,
      path: REQUESTS_PATH,
      headers: { [ADMISSION_TOKEN_HEADER]: token },
      body: { requestId: placement.requestId, parts: [{ hash, tokens: 8 }], outputTokens: 8, stream: false },
    });
    const error = got.ok
      ? (got.value.body as { readonly error?: { readonly tag: string; readonly reason?: string } }).error
      : null;
    return error ? `${error.tag} ${error.reason ?? ''}` : `${statusOf(got)}`;
  }
  const [inside, austria, outside] = fleet.proxies;
  const stale = await placedFor(1, ['austria']);
  stage.expect('fault', stale.proxy === austria?.name, `placed at ${stale.proxy}`);
  const narrowed = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base: await versionAt(fleet, 0),
    changes: [{ path: ['regions', 'hungary', 'models', 'card-gateway', 'homes', 'card'], value: ['hungary'] }],
  });
  stage.expect('acknowledged', statusOf(narrowed) === 200, `answered ${statusOf(narrowed)}`);
  const late = await submit(stale, stale.address ?? '', ['hungary']);
  stage.expect('homes', late === 'shed outsideHomes', `a place answer from before the homes changed is told ${late}`);

  const fresh = await placedFor(0);
  stage.expect('fault', fresh.proxy === inside?.name, `placed at ${fresh.proxy}`);
  const [body] = (fresh.ticket ?? '').split('.');
  const read = JSON.parse(Buffer.from(body ?? '', 'base64url').toString()) as Record<string, unknown>;
  const crafted = `${Buffer.from(JSON.stringify({ ...read, proxy: read['proxy'], bound: { mapping: null, kind: null, asked: null } })).toString('base64url')}.${(fresh.ticket ?? '').split('.')[1]}`;
  for (const [what, token] of [
    ['as it is', fresh.ticket ?? ''],
    ['crafted', crafted],
  ] as const) {
    const told = await submit(fresh, outside?.http ?? '', ['hungary'], token);
    stage.expect('homes', told === 'shed ticketForeign', `a ticket ${what}, used outside its homes, is told ${told}`);
  }
  const told = await submit(fresh, fresh.address ?? '', ['hungary'], crafted);
  stage.expect('homes', told === 'shed ticketForeign', `a crafted ticket at its own proxy is told ${told}`);

  const moved = await placedFor(0);
  fleet.kill(inside?.name ?? '');
  void fleet.startNode(inside?.name ?? '');
  await fleet.run(3_000);
  const after = await submit(moved, moved.address ?? '', ['hungary']);
  stage.expect('homes', after === 'shed ticketForeign', `a ticket of the address's former holder is told ${after}`);
  stage.expect(
    'homes',
    (await submit(await placedFor(1), inside?.http ?? '', ['hungary'])) === '200',
    'the homes themselves serve no more',
  );
}

export async function proxyFrozenMidway(stage: Stage): Promise<void> {
  async function freezeEdges(): Promise<void> {
    for (const simProxy of stage.fleet.proxies) stage.fleet.world.freeze(simProxy.host);
  }
  await endsAfter(stage, freezeEdges, [streamAsk, onceAsk], 7_000, ['outcomeUnknown']);
}

export async function proxyFrozen(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const watchers = createWatchers(fleet);
  const edge = fleet.proxies[0];
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 24, perSecond: 10 });
  await fleet.run(2_000);
  fleet.world.freeze(fleet.hostOf(edge?.name ?? ''));
  for (const simController of fleet.controllers)
    for (const [address, second] of [
      [simController.name, edge?.name ?? ''],
      [edge?.name ?? '', simController.name],
    ] as const)
      fleet.world.cut(address, second);
  await fleet.run(3_000);
  const got = await fleet.operator(1, 'POST', '/v1/zones/hu-1/evacuate', {});
  stage.expect('fault', statusOf(got) === 202, `answered ${statusOf(got)}, though one proxy stood still`);
  watchers.evacuated('hu-1');
  const set = await amend(fleet, 1, await versionAt(fleet, 1), 91);
  await fleet.run(6_000);
  for (let i = 0; i < 20; i += 1) void sendTo(fleet, 'hu-1', { ...streamAsk(900 + i), outputTokens: 8 }, true);
  await fleet.run(500);
  fleet.world.thaw(fleet.hostOf(edge?.name ?? ''));
  await fleet.run(3_000);
  const from = fleet.world.now();
  fleet.world.healAll();
  function backAndServing(): boolean {
    const value = edge?.proxy?.view();
    return value !== undefined && value.serving && value.version >= versionOf(set);
  }
  stage.expect('wakes', await fleet.until(12_000, backAndServing), 'it never served again');
  stage.told.recoverMs = Math.round(fleet.world.now() - from);
  await fleet.finish(busy, 200_000);
  watchers.end();
}

export async function clockBackRestart(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const edge = fleet.proxies[0];
  for (const disk of ['kept', 'full', 'full', 'wiped']) {
    fleet.kill(edge?.name ?? '');
    if (disk === 'wiped') fleet.wipe(edge?.name ?? '');
    if (edge) edge.platter.full = disk === 'full';
    fleet.hostOf(edge?.name ?? '').wallOffset -= 3_600_000;
    await fleet.run(300);
    const from = fleet.world.now();
    void fleet.startNode(edge?.name ?? '');
    await fleet.run(4_000);
    for (let i = 0; i < 3; i += 1) {
      const status = await fleet.operator(i, 'GET', '/v1/status');
      const told = status.ok
        ? (status.value.body as { readonly proxies: Record<string, { readonly heardMs: number | null }> }).proxies[
            edge?.name ?? ''
          ]?.heardMs
        : null;
      stage.expect(
        'heard',
        typeof told === 'number' && told < 1_500,
        `controller ${i + 1} last took a report ${told} ms ago`,
      );
    }
    stage.told.recoverMs = Math.round(fleet.world.now() - from);
    for (const at of [1, 2]) {
      const placed = await fleet.call({
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
      const p = placed.ok
        ? (placed.value.body as { readonly ticket?: string; readonly requestId?: string; readonly address?: string })
        : {};
      const sent = await fleet.call({
        method: 'POST',
        address: p.address ?? '',
        path: '/v1/requests',
        headers: { 'x-millfield-ticket': p.ticket ?? '' },
        body: { requestId: p.requestId, parts: [{ hash: 'a', tokens: 10 }], outputTokens: 8, stream: false },
      });
      const foreign = sent.ok && sent.value.status === 409;
      stage.expect('known', !foreign, `${fleet.proxies[at]?.name} still places at its former life`);
    }
  }
}

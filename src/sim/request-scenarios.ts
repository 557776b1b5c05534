import type { CallerTally } from '../standin/caller.js';
import { bootstrapDigest } from '../standin/mark.js';
import { PLACE_PATH, REQUESTS_PATH, ADMISSION_TOKEN_HEADER } from '../protocol/caller-wire.js';
import { tagOf } from '../standin/caller.js';
import { createClientOver } from '../client/client.js';
import type { ClientRequest } from '../client/client.js';
import { runKey } from '../state/run-key.js';
import { SIM_WALL } from './world.js';
import type { SimFleet } from './sim-fleet.js';
import { createWatchers } from './watchers.js';
import { amend, versionAt, versionOf, share, statusOf } from './stage.js';
import type { Stage } from './stage.js';

export async function crowd(s: Stage): Promise<void> {
  const { fleet } = s;
  const calm = await fleet.finish(fleet.traffic({ zone: 'hu-1', seconds: 5, runOnceShare: 0, perSecond: 20 }), 60_000);
  const mark = fleet.records.length;
  const from = fleet.world.now();
  const many: Promise<CallerTally>[] = [];
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
  s.told.facts['success share when calm'] = share(calm, 'success');
  s.told.facts['goodput in the crowd, 1/s'] = Math.round(good / seconds);
  s.told.facts['sheds'] = sheds;
  s.expect('goodput', good / seconds > 25, `${good} in ${seconds.toFixed(1)} s`);
  s.expect('fault', sheds > 0, 'the crowd was no crowd');
  s.told.facts['share of sheds later than 1 s'] = sheds === 0 ? 0 : shedLate / sheds;
  s.expect('early', shedLate < sheds * 0.1, `${shedLate} of ${sheds} sheds came late`);
}

export async function coldReturn(s: Stage): Promise<void> {
  const { fleet } = s;
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 15, runOnceShare: 0, perSecond: 10 });
  await fleet.run(2_000);
  for (const w of fleet.workers)
    if (!w.fixed) await fleet.call({ method: 'POST', address: w.http, path: '/lab/cold', body: {} });
  await fleet.finish(busy, 60_000);
  createWatchers(fleet).end();
}

export async function callersMove(s: Stage): Promise<void> {
  const { fleet } = s;
  const shares: number[] = [];
  for (const zone of ['hu-1', 'ro-1', 'at-1', 'hu-1']) {
    const t = await fleet.finish(
      fleet.traffic({ zone, seconds: 5, perSecond: 15, name: `moving-${zone}-${shares.length}` }),
      60_000,
    );
    shares.push(share(t, 'success'));
  }
  s.told.facts['success share'] = Math.min(...shares);
  s.expect('serves', Math.min(...shares) === 1, shares.join());
}

export async function swing(s: Stage): Promise<void> {
  const { fleet } = s;
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
  s.told.facts['success share'] = Math.min(...shares);
  s.expect('serves', Math.min(...shares) > 0.98, shares.join());
}

type Sent = { readonly tag: string; readonly tookMs: number };

async function sendTo(fleet: SimFleet, zone: string, ask: ClientRequest, stream: boolean): Promise<Sent> {
  const { world } = fleet;
  const proc = world.begin(world.host(`caller-${zone}-${world.now()}-${ask.parts[0]?.hash}`, zone));
  const near: string[] = [];
  for (const x of fleet.proxies) if (x.host.zone === zone) near.push(x.http);
  const client = createClientOver({ proxies: near, zone }, fleet.httpClientOf(proc), world.clockOf(proc));
  const from = world.now();
  function over(tag: string): Sent {
    return { tag, tookMs: world.now() - from };
  }
  if (!stream) {
    const got = await client.send(ask);
    return over(got.ok ? 'success' : tagOf(got.fault));
  }
  const got = await client.stream(ask);
  if (!got.ok) return over(tagOf(got.fault));
  for await (const e of got.value.events)
    if (e.tag !== 'piece') return over(e.tag === 'sealed' ? 'success' : tagOf(e.fault));
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
  s: Stage,
  cause: () => Promise<void>,
  makes: readonly ((i: number) => ClientRequest)[],
  mostMs: number,
  told = makes.length === 1 ? ['cut'] : ['cut', 'outcomeUnknown'],
): Promise<void> {
  const { fleet } = s;
  const sent: Promise<Sent>[] = [];
  for (let i = 0; i < 6; i += 1)
    for (const make of makes) sent.push(sendTo(fleet, 'hu-1', make(i), make === streamAsk));
  await fleet.run(2_000);
  const from = fleet.world.now();
  await cause();
  const ends = (await fleet.finish(Promise.all(sent), 150_000)) ?? [];
  s.told.recoverMs = Math.round(fleet.world.now() - from);
  for (const kind of ['cut', 'outcomeUnknown']) {
    let n = 0;
    for (const e of ends) if (e.tag === kind) n += 1;
    if (n > 0) s.told.facts[`told ${kind}`] = n;
  }
  const tags = new Set<string>();
  for (const e of ends) tags.add(e.tag);
  s.expect('honestEnd', ends.length > 0 && [...tags].sort().join() === told.join(), `told ${[...tags].join()}`);
  s.expect('honestEnd', s.told.recoverMs <= mostMs, `callers waited ${s.told.recoverMs} ms`);
}

export async function workersDark(s: Stage): Promise<void> {
  async function freezeAll(): Promise<void> {
    for (const w of s.fleet.workers) s.fleet.world.freeze(w.host);
  }
  await endsAfter(s, freezeAll, [streamAsk, onceAsk], 6_000);
}

export async function workersUnlisted(s: Stage): Promise<void> {
  async function hideAll(): Promise<void> {
    for (const w of s.fleet.workers)
      await s.fleet.call({
        method: 'POST',
        address: s.fleet.platformAddress,
        path: `/lab/workers/${w.id}/hide`,
        body: { hidden: true },
      });
  }
  await endsAfter(s, hideAll, [streamAsk, onceAsk], 5_000);
}

export async function workersStall(s: Stage): Promise<void> {
  async function stallAll(): Promise<void> {
    for (const w of s.fleet.workers)
      await s.fleet.call({ method: 'POST', address: w.http, path: '/lab/fault', body: { mode: 'stall' } });
  }
  await endsAfter(s, stallAll, [streamAsk], 11_000);
}

export async function homesStale(s: Stage): Promise<void> {
  const { fleet } = s;
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
      path: PLACE_PATH,
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
    p: Placement,
    address: string,
    homes: readonly string[],
    token = p.ticket ?? '',
  ): Promise<string> {
    const hash = bootstrapDigest({ key: null, kind: null, homes }, 'stale');
    const got = await fleet.call({
      method: 'POST',
      address,
      path: REQUESTS_PATH,
      headers: { [ADMISSION_TOKEN_HEADER]: token },
      body: { requestId: p.requestId, parts: [{ hash, tokens: 8 }], outputTokens: 8, stream: false },
    });
    const error = got.ok
      ? (got.value.body as { readonly error?: { readonly tag: string; readonly reason?: string } }).error
      : null;
    return error ? `${error.tag} ${error.reason ?? ''}` : `${statusOf(got)}`;
  }
  const [inside, austria, outside] = fleet.proxies;
  const stale = await placedFor(1, ['austria']);
  s.expect('fault', stale.proxy === austria?.name, `placed at ${stale.proxy}`);
  const narrowed = await fleet.operator(0, 'POST', '/v1/configuration/amend', {
    base: await versionAt(fleet, 0),
    changes: [{ path: ['regions', 'hungary', 'models', 'card-gateway', 'homes', 'card'], value: ['hungary'] }],
  });
  s.expect('acknowledged', statusOf(narrowed) === 200, `answered ${statusOf(narrowed)}`);
  const late = await submit(stale, stale.address ?? '', ['hungary']);
  s.expect('homes', late === 'shed outsideHomes', `a place answer from before the homes changed is told ${late}`);

  const fresh = await placedFor(0);
  s.expect('fault', fresh.proxy === inside?.name, `placed at ${fresh.proxy}`);
  const [body] = (fresh.ticket ?? '').split('.');
  const read = JSON.parse(Buffer.from(body ?? '', 'base64url').toString()) as Record<string, unknown>;
  const crafted = `${Buffer.from(JSON.stringify({ ...read, proxy: read['proxy'], bound: { mapping: null, kind: null, asked: null } })).toString('base64url')}.${(fresh.ticket ?? '').split('.')[1]}`;
  for (const [what, token] of [
    ['as it is', fresh.ticket ?? ''],
    ['crafted', crafted],
  ] as const) {
    const told = await submit(fresh, outside?.http ?? '', ['hungary'], token);
    s.expect('homes', told === 'shed ticketForeign', `a ticket ${what}, used outside its homes, is told ${told}`);
  }
  const told = await submit(fresh, fresh.address ?? '', ['hungary'], crafted);
  s.expect('homes', told === 'shed ticketForeign', `a crafted ticket at its own proxy is told ${told}`);

  const moved = await placedFor(0);
  fleet.kill(inside?.name ?? '');
  void fleet.startNode(inside?.name ?? '');
  await fleet.run(3_000);
  const after = await submit(moved, moved.address ?? '', ['hungary']);
  s.expect('homes', after === 'shed ticketForeign', `a ticket of the address's former holder is told ${after}`);
  s.expect(
    'homes',
    (await submit(await placedFor(1), inside?.http ?? '', ['hungary'])) === '200',
    'the homes themselves serve no more',
  );
}

export async function proxyFrozenMidway(s: Stage): Promise<void> {
  async function freezeEdges(): Promise<void> {
    for (const x of s.fleet.proxies) s.fleet.world.freeze(x.host);
  }
  await endsAfter(s, freezeEdges, [streamAsk, onceAsk], 7_000, ['outcomeUnknown']);
}

export async function proxyFrozen(s: Stage): Promise<void> {
  const { fleet } = s;
  const watchers = createWatchers(fleet);
  const edge = fleet.proxies[0];
  const busy = fleet.traffic({ zone: 'hu-1', seconds: 24, perSecond: 10 });
  await fleet.run(2_000);
  fleet.world.freeze(fleet.hostOf(edge?.name ?? ''));
  for (const h of fleet.controllers)
    for (const [a, b] of [
      [h.name, edge?.name ?? ''],
      [edge?.name ?? '', h.name],
    ] as const)
      fleet.world.cut(a, b);
  await fleet.run(3_000);
  const got = await fleet.operator(1, 'POST', '/v1/zones/hu-1/evacuate', {});
  s.expect('fault', statusOf(got) === 202, `answered ${statusOf(got)}, though one proxy stood still`);
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
    const v = edge?.proxy?.view();
    return v !== undefined && v.serving && v.version >= versionOf(set);
  }
  s.expect('wakes', await fleet.until(12_000, backAndServing), 'it never served again');
  s.told.recoverMs = Math.round(fleet.world.now() - from);
  await fleet.finish(busy, 200_000);
  watchers.end();
}

export async function clockBackRestart(s: Stage): Promise<void> {
  const { fleet } = s;
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
        ? (status.value.body as { readonly proxies: Record<string, { readonly sinceContactMs: number | null }> })
            .proxies[edge?.name ?? '']?.sinceContactMs
        : null;
      s.expect(
        'heard',
        typeof told === 'number' && told < 1_500,
        `controller ${i + 1} last took a report ${told} ms ago`,
      );
    }
    s.told.recoverMs = Math.round(fleet.world.now() - from);
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
      s.expect('known', !foreign, `${fleet.proxies[at]?.name} still places at its former life`);
    }
  }
}

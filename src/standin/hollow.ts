import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { startProxy } from '../coordination/edge/proxy.js';
import type { Proxy } from '../coordination/edge/proxy.js';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { WORKERS_PATH, readWorkerList } from '../protocol/platform-wire.js';
import type { Listed } from '../state/listed.js';
import { HEALTH_PATH } from '../protocol/worker-wire.js';
import { every, delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient, HttpServer, HttpAnswer, HttpCall, HttpFault, HttpReply, Route } from '../transport/http.js';
import { newId } from '../transport/rng.js';
import type { Address, Listener, WireFault } from '../transport/wire.js';

export type HollowPart = {
  readonly tally: () => {
    readonly proxies: number;
    readonly serving: number;
    readonly partitioned: number;
    readonly leastVersion: number;
    readonly inForceAt: Readonly<Record<number, number>>;
    readonly partitionedMost: number;
  };
  readonly restart: (count: number) => Promise<void>;
  readonly stop: () => Promise<void>;
};

export type HollowProxy = Pick<
  NodeIdentity,
  'name' | 'zone' | 'region' | 'listen' | 'http' | 'seeds' | 'platform' | 'cloud'
>;

const LOOK_MS = 20;
const SHARED_MS = 900;
const STARTS_EVERY_MS = 20;

// A server without callers: nothing listens, so all that a proxy does is control.
export function hollowHttpServer(): HttpServer {
  async function open(address: Address): Promise<Result<Listener, WireFault>> {
    return ok({ address, close: nothing });
  }
  return { open };
}
async function nothing(): Promise<void> {
  return undefined;
}

// The proxies of a process share one reading of the list each second, and workers' health is answered from it, so that hollow workers need no connections.
export function hollowWorkers(httpClient: HttpClient, clock: Clock): HttpClient {
  const listed = new Map<Address, Listed>();
  let reading: Promise<Result<HttpAnswer, HttpFault>> | null = null;
  let readAt = 0;
  async function call(c: HttpCall): Promise<Result<HttpAnswer, HttpFault>> {
    const known = c.path === HEALTH_PATH ? listed.get(c.address) : undefined;
    if (known)
      return ok(
        answer({
          id: known.id,
          incarnation: known.machine,
          model: known.model,
          state: known.state,
          running: 0,
          readyForMs: 60_000,
        }),
      );
    if (c.path !== WORKERS_PATH) return httpClient.call(c);
    if (reading === null || clock.mono() - readAt > SHARED_MS) {
      readAt = clock.mono();
      reading = read(c);
    }
    return reading;
  }
  async function read(c: HttpCall): Promise<Result<HttpAnswer, HttpFault>> {
    const got = await httpClient.call(c);
    if (got.ok) {
      const list = readWorkerList(got.value.body);
      if (list.ok) for (const w of list.value.workers) listed.set(w.address, w);
    }
    return got;
  }
  return { call };
}
function answer(body: unknown): HttpAnswer {
  return { status: 200, headers: {}, body, lines: noLines(), abandon: idle };
}
async function* noLines(): AsyncGenerator<never> {
  return;
}
function idle(): void {
  return undefined;
}

// Servers of one process reach each other without a connection; all other calls go out.
export function localHttpServers(
  httpServer: HttpServer,
  httpClient: HttpClient,
): { readonly httpServer: HttpServer; readonly httpClient: HttpClient } {
  const opened = new Map<Address, readonly Route[]>();
  async function open(address: Address, routes: readonly Route[]): Promise<Result<Listener, WireFault>> {
    const got = await httpServer.open(address, routes);
    if (got.ok) opened.set(address, routes);
    return got;
  }
  async function call(c: HttpCall): Promise<Result<HttpAnswer, HttpFault>> {
    const route = opened.get(c.address)?.find(isIt);
    if (!route) return httpClient.call(c);
    const reply: HttpReply = await route.handle({
      method: c.method,
      path: c.path,
      params: {},
      query: {},
      headers: {},
      body: c.body,
      gone: never,
    });
    return ok({ ...answer(reply.body ?? null), status: reply.status });
    function isIt(r: Route): boolean {
      return r.method === c.method && r.path === c.path;
    }
  }
  return { httpServer: { open }, httpClient: { call } };
}
function never(): boolean {
  return false;
}

export async function startHollowProxies(
  wanted: readonly HollowProxy[],
  depsOf: (of: HollowProxy) => NodeDeps,
  clock: Clock,
): Promise<Result<HollowPart, WireFault>> {
  type Held = { readonly of: HollowProxy; proxy: Proxy | null };
  const held: Held[] = [];
  const inForceAt: Record<number, number> = {};
  let least = 0;
  let partitionedMost = 0;

  async function start(h: Held): Promise<Result<null, WireFault>> {
    const deps = depsOf(h.of);
    const id: NodeIdentity = { ...h.of, run: newId(deps.rng, 'run'), advertised: h.of.listen, httpListen: h.of.http };
    const got = await startProxy(id, deps);
    if (!got.ok) return got;
    h.proxy = got.value;
    return ok(null);
  }
  for (const of of wanted) {
    const h: Held = { of, proxy: null };
    held.push(h);
    const got = await start(h);
    if (!got.ok) return err(got.fault);
    await delay(clock, STARTS_EVERY_MS);
  }

  function look(): void {
    let now = Infinity;
    let partitioned = 0;
    for (const h of held) {
      const v = h.proxy?.view();
      if (!v) continue;
      now = Math.min(now, v.version);
      if (v.partitioned) partitioned += 1;
    }
    partitionedMost = Math.max(partitionedMost, partitioned);
    if (now === Infinity || now <= least) return;
    least = now;
    inForceAt[now] = clock.mono();
    for (const old of Object.keys(inForceAt)) if (Object.keys(inForceAt).length > 200) delete inForceAt[Number(old)];
  }
  const looking = every(clock, LOOK_MS, look);

  function tally(): ReturnType<HollowPart['tally']> {
    let serving = 0;
    let partitioned = 0;
    for (const h of held) {
      const v = h.proxy?.view();
      if (v?.serving) serving += 1;
      if (v?.partitioned) partitioned += 1;
    }
    return { proxies: held.length, serving, partitioned, leastVersion: least, inForceAt, partitionedMost };
  }

  let next = 0;
  async function restart(count: number): Promise<void> {
    for (let i = 0; i < count && held.length > 0; i += 1) {
      const h = held[next % held.length] as Held;
      next += 1;
      const old = h.proxy;
      h.proxy = null;
      await old?.stop();
      await start(h);
    }
  }
  async function stop(): Promise<void> {
    looking.cancel();
    const all: Promise<void>[] = [];
    for (const h of held) if (h.proxy) all.push(h.proxy.stop());
    await Promise.all(all);
  }
  return ok({ tally, restart, stop });
}

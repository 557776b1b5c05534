import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { startProxy } from '../coordination/proxy/proxy.js';
import type { Proxy } from '../coordination/proxy/proxy.js';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { WORKERS_PATH, readWorkerList } from '../protocol/platform-wire.js';
import type { ListedWorker } from '../state/discovery/listed.js';
import { HEALTH_PATH } from '../protocol/worker-wire.js';
import { every, delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient, HttpServer, HttpAnswer, HttpCall, HttpError, HttpReply, Route } from '../transport/http.js';
import { newId } from '../transport/rng.js';
import type { Address, Listener, WireError } from '../transport/wire.js';

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
const STOP_MS = 10_000;

// A server without callers: nothing listens, so all that a proxy does is control.
export function hollowHttpServer(): HttpServer {
  async function open(address: Address): Promise<Result<Listener, WireError>> {
    return ok({ address, close: nothing });
  }
  return { open };
}
async function nothing(): Promise<void> {
  return undefined;
}

// The proxies of a process share one reading of the list each second, and workers' health is answered from it, so that hollow workers need no connections.
export function hollowWorkers(httpClient: HttpClient, clock: Clock): HttpClient {
  const listed = new Map<Address, ListedWorker>();
  let reading: Promise<Result<HttpAnswer, HttpError>> | null = null;
  let readAt = 0;
  async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const known = httpCall.path === HEALTH_PATH ? listed.get(httpCall.address) : undefined;
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
    if (httpCall.path !== WORKERS_PATH) return httpClient.call(httpCall);
    if (reading === null || clock.mono() - readAt > SHARED_MS) {
      readAt = clock.mono();
      reading = read(httpCall);
    }
    return reading;
  }
  async function read(call: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const got = await httpClient.call(call);
    if (got.ok) {
      const list = readWorkerList(got.value.body);
      if (list.ok) for (const worker of list.value.workers) listed.set(worker.address, worker);
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
  async function open(address: Address, routes: readonly Route[]): Promise<Result<Listener, WireError>> {
    const got = await httpServer.open(address, routes);
    if (got.ok) opened.set(address, routes);
    return got;
  }
  async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const route = opened.get(httpCall.address)?.find(isIt);
    if (!route) return httpClient.call(httpCall);
    const reply: HttpReply = await route.handle({
      method: httpCall.method,
      path: httpCall.path,
      params: {},
      query: {},
      headers: {},
      body: httpCall.body,
      gone: never,
    });
    return ok({ ...answer(reply.body ?? null), status: reply.status });
    function isIt(route: Route): boolean {
      return route.method === httpCall.method && route.path === httpCall.path;
    }
  }
  return { httpServer: { open }, httpClient: { call } };
}
function never(): boolean {
  return false;
}

export async function startHollowProxies(
  wanted: readonly HollowProxy[],
  depsOf: (hollowProxy: HollowProxy) => NodeDeps,
  clock: Clock,
): Promise<Result<HollowPart, WireError>> {
  type Held = { readonly of: HollowProxy; proxy: Proxy | null };
  const held: Held[] = [];
  const inForceAt: Record<number, number> = {};
  let least = 0;
  let partitionedMost = 0;

  async function start(held: Held): Promise<Result<null, WireError>> {
    const deps = depsOf(held.of);
    const id: NodeIdentity = {
      ...held.of,
      run: newId(deps.rng, 'run'),
      advertised: held.of.listen,
      httpListen: held.of.http,
    };
    const got = await startProxy(id, deps);
    if (!got.ok) return got;
    held.proxy = got.value;
    return ok(null);
  }
  for (const hollowProxy of wanted) {
    const proxy: Held = { of: hollowProxy, proxy: null };
    held.push(proxy);
    const got = await start(proxy);
    if (!got.ok) return err(got.error);
    await delay(clock, STARTS_EVERY_MS);
  }

  function look(): void {
    let now = Infinity;
    let partitioned = 0;
    for (const proxy of held) {
      const value = proxy.proxy?.view();
      if (!value) continue;
      now = Math.min(now, value.version);
      if (value.partitioned) partitioned += 1;
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
    for (const proxy of held) {
      const value = proxy.proxy?.view();
      if (value?.serving) serving += 1;
      if (value?.partitioned) partitioned += 1;
    }
    return { proxies: held.length, serving, partitioned, leastVersion: least, inForceAt, partitionedMost };
  }

  let next = 0;
  async function restart(count: number): Promise<void> {
    for (let i = 0; i < count && held.length > 0; i += 1) {
      const proxy = held[next % held.length] as Held;
      next += 1;
      const old = proxy.proxy;
      proxy.proxy = null;
      await old?.stop(STOP_MS);
      await start(proxy);
    }
  }
  async function stop(): Promise<void> {
    looking.cancel();
    const all: Promise<void>[] = [];
    for (const proxy of held) if (proxy.proxy) all.push(proxy.proxy.stop(STOP_MS));
    await Promise.all(all);
  }
  return ok({ tally, restart, stop });
}

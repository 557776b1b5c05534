/**
 * Hollow proxies and workers: many of them in one process and without requests, so that capacity measurements can run
 * the control traffic of a large deployment.
 */
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

/** The hollow proxies of this process; `tally` is written into the measurements as it is. */
export type HollowProxyGroup = {
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

/** Name, location and addresses of a hollow proxy. */
export type HollowProxy = Pick<
  NodeIdentity,
  'name' | 'zone' | 'region' | 'listen' | 'http' | 'seeds' | 'platform' | 'cloud'
>;

const CHECK_INTERVAL_MS = 20;
const WORKER_LIST_MAX_AGE_MS = 900;
const START_INTERVAL_MS = 20;
const STOP_TIMEOUT_MS = 10_000;

/** An HTTP server that does not listen, so that a proxy on it receives no requests and only does control work. */
export function createHollowHttpServer(): HttpServer {
  async function open(address: Address): Promise<Result<Listener, WireError>> {
    return ok({ address, close: closeNothing });
  }
  return { open };
}
async function closeNothing(): Promise<void> {
  return undefined;
}

/**
 * An HTTP client that reads the worker list once a second for all proxies of the process, and answers health checks of
 * the listed workers from it, so that hollow workers need no connections.
 */
export function createSharedListHttpClient(httpClient: HttpClient, clock: Clock): HttpClient {
  const listedWorkers = new Map<Address, ListedWorker>();
  let listResponse: Promise<Result<HttpAnswer, HttpError>> | null = null;
  let listReadAt = 0;
  async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const worker = httpCall.path === HEALTH_PATH ? listedWorkers.get(httpCall.address) : undefined;
    if (worker)
      return ok(
        jsonResponse({
          id: worker.id,
          incarnation: worker.machine,
          model: worker.model,
          state: worker.state,
          running: 0,
          readyForMs: 60_000,
        }),
      );
    if (httpCall.path !== WORKERS_PATH) return httpClient.call(httpCall);
    if (listResponse === null || clock.mono() - listReadAt > WORKER_LIST_MAX_AGE_MS) {
      listReadAt = clock.mono();
      listResponse = readList(httpCall);
    }
    return listResponse;
  }
  async function readList(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const response = await httpClient.call(httpCall);
    if (response.ok) {
      const list = readWorkerList(response.value.body);
      if (list.ok) for (const worker of list.value.workers) listedWorkers.set(worker.address, worker);
    }
    return response;
  }
  return { call };
}
function jsonResponse(body: unknown): HttpAnswer {
  return { status: 200, headers: {}, body, lines: noLines(), abandon: abandonNothing };
}
async function* noLines(): AsyncGenerator<never> {
  return;
}
function abandonNothing(): void {
  return undefined;
}

/** Servers of one process that call each other without a connection; all other calls go out. */
export function createLocalHttp(
  httpServer: HttpServer,
  httpClient: HttpClient,
): { readonly httpServer: HttpServer; readonly httpClient: HttpClient } {
  const routesAt = new Map<Address, readonly Route[]>();
  async function open(address: Address, routes: readonly Route[]): Promise<Result<Listener, WireError>> {
    const listener = await httpServer.open(address, routes);
    if (listener.ok) routesAt.set(address, routes);
    return listener;
  }
  async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const route = routesAt.get(httpCall.address)?.find(matchesCall);
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
    return ok({ ...jsonResponse(reply.body ?? null), status: reply.status });
    function matchesCall(route: Route): boolean {
      return route.method === httpCall.method && route.path === httpCall.path;
    }
  }
  return { httpServer: { open }, httpClient: { call } };
}
function never(): boolean {
  return false;
}

/** Starts the proxies one after the other and watches the configuration versions that they serve. */
export async function startHollowProxies(
  hollowProxies: readonly HollowProxy[],
  depsOf: (hollowProxy: HollowProxy) => NodeDeps,
  clock: Clock,
): Promise<Result<HollowProxyGroup, WireError>> {
  type RunningProxy = { readonly identity: HollowProxy; proxy: Proxy | null };
  const runningProxies: RunningProxy[] = [];
  const inForceAt: Record<number, number> = {};
  let minVersion = 0;
  let maxPartitioned = 0;

  async function start(entry: RunningProxy): Promise<Result<null, WireError>> {
    const deps = depsOf(entry.identity);
    const id: NodeIdentity = {
      ...entry.identity,
      run: newId(deps.rng, 'run'),
      advertised: entry.identity.listen,
      httpListen: entry.identity.http,
    };
    const started = await startProxy(id, deps);
    if (!started.ok) return started;
    entry.proxy = started.value;
    return ok(null);
  }
  for (const hollowProxy of hollowProxies) {
    const entry: RunningProxy = { identity: hollowProxy, proxy: null };
    runningProxies.push(entry);
    const started = await start(entry);
    if (!started.ok) return err(started.error);
    await delay(clock, START_INTERVAL_MS);
  }

  // Records when the lowest version of all proxies rises, and the largest number that were partitioned at once.
  function checkProxies(): void {
    let lowestVersion = Infinity;
    let partitioned = 0;
    for (const entry of runningProxies) {
      const view = entry.proxy?.view();
      if (!view) continue;
      lowestVersion = Math.min(lowestVersion, view.version);
      if (view.partitioned) partitioned += 1;
    }
    maxPartitioned = Math.max(maxPartitioned, partitioned);
    if (lowestVersion === Infinity || lowestVersion <= minVersion) return;
    minVersion = lowestVersion;
    inForceAt[lowestVersion] = clock.mono();
    for (const version of Object.keys(inForceAt))
      if (Object.keys(inForceAt).length > 200) delete inForceAt[Number(version)];
  }
  const checkTimer = every(clock, CHECK_INTERVAL_MS, checkProxies);

  function tally(): ReturnType<HollowProxyGroup['tally']> {
    let serving = 0;
    let partitioned = 0;
    for (const entry of runningProxies) {
      const view = entry.proxy?.view();
      if (view?.serving) serving += 1;
      if (view?.partitioned) partitioned += 1;
    }
    return {
      proxies: runningProxies.length,
      serving,
      partitioned,
      leastVersion: minVersion,
      inForceAt,
      partitionedMost: maxPartitioned,
    };
  }

  let nextIndex = 0;
  async function restart(count: number): Promise<void> {
    for (let i = 0; i < count && runningProxies.length > 0; i += 1) {
      const entry = runningProxies[nextIndex % runningProxies.length] as RunningProxy;
      nextIndex += 1;
      const stopping = entry.proxy;
      entry.proxy = null;
      await stopping?.stop(STOP_TIMEOUT_MS);
      await start(entry);
    }
  }
  async function stop(): Promise<void> {
    checkTimer.cancel();
    const stops: Promise<void>[] = [];
    for (const entry of runningProxies) if (entry.proxy) stops.push(entry.proxy.stop(STOP_TIMEOUT_MS));
    await Promise.all(stops);
  }
  return ok({ tally, restart, stop });
}

/** Simulated HTTP between processes, with delays, partitions and killed servers. */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type {
  HttpClient,
  HttpServer,
  HttpAnswer,
  HttpCall,
  HttpError,
  HttpReply,
  HttpRequest,
  Route,
} from '../transport/http.js';
import type { Address, Listener, WireError } from '../transport/wire.js';
import type { Host, Proc, World } from './world.js';

type OpenServer = { readonly proc: Proc; readonly routes: readonly Route[] };

/** HTTP servers and clients of processes; `calls` counts the calls of all clients. */
export type SimHttp = {
  readonly httpServerOf: (proc: Proc) => HttpServer;
  readonly httpClientOf: (proc: Proc) => HttpClient;
  readonly calls: () => number;
};

const CONNECT_MS = 1_000;

function matchRoute(route: Route, method: string, path: string): Record<string, string> | null {
  if (route.method !== method) return null;
  const routeSegments = route.path.split('/');
  const pathSegments = path.split('/');
  if (routeSegments.length !== pathSegments.length) return null;
  const params: Record<string, string> = {};
  for (let i = 0; i < routeSegments.length; i += 1) {
    const segment = routeSegments[i] as string;
    if (segment.startsWith(':')) params[segment.slice(1)] = decodeURIComponent(pathSegments[i] as string);
    else if (segment !== pathSegments[i]) return null;
  }
  return params;
}

function jsonCopy(value: unknown): unknown {
  return value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
}

async function* noLines(): AsyncGenerator<Result<unknown, HttpError>> {}

type ReceivedItem = { readonly result: Result<unknown, HttpError> | null };

/** Called when a server reads the body of a request. */
export type OnBody = (host: Host, path: string, body: unknown) => void;

/**
 * Creates the simulated HTTP transport. If a partition keeps a call from reaching its server, half of such calls fail
 * as never sent and the other half time out.
 */
export function createSimHttp(world: World, onBody: OnBody): SimHttp {
  const httpServers = new Map<Address, OpenServer>();
  const killListeners = new Map<Host, Set<() => void>>();
  let requestCount = 0;

  function onKill(host: Host): void {
    for (const [address, openServer] of httpServers) if (openServer.proc.host === host) httpServers.delete(address);
    const listeners = killListeners.get(host);
    killListeners.delete(host);
    for (const callback of listeners ?? []) callback();
  }
  world.onKill(onKill);

  function onHostKilled(host: Host, callback: () => void): () => void {
    const listeners = killListeners.get(host) ?? new Set();
    listeners.add(callback);
    killListeners.set(host, listeners);
    function unsubscribe(): void {
      listeners.delete(callback);
    }
    return unsubscribe;
  }

  function httpServerOf(proc: Proc): HttpServer {
    function open(address: Address, routes: readonly Route[]): Promise<Result<Listener, WireError>> {
      if (httpServers.has(address)) return Promise.resolve(err({ tag: 'addressInUse', address }));
      httpServers.set(address, { proc, routes });
      world.registerAddress(address, proc.host);
      function close(): Promise<void> {
        httpServers.delete(address);
        return Promise.resolve();
      }
      return Promise.resolve(ok({ address, close }));
    }
    return { open };
  }

  function httpClientOf(proc: Proc): HttpClient {
    function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
      requestCount += 1;
      function start(resolve: (result: Result<HttpAnswer, HttpError>) => void): void {
        exchange(proc, httpCall, resolve);
      }
      return new Promise(start);
    }
    return { call };
  }

  function exchange(proc: Proc, call: HttpCall, resolve: (result: Result<HttpAnswer, HttpError>) => void): void {
    let isSettled = false;
    let isOver = false;
    const target = world.ownerOf(call.address);
    const timeoutTimer = world.at(Math.min(call.timeoutMs, 2 ** 31), onTimeout);
    let failStream: ((httpError: HttpError) => void) | null = null;
    call.signal?.addEventListener('abort', onAbort);
    function onAbort(): void {
      if (!isSettled) settle(err({ tag: 'broken' }));
      else abandon();
    }

    function settle(result: Result<HttpAnswer, HttpError>): void {
      if (isSettled) return;
      isSettled = true;
      if (!result.ok || !call.stream) finish();
      world.run(proc, deliver);
      function deliver(): void {
        resolve(result);
      }
    }
    function finish(): void {
      isOver = true;
      timeoutTimer.cancel();
    }
    function onTimeout(): void {
      if (isSettled) failStream?.({ tag: 'timedOut' });
      else settle(err({ tag: 'timedOut' }));
      isOver = true;
    }
    function failNeverSent(): void {
      settle(err({ tag: 'neverSent' }));
    }
    if (!target || !target.powered) {
      world.at(Math.min(CONNECT_MS, call.timeoutMs), failNeverSent);
      return;
    }
    const targetHost = target;
    if (world.isCut(proc.host, targetHost) || world.isCut(targetHost, proc.host)) {
      if (world.isCut(proc.host, targetHost) && world.rng.next() < 0.5)
        world.at(Math.min(CONNECT_MS, call.timeoutMs), failNeverSent);
      else if (!world.isCut(proc.host, targetHost)) world.at(world.delay(proc.host, targetHost), onArrival);
      return;
    }
    world.at(world.delay(proc.host, targetHost), onArrival);

    function onArrival(): void {
      const httpServer = httpServers.get(call.address);
      if (!httpServer || !world.alive(httpServer.proc)) {
        sendBack(failNeverSent);
        return;
      }
      const unsubscribe = onHostKilled(targetHost, onServerKilled);
      function onServerKilled(): void {
        if (!targetHost.powered) return;
        sendBack(failBroken);
      }
      function failBroken(): void {
        if (isSettled) failStream?.({ tag: 'broken' });
        else settle(err({ tag: 'broken' }));
      }
      const openServer = httpServer;
      const arrivedAt = world.now();
      world.run(openServer.proc, serve);
      function serve(): void {
        void handle(openServer, unsubscribe, arrivedAt);
      }
    }

    function sendBack(callback: () => void): void {
      if (world.isCut(targetHost, proc.host)) return;
      world.at(world.delay(targetHost, proc.host), callback);
    }

    async function handle(httpServer: OpenServer, unsubscribe: () => void, arrivedAt: number): Promise<void> {
      const [path, search] = call.path.split('?') as [string, string | undefined];
      const query: Record<string, string> = {};
      for (const [key, value] of new URLSearchParams(search ?? '')) query[key] = value;
      let reply: HttpReply = { status: 404, body: { error: { tag: 'unknownPath' } } };
      for (const route of httpServer.routes) {
        const params = matchRoute(route, call.method, path);
        if (!params) continue;
        const req: HttpRequest = {
          method: call.method,
          path,
          params,
          query,
          headers: { ...call.headers },
          body: jsonCopy(call.body),
          gone,
          arrivedAt,
        };
        const earlyReply = route.earlyReply?.({ ...req, body: undefined });
        if (!earlyReply) onBody(httpServer.proc.host, path, req.body);
        reply = earlyReply ?? (await route.handle(req));
        break;
      }
      if (!world.alive(httpServer.proc)) return;
      const lines = reply.lines;
      const sent = reply.text ?? jsonCopy(reply.body) ?? null;
      const finalReply = reply;
      if (!lines) {
        unsubscribe();
        sendBack(settleComplete);
        return;
      }
      const items: ReceivedItem[] = [];
      let wake: (() => void) | null = null;
      let lastArrivalAt = 0;
      failStream = endWithError;
      function enqueue(item: ReceivedItem): void {
        items.push(item);
        world.run(proc, wakeReader);
      }
      function wakeReader(): void {
        wake?.();
        wake = null;
      }
      function endWithError(fault: HttpError): void {
        isOver = true;
        enqueue({ result: err(fault) });
        enqueue({ result: null });
      }
      async function* receivedLines(): AsyncGenerator<Result<unknown, HttpError>> {
        try {
          for (;;) {
            const item = items.shift();
            if (!item) {
              await new Promise<void>(waitForItem);
              continue;
            }
            if (item.result === null) return;
            yield item.result;
            if (!item.result.ok) return;
          }
        } finally {
          finish();
        }
      }
      function waitForItem(resolveItem: () => void): void {
        wake = resolveItem;
      }
      function sendItem(item: ReceivedItem): void {
        if (world.isCut(targetHost, proc.host)) return;
        const at = Math.max(lastArrivalAt + 0.001, world.now() + world.delay(targetHost, proc.host));
        lastArrivalAt = at;
        world.at(at - world.now(), onItemArrival);
        function onItemArrival(): void {
          if (!isOver) enqueue(item);
        }
      }
      sendBack(settleStreaming);
      for await (const line of lines) {
        if (isOver) break;
        sendItem({ result: ok(jsonCopy(line)) });
      }
      unsubscribe();
      sendItem({ result: null });
      function settleStreaming(): void {
        settle(
          ok({
            status: finalReply.status,
            headers: finalReply.headers ?? {},
            body: null,
            lines: receivedLines(),
            abandon,
          }),
        );
      }
      function settleComplete(): void {
        settle(
          ok({ status: finalReply.status, headers: finalReply.headers ?? {}, body: sent, lines: noLines(), abandon }),
        );
      }
    }
    function abandon(): void {
      if (!isOver) failStream?.({ tag: 'broken' });
      finish();
    }
    function gone(): boolean {
      return isOver || !world.alive(proc);
    }
  }

  function calls(): number {
    return requestCount;
  }
  return { httpServerOf, httpClientOf, calls };
}

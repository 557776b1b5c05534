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

type Open = { readonly proc: Proc; readonly routes: readonly Route[] };

export type SimHttp = {
  readonly httpServerOf: (proc: Proc) => HttpServer;
  readonly httpClientOf: (proc: Proc) => HttpClient;
  readonly calls: () => number;
};

const CONNECT_MS = 1_000;

function match(route: Route, method: string, path: string): Record<string, string> | null {
  if (route.method !== method) return null;
  const first = route.path.split('/');
  const second = path.split('/');
  if (first.length !== second.length) return null;
  const params: Record<string, string> = {};
  for (let i = 0; i < first.length; i += 1) {
    const want = first[i] as string;
    if (want.startsWith(':')) params[want.slice(1)] = decodeURIComponent(second[i] as string);
    else if (want !== second[i]) return null;
  }
  return params;
}

function copied(value: unknown): unknown {
  return value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
}

async function* nothing(): AsyncGenerator<Result<unknown, HttpError>> {}

type Item = { readonly queue: Result<unknown, HttpError> | null };

export type BodySeen = (host: Host, path: string, body: unknown) => void;

export function createSimHttp(world: World, onBody: BodySeen): SimHttp {
  const httpServers = new Map<Address, Open>();
  const onDeath = new Map<Host, Set<() => void>>();
  let made = 0;

  function onKill(host: Host): void {
    for (const [address, open] of httpServers) if (open.proc.host === host) httpServers.delete(address);
    const fns = onDeath.get(host);
    onDeath.delete(host);
    for (const callback of fns ?? []) callback();
  }
  world.onKill(onKill);

  function watchDeath(host: Host, callback: () => void): () => void {
    const set = onDeath.get(host) ?? new Set();
    set.add(callback);
    onDeath.set(host, set);
    function off(): void {
      set.delete(callback);
    }
    return off;
  }

  function httpServerOf(proc: Proc): HttpServer {
    function open(address: Address, routes: readonly Route[]): Promise<Result<Listener, WireError>> {
      if (httpServers.has(address)) return Promise.resolve(err({ tag: 'addressInUse', address }));
      httpServers.set(address, { proc, routes });
      world.own(address, proc.host);
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
      made += 1;
      function start(resolve: (result: Result<HttpAnswer, HttpError>) => void): void {
        exchange(proc, httpCall, resolve);
      }
      return new Promise(start);
    }
    return { call };
  }

  function exchange(proc: Proc, call: HttpCall, resolve: (result: Result<HttpAnswer, HttpError>) => void): void {
    let answered = false;
    let over = false;
    const target = world.ownerOf(call.address);
    const deadline = world.at(Math.min(call.timeoutMs, 2 ** 31), expire);
    let broke: ((httpError: HttpError) => void) | null = null;
    call.signal?.addEventListener('abort', aborted);
    function aborted(): void {
      if (!answered) linearizableRead(err({ tag: 'broken' }));
      else abandon();
    }

    function linearizableRead(result: Result<HttpAnswer, HttpError>): void {
      if (answered) return;
      answered = true;
      if (!result.ok || !call.stream) finish();
      world.run(proc, go);
      function go(): void {
        resolve(result);
      }
    }
    function finish(): void {
      over = true;
      deadline.cancel();
    }
    function expire(): void {
      if (answered) broke?.({ tag: 'timedOut' });
      else linearizableRead(err({ tag: 'timedOut' }));
      over = true;
    }
    function neverSent(): void {
      linearizableRead(err({ tag: 'neverSent' }));
    }
    if (!target || !target.powered) {
      world.at(Math.min(CONNECT_MS, call.timeoutMs), neverSent);
      return;
    }
    const there = target;
    if (world.isCut(proc.host, there) || world.isCut(there, proc.host)) {
      if (world.isCut(proc.host, there) && world.rng.next() < 0.5)
        world.at(Math.min(CONNECT_MS, call.timeoutMs), neverSent);
      else if (!world.isCut(proc.host, there)) world.at(world.delay(proc.host, there), arrive);
      return;
    }
    world.at(world.delay(proc.host, there), arrive);

    function arrive(): void {
      const httpServer = httpServers.get(call.address);
      if (!httpServer || !world.alive(httpServer.proc)) {
        back(neverSent);
        return;
      }
      const off = watchDeath(there, died);
      function died(): void {
        if (!there.powered) return;
        back(fail);
      }
      function fail(): void {
        if (answered) broke?.({ tag: 'broken' });
        else linearizableRead(err({ tag: 'broken' }));
      }
      const open = httpServer;
      const cameAt = world.now();
      world.run(open.proc, serve);
      function serve(): void {
        void handle(open, off, cameAt);
      }
    }

    function back(callback: () => void): void {
      if (world.isCut(there, proc.host)) return;
      world.at(world.delay(there, proc.host), callback);
    }

    async function handle(httpServer: Open, off: () => void, cameAt: number): Promise<void> {
      const [path, search] = call.path.split('?') as [string, string | undefined];
      const query: Record<string, string> = {};
      for (const [key, value] of new URLSearchParams(search ?? '')) query[key] = value;
      let reply: HttpReply = { status: 404, body: { error: { tag: 'unknownPath' } } };
      for (const route of httpServer.routes) {
        const params = match(route, call.method, path);
        if (!params) continue;
        const req: HttpRequest = {
          method: call.method,
          path,
          params,
          query,
          headers: { ...call.headers },
          body: copied(call.body),
          gone,
          arrivedAt: cameAt,
        };
        const early = route.earlyReply?.({ ...req, body: undefined });
        if (!early) onBody(httpServer.proc.host, path, req.body);
        reply = early ?? (await route.handle(req));
        break;
      }
      if (!world.alive(httpServer.proc)) return;
      const lines = reply.lines;
      const sent = reply.text ?? copied(reply.body) ?? null;
      const given = reply;
      if (!lines) {
        off();
        back(whole);
        return;
      }
      const items: Item[] = [];
      let wake: (() => void) | null = null;
      let lastAt = 0;
      broke = breakOff;
      function enqueue(item: Item): void {
        items.push(item);
        world.run(proc, poke);
      }
      function poke(): void {
        wake?.();
        wake = null;
      }
      function breakOff(fault: HttpError): void {
        over = true;
        enqueue({ queue: err(fault) });
        enqueue({ queue: null });
      }
      async function* received(): AsyncGenerator<Result<unknown, HttpError>> {
        try {
          for (;;) {
            const item = items.shift();
            if (!item) {
              await new Promise<void>(waitForItem);
              continue;
            }
            if (item.queue === null) return;
            yield item.queue;
            if (!item.queue.ok) return;
          }
        } finally {
          finish();
        }
      }
      function waitForItem(resolveItem: () => void): void {
        wake = resolveItem;
      }
      function post(item: Item): void {
        if (world.isCut(there, proc.host)) return;
        const at = Math.max(lastAt + 0.001, world.now() + world.delay(there, proc.host));
        lastAt = at;
        world.at(at - world.now(), arriveItem);
        function arriveItem(): void {
          if (!over) enqueue(item);
        }
      }
      back(streaming);
      for await (const line of lines) {
        if (over) break;
        post({ queue: ok(copied(line)) });
      }
      off();
      post({ queue: null });
      function streaming(): void {
        linearizableRead(
          ok({ status: given.status, headers: given.headers ?? {}, body: null, lines: received(), abandon }),
        );
      }
      function whole(): void {
        linearizableRead(
          ok({ status: given.status, headers: given.headers ?? {}, body: sent, lines: nothing(), abandon }),
        );
      }
    }
    function abandon(): void {
      if (!over) broke?.({ tag: 'broken' });
      finish();
    }
    function gone(): boolean {
      return over || !world.alive(proc);
    }
  }

  function calls(): number {
    return made;
  }
  return { httpServerOf, httpClientOf, calls };
}

import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type {
  HttpClient,
  HttpServer,
  HttpAnswer,
  HttpCall,
  HttpFault,
  HttpReply,
  HttpRequest,
  Route,
} from '../transport/http.js';
import type { Address, Listener, WireFault } from '../transport/wire.js';
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
  const a = route.path.split('/');
  const b = path.split('/');
  if (a.length !== b.length) return null;
  const params: Record<string, string> = {};
  for (let i = 0; i < a.length; i += 1) {
    const want = a[i] as string;
    if (want.startsWith(':')) params[want.slice(1)] = decodeURIComponent(b[i] as string);
    else if (want !== b[i]) return null;
  }
  return params;
}

function copied(v: unknown): unknown {
  return v === undefined ? undefined : (JSON.parse(JSON.stringify(v)) as unknown);
}

async function* nothing(): AsyncGenerator<Result<unknown, HttpFault>> {}

type Item = { readonly queue: Result<unknown, HttpFault> | null };

export type BodySeen = (host: Host, path: string, body: unknown) => void;

export function createSimHttp(world: World, onBody: BodySeen): SimHttp {
  const httpServers = new Map<Address, Open>();
  const onDeath = new Map<Host, Set<() => void>>();
  let made = 0;

  function onKill(host: Host): void {
    for (const [address, d] of httpServers) if (d.proc.host === host) httpServers.delete(address);
    const fns = onDeath.get(host);
    onDeath.delete(host);
    for (const fn of fns ?? []) fn();
  }
  world.onKill(onKill);

  function watchDeath(host: Host, fn: () => void): () => void {
    const set = onDeath.get(host) ?? new Set();
    set.add(fn);
    onDeath.set(host, set);
    function off(): void {
      set.delete(fn);
    }
    return off;
  }

  function httpServerOf(proc: Proc): HttpServer {
    function open(address: Address, routes: readonly Route[]): Promise<Result<Listener, WireFault>> {
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
    function call(c: HttpCall): Promise<Result<HttpAnswer, HttpFault>> {
      made += 1;
      function start(resolve: (r: Result<HttpAnswer, HttpFault>) => void): void {
        exchange(proc, c, resolve);
      }
      return new Promise(start);
    }
    return { call };
  }

  function exchange(proc: Proc, c: HttpCall, resolve: (r: Result<HttpAnswer, HttpFault>) => void): void {
    let answered = false;
    let over = false;
    const target = world.ownerOf(c.address);
    const deadline = world.at(Math.min(c.timeoutMs, 2 ** 31), expire);
    let broke: ((f: HttpFault) => void) | null = null;
    c.signal?.addEventListener('abort', aborted);
    function aborted(): void {
      if (!answered) linearizableRead(err({ tag: 'broken' }));
      else abandon();
    }

    function linearizableRead(r: Result<HttpAnswer, HttpFault>): void {
      if (answered) return;
      answered = true;
      if (!r.ok || !c.stream) finish();
      world.run(proc, go);
      function go(): void {
        resolve(r);
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
      world.at(Math.min(CONNECT_MS, c.timeoutMs), neverSent);
      return;
    }
    const there = target;
    if (world.isCut(proc.host, there) || world.isCut(there, proc.host)) {
      if (world.isCut(proc.host, there) && world.rng.next() < 0.5)
        world.at(Math.min(CONNECT_MS, c.timeoutMs), neverSent);
      else if (!world.isCut(proc.host, there)) world.at(world.delay(proc.host, there), arrive);
      return;
    }
    world.at(world.delay(proc.host, there), arrive);

    function arrive(): void {
      const httpServer = httpServers.get(c.address);
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
      const d = httpServer;
      const cameAt = world.now();
      world.run(d.proc, serve);
      function serve(): void {
        void handle(d, off, cameAt);
      }
    }

    function back(fn: () => void): void {
      if (world.isCut(there, proc.host)) return;
      world.at(world.delay(there, proc.host), fn);
    }

    async function handle(httpServer: Open, off: () => void, cameAt: number): Promise<void> {
      const [path, search] = c.path.split('?') as [string, string | undefined];
      const query: Record<string, string> = {};
      for (const [k, v] of new URLSearchParams(search ?? '')) query[k] = v;
      let reply: HttpReply = { status: 404, body: { error: { tag: 'unknownPath' } } };
      for (const route of httpServer.routes) {
        const params = match(route, c.method, path);
        if (!params) continue;
        const req: HttpRequest = {
          method: c.method,
          path,
          params,
          query,
          headers: { ...c.headers },
          body: copied(c.body),
          gone,
          cameAt,
        };
        const early = route.gate?.({ ...req, body: undefined });
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
      function push(item: Item): void {
        items.push(item);
        world.run(proc, poke);
      }
      function poke(): void {
        wake?.();
        wake = null;
      }
      function breakOff(fault: HttpFault): void {
        over = true;
        push({ queue: err(fault) });
        push({ queue: null });
      }
      async function* received(): AsyncGenerator<Result<unknown, HttpFault>> {
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
          if (!over) push(item);
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

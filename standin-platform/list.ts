import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { CALL, LISTED, QUERY, USAGE } from '../platform/words.js';
import type { Records } from './records.js';
import type { Seen } from './worker-spec.js';

export type ListSpec = {
  readonly ip: string;
  readonly port: number;
  readonly pageSize: number;
  readonly ratePerS: number;
  readonly maxLagMs: number;
};

export const LIST_DEFAULTS = { pageSize: 50, ratePerS: 40, maxLagMs: 800 } as const;

export type ListTrouble =
  { readonly mode: 'none' | 'down' | 'error' | 'nonsense' } | { readonly mode: 'slow'; readonly ms: number };

export type StandinList = {
  readonly address: () => string;
  readonly show: (worker: Seen) => void;
  readonly drop: (id: string) => void;
  readonly trouble: (listTrouble: ListTrouble) => void;
  readonly calls: () => number;
  readonly stop: () => Promise<void>;
};

type Held = { readonly worker: Seen; readonly at: number };

export async function startStandinList(spec: ListSpec, clock: Clock, records: Records): Promise<StandinList> {
  const shown = new Map<string, Held>();
  let mode: ListTrouble = { mode: 'none' };
  let calls = 0;
  let recent: number[] = [];
  const server: Server = createServer(onRequest);

  function later(callback: () => void): void {
    clock.timer(spec.maxLagMs, callback);
  }
  function show(worker: Seen): void {
    const at = clock.mono();
    function visible(): void {
      const was = shown.get(worker.id);
      if (was && was.worker.phase === 'draining' && worker.phase === 'serving') return;
      shown.set(worker.id, { worker, at });
      records.note({ what: 'listed', worker: worker.id, phase: worker.phase });
    }
    later(visible);
  }
  function drop(id: string): void {
    function unseen(): void {
      shown.delete(id);
      records.note({ what: 'listed', worker: id, phase: 'gone' });
    }
    later(unseen);
  }
  function trouble(listTrouble: ListTrouble): void {
    if (mode.mode !== listTrouble.mode) records.note({ what: 'listTrouble', on: listTrouble.mode !== 'none' });
    mode = listTrouble;
    if (listTrouble.mode === 'down') server.closeAllConnections();
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    void answer(req, res);
  }
  async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    calls += 1;
    if (mode.mode === 'down') return void req.socket.resetAndDestroy();
    if (mode.mode === 'slow') await delay(clock, mode.ms);
    const now = clock.mono();
    recent = recent.filter(fresh);
    function fresh(at: number): boolean {
      return now - at < 1_000;
    }
    if (recent.length >= spec.ratePerS) return send(res, 429, {});
    recent.push(now);
    const url = new URL(req.url ?? '/', 'http://list');
    if (req.method !== 'GET' || url.pathname !== CALL.workers) return send(res, 404, {});
    if (mode.mode === 'error') return send(res, 500, {});
    if (mode.mode === 'nonsense') return send(res, 200, { [LISTED.members]: 'many' });
    const zone = url.searchParams.get(QUERY.zone);
    const from = Number((url.searchParams.get(QUERY.pageToken) ?? 'p-0').slice(2));
    const all = [...shown.values()].filter(inZone);
    function inZone(held: Held): boolean {
      return zone === null || held.worker.zone === zone;
    }
    const page = all.slice(from, from + spec.pageSize);
    const next = from + spec.pageSize < all.length ? `p-${from + spec.pageSize}` : null;
    send(res, 200, { [LISTED.members]: page.map(entry), [LISTED.nextToken]: next });
  }
  function send(res: ServerResponse, status: number, body: unknown): void {
    records.note({ what: 'listCall', status });
    const text = JSON.stringify(body);
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) });
    res.end(text);
  }
  function entry(held: Held): Record<string, unknown> {
    const seen = held.worker;
    const gone = clock.mono() - held.at;
    return {
      [LISTED.model]: seen.model,
      [LISTED.address]: seen.address,
      [LISTED.zone]: seen.zone,
      [LISTED.software]: 'v1',
      [LISTED.batch]: seen.capacity,
      [LISTED.phase]: seen.phase === 'serving' ? LISTED.serving : LISTED.draining,
      [LISTED.coldMs]: Math.max(0, Math.round(seen.coldLeftMs - gone)),
      ...(seen.remainingMs === null ? {} : { [LISTED.remainingMs]: Math.max(0, Math.round(seen.remainingMs - gone)) }),
      ...(seen.weights === null
        ? {}
        : {
            [LISTED.stage]: 'colocated',
            [LISTED.models]: [{ [USAGE.name]: 'm', [USAGE.weights]: seen.weights, adapters: [] }],
          }),
      [LISTED.id]: seen.id,
    };
  }

  let port = spec.port;
  function listen(resolve: () => void, reject: (error: Error) => void): void {
    server.once('error', reject);
    function up(): void {
      const at = server.address();
      if (at && typeof at === 'object') port = at.port;
      resolve();
    }
    server.listen(port, spec.ip, up);
  }
  await new Promise<void>(listen);

  function stop(): Promise<void> {
    function begin(resolve: () => void): void {
      function done(): void {
        resolve();
      }
      server.close(done);
      server.closeAllConnections();
    }
    return new Promise<void>(begin);
  }
  function address(): string {
    return `${spec.ip}:${port}`;
  }
  function count(): number {
    return calls;
  }
  return { address, show, drop, trouble, calls: count, stop };
}

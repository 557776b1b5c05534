/** The stand-in of the platform API that lists workers, with lag, a rate limit, pages and faults. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { API_PATH, WORKER_LIST, QUERY_PARAMETER, USAGE } from '../platform/words.js';
import type { Records } from './records.js';
import type { ListedWorker } from './worker-spec.js';

/** Address and limits of the list; changes become visible after `maxLagMs`. */
export type ListSpec = {
  readonly ip: string;
  readonly port: number;
  readonly pageSize: number;
  readonly ratePerS: number;
  readonly maxLagMs: number;
};

/** What an `endless` answer repeats, and where it ends if nobody closes it. */
const ENDLESS_PART = Buffer.alloc(65_536, ' ');
const MAX_ENDLESS_BYTES = 1_073_741_824;

export const LIST_DEFAULTS = { pageSize: 50, ratePerS: 40, maxLagMs: 800 } as const;

/** A fault of the list; `nonsense` answers 200 with an invalid body, `endless` with one that does not end. */
export type ListFault =
  | { readonly mode: 'none' | 'down' | 'error' | 'nonsense' | 'endless' }
  | { readonly mode: 'slow'; readonly ms: number };

/** A running list and its controls. */
export type StandinList = {
  readonly address: () => string;
  readonly publish: (worker: ListedWorker) => void;
  readonly remove: (id: string) => void;
  readonly setFault: (newFault: ListFault) => void;
  readonly requestCount: () => number;
  readonly stop: () => Promise<void>;
};

type PublishedWorker = { readonly worker: ListedWorker; readonly at: number };

/** Starts the server and resolves once it listens. */
export async function startStandinList(spec: ListSpec, clock: Clock, records: Records): Promise<StandinList> {
  const published = new Map<string, PublishedWorker>();
  let fault: ListFault = { mode: 'none' };
  let requestCount = 0;
  let recentRequests: number[] = [];
  const server: Server = createServer(onRequest);

  function afterLag(callback: () => void): void {
    clock.timer(spec.maxLagMs, callback);
  }
  function publish(worker: ListedWorker): void {
    const at = clock.mono();
    function appear(): void {
      const previous = published.get(worker.id);
      if (previous && previous.worker.phase === 'draining' && worker.phase === 'serving') return;
      published.set(worker.id, { worker, at });
      records.add({ what: 'listed', worker: worker.id, phase: worker.phase });
    }
    afterLag(appear);
  }
  function remove(id: string): void {
    function disappear(): void {
      published.delete(id);
      records.add({ what: 'listed', worker: id, phase: 'gone' });
    }
    afterLag(disappear);
  }
  function setFault(newFault: ListFault): void {
    if (fault.mode !== newFault.mode) records.add({ what: 'listTrouble', on: newFault.mode !== 'none' });
    fault = newFault;
    if (newFault.mode === 'down') server.closeAllConnections();
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    void respond(req, res);
  }
  async function respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
    requestCount += 1;
    if (fault.mode === 'down') return void req.socket.resetAndDestroy();
    if (fault.mode === 'slow') await delay(clock, fault.ms);
    const now = clock.mono();
    recentRequests = recentRequests.filter(isWithinLastSecond);
    function isWithinLastSecond(at: number): boolean {
      return now - at < 1_000;
    }
    if (recentRequests.length >= spec.ratePerS) return send(res, 429, {});
    recentRequests.push(now);
    const url = new URL(req.url ?? '/', 'http://list');
    if (req.method !== 'GET' || url.pathname !== API_PATH.workers) return send(res, 404, {});
    if (fault.mode === 'error') return send(res, 500, {});
    if (fault.mode === 'endless') return sendEndless(res);
    if (fault.mode === 'nonsense') return send(res, 200, { [WORKER_LIST.members]: 'many' });
    const zone = url.searchParams.get(QUERY_PARAMETER.zone);
    const offset = Number((url.searchParams.get(QUERY_PARAMETER.pageToken) ?? 'p-0').slice(2));
    const inRequestedZone = [...published.values()].filter(isInRequestedZone);
    function isInRequestedZone(entry: PublishedWorker): boolean {
      return zone === null || entry.worker.zone === zone;
    }
    const page = inRequestedZone.slice(offset, offset + spec.pageSize);
    const nextToken = offset + spec.pageSize < inRequestedZone.length ? `p-${offset + spec.pageSize}` : null;
    send(res, 200, { [WORKER_LIST.members]: page.map(toWire), [WORKER_LIST.nextToken]: nextToken });
  }
  function send(res: ServerResponse, status: number, body: unknown): void {
    records.add({ what: 'listCall', status });
    const text = JSON.stringify(body);
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) });
    res.end(text);
  }
  function sendEndless(res: ServerResponse): void {
    let sent = 0;
    function sendMore(): void {
      while (!res.destroyed && sent < MAX_ENDLESS_BYTES) {
        sent += ENDLESS_PART.length;
        if (!res.write(ENDLESS_PART)) return;
      }
    }
    res.on('drain', sendMore);
    sendMore();
  }
  function toWire(entry: PublishedWorker): Record<string, unknown> {
    const worker = entry.worker;
    const elapsedMs = clock.mono() - entry.at;
    return {
      [WORKER_LIST.model]: worker.model,
      [WORKER_LIST.address]: worker.address,
      [WORKER_LIST.zone]: worker.zone,
      [WORKER_LIST.softwareVersion]: 'v1',
      [WORKER_LIST.batch]: worker.capacity,
      [WORKER_LIST.phase]: worker.phase === 'serving' ? WORKER_LIST.serving : WORKER_LIST.draining,
      [WORKER_LIST.coldMs]: Math.max(0, Math.round(worker.coldLeftMs - elapsedMs)),
      ...(worker.remainingMs === null
        ? {}
        : { [WORKER_LIST.remainingMs]: Math.max(0, Math.round(worker.remainingMs - elapsedMs)) }),
      ...(worker.weights === null
        ? {}
        : {
            [WORKER_LIST.stage]: 'colocated',
            [WORKER_LIST.models]: [{ [USAGE.name]: 'm', [USAGE.weightVersion]: worker.weights, adapters: [] }],
          }),
      [WORKER_LIST.id]: worker.id,
    };
  }

  let port = spec.port;
  function listen(resolve: () => void, reject: (error: Error) => void): void {
    server.once('error', reject);
    function onListening(): void {
      const bound = server.address();
      if (bound && typeof bound === 'object') port = bound.port;
      resolve();
    }
    server.listen(port, spec.ip, onListening);
  }
  await new Promise<void>(listen);

  function stop(): Promise<void> {
    function closeServer(resolve: () => void): void {
      function onClosed(): void {
        resolve();
      }
      server.close(onClosed);
      server.closeAllConnections();
    }
    return new Promise<void>(closeServer);
  }
  function address(): string {
    return `${spec.ip}:${port}`;
  }
  function getRequestCount(): number {
    return requestCount;
  }
  return { address, publish, remove, setFault, requestCount: getRequestCount, stop };
}

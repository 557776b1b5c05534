import { isTable } from '../base/is-table.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from '../transport/http.js';
import type { Result } from '../base/result.js';
import type { Address, WireMeter } from '../transport/wire.js';

export type Place = { readonly role: string; readonly zone: string; readonly region: string };
export type Places = Readonly<Record<Address, Place>>;

export type TallyRow = { n: number; bytes: number };
export type TallyTable = Readonly<Record<string, Readonly<TallyRow>>>;

export type Tally = {
  readonly meterOf: (own: Place) => WireMeter;
  readonly countedHttpClient: (own: Place, httpClient: HttpClient) => HttpClient;
  readonly rows: () => TallyTable;
};

const HEADERS_BYTES = 300;
const WEIGHED_EACH = 16;

export function distance(left: Place, right: Place): 'inZone' | 'betweenZones' | 'betweenRegions' {
  if (left.region !== right.region) return 'betweenRegions';
  return left.zone === right.zone ? 'inZone' : 'betweenZones';
}

function kindOf(body: unknown): string {
  if (!isTable(body) || !isTable(body['m'])) return 'unknown';
  return String(body['m']['kind']);
}

// Frames are counted by the end that dialled, so that each counts once in a fleet.
export function createTally(places: Places): Tally {
  const rows: Record<string, TallyRow> = {};
  const weights = new Map<string, { calls: number; bytes: number }>();

  function add(key: string, count: number, bytes: number): void {
    const row = rows[key];
    if (row) {
      row.n += count;
      row.bytes += bytes;
    } else rows[key] = { n: count, bytes };
  }

  function keyOf(own: Place, peer: Address, what: string): string {
    const there = places[peer];
    return `${own.role} ${there?.role ?? 'unknown'} ${there ? distance(own, there) : 'betweenRegions'} ${what}`;
  }

  function meterOf(own: Place): WireMeter {
    function frame(way: 'out' | 'in', peer: Address, dialled: boolean, bytes: number, body: unknown): void {
      if (dialled) add(keyOf(own, peer, `${way} ${kindOf(body)}`), 1, bytes);
    }
    function connections(peer: Address, dialled: boolean, step: 1 | -1): void {
      if (!dialled) return;
      add(keyOf(own, peer, 'connections open'), step, 0);
      if (step === 1) add(keyOf(own, peer, 'connections dialled'), 1, 0);
    }
    return { frame, connections };
  }

  function weigh(key: string, body: unknown): number {
    const worker = weights.get(key) ?? { calls: 0, bytes: 0 };
    if (worker.calls % WEIGHED_EACH === 0) worker.bytes = body === undefined ? 0 : JSON.stringify(body).length;
    worker.calls += 1;
    weights.set(key, worker);
    return worker.bytes + HEADERS_BYTES;
  }

  function countedHttpClient(own: Place, httpClient: HttpClient): HttpClient {
    async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
      const path = httpCall.path.replace(/\?.*$/, '').replace(/\/[^/]*\d[^/]*$/, '/:id');
      const out = keyOf(own, httpCall.address, `out ${httpCall.method}:${path}`);
      add(out, 1, weigh(out, httpCall.body));
      const got = await httpClient.call(httpCall);
      const back = keyOf(own, httpCall.address, `in ${httpCall.method}:${path}`);
      if (got.ok) add(back, 1, weigh(back, httpCall.stream ? undefined : got.value.body));
      return got;
    }
    return { call };
  }

  function table(): TallyTable {
    return rows;
  }
  return { meterOf, countedHttpClient, rows: table };
}

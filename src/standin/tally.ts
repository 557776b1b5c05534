/** Counts messages and bytes between nodes by role, distance and kind, for capacity measurements. */
import { isJsonObject } from '../base/is-json-object.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from '../transport/http.js';
import type { Result } from '../base/result.js';
import type { Address, WireMeter } from '../transport/wire.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** Role and location of a node. */
export type NodeLocation = { readonly role: string; readonly zone: string; readonly region: string };
/** Locations by address. */
export type NodeLocations = Readonly<Record<Address, NodeLocation>>;

/** Number of messages and their bytes. */
export type TrafficCount = { n: number; bytes: number };
/** Counts by roles, distance, direction and kind of message. */
export type TrafficCounts = Readonly<Record<string, Readonly<TrafficCount>>>;

/** Meters for the wire and the HTTP client of a node, and the counts so far. */
export type TrafficTally = {
  readonly meterOf: (own: NodeLocation) => WireMeter;
  readonly meteredHttpClient: (own: NodeLocation, httpClient: HttpClient) => HttpClient;
  readonly rows: () => TrafficCounts;
};

const ESTIMATED_HEADER_BYTES = 300;
// The size of a body is measured once in so many calls of a kind; the calls between count the last size.
const CALLS_PER_SIZE_SAMPLE = 16;

/** The distance between two nodes. */
export function distance(left: NodeLocation, right: NodeLocation): 'inZone' | 'betweenZones' | 'betweenRegions' {
  if (left.region !== right.region) return 'betweenRegions';
  return left.zone === right.zone ? 'inZone' : 'betweenZones';
}

function messageKindOf(body: unknown): string {
  if (!isJsonObject(body) || !isJsonObject(body['m'])) return 'unknown';
  return String(body['m']['kind']);
}

/** A tally of no traffic yet. Only the end that dialled counts frames, so that each is counted once in a fleet. */
export function createTally(places: NodeLocations): TrafficTally {
  const rows: Record<string, TrafficCount> = {};
  const bodySizes = new Map<string, { calls: number; bytes: number }>();

  function add(key: string, count: number, bytes: number): void {
    const row = ownValue(rows, key);
    if (row) {
      row.n += count;
      row.bytes += bytes;
    } else setOwnValue(rows, key, { n: count, bytes });
  }

  function keyOf(own: NodeLocation, peer: Address, traffic: string): string {
    const peerLocation = ownValue(places, peer);
    return `${own.role} ${peerLocation?.role ?? 'unknown'} ${peerLocation ? distance(own, peerLocation) : 'betweenRegions'} ${traffic}`;
  }

  function meterOf(own: NodeLocation): WireMeter {
    function frame(direction: 'out' | 'in', peer: Address, dialled: boolean, bytes: number, body: unknown): void {
      if (dialled) add(keyOf(own, peer, `${direction} ${messageKindOf(body)}`), 1, bytes);
    }
    function connections(peer: Address, dialled: boolean, step: 1 | -1): void {
      if (!dialled) return;
      add(keyOf(own, peer, 'connections open'), step, 0);
      if (step === 1) add(keyOf(own, peer, 'connections dialled'), 1, 0);
    }
    return { frame, connections };
  }

  function estimateBytes(key: string, body: unknown): number {
    const sample = bodySizes.get(key) ?? { calls: 0, bytes: 0 };
    if (sample.calls % CALLS_PER_SIZE_SAMPLE === 0) sample.bytes = body === undefined ? 0 : JSON.stringify(body).length;
    sample.calls += 1;
    bodySizes.set(key, sample);
    return sample.bytes + ESTIMATED_HEADER_BYTES;
  }

  function countedHttpClient(own: NodeLocation, httpClient: HttpClient): HttpClient {
    async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
      const path = httpCall.path.replace(/\?.*$/, '').replace(/\/[^/]*\d[^/]*$/, '/:id');
      const requestKey = keyOf(own, httpCall.address, `out ${httpCall.method}:${path}`);
      add(requestKey, 1, estimateBytes(requestKey, httpCall.body));
      const response = await httpClient.call(httpCall);
      const responseKey = keyOf(own, httpCall.address, `in ${httpCall.method}:${path}`);
      if (response.ok)
        add(responseKey, 1, estimateBytes(responseKey, httpCall.stream ? undefined : response.value.body));
      return response;
    }
    return { call };
  }

  function currentRows(): TrafficCounts {
    return rows;
  }
  return { meterOf, meteredHttpClient: countedHttpClient, rows: currentRows };
}

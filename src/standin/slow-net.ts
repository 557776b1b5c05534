/**
 * Network faults between real processes: delays by pair of zones, and partitions that the switch file turns on and off.
 * A partition holds back frames and responses that are under way, and makes new connections and calls fail.
 */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Clock } from '../transport/clock.js';
import { delay } from '../transport/clock.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from '../transport/http.js';
import type { FaultSwitches } from '../transport/switch-file.js';
import type { Address, Connection, ConnectionEvents, Wire, WireError } from '../transport/wire.js';
import { ownValue } from '../base/own-value.js';

/** Delay in each direction, and whether a direction is partitioned now. */
export type NetworkPath = {
  readonly delayMs: number;
  readonly isOutPartitioned: () => boolean;
  readonly isInPartitioned: () => boolean;
};
/** Looks up the path to an address. */
export type PathLookup = (address: Address) => NetworkPath;

const PARTITION_CHECK_INTERVAL_MS = 50;
const CONNECT_TIMEOUT_MS = 1_000;

function never(): boolean {
  return false;
}

/** Paths from `zone`; addresses without a known zone have no delay and are never partitioned. */
export function createPathLookup(
  zone: string,
  zones: Readonly<Record<string, string>>,
  delayMs: Readonly<Record<string, number>>,
  switches: FaultSwitches,
): PathLookup {
  function pathTo(address: Address): NetworkPath {
    const knownZone = ownValue(zones, address);
    if (knownZone === undefined) return { delayMs: 0, isOutPartitioned: never, isInPartitioned: never };
    const peerZone = knownZone;
    function isOutPartitioned(): boolean {
      return switches.isPartitioned(zone, peerZone);
    }
    function isInPartitioned(): boolean {
      return switches.isPartitioned(peerZone, zone);
    }
    return {
      delayMs: ownValue(delayMs, `${zone}|${peerZone}`) ?? ownValue(delayMs, `${peerZone}|${zone}`) ?? 0,
      isOutPartitioned,
      isInPartitioned,
    };
  }
  return pathTo;
}

/** Adds delays and partitions to the connections that it dials. */
export function createSlowWire(wire: Wire, clock: Clock, pathTo: PathLookup): Wire {
  // Delivers in order after the delay, and holds items back while the direction is partitioned.
  function createDelayQueue(delayMs: number, isPartitioned: () => boolean): (item: () => void) => void {
    const ready: (() => void)[] = [];
    function flush(): void {
      if (isPartitioned()) {
        clock.timer(PARTITION_CHECK_INTERVAL_MS, flush);
        return;
      }
      for (const deliver of ready.splice(0)) deliver();
    }
    function enqueue(deliver: () => void): void {
      function onDue(): void {
        ready.push(deliver);
        if (ready.length === 1) flush();
      }
      clock.timer(delayMs, onDue);
    }
    return enqueue;
  }
  function slowConnection(connection: Connection, path: NetworkPath): Connection {
    const enqueueOutbound = createDelayQueue(path.delayMs, path.isOutPartitioned);
    const enqueueInbound = createDelayQueue(path.delayMs, path.isInPartitioned);
    function send(body: unknown): void {
      function deliver(): void {
        connection.send(body);
      }
      enqueueOutbound(deliver);
    }
    function attach(events: ConnectionEvents): void {
      function onFrame(body: unknown): void {
        function deliver(): void {
          events.frame(body);
        }
        enqueueInbound(deliver);
      }
      function onClosed(): void {
        enqueueInbound(events.closed);
      }
      connection.attach({ frame: onFrame, closed: onClosed });
    }
    return { peer: connection.peer, send, attach, close: () => connection.close() };
  }
  async function dial(address: Address): Promise<Result<Connection, WireError>> {
    const path = pathTo(address);
    if (path.isOutPartitioned() || path.isInPartitioned()) {
      await delay(clock, CONNECT_TIMEOUT_MS);
      return err({ tag: 'unreachable', address });
    }
    if (path.delayMs > 0) await delay(clock, 2 * path.delayMs);
    const dialled = await wire.dial(address);
    return dialled.ok ? ok(slowConnection(dialled.value, path)) : dialled;
  }
  return { listen: (address, onConnection) => wire.listen(address, onConnection), dial };
}

/** Adds delays and partitions to outgoing calls. */
export function createSlowHttpClient(httpClient: HttpClient, clock: Clock, pathTo: PathLookup): HttpClient {
  async function* slowLines(lines: HttpAnswer['lines'], path: NetworkPath): AsyncGenerator<Result<unknown, HttpError>> {
    let isFirst = true;
    for await (const line of lines) {
      if (isFirst) await delay(clock, path.delayMs);
      isFirst = false;
      while (path.isInPartitioned()) await delay(clock, PARTITION_CHECK_INTERVAL_MS);
      yield line;
    }
  }
  async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const path = pathTo(httpCall.address);
    const deadline = clock.mono() + httpCall.timeoutMs;
    if (path.delayMs > 0) await delay(clock, path.delayMs);
    if (path.isOutPartitioned()) {
      await delay(clock, Math.min(CONNECT_TIMEOUT_MS, httpCall.timeoutMs));
      return err({ tag: 'neverSent' });
    }
    const response = await httpClient.call(httpCall);
    while (path.isInPartitioned() && httpCall.signal?.aborted !== true) {
      if (clock.mono() >= deadline) return err({ tag: 'timedOut' });
      await delay(clock, PARTITION_CHECK_INTERVAL_MS);
    }
    if (httpCall.signal?.aborted === true) return err({ tag: 'broken' });
    if (!response.ok) return response;
    if (httpCall.stream) return ok({ ...response.value, lines: slowLines(response.value.lines, path) });
    if (path.delayMs > 0) await delay(clock, path.delayMs);
    return response;
  }
  return { call };
}

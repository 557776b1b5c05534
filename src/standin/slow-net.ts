import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Clock } from '../transport/clock.js';
import { delay } from '../transport/clock.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from '../transport/http.js';
import type { Switches } from '../transport/switch-file.js';
import type { Address, Connection, ConnectionEvents, Wire, WireError } from '../transport/wire.js';

export type Path = { readonly delayMs: number; readonly outCut: () => boolean; readonly inCut: () => boolean };
export type PathTo = (address: Address) => Path;

const HELD_LOOK_MS = 50;
const CONNECT_MS = 1_000;

function never(): boolean {
  return false;
}

export function pathTable(
  zone: string,
  zones: Readonly<Record<string, string>>,
  delayMs: Readonly<Record<string, number>>,
  switches: Switches,
): PathTo {
  function pathTo(address: Address): Path {
    const to = zones[address];
    if (to === undefined) return { delayMs: 0, outCut: never, inCut: never };
    const there = to;
    function outCut(): boolean {
      return switches.isPartitioned(zone, there);
    }
    function inCut(): boolean {
      return switches.isPartitioned(there, zone);
    }
    return { delayMs: delayMs[`${zone}|${there}`] ?? delayMs[`${there}|${zone}`] ?? 0, outCut, inCut };
  }
  return pathTo;
}

export function slowWire(wire: Wire, clock: Clock, pathTo: PathTo): Wire {
  function inOrder(ms: number, isCut: () => boolean): (item: () => void) => void {
    const held: (() => void)[] = [];
    function pump(): void {
      if (isCut()) {
        clock.timer(HELD_LOOK_MS, pump);
        return;
      }
      for (const item of held.splice(0)) item();
    }
    function put(item: () => void): void {
      function due(): void {
        held.push(item);
        if (held.length === 1) pump();
      }
      clock.timer(ms, due);
    }
    return put;
  }
  function slowConnection(connection: Connection, path: Path): Connection {
    const out = inOrder(path.delayMs, path.outCut);
    const back = inOrder(path.delayMs, path.inCut);
    function send(body: unknown): void {
      function go(): void {
        connection.send(body);
      }
      out(go);
    }
    function attach(events: ConnectionEvents): void {
      function frame(body: unknown): void {
        function go(): void {
          events.frame(body);
        }
        back(go);
      }
      function closed(): void {
        back(events.closed);
      }
      connection.attach({ frame, closed });
    }
    return { peer: connection.peer, send, attach, close: () => connection.close() };
  }
  async function dial(address: Address): Promise<Result<Connection, WireError>> {
    const path = pathTo(address);
    if (path.outCut() || path.inCut()) {
      await delay(clock, CONNECT_MS);
      return err({ tag: 'unreachable', address });
    }
    if (path.delayMs > 0) await delay(clock, 2 * path.delayMs);
    const got = await wire.dial(address);
    return got.ok ? ok(slowConnection(got.value, path)) : got;
  }
  return { listen: (address, onConnection) => wire.listen(address, onConnection), dial };
}

export function slowHttpClient(httpClient: HttpClient, clock: Clock, pathTo: PathTo): HttpClient {
  async function* slowLines(lines: HttpAnswer['lines'], path: Path): AsyncGenerator<Result<unknown, HttpError>> {
    let first = true;
    for await (const line of lines) {
      if (first) await delay(clock, path.delayMs);
      first = false;
      while (path.inCut()) await delay(clock, HELD_LOOK_MS);
      yield line;
    }
  }
  async function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    const path = pathTo(httpCall.address);
    const until = clock.mono() + httpCall.timeoutMs;
    if (path.delayMs > 0) await delay(clock, path.delayMs);
    if (path.outCut()) {
      await delay(clock, Math.min(CONNECT_MS, httpCall.timeoutMs));
      return err({ tag: 'neverSent' });
    }
    const got = await httpClient.call(httpCall);
    while (path.inCut() && httpCall.signal?.aborted !== true) {
      if (clock.mono() >= until) return err({ tag: 'timedOut' });
      await delay(clock, HELD_LOOK_MS);
    }
    if (httpCall.signal?.aborted === true) return err({ tag: 'broken' });
    if (!got.ok) return got;
    if (httpCall.stream) return ok({ ...got.value, lines: slowLines(got.value.lines, path) });
    if (path.delayMs > 0) await delay(clock, path.delayMs);
    return got;
  }
  return { call };
}

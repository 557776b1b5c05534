import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Address, Connection, ConnectionEvents, Listener, Wire, WireError } from '../transport/wire.js';
import { createLinkRates, createPipe } from './link-rates.js';
import type { LinkRates, Pipe } from './link-rates.js';
import type { Host, Proc, World } from './world.js';

type End = {
  readonly proc: Proc;
  events: ConnectionEvents | null;
  closed: boolean;
  lastAt: number;
  readonly pipe: Pipe;
  readonly early: unknown[];
  readonly held: Held[];
};
type Held = { readonly body: string | null; readonly since: number };
type Listening = { readonly proc: Proc; readonly onConnection: (connection: Connection) => void };

export type Turbulence = { readonly slow: number; readonly twice: number; readonly overtake: number };

export const CALM: Turbulence = { slow: 0, twice: 0, overtake: 0 };
const SLOW_MS = 400;

export type SimNet = {
  readonly disturb: (turbulence: Turbulence) => void;
  readonly rates: LinkRates;
  readonly wireOf: (proc: Proc) => Wire;
  readonly sent: () => { readonly frames: number; readonly bytes: number };
};

const DIAL_TIMEOUT_MS = 1_000;
const HELD_MOST_MS = 6_000;

export function createSimNet(world: World): SimNet {
  const listeners = new Map<Address, Listening>();
  const pairs = new Set<readonly [End, End]>();
  const rates = createLinkRates();
  let frames = 0;
  let bytes = 0;
  let air = CALM;

  function disturb(turbulence: Turbulence): void {
    air = turbulence;
  }

  function onKill(host: Host): void {
    for (const [address, listening] of listeners) if (listening.proc.host === host) listeners.delete(address);
    for (const pair of [...pairs]) {
      const [end, farEnd] = pair;
      if (end.proc.host !== host && farEnd.proc.host !== host) continue;
      const gone = end.proc.host === host ? end : farEnd;
      const left = gone === end ? farEnd : end;
      gone.closed = true;
      if (host.powered) deliver(gone, left, null);
    }
  }
  world.onKill(onKill);

  function onHeal(): void {
    for (const [end, farEnd] of pairs) {
      flush(end, farEnd);
      flush(farEnd, end);
    }
  }
  world.onHeal(onHeal);

  function flush(from: End, to: End): void {
    if (from.held.length === 0 || world.isCut(from.proc.host, to.proc.host)) return;
    const held = from.held.splice(0);
    const stale = held.some(tooOld);
    if (stale) {
      closeEnd(from);
      closeEnd(to);
      return;
    }
    for (const frame of held) post(from, to, frame.body);
    function tooOld(held: Held): boolean {
      return world.now() - held.since > HELD_MOST_MS;
    }
  }

  function closeEnd(end: End): void {
    if (end.closed) return;
    end.closed = true;
    world.run(end.proc, tell);
    function tell(): void {
      end.events?.closed();
    }
  }

  function deliver(from: End, to: End, body: string | null): void {
    if (world.isCut(from.proc.host, to.proc.host) || from.held.length > 0) {
      from.held.push({ body, since: world.now() });
      return;
    }
    post(from, to, body);
  }

  function post(from: End, to: End, body: string | null): void {
    const slow = air.slow > 0 && world.rng.next() < air.slow ? SLOW_MS * world.rng.next() : 0;
    const delayMs = world.delay(from.proc.host, to.proc.host);
    const bytes = body === null ? 0 : body.length;
    const hold = rates.holdMs({
      from: from.proc.host,
      to: to.proc.host,
      bytes,
      now: world.now(),
      delayMs,
      pipe: from.pipe,
    });
    const due = world.now() + hold + delayMs + slow;
    const overtakes = body !== null && air.overtake > 0 && world.rng.next() < air.overtake;
    const at = overtakes ? due : Math.max(from.lastAt + 0.001, due);
    if (!overtakes) from.lastAt = at;
    world.at(at - world.now(), arrive);
    if (body !== null && air.twice > 0 && world.rng.next() < air.twice)
      world.at(at - world.now() + SLOW_MS * world.rng.next(), arrive);
    function arrive(): void {
      if (!world.alive(to.proc)) {
        if (to.proc.host.powered && body !== null) deliver(to, from, null);
        return;
      }
      world.run(to.proc, take);
    }
    function take(): void {
      if (to.closed) return;
      if (body === null) {
        to.closed = true;
        to.events?.closed();
      } else if (to.events) to.events.frame(JSON.parse(body) as unknown);
      else to.early.push(JSON.parse(body));
    }
  }

  function connectionOf(own: End, other: End, peer: string): Connection {
    function send(body: unknown): void {
      if (own.closed || !world.alive(own.proc)) return;
      const text = JSON.stringify(body);
      frames += 1;
      bytes += text.length;
      deliver(own, other, text);
    }
    function close(): void {
      if (own.closed) return;
      own.closed = true;
      deliver(own, other, null);
      own.events?.closed();
    }
    function attach(events: ConnectionEvents): void {
      own.events = events;
      if (own.closed) {
        events.closed();
        return;
      }
      for (const body of own.early.splice(0)) events.frame(body);
    }
    return { peer, send, close, attach };
  }

  function endOf(proc: Proc): End {
    return { proc, events: null, closed: false, lastAt: 0, pipe: createPipe(), early: [], held: [] };
  }

  function wireOf(proc: Proc): Wire {
    function listen(
      address: Address,
      onConnection: (connection: Connection) => void,
    ): Promise<Result<Listener, WireError>> {
      if (listeners.has(address)) return Promise.resolve(err({ tag: 'addressInUse', address }));
      listeners.set(address, { proc, onConnection });
      world.own(address, proc.host);
      function close(): Promise<void> {
        listeners.delete(address);
        return Promise.resolve();
      }
      return Promise.resolve(ok({ address, close }));
    }

    function dial(address: Address): Promise<Result<Connection, WireError>> {
      function start(resolve: (result: Result<Connection, WireError>) => void): void {
        const target = world.ownerOf(address);
        function fail(): void {
          world.run(proc, failed);
        }
        function failed(): void {
          resolve(err({ tag: 'unreachable', address }));
        }
        if (!target || !target.powered || world.isCut(proc.host, target) || world.isCut(target, proc.host)) {
          world.at(DIAL_TIMEOUT_MS, fail);
          return;
        }
        const there = target;
        world.at(2 * world.delay(proc.host, there), arrive);
        function arrive(): void {
          const l = listeners.get(address);
          if (!l || !world.alive(l.proc)) {
            fail();
            return;
          }
          const ours = endOf(proc);
          const theirs = endOf(l.proc);
          pairs.add([ours, theirs]);
          function accept(): void {
            l?.onConnection(connectionOf(theirs, ours, proc.host.name));
          }
          world.run(l.proc, accept);
          function connected(): void {
            resolve(ok(connectionOf(ours, theirs, address)));
          }
          world.run(proc, connected);
          sweep();
        }
      }
      return new Promise(start);
    }
    return { listen, dial };
  }

  function sweep(): void {
    if (pairs.size < 2_000) return;
    for (const pair of pairs) if (pair[0].closed && pair[1].closed) pairs.delete(pair);
  }
  function sent(): { readonly frames: number; readonly bytes: number } {
    return { frames, bytes };
  }
  return { wireOf, sent, disturb, rates };
}

/** Simulated connections between processes: delays, partitions, and delayed, duplicated and reordered frames. */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Address, Connection, ConnectionEvents, Listener, Wire, WireError } from '../transport/wire.js';
import { createLinkRates, createSendWindow } from './link-rates.js';
import type { LinkRates, SendWindow } from './link-rates.js';
import type { Host, Proc, World } from './world.js';

type Endpoint = {
  readonly proc: Proc;
  events: ConnectionEvents | null;
  closed: boolean;
  lastArrivalAt: number;
  readonly sendWindow: SendWindow;
  readonly unreadFrames: unknown[];
  readonly blockedFrames: BlockedFrame[];
};
type BlockedFrame = { readonly body: string | null; readonly since: number };
type OpenListener = { readonly proc: Proc; readonly onConnection: (connection: Connection) => void };

/** Probabilities that a frame is delayed by up to 400 ms, delivered twice, or may overtake earlier frames. */
export type FrameDisturbance = {
  readonly delayProbability: number;
  readonly duplicateProbability: number;
  readonly reorderProbability: number;
};

/** No disturbance of frames. */
export const NO_DISTURBANCE: FrameDisturbance = { delayProbability: 0, duplicateProbability: 0, reorderProbability: 0 };
const MAX_EXTRA_DELAY_MS = 400;

/** The simulated network; `sent` counts the frames and bytes of all processes. */
export type SimNet = {
  readonly setFrameDisturbance: (newDisturbance: FrameDisturbance) => void;
  readonly rates: LinkRates;
  readonly wireOf: (proc: Proc) => Wire;
  readonly sent: () => { readonly frames: number; readonly bytes: number };
};

const DIAL_TIMEOUT_MS = 1_000;
const MAX_BLOCKED_MS = 6_000;

/**
 * Creates the network. Frames on a partitioned link wait until it heals; if one has then waited for more than 6 s, both
 * ends of the connection are closed, as after a TCP timeout.
 */
export function createSimNet(world: World): SimNet {
  const listeners = new Map<Address, OpenListener>();
  const endpointPairs = new Set<readonly [Endpoint, Endpoint]>();
  const rates = createLinkRates();
  let frames = 0;
  let bytes = 0;
  let disturbance = NO_DISTURBANCE;

  function setFrameDisturbance(newDisturbance: FrameDisturbance): void {
    disturbance = newDisturbance;
  }

  function onKill(host: Host): void {
    for (const [address, listening] of listeners) if (listening.proc.host === host) listeners.delete(address);
    for (const pair of [...endpointPairs]) {
      const [end, farEnd] = pair;
      if (end.proc.host !== host && farEnd.proc.host !== host) continue;
      const killedEnd = end.proc.host === host ? end : farEnd;
      const survivingEnd = killedEnd === end ? farEnd : end;
      killedEnd.closed = true;
      if (host.powered) deliver(killedEnd, survivingEnd, null);
    }
  }
  world.onKill(onKill);

  function onHeal(): void {
    for (const [end, farEnd] of endpointPairs) {
      sendBlocked(end, farEnd);
      sendBlocked(farEnd, end);
    }
  }
  world.onHeal(onHeal);

  function sendBlocked(from: Endpoint, to: Endpoint): void {
    if (from.blockedFrames.length === 0 || world.isCut(from.proc.host, to.proc.host)) return;
    const blockedFrames = from.blockedFrames.splice(0);
    const hasExpired = blockedFrames.some(isExpired);
    if (hasExpired) {
      closeEnd(from);
      closeEnd(to);
      return;
    }
    for (const frame of blockedFrames) transmit(from, to, frame.body);
    function isExpired(frame: BlockedFrame): boolean {
      return world.now() - frame.since > MAX_BLOCKED_MS;
    }
  }

  function closeEnd(end: Endpoint): void {
    if (end.closed) return;
    end.closed = true;
    world.run(end.proc, notifyClosed);
    function notifyClosed(): void {
      end.events?.closed();
    }
  }

  function deliver(from: Endpoint, to: Endpoint, body: string | null): void {
    if (world.isCut(from.proc.host, to.proc.host) || from.blockedFrames.length > 0) {
      from.blockedFrames.push({ body, since: world.now() });
      return;
    }
    transmit(from, to, body);
  }

  function transmit(from: Endpoint, to: Endpoint, body: string | null): void {
    const extraDelayMs =
      disturbance.delayProbability > 0 && world.rng.next() < disturbance.delayProbability
        ? MAX_EXTRA_DELAY_MS * world.rng.next()
        : 0;
    const delayMs = world.delay(from.proc.host, to.proc.host);
    const bytes = body === null ? 0 : body.length;
    const rateDelayMs = rates.rateDelayMs({
      from: from.proc.host,
      to: to.proc.host,
      bytes,
      now: world.now(),
      delayMs,
      sendWindow: from.sendWindow,
    });
    const dueAt = world.now() + rateDelayMs + delayMs + extraDelayMs;
    const overtakes =
      body !== null && disturbance.reorderProbability > 0 && world.rng.next() < disturbance.reorderProbability;
    const at = overtakes ? dueAt : Math.max(from.lastArrivalAt + 0.001, dueAt);
    if (!overtakes) from.lastArrivalAt = at;
    world.at(at - world.now(), onArrival);
    if (body !== null && disturbance.duplicateProbability > 0 && world.rng.next() < disturbance.duplicateProbability)
      world.at(at - world.now() + MAX_EXTRA_DELAY_MS * world.rng.next(), onArrival);
    function onArrival(): void {
      if (!world.alive(to.proc)) {
        if (to.proc.host.powered && body !== null) deliver(to, from, null);
        return;
      }
      world.run(to.proc, receive);
    }
    function receive(): void {
      if (to.closed) return;
      if (body === null) {
        to.closed = true;
        to.events?.closed();
      } else if (to.events) to.events.frame(JSON.parse(body) as unknown);
      else to.unreadFrames.push(JSON.parse(body));
    }
  }

  function connectionOf(own: Endpoint, other: Endpoint, peer: string): Connection {
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
      for (const body of own.unreadFrames.splice(0)) events.frame(body);
    }
    return { peer, send, close, attach };
  }

  function endOf(proc: Proc): Endpoint {
    return {
      proc,
      events: null,
      closed: false,
      lastArrivalAt: 0,
      sendWindow: createSendWindow(),
      unreadFrames: [],
      blockedFrames: [],
    };
  }

  function wireOf(proc: Proc): Wire {
    function listen(
      address: Address,
      onConnection: (connection: Connection) => void,
    ): Promise<Result<Listener, WireError>> {
      if (listeners.has(address)) return Promise.resolve(err({ tag: 'addressInUse', address }));
      listeners.set(address, { proc, onConnection });
      world.registerAddress(address, proc.host);
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
          world.run(proc, settleUnreachable);
        }
        function settleUnreachable(): void {
          resolve(err({ tag: 'unreachable', address }));
        }
        if (!target || !target.powered || world.isCut(proc.host, target) || world.isCut(target, proc.host)) {
          world.at(DIAL_TIMEOUT_MS, fail);
          return;
        }
        const targetHost = target;
        world.at(2 * world.delay(proc.host, targetHost), onArrival);
        function onArrival(): void {
          const listener = listeners.get(address);
          if (!listener || !world.alive(listener.proc)) {
            fail();
            return;
          }
          const localEnd = endOf(proc);
          const remoteEnd = endOf(listener.proc);
          endpointPairs.add([localEnd, remoteEnd]);
          function onAccepted(): void {
            listener?.onConnection(connectionOf(remoteEnd, localEnd, proc.host.name));
          }
          world.run(listener.proc, onAccepted);
          function onConnected(): void {
            resolve(ok(connectionOf(localEnd, remoteEnd, address)));
          }
          world.run(proc, onConnected);
          removeClosedPairs();
        }
      }
      return new Promise(start);
    }
    return { listen, dial };
  }

  function removeClosedPairs(): void {
    if (endpointPairs.size < 2_000) return;
    for (const pair of endpointPairs) if (pair[0].closed && pair[1].closed) endpointPairs.delete(pair);
  }
  function sent(): { readonly frames: number; readonly bytes: number } {
    return { frames, bytes };
  }
  return { wireOf, sent, setFrameDisturbance, rates };
}

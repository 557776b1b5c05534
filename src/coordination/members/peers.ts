/**
 * Messages between nodes: calls with an answer, messages without one, and held connections. One connection for each
 * address, dialled when needed; one that owes an answer for too long is dialled anew.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { readFrame } from '../../protocol/messages.js';
import type { Message, MessageKind, MessageOf } from '../../protocol/messages.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address, Connection, Listener, Wire, WireFault } from '../../transport/wire.js';

export type PeerFault =
  | { readonly tag: 'peerUnreachable'; readonly address: Address }
  | { readonly tag: 'peerSilent'; readonly address: Address };

export type Peer = {
  readonly tell: (m: Message) => void;
  readonly onClosed: (fn: () => void) => void;
  readonly close: () => void;
};

export type Handler<K extends MessageKind> = (m: MessageOf<K>, peer: Peer) => Promise<Message> | Message | null;

export type Peers = {
  readonly open: (address: Address) => Promise<Result<Listener, WireFault>>;
  readonly on: <K extends MessageKind>(kind: K, handler: Handler<K>) => void;
  readonly call: (to: Address, m: Message, waitMs: number) => Promise<Result<Message, PeerFault>>;
  readonly tell: (to: Address, m: Message) => Promise<boolean>;
  readonly hold: (to: Address) => Promise<Result<Peer, PeerFault>>;
  readonly knownAt: (old: Address, now: Address) => void;
  readonly close: () => Promise<void>;
};

type Waiting = { readonly done: (m: Message | null) => void; readonly timer: Timer };
type Link = {
  readonly connection: Connection;
  readonly peer: Peer;
  readonly waiting: Map<number, Waiting>;
  readonly owe: () => void;
  closed: boolean;
  held: boolean;
};

export const SILENT_MS = 1_200;
const STOOD_STILL_MS = 600;
const SLOW_CALL_MS = 1_500;
const IDLE_OUT_MS = 20_000;
const IDLE_IN_MS = 45_000;

export function createPeers(wire: Wire, clock: Clock, log: Log): Peers {
  const handlers = new Map<MessageKind, Handler<MessageKind>>();
  const links = new Map<Address, Promise<Link | null>>();
  const live = new Map<Address, Link>();
  const movedTo = new Map<Address, Address>();
  const inbound = new Set<Link>();
  let listener: Listener | null = null;
  let nextId = 1;
  let stopped = false;

  function linkOf(connection: Connection, idleMs: number, onGone: () => void): Link {
    const watchers: (() => void)[] = [];
    const waiting = new Map<number, Waiting>();
    let owedSince: number | null = null;
    let silence: Timer | null = null;
    let usedAt = clock.mono();
    let idle: Timer = clock.timer(idleMs, checkIdle);

    function owe(): void {
      usedAt = clock.mono();
      if (owedSince !== null) return;
      owedSince = usedAt;
      silence = clock.timer(SILENT_MS, checkSilence);
    }
    function heard(): void {
      usedAt = clock.mono();
      owedSince = null;
      silence?.cancel();
    }
    function checkSilence(): void {
      if (owedSince === null || link.closed) return;
      if (clock.mono() - owedSince < SILENT_MS + STOOD_STILL_MS) {
        connection.close();
        return;
      }
      owedSince = null;
      owe();
    }
    function checkIdle(): void {
      if (link.closed) return;
      const left = usedAt + idleMs - clock.mono();
      if (left <= 0 && !link.held) connection.close();
      else idle = clock.timer(Math.max(1_000, left), checkIdle);
    }
    function tell(m: Message): void {
      usedAt = clock.mono();
      connection.send({ t: 'tell', m });
    }
    function onClosed(fn: () => void): void {
      if (link.closed) fn();
      else watchers.push(fn);
    }
    const link: Link = {
      connection,
      peer: { tell, onClosed, close: connection.close },
      waiting,
      owe,
      closed: false,
      held: false,
    };
    function closed(): void {
      if (link.closed) return;
      link.closed = true;
      silence?.cancel();
      idle.cancel();
      onGone();
      for (const w of waiting.values()) {
        w.timer.cancel();
        w.done(null);
      }
      waiting.clear();
      for (const fn of watchers) fn();
    }
    function frame(body: unknown): void {
      heard();
      const f = readFrame(body);
      if (!f) {
        log.warn(`Connection to ${connection.peer} ended: a frame had no known shape.`);
        connection.close();
        return;
      }
      if (f.t === 'answer') {
        const w = waiting.get(f.id);
        if (!w) return;
        waiting.delete(f.id);
        w.timer.cancel();
        w.done(f.m);
        return;
      }
      const handler = handlers.get(f.m.kind);
      if (!handler) return;
      const given = handler(f.m, link.peer);
      if (f.t === 'call') void answer(f.id, given);
    }
    async function answer(id: number, given: Promise<Message> | Message | null): Promise<void> {
      const m = await given;
      if (m) connection.send({ t: 'answer', id, m });
    }
    connection.attach({ frame, closed, heard });
    return link;
  }

  async function connect(to: Address): Promise<Link | null> {
    const dialled = await wire.dial(movedTo.get(to) ?? to);
    if (!dialled.ok || stopped) {
      if (dialled.ok) dialled.value.close();
      links.delete(to);
      return null;
    }
    function gone(): void {
      links.delete(to);
      live.delete(to);
    }
    const link = linkOf(dialled.value, IDLE_OUT_MS, gone);
    if (!link.closed) live.set(to, link);
    return link;
  }

  function linkTo(to: Address): Promise<Link | null> {
    const have = links.get(to);
    if (have) return have;
    const made = connect(to);
    links.set(to, made);
    return made;
  }

  function linkWithin(to: Address, waitMs: number): Promise<Link | null> {
    const open = live.get(to);
    if (open) return Promise.resolve(open);
    const made = linkTo(to);
    function start(resolve: (link: Link | null) => void): void {
      function late(): void {
        resolve(null);
      }
      const timer = clock.timer(waitMs, late);
      function linked(link: Link | null): void {
        timer.cancel();
        resolve(link);
      }
      void made.then(linked);
    }
    return new Promise(start);
  }

  async function call(to: Address, m: Message, waitMs: number): Promise<Result<Message, PeerFault>> {
    const until = clock.mono() + waitMs;
    const joined = links.has(to);
    let link = await linkWithin(to, waitMs);
    if (!link && joined && clock.mono() < until) link = await linkWithin(to, until - clock.mono());
    if (!link || link.closed) return err({ tag: 'peerUnreachable', address: to });
    const held = link;
    const left = until - clock.mono();
    if (left <= 0) return err({ tag: 'peerSilent', address: to });
    const id = nextId;
    nextId += 1;
    function ask(done: (m: Message | null) => void): void {
      function late(): void {
        held.waiting.delete(id);
        done(null);
      }
      held.waiting.set(id, { done, timer: clock.timer(left, late) });
      held.connection.send({ t: 'call', id, m });
      if (waitMs <= SLOW_CALL_MS) held.owe();
    }
    const got = await new Promise<Message | null>(ask);
    return got ? ok(got) : err({ tag: 'peerSilent', address: to });
  }

  async function tell(to: Address, m: Message): Promise<boolean> {
    const link = await linkTo(to);
    if (!link || link.closed) return false;
    link.peer.tell(m);
    return true;
  }

  async function hold(to: Address): Promise<Result<Peer, PeerFault>> {
    const link = await linkTo(to);
    if (!link || link.closed) return err({ tag: 'peerUnreachable', address: to });
    link.held = true;
    return ok(link.peer);
  }

  function on<K extends MessageKind>(kind: K, handler: Handler<K>): void {
    handlers.set(kind, handler as unknown as Handler<MessageKind>);
  }

  async function open(address: Address): Promise<Result<Listener, WireFault>> {
    function accept(connection: Connection): void {
      let link: Link | null = null;
      function gone(): void {
        if (link) inbound.delete(link);
      }
      link = linkOf(connection, IDLE_IN_MS, gone);
      inbound.add(link);
    }
    const opened = await wire.listen(address, accept);
    if (opened.ok) listener = opened.value;
    return opened;
  }

  async function close(): Promise<void> {
    stopped = true;
    for (const link of inbound) link.connection.close();
    for (const made of [...links.values()]) (await made)?.connection.close();
    await listener?.close();
  }

  function knownAt(old: Address, now: Address): void {
    if ((movedTo.get(old) ?? old) === now) return;
    if (old === now) movedTo.delete(old);
    else movedTo.set(old, now);
    live.get(old)?.connection.close();
  }
  return { open, on, call, tell, hold, knownAt, close };
}

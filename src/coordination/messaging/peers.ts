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
import type { Address, Connection, Listener, Wire, WireError } from '../../transport/wire.js';

export type PeerError =
  | { readonly tag: 'peerUnreachable'; readonly address: Address }
  | { readonly tag: 'peerSilent'; readonly address: Address };

export type Peer = {
  readonly send: (message: Message) => void;
  readonly onClosed: (callback: () => void) => void;
  readonly close: () => void;
};

export type Handler<K extends MessageKind> = (message: MessageOf<K>, peer: Peer) => Promise<Message> | Message | null;

export interface Peers {
  open(address: Address): Promise<Result<Listener, WireError>>;
  on<K extends MessageKind>(kind: K, handler: Handler<K>): void;
  call(to: Address, message: Message, waitMs: number): Promise<Result<Message, PeerError>>;
  send(to: Address, message: Message): Promise<boolean>;
  connect(to: Address): Promise<Result<Peer, PeerError>>;
  relocate(old: Address, now: Address): void;
  close(): Promise<void>;
}

type Waiting = { readonly done: (m: Message | null) => void; readonly timer: Timer };
type Link = {
  readonly connection: Connection;
  readonly peer: Peer;
  readonly waiting: Map<number, Waiting>;
  readonly owe: () => void;
  closed: boolean;
  isKept: boolean;
};

export const SILENT_MS = 1_200;
const STOOD_STILL_MS = 600;
const SLOW_CALL_MS = 1_500;
const IDLE_OUT_MS = 20_000;
const IDLE_IN_MS = 45_000;

class WirePeers implements Peers {
  private readonly handlers = new Map<MessageKind, Handler<MessageKind>>();
  private readonly links = new Map<Address, Promise<Link | null>>();
  private readonly live = new Map<Address, Link>();
  private readonly relocatedTo = new Map<Address, Address>();
  private readonly inbound = new Set<Link>();
  private listener: Listener | null = null;
  private nextId = 1;
  private stopped = false;

  constructor(
    private readonly wire: Wire,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  private linkOf(connection: Connection, idleMs: number, onGone: () => void): Link {
    const onBytes = (): void => {
      usedAt = this.clock.mono();
      owedSince = null;
      responseTimer?.cancel();
    };

    const checkTimeout = (): void => {
      if (owedSince === null || link.closed) return;
      if (this.clock.mono() - owedSince < SILENT_MS + STOOD_STILL_MS) {
        connection.close();
        return;
      }
      owedSince = null;
      owe();
    };
    const owe = (): void => {
      usedAt = this.clock.mono();
      if (owedSince !== null) return;
      owedSince = usedAt;
      responseTimer = this.clock.timer(SILENT_MS, checkTimeout);
    };
    const watchers: (() => void)[] = [];
    const waiting = new Map<number, Waiting>();
    let owedSince: number | null = null;
    let responseTimer: Timer | null = null;
    let usedAt = this.clock.mono();

    const checkIdle = (): void => {
      if (link.closed) return;
      const left = usedAt + idleMs - this.clock.mono();
      if (left <= 0 && !link.isKept) connection.close();
      else idle = this.clock.timer(Math.max(1_000, left), checkIdle);
    };
    let idle: Timer = this.clock.timer(idleMs, checkIdle);
    function onClosed(callback: () => void): void {
      if (link.closed) callback();
      else watchers.push(callback);
    }

    const send = (message: Message): void => {
      usedAt = this.clock.mono();
      connection.send({ t: 'tell', m: message });
    };
    const link: Link = {
      connection,
      peer: { send, onClosed, close: connection.close },
      waiting,
      owe,
      closed: false,
      isKept: false,
    };
    function closed(): void {
      if (link.closed) return;
      link.closed = true;
      responseTimer?.cancel();
      idle.cancel();
      onGone();
      for (const call of waiting.values()) {
        call.timer.cancel();
        call.done(null);
      }
      waiting.clear();
      for (const callback of watchers) callback();
    }
    async function answer(id: number, given: Promise<Message> | Message | null): Promise<void> {
      const m = await given;
      if (m) connection.send({ t: 'answer', id, m });
    }

    const frame = (body: unknown): void => {
      onBytes();
      const f = readFrame(body);
      if (!f) {
        this.log.warn(`Connection to ${connection.peer} ended: a frame had no known shape.`);
        connection.close();
        return;
      }
      if (f.t === 'answer') {
        const worker = waiting.get(f.id);
        if (!worker) return;
        waiting.delete(f.id);
        worker.timer.cancel();
        worker.done(f.m);
        return;
      }
      const handler = this.handlers.get(f.m.kind);
      if (!handler) return;
      const given = handler(f.m, link.peer);
      if (f.t === 'call') void answer(f.id, given);
    };
    connection.attach({ frame, closed, heard: onBytes });
    return link;
  }

  private async dialLink(to: Address): Promise<Link | null> {
    const dialled = await this.wire.dial(this.relocatedTo.get(to) ?? to);
    if (!dialled.ok || this.stopped) {
      if (dialled.ok) dialled.value.close();
      this.links.delete(to);
      return null;
    }

    const gone = (): void => {
      this.links.delete(to);
      this.live.delete(to);
    };
    const link = this.linkOf(dialled.value, IDLE_OUT_MS, gone);
    if (!link.closed) this.live.set(to, link);
    return link;
  }

  private linkTo(to: Address): Promise<Link | null> {
    const have = this.links.get(to);
    if (have) return have;
    const made = this.dialLink(to);
    this.links.set(to, made);
    return made;
  }

  private linkWithin(to: Address, waitMs: number): Promise<Link | null> {
    const open = this.live.get(to);
    if (open) return Promise.resolve(open);
    const made = this.linkTo(to);

    const start = (resolve: (link: Link | null) => void): void => {
      function late(): void {
        resolve(null);
      }
      const timer = this.clock.timer(waitMs, late);
      function linked(link: Link | null): void {
        timer.cancel();
        resolve(link);
      }
      void made.then(linked);
    };
    return new Promise(start);
  }

  async call(to: Address, message: Message, waitMs: number): Promise<Result<Message, PeerError>> {
    const until = this.clock.mono() + waitMs;
    const joined = this.links.has(to);
    let link = await this.linkWithin(to, waitMs);
    if (!link && joined && this.clock.mono() < until) link = await this.linkWithin(to, until - this.clock.mono());
    if (!link || link.closed) return err({ tag: 'peerUnreachable', address: to });
    const held = link;
    const left = until - this.clock.mono();
    if (left <= 0) return err({ tag: 'peerSilent', address: to });
    const id = this.nextId;
    this.nextId += 1;

    const ask = (done: (m: Message | null) => void): void => {
      function late(): void {
        held.waiting.delete(id);
        done(null);
      }
      held.waiting.set(id, { done, timer: this.clock.timer(left, late) });
      held.connection.send({ t: 'call', id, m: message });
      if (waitMs <= SLOW_CALL_MS) held.owe();
    };
    const response = await new Promise<Message | null>(ask);
    return response ? ok(response) : err({ tag: 'peerSilent', address: to });
  }

  async send(to: Address, message: Message): Promise<boolean> {
    const link = await this.linkTo(to);
    if (!link || link.closed) return false;
    link.peer.send(message);
    return true;
  }

  async connect(to: Address): Promise<Result<Peer, PeerError>> {
    const link = await this.linkTo(to);
    if (!link || link.closed) return err({ tag: 'peerUnreachable', address: to });
    link.isKept = true;
    return ok(link.peer);
  }

  on<K extends MessageKind>(kind: K, handler: Handler<K>): void {
    this.handlers.set(kind, handler as unknown as Handler<MessageKind>);
  }

  async open(address: Address): Promise<Result<Listener, WireError>> {
    const accept = (connection: Connection): void => {
      let link: Link | null = null;

      const gone = (): void => {
        if (link) this.inbound.delete(link);
      };
      link = this.linkOf(connection, IDLE_IN_MS, gone);
      this.inbound.add(link);
    };
    const opened = await this.wire.listen(address, accept);
    if (opened.ok) this.listener = opened.value;
    return opened;
  }

  async close(): Promise<void> {
    this.stopped = true;
    for (const link of this.inbound) link.connection.close();
    for (const made of [...this.links.values()]) (await made)?.connection.close();
    await this.listener?.close();
  }

  relocate(old: Address, now: Address): void {
    if ((this.relocatedTo.get(old) ?? old) === now) return;
    if (old === now) this.relocatedTo.delete(old);
    else this.relocatedTo.set(old, now);
    this.live.get(old)?.connection.close();
  }
}

export function createPeers(wire: Wire, clock: Clock, log: Log): Peers {
  return new WirePeers(wire, clock, log);
}

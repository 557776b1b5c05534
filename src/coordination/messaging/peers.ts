/**
 * Messages between nodes: calls with a response, one-way messages, and connections that are kept open. There is one
 * outbound connection for each address, dialled on demand. One that is unresponsive for too long is closed and
 * dialled again.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageKind, MessageOf } from '../../protocol/messages.js';
import { withTimeout } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Address, Connection, Listener, Wire, WireError } from '../../transport/wire.js';
import { PeerLink } from './peer-link.js';
import type { Peer } from './peer-link.js';

export type { Peer } from './peer-link.js';

/** Why a call has no response. In both cases the message may or may not have arrived. */
export type PeerError =
  | { readonly tag: 'peerUnreachable'; readonly address: Address }
  | { readonly tag: 'peerSilent'; readonly address: Address };

/** Handles one kind of message. The value it returns is sent back as the response if the message was a call. */
export type Handler<K extends MessageKind> = (message: MessageOf<K>, peer: Peer) => Promise<Message> | Message | null;

/** Messages to and from other nodes. */
export interface Peers {
  open(address: Address): Promise<Result<Listener, WireError>>;
  on<K extends MessageKind>(kind: K, handler: Handler<K>): void;
  call(to: Address, message: Message, timeoutMs: number): Promise<Result<Message, PeerError>>;
  send(to: Address, message: Message): Promise<boolean>;
  /** Opens a connection that is not closed when idle. */
  connect(to: Address): Promise<Result<Peer, PeerError>>;
  /** Dials `currentAddress` from now on for messages to `knownAddress`. */
  relocate(knownAddress: Address, currentAddress: Address): void;
  close(): Promise<void>;
}

/**
 * Calls with a timeout up to this one close the connection of an unresponsive peer; longer ones may take long to
 * answer.
 */
const MAX_WATCHED_CALL_MS = 1_500;
const OUTBOUND_IDLE_TIMEOUT_MS = 20_000;
const INBOUND_IDLE_TIMEOUT_MS = 45_000;

class WirePeers implements Peers {
  private readonly handlers = new Map<MessageKind, Handler<MessageKind>>();
  private readonly links = new Map<Address, Promise<PeerLink | null>>();
  private readonly live = new Map<Address, PeerLink>();
  private readonly relocatedTo = new Map<Address, Address>();
  private readonly inbound = new Set<PeerLink>();
  private listener: Listener | null = null;
  private nextId = 1;
  private stopped = false;

  constructor(
    private readonly wire: Wire,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  private createLink(connection: Connection, idleLimitMs: number, onLinkClosed: () => void): PeerLink {
    return new PeerLink(connection, idleLimitMs, this.clock, this.log, {
      onMessage: (message, peer) => this.handlers.get(message.kind)?.(message, peer) ?? null,
      onLinkClosed,
    });
  }

  private async dialLink(to: Address): Promise<PeerLink | null> {
    const dialled = await this.wire.dial(this.relocatedTo.get(to) ?? to);
    if (!dialled.ok || this.stopped) {
      if (dialled.ok) dialled.value.close();
      this.links.delete(to);
      return null;
    }

    const onLinkClosed = (): void => {
      this.links.delete(to);
      this.live.delete(to);
    };
    const link = this.createLink(dialled.value, OUTBOUND_IDLE_TIMEOUT_MS, onLinkClosed);
    if (!link.isClosed()) this.live.set(to, link);
    return link;
  }

  private getOrDial(to: Address): Promise<PeerLink | null> {
    const existing = this.links.get(to);
    if (existing) return existing;
    const pendingLink = this.dialLink(to);
    this.links.set(to, pendingLink);
    return pendingLink;
  }

  private getOrDialWithin(to: Address, timeoutMs: number): Promise<PeerLink | null> {
    const openLink = this.live.get(to);
    return openLink ? Promise.resolve(openLink) : withTimeout(this.clock, timeoutMs, this.getOrDial(to));
  }

  async call(to: Address, message: Message, timeoutMs: number): Promise<Result<Message, PeerError>> {
    const deadline = this.clock.mono() + timeoutMs;
    const isSharedLink = this.links.has(to);
    let link = await this.getOrDialWithin(to, timeoutMs);
    if (!link && isSharedLink && this.clock.mono() < deadline)
      link = await this.getOrDialWithin(to, deadline - this.clock.mono());
    if (!link || link.isClosed()) return err({ tag: 'peerUnreachable', address: to });
    const openLink = link;
    const remainingMs = deadline - this.clock.mono();
    if (remainingMs <= 0) return err({ tag: 'peerSilent', address: to });
    const id = this.nextId;
    this.nextId += 1;

    const startCall = (onResponse: (response: Message | null) => void): void => {
      openLink.call(id, message, remainingMs, timeoutMs <= MAX_WATCHED_CALL_MS, onResponse);
    };
    const response = await new Promise<Message | null>(startCall);
    return response ? ok(response) : err({ tag: 'peerSilent', address: to });
  }

  async send(to: Address, message: Message): Promise<boolean> {
    const link = await this.getOrDial(to);
    if (!link || link.isClosed()) return false;
    link.peer.send(message);
    return true;
  }

  async connect(to: Address): Promise<Result<Peer, PeerError>> {
    const link = await this.getOrDial(to);
    if (!link || link.isClosed()) return err({ tag: 'peerUnreachable', address: to });
    link.keepOpen();
    return ok(link.peer);
  }

  on<K extends MessageKind>(kind: K, handler: Handler<K>): void {
    this.handlers.set(kind, handler as unknown as Handler<MessageKind>);
  }

  async open(address: Address): Promise<Result<Listener, WireError>> {
    const accept = (connection: Connection): void => {
      let link: PeerLink | null = null;

      const onLinkClosed = (): void => {
        if (link) this.inbound.delete(link);
      };
      link = this.createLink(connection, INBOUND_IDLE_TIMEOUT_MS, onLinkClosed);
      this.inbound.add(link);
    };
    const opened = await this.wire.listen(address, accept);
    if (opened.ok) this.listener = opened.value;
    return opened;
  }

  async close(): Promise<void> {
    this.stopped = true;
    for (const link of this.inbound) link.close();
    for (const link of this.live.values()) link.close();
    await this.listener?.close();
  }

  relocate(knownAddress: Address, currentAddress: Address): void {
    if ((this.relocatedTo.get(knownAddress) ?? knownAddress) === currentAddress) return;
    if (knownAddress === currentAddress) this.relocatedTo.delete(knownAddress);
    else this.relocatedTo.set(knownAddress, currentAddress);
    this.live.get(knownAddress)?.close();
  }
}

/** Creates the messaging of a node, with no connections yet. `open` starts to listen. */
export function createPeers(wire: Wire, clock: Clock, log: Log): Peers {
  return new WirePeers(wire, clock, log);
}

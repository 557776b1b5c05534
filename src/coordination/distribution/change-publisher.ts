/**
 * Publishes the ledger to the proxies that subscribed to this controller: pages of slots or an offer of a snapshot, and a
 * heartbeat twice a second that attests how far a majority stands (docs/consistency.md, section 1).
 */
import type { MessageOf } from '../../protocol/messages.js';
import type { SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { PAGE_BYTES, snapshotInstead } from '../consensus/catch-up.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peer, Peers } from '../messaging/peers.js';
import type { QuorumAttestation } from './quorum-attestation.js';

/** A nonce of a proxy, and when it came. */
type ReceivedNonce = { readonly nonce: number; readonly at: number };

/** One proxy that subscribed. Times are of the monotonic clock, in milliseconds. */
type Subscription = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly peer: Peer;
  /** Newest nonces, oldest first. */
  nonces: ReceivedNonce[];
  /** The nonce that the last heartbeat attested; 0 if it attested none. */
  attested: number;
  lastContactAt: number;
  /** The newest slot that was sent; -1 before the first. */
  sent: number;
};

type ProxyLocation = Pick<Subscription, 'name' | 'zone' | 'region'>;

/** Must be below half of the time after which a proxy turns to another controller. */
const HEARTBEAT_INTERVAL_MS = 500;
/** A proxy sends at least each 700 ms; one that is quiet for so long has gone. */
const SUBSCRIPTION_TIMEOUT_MS = 5_000;
const NONCES_KEPT = 8;
const RECORD_TIMEOUT_MS = 3_000;

/** Publishes until `close` is called. */
export class ChangePublisher {
  private readonly subscriptions = new Map<string, Subscription>();
  private readonly proposing = new Set<string>();
  private readonly heartbeatTimer: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly quorumAttestation: QuorumAttestation,
    peers: Peers,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    quorumAttestation.events.on('attested', () => this.onAttestation());
    this.heartbeatTimer = every(clock, HEARTBEAT_INTERVAL_MS, () => this.onHeartbeatInterval());
    ledger.events.on('folded', () => this.onAdvanced());
    ledger.events.on('adopted', () => this.onAdvanced());
    peers.on('follow', (message, peer) => this.onSubscribe(message, peer));
    peers.on('attend', (message, peer) => this.onSubscriberHeartbeat(message, peer));
    peers.on('unfollow', (message, peer) => this.onUnsubscribe(message, peer));
  }

  close(): void {
    this.heartbeatTimer.cancel();
  }

  private onSubscribe(message: MessageOf<'follow'>, peer: Peer): null {
    if (this.isForeign(message.ledger)) {
      this.log.error('subscriber of another ledger rejected', { proxy: message.name, ledger: message.ledger });
      peer.close();
      return null;
    }
    const before = this.subscriptions.get(message.name);
    const subscription = this.subscriptionOf(message, peer, before);
    this.subscriptions.set(message.name, subscription);
    if (before?.peer !== peer) peer.onClosed(() => this.onUnsubscribe(message, peer));
    this.publishTo(subscription);
    this.quorumAttestation.requestSoon();
    void this.recordProxy(message);
    return null;
  }

  private isForeign(ledger: string): boolean {
    const own = this.ledger.controlState().ledger;
    return ledger !== '' && own !== '' && ledger !== own;
  }

  private subscriptionOf(message: MessageOf<'follow'>, peer: Peer, before: Subscription | undefined): Subscription {
    const now = this.clock.mono();
    const nonces = before?.peer === peer ? before.nonces.slice(-NONCES_KEPT) : [];
    return {
      name: message.name,
      zone: message.zone,
      region: message.region,
      peer,
      nonces: [...nonces, { nonce: message.nonce, at: now }],
      attested: 0,
      lastContactAt: now,
      sent: message.ledger === '' ? -1 : message.from - 1,
    };
  }

  private onSubscriberHeartbeat(message: MessageOf<'attend'>, peer: Peer): null {
    const subscription = this.subscriptions.get(message.name);
    if (!subscription || subscription.peer !== peer) return null;
    const now = this.clock.mono();
    subscription.lastContactAt = now;
    subscription.nonces = [...subscription.nonces.slice(-NONCES_KEPT), { nonce: message.nonce, at: now }];
    return null;
  }

  private onUnsubscribe(message: { readonly name: string }, peer: Peer): null {
    if (this.subscriptions.get(message.name)?.peer === peer) this.subscriptions.delete(message.name);
    return null;
  }

  private onAdvanced(): void {
    for (const subscription of this.subscriptions.values()) this.publishTo(subscription);
    this.onAttestation();
  }

  /** Sends all slots that were not sent yet, in pages, or offers a snapshot to fetch. */
  private publishTo(subscription: Subscription): void {
    const { ledger, slot } = this.ledger.controlState();
    if (ledger === '' || subscription.sent >= slot) return;
    const snapshot = snapshotInstead(this.ledger.history, subscription.sent + 1, (from) => this.offerFrom(from));
    if (snapshot) {
      subscription.peer.send({ kind: 'changes', ledger, snapshot, batches: [] });
      subscription.sent = snapshot.slot;
    }
    while (subscription.sent < slot) {
      const batches = this.ledger.history.page(subscription.sent + 1, PAGE_BYTES);
      if (!batches || batches.length === 0) return;
      subscription.peer.send({ kind: 'changes', ledger, batches: [...batches] });
      subscription.sent += batches.length;
    }
  }

  private offerFrom(slot: number): SnapshotOffer | null {
    return this.ledger.history.offer('proxy', slot);
  }

  private onHeartbeatInterval(): void {
    const now = this.clock.mono();
    for (const subscription of [...this.subscriptions.values()]) {
      if (now - subscription.lastContactAt > SUBSCRIPTION_TIMEOUT_MS) {
        this.subscriptions.delete(subscription.name);
        continue;
      }
      this.publishTo(subscription);
      this.sendHeartbeat(subscription);
      void this.recordProxy(subscription);
    }
  }

  /** A subscriber whose newest nonce was not attested need not wait for the next heartbeat. */
  private onAttestation(): void {
    for (const subscription of this.subscriptions.values())
      if (subscription.attested === 0 && this.attestationFor(subscription).echo > 0) this.sendHeartbeat(subscription);
  }

  private sendHeartbeat(subscription: Subscription): void {
    const { ledger, slot } = this.ledger.controlState();
    const { echo, top } = this.attestationFor(subscription);
    subscription.attested = echo;
    subscription.peer.send({
      kind: 'beat',
      from: this.ledger.self.name,
      ledger,
      slot,
      top,
      quorate: echo > 0,
      wall: this.quorumAttestation.sharedNow(),
      echo,
    });
  }

  /** The newest nonce that came before the attestation was asked for; 0 if there is none. */
  private attestationFor({ nonces }: Subscription): { readonly echo: number; readonly top: number } {
    const attestation = this.quorumAttestation.newest();
    let echo = 0;
    for (const { nonce, at } of nonces) if (attestation && at <= attestation.asOf) echo = Math.max(echo, nonce);
    return { echo, top: attestation?.top ?? this.ledger.top() };
  }

  /** Enters a proxy that the ledger does not know, or knows elsewhere; changes are confirmed only once it has them. */
  private async recordProxy({ name, zone, region }: ProxyLocation): Promise<void> {
    const known = this.ledger.controlState().proxies[name];
    const isKnown = known && known.zone === zone && known.region === region;
    if (isKnown || this.proposing.has(name) || !this.ledger.isMember()) return;
    this.proposing.add(name);
    const command = { tag: 'proxyKnown' as const, name, zone, region };
    await this.ledger.propose({ cause: `${name} asked to follow.`, act: command }, RECORD_TIMEOUT_MS);
    this.proposing.delete(name);
  }
}

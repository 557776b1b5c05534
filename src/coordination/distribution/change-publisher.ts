/**
 * Publishes the replicated log to the proxies subscribed to this controller, as pages of slots or as the offer of a
 * snapshot. A heartbeat twice a second attests the newest slot that a majority knows (docs/consistency.md, section 1).
 */
import type { MessageOf } from '../../protocol/messages.js';
import type { SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { PAGE_BYTES, snapshotIfSmaller } from '../consensus/catch-up.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peer, Peers } from '../messaging/peers.js';
import type { QuorumAttestation } from './quorum-attestation.js';
import { ownValue } from '../../base/own-value.js';

/** A nonce sent by a proxy, and when it arrived. */
type ReceivedNonce = { readonly nonce: number; readonly at: number };

/** A subscribed proxy. Times are in milliseconds of the monotonic clock. */
type Subscription = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly peer: Peer;
  /** The newest nonces, in order of arrival. */
  nonces: ReceivedNonce[];
  /** The nonce that the last heartbeat to this proxy attested; 0 if it attested none. */
  attestedNonce: number;
  lastContactAt: number;
  /** The newest slot that was sent; -1 if none was sent yet. */
  sentSlot: number;
};

type ProxyLocation = Pick<Subscription, 'name' | 'zone' | 'region'>;

/** Must be less than half of the time after which a proxy switches to another controller. */
const HEARTBEAT_INTERVAL_MS = 500;
/** A proxy sends a heartbeat at least every 700 ms; one that has sent none for this long is considered gone. */
const SUBSCRIPTION_TIMEOUT_MS = 5_000;
/** Number of earlier nonces kept for each subscription beside the newest one. */
const NONCES_KEPT = 8;
const RECORD_TIMEOUT_MS = 3_000;

/** Publishes to subscribers until `close` is called. */
export class ChangePublisher {
  private readonly subscriptions = new Map<string, Subscription>();
  private readonly proxiesBeingRecorded = new Set<string>();
  private readonly heartbeatTimer: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly quorumAttestation: QuorumAttestation,
    peers: Peers,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    quorumAttestation.events.on('attested', () => this.onAttestation());
    this.heartbeatTimer = every(clock, HEARTBEAT_INTERVAL_MS, () => this.onHeartbeatTick());
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
    if (this.isOtherLedger(message.ledger)) {
      this.log.error('subscriber of another ledger rejected', { proxy: message.name, ledger: message.ledger });
      peer.close();
      return null;
    }
    const previous = this.subscriptions.get(message.name);
    const subscription = this.createSubscription(message, peer, previous);
    this.subscriptions.set(message.name, subscription);
    if (previous?.peer !== peer) peer.onClosed(() => this.onUnsubscribe(message, peer));
    this.publishTo(subscription);
    this.quorumAttestation.scheduleRequest();
    void this.recordProxy(message);
    return null;
  }

  private isOtherLedger(ledger: string): boolean {
    const ownLedger = this.ledger.controlState().ledger;
    return ledger !== '' && ownLedger !== '' && ledger !== ownLedger;
  }

  private createSubscription(
    message: MessageOf<'follow'>,
    peer: Peer,
    previous: Subscription | undefined,
  ): Subscription {
    const now = this.clock.mono();
    const nonces = previous?.peer === peer ? previous.nonces.slice(-NONCES_KEPT) : [];
    return {
      name: message.name,
      zone: message.zone,
      region: message.region,
      peer,
      nonces: [...nonces, { nonce: message.nonce, at: now }],
      attestedNonce: 0,
      lastContactAt: now,
      sentSlot: message.ledger === '' ? -1 : message.from - 1,
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

  /** Sends the slots that were not sent yet in pages, or offers a snapshot for the proxy to fetch. */
  private publishTo(subscription: Subscription): void {
    const { ledger, slot } = this.ledger.controlState();
    if (ledger === '' || subscription.sentSlot >= slot) return;
    const snapshot = snapshotIfSmaller(this.ledger.history, subscription.sentSlot + 1, (from) =>
      this.snapshotOfferFrom(from),
    );
    if (snapshot) {
      subscription.peer.send({ kind: 'changes', ledger, snapshot, batches: [] });
      subscription.sentSlot = snapshot.slot;
    }
    while (subscription.sentSlot < slot) {
      const batches = this.ledger.history.page(subscription.sentSlot + 1, PAGE_BYTES);
      if (!batches || batches.length === 0) return;
      subscription.peer.send({ kind: 'changes', ledger, batches: [...batches] });
      subscription.sentSlot += batches.length;
    }
  }

  private snapshotOfferFrom(slot: number): SnapshotOffer | null {
    return this.ledger.history.offer('proxy', slot);
  }

  private onHeartbeatTick(): void {
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

  /** Subscribers whose last heartbeat attested no nonce get another one at once if it can attest one now. */
  private onAttestation(): void {
    for (const subscription of this.subscriptions.values())
      if (subscription.attestedNonce === 0 && this.attestationFor(subscription).echo > 0)
        this.sendHeartbeat(subscription);
  }

  private sendHeartbeat(subscription: Subscription): void {
    const { ledger, slot } = this.ledger.controlState();
    const { echo, top } = this.attestationFor(subscription);
    subscription.attestedNonce = echo;
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

  /** Returns the newest nonce that arrived before the attestation was requested, as `echo`; 0 if there is none. */
  private attestationFor({ nonces }: Subscription): { readonly echo: number; readonly top: number } {
    const attestation = this.quorumAttestation.newest();
    let echo = 0;
    for (const { nonce, at } of nonces) if (attestation && at <= attestation.asOf) echo = Math.max(echo, nonce);
    return { echo, top: attestation?.top ?? this.ledger.top() };
  }

  /**
   * Records a proxy in the replicated log if it is unknown there or recorded at another location. From then on a change
   * is confirmed only once this proxy has applied it.
   */
  private async recordProxy({ name, zone, region }: ProxyLocation): Promise<void> {
    const recorded = ownValue(this.ledger.controlState().proxies, name);
    const isUpToDate = recorded && recorded.zone === zone && recorded.region === region;
    if (isUpToDate || this.proxiesBeingRecorded.has(name) || !this.ledger.isMember()) return;
    this.proxiesBeingRecorded.add(name);
    const command = { tag: 'proxyKnown' as const, name, zone, region };
    await this.ledger.propose({ cause: `${name} asked to follow.`, act: command }, RECORD_TIMEOUT_MS);
    this.proxiesBeingRecorded.delete(name);
  }
}

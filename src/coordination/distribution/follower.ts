/** A proxy's subscription to the replicated log. */
import { createEvents } from '../../base/events.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Location } from '../../state/distribution/controller-candidates.js';
import { foldBatch } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import { createSharedTime } from '../../state/distribution/shared-time.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../messaging/peers.js';
import { createControllerSelector } from './controller-selector.js';
import type { ControllerSelector, LocationOf } from './controller-selector.js';
import { createControllerLinks } from './controller-links.js';
import type { ControllerLinks } from './controller-links.js';
import { createControlStateWriter, loadControlState } from './stored-control-state.js';
import type { StoredControlState, ControlStateWriter } from './stored-control-state.js';
import { createMajorityContact } from './majority-contact.js';
import type { MajorityContact } from './majority-contact.js';
import { createSnapshotReceiver } from '../consensus/snapshot-receiver.js';
import type { SnapshotReceiver } from '../consensus/snapshot-receiver.js';

/** Emitted when the control state has advanced to this slot. */
export type FollowerEvents = { readonly moved: { readonly slot: number } };

/**
 * A proxy's replica of the control state. It applies the slots that the followed controller sends, never goes back to
 * an older slot, and knows whether a majority backs its state: it is `fresh` once it holds everything that a majority
 * has attested since the process started or last paused, and `partitioned` if the last contact is too long ago.
 */
export interface Follower {
  controlState(): ControlState;
  fresh(): boolean;
  partitioned(): boolean;
  /** When the process started or last resumed from a pause, on the monotonic clock. */
  wokeAt(): number;
  /** The wall time that the controllers agree on, in Unix milliseconds. */
  sharedNow(): number;
  readonly events: {
    readonly on: <K extends keyof FollowerEvents>(name: K, callback: (event: FollowerEvents[K]) => void) => void;
  };
  controllers(): readonly Address[];
  followed(): Address | null;
  setTopology(locationOf: (name: string) => Location | null): void;
  /** Sends a message to the followed controller; reports are sent as deltas to those sent before. */
  sendToController(message: Message): void;
  stop(): void;
}

/** Name and location of the proxy that follows. */
export type FollowerSelf = { readonly name: string; readonly zone: string; readonly region: string };

const TICK_INTERVAL_MS = 100;

/** Loads the stored control state from the disk, then follows the controllers from its slot on. */
export async function createFollower(
  self: FollowerSelf,
  seeds: readonly Address[],
  peers: Peers,
  clock: Clock,
  disk: Disk | null,
  log: Log,
): Promise<Follower> {
  const stored = await loadControlState(disk, log);
  return new LogFollower(stored, self, seeds, peers, clock, disk, log);
}

class LogFollower implements Follower {
  readonly events = createEvents<FollowerEvents>();
  private currentControlState: ControlState;
  /** The newest slot that an earlier run of the process applied; no older state is served. */
  private readonly floor: number;
  private wasPartitioned = false;
  private stopped = false;
  private readonly time = createSharedTime();
  private readonly snapshotReceiver: SnapshotReceiver;
  private readonly majorityContact: MajorityContact;
  private readonly links: ControllerLinks;
  private readonly selector: ControllerSelector;
  private readonly stateWriter: ControlStateWriter;
  private readonly tickTimer: Timer;

  constructor(
    { state, floor }: StoredControlState,
    private readonly self: FollowerSelf,
    seeds: readonly Address[],
    peers: Peers,
    private readonly clock: Clock,
    disk: Disk | null,
    private readonly log: Log,
  ) {
    this.currentControlState = state;
    this.floor = floor;
    this.snapshotReceiver = createSnapshotReceiver(peers, this.clock, this.log);
    this.majorityContact = createMajorityContact(this.clock, (gapMs) => this.onProcessPause(gapMs));
    this.links = createControllerLinks(peers, this.clock, (address) => this.onConnectionLost(address));
    this.selector = createControllerSelector({
      self: this.self,
      seeds,
      members: () => this.members(),
      links: this.links,
      clock: this.clock,
      followMessage: () => this.followMessage(),
      heartbeatMessage: () => this.heartbeatMessage(),
    });
    this.stateWriter = createControlStateWriter(disk, this.clock, this.log, () => this.controlState());
    this.tickTimer = every(this.clock, TICK_INTERVAL_MS, () => this.tick());

    this.tick();

    peers.on('changes', (message, peer) => this.onChanges(message, peer));

    peers.on('beat', (message, peer) => this.onHeartbeat(message, peer));

    peers.on('reportsAsk', (message, peer) => this.onReportsRequest(message, peer));
  }

  controlState(): ControlState {
    return this.currentControlState;
  }

  private members(): ControlState['members'] {
    return this.currentControlState.members;
  }

  private followMessage(): MessageOf<'follow'> {
    const { ledger, slot } = this.currentControlState;
    const { name, zone, region } = this.self;
    return { kind: 'follow', name, zone, region, ledger, from: slot + 1, nonce: this.majorityContact.nextNonce() };
  }

  private heartbeatMessage(): MessageOf<'attend'> {
    return { kind: 'attend', name: this.self.name, nonce: this.majorityContact.nextNonce() };
  }

  private onConnectionLost(address: Address): void {
    this.selector.onDisconnected(address);
  }

  private onProcessPause(gapMs: number): void {
    this.log.warn('process stood still, not serving until attested', { gapMs: Math.round(gapMs) });
    this.wasPartitioned = false;
    this.selector.onProcessPause();
    this.selector.sendToSubscribed(this.followMessage());
  }

  private tick(): void {
    this.majorityContact.detectPause();
    this.selector.tick();
    const isPartitioned = this.partitioned();
    if (isPartitioned !== this.wasPartitioned)
      this.log.warn(isPartitioned ? 'partitioned from the controllers' : 'in contact with the controllers again');
    this.wasPartitioned = isPartitioned;
  }

  private acceptsLedger(ledger: string): boolean {
    return this.currentControlState.ledger === '' || ledger === this.currentControlState.ledger;
  }

  private onChanges(message: MessageOf<'changes'>, peer: Peer): null {
    if (!this.acceptsLedger(message.ledger)) return null;
    const previousSlot = this.currentControlState.slot;
    if (message.snapshot && message.snapshot.slot > previousSlot) void this.fetchSnapshot(message.snapshot, peer);
    let hasGap = false;
    for (const entry of message.batches) {
      if (entry.slot <= this.currentControlState.slot) continue;
      hasGap = entry.slot !== this.currentControlState.slot + 1;
      if (hasGap) break;
      foldBatch(this.currentControlState, entry.slot, entry.batch);
    }
    if (hasGap && !this.snapshotReceiver.isReceiving()) peer.send(this.followMessage());
    if (this.currentControlState.slot > previousSlot) this.onAdvanced();
    return null;
  }

  /** Fetches a snapshot from the controller that offered it, then requests the slots after it. */
  private async fetchSnapshot(offer: SnapshotOffer, peer: Peer): Promise<void> {
    const from = this.links.addressOf(peer);
    if (from === null) return;
    const received = await this.snapshotReceiver.receive(from, offer);
    if (this.stopped || received.tag === 'interrupted' || received.tag === 'refused') return;
    if (
      received.tag === 'whole' &&
      received.state.slot > this.currentControlState.slot &&
      this.acceptsLedger(received.state.ledger)
    ) {
      this.currentControlState = received.state;
      this.onAdvanced();
    }
    peer.send(this.followMessage());
  }

  private onAdvanced(): void {
    const names = new Set<string>();
    for (const member of this.currentControlState.members) names.add(member.name);
    this.time.retainOnly(names);
    this.events.emit('moved', { slot: this.currentControlState.slot });
    this.selector.sendToSubscribed({ kind: 'followed', name: this.self.name, slot: this.currentControlState.slot });
    this.stateWriter.scheduleFloorSave();
  }

  private onHeartbeat(message: MessageOf<'beat'>, peer: Peer): null {
    this.majorityContact.detectPause();
    const from = this.links.addressOf(peer);
    if (from === null || !this.selector.isSubscribed(from)) {
      peer.send({ kind: 'unfollow', name: this.self.name });
      return null;
    }
    if (!this.acceptsLedger(message.ledger) || message.ledger === '') return null;
    this.time.record(message.from, message.wall, this.clock.mono());
    if (message.slot > this.currentControlState.slot && !this.snapshotReceiver.isReceiving())
      peer.send(this.followMessage());
    if (this.holdsAllAttested(message) && this.recordContact(message.echo)) this.selector.onAttested(from);
    return null;
  }

  private holdsAllAttested(message: MessageOf<'beat'>): boolean {
    return (
      message.quorate &&
      this.currentControlState.ledger !== '' &&
      this.currentControlState.slot >= Math.max(message.top, this.floor)
    );
  }

  /** Records contact as of when the echoed nonce was sent; returns false if that is not newer than the last contact. */
  private recordContact(echo: number): boolean {
    const sentAt = this.majorityContact.sentAt(echo);
    return sentAt !== null && this.majorityContact.recordContact(sentAt);
  }

  private onReportsRequest(message: MessageOf<'reportsAsk'>, peer: Peer): null {
    const from = this.links.addressOf(peer);
    if (from !== null) this.links.forgetReports(from, message.reporters);
    return null;
  }

  fresh(): boolean {
    this.majorityContact.detectPause();
    return this.majorityContact.hasHadContact() && this.currentControlState.slot >= this.floor;
  }

  partitioned(): boolean {
    this.majorityContact.detectPause();
    return this.majorityContact.isLost();
  }

  wokeAt(): number {
    this.majorityContact.detectPause();
    return this.majorityContact.resumedAt();
  }

  sharedNow(): number {
    return this.time.now(this.clock.mono(), this.clock.wall());
  }

  sendToController(message: Message): void {
    const to = this.selector.followed();
    if (to === null) return;
    if (message.kind === 'reports' && message.by === undefined) this.links.sendReports(to, message.reports);
    else this.links.send(to, message);
  }

  stop(): void {
    this.stopped = true;
    this.selector.stop();
    this.tickTimer.cancel();
    this.stateWriter.stop();
  }

  controllers(): readonly string[] {
    return this.selector.all();
  }

  followed(): string | null {
    return this.selector.followed();
  }

  setTopology(locationOf: LocationOf): void {
    this.selector.setTopology(locationOf);
  }
}

/** A proxy's subscription to the ledger. */
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

/** `moved`: the state now stands at this slot. */
export type FollowerEvents = { readonly moved: { readonly slot: number } };

/**
 * A proxy's copy of the control state. It folds the slots that the followed controller tells, never back, and says
 * whether a majority stands behind what it holds: `fresh` once it holds all that a majority attested since the
 * process began or last stood still, `partitioned` when the newest contact is too long ago.
 */
export interface Follower {
  controlState(): ControlState;
  fresh(): boolean;
  partitioned(): boolean;
  wokeAt(): number;
  sharedNow(): number;
  readonly events: {
    readonly on: <K extends keyof FollowerEvents>(name: K, callback: (event: FollowerEvents[K]) => void) => void;
  };
  controllers(): readonly Address[];
  followed(): Address | null;
  setTopology(locationOf: (name: string) => Location | null): void;
  /** Tells the followed controller; reports go as differences to what it was told before. */
  sendToController(message: Message): void;
  stop(): void;
}

/** The proxy that follows. */
export type FollowerSelf = { readonly name: string; readonly zone: string; readonly region: string };

const TICK_MS = 100;

/** Loads what the disk keeps, then follows the controllers from there on. */
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
  /** The newest slot that a former run had folded; nothing is served below it. */
  private readonly floor: number;
  private wasPartitioned = false;
  private stopped = false;
  private readonly time = createSharedTime();
  private readonly receiver: SnapshotReceiver;
  private readonly contact: MajorityContact;
  private readonly links: ControllerLinks;
  private readonly choice: ControllerSelector;
  private readonly writer: ControlStateWriter;
  private readonly ticking: Timer;

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
    this.receiver = createSnapshotReceiver(peers, this.clock, this.log);
    this.contact = createMajorityContact(this.clock, (gapMs) => this.onStandstill(gapMs));
    this.links = createControllerLinks(peers, this.clock, (address) => this.onLost(address));
    this.choice = createControllerSelector({
      self: this.self,
      seeds,
      members: () => this.members(),
      links: this.links,
      clock: this.clock,
      followMessage: () => this.followMessage(),
      heartbeatMessage: () => this.heartbeatMessage(),
    });
    this.writer = createControlStateWriter(disk, this.clock, this.log, () => this.controlState());
    this.ticking = every(this.clock, TICK_MS, () => this.tick());

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
    return { kind: 'follow', name, zone, region, ledger, from: slot + 1, nonce: this.contact.nextNonce() };
  }

  private heartbeatMessage(): MessageOf<'attend'> {
    return { kind: 'attend', name: this.self.name, nonce: this.contact.nextNonce() };
  }

  private onLost(address: Address): void {
    this.choice.onDisconnected(address);
  }

  private onStandstill(gapMs: number): void {
    this.log.warn('process stood still, not serving until attested', { gapMs: Math.round(gapMs) });
    this.wasPartitioned = false;
    this.choice.onStandstill();
    this.choice.sendToSubscribed(this.followMessage());
  }

  private tick(): void {
    this.contact.detectStandstill();
    this.choice.turn();
    const alone = this.partitioned();
    if (alone !== this.wasPartitioned)
      this.log.warn(alone ? 'partitioned from the controllers' : 'in contact with the controllers again');
    this.wasPartitioned = alone;
  }

  private accepts(ledger: string): boolean {
    return this.currentControlState.ledger === '' || ledger === this.currentControlState.ledger;
  }

  private onChanges(message: MessageOf<'changes'>, peer: Peer): null {
    if (!this.accepts(message.ledger)) return null;
    const before = this.currentControlState.slot;
    if (message.snapshot && message.snapshot.slot > before) void this.adopt(message.snapshot, peer);
    let gap = false;
    for (const second of message.batches) {
      if (second.slot <= this.currentControlState.slot) continue;
      gap = second.slot !== this.currentControlState.slot + 1;
      if (gap) break;
      foldBatch(this.currentControlState, second.slot, second.batch);
    }
    if (gap && !this.receiver.isReceiving()) peer.send(this.followMessage());
    if (this.currentControlState.slot > before) this.onAdvanced();
    return null;
  }

  /** Fetches a snapshot from the controller that offered it, then asks it for the slots since. */
  private async adopt(offer: SnapshotOffer, peer: Peer): Promise<void> {
    const from = this.links.addressOf(peer);
    if (from === null) return;
    const received = await this.receiver.receive(from, offer);
    if (this.stopped || received.tag === 'interrupted' || received.tag === 'refused') return;
    if (
      received.tag === 'whole' &&
      received.state.slot > this.currentControlState.slot &&
      this.accepts(received.state.ledger)
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
    this.choice.sendToSubscribed({ kind: 'followed', name: this.self.name, slot: this.currentControlState.slot });
    this.writer.scheduleFloorSave();
  }

  private onHeartbeat(message: MessageOf<'beat'>, peer: Peer): null {
    this.contact.detectStandstill();
    const from = this.links.addressOf(peer);
    if (from === null || !this.choice.isSubscribed(from)) {
      peer.send({ kind: 'unfollow', name: this.self.name });
      return null;
    }
    if (!this.accepts(message.ledger) || message.ledger === '') return null;
    this.time.record(message.from, message.wall, this.clock.mono());
    if (message.slot > this.currentControlState.slot && !this.receiver.isReceiving()) peer.send(this.followMessage());
    if (this.holdsAllOf(message) && this.isNewContact(message.echo)) this.choice.onAttested(from);
    return null;
  }

  private holdsAllOf(message: MessageOf<'beat'>): boolean {
    return (
      message.quorate &&
      this.currentControlState.ledger !== '' &&
      this.currentControlState.slot >= Math.max(message.top, this.floor)
    );
  }

  private isNewContact(echo: number): boolean {
    const sentAt = this.contact.sentAt(echo);
    return sentAt !== null && this.contact.recordContact(sentAt);
  }

  private onReportsRequest(message: MessageOf<'reportsAsk'>, peer: Peer): null {
    const from = this.links.addressOf(peer);
    if (from !== null) this.links.forgetReports(from, message.reporters);
    return null;
  }

  fresh(): boolean {
    this.contact.detectStandstill();
    return this.contact.isKnown() && this.currentControlState.slot >= this.floor;
  }

  partitioned(): boolean {
    this.contact.detectStandstill();
    return this.contact.isLost();
  }

  wokeAt(): number {
    this.contact.detectStandstill();
    return this.contact.wokeAt();
  }

  sharedNow(): number {
    return this.time.now(this.clock.mono(), this.clock.wall());
  }

  sendToController(message: Message): void {
    const to = this.choice.followed();
    if (to === null) return;
    if (message.kind === 'reports' && message.by === undefined) this.links.sendReports(to, message.reports);
    else this.links.send(to, message);
  }

  stop(): void {
    this.stopped = true;
    this.choice.stop();
    this.ticking.cancel();
    this.writer.stop();
  }

  controllers(): readonly string[] {
    return this.choice.all();
  }

  followed(): string | null {
    return this.choice.followed();
  }

  setTopology(locationOf: LocationOf): void {
    this.choice.setTopology(locationOf);
  }
}

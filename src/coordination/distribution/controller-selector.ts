/** Which controller a proxy follows. */
import type { Message } from '../../protocol/messages.js';
import { rankCandidates, networkDistance } from '../../state/distribution/controller-candidates.js';
import type { Candidate, Location } from '../../state/distribution/controller-candidates.js';
import type { Member } from '../../state/consensus/entry.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { ControllerLinks } from './controller-links.js';

/**
 * Which controller a proxy follows: the nearest that attests, with a standby whose connection is held ready. It turns to
 * another one when the followed one is lost or silent, asks all while none attests, and looks for a nearer one now and
 * then. Those that are asked to tell changes are few: mostly the followed one alone.
 */
export interface ControllerSelector {
  followed(): Address | null;
  isSubscribed(address: Address): boolean;
  sendToSubscribed(message: Message): void;
  /** An attested beat came from this controller. */
  onAttested(from: Address): void;
  onDisconnected(address: Address): void;
  /** The process stood still: silence before now says nothing. */
  onStandstill(): void;
  turn(): void;
  /** All known controllers, the followed one first. */
  all(): readonly Address[];
  setTopology(locationOf: LocationOf): void;
  stop(): void;
}

/** The location of a controller by its name, null if unknown. */
export type LocationOf = (name: string) => Location | null;

/** The controllers to choose from, the links to them, and the messages that subscribe and keep a subscription. */
export type ControllerSelectorDeps = {
  readonly self: { readonly name: string; readonly zone: string; readonly region: string };
  readonly seeds: readonly Address[];
  readonly members: () => readonly Member[];
  readonly links: ControllerLinks;
  readonly clock: Clock;
  readonly followMessage: () => Message;
  readonly heartbeatMessage: () => Message;
};

/** The followed one is told a number at least this often, beside one after each attested beat. */
const ATTEND_MS = 700;
/** Two beats without an attestation: another one is followed. */
const SILENT_MS = 1_000;
const LOST_MS = 1_500;
const SEEK_MS = 500;
/** With no connection to any controller all are dialled anew this often: a refused dial costs little, and waiting much. */
const REDIAL_MS = 150;
const NEARER_MS = 5_000;

type Times = { attested: number; touched: number; soughtAt: number; attended: number; looked: number };

class NearestControllerSelector implements ControllerSelector {
  private readonly subscribed = new Set<Address>();
  private readonly at: Times;
  private locationOf: LocationOf = nowhere;
  private currentFollowed: Address | null = null;
  private standby: Address | null = null;
  private nearer: Address | null = null;
  private stopped = false;

  constructor(private readonly deps: ControllerSelectorDeps) {
    this.at = {
      attested: this.deps.clock.mono(),
      touched: this.deps.clock.mono(),
      soughtAt: this.deps.clock.mono(),
      attended: 0,
      looked: 0,
    };
  }

  private candidates(): Candidate[] {
    const out: Candidate[] = [];
    const known = new Set<Address>();

    const add = (address: Address, name: string | null): void => {
      if (known.has(address)) return;
      known.add(address);
      out.push({
        address,
        name,
        location: name === null ? null : this.locationOf(name),
        failed: this.deps.links.hasFailed(address),
      });
    };
    for (const member of this.deps.members()) add(member.address, member.name);
    for (const seed of this.deps.seeds) add(seed, null);
    return rankCandidates(this.deps.self, out);
  }

  onDisconnected(address: Address): void {
    if (address === this.currentFollowed) this.turnOnFailure();
  }

  private turnOnFailure(): void {
    if (this.stopped) return;
    for (const candidate of this.candidates()) if (!candidate.failed) return this.turnAway();
  }

  private async ask(to: Address): Promise<void> {
    this.subscribed.add(to);
    const peer = await this.deps.links.dial(to);
    if (this.stopped || !this.subscribed.has(to)) return;
    if (peer) peer.send(this.deps.followMessage());
    else if (to === this.currentFollowed) this.turnOnFailure();
  }

  private turnAway(): void {
    if (this.currentFollowed !== null) this.deps.links.recordFailure(this.currentFollowed);
    this.nearer = null;
    this.at.attested = this.deps.clock.mono();
    const order = this.candidates();
    for (const candidate of order) {
      if (candidate.address === this.currentFollowed && order.length > 1) continue;
      this.currentFollowed = candidate.address;
      break;
    }
    if (this.currentFollowed !== null) void this.ask(this.currentFollowed);
    this.chooseStandby();
  }

  private chooseStandby(): void {
    const was = this.standby;
    this.standby = null;
    for (const candidate of this.candidates()) {
      if (candidate.address === this.currentFollowed || candidate.failed) continue;
      this.standby = candidate.address;
      break;
    }
    if (this.standby !== null) void this.deps.links.dial(this.standby);
    if (was !== null && was !== this.standby) this.release(was);
  }

  private release(address: Address): void {
    if (
      address === this.currentFollowed ||
      address === this.standby ||
      address === this.nearer ||
      this.subscribed.has(address)
    )
      return;
    this.deps.links.release(address);
  }

  private unfollow(address: Address): void {
    this.subscribed.delete(address);
    this.deps.links.send(address, { kind: 'unfollow', name: this.deps.self.name });
    this.release(address);
  }

  private follow(address: Address): void {
    this.currentFollowed = address;
    this.nearer = null;
    this.deps.links.recordSuccess(address);
    for (const other of [...this.subscribed]) if (other !== address) this.unfollow(other);
    this.chooseStandby();
  }

  private sendHeartbeat(): void {
    this.at.attended = this.deps.clock.mono();
    this.sendToSubscribed(this.deps.heartbeatMessage());
  }

  sendToSubscribed(message: Message): void {
    for (const to of this.subscribed) this.deps.links.send(to, message);
  }

  private isConnected(): boolean {
    for (const to of this.subscribed) if (this.deps.links.isConnected(to)) return true;
    return false;
  }

  private mustSeek(now: number): boolean {
    if (!this.isConnected()) return now - this.at.soughtAt >= REDIAL_MS;
    return now - this.at.touched > LOST_MS && now - this.at.soughtAt >= SEEK_MS;
  }

  private seekAnyone(): void {
    this.at.soughtAt = this.deps.clock.mono();
    for (const candidate of this.candidates())
      if (!this.subscribed.has(candidate.address) || !this.deps.links.isConnected(candidate.address))
        void this.ask(candidate.address);
  }

  private seekNearer(): void {
    this.at.looked = this.deps.clock.mono();
    const [best] = this.candidates();
    const now = this.nameOf(this.currentFollowed);
    if (!best || best.failed || best.location?.up !== true || best.address === this.currentFollowed || now === null)
      return;
    if (networkDistance(this.deps.self, best.location) >= networkDistance(this.deps.self, this.locationOf(now))) return;
    this.nearer = best.address;
    void this.ask(this.nearer);
  }

  private nameOf(address: Address | null): string | null {
    for (const member of this.deps.members()) if (member.address === address) return member.name;
    return null;
  }

  onAttested(from: Address): void {
    this.at.touched = this.deps.clock.mono();
    this.recordAttested(from);
    this.sendHeartbeat();
  }

  private recordAttested(from: Address): void {
    const now = this.deps.clock.mono();
    if (from === this.currentFollowed) {
      this.at.attested = now;
      if (this.nearer === null && this.subscribed.size > 1) this.follow(from);
      return;
    }
    const isFollowedReachable =
      this.currentFollowed !== null &&
      this.deps.links.isConnected(this.currentFollowed) &&
      now - this.at.attested <= SILENT_MS / 2;
    if (from !== this.nearer && isFollowedReachable) return;
    this.at.attested = now;
    this.follow(from);
  }

  onStandstill(): void {
    this.at.attested = this.deps.clock.mono();
  }

  turn(): void {
    const now = this.deps.clock.mono();
    if (this.currentFollowed === null || now - this.at.attested > SILENT_MS) this.turnAway();
    if (this.mustSeek(now)) this.seekAnyone();
    if (now - this.at.attended >= ATTEND_MS) this.sendHeartbeat();
    if (now - this.at.looked < NEARER_MS) return;
    this.nearer = null;
    this.seekNearer();
    this.chooseStandby();
  }

  followed(): Address | null {
    return this.currentFollowed;
  }

  isSubscribed(address: Address): boolean {
    return this.subscribed.has(address);
  }

  all(): readonly Address[] {
    const out = new Set<Address>(this.currentFollowed === null ? [] : [this.currentFollowed]);
    for (const candidate of this.candidates()) out.add(candidate.address);
    return [...out];
  }

  setTopology(locationOf: LocationOf): void {
    this.locationOf = locationOf;
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Follows nobody until the first turn. */
export function createControllerSelector(deps: ControllerSelectorDeps): ControllerSelector {
  return new NearestControllerSelector(deps);
}

function nowhere(): null {
  return null;
}

/** Selects the controller that a proxy follows. */
import type { Message } from '../../protocol/messages.js';
import { rankCandidates, networkDistance } from '../../state/distribution/controller-candidates.js';
import type { Candidate, Location } from '../../state/distribution/controller-candidates.js';
import type { Member } from '../../state/consensus/entry.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { ControllerLinks } from './controller-links.js';

/**
 * Follows the nearest controller that attests, and keeps a connection to a standby open. The proxy switches to another
 * controller when the followed one is disconnected or stops attesting, subscribes to all of them while none attests,
 * and checks periodically for a nearer one. It is subscribed to few controllers, mostly to the followed one alone.
 */
export interface ControllerSelector {
  followed(): Address | null;
  isSubscribed(address: Address): boolean;
  sendToSubscribed(message: Message): void;
  /** Called when an attested heartbeat arrives from this controller. */
  onAttested(from: Address): void;
  onDisconnected(address: Address): void;
  /** Called after a process pause: missing heartbeats before now say nothing about the followed controller. */
  onProcessPause(): void;
  tick(): void;
  /** Returns all known controllers, the followed one first. */
  all(): readonly Address[];
  setTopology(locationOf: LocationOf): void;
  stop(): void;
}

/** Returns the location of a controller by its name; null if unknown. */
export type LocationOf = (name: string) => Location | null;

/** The controllers to select from, the connections to them, and the messages that open and keep a subscription. */
export type ControllerSelectorDeps = {
  readonly self: { readonly name: string; readonly zone: string; readonly region: string };
  readonly seeds: readonly Address[];
  readonly members: () => readonly Member[];
  readonly links: ControllerLinks;
  readonly clock: Clock;
  readonly followMessage: () => Message;
  readonly heartbeatMessage: () => Message;
};

/** Subscribed controllers get a nonce at least this often, in addition to one after each attested heartbeat. */
const HEARTBEAT_INTERVAL_MS = 700;
/** After two heartbeat intervals without an attestation the proxy switches to another controller. */
const ATTESTATION_TIMEOUT_MS = 1_000;
/** Without an attestation from any controller for this long, the proxy subscribes to all of them. */
const CONTACT_TIMEOUT_MS = 1_500;
const SUBSCRIBE_ALL_INTERVAL_MS = 500;
/** Without any connection, all controllers are dialled this often: a refused dial costs little, and waiting much. */
const REDIAL_INTERVAL_MS = 150;
const NEARER_CHECK_INTERVAL_MS = 5_000;

type Timestamps = {
  followedAttestedAt: number;
  attestedAt: number;
  subscribedAllAt: number;
  heartbeatSentAt: number;
  nearerCheckedAt: number;
};

class NearestControllerSelector implements ControllerSelector {
  private readonly subscribed = new Set<Address>();
  private readonly at: Timestamps;
  private locationOf: LocationOf = unknownLocation;
  private followedAddress: Address | null = null;
  private standbyAddress: Address | null = null;
  private nearerAddress: Address | null = null;
  private stopped = false;

  constructor(private readonly deps: ControllerSelectorDeps) {
    this.at = {
      followedAttestedAt: this.deps.clock.mono(),
      attestedAt: this.deps.clock.mono(),
      subscribedAllAt: this.deps.clock.mono(),
      heartbeatSentAt: 0,
      nearerCheckedAt: 0,
    };
  }

  private candidates(): Candidate[] {
    const candidates: Candidate[] = [];
    const addedAddresses = new Set<Address>();

    const add = (address: Address, name: string | null): void => {
      if (addedAddresses.has(address)) return;
      addedAddresses.add(address);
      candidates.push({
        address,
        name,
        location: name === null ? null : this.locationOf(name),
        failed: this.deps.links.hasFailed(address),
      });
    };
    for (const member of this.deps.members()) add(member.address, member.name);
    for (const seed of this.deps.seeds) add(seed, null);
    return rankCandidates(this.deps.self, candidates);
  }

  onDisconnected(address: Address): void {
    if (address === this.followedAddress) this.switchOnFailure();
  }

  private switchOnFailure(): void {
    if (this.stopped) return;
    for (const candidate of this.candidates()) if (!candidate.failed) return this.switchController();
  }

  private async subscribe(to: Address): Promise<void> {
    this.subscribed.add(to);
    const peer = await this.deps.links.dial(to);
    if (this.stopped || !this.subscribed.has(to)) return;
    if (peer) peer.send(this.deps.followMessage());
    else if (to === this.followedAddress) this.switchOnFailure();
  }

  private switchController(): void {
    if (this.followedAddress !== null) this.deps.links.recordFailure(this.followedAddress);
    this.nearerAddress = null;
    this.at.followedAttestedAt = this.deps.clock.mono();
    const ranked = this.candidates();
    for (const candidate of ranked) {
      if (candidate.address === this.followedAddress && ranked.length > 1) continue;
      this.followedAddress = candidate.address;
      break;
    }
    if (this.followedAddress !== null) void this.subscribe(this.followedAddress);
    this.selectStandby();
  }

  private selectStandby(): void {
    const previous = this.standbyAddress;
    this.standbyAddress = null;
    for (const candidate of this.candidates()) {
      if (candidate.address === this.followedAddress || candidate.failed) continue;
      this.standbyAddress = candidate.address;
      break;
    }
    if (this.standbyAddress !== null) void this.deps.links.dial(this.standbyAddress);
    if (previous !== null && previous !== this.standbyAddress) this.release(previous);
  }

  private release(address: Address): void {
    if (
      address === this.followedAddress ||
      address === this.standbyAddress ||
      address === this.nearerAddress ||
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
    this.followedAddress = address;
    this.nearerAddress = null;
    this.deps.links.recordSuccess(address);
    for (const other of [...this.subscribed]) if (other !== address) this.unfollow(other);
    this.selectStandby();
  }

  private sendHeartbeat(): void {
    this.at.heartbeatSentAt = this.deps.clock.mono();
    this.sendToSubscribed(this.deps.heartbeatMessage());
  }

  sendToSubscribed(message: Message): void {
    for (const to of this.subscribed) this.deps.links.send(to, message);
  }

  private hasConnection(): boolean {
    for (const to of this.subscribed) if (this.deps.links.isConnected(to)) return true;
    return false;
  }

  private shouldSubscribeToAll(now: number): boolean {
    if (!this.hasConnection()) return now - this.at.subscribedAllAt >= REDIAL_INTERVAL_MS;
    return now - this.at.attestedAt > CONTACT_TIMEOUT_MS && now - this.at.subscribedAllAt >= SUBSCRIBE_ALL_INTERVAL_MS;
  }

  private subscribeToAll(): void {
    this.at.subscribedAllAt = this.deps.clock.mono();
    for (const candidate of this.candidates())
      if (!this.subscribed.has(candidate.address) || !this.deps.links.isConnected(candidate.address))
        void this.subscribe(candidate.address);
  }

  private subscribeToNearer(): void {
    this.at.nearerCheckedAt = this.deps.clock.mono();
    const [best] = this.candidates();
    const followedName = this.nameOf(this.followedAddress);
    if (
      !best ||
      best.failed ||
      best.location?.up !== true ||
      best.address === this.followedAddress ||
      followedName === null
    )
      return;
    if (
      networkDistance(this.deps.self, best.location) >= networkDistance(this.deps.self, this.locationOf(followedName))
    )
      return;
    this.nearerAddress = best.address;
    void this.subscribe(this.nearerAddress);
  }

  private nameOf(address: Address | null): string | null {
    for (const member of this.deps.members()) if (member.address === address) return member.name;
    return null;
  }

  onAttested(from: Address): void {
    this.at.attestedAt = this.deps.clock.mono();
    this.recordAttested(from);
    this.sendHeartbeat();
  }

  private recordAttested(from: Address): void {
    const now = this.deps.clock.mono();
    if (from === this.followedAddress) {
      this.at.followedAttestedAt = now;
      if (this.nearerAddress === null && this.subscribed.size > 1) this.follow(from);
      return;
    }
    const isFollowedReachable =
      this.followedAddress !== null &&
      this.deps.links.isConnected(this.followedAddress) &&
      now - this.at.followedAttestedAt <= ATTESTATION_TIMEOUT_MS / 2;
    if (from !== this.nearerAddress && isFollowedReachable) return;
    this.at.followedAttestedAt = now;
    this.follow(from);
  }

  onProcessPause(): void {
    this.at.followedAttestedAt = this.deps.clock.mono();
  }

  tick(): void {
    const now = this.deps.clock.mono();
    if (this.followedAddress === null || now - this.at.followedAttestedAt > ATTESTATION_TIMEOUT_MS)
      this.switchController();
    if (this.shouldSubscribeToAll(now)) this.subscribeToAll();
    if (now - this.at.heartbeatSentAt >= HEARTBEAT_INTERVAL_MS) this.sendHeartbeat();
    if (now - this.at.nearerCheckedAt < NEARER_CHECK_INTERVAL_MS) return;
    this.nearerAddress = null;
    this.subscribeToNearer();
    this.selectStandby();
  }

  followed(): Address | null {
    return this.followedAddress;
  }

  isSubscribed(address: Address): boolean {
    return this.subscribed.has(address);
  }

  all(): readonly Address[] {
    const addresses = new Set<Address>(this.followedAddress === null ? [] : [this.followedAddress]);
    for (const candidate of this.candidates()) addresses.add(candidate.address);
    return [...addresses];
  }

  setTopology(locationOf: LocationOf): void {
    this.locationOf = locationOf;
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Follows no controller until the first tick. */
export function createControllerSelector(deps: ControllerSelectorDeps): ControllerSelector {
  return new NearestControllerSelector(deps);
}

function unknownLocation(): null {
  return null;
}

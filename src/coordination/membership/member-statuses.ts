/**
 * Polls the status of all members every half second (newest slots, and lost contacts with others), and provides the
 * status of this member. The reported status may be ahead of what is on the disk, but is never behind what this
 * controller has accepted.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
import type { Clock } from '../../transport/clock.js';
import { ProcessPauseDetector } from '../../transport/process-pause-detector.js';
import type { Peers } from '../messaging/peers.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** The contact to each member, and which members have lost contact with which others. */
export interface MemberStatuses {
  /** Returns the status of this member. */
  ownStatus(): MessageOf<'memberStatus'>;
  /** Requests the status of all other members; to be called every half second. */
  requestAll(): void;
  lastContactAt(id: string): number | null;
  isReachable(id: string): boolean;
  sinceContactMs(id: string): number;
  isUnreachableByMajority(id: string): boolean;
  /** Whether the last status of a member announced that it is shutting down. */
  isLeaving(id: string): boolean;
  /** Announces to all members that this one is shutting down. */
  announceLeaving(): void;
}

/** Dependencies of the status polling; `onMemberStatus` is called with each received status. */
export type MemberStatusesDeps = {
  readonly clock: Clock;
  readonly peers: Peers;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly top: () => number;
  readonly writable: () => boolean;
  readonly onMemberStatus: (received: ReceivedMemberStatus) => void;
};

/** A member's status, and when it was requested (monotonic clock). */
export type ReceivedMemberStatus = {
  readonly member: Member;
  readonly requestedAt: number;
  readonly memberStatus: MessageOf<'memberStatus'>;
};

type Contact = { readonly at: number; readonly unheard: readonly string[] };

/** Interval at which the status of the members is requested, in milliseconds. */
export const MEMBER_STATUS_INTERVAL_MS = 500;
const REQUEST_TIMEOUT_MS = 1_000;
const LOST_CONTACT_TIMEOUT_MS = 2_500;
const REACHABLE_TIMEOUT_MS = 1_600;

class PolledMemberStatuses implements MemberStatuses {
  private readonly contacts = new Map<string, Contact>();
  private readonly pauseDetector: ProcessPauseDetector;
  private readonly leavingIds = new Set<string>();
  private isSelfLeaving = false;
  private observedSince: number;

  constructor(private readonly deps: MemberStatusesDeps) {
    this.pauseDetector = new ProcessPauseDetector(this.deps.clock);
    this.observedSince = this.deps.clock.mono();
    this.deps.peers.on('memberStatus', (status) => this.onStatusAnnounced(status));
  }

  private resetAfterPause(): void {
    if (this.pauseDetector.tick() === null) return;
    this.observedSince = this.deps.clock.mono();
    this.contacts.clear();
    this.leavingIds.clear();
  }

  private others(): Member[] {
    return otherMembers(this.deps.controlState().members, this.deps.self);
  }

  lastContactAt(id: string): number | null {
    return this.contacts.get(id)?.at ?? null;
  }

  sinceContactMs(id: string): number {
    return this.deps.clock.mono() - (this.lastContactAt(id) ?? this.observedSince);
  }

  isReachable(id: string): boolean {
    const at = this.lastContactAt(id);
    return at !== null && this.deps.clock.mono() - at < REACHABLE_TIMEOUT_MS;
  }

  ownStatus(): MessageOf<'memberStatus'> {
    const state = this.deps.controlState();
    const unheard: string[] = [];
    for (const member of this.others())
      if (this.sinceContactMs(memberId(member)) > LOST_CONTACT_TIMEOUT_MS) unheard.push(memberId(member));
    return {
      kind: 'memberStatus',
      ledger: state.ledger,
      voter: memberId(this.deps.self),
      address: this.deps.self.address,
      learned: state.slot,
      top: this.deps.top(),
      wall: this.deps.clock.wall(),
      ...(unheard.length > 0 ? { unheard } : {}),
      ...(this.deps.writable() ? {} : { cannotWrite: true }),
      ...(this.isSelfLeaving ? { leaving: true } : {}),
    };
  }

  isUnreachableByMajority(id: string): boolean {
    let lostContactCount = this.sinceContactMs(id) > LOST_CONTACT_TIMEOUT_MS ? 1 : 0;
    for (const member of this.others()) {
      const other = memberId(member);
      if (other !== id && this.isReachable(other) && this.contacts.get(other)?.unheard.includes(id))
        lostContactCount += 1;
    }
    return lostContactCount >= majorityOf(this.deps.controlState().members);
  }

  isLeaving(id: string): boolean {
    return this.leavingIds.has(id);
  }

  announceLeaving(): void {
    this.isSelfLeaving = true;
    for (const member of this.others()) void this.deps.peers.send(member.address, this.ownStatus());
  }

  private onStatusAnnounced(status: MessageOf<'memberStatus'>): null {
    if (status.ledger === this.deps.controlState().ledger) this.recordLeaving(status);
    return null;
  }

  private recordLeaving(status: MessageOf<'memberStatus'>): void {
    if (status.leaving === true) this.leavingIds.add(status.voter);
    else this.leavingIds.delete(status.voter);
  }

  private async requestStatus(member: Member): Promise<void> {
    const requestedAt = this.deps.clock.mono();
    const response = await this.deps.peers.call(member.address, { kind: 'memberStatusAsk' }, REQUEST_TIMEOUT_MS);
    if (!response.ok || response.value.kind !== 'memberStatus' || response.value.voter !== memberId(member)) return;
    if (requestedAt < this.observedSince) return;
    this.recordLeaving(response.value);
    this.contacts.set(memberId(member), { at: requestedAt, unheard: response.value.unheard ?? [] });
    if (response.value.ledger === this.deps.controlState().ledger)
      this.deps.onMemberStatus({ member, requestedAt, memberStatus: response.value });
  }

  requestAll(): void {
    this.resetAfterPause();
    const requestedIds = new Set<string>();
    for (const member of this.others()) {
      requestedIds.add(memberId(member));
      void this.requestStatus(member);
    }
    for (const id of this.contacts.keys()) if (!requestedIds.has(id)) this.contacts.delete(id);
    for (const id of this.leavingIds) if (!requestedIds.has(id)) this.leavingIds.delete(id);
  }
}

/** Creates the status polling, with no statuses yet. */
export function createMemberStatuses(deps: MemberStatusesDeps): MemberStatuses {
  return new PolledMemberStatuses(deps);
}

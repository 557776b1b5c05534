/**
 * Manages the membership of the core: admits joining controllers, joins the group, and leaves it before this controller
 * shuts down. Silent members are removed by `silent-members.ts`. Created by `ledger.ts`, which runs one step every half second.
 *
 * Invariants (docs/consistency.md, section 3): each change is one log entry, agreed by a majority of the members before
 * it; no member is removed for being silent from a group of the target size or smaller; a leaving member shuts down only
 * after a majority has learned everything that it knows.
 */
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId, MAX_MEMBERS } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Command, Member } from '../../state/consensus/entry.js';
import { withTimeout } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { shuffled } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { CommittedEntry, EntryDraft, ProposeError } from '../consensus/proposal.js';
import { GroupLeave } from './group-leave.js';
import type { LeaveOutcome } from './group-leave.js';
import type { MemberStatuses } from './member-statuses.js';
import { SilentMembers } from './silent-members.js';
import type { AbsentMember } from './silent-members.js';

/** Maintains the membership of the group, as seen by one controller. */
export interface MembershipChanges {
  /** Runs one step; to be called every half second. */
  tick(): Promise<void>;
  /** Removes the silent members above the target size; see `SilentMembers`. */
  removeSilentMembers(withinMs: number): Promise<boolean>;
  /** Leaves the group within the given time; to be called once, before this controller shuts down. */
  leave(withinMs: number): Promise<LeaveOutcome>;
}

/** Dependencies of the membership changes. */
export type MembershipChangesDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly log: Log;
  readonly self: Member;
  readonly contacts: () => Iterable<Address>;
  readonly seeds: readonly Address[];
  readonly controlState: () => ControlState;
  readonly memberStatuses: MemberStatuses;
  readonly propose: (draft: EntryDraft, waitMs: number) => Promise<Result<CommittedEntry, ProposeError>>;
  readonly linearizableRead: (waitMs: number) => Promise<boolean>;
  readonly catchUp: (from: Address) => Promise<void>;
  /** Creates a new identity and stores it on the disk. */
  readonly renewIncarnation: () => Promise<boolean>;
  readonly mayShrinkOddGroup: boolean;
  /** Silent members are removed only from a group that is larger than this. */
  readonly targetSize: number;
  /** Whether this identity has been a member according to the disk; null if the disk does not say. */
  readonly wasMember: boolean | null;
  /** Stores on the disk that this identity is a member. */
  readonly recordMembership: () => Promise<boolean>;
};

const REQUEST_TIMEOUT_MS = 600;
const AGREEMENT_TIMEOUT_MS = 1_500;
const ADMISSION_TIMEOUT_MS = 2_500;

class LedgerMembershipChanges implements MembershipChanges {
  // Knowing a ledger does not imply having been a member: a controller that stopped while its admission was being
  // agreed must keep its identity.
  private wasMember: boolean;
  private isMembershipStored: boolean;
  private isLeaving = false;
  private pendingJoin: Promise<void> | null = null;
  private readonly groupLeave: GroupLeave;
  private readonly silentMembers: SilentMembers;

  constructor(private readonly deps: MembershipChangesDeps) {
    this.wasMember = this.deps.wasMember ?? this.deps.controlState().ledger !== '';
    this.isMembershipStored = this.deps.wasMember === true;
    this.groupLeave = new GroupLeave(deps);
    this.silentMembers = new SilentMembers({
      ...deps,
      proposeChange: (cause, command) => this.proposeChange(cause, command),
    });

    this.deps.peers.on('rejoin', (message) => this.onRejoin(message));
  }

  private ownMember(): Member | null {
    for (const member of this.deps.controlState().members)
      if (memberId(member) === memberId(this.deps.self)) return member;
    return null;
  }

  private async proposeChange(cause: string, command: Command): Promise<boolean> {
    const response = await this.deps.propose({ cause, act: command }, AGREEMENT_TIMEOUT_MS);
    return response.ok && response.value.outcome.tag === 'applied';
  }

  private async admissionCommand(joiner: Member): Promise<Command | null> {
    for (const old of this.deps.controlState().members)
      if (old.name === joiner.name) return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    for (const old of this.deps.controlState().members)
      if (old.address === joiner.address) return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    const absent = await this.silentMembers.absent(REQUEST_TIMEOUT_MS);
    const replaceable = absent.find((old) => this.mayTakePlaceOf(old));
    if (replaceable) return { tag: 'memberReplaced', old: memberId(replaceable.member), member: joiner };
    return this.isGroupFull() ? null : { tag: 'memberAdded', member: joiner };
  }

  private isGroupFull(): boolean {
    return this.deps.controlState().members.length >= MAX_MEMBERS;
  }

  /**
   * Whether a joiner may take the place of a member that does not respond. One that is only silent may come back with its
   * disk, so it keeps its place, unless no further member could ever join.
   */
  private mayTakePlaceOf({ member, isLeaving }: AbsentMember): boolean {
    return isLeaving || (this.isGroupFull() && this.deps.memberStatuses.isUnreachableByMajority(memberId(member)));
  }

  private async onRejoin(message: MessageOf<'rejoin'>): Promise<Message> {
    if (message.ledger !== this.deps.controlState().ledger || !this.ownMember()) return { kind: 'done', agreed: false };
    for (const old of this.deps.controlState().members)
      if (memberId(old) === memberId(message.member) && old.address === message.member.address)
        return { kind: 'done', agreed: true };
    const command = await this.admissionCommand(message.member);
    if (!command) return { kind: 'done', agreed: false };
    const cause =
      command.tag === 'memberAdded'
        ? `${message.member.name} joined.`
        : `${message.member.name} came new, or at a new address.`;
    return { kind: 'done', agreed: await this.proposeChange(cause, command) };
  }

  private async publishOwnAddress(): Promise<void> {
    if (
      await this.proposeChange(`${this.deps.self.name} serves at a new address.`, {
        tag: 'memberReplaced',
        old: memberId(this.deps.self),
        member: { ...this.deps.self },
      })
    )
      this.deps.log.info('address published', { address: this.deps.self.address });
  }

  private async requestStatuses(targets: Iterable<Address>): Promise<MessageOf<'memberStatus'>[]> {
    const statuses: MessageOf<'memberStatus'>[] = [];
    const requests: Promise<void>[] = [];

    const requestStatus = async (to: Address): Promise<void> => {
      const response = await this.deps.peers.call(to, { kind: 'memberStatusAsk' }, REQUEST_TIMEOUT_MS);
      if (!response.ok || response.value.kind !== 'memberStatus' || response.value.ledger === '') return;
      if (this.deps.controlState().ledger === '' || response.value.ledger === this.deps.controlState().ledger)
        statuses.push(response.value);
      else this.deps.log.error('controller of another ledger ignored', { address: to });
    };
    for (const to of targets) requests.push(requestStatus(to));
    await Promise.all(requests);
    return statuses.sort((left, right) => this.byNewestSlot(left, right));
  }

  private byNewestSlot(left: MessageOf<'memberStatus'>, right: MessageOf<'memberStatus'>): number {
    return right.learned - left.learned;
  }

  private async catchUpAndJoin(): Promise<void> {
    const targets = new Set<Address>(this.deps.contacts());
    for (const member of this.deps.controlState().members) targets.add(member.address);
    targets.delete(this.deps.self.address);
    const statuses = await this.requestStatuses(targets);
    const mostAdvanced = statuses[0];
    if (!mostAdvanced) return;
    if (this.deps.controlState().ledger === '' && !statuses.some((status) => this.isSeed(status)))
      this.deps.log.warn('no seed reachable, using a known controller', { address: mostAdvanced.address });
    if (mostAdvanced.learned > this.deps.controlState().slot) await this.deps.catchUp(mostAdvanced.address);
    if (this.ownMember()?.address === this.deps.self.address) return;
    if (this.wasMember && !this.ownMember()) {
      if (!(await this.deps.renewIncarnation())) return;
      this.wasMember = false;
      this.isMembershipStored = false;
      this.deps.log.info('removed from the group, rejoining', { member: memberId(this.deps.self) });
    }
    const addresses: Address[] = [];
    for (const member of this.deps.controlState().members)
      for (const status of statuses) if (status.address === member.address) addresses.push(member.address);
    this.pendingJoin = this.join(shuffled(this.deps.rng, addresses).slice(0, 2));
    await this.pendingJoin;
    this.pendingJoin = null;
  }

  /** Requests admission from one member after the other. */
  private async join(addresses: readonly Address[]): Promise<void> {
    for (const to of addresses) {
      if (this.isLeaving) return;
      const response = await this.deps.peers.call(
        to,
        { kind: 'rejoin', ledger: this.deps.controlState().ledger, member: { ...this.deps.self } },
        ADMISSION_TIMEOUT_MS,
      );
      if (!response.ok || response.value.kind !== 'done' || !response.value.agreed) continue;
      await this.deps.catchUp(to);
      if (this.ownMember()?.address === this.deps.self.address)
        this.deps.log.info('joined the group', { member: memberId(this.deps.self) });
      return;
    }
  }

  private isSeed(status: MessageOf<'memberStatus'>): boolean {
    return this.deps.seeds.includes(status.address);
  }

  private hasMajority(): boolean {
    let reachableCount = 1;
    for (const member of this.deps.controlState().members)
      if (memberId(member) !== memberId(this.deps.self) && this.deps.memberStatuses.isReachable(memberId(member)))
        reachableCount += 1;
    return 2 * reachableCount > this.deps.controlState().members.length;
  }

  removeSilentMembers(withinMs: number): Promise<boolean> {
    return this.silentMembers.removeAll(withinMs);
  }

  async tick(): Promise<void> {
    if (this.isLeaving) return;
    const ownMember = this.ownMember();
    if (ownMember) this.wasMember = true;
    if (ownMember && !this.isMembershipStored) this.isMembershipStored = await this.deps.recordMembership();
    if (
      ownMember &&
      ownMember.address !== this.deps.self.address &&
      (await this.deps.linearizableRead(AGREEMENT_TIMEOUT_MS)) &&
      this.ownMember()
    )
      await this.publishOwnAddress();
    if (this.ownMember()?.address === this.deps.self.address && this.hasMajority())
      await this.silentMembers.removeDead();
    else await this.catchUpAndJoin();
  }

  async leave(withinMs: number): Promise<LeaveOutcome> {
    const deadline = this.deps.clock.mono() + withinMs;
    this.isLeaving = true;
    this.deps.memberStatuses.announceLeaving();
    await this.awaitPendingJoin(deadline);
    return this.groupLeave.leave(deadline - this.deps.clock.mono());
  }

  /** Waits for a pending admission: it may have been agreed before this controller learns of it. */
  private async awaitPendingJoin(deadline: number): Promise<void> {
    if (!this.pendingJoin) return;
    await withTimeout(this.deps.clock, deadline - this.deps.clock.mono(), this.pendingJoin);
    if (!this.ownMember())
      await this.deps.linearizableRead(Math.min(AGREEMENT_TIMEOUT_MS, deadline - this.deps.clock.mono()));
  }
}

/**
 * Creates the membership changes, which also answer the join requests of other controllers. Each step catches up and
 * joins, publishes a new address, or removes one dead member.
 */
export function createMembershipChanges(deps: MembershipChangesDeps): MembershipChanges {
  return new LedgerMembershipChanges(deps);
}

/**
 * Lets a controller leave the group when it is shut down. An even group, which tolerates no more losses with the member
 * than without it, and a group above its target size first agree on its removal. In a group of the target size its
 * place goes back to a member that was removed while silent and may come back with its disk. Then a majority of the other members has to learn everything that it
 * knows, so that nothing exists only on the replica that leaves. Created by `membership-changes.ts`.
 */
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Command, Member } from '../../state/consensus/entry.js';
import { otherMembers } from '../../state/consensus/fold-members.js';
import type { Message } from '../../protocol/messages.js';
import type { Result } from '../../base/result.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { poll } from '../consensus/poll.js';
import type { MemberResponses } from '../consensus/poll.js';
import type { CommittedEntry, EntryDraft, ProposeError } from '../consensus/proposal.js';
import type { Peers } from '../messaging/peers.js';

/** Dependencies of a leave. */
export type GroupLeaveDeps = {
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'call'>;
  readonly log: Log;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly propose: (draft: EntryDraft, waitMs: number) => Promise<Result<CommittedEntry, ProposeError>>;
  readonly targetSize: number;
  /** False where run-once claims are kept: an odd group then keeps its members. */
  readonly mayShrinkOddGroup: boolean;
};

/** `isHandedOver`: a majority of the other members has learned everything that this controller knows. */
export type LeaveOutcome = { readonly isMember: boolean; readonly isHandedOver: boolean };

const PROPOSAL_TIMEOUT_MS = 1_000;
const HAND_OVER_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 600;
const HAND_OVER_CHECK_INTERVAL_MS = 30;
const RETRY_DELAY_MS = 100;
/** Losses of power last seconds. A machine that has been away for longer is taken for replaced. */
const RETURN_TIMEOUT_MS = 30_000;

/** Carries out the leave of this controller; created when the controller starts. */
export class GroupLeave {
  constructor(private readonly deps: GroupLeaveDeps) {}

  /** Leaves within `withinMs`. The group may grow meanwhile, so its size is checked again after the hand-over. */
  async leave(withinMs: number): Promise<LeaveOutcome> {
    const deadline = this.deps.clock.mono() + withinMs;
    if (!this.isMember()) return { isMember: false, isHandedOver: true };
    let isHandedOver = false;
    do {
      await this.giveUpPlace(deadline);
      isHandedOver = await this.handOver(deadline);
    } while (this.departure() && this.deps.clock.mono() < deadline);
    const outcome = { isMember: this.isMember(), isHandedOver };
    this.deps.log.info('leave ended', outcome);
    return outcome;
  }

  private members(): readonly Member[] {
    return this.deps.controlState().members;
  }

  private isMember(): boolean {
    return this.members().some((member) => memberId(member) === memberId(this.deps.self));
  }

  /** Returns the entry by which this controller gives up its place; null if it is to keep it, or has none. */
  private departure(): Command | null {
    if (!this.isMember()) return null;
    const old = memberId(this.deps.self);
    const size = this.members().length;
    if (size % 2 === 0) return { tag: 'memberRemoved', old };
    if (!this.deps.mayShrinkOddGroup) return null;
    if (size > this.deps.targetSize) return { tag: 'memberRemoved', old, ifMoreThan: this.deps.targetSize };
    const returning = this.returningMember();
    return returning && { tag: 'memberReplaced', old, member: returning };
  }

  /** Returns the member that was removed last while it was silent, if it may still come back. */
  private returningMember(): Member | null {
    const last = this.deps.controlState().away?.at(-1);
    return last && Math.abs(this.deps.clock.wall() - last.removedAt) < RETURN_TIMEOUT_MS ? last.member : null;
  }

  private async giveUpPlace(deadline: number): Promise<void> {
    for (let command = this.departure(); command && this.deps.clock.mono() < deadline; command = this.departure()) {
      const waitMs = Math.min(PROPOSAL_TIMEOUT_MS, deadline - this.deps.clock.mono());
      await this.deps.propose({ cause: `${this.deps.self.name} was told to end.`, act: command }, waitMs);
      if (this.departure()) await delay(this.deps.clock, RETRY_DELAY_MS);
    }
  }

  private async handOver(deadline: number): Promise<boolean> {
    const handOverDeadline = Math.min(deadline, this.deps.clock.mono() + HAND_OVER_TIMEOUT_MS);
    while (this.deps.clock.mono() < handOverDeadline) {
      if (await this.hasMajorityCaughtUp()) return true;
      await delay(this.deps.clock, HAND_OVER_CHECK_INTERVAL_MS);
    }
    return false;
  }

  /** Resolves as soon as the responses decide the result, without waiting for unresponsive members. */
  private async hasMajorityCaughtUp(): Promise<boolean> {
    const { slot } = this.deps.controlState();
    const others = otherMembers(this.members(), this.deps.self);
    const requiredCount = Math.min(others.length, majorityOf(this.members()));
    const requestStatus = (member: Member): Promise<Message | null> => this.caughtUpStatus(member, slot);
    const isEnough = (votes: MemberResponses, pendingCount: number): boolean =>
      votes.size >= requiredCount || votes.size + pendingCount < requiredCount;
    return (await poll(others, requestStatus, isEnough)).size >= requiredCount;
  }

  /** Returns the member's status if it has learned all slots up to `slot`, else null. */
  private async caughtUpStatus(member: Member, slot: number): Promise<Message | null> {
    const response = await this.deps.peers.call(member.address, { kind: 'memberStatusAsk' }, REQUEST_TIMEOUT_MS);
    if (!response.ok || response.value.kind !== 'memberStatus') return null;
    return response.value.voter === memberId(member) && response.value.learned >= slot ? response.value : null;
  }
}

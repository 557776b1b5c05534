/**
 * How a controller that is told to end leaves the group: an even group, which bears no more losses with it than without, agrees
 * its removal; then a majority of the others has to learn all that it knows, so that no copy ends with it. `ledger.ts` makes one.
 */
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
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

/** What a leave is carried out with. */
export type GroupLeaveDeps = {
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'call'>;
  readonly log: Log;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly propose: (draft: EntryDraft, waitMs: number) => Promise<Result<CommittedEntry, ProposeError>>;
};

/** `isHandedOver`: a majority of the others knows all that this controller does. */
export type LeaveOutcome = { readonly isMember: boolean; readonly isHandedOver: boolean };

const PROPOSE_MS = 1_000;
const HAND_OVER_MS = 2_000;
const ASK_MS = 600;
const PAUSE_MS = 30;
const RETRY_MS = 100;

/** One leave; made when the controller starts. */
export class GroupLeave {
  constructor(private readonly deps: GroupLeaveDeps) {}

  /** Leaves within `withinMs`. The group may grow meanwhile, so its size is looked at again after the hand-over. */
  async leave(withinMs: number): Promise<LeaveOutcome> {
    const until = this.deps.clock.mono() + withinMs;
    if (!this.isMember()) return { isMember: false, isHandedOver: true };
    let isHandedOver = false;
    do {
      await this.leaveEvenGroup(until);
      isHandedOver = await this.handOver(until);
    } while (this.isInEvenGroup() && this.deps.clock.mono() < until);
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

  private isInEvenGroup(): boolean {
    return this.isMember() && this.members().length % 2 === 0;
  }

  private async leaveEvenGroup(until: number): Promise<void> {
    while (this.isInEvenGroup() && this.deps.clock.mono() < until) {
      await this.proposeRemoval(Math.min(PROPOSE_MS, until - this.deps.clock.mono()));
      if (this.isInEvenGroup()) await delay(this.deps.clock, RETRY_MS);
    }
  }

  private async proposeRemoval(waitMs: number): Promise<void> {
    const { self } = this.deps;
    await this.deps.propose(
      { cause: `${self.name} was told to end.`, act: { tag: 'memberRemoved', old: memberId(self) } },
      waitMs,
    );
  }

  private async handOver(until: number): Promise<boolean> {
    const end = Math.min(until, this.deps.clock.mono() + HAND_OVER_MS);
    while (this.deps.clock.mono() < end) {
      if (await this.othersKnowAll()) return true;
      await delay(this.deps.clock, PAUSE_MS);
    }
    return false;
  }

  /** Known as soon as enough have answered: nobody waits for those that are silent. */
  private async othersKnowAll(): Promise<boolean> {
    const { slot } = this.deps.controlState();
    const others = otherMembers(this.members(), this.deps.self);
    const needed = Math.min(others.length, majorityOf(this.members()));
    const request = (member: Member): Promise<Message | null> => this.knowsAll(member, slot);
    const isEnough = (votes: MemberResponses, open: number): boolean =>
      votes.size >= needed || votes.size + open < needed;
    return (await poll(others, request, isEnough)).size >= needed;
  }

  /** The member's status if it has learned all up to `slot`, else null. */
  private async knowsAll(member: Member, slot: number): Promise<Message | null> {
    const response = await this.deps.peers.call(member.address, { kind: 'memberStatusAsk' }, ASK_MS);
    if (!response.ok || response.value.kind !== 'memberStatus') return null;
    return response.value.voter === memberId(member) && response.value.learned >= slot ? response.value : null;
  }
}

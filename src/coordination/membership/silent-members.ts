/**
 * Removes members that do not respond from a group that is larger than it is meant to be. Silence can't tell a machine
 * that is gone from one that comes back with its disk, so at the target size a silent member keeps its place. Created by
 * `membership-changes.ts`; the rule and why it holds are in docs/consistency.md, section 3.
 */
import { memberId } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Command, Member } from '../../state/consensus/entry.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Peers } from '../messaging/peers.js';
import type { MemberStatuses } from './member-statuses.js';

/** Dependencies of the removal of silent members. */
export type SilentMembersDeps = {
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'call'>;
  readonly log: Log;
  readonly self: Member;
  readonly controlState: () => ControlState;
  readonly memberStatuses: MemberStatuses;
  /** Resolves to true once the entry has been applied. */
  readonly proposeChange: (cause: string, command: Command) => Promise<boolean>;
  readonly mayShrinkOddGroup: boolean;
  readonly targetSize: number;
};

const DEAD_TIMEOUT_MS = 3_000;
/** A member that announced its shutdown is removed sooner than `DEAD_TIMEOUT_MS`. */
const LEAVING_TIMEOUT_MS = 1_000;
/** Added per rank, so that reachable members attempt a removal one after another. */
const STAGGER_MS = 1_000;
/** Timeout of the question before an acknowledgement: a round trip between regions, and a pause of the process. */
const SILENCE_TIMEOUT_MS = 400;
const RETRY_DELAY_MS = 20;

/** Whether a member responds, responds that it shuts down, or does not respond. */
type Presence = 'staying' | 'leaving' | 'silent';

/** A member that does not respond or shuts down; `isLeaving` if it has announced that. */
export type AbsentMember = { readonly member: Member; readonly isLeaving: boolean };

/** Finds the members that do not respond, and removes those that the group may do without. */
export class SilentMembers {
  constructor(private readonly deps: SilentMembersDeps) {}

  private async presenceOf(member: Member, timeoutMs: number): Promise<Presence> {
    if (memberId(member) === memberId(this.deps.self)) return 'staying';
    const response = await this.deps.peers.call(member.address, { kind: 'memberStatusAsk' }, timeoutMs);
    if (!response.ok || response.value.kind !== 'memberStatus') return 'silent';
    if (response.value.voter !== memberId(member)) return 'silent';
    return response.value.leaving === true ? 'leaving' : 'staying';
  }

  /** Returns the members that do not respond within the time-out, or announce their shutdown. */
  async absent(timeoutMs: number): Promise<AbsentMember[]> {
    const { members } = this.deps.controlState();
    const presences = await Promise.all(members.map((member) => this.presenceOf(member, timeoutMs)));
    const absent: AbsentMember[] = [];
    for (const [index, member] of members.entries()) {
      const isLeaving = presences[index] === 'leaving' || this.deps.memberStatuses.isLeaving(memberId(member));
      if (presences[index] !== 'staying') absent.push({ member, isLeaving });
    }
    return absent;
  }

  private reachableRank(): number {
    let rank = 0;
    for (const member of this.deps.controlState().members) {
      if (memberId(member) === memberId(this.deps.self)) return rank;
      if (this.deps.memberStatuses.isReachable(memberId(member))) rank += 1;
    }
    return rank;
  }

  private isDead(member: Member): boolean {
    const id = memberId(member);
    return (
      id !== memberId(this.deps.self) &&
      this.deps.memberStatuses.sinceContactMs(id) >= DEAD_TIMEOUT_MS + STAGGER_MS * this.reachableRank() &&
      this.deps.memberStatuses.isUnreachableByMajority(id)
    );
  }

  /** Whether a member announced its shutdown and has not responded for long enough since. */
  private hasShutDown(member: Member): boolean {
    const id = memberId(member);
    return (
      id !== memberId(this.deps.self) &&
      this.deps.memberStatuses.isLeaving(id) &&
      this.deps.memberStatuses.sinceContactMs(id) >= LEAVING_TIMEOUT_MS + STAGGER_MS * this.reachableRank()
    );
  }

  /**
   * Whether a member may be removed for being silent. A silent member may come back with its disk, and at the target
   * size the others need that disk after the losses that the group is meant to tolerate. A run-once claim held by three
   * of five members may be held by only one of three that remain, so an odd group keeps its size where claims are in use.
   */
  private mayRemoveSilent(): boolean {
    const { length } = this.deps.controlState().members;
    return length > this.deps.targetSize && (length % 2 === 0 || this.deps.mayShrinkOddGroup);
  }

  /** Removes one member that has been silent, or shut down, for long enough; to be called every half second. */
  async removeDead(): Promise<void> {
    const { members } = this.deps.controlState();
    const shutDown = members.find((member) => this.hasShutDown(member));
    if (shutDown && (members.length % 2 === 0 || this.mayRemoveSilent())) return this.removeShutDown(shutDown);
    const dead = this.mayRemoveSilent() ? members.find((member) => this.isDead(member)) : undefined;
    if (dead) await this.removeSilent(dead);
  }

  private async removeShutDown(shutDown: Member): Promise<void> {
    const cause = `${shutDown.name} was told to end.`;
    await this.proposeRemoval(cause, { tag: 'memberRemoved', old: memberId(shutDown) });
  }

  private async removeSilent(silent: Member): Promise<void> {
    const { targetSize } = this.deps;
    const cause = `${silent.name} is silent, and the group is to have ${targetSize} members.`;
    const command = { tag: 'memberRemoved', old: memberId(silent), ifMoreThan: targetSize, mayReturn: true } as const;
    await this.proposeRemoval(cause, command);
  }

  private async proposeRemoval(cause: string, command: Extract<Command, { tag: 'memberRemoved' }>): Promise<void> {
    if (await this.deps.proposeChange(cause, command)) this.deps.log.info('member removed', { member: command.old });
  }

  /**
   * Removes all members above the target size that do not respond now, within the given time. Resolves to true once none
   * is left. To be called before an order is acknowledged: what rests on a majority that counts the vote of a machine
   * that is gone is lost with fewer disks than the group is meant to tolerate.
   */
  async removeAll(withinMs: number): Promise<boolean> {
    const deadline = this.deps.clock.mono() + withinMs;
    while (this.mayRemoveSilent()) {
      const absent = await this.absent(SILENCE_TIMEOUT_MS);
      if (absent.length === 0) return true;
      if (this.deps.clock.mono() >= deadline) return false;
      await this.removeFirstOf(absent);
      if (this.mayRemoveSilent()) await delay(this.deps.clock, RETRY_DELAY_MS);
    }
    return true;
  }

  /** Removes one that said that it ends, else the one that has been silent for longest. */
  private async removeFirstOf(absent: readonly AbsentMember[]): Promise<void> {
    const leaving = absent.find(({ isLeaving }) => isLeaving);
    if (leaving) return this.removeShutDown(leaving.member);
    const bySilence = absent
      .map(({ member }) => member)
      .sort((left, right) => this.silenceOf(right) - this.silenceOf(left));
    const [longest] = bySilence;
    if (longest) await this.removeSilent(longest);
  }

  private silenceOf(member: Member): number {
    return this.deps.memberStatuses.sinceContactMs(memberId(member));
  }
}

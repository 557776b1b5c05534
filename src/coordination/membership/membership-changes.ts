/**
 * Who belongs to the core: admits joiners, leaves dead members out, and leaves before this controller ends. `ledger.ts`
 * makes one and calls `turn` each half second.
 *
 * Invariants (docs/consistency.md, section 3): each change is one entry, agreed by a majority of the members before it; no
 * member is taken out of an odd group unless two are dead; a leaving one ends after a majority has learned what it knows.
 */
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId, MOST_MEMBERS } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Command, Member } from '../../state/consensus/entry.js';
import { within } from '../../transport/clock.js';
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

/** `turn` is to be called each half second; `leave` once, before this controller ends, with the time that it may take. */
export interface MembershipChanges {
  turn(): Promise<void>;
  leave(withinMs: number): Promise<LeaveOutcome>;
}

/** What changes of the group are decided and proposed with. */
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
  /** Takes a new identity, and keeps it on the disk. */
  readonly renew: () => Promise<boolean>;
  readonly mayShrinkOdd: boolean;
  /** Whether the disk tells that this identity was a member before; null if it does not tell. */
  readonly wasMember: boolean | null;
  /** Keeps on the disk that this identity is a member. */
  readonly recordMember: () => Promise<boolean>;
};

const ASK_MS = 600;
const AGREE_MS = 1_500;
const ADMIT_MS = 2_500;
const DEAD_MS = 3_000;
/** One that said that it ends is left out of an even group sooner. */
const ENDED_MS = 1_000;
const IN_TURN_MS = 1_000;

class LedgerMembershipChanges implements MembershipChanges {
  // To know a ledger is not to have been a member of it: one that ended while its joining was agreed must keep its identity.
  private wasMember: boolean;
  private isRecorded: boolean;
  private isLeaving = false;
  private joining: Promise<void> | null = null;
  private readonly groupLeave: GroupLeave;

  constructor(private readonly deps: MembershipChangesDeps) {
    this.wasMember = this.deps.wasMember ?? this.deps.controlState().ledger !== '';
    this.isRecorded = this.deps.wasMember === true;
    this.groupLeave = new GroupLeave(deps);

    this.deps.peers.on('rejoin', (message) => this.onRejoin(message));
  }

  private ownEntry(): Member | null {
    for (const member of this.deps.controlState().members)
      if (memberId(member) === memberId(this.deps.self)) return member;
    return null;
  }

  private async agree(cause: string, command: Command): Promise<boolean> {
    const response = await this.deps.propose({ cause, act: command }, AGREE_MS);
    return response.ok && response.value.outcome.tag === 'applied';
  }

  /** Whether a member is there to stay, as it says itself. */
  private async answersAndStays(member: Member): Promise<boolean> {
    if (memberId(member) === memberId(this.deps.self)) return true;
    const response = await this.deps.peers.call(member.address, { kind: 'memberStatusAsk' }, ASK_MS);
    if (!response.ok || response.value.kind !== 'memberStatus') return false;
    return response.value.voter === memberId(member) && response.value.leaving !== true;
  }

  private async unresponsiveMembers(): Promise<Member[]> {
    const members = this.deps.controlState().members;
    const heard = await Promise.all(members.map((member) => this.answersAndStays(member)));
    const out: Member[] = [];
    for (let i = 0; i < members.length; i += 1) if (!heard[i]) out.push(members[i] as Member);
    return out;
  }

  private async admission(joiner: Member): Promise<Command | null> {
    for (const old of this.deps.controlState().members)
      if (old.name === joiner.name) return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    for (const old of this.deps.controlState().members)
      if (old.address === joiner.address) return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    const silent = await this.unresponsiveMembers();
    if (silent.length === 0)
      return this.deps.controlState().members.length < MOST_MEMBERS ? { tag: 'memberAdded', member: joiner } : null;
    for (const old of silent)
      if (
        this.deps.memberStatuses.isLeaving(memberId(old)) ||
        this.deps.memberStatuses.majorityLostContact(memberId(old))
      )
        return { tag: 'memberReplaced', old: memberId(old), member: joiner };
    return null;
  }

  private async onRejoin(message: MessageOf<'rejoin'>): Promise<Message> {
    if (message.ledger !== this.deps.controlState().ledger || !this.ownEntry()) return { kind: 'done', agreed: false };
    for (const old of this.deps.controlState().members)
      if (memberId(old) === memberId(message.member) && old.address === message.member.address)
        return { kind: 'done', agreed: true };
    const command = await this.admission(message.member);
    if (!command) return { kind: 'done', agreed: false };
    const cause =
      command.tag === 'memberAdded'
        ? `${message.member.name} joined.`
        : `${message.member.name} came new, or at a new address.`;
    return { kind: 'done', agreed: await this.agree(cause, command) };
  }

  private async publishOwnAddress(): Promise<void> {
    if (
      await this.agree(`${this.deps.self.name} serves at a new address.`, {
        tag: 'memberReplaced',
        old: memberId(this.deps.self),
        member: { ...this.deps.self },
      })
    )
      this.deps.log.info('address published', { address: this.deps.self.address });
  }

  private async memberStatusesOf(targets: Iterable<Address>): Promise<MessageOf<'memberStatus'>[]> {
    const out: MessageOf<'memberStatus'>[] = [];
    const requests: Promise<void>[] = [];

    const one = async (to: Address): Promise<void> => {
      const response = await this.deps.peers.call(to, { kind: 'memberStatusAsk' }, ASK_MS);
      if (!response.ok || response.value.kind !== 'memberStatus' || response.value.ledger === '') return;
      if (this.deps.controlState().ledger === '' || response.value.ledger === this.deps.controlState().ledger)
        out.push(response.value);
      else this.deps.log.error('controller of another ledger ignored', { address: to });
    };
    for (const to of targets) requests.push(one(to));
    await Promise.all(requests);
    return out.sort((left, right) => this.furthestFirst(left, right));
  }

  private furthestFirst(left: MessageOf<'memberStatus'>, right: MessageOf<'memberStatus'>): number {
    return right.learned - left.learned;
  }

  private async seek(): Promise<void> {
    const targets = new Set<Address>(this.deps.contacts());
    for (const member of this.deps.controlState().members) targets.add(member.address);
    targets.delete(this.deps.self.address);
    const heard = await this.memberStatusesOf(targets);
    const best = heard[0];
    if (!best) return;
    if (this.deps.controlState().ledger === '' && !heard.some((status) => this.isSeed(status)))
      this.deps.log.warn('no seed reachable, using a known controller', { address: best.address });
    if (best.learned > this.deps.controlState().slot) await this.deps.catchUp(best.address);
    if (this.ownEntry()?.address === this.deps.self.address) return;
    if (this.wasMember && !this.ownEntry()) {
      if (!(await this.deps.renew())) return;
      this.wasMember = false;
      this.isRecorded = false;
      this.deps.log.info('removed from the group, rejoining', { member: memberId(this.deps.self) });
    }
    const addresses: Address[] = [];
    for (const member of this.deps.controlState().members)
      for (const contact of heard) if (contact.address === member.address) addresses.push(member.address);
    this.joining = this.join(shuffled(this.deps.rng, addresses).slice(0, 2));
    await this.joining;
    this.joining = null;
  }

  /** Asks one member after the other to admit this controller. */
  private async join(addresses: readonly Address[]): Promise<void> {
    for (const to of addresses) {
      if (this.isLeaving) return;
      const answer = await this.deps.peers.call(
        to,
        { kind: 'rejoin', ledger: this.deps.controlState().ledger, member: { ...this.deps.self } },
        ADMIT_MS,
      );
      if (!answer.ok || answer.value.kind !== 'done' || !answer.value.agreed) continue;
      await this.deps.catchUp(to);
      if (this.ownEntry()?.address === this.deps.self.address)
        this.deps.log.info('joined the group', { member: memberId(this.deps.self) });
      return;
    }
  }

  private isSeed(status: MessageOf<'memberStatus'>): boolean {
    return this.deps.seeds.includes(status.address);
  }

  private turnOf(): number {
    let count = 0;
    for (const member of this.deps.controlState().members) {
      if (memberId(member) === memberId(this.deps.self)) return count;
      if (this.deps.memberStatuses.isReachable(memberId(member))) count += 1;
    }
    return count;
  }

  private isDead(member: Member): boolean {
    const id = memberId(member);
    return (
      id !== memberId(this.deps.self) &&
      this.deps.memberStatuses.sinceContactMs(id) >= DEAD_MS + IN_TURN_MS * this.turnOf() &&
      this.deps.memberStatuses.majorityLostContact(id)
    );
  }

  /** Whether a member said that it ends, and has not answered since. */
  private hasEnded(member: Member): boolean {
    const id = memberId(member);
    return (
      id !== memberId(this.deps.self) &&
      this.deps.memberStatuses.isLeaving(id) &&
      this.deps.memberStatuses.sinceContactMs(id) >= ENDED_MS + IN_TURN_MS * this.turnOf()
    );
  }

  // An even group bears as many losses with one member fewer, and an odd one bears one more with two dead ones fewer. But a
  // run-once claim that three of five hold may then be held by one of three only; where claims are kept, an odd group stays.
  private async removeDead(): Promise<void> {
    const members = this.deps.controlState().members;
    const isEven = members.length % 2 === 0;
    const dead = members.filter((member) => this.isDead(member) || (isEven && this.hasEnded(member)));
    const needed = isEven ? 1 : 2;
    const [first] = dead;
    if (!first || dead.length < needed || !(isEven || this.deps.mayShrinkOdd)) return;
    const cause = `${first.name} has been dead, and ${members.length} members bear no more than without ${needed === 1 ? 'it' : 'the two that are'}.`;
    if (await this.agree(cause, { tag: 'memberRemoved', old: memberId(first) }))
      this.deps.log.info('member removed', { member: memberId(first) });
  }

  private hasMajority(): boolean {
    let count = 1;
    for (const member of this.deps.controlState().members)
      if (memberId(member) !== memberId(this.deps.self) && this.deps.memberStatuses.isReachable(memberId(member)))
        count += 1;
    return 2 * count > this.deps.controlState().members.length;
  }

  async turn(): Promise<void> {
    if (this.isLeaving) return;
    const mine = this.ownEntry();
    if (mine) this.wasMember = true;
    if (mine && !this.isRecorded) this.isRecorded = await this.deps.recordMember();
    if (
      mine &&
      mine.address !== this.deps.self.address &&
      (await this.deps.linearizableRead(AGREE_MS)) &&
      this.ownEntry()
    )
      await this.publishOwnAddress();
    if (this.ownEntry()?.address === this.deps.self.address && this.hasMajority()) await this.removeDead();
    else await this.seek();
  }

  async leave(withinMs: number): Promise<LeaveOutcome> {
    const until = this.deps.clock.mono() + withinMs;
    this.isLeaving = true;
    this.deps.memberStatuses.announceLeaving();
    await this.awaitJoining(until);
    return this.groupLeave.leave(until - this.deps.clock.mono());
  }

  /** Whoever has asked to be admitted may be a member before it learns so. */
  private async awaitJoining(until: number): Promise<void> {
    if (!this.joining) return;
    await within(this.deps.clock, until - this.deps.clock.mono(), this.joining);
    if (!this.ownEntry()) await this.deps.linearizableRead(Math.min(AGREE_MS, until - this.deps.clock.mono()));
  }
}

/** Joins, admits, and removes dead members, one step a turn. */
export function createMembershipChanges(deps: MembershipChangesDeps): MembershipChanges {
  return new LedgerMembershipChanges(deps);
}

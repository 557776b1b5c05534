/**
 * The members of the group of controllers in the replicated state, and how entries of the log change them. An entry
 * that replaces or removes a member names it with its incarnation, so a stale entry changes nothing.
 */
import { sha256 } from '../../base/digest.js';
import type { Command, Member } from './entry.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';

/** The group of controllers, and which members may vote on claims. */
export type MembersState = {
  ledger: string;
  ticketKey: string;
  members: Member[];
  claimants: string[];
  /** Members that were removed while silent and have not joined again, oldest first; absent in older snapshots. */
  away?: AwayMember[];
};

/** A member that was removed while it was silent, and the wall clock time of its removal at the proposer. */
export type AwayMember = { readonly member: Member; readonly removedAt: number };

/** Maximum number of members of the group. */
export const MAX_MEMBERS = 9;
/** A group of odd size is reduced only from this size on. */
const MIN_ODD_SIZE_TO_SHRINK = 5;

/** Returns the id under which a member votes: its name and incarnation. */
export function memberId(member: { readonly name: string; readonly incarnation: string }): string {
  return `${member.name}#${member.incarnation}`;
}

/** Returns a digest of the members that is equal for the same members in the same order. */
export function membersDigest(members: readonly Member[]): string {
  const ids: string[] = [];
  for (const member of members) ids.push(memberId(member));
  return sha256(ids.join());
}

/** Returns the members except `self`. */
export function otherMembers(members: readonly Member[], self: Member): Member[] {
  const others: Member[] = [];
  for (const member of members) if (memberId(member) !== memberId(self)) others.push(member);
  return others;
}

/** Returns the number of members that make a majority. */
export function majorityOf(members: readonly Member[]): number {
  return Math.floor(members.length / 2) + 1;
}

/** Applies slot zero, which names the replicated log and its first members. */
export function foldBootstrapped(state: MembersState, command: Extract<Command, { tag: 'bootstrapped' }>): Outcome {
  if (state.ledger !== '') return unfit('bootstrapped');
  state.ledger = command.ledger;
  state.ticketKey = command.ticketKey;
  state.members = [...command.members];
  state.claimants = command.members.map(memberId);
  return APPLIED;
}

/** Replaces a member by another, or changes its address. */
export function foldMemberReplaced(state: MembersState, command: Extract<Command, { tag: 'memberReplaced' }>): Outcome {
  const index = indexOfMember(state, command.old);
  if (index < 0 || isTaken(state, command.member, index)) return unfit('member');
  state.members = [...state.members.slice(0, index), command.member, ...state.members.slice(index + 1)];
  forgetAway(state, command.member);
  return APPLIED;
}

/** Adds a member. */
export function foldMemberAdded(state: MembersState, command: Extract<Command, { tag: 'memberAdded' }>): Outcome {
  if (state.members.length >= MAX_MEMBERS || isTaken(state, command.member, -1)) return unfit('member');
  state.members = [...state.members, command.member];
  forgetAway(state, command.member);
  return APPLIED;
}

/**
 * Removes a member, except from an odd group with fewer than MIN_ODD_SIZE_TO_SHRINK members, or from a group that is no
 * larger than the command demands.
 */
export function foldMemberRemoved(
  state: MembersState,
  command: Extract<Command, { tag: 'memberRemoved' }>,
  wall: number,
): Outcome {
  const index = indexOfMember(state, command.old);
  const isOdd = state.members.length % 2 !== 0;
  if (index < 0 || (isOdd && state.members.length < MIN_ODD_SIZE_TO_SHRINK)) return unfit('member');
  if (state.members.length <= (command.ifMoreThan ?? 0)) return unfit('member');
  const removed = state.members[index] as Member;
  state.members = [...state.members.slice(0, index), ...state.members.slice(index + 1)];
  if (command.mayReturn === true)
    state.away = [...(state.away ?? []), { member: removed, removedAt: wall }].slice(-MAX_MEMBERS);
  return APPLIED;
}

/** A machine that is a member again is not away, and one whose address another machine has does not come back there. */
function forgetAway(state: MembersState, member: Member): void {
  if (!state.away) return;
  const others = state.away.filter(
    (away) => away.member.name !== member.name && away.member.address !== member.address,
  );
  if (others.length > 0) state.away = others;
  else delete state.away;
}

function indexOfMember(state: MembersState, id: string): number {
  for (const [index, member] of state.members.entries()) if (memberId(member) === id) return index;
  return -1;
}

/** Whether a member other than the one at `exceptIndex` has the name or address of `member`. */
function isTaken(state: MembersState, member: Member, exceptIndex: number): boolean {
  for (const [index, other] of state.members.entries()) {
    if (index !== exceptIndex && (other.name === member.name || other.address === member.address)) return true;
  }
  return false;
}

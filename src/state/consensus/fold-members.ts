/**
 * The members of the core as the ledger has them, and the fold of the entries that change them. An entry names the member
 * as it stands now, so one that comes late changes nothing.
 */
import { sha256 } from '../../base/digest.js';
import type { Command, Member } from './entry.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';

/** The group of controllers, and who may vote on claims. */
export type MembersState = {
  ledger: string;
  ticketKey: string;
  members: Member[];
  claimants: string[];
};

/** Most members of the group. */
export const MOST_MEMBERS = 9;
const LEAST_ODD_SHRUNK = 5;

/** The identity under which a member votes. */
export function memberId(member: { readonly name: string; readonly incarnation: string }): string {
  return `${member.name}#${member.incarnation}`;
}

/** A digest of the members; equal for the same members in the same order. */
export function membersDigest(members: readonly Member[]): string {
  const ids: string[] = [];
  for (const member of members) ids.push(memberId(member));
  return sha256(ids.join());
}

/** The members but this one. */
export function otherMembers(members: readonly Member[], self: Member): Member[] {
  const others: Member[] = [];
  for (const member of members) if (memberId(member) !== memberId(self)) others.push(member);
  return others;
}

/** How many members make a majority. */
export function majorityOf(members: readonly Member[]): number {
  return Math.floor(members.length / 2) + 1;
}

/** Slot zero: the ledger and its first members. */
export function foldBootstrapped(state: MembersState, command: Extract<Command, { tag: 'bootstrapped' }>): Outcome {
  if (state.ledger !== '') return unfit('bootstrapped');
  state.ledger = command.ledger;
  state.ticketKey = command.ticketKey;
  state.members = [...command.members];
  state.claimants = command.members.map(memberId);
  return APPLIED;
}

/** One member takes the place of another, or changes its address. */
export function foldMemberReplaced(state: MembersState, command: Extract<Command, { tag: 'memberReplaced' }>): Outcome {
  const at = indexOfMember(state, command.old);
  if (at < 0 || isTaken(state, command.member, at)) return unfit('member');
  state.members = [...state.members.slice(0, at), command.member, ...state.members.slice(at + 1)];
  return APPLIED;
}

/** One more member. */
export function foldMemberAdded(state: MembersState, command: Extract<Command, { tag: 'memberAdded' }>): Outcome {
  if (state.members.length >= MOST_MEMBERS || isTaken(state, command.member, -1)) return unfit('member');
  state.members = [...state.members, command.member];
  return APPLIED;
}

/** One member fewer; never of a small odd group. */
export function foldMemberRemoved(state: MembersState, command: Extract<Command, { tag: 'memberRemoved' }>): Outcome {
  const at = indexOfMember(state, command.old);
  const isOdd = state.members.length % 2 !== 0;
  if (at < 0 || (isOdd && state.members.length < LEAST_ODD_SHRUNK)) return unfit('member');
  state.members = [...state.members.slice(0, at), ...state.members.slice(at + 1)];
  return APPLIED;
}

function indexOfMember(state: MembersState, id: string): number {
  for (const [at, member] of state.members.entries()) if (memberId(member) === id) return at;
  return -1;
}

/** Whether another member than the one at `besides` has this one's name or address. */
function isTaken(state: MembersState, member: Member, besides: number): boolean {
  for (const [at, other] of state.members.entries()) {
    if (at !== besides && (other.name === member.name || other.address === member.address)) return true;
  }
  return false;
}

/**
 * The members of the core as the ledger has them, and the fold of the entries that change them. An entry names the member
 * as it stands now, so one that comes late changes nothing.
 */
import { sha256 } from '../../base/digest.js';
import type { Command, Member } from './entry.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';

export type MembersState = {
  ledger: string;
  ticketKey: string;
  members: Member[];
  claimants: string[];
};

export const MOST_MEMBERS = 9;
const LEAST_ODD_SHRUNK = 5;

export function memberId(member: { readonly name: string; readonly incarnation: string }): string {
  return `${member.name}#${member.incarnation}`;
}

export function membersDigest(members: readonly Member[]): string {
  const ids: string[] = [];
  for (const member of members) ids.push(memberId(member));
  return sha256(ids.join());
}

export function majorityOf(members: readonly Member[]): number {
  return Math.floor(members.length / 2) + 1;
}

export function foldBootstrapped(state: MembersState, command: Extract<Command, { tag: 'bootstrapped' }>): Outcome {
  if (state.ledger !== '') return unfit('bootstrapped');
  state.ledger = command.ledger;
  state.ticketKey = command.ticketKey;
  state.members = [...command.members];
  state.claimants = command.members.map(memberId);
  return APPLIED;
}

export function foldMemberReplaced(state: MembersState, command: Extract<Command, { tag: 'memberReplaced' }>): Outcome {
  const at = indexOfMember(state, command.old);
  if (at < 0 || isTaken(state, command.member, at)) return unfit('member');
  state.members = [...state.members.slice(0, at), command.member, ...state.members.slice(at + 1)];
  return APPLIED;
}

export function foldMemberAdded(state: MembersState, command: Extract<Command, { tag: 'memberAdded' }>): Outcome {
  if (state.members.length >= MOST_MEMBERS || isTaken(state, command.member, -1)) return unfit('member');
  state.members = [...state.members, command.member];
  return APPLIED;
}

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

/**
 * One ballot for one slot, as in single-decree Paxos: collects promises, takes over the batch accepted under the highest
 * ballot, if any, and has it accepted. Pure but for `ask`; `proposer.ts` and `self-bootstrap.ts` run it.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import { poll } from './poll.js';
import type { RequestMember, Votes } from './poll.js';

/** The members that vote on a slot, and how many make a quorum. */
export type Electorate = { readonly ledger: string; readonly members: readonly Member[]; readonly quorumSize: number };

/** How a round ended; `behind` names members that already know the slot. */
export type RoundEnd =
  | { readonly tag: 'chosen'; readonly batch: Batch }
  | { readonly tag: 'outbid'; readonly round: number }
  | { readonly tag: 'behind'; readonly ahead: readonly Member[] }
  | { readonly tag: 'noMajority' };

function tally(votes: Votes, kind: Message['kind']): number {
  let count = 0;
  for (const value of votes.values()) if (value.kind === kind) count += 1;
  return count;
}

/** Runs both phases for one slot under one ballot. */
export async function runRound(
  electorate: Electorate,
  slot: number,
  ballot: Ballot,
  mine: Batch,
  request: RequestMember,
): Promise<RoundEnd> {
  const { ledger, members, quorumSize } = electorate;
  function isDecided(kind: Message['kind']): (votes: Votes, open: number) => boolean {
    function check(votes: Votes, open: number): boolean {
      let count = 0;
      for (const value of votes.values()) {
        if (value.kind === 'outbid' || value.kind === 'alreadyChosen') return true;
        if (value.kind === kind) count += 1;
      }
      return count >= quorumSize || count + open < quorumSize;
    }
    return check;
  }
  function failureOf(votes: Votes): RoundEnd {
    let top = 0;
    const ahead: Member[] = [];
    for (const member of members) {
      const value = votes.get(memberId(member));
      if (value?.kind === 'alreadyChosen') ahead.push(member);
      else if (value?.kind === 'outbid') top = Math.max(top, value.by.round);
    }
    if (ahead.length > 0) return { tag: 'behind', ahead };
    return top > 0 ? { tag: 'outbid', round: top } : { tag: 'noMajority' };
  }
  function put(message: Message): (member: Member) => Promise<Message | null> {
    function one(member: Member): Promise<Message | null> {
      return request(member, message);
    }
    return one;
  }

  const promises = await poll(members, put({ kind: 'prepare', ledger, slot, ballot }), isDecided('promised'));
  if (tally(promises, 'promised') < quorumSize) return failureOf(promises);
  let best: MessageOf<'promised'>['accepted'] = null;
  for (const value of promises.values()) {
    if (value.kind !== 'promised' || !value.accepted) continue;
    if (!best || compareBallots(value.accepted.ballot, best.ballot) > 0) best = value.accepted;
  }
  const batch = best ? best.batch : mine;
  const accepts = await poll(members, put({ kind: 'accept', ledger, slot, ballot, batch }), isDecided('accepted'));
  return tally(accepts, 'accepted') >= quorumSize ? { tag: 'chosen', batch } : failureOf(accepts);
}

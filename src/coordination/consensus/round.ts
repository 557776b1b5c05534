/**
 * One ballot for one slot, as in single-decree Paxos. Phase 1 collects promises; phase 2 asks the members to accept
 * the batch that was accepted under the highest ballot, or the proposer's own batch if there is none. `requestMember`
 * is the only side effect. Used by `proposer.ts` and `self-bootstrap.ts`.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import { poll } from './poll.js';
import type { RequestMember, Votes } from './poll.js';

/** The members that vote on a slot, and the number of votes that form a quorum. */
export type Electorate = { readonly ledger: string; readonly members: readonly Member[]; readonly quorumSize: number };

/** How a round ended. `behind`: the listed members already know the chosen batch of the slot. */
export type RoundResult =
  | { readonly tag: 'chosen'; readonly batch: Batch }
  | { readonly tag: 'outbid'; readonly round: number }
  | { readonly tag: 'behind'; readonly aheadMembers: readonly Member[] }
  | { readonly tag: 'noMajority' };

function countVotes(votes: Votes, kind: Message['kind']): number {
  let count = 0;
  for (const vote of votes.values()) if (vote.kind === kind) count += 1;
  return count;
}

/** Runs both phases for one slot under one ballot. */
export async function runRound(
  electorate: Electorate,
  slot: number,
  ballot: Ballot,
  ownBatch: Batch,
  requestMember: RequestMember,
): Promise<RoundResult> {
  const { ledger, members, quorumSize } = electorate;
  function decisionCheck(kind: Message['kind']): (votes: Votes, pending: number) => boolean {
    function isPhaseDecided(votes: Votes, pending: number): boolean {
      let count = 0;
      for (const vote of votes.values()) {
        if (vote.kind === 'outbid' || vote.kind === 'alreadyChosen') return true;
        if (vote.kind === kind) count += 1;
      }
      return count >= quorumSize || count + pending < quorumSize;
    }
    return isPhaseDecided;
  }
  function failureOf(votes: Votes): RoundResult {
    let highestRound = 0;
    const aheadMembers: Member[] = [];
    for (const member of members) {
      const vote = votes.get(memberId(member));
      if (vote?.kind === 'alreadyChosen') aheadMembers.push(member);
      else if (vote?.kind === 'outbid') highestRound = Math.max(highestRound, vote.by.round);
    }
    if (aheadMembers.length > 0) return { tag: 'behind', aheadMembers };
    return highestRound > 0 ? { tag: 'outbid', round: highestRound } : { tag: 'noMajority' };
  }
  function requestWith(message: Message): (member: Member) => Promise<Message | null> {
    function sendTo(member: Member): Promise<Message | null> {
      return requestMember(member, message);
    }
    return sendTo;
  }

  const promises = await poll(
    members,
    requestWith({ kind: 'prepare', ledger, slot, ballot }),
    decisionCheck('promised'),
  );
  if (countVotes(promises, 'promised') < quorumSize) return failureOf(promises);
  let highestAccepted: MessageOf<'promised'>['accepted'] = null;
  for (const vote of promises.values()) {
    if (vote.kind !== 'promised' || !vote.accepted) continue;
    if (!highestAccepted || compareBallots(vote.accepted.ballot, highestAccepted.ballot) > 0)
      highestAccepted = vote.accepted;
  }
  const batch = highestAccepted ? highestAccepted.batch : ownBatch;
  const acceptances = await poll(
    members,
    requestWith({ kind: 'accept', ledger, slot, ballot, batch }),
    decisionCheck('accepted'),
  );
  return countVotes(acceptances, 'accepted') >= quorumSize ? { tag: 'chosen', batch } : failureOf(acceptances);
}

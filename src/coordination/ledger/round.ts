/**
 * One ballot for one slot, as in single-decree Paxos: collects promises, takes over the batch accepted under the highest
 * ballot, if any, and has it accepted. Pure but for `ask`; `proposer.ts` and `self-bootstrap.ts` run it.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import { compareBallots } from '../../state/ballot.js';
import type { Ballot } from '../../state/ballot.js';
import { memberId } from '../../state/control-state.js';
import type { Batch, Member } from '../../state/entry.js';
import { poll } from './poll.js';
import type { RequestMember, Votes } from './poll.js';

export type Electorate = { readonly ledger: string; readonly members: readonly Member[]; readonly need: number };

export type RoundEnd =
  | { readonly tag: 'chosen'; readonly batch: Batch }
  | { readonly tag: 'outbid'; readonly round: number }
  | { readonly tag: 'behind'; readonly ahead: readonly Member[] }
  | { readonly tag: 'noMajority' };

function tally(votes: Votes, kind: Message['kind']): number {
  let n = 0;
  for (const v of votes.values()) if (v.kind === kind) n += 1;
  return n;
}

export async function runRound(
  electorate: Electorate,
  slot: number,
  ballot: Ballot,
  mine: Batch,
  request: RequestMember,
): Promise<RoundEnd> {
  const { ledger, members, need } = electorate;
  function isDecided(kind: Message['kind']): (votes: Votes, open: number) => boolean {
    function check(votes: Votes, open: number): boolean {
      let n = 0;
      for (const v of votes.values()) {
        if (v.kind === 'outbid' || v.kind === 'alreadyChosen') return true;
        if (v.kind === kind) n += 1;
      }
      return n >= need || n + open < need;
    }
    return check;
  }
  function failureOf(votes: Votes): RoundEnd {
    let top = 0;
    const ahead: Member[] = [];
    for (const m of members) {
      const v = votes.get(memberId(m));
      if (v?.kind === 'alreadyChosen') ahead.push(m);
      else if (v?.kind === 'outbid') top = Math.max(top, v.by.round);
    }
    if (ahead.length > 0) return { tag: 'behind', ahead };
    return top > 0 ? { tag: 'outbid', round: top } : { tag: 'noMajority' };
  }
  function put(message: Message): (m: Member) => Promise<Message | null> {
    function one(m: Member): Promise<Message | null> {
      return request(m, message);
    }
    return one;
  }

  const promises = await poll(members, put({ kind: 'prepare', ledger, slot, ballot }), isDecided('promised'));
  if (tally(promises, 'promised') < need) return failureOf(promises);
  let best: MessageOf<'promised'>['accepted'] = null;
  for (const v of promises.values()) {
    if (v.kind !== 'promised' || !v.accepted) continue;
    if (!best || compareBallots(v.accepted.ballot, best.ballot) > 0) best = v.accepted;
  }
  const batch = best ? best.batch : mine;
  const accepts = await poll(members, put({ kind: 'accept', ledger, slot, ballot, batch }), isDecided('accepted'));
  return tally(accepts, 'accepted') >= need ? { tag: 'chosen', batch } : failureOf(accepts);
}

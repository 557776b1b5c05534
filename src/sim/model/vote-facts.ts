/**
 * The votes that acceptors sent, as seen on the wire, and what binds them: a
 * promise holds through crashes, an accepted ballot is told to later proposers,
 * and an identity whose disk was lost never votes again. Nothing is taken from
 * inside an acceptor, so it can't hide what it forgot.
 */
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import type { Fail } from './broken.js';

export type VoteRequest = { readonly slot: number; readonly ballot: Ballot; readonly batch: string };
export type VoteAnswer =
  | { readonly kind: 'promised'; readonly voter: string; readonly accepted: Ballot | null }
  | { readonly kind: 'accepted'; readonly voter: string };

export type VoteFacts = {
  readonly noteVote: (request: VoteRequest, answer: VoteAnswer) => void;
  /** From now on no vote may come from this identity: its disk is gone. */
  readonly onDisconnected: (identity: string) => void;
  /** An identity came back, with the newest slot that it holds something of. */
  readonly noteRestart: (identity: string, top: number) => void;
  /** How many of these identities accepted the batch under one ballot. */
  readonly acceptedBy: (slot: number, batch: string, identities: readonly string[]) => number;
};

type VoterRecord = { promised: Ballot; accepted: Ballot | null };
type Tally = { readonly slot: number; readonly batch: string; readonly voters: Set<string> };

const NOTHING: Ballot = { round: 0, by: '' };

function later(left: Ballot, right: Ballot): Ballot {
  return compareBallots(left, right) > 0 ? left : right;
}

function checkPromise(
  record: VoterRecord,
  request: VoteRequest,
  accepted: Ballot | null,
  voter: string,
  fail: Fail,
): void {
  const { slot, ballot } = request;
  if (compareBallots(ballot, record.promised) <= 0)
    fail('promiseKept', `${voter} promised ballot ${ballot.round} of slot ${slot} after ${record.promised.round}`);
  const forgot = record.accepted !== null && (accepted === null || compareBallots(accepted, record.accepted) < 0);
  if (forgot) fail('acceptedKept', `${voter} forgot what it accepted for slot ${slot}`);
}

function checkAcceptance(record: VoterRecord, request: VoteRequest, voter: string, fail: Fail): void {
  const { slot, ballot } = request;
  if (compareBallots(ballot, record.promised) < 0)
    fail(
      'promiseKept',
      `${voter} accepted ballot ${ballot.round} of slot ${slot} after it promised ${record.promised.round}`,
    );
}

export function createVoteFacts(fail: Fail): VoteFacts {
  const records = new Map<string, VoterRecord>();
  const tallies = new Map<string, Tally>();
  const topAccepted = new Map<string, number>();
  const lost = new Set<string>();

  function count(request: VoteRequest, voter: string): void {
    const { slot, ballot, batch } = request;
    const key = `${slot}|${batch}|${ballot.round}|${ballot.by}`;
    const tally = tallies.get(key) ?? { slot, batch, voters: new Set() };
    tally.voters.add(voter);
    tallies.set(key, tally);
    topAccepted.set(voter, Math.max(topAccepted.get(voter) ?? -1, slot));
  }

  function noteVote(request: VoteRequest, answer: VoteAnswer): void {
    const { voter } = answer;
    if (lost.has(voter)) fail('lostIdentity', `${voter} ${answer.kind} slot ${request.slot} after its disk was lost`);
    const key = `${voter}|${request.slot}`;
    const record = records.get(key) ?? { promised: NOTHING, accepted: null };
    if (answer.kind === 'promised') checkPromise(record, request, answer.accepted, voter, fail);
    else {
      checkAcceptance(record, request, voter, fail);
      record.accepted = later(record.accepted ?? NOTHING, request.ballot);
      count(request, voter);
    }
    record.promised = later(record.promised, request.ballot);
    records.set(key, record);
  }
  function onDisconnected(identity: string): void {
    lost.add(identity);
  }
  function noteRestart(identity: string, top: number): void {
    const accepted = topAccepted.get(identity) ?? -1;
    if (top < accepted)
      fail('restartedBehind', `${identity} came back at slot ${top}, having accepted slot ${accepted}`);
  }
  function acceptedBy(slot: number, batch: string, identities: readonly string[]): number {
    let most = 0;
    for (const tally of tallies.values()) {
      if (tally.slot !== slot || tally.batch !== batch) continue;
      let voters = 0;
      for (const id of identities) if (tally.voters.has(id)) voters += 1;
      most = Math.max(most, voters);
    }
    return most;
  }
  return { noteVote, onDisconnected, noteRestart, acceptedBy };
}

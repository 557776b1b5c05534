/**
 * Checks the votes that acceptors send, as observed on the wire: a promise
 * survives crashes, an accepted ballot is reported to later proposers, and an
 * identity whose disk was lost never votes again. Nothing is read from inside an
 * acceptor, so that votes it has forgotten are detected.
 */
import { compareBallots } from '../../state/consensus/ballot.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import type { ReportViolation } from './rule-violation.js';

/** A prepare or accept as received by an acceptor; `batch` is empty for a prepare. */
export type VoteRequest = { readonly slot: number; readonly ballot: Ballot; readonly batch: string };
/** The vote of an acceptor; a promise reports the ballot that it accepted before. */
export type VoteResponse =
  | { readonly kind: 'promised'; readonly voter: string; readonly accepted: Ballot | null }
  | { readonly kind: 'accepted'; readonly voter: string };

/** Records votes, and reports violations. */
export type VoteChecker = {
  readonly recordVote: (request: VoteRequest, response: VoteResponse) => void;
  /** Called when the disk of an identity is lost: it must not vote any more. */
  readonly recordDiskLoss: (identity: string) => void;
  /** Called when an identity restarted, with the newest slot that it holds or accepted a batch for. */
  readonly recordRestart: (identity: string, newestSlot: number) => void;
  /** The largest number of these identities that accepted the batch under a single ballot. */
  readonly acceptedBy: (slot: number, batch: string, identities: readonly string[]) => number;
};

type VoterRecord = { promised: Ballot; accepted: Ballot | null };
type Tally = { readonly slot: number; readonly batch: string; readonly voters: Set<string> };

const NO_BALLOT: Ballot = { round: 0, by: '' };

function laterBallot(left: Ballot, right: Ballot): Ballot {
  return compareBallots(left, right) > 0 ? left : right;
}

function checkPromise(
  record: VoterRecord,
  request: VoteRequest,
  accepted: Ballot | null,
  voter: string,
  reportViolation: ReportViolation,
): void {
  const { slot, ballot } = request;
  if (compareBallots(ballot, record.promised) <= 0)
    reportViolation(
      'promiseKept',
      `${voter} promised ballot ${ballot.round} of slot ${slot} after ${record.promised.round}`,
    );
  const hasForgotten = record.accepted !== null && (accepted === null || compareBallots(accepted, record.accepted) < 0);
  if (hasForgotten) reportViolation('acceptedKept', `${voter} forgot the batch it accepted for slot ${slot}`);
}

function checkAcceptance(
  record: VoterRecord,
  request: VoteRequest,
  voter: string,
  reportViolation: ReportViolation,
): void {
  const { slot, ballot } = request;
  if (compareBallots(ballot, record.promised) < 0)
    reportViolation(
      'promiseKept',
      `${voter} accepted ballot ${ballot.round} of slot ${slot} after it promised ${record.promised.round}`,
    );
}

/** Creates a checker that has seen no vote yet. */
export function createVoteChecker(reportViolation: ReportViolation): VoteChecker {
  const records = new Map<string, VoterRecord>();
  const tallies = new Map<string, Tally>();
  const newestAccepted = new Map<string, number>();
  const lostIdentities = new Set<string>();

  function countVote(request: VoteRequest, voter: string): void {
    const { slot, ballot, batch } = request;
    const key = `${slot}|${batch}|${ballot.round}|${ballot.by}`;
    const tally = tallies.get(key) ?? { slot, batch, voters: new Set() };
    tally.voters.add(voter);
    tallies.set(key, tally);
    newestAccepted.set(voter, Math.max(newestAccepted.get(voter) ?? -1, slot));
  }

  function recordVote(request: VoteRequest, response: VoteResponse): void {
    const { voter } = response;
    if (lostIdentities.has(voter))
      reportViolation('lostIdentity', `${voter} ${response.kind} slot ${request.slot} after its disk was lost`);
    const key = `${voter}|${request.slot}`;
    const record = records.get(key) ?? { promised: NO_BALLOT, accepted: null };
    if (response.kind === 'promised') checkPromise(record, request, response.accepted, voter, reportViolation);
    else {
      checkAcceptance(record, request, voter, reportViolation);
      record.accepted = laterBallot(record.accepted ?? NO_BALLOT, request.ballot);
      countVote(request, voter);
    }
    record.promised = laterBallot(record.promised, request.ballot);
    records.set(key, record);
  }
  function recordDiskLoss(identity: string): void {
    lostIdentities.add(identity);
  }
  function recordRestart(identity: string, newestSlot: number): void {
    const accepted = newestAccepted.get(identity) ?? -1;
    if (newestSlot < accepted)
      reportViolation(
        'restartedBehind',
        `${identity} restarted at slot ${newestSlot}, although it accepted slot ${accepted}`,
      );
  }
  function acceptedBy(slot: number, batch: string, identities: readonly string[]): number {
    let max = 0;
    for (const tally of tallies.values()) {
      if (tally.slot !== slot || tally.batch !== batch) continue;
      let voters = 0;
      for (const id of identities) if (tally.voters.has(id)) voters += 1;
      max = Math.max(max, voters);
    }
    return max;
  }
  return { recordVote, recordDiskLoss, recordRestart, acceptedBy };
}

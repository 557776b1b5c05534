/**
 * The proposer side of Paxos: queues drafts, combines the queued ones into a batch, and runs ballots on consecutive
 * slots until each entry is applied or its deadline has passed. Any controller that knows the ledger may propose,
 * including one that is not a member, because a proposer needs no vote of its own. Created by `ledger.ts`.
 *
 * Invariants (docs/consistency.md, section 1): a ballot on slot s starts only after slot s-1 is applied and runs
 * among the members as of s-1, whose votes count by identity. An entry keeps its id over all its ballots, so it is
 * applied at most once.
 */
import { createBatchQueue } from '../../base/batch-queue.js';
import type { BatchQueue } from '../../base/batch-queue.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { majorityOf, findOperation } from '../../state/consensus/control-state.js';
import type { Batch, Entry, Member } from '../../state/consensus/entry.js';
import { delay, withTimeout } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { RequestMember } from './poll.js';
import type { CommittedEntry, EntryDraft, ProposeError } from './proposal.js';
import type { Replica } from './replica.js';
import { runRound } from './round.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** Proposes entries, and completes slots that other proposers left undecided. */
export interface Proposer {
  /** Commits one entry. `noMajority` after `timeoutMs` means that it may still be committed later, at most once. */
  propose(draft: EntryDraft, timeoutMs: number): Promise<Result<CommittedEntry, ProposeError>>;
  /** Runs ballots on undecided slots, with an empty batch as its own value, until `isDone` or the deadline. */
  finishOpenSlots(deadline: number, isDone: () => boolean): Promise<void>;
}

/** The replica that proposes, and how it reaches the members. */
export type ProposerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Pick<Peers, 'send'>;
  readonly replica: Replica;
  readonly requesterUntil: (deadline: number) => RequestMember;
  readonly catchUp: (from: Address) => Promise<void>;
  /** The largest batch of entries that fits into one record of the ring log. */
  readonly maxBatchBytes: number;
};

type Proposal = { readonly entry: Entry; readonly bytes: number; readonly deadline: number };

/** Upper bound on the time spent on one batch, so that entries queued meanwhile get into the next one. */
const BATCH_TIMEOUT_MS = 1_000;
const CATCH_UP_RETRY_DELAY_MS = 20;
/**
 * Backoff after a lost or failed round: the expected duration of the winner's round, then a random delay whose upper
 * bound grows with each attempt, up to threefold.
 */
const MIN_BACKOFF_MS = 10;
const WINNER_WAIT_ROUNDS = 1.5;
const MAX_BACKOFF_FACTOR = 3;

class BatchingProposer implements Proposer {
  private readonly queue: BatchQueue<Proposal, Result<CommittedEntry, ProposeError>>;

  constructor(private readonly deps: ProposerDeps) {
    this.queue = createBatchQueue((proposals) => this.proposeBatch(proposals));
  }

  private sendLearned(slot: number, batch: Batch): void {
    const { ledger, members } = this.deps.replica.controlState();
    for (const member of otherMembers(members, this.deps.replica.self)) {
      void this.deps.peers.send(member.address, {
        kind: 'learned',
        ledger,
        slot,
        batch: batch.id,
        at: this.deps.replica.self.address,
      });
    }
  }

  private async catchUpFrom(aheadMembers: readonly Member[]): Promise<void> {
    const requests: Promise<void>[] = [];
    for (const member of otherMembers(aheadMembers, this.deps.replica.self))
      requests.push(this.deps.catchUp(member.address));
    if (requests.length > 0) await Promise.race(requests);
  }

  private async runBallots(batch: Batch, deadline: number, isDone: () => boolean): Promise<Result<null, ProposeError>> {
    let highestRound = 0;
    let longestRoundMs = 0;
    for (let attempts = 0; this.deps.clock.mono() < deadline; attempts += 1) {
      if (isDone()) return ok(null);
      const { ledger, members, slot: appliedSlot } = this.deps.replica.controlState();
      const slot = appliedSlot + 1;
      const startedAt = this.deps.clock.mono();
      const electorate = { ledger, members, quorumSize: majorityOf(members) };
      const ballot = { round: highestRound + 1, by: `${this.deps.replica.id()}/${newId(this.deps.rng, 'b')}` };
      const result = await runRound(electorate, slot, ballot, batch, this.deps.requesterUntil(deadline));
      if (result.tag === 'chosen') {
        await this.deps.replica.learn(slot, result.batch);
        this.sendLearned(slot, result.batch);
        highestRound = 0;
        continue;
      }
      const error = this.deps.replica.writeError();
      if (error) return err({ tag: 'cannotWrite', error });
      if (result.tag === 'behind') {
        await this.catchUpFrom(result.aheadMembers);
        if (this.deps.replica.controlState().slot >= slot) highestRound = 0;
        else await delay(this.deps.clock, CATCH_UP_RETRY_DELAY_MS);
        continue;
      }
      if (result.tag === 'outbid') highestRound = Math.max(highestRound, result.round);
      longestRoundMs = Math.max(longestRoundMs, this.deps.clock.mono() - startedAt);
      await this.deps.replica.waitForSlot(
        slot,
        Math.min(deadline - this.deps.clock.mono(), this.backoffMs(longestRoundMs, attempts)),
      );
    }
    return isDone() ? ok(null) : err({ tag: 'noMajority' });
  }

  private backoffMs(roundMs: number, attempts: number): number {
    const jitterMs = this.deps.rng.next() * (roundMs + MIN_BACKOFF_MS) * Math.min(MAX_BACKOFF_FACTOR, attempts + 1);
    return MIN_BACKOFF_MS + WINNER_WAIT_ROUNDS * roundMs + jitterMs;
  }

  /** Proposes the queued entries in one batch; entries that do not fit are proposed again with the next one. */
  private async proposeBatch(proposals: readonly Proposal[]): Promise<readonly Result<CommittedEntry, ProposeError>[]> {
    const now = this.deps.clock.mono();
    const entries: Entry[] = [];
    let deadline = now;
    let totalBytes = 0;
    for (const proposal of proposals) {
      if (
        proposal.deadline <= now ||
        findOperation(this.deps.replica.controlState(), proposal.entry.id) ||
        totalBytes + proposal.bytes > this.deps.maxBatchBytes
      )
        continue;
      totalBytes += proposal.bytes;
      entries.push(proposal.entry);
      deadline = Math.min(now + BATCH_TIMEOUT_MS, Math.max(deadline, proposal.deadline));
    }
    let batchError: ProposeError = { tag: 'noMajority' };

    const allApplied = (): boolean => {
      for (const entry of entries) if (!findOperation(this.deps.replica.controlState(), entry.id)) return false;
      return true;
    };
    if (entries.length > 0) {
      const decided = await this.runBallots({ id: newId(this.deps.rng, 'batch'), entries }, deadline, allApplied);
      if (!decided.ok) batchError = decided.error;
    }
    const results: Result<CommittedEntry, ProposeError>[] = [];
    for (const proposal of proposals) {
      const operation = findOperation(this.deps.replica.controlState(), proposal.entry.id);
      results.push(operation ? ok({ slot: operation.slot, outcome: operation.outcome }) : err(batchError));
    }
    return results;
  }

  async propose(draft: EntryDraft, timeoutMs: number): Promise<Result<CommittedEntry, ProposeError>> {
    const deadline = this.deps.clock.mono() + timeoutMs;
    if (!(await this.deps.replica.waitForLedger(timeoutMs))) return err({ tag: 'notBootstrapped' });
    const entry: Entry = {
      id: draft.id ?? newId(this.deps.rng, 'op'),
      author: this.deps.replica.self.name,
      wall: this.deps.clock.wall(),
      cause: draft.cause,
      act: draft.act,
      ...(draft.fence === undefined ? {} : { fence: draft.fence }),
    };
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    if (bytes > this.deps.maxBatchBytes) return err({ tag: 'cannotWrite', error: { tag: 'recordTooLarge', bytes } });
    const excessBytes = this.excessBytes(entry);
    if (excessBytes !== null) return err({ tag: 'cannotWrite', error: { tag: 'recordTooLarge', bytes: excessBytes } });
    return this.proposeUntil(entry, bytes, deadline);
  }

  /** Members would not accept a change that a snapshot can't hold, so it is refused here, before it is proposed. */
  private excessBytes(entry: Entry): number | null {
    return entry.act.tag === 'configured' ? this.deps.replica.store.excessBytes({ id: '', entries: [entry] }) : null;
  }

  private async proposeUntil(
    entry: Entry,
    bytes: number,
    deadline: number,
  ): Promise<Result<CommittedEntry, ProposeError>> {
    for (;;) {
      const queued = this.queue.put({ entry, bytes, deadline });
      const result =
        (await withTimeout(this.deps.clock, deadline - this.deps.clock.mono(), queued)) ?? err({ tag: 'noMajority' });
      if (result.ok || result.error.tag !== 'noMajority' || this.deps.clock.mono() >= deadline) return result;
    }
  }

  async finishOpenSlots(deadline: number, isDone: () => boolean): Promise<void> {
    await this.runBallots({ id: newId(this.deps.rng, 'batch'), entries: [] }, deadline, isDone);
  }
}

/** Creates a proposer that combines queued entries into batches. */
export function createProposer(deps: ProposerDeps): Proposer {
  return new BatchingProposer(deps);
}

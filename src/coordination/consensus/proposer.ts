/**
 * The proposer's side: takes drafts, batches those that wait, and ballots slot after slot until each of them is folded or
 * its time is over. Any controller that knows the ledger may propose, also one that is no member: it needs no vote of its
 * own. `ledger.ts` makes one.
 *
 * Invariants (docs/consistency.md, section 1): slot s is balloted only once s-1 is folded, among the members after s-1,
 * whose votes count by identity; an entry keeps its id over all its ballots, so it is folded once at most.
 */
import { createBatchQueue } from '../../base/batch-queue.js';
import type { BatchQueue } from '../../base/batch-queue.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { majorityOf, operationOf } from '../../state/consensus/control-state.js';
import type { Batch, Entry, Member } from '../../state/consensus/entry.js';
import { delay, within } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { RequestMember } from './poll.js';
import type { Agreed, Draft, ProposeError } from './proposal.js';
import type { Replica } from './replica.js';
import { runRound } from './round.js';
import { otherMembers } from '../../state/consensus/fold-members.js';

/** Proposes entries and finishes slots that others left open. */
export interface Proposer {
  /** Agrees one entry; `noMajority` after `waitMs` says that it may still come to be agreed, once at most. */
  propose(draft: Draft, waitMs: number): Promise<Result<Agreed, ProposeError>>;
  /** Ballots what others left open (with an empty batch of its own) until `isDone`. */
  finish(until: number, isDone: () => boolean): Promise<void>;
}

/** The replica that proposes, and how it reaches the members. */
export type ProposerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Pick<Peers, 'send'>;
  readonly replica: Replica;
  readonly requesterUntil: (until: number) => RequestMember;
  readonly catchUp: (from: Address) => Promise<void>;
  /** The largest entry that a record of the ring holds. */
  readonly mostBytes: number;
};

type Proposal = { readonly entry: Entry; readonly bytes: number; readonly until: number };

/** One batch is tried no longer than this, so that younger entries come into the next one. */
const SLICE_MS = 1_000;
const BEHIND_PAUSE_MS = 20;
/** After being outbid: the winner's round is waited for, then a random while that grows up to threefold. */
const LEAST_WAIT_MS = 10;
const WINNER_ROUNDS = 1.5;
const MOST_BACKOFF = 3;

class BatchingProposer implements Proposer {
  private readonly queue: BatchQueue<Proposal, Result<Agreed, ProposeError>>;

  constructor(private readonly deps: ProposerDeps) {
    this.queue = createBatchQueue((proposals) => this.work(proposals));
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

  private async catchUpFrom(ahead: readonly Member[]): Promise<void> {
    const requests: Promise<void>[] = [];
    for (const member of otherMembers(ahead, this.deps.replica.self)) requests.push(this.deps.catchUp(member.address));
    if (requests.length > 0) await Promise.race(requests);
  }

  private async ballot(batch: Batch, until: number, isDone: () => boolean): Promise<Result<null, ProposeError>> {
    let highestRound = 0;
    let longestMs = 0;
    for (let tries = 0; this.deps.clock.mono() < until; tries += 1) {
      if (isDone()) return ok(null);
      const { ledger, members, slot: folded } = this.deps.replica.controlState();
      const slot = folded + 1;
      const from = this.deps.clock.mono();
      const electorate = { ledger, members, quorumSize: majorityOf(members) };
      const own = { round: highestRound + 1, by: `${this.deps.replica.id()}/${newId(this.deps.rng, 'b')}` };
      const end = await runRound(electorate, slot, own, batch, this.deps.requesterUntil(until));
      if (end.tag === 'chosen') {
        await this.deps.replica.learn(slot, end.batch);
        this.sendLearned(slot, end.batch);
        highestRound = 0;
        continue;
      }
      const error = this.deps.replica.blockedBy();
      if (error) return err({ tag: 'cannotWrite', error });
      if (end.tag === 'behind') {
        await this.catchUpFrom(end.ahead);
        if (this.deps.replica.controlState().slot >= slot) highestRound = 0;
        else await delay(this.deps.clock, BEHIND_PAUSE_MS);
        continue;
      }
      if (end.tag === 'outbid') highestRound = Math.max(highestRound, end.round);
      longestMs = Math.max(longestMs, this.deps.clock.mono() - from);
      await this.deps.replica.slotDone(
        slot,
        Math.min(until - this.deps.clock.mono(), this.waitAfter(longestMs, tries)),
      );
    }
    return isDone() ? ok(null) : err({ tag: 'noMajority' });
  }

  private waitAfter(roundMs: number, tries: number): number {
    const backoff = this.deps.rng.next() * (roundMs + LEAST_WAIT_MS) * Math.min(MOST_BACKOFF, tries + 1);
    return LEAST_WAIT_MS + WINNER_ROUNDS * roundMs + backoff;
  }

  /** Agrees all that wait in one batch; what no longer fits comes with the next one. */
  private async work(proposals: readonly Proposal[]): Promise<readonly Result<Agreed, ProposeError>[]> {
    const now = this.deps.clock.mono();
    const entries: Entry[] = [];
    let until = now;
    let total = 0;
    for (const proposal of proposals) {
      if (
        proposal.until <= now ||
        operationOf(this.deps.replica.controlState(), proposal.entry.id) ||
        total + proposal.bytes > this.deps.mostBytes
      )
        continue;
      total += proposal.bytes;
      entries.push(proposal.entry);
      until = Math.min(now + SLICE_MS, Math.max(until, proposal.until));
    }
    let failed: ProposeError = { tag: 'noMajority' };

    const allFolded = (): boolean => {
      for (const event of entries) if (!operationOf(this.deps.replica.controlState(), event.id)) return false;
      return true;
    };
    if (entries.length > 0) {
      const decided = await this.ballot({ id: newId(this.deps.rng, 'batch'), entries }, until, allFolded);
      if (!decided.ok) failed = decided.error;
    }
    const results: Result<Agreed, ProposeError>[] = [];
    for (const proposal of proposals) {
      const done = operationOf(this.deps.replica.controlState(), proposal.entry.id);
      results.push(done ? ok({ slot: done.slot, outcome: done.outcome }) : err(failed));
    }
    return results;
  }

  async propose(draft: Draft, waitMs: number): Promise<Result<Agreed, ProposeError>> {
    const until = this.deps.clock.mono() + waitMs;
    if (!(await this.deps.replica.knowsLedger(waitMs))) return err({ tag: 'notBootstrapped' });
    const entry: Entry = {
      id: draft.id ?? newId(this.deps.rng, 'op'),
      author: this.deps.replica.self.name,
      wall: this.deps.clock.wall(),
      cause: draft.cause,
      act: draft.act,
      ...(draft.fence === undefined ? {} : { fence: draft.fence }),
    };
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    if (bytes > this.deps.mostBytes) return err({ tag: 'cannotWrite', error: { tag: 'recordTooLarge', bytes } });
    return this.agreedWithin(entry, bytes, until);
  }

  private async agreedWithin(entry: Entry, bytes: number, until: number): Promise<Result<Agreed, ProposeError>> {
    for (;;) {
      const queued = this.queue.put({ entry, bytes, until });
      const end = (await within(this.deps.clock, until - this.deps.clock.mono(), queued)) ?? err({ tag: 'noMajority' });
      if (end.ok || end.error.tag !== 'noMajority' || this.deps.clock.mono() >= until) return end;
    }
  }

  async finish(until: number, isDone: () => boolean): Promise<void> {
    await this.ballot({ id: newId(this.deps.rng, 'batch'), entries: [] }, until, isDone);
  }
}

/** A proposer that puts all waiting entries into one batch. */
export function createProposer(deps: ProposerDeps): Proposer {
  return new BatchingProposer(deps);
}

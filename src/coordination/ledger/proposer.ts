/**
 * The proposer's side: takes drafts, batches those that wait, and ballots slot after slot until each of them is folded or
 * its time is over. Any controller that knows the ledger may propose, also one that is no member: it needs no vote of its
 * own. `ledger.ts` makes one.
 *
 * Invariants (docs/consistency.md, section 1): slot s is balloted only once s-1 is folded, among the members after s-1,
 * whose votes count by identity; an entry keeps its id over all its ballots, so it is folded once at most.
 */
import { createLine } from '../../base/line.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { majorityOf, memberId, operationOf } from '../../state/control-state.js';
import type { Batch, Entry, Member } from '../../state/entry.js';
import { pause, within } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { AskMember } from './poll.js';
import type { Agreed, Draft, ProposeFault } from './proposal.js';
import type { Replica } from './replica.js';
import { runRound } from './round.js';

export type Proposer = {
  /** Agrees one entry; `noMajority` after `waitMs` says that it may still come to be agreed, once at most. */
  readonly propose: (draft: Draft, waitMs: number) => Promise<Result<Agreed, ProposeFault>>;
  /** Ballots what others left open (with an empty batch of its own) until `isDone`. */
  readonly finish: (until: number, isDone: () => boolean) => Promise<void>;
};

export type ProposerDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Pick<Peers, 'tell'>;
  readonly replica: Replica;
  readonly askerUntil: (until: number) => AskMember;
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

export function createProposer(deps: ProposerDeps): Proposer {
  const { clock, rng, peers, replica, askerUntil, catchUp, mostBytes } = deps;
  const { controlState, self } = replica;

  function tellLearned(slot: number, batch: Batch): void {
    const { ledger, members } = controlState();
    for (const m of members) {
      if (memberId(m) === replica.id()) continue;
      void peers.tell(m.address, { kind: 'learned', ledger, slot, batch: batch.id, at: self.address });
    }
  }

  async function catchUpFrom(ahead: readonly Member[]): Promise<void> {
    const asks: Promise<void>[] = [];
    for (const m of ahead) if (memberId(m) !== replica.id()) asks.push(catchUp(m.address));
    if (asks.length > 0) await Promise.race(asks);
  }

  async function ballot(batch: Batch, until: number, isDone: () => boolean): Promise<Result<null, ProposeFault>> {
    let highestRound = 0;
    let longestMs = 0;
    for (let tries = 0; clock.mono() < until; tries += 1) {
      if (isDone()) return ok(null);
      const { ledger, members, slot: folded } = controlState();
      const slot = folded + 1;
      const from = clock.mono();
      const electorate = { ledger, members, need: majorityOf(members) };
      const own = { round: highestRound + 1, by: `${replica.id()}/${newId(rng, 'b')}` };
      const end = await runRound(electorate, slot, own, batch, askerUntil(until));
      if (end.tag === 'chosen') {
        await replica.learn(slot, end.batch);
        tellLearned(slot, end.batch);
        highestRound = 0;
        continue;
      }
      const fault = replica.blockedBy();
      if (fault) return err({ tag: 'cannotWrite', fault });
      if (end.tag === 'behind') {
        await catchUpFrom(end.ahead);
        if (controlState().slot >= slot) highestRound = 0;
        else await pause(clock, BEHIND_PAUSE_MS);
        continue;
      }
      if (end.tag === 'outbid') highestRound = Math.max(highestRound, end.round);
      longestMs = Math.max(longestMs, clock.mono() - from);
      await replica.slotDone(slot, Math.min(until - clock.mono(), waitAfter(longestMs, tries)));
    }
    return isDone() ? ok(null) : err({ tag: 'noMajority' });
  }
  function waitAfter(roundMs: number, tries: number): number {
    const backoff = rng.next() * (roundMs + LEAST_WAIT_MS) * Math.min(MOST_BACKOFF, tries + 1);
    return LEAST_WAIT_MS + WINNER_ROUNDS * roundMs + backoff;
  }

  /** Agrees all that wait in one batch; what no longer fits comes with the next one. */
  async function work(proposals: readonly Proposal[]): Promise<readonly Result<Agreed, ProposeFault>[]> {
    const now = clock.mono();
    const entries: Entry[] = [];
    let until = now;
    let total = 0;
    for (const p of proposals) {
      if (p.until <= now || operationOf(controlState(), p.entry.id) || total + p.bytes > mostBytes) continue;
      total += p.bytes;
      entries.push(p.entry);
      until = Math.min(now + SLICE_MS, Math.max(until, p.until));
    }
    function allFolded(): boolean {
      for (const e of entries) if (!operationOf(controlState(), e.id)) return false;
      return true;
    }
    let failed: ProposeFault = { tag: 'noMajority' };
    if (entries.length > 0) {
      const decided = await ballot({ id: newId(rng, 'batch'), entries }, until, allFolded);
      if (!decided.ok) failed = decided.fault;
    }
    const results: Result<Agreed, ProposeFault>[] = [];
    for (const p of proposals) {
      const done = operationOf(controlState(), p.entry.id);
      results.push(done ? ok({ slot: done.slot, outcome: done.outcome }) : err(failed));
    }
    return results;
  }
  const line = createLine(work);

  async function propose(draft: Draft, waitMs: number): Promise<Result<Agreed, ProposeFault>> {
    const until = clock.mono() + waitMs;
    if (!(await replica.knowsLedger(waitMs))) return err({ tag: 'notBootstrapped' });
    const entry: Entry = {
      id: draft.id ?? newId(rng, 'op'),
      author: self.name,
      wall: clock.wall(),
      cause: draft.cause,
      act: draft.act,
      ...(draft.fence === undefined ? {} : { fence: draft.fence }),
    };
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    if (bytes > mostBytes) return err({ tag: 'cannotWrite', fault: { tag: 'recordTooLarge', bytes } });
    return agreedWithin(entry, bytes, until);
  }
  async function agreedWithin(entry: Entry, bytes: number, until: number): Promise<Result<Agreed, ProposeFault>> {
    for (;;) {
      const queued = line.put({ entry, bytes, until });
      const end = (await within(clock, until - clock.mono(), queued)) ?? err({ tag: 'noMajority' });
      if (end.ok || end.fault.tag !== 'noMajority' || clock.mono() >= until) return end;
    }
  }

  async function finish(until: number, isDone: () => boolean): Promise<void> {
    await ballot({ id: newId(rng, 'batch'), entries: [] }, until, isDone);
  }
  return { propose, finish };
}

/**
 * Brings this controller to a state that is no older than anything confirmed before the call, which is what a reading (and
 * the check of an order's base) needs. `ledger.ts` makes one; any controller that knows the ledger may read.
 *
 * Why it holds (docs/consistency.md, section 1): slot s+1 is accepted by a majority of the members after s. A reading ends
 * at slot s when a majority of these members, asked after it began, knew of nothing above s; had s+1 been chosen before,
 * one of them would have accepted it, synced, and told s+1 at least.
 */
import type { Message } from '../../protocol/messages.js';
import { majorityOf, membersDigest } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import { poll } from './poll.js';
import type { RequestMember, Votes } from './poll.js';
import type { Proposer } from './proposer.js';
import type { Replica } from './replica.js';

/** The replica to bring up to date; `requesterUntil` asks members until a moment. */
export type LinearizableReadDeps = {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly proposer: Proposer;
  readonly requesterUntil: (until: number) => RequestMember;
  readonly catchUp: (from: Address) => Promise<void>;
};

/** Newest slot that was accepted, and newest that was learned, by anyone of a majority. */
type Newest = { readonly top: number; readonly learned: number };

const ASK_AGAIN_MS = 50;
/** How long a slot that another has learned is waited for, and one that may be a proposal under way, before this one ballots. */
const LEARNED_WAIT_MS = 400;
const UNDER_WAY_WAIT_MS = 150;

/** Makes the reading: true once the state is settled, false after `waitMs`. */
export function createLinearizableRead(deps: LinearizableReadDeps): (waitMs: number) => Promise<boolean> {
  const { clock, replica, proposer, requesterUntil, catchUp } = deps;
  function controlState(): ControlState {
    return replica.controlState();
  }

  /** The members must be the same at the end: a majority of former ones may hold a removed one and others that lag. */
  async function linearizableRead(waitMs: number): Promise<boolean> {
    const until = clock.mono() + waitMs;
    if (!(await replica.knowsLedger(waitMs))) return false;
    while (clock.mono() < until) {
      const membersBefore = membersDigest(controlState().members);
      const newest = await newestOfMajority(until);
      if (!newest) await delay(clock, Math.min(ASK_AGAIN_MS, until - clock.mono()));
      else if ((await reach(newest, until)) && membersDigest(controlState().members) === membersBefore) return true;
    }
    return false;
  }

  async function newestOfMajority(until: number): Promise<Newest | null> {
    const { members, ledger } = controlState();
    const quorumSize = majorityOf(members);
    const requestMember = requesterUntil(until);
    async function request(member: Member): Promise<Message | null> {
      const reply = await requestMember(member, { kind: 'memberStatusAsk' });
      return reply?.kind === 'memberStatus' && reply.ledger === ledger ? reply : null;
    }
    function isEnough(votes: Votes, open: number): boolean {
      return votes.size >= quorumSize || votes.size + open < quorumSize;
    }
    const votes = await poll(members, request, isEnough);
    if (votes.size < quorumSize) return null;
    let top = -1;
    let learned = -1;
    for (const vote of votes.values()) {
      if (vote.kind !== 'memberStatus') continue;
      top = Math.max(top, vote.top);
      learned = Math.max(learned, vote.learned);
      if (vote.learned > controlState().slot) void catchUp(vote.address);
    }
    return { top, learned };
  }

  async function reach(newest: Newest, until: number): Promise<boolean> {
    function atTop(): boolean {
      return controlState().slot >= newest.top;
    }
    const waitMs = newest.learned >= newest.top ? LEARNED_WAIT_MS : UNDER_WAY_WAIT_MS;
    await replica.slotDone(newest.top, Math.min(waitMs, until - clock.mono()));
    if (!atTop()) await proposer.finish(until, atTop);
    return atTop();
  }
  return linearizableRead;
}

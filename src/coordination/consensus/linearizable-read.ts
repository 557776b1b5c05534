/**
 * Brings this controller to a state that includes everything confirmed before the call, as needed for a linearizable
 * read and for checking the base of an order. Created by `ledger.ts`; any controller that knows the ledger may read.
 *
 * Correctness (docs/consistency.md, section 1): slot s+1 is chosen by a majority of the members as of slot s. A read
 * ends at slot s when a majority of these members, asked after the read began, reported nothing above s. If s+1 had
 * been chosen before, at least one of them would have accepted and synced it, and would have reported s+1 or higher.
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

/** The replica to bring up to date. `requesterUntil` returns a function that sends requests up to a deadline. */
export type LinearizableReadDeps = {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly proposer: Proposer;
  readonly requesterUntil: (deadline: number) => RequestMember;
  readonly catchUp: (from: Address) => Promise<void>;
};

/** The highest slot accepted (`top`) and the highest slot learned by any responding member of a majority. */
type NewestSlots = { readonly top: number; readonly learned: number };

const RETRY_DELAY_MS = 50;
/**
 * How long to wait before running a ballot on an unapplied slot: for a slot that another member has already learned,
 * and for one that may still be in the middle of its proposal.
 */
const LEARNED_SLOT_WAIT_MS = 400;
const OPEN_SLOT_WAIT_MS = 150;

/** Creates the read operation. It resolves to true once the state is up to date, or to false after `timeoutMs`. */
export function createLinearizableRead(deps: LinearizableReadDeps): (timeoutMs: number) => Promise<boolean> {
  const { clock, replica, proposer, requesterUntil, catchUp } = deps;
  function controlState(): ControlState {
    return replica.controlState();
  }

  /**
   * The members must be the same before and after: a majority of former members may consist of removed and lagging
   * ones, none of which knows the newest slot.
   */
  async function linearizableRead(timeoutMs: number): Promise<boolean> {
    const deadline = clock.mono() + timeoutMs;
    if (!(await replica.waitForLedger(timeoutMs))) return false;
    while (clock.mono() < deadline) {
      const membersBefore = membersDigest(controlState().members);
      const newest = await newestOfMajority(deadline);
      if (!newest) await delay(clock, Math.min(RETRY_DELAY_MS, deadline - clock.mono()));
      else if ((await catchUpTo(newest, deadline)) && membersDigest(controlState().members) === membersBefore)
        return true;
    }
    return false;
  }

  async function newestOfMajority(deadline: number): Promise<NewestSlots | null> {
    const { members, ledger } = controlState();
    const quorumSize = majorityOf(members);
    const requestMember = requesterUntil(deadline);
    async function request(member: Member): Promise<Message | null> {
      const reply = await requestMember(member, { kind: 'memberStatusAsk' });
      return reply?.kind === 'memberStatus' && reply.ledger === ledger ? reply : null;
    }
    function isEnough(votes: Votes, pending: number): boolean {
      return votes.size >= quorumSize || votes.size + pending < quorumSize;
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

  async function catchUpTo(newest: NewestSlots, deadline: number): Promise<boolean> {
    function hasReachedTop(): boolean {
      return controlState().slot >= newest.top;
    }
    const waitMs = newest.learned >= newest.top ? LEARNED_SLOT_WAIT_MS : OPEN_SLOT_WAIT_MS;
    await replica.waitForSlot(newest.top, Math.min(waitMs, deadline - clock.mono()));
    if (!hasReachedTop()) await proposer.finishOpenSlots(deadline, hasReachedTop);
    return hasReachedTop();
  }
  return linearizableRead;
}

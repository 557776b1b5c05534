/**
 * The acceptor side of Paxos: answers `prepare` and `accept` requests and handles `learned` messages, which announce a
 * chosen slot. Created by `ledger.ts`; the rules for a single slot are in `state/consensus/acceptor.ts`.
 *
 * Invariants (docs/consistency.md, sections 1 and 3): a controller votes on slot s only after it has applied slot s-1
 * and is, under its current identity, a member as of that slot. Each vote is synced to disk before it is answered.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Vote } from '../../state/consensus/acceptor.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { memberId } from '../../state/consensus/control-state.js';
import { withTimeout } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { Replica } from './replica.js';

/** A request of either phase of a ballot. */
export type VoteRequest = MessageOf<'prepare'> | MessageOf<'accept'>;

/** Answers the requests of a ballot. */
export interface Voter {
  onVoteRequest(request: VoteRequest): Promise<Message>;
}

/** The replica that votes, and what it needs to catch up before a vote. */
export type VoterDeps = {
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'on'>;
  readonly replica: Replica;
  readonly catchUp: (from: Address) => Promise<void>;
  /** The ledger name used by the initial controllers for ballots on slot zero; null if this is not one of them. */
  readonly bootstrapLedgerName: () => string | null;
};

const CATCH_UP_TIMEOUT_MS = 400;

class ReplicaVoter implements Voter {
  constructor(private readonly deps: VoterDeps) {
    this.deps.peers.on('prepare', (request) => this.onVoteRequest(request));

    this.deps.peers.on('accept', (request) => this.onVoteRequest(request));

    this.deps.peers.on('learned', (update) => this.onLearned(update));
  }

  /** Fetches the missing slots from the proposer before voting, so that the vote of a lagging member counts at once. */
  private async catchUpTo(slot: number, ballot: Ballot): Promise<void> {
    for (const member of this.deps.replica.controlState().members) {
      const id = memberId(member);
      if (id === this.deps.replica.id() || !ballot.by.startsWith(`${id}/`)) continue;
      await withTimeout(this.deps.clock, CATCH_UP_TIMEOUT_MS, this.deps.catchUp(member.address));
      if (this.deps.replica.controlState().slot < slot)
        await withTimeout(this.deps.clock, CATCH_UP_TIMEOUT_MS, this.deps.catchUp(member.address));
    }
  }

  private mayVote(request: VoteRequest): boolean {
    if (request.slot > this.deps.replica.controlState().slot + 1) return false;
    if (request.ledger === this.deps.bootstrapLedgerName()) return request.slot === 0;
    return request.ledger === this.deps.replica.controlState().ledger && this.deps.replica.isMember();
  }

  async onVoteRequest(request: VoteRequest): Promise<Message> {
    if (
      request.ledger === this.deps.replica.controlState().ledger &&
      request.slot > this.deps.replica.controlState().slot + 1
    )
      await this.catchUpTo(request.slot - 1, request.ballot);
    if (!this.mayVote(request)) return { kind: 'cannotVote' };
    const { slot, ballot } = request;
    const result = await this.deps.replica.put(
      request.kind === 'prepare'
        ? { tag: 'prepare', slot, ballot }
        : { tag: 'accept', slot, ballot, batch: request.batch },
    );
    return result.tag === 'vote' ? messageOf(result.vote, this.deps.replica.id()) : { kind: 'cannotVote' };
  }

  private onLearned(update: MessageOf<'learned'>): null {
    const { ledger, slot } = this.deps.replica.controlState();
    const isSlotZero = ledger === '' && update.slot === 0 && update.ledger === this.deps.bootstrapLedgerName();
    if (!isSlotZero && (update.ledger !== ledger || update.slot <= slot)) return null;
    const accepted = this.deps.replica.store.accepted(update.slot);
    if (update.slot === slot + 1 && accepted?.id === update.batch) void this.deps.replica.learn(update.slot, accepted);
    else void this.deps.catchUp(update.at);
    return null;
  }
}

/** Creates a voter and registers it for `prepare`, `accept` and `learned`. */
export function createVoter(deps: VoterDeps): Voter {
  return new ReplicaVoter(deps);
}

function messageOf(vote: Vote, voter: string): Message {
  switch (vote.tag) {
    case 'promised':
      return { kind: 'promised', voter, accepted: vote.accepted };
    case 'accepted':
      return { kind: 'accepted', voter };
    case 'outbid':
      return { kind: 'outbid', voter, by: vote.by };
    case 'alreadyChosen':
      return { kind: 'alreadyChosen', voter };
  }
}

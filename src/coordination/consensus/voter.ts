/**
 * The acceptor's side of a ballot: answers `prepare` and `accept`, and takes the word that a slot was chosen. `ledger.ts`
 * makes one; the rules of a single slot are in `consensus/acceptor.ts`.
 *
 * Invariants (docs/consistency.md, sections 1 and 3): a controller votes on slot s only once it has folded s-1 and is a
 * member after it under its present identity; each vote is synced before it is answered.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Vote } from '../../state/consensus/acceptor.js';
import type { Ballot } from '../../state/consensus/ballot.js';
import { memberId } from '../../state/consensus/control-state.js';
import { within } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { Replica } from './replica.js';

/** A message of either phase of a ballot. */
export type VoteRequest = MessageOf<'prepare'> | MessageOf<'accept'>;

/** Answers the messages of a ballot. */
export interface Voter {
  onVote(request: VoteRequest): Promise<Message>;
}

/** The replica that votes, and how it catches up first. */
export type VoterDeps = {
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'on'>;
  readonly replica: Replica;
  readonly catchUp: (from: Address) => Promise<void>;
  /** The name under which the first controllers ballot slot zero; null where this one is none of them. */
  readonly bootstrapBallot: () => string | null;
};

const LEARN_WAIT_MS = 400;

class ReplicaVoter implements Voter {
  constructor(private readonly deps: VoterDeps) {
    this.deps.peers.on('prepare', (request) => this.onVote(request));

    this.deps.peers.on('accept', (request) => this.onVote(request));

    this.deps.peers.on('learned', (update) => this.onLearned(update));
  }

  /** One that lags learns from the proposer what it lacks, so that its vote counts at once. */
  private async learnUpTo(slot: number, ballot: Ballot): Promise<void> {
    for (const member of this.deps.replica.controlState().members) {
      const id = memberId(member);
      if (id === this.deps.replica.id() || !ballot.by.startsWith(`${id}/`)) continue;
      await within(this.deps.clock, LEARN_WAIT_MS, this.deps.catchUp(member.address));
      if (this.deps.replica.controlState().slot < slot)
        await within(this.deps.clock, LEARN_WAIT_MS, this.deps.catchUp(member.address));
    }
  }

  private mayVote(request: VoteRequest): boolean {
    if (request.slot > this.deps.replica.controlState().slot + 1) return false;
    if (request.ledger === this.deps.bootstrapBallot()) return request.slot === 0;
    return request.ledger === this.deps.replica.controlState().ledger && this.deps.replica.isMember();
  }

  async onVote(request: VoteRequest): Promise<Message> {
    if (
      request.ledger === this.deps.replica.controlState().ledger &&
      request.slot > this.deps.replica.controlState().slot + 1
    )
      await this.learnUpTo(request.slot - 1, request.ballot);
    if (!this.mayVote(request)) return { kind: 'cannotVote' };
    const { slot, ballot } = request;
    const answer = await this.deps.replica.put(
      request.kind === 'prepare'
        ? { tag: 'prepare', slot, ballot }
        : { tag: 'accept', slot, ballot, batch: request.batch },
    );
    return answer.tag === 'vote' ? messageOf(answer.vote, this.deps.replica.id()) : { kind: 'cannotVote' };
  }

  private onLearned(update: MessageOf<'learned'>): null {
    const { ledger, slot } = this.deps.replica.controlState();
    const isSlotZero = ledger === '' && update.slot === 0 && update.ledger === this.deps.bootstrapBallot();
    if (!isSlotZero && (update.ledger !== ledger || update.slot <= slot)) return null;
    const accepted = this.deps.replica.store.accepted(update.slot);
    if (update.slot === slot + 1 && accepted?.id === update.batch) void this.deps.replica.learn(update.slot, accepted);
    else void this.deps.catchUp(update.at);
    return null;
  }
}

/** A voter that answers `prepare`, `accept` and `learned`. */
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

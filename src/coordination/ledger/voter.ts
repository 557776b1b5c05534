/**
 * The acceptor's side of a ballot: answers `prepare` and `accept`, and takes the word that a slot was chosen. `ledger.ts`
 * makes one; the rules of a single slot are in `state/acceptor.ts`.
 *
 * Invariants (docs/consistency.md, sections 1 and 3): a controller votes on slot s only once it has folded s-1 and is a
 * member after it under its present identity; each vote is synced before it is answered.
 */
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Vote } from '../../state/acceptor.js';
import type { Ballot } from '../../state/ballot.js';
import { memberId } from '../../state/control-state.js';
import { within } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { Replica } from './replica.js';

export type VoteAsk = MessageOf<'prepare'> | MessageOf<'accept'>;

export interface Voter {
  onVote(ask: VoteAsk): Promise<Message>;
}

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
    this.deps.peers.on('prepare', (ask) => this.onVote(ask));

    this.deps.peers.on('accept', (ask) => this.onVote(ask));

    this.deps.peers.on('learned', (told) => this.onLearned(told));
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

  private mayVote(ask: VoteAsk): boolean {
    if (ask.slot > this.deps.replica.controlState().slot + 1) return false;
    if (ask.ledger === this.deps.bootstrapBallot()) return ask.slot === 0;
    return ask.ledger === this.deps.replica.controlState().ledger && this.deps.replica.isMember();
  }

  async onVote(ask: VoteAsk): Promise<Message> {
    if (ask.ledger === this.deps.replica.controlState().ledger && ask.slot > this.deps.replica.controlState().slot + 1)
      await this.learnUpTo(ask.slot - 1, ask.ballot);
    if (!this.mayVote(ask)) return { kind: 'cannotVote' };
    const { slot, ballot } = ask;
    const answer = await this.deps.replica.put(
      ask.kind === 'prepare' ? { tag: 'prepare', slot, ballot } : { tag: 'accept', slot, ballot, batch: ask.batch },
    );
    return answer.tag === 'vote' ? messageOf(answer.vote, this.deps.replica.id()) : { kind: 'cannotVote' };
  }

  private onLearned(told: MessageOf<'learned'>): null {
    const { ledger, slot } = this.deps.replica.controlState();
    const isSlotZero = ledger === '' && told.slot === 0 && told.ledger === this.deps.bootstrapBallot();
    if (!isSlotZero && (told.ledger !== ledger || told.slot <= slot)) return null;
    const accepted = this.deps.replica.store.accepted(told.slot);
    if (told.slot === slot + 1 && accepted?.id === told.batch) void this.deps.replica.learn(told.slot, accepted);
    else void this.deps.catchUp(told.at);
    return null;
  }
}

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

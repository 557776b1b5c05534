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

export type Voter = { readonly onVote: (ask: VoteAsk) => Promise<Message> };

export type VoterDeps = {
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'on'>;
  readonly replica: Replica;
  readonly catchUp: (from: Address) => Promise<void>;
  /** The name under which the first controllers ballot slot zero; null where this one is none of them. */
  readonly bootstrapBallot: () => string | null;
};

const LEARN_WAIT_MS = 400;

export function createVoter(deps: VoterDeps): Voter {
  const { clock, peers, replica, catchUp } = deps;
  const { controlState, store } = replica;

  /** One that lags learns from the proposer what it lacks, so that its vote counts at once. */
  async function learnUpTo(slot: number, ballot: Ballot): Promise<void> {
    for (const member of controlState().members) {
      const id = memberId(member);
      if (id === replica.id() || !ballot.by.startsWith(`${id}/`)) continue;
      await within(clock, LEARN_WAIT_MS, catchUp(member.address));
      if (controlState().slot < slot) await within(clock, LEARN_WAIT_MS, catchUp(member.address));
    }
  }

  function mayVote(ask: VoteAsk): boolean {
    if (ask.slot > controlState().slot + 1) return false;
    if (ask.ledger === deps.bootstrapBallot()) return ask.slot === 0;
    return ask.ledger === controlState().ledger && replica.isMember();
  }

  async function onVote(ask: VoteAsk): Promise<Message> {
    if (ask.ledger === controlState().ledger && ask.slot > controlState().slot + 1)
      await learnUpTo(ask.slot - 1, ask.ballot);
    if (!mayVote(ask)) return { kind: 'cannotVote' };
    const { slot, ballot } = ask;
    const answer = await replica.put(
      ask.kind === 'prepare' ? { tag: 'prepare', slot, ballot } : { tag: 'accept', slot, ballot, batch: ask.batch },
    );
    return answer.tag === 'vote' ? messageOf(answer.vote, replica.id()) : { kind: 'cannotVote' };
  }

  function onLearned(told: MessageOf<'learned'>): null {
    const { ledger, slot } = controlState();
    const isSlotZero = ledger === '' && told.slot === 0 && told.ledger === deps.bootstrapBallot();
    if (!isSlotZero && (told.ledger !== ledger || told.slot <= slot)) return null;
    const accepted = store.accepted(told.slot);
    if (told.slot === slot + 1 && accepted?.id === told.batch) void replica.learn(told.slot, accepted);
    else void catchUp(told.at);
    return null;
  }

  peers.on('prepare', onVote);
  peers.on('accept', onVote);
  peers.on('learned', onLearned);
  return { onVote };
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

/**
 * The first start of the first controllers: those whose disks hold the seeds of that start agree slot zero by a ballot
 * among them. A disk that was not there from the start has no vote, so nobody bootstraps beside an old ledger.
 */
import { sha256 } from '../../base/digest.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { RequestMember } from '../consensus/poll.js';
import { runRound } from '../consensus/round.js';

/** `ballotOf` is the name under which slot zero is balloted; null on a disk without a vote. */
export interface SelfBootstrap {
  readonly ballotOf: string | null;
  stop(): void;
}

/** The seeds of the first start, and how this controller votes and learns. */
export type SelfBootstrapDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly log: Log;
  readonly self: Member;
  readonly bootstrapMembers: readonly Address[] | null;
  readonly ledgerName: () => string;
  readonly requestVote: RequestMember;
  readonly learnZero: (batch: Batch) => Promise<void>;
  readonly seek: () => void;
};

const TURN_MS = 150;
const ASK_MS = 400;
const IN_TURN_MS = 800;
const WITHOUT_ALL_MS = 3_000;

/** The batch of slot zero. */
export function bootstrapEntry(
  self: Member,
  ledger: string,
  members: readonly Member[],
  cause: string,
  clock: Clock,
  rng: Rng,
): Batch {
  const command = {
    tag: 'bootstrapped' as const,
    ledger,
    ticketKey: newId(rng, 'key') + newId(rng, ''),
    members: [...members],
  };
  return {
    id: newId(rng, 'batch'),
    entries: [{ id: newId(rng, 'op'), author: self.name, wall: clock.wall(), cause, act: command }],
  };
}

function bootstrapDigest(bootstrapMembers: readonly Address[]): string {
  return `bootstrap-members-${sha256([...bootstrapMembers].sort().join()).slice(0, 16)}`;
}

class SeedBallotBootstrap implements SelfBootstrap {
  private readonly bootstrapMembers: string[];
  readonly ballotOf: string | null;
  private readonly quorumSize: number;
  private readonly openedAt: number;
  private ableSince: number | null = null;
  private round = 0;
  private busy = false;
  private readonly ticking: Timer | null;

  constructor(private readonly deps: SelfBootstrapDeps) {
    this.bootstrapMembers = this.deps.bootstrapMembers ? [...this.deps.bootstrapMembers].sort() : [];
    this.ballotOf = this.deps.bootstrapMembers ? bootstrapDigest(this.bootstrapMembers) : null;
    this.quorumSize = Math.floor(this.bootstrapMembers.length / 2) + 1;
    this.openedAt = this.deps.clock.mono();

    this.deps.peers.on('bootstrapVoteAsk', (message) => this.onRequest(message));
    this.ticking =
      this.ballotOf && this.deps.ledgerName() === '' ? every(this.deps.clock, TURN_MS, () => this.tick()) : null;
  }

  private onRequest(message: MessageOf<'bootstrapVoteAsk'>): MessageOf<'bootstrapVoteAnswer'> {
    return {
      kind: 'bootstrapVoteAnswer',
      member: this.deps.self,
      ledger: this.deps.ledgerName(),
      votes: message.bootstrapMembers === this.ballotOf,
    };
  }

  private async requestVoteOf(to: Address, ballotName: string): Promise<Message | null> {
    if (to === this.deps.self.address)
      return this.onRequest({ kind: 'bootstrapVoteAsk', bootstrapMembers: ballotName });
    const response = await this.deps.peers.call(to, { kind: 'bootstrapVoteAsk', bootstrapMembers: ballotName }, ASK_MS);
    return response.ok ? response.value : null;
  }

  private async tryBootstrap(ballotName: string): Promise<void> {
    const requests: Promise<Message | null>[] = [];
    for (const to of this.bootstrapMembers) requests.push(this.requestVoteOf(to, ballotName));
    const blank: Member[] = [];
    let voters = 0;
    for (const response of await Promise.all(requests)) {
      if (response?.kind !== 'bootstrapVoteAnswer') continue;
      if (response.ledger !== '') {
        this.deps.seek();
        return;
      }
      blank.push(response.member);
      if (response.votes) voters += 1;
    }
    const now = this.deps.clock.mono();
    const complete = blank.length === this.bootstrapMembers.length || now - this.openedAt > WITHOUT_ALL_MS;
    if (!complete || voters < this.quorumSize || this.deps.ledgerName() !== '') {
      this.ableSince = null;
      return;
    }
    this.ableSince ??= now;
    if (now - this.ableSince < IN_TURN_MS * blank.findIndex((member) => this.isSelf(member))) return;
    const mine = bootstrapEntry(
      this.deps.self,
      newId(this.deps.rng, 'ledger'),
      blank,
      'The first controllers bootstrapped the ledger at their first start.',
      this.deps.clock,
      this.deps.rng,
    );
    const end = await runRound(
      { ledger: ballotName, members: blank, quorumSize: this.quorumSize },
      0,
      { round: this.round + 1, by: `${memberId(this.deps.self)}/${newId(this.deps.rng, 'b')}` },
      mine,
      this.deps.requestVote,
    );
    if (end.tag === 'outbid') {
      this.round = end.round;
      this.ableSince = this.deps.clock.mono() + this.deps.rng.next() * IN_TURN_MS;
    }
    if (end.tag !== 'chosen') return;
    await this.deps.learnZero(end.batch);
    for (const member of blank)
      if (!this.isSelf(member))
        void this.deps.peers.send(member.address, {
          kind: 'learned',
          ledger: ballotName,
          slot: 0,
          batch: end.batch.id,
          at: this.deps.self.address,
        });
    this.deps.log.info('ledger bootstrapped', { members: blank.length });
  }

  private isSelf(member: Member): boolean {
    return memberId(member) === memberId(this.deps.self);
  }

  private async tryOnce(ballotName: string): Promise<void> {
    this.busy = true;
    await this.tryBootstrap(ballotName);
    this.busy = false;
  }

  private tick(): void {
    if (!this.ballotOf) return;
    if (this.deps.ledgerName() !== '') {
      this.ticking?.cancel();
      return;
    }
    if (!this.busy) void this.tryOnce(this.ballotOf);
  }

  stop(): void {
    this.ticking?.cancel();
  }
}

/** Tries until the ledger is known. */
export function createSelfBootstrap(deps: SelfBootstrapDeps): SelfBootstrap {
  return new SeedBallotBootstrap(deps);
}

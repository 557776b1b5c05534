/**
 * Bootstraps the ledger at the first start of the first controllers: those whose disks store the seeds of that start
 * agree on slot zero by a ballot among themselves. A disk that was not present at the first start has no vote, so that
 * no second ledger is bootstrapped beside an existing one.
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

/** The running bootstrap of one controller. */
export interface SelfBootstrap {
  /** The ledger name used in the ballot for slot zero; null on a disk without a vote. */
  readonly bootstrapLedgerName: string | null;
  stop(): void;
}

/** Dependencies of the bootstrap: the seeds of the first start, and how this controller votes and learns. */
export type SelfBootstrapDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly log: Log;
  readonly self: Member;
  readonly bootstrapMembers: readonly Address[] | null;
  readonly ledgerName: () => string;
  readonly requestVote: RequestMember;
  readonly learnSlotZero: (batch: Batch) => Promise<void>;
  /** Called when another controller already knows a ledger. */
  readonly onLedgerFound: () => void;
};

const TICK_INTERVAL_MS = 150;
const REQUEST_TIMEOUT_MS = 400;
/** Added per position among the blank members, so that they propose one after another; also bounds the retry delay. */
const STAGGER_MS = 800;
/** After this time, the bootstrap proceeds with a majority of the seeds instead of all of them. */
const ALL_SEEDS_TIMEOUT_MS = 3_000;

/** Creates the batch of slot zero, which names the ledger and its first members. */
export function createBootstrapBatch(
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

function bootstrapBallotName(bootstrapMembers: readonly Address[]): string {
  return `bootstrap-members-${sha256([...bootstrapMembers].sort().join()).slice(0, 16)}`;
}

class SeedBallotBootstrap implements SelfBootstrap {
  private readonly bootstrapMembers: string[];
  readonly bootstrapLedgerName: string | null;
  private readonly quorumSize: number;
  private readonly startedAt: number;
  private readySince: number | null = null;
  private round = 0;
  private isAttempting = false;
  private readonly attemptTimer: Timer | null;

  constructor(private readonly deps: SelfBootstrapDeps) {
    this.bootstrapMembers = this.deps.bootstrapMembers ? [...this.deps.bootstrapMembers].sort() : [];
    this.bootstrapLedgerName = this.deps.bootstrapMembers ? bootstrapBallotName(this.bootstrapMembers) : null;
    this.quorumSize = Math.floor(this.bootstrapMembers.length / 2) + 1;
    this.startedAt = this.deps.clock.mono();

    this.deps.peers.on('bootstrapVoteAsk', (message) => this.onVoteRequest(message));
    this.attemptTimer =
      this.bootstrapLedgerName && this.deps.ledgerName() === ''
        ? every(this.deps.clock, TICK_INTERVAL_MS, () => this.tick())
        : null;
  }

  private onVoteRequest(message: MessageOf<'bootstrapVoteAsk'>): MessageOf<'bootstrapVoteAnswer'> {
    return {
      kind: 'bootstrapVoteAnswer',
      member: this.deps.self,
      ledger: this.deps.ledgerName(),
      votes: message.bootstrapMembers === this.bootstrapLedgerName,
    };
  }

  private async requestBootstrapVote(to: Address, ballotName: string): Promise<Message | null> {
    if (to === this.deps.self.address)
      return this.onVoteRequest({ kind: 'bootstrapVoteAsk', bootstrapMembers: ballotName });
    const response = await this.deps.peers.call(
      to,
      { kind: 'bootstrapVoteAsk', bootstrapMembers: ballotName },
      REQUEST_TIMEOUT_MS,
    );
    return response.ok ? response.value : null;
  }

  private async attemptBootstrap(ballotName: string): Promise<void> {
    const requests: Promise<Message | null>[] = [];
    for (const to of this.bootstrapMembers) requests.push(this.requestBootstrapVote(to, ballotName));
    const blankMembers: Member[] = [];
    let voteCount = 0;
    for (const response of await Promise.all(requests)) {
      if (response?.kind !== 'bootstrapVoteAnswer') continue;
      if (response.ledger !== '') {
        this.deps.onLedgerFound();
        return;
      }
      blankMembers.push(response.member);
      if (response.votes) voteCount += 1;
    }
    const now = this.deps.clock.mono();
    const isWaitOver =
      blankMembers.length === this.bootstrapMembers.length || now - this.startedAt > ALL_SEEDS_TIMEOUT_MS;
    if (!isWaitOver || voteCount < this.quorumSize || this.deps.ledgerName() !== '') {
      this.readySince = null;
      return;
    }
    this.readySince ??= now;
    if (now - this.readySince < STAGGER_MS * blankMembers.findIndex((member) => this.isSelf(member))) return;
    const ownBatch = createBootstrapBatch(
      this.deps.self,
      newId(this.deps.rng, 'ledger'),
      blankMembers,
      'The first controllers bootstrapped the ledger at their first start.',
      this.deps.clock,
      this.deps.rng,
    );
    const result = await runRound(
      { ledger: ballotName, members: blankMembers, quorumSize: this.quorumSize },
      0,
      { round: this.round + 1, by: `${memberId(this.deps.self)}/${newId(this.deps.rng, 'b')}` },
      ownBatch,
      this.deps.requestVote,
    );
    if (result.tag === 'outbid') {
      this.round = result.round;
      this.readySince = this.deps.clock.mono() + this.deps.rng.next() * STAGGER_MS;
    }
    if (result.tag !== 'chosen') return;
    await this.deps.learnSlotZero(result.batch);
    for (const member of blankMembers)
      if (!this.isSelf(member))
        void this.deps.peers.send(member.address, {
          kind: 'learned',
          ledger: ballotName,
          slot: 0,
          batch: result.batch.id,
          at: this.deps.self.address,
        });
    this.deps.log.info('ledger bootstrapped', { members: blankMembers.length });
  }

  private isSelf(member: Member): boolean {
    return memberId(member) === memberId(this.deps.self);
  }

  private async runAttempt(ballotName: string): Promise<void> {
    this.isAttempting = true;
    await this.attemptBootstrap(ballotName);
    this.isAttempting = false;
  }

  private tick(): void {
    if (!this.bootstrapLedgerName) return;
    if (this.deps.ledgerName() !== '') {
      this.attemptTimer?.cancel();
      return;
    }
    if (!this.isAttempting) void this.runAttempt(this.bootstrapLedgerName);
  }

  stop(): void {
    this.attemptTimer?.cancel();
  }
}

/** Creates the bootstrap; on a disk with a vote, it is attempted repeatedly until the ledger is known. */
export function createSelfBootstrap(deps: SelfBootstrapDeps): SelfBootstrap {
  return new SeedBallotBootstrap(deps);
}

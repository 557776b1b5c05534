/**
 * The proxy side of run-once claims. The client sends a claim to all members of the core, and the request may run only
 * if a majority granted it.
 */
import { createBatchQueue } from '../../base/batch-queue.js';
import type { BatchQueue } from '../../base/batch-queue.js';
import type { Claim, ClaimAnswer, ClaimEnd } from '../../state/idempotency/claim.js';
import { majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Member } from '../../state/consensus/entry.js';
import type { RunKey } from '../../state/idempotency/run-key.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Peers } from '../messaging/peers.js';

/** The outcome of a claim. The request may run only after `claimed`. */
export type ClaimOutcome =
  | { readonly tag: 'claimed' }
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'full' }
  | { readonly tag: 'tooOld' }
  | { readonly tag: 'taken'; readonly answered: boolean };

/** Claims keys for attempts, and reports to the controllers how those attempts ended. */
export interface ClaimClient {
  claim(key: RunKey, by: string): Promise<ClaimOutcome>;
  reportEnd(key: RunKey, by: string, outcome: 'released' | 'answered'): void;
}

const REQUEST_TIMEOUT_MS = 1_500;
const CONTESTED_WAIT_MS = 250;
const MAX_END_ATTEMPTS = 12;
const MAX_END_RETRY_DELAY_MS = 30_000;

/**
 * One round of voting on a batch of claims. A claim is settled as `claimed` as soon as a majority granted it. All other
 * claims are settled when all calls have ended, or `CONTESTED_WAIT_MS` after a response that left any undecided claim
 * of the round with a rejection.
 */
class VotingRound {
  private readonly votes: ClaimAnswer[][];
  private readonly undecided: Set<number>;
  private pendingResponses: number;

  constructor(
    private readonly state: ControlState,
    private readonly quorumSize: number,
    private readonly claims: readonly Claim[],
    private readonly resolvers: readonly ((outcome: ClaimOutcome) => void)[],
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.votes = this.claims.map(() => this.emptyVotes());
    this.undecided = new Set<number>(this.claims.keys());
    this.pendingResponses = this.state.members.length;
  }

  private emptyVotes(): ClaimAnswer[] {
    return [];
  }

  private countVotes(claimIndex: number): { granted: number; rejection: ClaimAnswer | null } {
    let granted = 0;
    let rejection: ClaimAnswer | null = null;
    for (const vote of this.votes[claimIndex] as ClaimAnswer[]) {
      if (vote.tag === 'claimed') granted += 1;
      else if (!rejection || rejectionPriority(vote) > rejectionPriority(rejection)) rejection = vote;
    }
    return { granted, rejection };
  }

  private settleDecided(): void {
    for (const i of this.undecided) {
      if (this.countVotes(i).granted < this.quorumSize) continue;
      this.undecided.delete(i);
      this.resolvers[i]?.({ tag: 'claimed' });
    }
    if (this.pendingResponses === 0) this.settleUndecided();
  }

  private settleUndecided(): void {
    for (const i of this.undecided) {
      const { rejection } = this.countVotes(i);
      this.resolvers[i]?.(rejection && rejection.tag !== 'claimed' ? rejection : { tag: 'noMajority' });
    }
    this.undecided.clear();
  }

  private limitContestedWait(): void {
    let isContested = false;
    for (const i of this.undecided) if (this.countVotes(i).rejection) isContested = true;
    if (isContested) this.clock.timer(CONTESTED_WAIT_MS, () => this.settleUndecided());
  }

  private async request(member: Member): Promise<void> {
    const response = await this.peers.call(
      member.address,
      {
        kind: 'claim',
        ledger: this.state.ledger,
        members: membersDigest(this.state.members),
        claims: [...this.claims],
      },
      REQUEST_TIMEOUT_MS,
    );
    this.pendingResponses -= 1;
    if (
      response.ok &&
      response.value.kind === 'claimAnswer' &&
      response.value.voter === memberId(member) &&
      response.value.answers.length === this.claims.length
    ) {
      for (let i = 0; i < this.claims.length; i += 1) this.votes[i]?.push(response.value.answers[i] as ClaimAnswer);
      this.limitContestedWait();
    }
    this.settleDecided();
  }

  start(): void {
    if (this.state.members.length === 0) this.settleUndecided();
    for (const member of this.state.members) void this.request(member);
  }
}

class MajorityClaimClient implements ClaimClient {
  private readonly claimQueue: BatchQueue<{ key: string; by: string; born: number }, Promise<ClaimOutcome>>;
  private readonly endQueue: BatchQueue<
    { key: string; by: string; born: number; outcome: 'answered' | 'released' },
    null
  >;

  constructor(
    private readonly currentControlState: () => ControlState,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.claimQueue = createBatchQueue((claims) => this.startRound(claims));
    this.endQueue = createBatchQueue((ends) => this.sendEndsToAll(ends));
  }

  private async startRound(claims: readonly Claim[]): Promise<readonly Promise<ClaimOutcome>[]> {
    const state = this.currentControlState();
    const quorumSize = majorityOf(state.members);
    const outcomes: Promise<ClaimOutcome>[] = [];
    const resolvers: ((outcome: ClaimOutcome) => void)[] = [];
    for (let i = 0; i < claims.length; i += 1) {
      function addResolver(resolve: (outcome: ClaimOutcome) => void): void {
        resolvers.push(resolve);
      }
      outcomes.push(new Promise(addResolver));
    }
    new VotingRound(state, quorumSize, claims, resolvers, this.peers, this.clock).start();
    return outcomes;
  }

  async claim(key: RunKey, by: string): Promise<ClaimOutcome> {
    const pending = this.claimQueue.put({ key: key.text, by, born: key.born });
    const outcome = await pending.then((inner) => this.unwrap(inner));
    if (outcome.tag !== 'claimed') this.reportEnd(key, by, 'released');
    return outcome;
  }

  private unwrap(inner: Promise<ClaimOutcome>): Promise<ClaimOutcome> {
    return inner;
  }

  private async sendEnds(address: string, ledger: string, ends: readonly ClaimEnd[]): Promise<void> {
    for (let attempt = 0; attempt < MAX_END_ATTEMPTS; attempt += 1) {
      const response = await this.peers.call(
        address,
        { kind: 'claimEnds', ledger, ends: [...ends] },
        REQUEST_TIMEOUT_MS,
      );
      if (response.ok && response.value.kind === 'done' && response.value.agreed) return;
      await delay(this.clock, Math.min(MAX_END_RETRY_DELAY_MS, 500 * 2 ** attempt));
    }
  }

  private async sendEndsToAll(ends: readonly ClaimEnd[]): Promise<readonly null[]> {
    const state = this.currentControlState();
    for (const member of state.members) void this.sendEnds(member.address, state.ledger, ends);
    return ends.map(() => this.toNull());
  }

  private toNull(): null {
    return null;
  }

  reportEnd(key: RunKey, by: string, outcome: 'released' | 'answered'): void {
    void this.endQueue.put({ key: key.text, by, born: key.born, outcome });
  }
}

/** Creates a claim client that sends claims queued at the same time in one message. */
export function createClaimClient(currentControlState: () => ControlState, peers: Peers, clock: Clock): ClaimClient {
  return new MajorityClaimClient(currentControlState, peers, clock);
}

function rejectionPriority(vote: ClaimAnswer): number {
  switch (vote.tag) {
    case 'taken':
      return vote.answered ? 4 : 3;
    case 'tooOld':
      return 2;
    case 'full':
      return 1;
    case 'claimed':
      return 0;
  }
}

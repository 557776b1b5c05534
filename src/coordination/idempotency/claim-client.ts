/** The proxy's side of run-once claims: asks all controllers, and counts their votes. */
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

/** Whether a key was claimed; only `claimed` lets the request run. */
export type ClaimOutcome =
  | { readonly tag: 'claimed' }
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'full' }
  | { readonly tag: 'tooOld' }
  | { readonly tag: 'taken'; readonly answered: boolean };

/** Claims keys and reports how their attempts ended. */
export interface ClaimClient {
  claim(key: RunKey, by: string): Promise<ClaimOutcome>;
  end(key: RunKey, by: string, outcome: 'released' | 'answered'): void;
}

const WAIT_MS = 1_500;
const PATIENCE_MS = 250;
const ENDS_TRIED = 12;
const ENDS_PAUSE_MS = 30_000;

/** One round of claims: the members' votes on all of them, each settled as soon as its majority is known. */
class VotedClaimRound {
  private readonly answers: ClaimAnswer[][];
  private readonly open: Set<number>;
  private left: number;

  constructor(
    private readonly state: ControlState,
    private readonly quorumSize: number,
    private readonly claims: readonly Claim[],
    private readonly resolvers: readonly ((claimOutcome: ClaimOutcome) => void)[],
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.answers = this.claims.map(() => this.none());
    this.open = new Set<number>(this.claims.keys());
    this.left = this.state.members.length;
  }

  private none(): ClaimAnswer[] {
    return [];
  }

  private countVotes(i: number): { granted: number; refusal: ClaimAnswer | null } {
    let granted = 0;
    let refusal: ClaimAnswer | null = null;
    for (const first of this.answers[i] as ClaimAnswer[]) {
      if (first.tag === 'claimed') granted += 1;
      else if (!refusal || weightOf(first) > weightOf(refusal)) refusal = first;
    }
    return { granted, refusal };
  }

  private weigh(): void {
    for (const i of this.open) {
      if (this.countVotes(i).granted < this.quorumSize) continue;
      this.open.delete(i);
      this.resolvers[i]?.({ tag: 'claimed' });
    }
    if (this.left === 0) this.finish();
  }

  private finish(): void {
    for (const i of this.open) {
      const { refusal } = this.countVotes(i);
      this.resolvers[i]?.(refusal && refusal.tag !== 'claimed' ? refusal : { tag: 'noMajority' });
    }
    this.open.clear();
  }

  private finishContested(): void {
    let contested = false;
    for (const i of this.open) if (this.countVotes(i).refusal) contested = true;
    if (contested) this.clock.timer(PATIENCE_MS, () => this.finish());
  }

  private async request(member: Member): Promise<void> {
    const answer = await this.peers.call(
      member.address,
      {
        kind: 'claim',
        ledger: this.state.ledger,
        members: membersDigest(this.state.members),
        claims: [...this.claims],
      },
      WAIT_MS,
    );
    this.left -= 1;
    if (
      answer.ok &&
      answer.value.kind === 'claimAnswer' &&
      answer.value.voter === memberId(member) &&
      answer.value.answers.length === this.claims.length
    ) {
      for (let i = 0; i < this.claims.length; i += 1) this.answers[i]?.push(answer.value.answers[i] as ClaimAnswer);
      this.finishContested();
    }
    this.weigh();
  }

  start(): void {
    if (this.state.members.length === 0) this.finish();
    for (const member of this.state.members) void this.request(member);
  }
}

class MajorityClaimClient implements ClaimClient {
  private readonly queue: BatchQueue<{ key: string; by: string; born: number }, Promise<ClaimOutcome>>;
  private readonly endings: BatchQueue<
    { key: string; by: string; born: number; outcome: 'answered' | 'released' },
    null
  >;

  constructor(
    private readonly currentControlState: () => ControlState,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.queue = createBatchQueue((claims) => this.work(claims));
    this.endings = createBatchQueue((ends) => this.spread(ends));
  }

  private async work(claims: readonly Claim[]): Promise<readonly Promise<ClaimOutcome>[]> {
    const state = this.currentControlState();
    const quorumSize = majorityOf(state.members);
    const out: Promise<ClaimOutcome>[] = [];
    const resolvers: ((claimOutcome: ClaimOutcome) => void)[] = [];
    for (let i = 0; i < claims.length; i += 1) {
      function addResolver(resolve: (claimOutcome: ClaimOutcome) => void): void {
        resolvers.push(resolve);
      }
      out.push(new Promise(addResolver));
    }
    new VotedClaimRound(state, quorumSize, claims, resolvers, this.peers, this.clock).start();
    return out;
  }

  async claim(key: RunKey, by: string): Promise<ClaimOutcome> {
    const pending = this.queue.put({ key: key.text, by, born: key.born });
    const outcome = await pending.then((inner) => this.unwrap(inner));
    if (outcome.tag !== 'claimed') this.end(key, by, 'released');
    return outcome;
  }

  private unwrap(inner: Promise<ClaimOutcome>): Promise<ClaimOutcome> {
    return inner;
  }

  private async deliver(address: string, ledger: string, ends: readonly ClaimEnd[]): Promise<void> {
    for (let count = 0; count < ENDS_TRIED; count += 1) {
      const answers = await this.peers.call(address, { kind: 'claimEnds', ledger, ends: [...ends] }, WAIT_MS);
      if (answers.ok && answers.value.kind === 'done' && answers.value.agreed) return;
      await delay(this.clock, Math.min(ENDS_PAUSE_MS, 500 * 2 ** count));
    }
  }

  private async spread(ends: readonly ClaimEnd[]): Promise<readonly null[]> {
    const state = this.currentControlState();
    for (const member of state.members) void this.deliver(member.address, state.ledger, ends);
    return ends.map(() => this.nothing());
  }

  private nothing(): null {
    return null;
  }

  end(key: RunKey, by: string, outcome: 'released' | 'answered'): void {
    void this.endings.put({ key: key.text, by, born: key.born, outcome });
  }
}

/** A client that puts claims which wait together into one message. */
export function createClaimClient(currentControlState: () => ControlState, peers: Peers, clock: Clock): ClaimClient {
  return new MajorityClaimClient(currentControlState, peers, clock);
}

function weightOf(first: ClaimAnswer): number {
  switch (first.tag) {
    case 'taken':
      return first.answered ? 4 : 3;
    case 'tooOld':
      return 2;
    case 'full':
      return 1;
    case 'claimed':
      return 0;
  }
}

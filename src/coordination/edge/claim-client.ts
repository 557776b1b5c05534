import { createBatchQueue } from '../../base/line.js';
import type { BatchQueue } from '../../base/line.js';
import type { Claim, ClaimAnswer, ClaimEnd } from '../../state/claim.js';
import { majorityOf, memberId, membersDigest } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { Member } from '../../state/entry.js';
import type { RunKey } from '../../state/run-key.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Peers } from '../members/peers.js';

export type ClaimOutcome =
  | { readonly tag: 'claimed' }
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'full' }
  | { readonly tag: 'tooOld' }
  | { readonly tag: 'taken'; readonly answered: boolean };

export interface ClaimClient {
  claim(key: RunKey, by: string): Promise<ClaimOutcome>;
  end(key: RunKey, by: string, outcome: 'released' | 'answered'): void;
}

const WAIT_MS = 1_500;
const PATIENCE_MS = 250;
const ENDS_TRIED = 12;
const ENDS_PAUSE_MS = 30_000;

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
    const b = this.currentControlState();
    const need = majorityOf(b.members);
    const out: Promise<ClaimOutcome>[] = [];
    const resolvers: ((o: ClaimOutcome) => void)[] = [];
    for (let i = 0; i < claims.length; i += 1) {
      function addResolver(resolve: (o: ClaimOutcome) => void): void {
        resolvers.push(resolve);
      }
      out.push(new Promise(addResolver));
    }
    void this.collect(b, need, claims, resolvers);
    return out;
  }

  private async collect(
    b: ControlState,
    need: number,
    claims: readonly Claim[],
    resolvers: readonly ((o: ClaimOutcome) => void)[],
  ): Promise<void> {
    const answers: ClaimAnswer[][] = claims.map(none);
    const open = new Set<number>(claims.keys());
    let left = b.members.length;
    if (b.members.length === 0) finish();

    function none(): ClaimAnswer[] {
      return [];
    }
    function countVotes(i: number): { yes: number; no: ClaimAnswer | null } {
      let yes = 0;
      let no: ClaimAnswer | null = null;
      for (const a of answers[i] as ClaimAnswer[]) {
        if (a.tag === 'claimed') yes += 1;
        else if (!no || weightOf(a) > weightOf(no)) no = a;
      }
      return { yes, no };
    }
    function weigh(): void {
      for (const i of open) {
        if (countVotes(i).yes < need) continue;
        open.delete(i);
        resolvers[i]?.({ tag: 'claimed' });
      }
      if (left === 0) finish();
    }
    function finish(): void {
      for (const i of open) {
        const { no } = countVotes(i);
        resolvers[i]?.(no && no.tag !== 'claimed' ? no : { tag: 'noMajority' });
      }
      open.clear();
    }

    const finishContested = (): void => {
      let contested = false;
      for (const i of open) if (countVotes(i).no) contested = true;
      if (contested) this.clock.timer(PATIENCE_MS, finish);
    };
    const ask = async (m: Member): Promise<void> => {
      const answer = await this.peers.call(
        m.address,
        { kind: 'claim', ledger: b.ledger, members: membersDigest(b.members), claims: [...claims] },
        WAIT_MS,
      );
      left -= 1;
      if (
        answer.ok &&
        answer.value.kind === 'claimAnswer' &&
        answer.value.voter === memberId(m) &&
        answer.value.answers.length === claims.length
      ) {
        for (let i = 0; i < claims.length; i += 1) answers[i]?.push(answer.value.answers[i] as ClaimAnswer);
        finishContested();
      }
      weigh();
    };
    for (const m of b.members) void ask(m);
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
    for (let n = 0; n < ENDS_TRIED; n += 1) {
      const answers = await this.peers.call(address, { kind: 'claimEnds', ledger, ends: [...ends] }, WAIT_MS);
      if (answers.ok && answers.value.kind === 'done' && answers.value.agreed) return;
      await delay(this.clock, Math.min(ENDS_PAUSE_MS, 500 * 2 ** n));
    }
  }

  private async spread(ends: readonly ClaimEnd[]): Promise<readonly null[]> {
    const b = this.currentControlState();
    for (const m of b.members) void this.deliver(m.address, b.ledger, ends);
    return ends.map(() => this.nothing());
  }

  private nothing(): null {
    return null;
  }

  end(key: RunKey, by: string, outcome: 'released' | 'answered'): void {
    void this.endings.put({ key: key.text, by, born: key.born, outcome });
  }
}

export function createClaimClient(currentControlState: () => ControlState, peers: Peers, clock: Clock): ClaimClient {
  return new MajorityClaimClient(currentControlState, peers, clock);
}

function weightOf(a: ClaimAnswer): number {
  switch (a.tag) {
    case 'taken':
      return a.answered ? 4 : 3;
    case 'tooOld':
      return 2;
    case 'full':
      return 1;
    case 'claimed':
      return 0;
  }
}

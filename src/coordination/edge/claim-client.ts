import { createLine } from '../../base/line.js';
import type { Claim, ClaimAnswer, ClaimEnd } from '../../state/claim.js';
import { majorityOf, memberId, membersMark } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import type { Member } from '../../state/entry.js';
import type { RunKey } from '../../state/run-key.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Peers } from '../members/peers.js';

export type ClaimOutcome =
  | { readonly tag: 'claimed' }
  | { readonly tag: 'noMajority' }
  | { readonly tag: 'full' }
  | { readonly tag: 'tooOld' }
  | { readonly tag: 'taken'; readonly answered: boolean };

export type ClaimClient = {
  readonly claim: (key: RunKey, by: string) => Promise<ClaimOutcome>;
  readonly end: (key: RunKey, by: string, outcome: 'released' | 'answered') => void;
};

const WAIT_MS = 1_500;
const PATIENCE_MS = 250;
const ENDS_TRIED = 12;
const ENDS_PAUSE_MS = 30_000;

export function createClaimClient(currentControlState: () => ControlState, peers: Peers, clock: Clock): ClaimClient {
  async function work(claims: readonly Claim[]): Promise<readonly Promise<ClaimOutcome>[]> {
    const b = currentControlState();
    const need = majorityOf(b.members);
    const out: Promise<ClaimOutcome>[] = [];
    const settle: ((o: ClaimOutcome) => void)[] = [];
    for (let i = 0; i < claims.length; i += 1) {
      function keep(resolve: (o: ClaimOutcome) => void): void {
        settle.push(resolve);
      }
      out.push(new Promise(keep));
    }
    void collect(b, need, claims, settle);
    return out;
  }

  async function collect(
    b: ControlState,
    need: number,
    claims: readonly Claim[],
    settle: readonly ((o: ClaimOutcome) => void)[],
  ): Promise<void> {
    const got: ClaimAnswer[][] = claims.map(none);
    const open = new Set<number>(claims.keys());
    let left = b.members.length;
    if (b.members.length === 0) finish();

    function none(): ClaimAnswer[] {
      return [];
    }
    function tally(i: number): { yes: number; no: ClaimAnswer | null } {
      let yes = 0;
      let no: ClaimAnswer | null = null;
      for (const a of got[i] as ClaimAnswer[]) {
        if (a.tag === 'claimed') yes += 1;
        else if (!no || weightOf(a) > weightOf(no)) no = a;
      }
      return { yes, no };
    }
    function weigh(): void {
      for (const i of open) {
        if (tally(i).yes < need) continue;
        open.delete(i);
        settle[i]?.({ tag: 'claimed' });
      }
      if (left === 0) finish();
    }
    function finish(): void {
      for (const i of open) {
        const { no } = tally(i);
        settle[i]?.(no && no.tag !== 'claimed' ? no : { tag: 'noMajority' });
      }
      open.clear();
    }
    async function ask(m: Member): Promise<void> {
      const answer = await peers.call(
        m.address,
        { kind: 'claim', ledger: b.ledger, members: membersMark(b.members), claims: [...claims] },
        WAIT_MS,
      );
      left -= 1;
      if (
        answer.ok &&
        answer.value.kind === 'claimAnswer' &&
        answer.value.voter === memberId(m) &&
        answer.value.answers.length === claims.length
      ) {
        for (let i = 0; i < claims.length; i += 1) got[i]?.push(answer.value.answers[i] as ClaimAnswer);
        settleTaken();
      }
      weigh();
    }
    function settleTaken(): void {
      let contested = false;
      for (const i of open) if (tally(i).no) contested = true;
      if (contested) clock.timer(PATIENCE_MS, finish);
    }
    for (const m of b.members) void ask(m);
  }

  const line = createLine(work);

  async function claim(key: RunKey, by: string): Promise<ClaimOutcome> {
    const pending = line.put({ key: key.text, by, born: key.born });
    const outcome = await pending.then(unwrap);
    if (outcome.tag !== 'claimed') end(key, by, 'released');
    return outcome;
  }
  function unwrap(inner: Promise<ClaimOutcome>): Promise<ClaimOutcome> {
    return inner;
  }

  async function deliver(address: string, ledger: string, ends: readonly ClaimEnd[]): Promise<void> {
    for (let n = 0; n < ENDS_TRIED; n += 1) {
      const got = await peers.call(address, { kind: 'claimEnds', ledger, ends: [...ends] }, WAIT_MS);
      if (got.ok && got.value.kind === 'done' && got.value.agreed) return;
      await pause(clock, Math.min(ENDS_PAUSE_MS, 500 * 2 ** n));
    }
  }
  async function spread(ends: readonly ClaimEnd[]): Promise<readonly null[]> {
    const b = currentControlState();
    for (const m of b.members) void deliver(m.address, b.ledger, ends);
    return ends.map(nothing);
  }
  function nothing(): null {
    return null;
  }
  const endings = createLine(spread);
  function end(key: RunKey, by: string, outcome: 'released' | 'answered'): void {
    void endings.put({ key: key.text, by, born: key.born, outcome });
  }
  return { claim, end };
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

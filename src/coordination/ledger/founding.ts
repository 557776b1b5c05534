import { sha256 } from '../../base/digest.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId } from '../../state/belief.js';
import type { Batch, Member } from '../../state/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Wakeup } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { AskMember } from './poll.js';
import { runRound } from './round.js';

export type Founding = { readonly ballotOf: string | null; readonly stop: () => void };

export type FoundingDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly log: Log;
  readonly self: Member;
  readonly founders: readonly Address[] | null;
  readonly ledgerName: () => string;
  readonly askVote: AskMember;
  readonly learnZero: (batch: Batch) => Promise<void>;
  readonly seek: () => void;
};

const TURN_MS = 150;
const ASK_MS = 400;
const IN_TURN_MS = 800;
const WITHOUT_ALL_MS = 3_000;

export function foundedEntry(
  self: Member,
  ledger: string,
  members: readonly Member[],
  cause: string,
  clock: Clock,
  rng: Rng,
): Batch {
  const act = { tag: 'founded' as const, ledger, ticketKey: newId(rng, 'key') + newId(rng, ''), members: [...members] };
  return {
    id: newId(rng, 'batch'),
    entries: [{ id: newId(rng, 'op'), author: self.name, wall: clock.wall(), cause, act }],
  };
}

function markOf(founders: readonly Address[]): string {
  return `founders-${sha256([...founders].sort().join()).slice(0, 16)}`;
}

export function createFounding(deps: FoundingDeps): Founding {
  const { clock, rng, peers, log, self } = deps;
  const founders = deps.founders ? [...deps.founders].sort() : [];
  const mark = deps.founders ? markOf(founders) : null;
  const need = Math.floor(founders.length / 2) + 1;
  const openedAt = clock.mono();
  let ableSince: number | null = null;
  let round = 0;
  let busy = false;

  function onAsk(m: MessageOf<'foundingAsk'>): MessageOf<'foundingAnswer'> {
    return { kind: 'foundingAnswer', member: self, ledger: deps.ledgerName(), votes: m.founders === mark };
  }
  peers.on('foundingAsk', onAsk);

  async function ask(to: Address, of: string): Promise<Message | null> {
    if (to === self.address) return onAsk({ kind: 'foundingAsk', founders: of });
    const got = await peers.call(to, { kind: 'foundingAsk', founders: of }, ASK_MS);
    return got.ok ? got.value : null;
  }

  async function turn(of: string): Promise<void> {
    const asks: Promise<Message | null>[] = [];
    for (const to of founders) asks.push(ask(to, of));
    const blank: Member[] = [];
    let voters = 0;
    for (const got of await Promise.all(asks)) {
      if (got?.kind !== 'foundingAnswer') continue;
      if (got.ledger !== '') {
        deps.seek();
        return;
      }
      blank.push(got.member);
      if (got.votes) voters += 1;
    }
    const now = clock.mono();
    const whole = blank.length === founders.length || now - openedAt > WITHOUT_ALL_MS;
    if (!whole || voters < need || deps.ledgerName() !== '') {
      ableSince = null;
      return;
    }
    ableSince ??= now;
    if (now - ableSince < IN_TURN_MS * blank.findIndex(isSelf)) return;
    const mine = foundedEntry(
      self,
      newId(rng, 'ledger'),
      blank,
      'The first headgates founded the ledger at their first start.',
      clock,
      rng,
    );
    const end = await runRound(
      { ledger: of, members: blank, need },
      0,
      { round: round + 1, by: `${memberId(self)}/${newId(rng, 'b')}` },
      mine,
      deps.askVote,
    );
    if (end.tag === 'outbid') {
      round = end.round;
      ableSince = clock.mono() + rng.next() * IN_TURN_MS;
    }
    if (end.tag !== 'chosen') return;
    await deps.learnZero(end.batch);
    for (const m of blank)
      if (!isSelf(m))
        void peers.tell(m.address, { kind: 'learned', ledger: of, slot: 0, batch: end.batch.id, at: self.address });
    log.info(`Founded the ledger with ${blank.length} headgates.`);
  }
  function isSelf(m: Member): boolean {
    return memberId(m) === memberId(self);
  }

  async function turnOnce(of: string): Promise<void> {
    busy = true;
    await turn(of);
    busy = false;
  }
  function tick(): void {
    if (!mark) return;
    if (deps.ledgerName() !== '') {
      ticking?.cancel();
      return;
    }
    if (!busy) void turnOnce(mark);
  }
  const ticking: Wakeup | null = mark && deps.ledgerName() === '' ? every(clock, TURN_MS, tick) : null;

  function stop(): void {
    ticking?.cancel();
  }
  return { ballotOf: mark, stop };
}

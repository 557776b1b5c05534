/**
 * The first start of the first controllers: those whose disks hold the seeds of that start agree slot zero by a ballot
 * among them. A disk that was not there from the start has no vote, so nobody bootstraps beside an old ledger.
 */
import { sha256 } from '../../base/digest.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { memberId } from '../../state/control-state.js';
import type { Batch, Member } from '../../state/entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../members/peers.js';
import type { AskMember } from './poll.js';
import { runRound } from './round.js';

export type SelfBootstrap = { readonly ballotOf: string | null; readonly stop: () => void };

export type SelfBootstrapDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Peers;
  readonly log: Log;
  readonly self: Member;
  readonly bootstrapMembers: readonly Address[] | null;
  readonly ledgerName: () => string;
  readonly askVote: AskMember;
  readonly learnZero: (batch: Batch) => Promise<void>;
  readonly seek: () => void;
};

const TURN_MS = 150;
const ASK_MS = 400;
const IN_TURN_MS = 800;
const WITHOUT_ALL_MS = 3_000;

export function bootstrapEntry(
  self: Member,
  ledger: string,
  members: readonly Member[],
  cause: string,
  clock: Clock,
  rng: Rng,
): Batch {
  const act = {
    tag: 'bootstrapped' as const,
    ledger,
    ticketKey: newId(rng, 'key') + newId(rng, ''),
    members: [...members],
  };
  return {
    id: newId(rng, 'batch'),
    entries: [{ id: newId(rng, 'op'), author: self.name, wall: clock.wall(), cause, act }],
  };
}

function markOf(bootstrapMembers: readonly Address[]): string {
  return `bootstrap-members-${sha256([...bootstrapMembers].sort().join()).slice(0, 16)}`;
}

export function createSelfBootstrap(deps: SelfBootstrapDeps): SelfBootstrap {
  const { clock, rng, peers, log, self } = deps;
  const bootstrapMembers = deps.bootstrapMembers ? [...deps.bootstrapMembers].sort() : [];
  const mark = deps.bootstrapMembers ? markOf(bootstrapMembers) : null;
  const need = Math.floor(bootstrapMembers.length / 2) + 1;
  const openedAt = clock.mono();
  let ableSince: number | null = null;
  let round = 0;
  let busy = false;

  function onAsk(m: MessageOf<'bootstrapVoteAsk'>): MessageOf<'bootstrapVoteAnswer'> {
    return { kind: 'bootstrapVoteAnswer', member: self, ledger: deps.ledgerName(), votes: m.bootstrapMembers === mark };
  }
  peers.on('bootstrapVoteAsk', onAsk);

  async function ask(to: Address, of: string): Promise<Message | null> {
    if (to === self.address) return onAsk({ kind: 'bootstrapVoteAsk', bootstrapMembers: of });
    const got = await peers.call(to, { kind: 'bootstrapVoteAsk', bootstrapMembers: of }, ASK_MS);
    return got.ok ? got.value : null;
  }

  async function turn(of: string): Promise<void> {
    const asks: Promise<Message | null>[] = [];
    for (const to of bootstrapMembers) asks.push(ask(to, of));
    const blank: Member[] = [];
    let voters = 0;
    for (const got of await Promise.all(asks)) {
      if (got?.kind !== 'bootstrapVoteAnswer') continue;
      if (got.ledger !== '') {
        deps.seek();
        return;
      }
      blank.push(got.member);
      if (got.votes) voters += 1;
    }
    const now = clock.mono();
    const whole = blank.length === bootstrapMembers.length || now - openedAt > WITHOUT_ALL_MS;
    if (!whole || voters < need || deps.ledgerName() !== '') {
      ableSince = null;
      return;
    }
    ableSince ??= now;
    if (now - ableSince < IN_TURN_MS * blank.findIndex(isSelf)) return;
    const mine = bootstrapEntry(
      self,
      newId(rng, 'ledger'),
      blank,
      'The first controllers bootstrapped the ledger at their first start.',
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
    log.info(`Bootstrapped the ledger with ${blank.length} controllers.`);
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
  const ticking: Timer | null = mark && deps.ledgerName() === '' ? every(clock, TURN_MS, tick) : null;

  function stop(): void {
    ticking?.cancel();
  }
  return { ballotOf: mark, stop };
}

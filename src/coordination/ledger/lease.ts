/**
 * A lease on a duty: a majority of the members grants it for one term, and taking it is an entry whose slot is the fence.
 * The holder counts from before it asked and stops a margin early, so two never hold it at once (monotonic clocks only).
 */
import { majorityOf, memberId, membersMark } from '../../state/control-state.js';
import { askGrant, createLeaseBook, dropGrant } from '../../state/lease-book.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Member } from '../../state/entry.js';
import type { Clock } from '../../transport/clock.js';
import { pause } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Rng } from '../../transport/rng.js';
import type { Ledger } from './ledger.js';
import type { Peers } from '../members/peers.js';
import { poll } from './poll.js';
import type { Votes } from './poll.js';

export type Lease = {
  readonly fence: () => number | null;
  readonly leftMs: () => number;
  readonly stop: () => void;
};

function idsOf(members: readonly Member[]): Set<string> {
  const ids = new Set<string>();
  for (const m of members) ids.add(memberId(m));
  return ids;
}

export const LEASE_TERM_MS = 6_000;
const MARGIN_MS = 1_000;
const RENEW_MS = 1_000;

export function createLease(duty: string, ledger: Ledger, peers: Peers, clock: Clock, rng: Rng, log: Log): Lease {
  function me(): string {
    return memberId(ledger.self);
  }
  const book = createLeaseBook(clock.mono(), LEASE_TERM_MS);
  let until = 0;
  let held: number | null = null;
  let stopped = false;
  let round = 0;

  // A majority of the members after a change need not share anyone with the majority that granted a lease before it, where
  // this node is new among them or where two are gone. Then for one term only the holder that the ledger names is granted it.
  let members = ledger.controlState().members;
  let othersFrom = 0;
  function noteMembers(): void {
    const now = ledger.controlState().members;
    if (membersMark(now) === membersMark(members)) return;
    const before = idsOf(members);
    const after = idsOf(now);
    let gone = 0;
    for (const id of before) if (!after.has(id)) gone += 1;
    const bootstrapped = before.size === 0 && ledger.controlState().leases[duty] === undefined;
    const joined = !before.has(me()) && !bootstrapped;
    const shrank = after.size < before.size && (before.size % 2 !== 0 || gone > 1);
    if (joined || shrank) othersFrom = clock.mono() + LEASE_TERM_MS;
    members = now;
  }
  function mayGrant(m: MessageOf<'leaseAsk'>): boolean {
    noteMembers();
    if (m.ledger !== ledger.controlState().ledger || !ledger.isMember() || m.termMs > LEASE_TERM_MS) return false;
    return clock.mono() >= othersFrom || ledger.controlState().leases[m.duty]?.holder === m.holder;
  }

  function onAsk(m: MessageOf<'leaseAsk'>): Message {
    const mine = mayGrant(m);
    return { kind: 'leaseAnswer', voter: me(), granted: mine && askGrant(book, m, clock.mono()) };
  }
  function onDrop(m: MessageOf<'leaseDrop'>): null {
    if (m.ledger === ledger.controlState().ledger) dropGrant(book, m.duty, m.holder, m.round);
    return null;
  }
  peers.on('leaseAsk', onAsk);
  peers.on('leaseDrop', onDrop);

  function leftMs(): number {
    return until - MARGIN_MS - clock.mono();
  }

  function fence(): number | null {
    if (stopped || held === null || leftMs() <= 0) return null;
    const record = ledger.controlState().leases[duty];
    return record && record.fence === held ? held : null;
  }

  async function askMajority(): Promise<'granted' | 'refused' | 'notAsked'> {
    const b = ledger.controlState();
    round += 1;
    const ask: MessageOf<'leaseAsk'> = {
      kind: 'leaseAsk',
      ledger: b.ledger,
      duty,
      holder: me(),
      termMs: LEASE_TERM_MS,
      round,
    };
    const need = majorityOf(b.members);
    const own = onAsk(ask);
    if (!isGrant(own)) return 'notAsked';
    async function one(m: Member): Promise<Message | null> {
      if (memberId(m) === me()) return own;
      const got = await peers.call(m.address, ask, RENEW_MS);
      return got.ok && got.value.kind === 'leaseAnswer' && got.value.voter === memberId(m) ? got.value : null;
    }
    function decided(votes: Votes, open: number): boolean {
      const granted = grantsIn(votes);
      return granted >= need || granted + open < need;
    }
    return grantsIn(await poll(b.members, one, decided)) >= need ? 'granted' : 'refused';
  }
  function isGrant(m: Message): boolean {
    return m.kind === 'leaseAnswer' && m.granted;
  }
  function grantsIn(votes: Votes): number {
    let n = 0;
    for (const v of votes.values()) if (isGrant(v)) n += 1;
    return n;
  }

  function dropAll(): void {
    const b = ledger.controlState();
    const drop: MessageOf<'leaseDrop'> = { kind: 'leaseDrop', ledger: b.ledger, duty, holder: me(), round };
    for (const m of b.members) {
      if (memberId(m) === me()) onDrop(drop);
      else void peers.tell(m.address, drop);
    }
  }

  async function turn(): Promise<void> {
    if (!ledger.isMember()) {
      held = null;
      return;
    }
    const askedAt = clock.mono();
    const expired = leftMs() <= 0;
    const asked = await askMajority();
    if (asked !== 'granted') {
      if (asked === 'refused' && clock.mono() > until) dropAll();
      if (held !== null && leftMs() <= 0) {
        log.warn(`The ${duty} lease ended.`);
        held = null;
      }
      return;
    }
    until = askedAt + LEASE_TERM_MS;
    const record = ledger.controlState().leases[duty];
    if (!expired && held !== null && record?.fence === held) return;
    held = null;
    const taken = await ledger.propose(
      { cause: `A majority granted the ${duty} lease.`, act: { tag: 'leaseTaken', duty, holder: me() } },
      RENEW_MS * 2,
    );
    if (taken.ok && taken.value.outcome.tag === 'applied') {
      held = taken.value.slot;
      log.info(`Holds the ${duty} lease with fence ${held}.`);
    }
  }

  async function run(): Promise<void> {
    while (!stopped) {
      await pause(clock, held === null ? RENEW_MS * (0.3 + 1.7 * rng.next()) : RENEW_MS);
      if (!stopped) await turn();
    }
  }
  void run();

  function stop(): void {
    stopped = true;
  }
  return { fence, leftMs, stop };
}

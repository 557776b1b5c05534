/**
 * A lease on a duty: a majority of the members grants it for one term, and taking it is an entry whose slot is the fence.
 * The holder counts from before it asked and stops a margin early, so two never hold it at once (monotonic clocks only).
 */
import { majorityOf, memberId, membersMark } from '../../state/control-state.js';
import { requestGrant, createLeaseTable, dropGrant } from '../../state/lease-book.js';
import type { LeaseTable } from '../../state/lease-book.js';
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

export interface Lease {
  fence(): number | null;
  leftMs(): number;
  stop(): void;
}

function idsOf(members: readonly Member[]): Set<string> {
  const ids = new Set<string>();
  for (const m of members) ids.add(memberId(m));
  return ids;
}

export const LEASE_TERM_MS = 6_000;
const MARGIN_MS = 1_000;
const RENEW_MS = 1_000;

class MajorityLease implements Lease {
  private readonly book: LeaseTable;
  private until = 0;
  private held: number | null = null;
  private stopped = false;
  private round = 0;

  // A majority of the members after a change need not share anyone with the majority that granted a lease before it, where
  // this node is new among them or where two are gone. Then for one term only the holder that the ledger names is granted it.
  private members: readonly Member[];
  private othersFrom = 0;

  constructor(
    private readonly duty: string,
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly rng: Rng,
    private readonly log: Log,
  ) {
    this.book = createLeaseTable(this.clock.mono(), LEASE_TERM_MS);
    this.members = this.ledger.controlState().members;

    this.peers.on('leaseAsk', (m) => this.onAsk(m));

    this.peers.on('leaseDrop', (m) => this.onDrop(m));

    void this.run();
  }

  private me(): string {
    return memberId(this.ledger.self);
  }

  private noteMembers(): void {
    const now = this.ledger.controlState().members;
    if (membersMark(now) === membersMark(this.members)) return;
    const before = idsOf(this.members);
    const after = idsOf(now);
    let gone = 0;
    for (const id of before) if (!after.has(id)) gone += 1;
    const bootstrapped = before.size === 0 && this.ledger.controlState().leases[this.duty] === undefined;
    const joined = !before.has(this.me()) && !bootstrapped;
    const shrank = after.size < before.size && (before.size % 2 !== 0 || gone > 1);
    if (joined || shrank) this.othersFrom = this.clock.mono() + LEASE_TERM_MS;
    this.members = now;
  }

  private mayGrant(m: MessageOf<'leaseAsk'>): boolean {
    this.noteMembers();
    if (m.ledger !== this.ledger.controlState().ledger || !this.ledger.isMember() || m.termMs > LEASE_TERM_MS)
      return false;
    return this.clock.mono() >= this.othersFrom || this.ledger.controlState().leases[m.duty]?.holder === m.holder;
  }

  private onAsk(m: MessageOf<'leaseAsk'>): Message {
    const mine = this.mayGrant(m);
    return { kind: 'leaseAnswer', voter: this.me(), granted: mine && requestGrant(this.book, m, this.clock.mono()) };
  }

  private onDrop(m: MessageOf<'leaseDrop'>): null {
    if (m.ledger === this.ledger.controlState().ledger) dropGrant(this.book, m.duty, m.holder, m.round);
    return null;
  }

  leftMs(): number {
    return this.until - MARGIN_MS - this.clock.mono();
  }

  fence(): number | null {
    if (this.stopped || this.held === null || this.leftMs() <= 0) return null;
    const record = this.ledger.controlState().leases[this.duty];
    return record && record.fence === this.held ? this.held : null;
  }

  private async askMajority(): Promise<'granted' | 'refused' | 'notAsked'> {
    const b = this.ledger.controlState();
    this.round += 1;
    const ask: MessageOf<'leaseAsk'> = {
      kind: 'leaseAsk',
      ledger: b.ledger,
      duty: this.duty,
      holder: this.me(),
      termMs: LEASE_TERM_MS,
      round: this.round,
    };
    const need = majorityOf(b.members);
    const own = this.onAsk(ask);
    if (!this.isGrant(own)) return 'notAsked';

    const one = async (m: Member): Promise<Message | null> => {
      if (memberId(m) === this.me()) return own;
      const got = await this.peers.call(m.address, ask, RENEW_MS);
      return got.ok && got.value.kind === 'leaseAnswer' && got.value.voter === memberId(m) ? got.value : null;
    };

    const decided = (votes: Votes, open: number): boolean => {
      const granted = this.grantsIn(votes);
      return granted >= need || granted + open < need;
    };
    return this.grantsIn(await poll(b.members, one, decided)) >= need ? 'granted' : 'refused';
  }

  private isGrant(m: Message): boolean {
    return m.kind === 'leaseAnswer' && m.granted;
  }

  private grantsIn(votes: Votes): number {
    let n = 0;
    for (const v of votes.values()) if (this.isGrant(v)) n += 1;
    return n;
  }

  private dropAll(): void {
    const b = this.ledger.controlState();
    const drop: MessageOf<'leaseDrop'> = {
      kind: 'leaseDrop',
      ledger: b.ledger,
      duty: this.duty,
      holder: this.me(),
      round: this.round,
    };
    for (const m of b.members) {
      if (memberId(m) === this.me()) this.onDrop(drop);
      else void this.peers.send(m.address, drop);
    }
  }

  private async turn(): Promise<void> {
    if (!this.ledger.isMember()) {
      this.held = null;
      return;
    }
    const askedAt = this.clock.mono();
    const expired = this.leftMs() <= 0;
    const asked = await this.askMajority();
    if (asked !== 'granted') {
      if (asked === 'refused' && this.clock.mono() > this.until) this.dropAll();
      if (this.held !== null && this.leftMs() <= 0) {
        this.log.warn(`The ${this.duty} lease ended.`);
        this.held = null;
      }
      return;
    }
    this.until = askedAt + LEASE_TERM_MS;
    const record = this.ledger.controlState().leases[this.duty];
    if (!expired && this.held !== null && record?.fence === this.held) return;
    this.held = null;
    const taken = await this.ledger.propose(
      {
        cause: `A majority granted the ${this.duty} lease.`,
        act: { tag: 'leaseTaken', duty: this.duty, holder: this.me() },
      },
      RENEW_MS * 2,
    );
    if (taken.ok && taken.value.outcome.tag === 'applied') {
      this.held = taken.value.slot;
      this.log.info(`Holds the ${this.duty} lease with fence ${this.held}.`);
    }
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await pause(this.clock, this.held === null ? RENEW_MS * (0.3 + 1.7 * this.rng.next()) : RENEW_MS);
      if (!this.stopped) await this.turn();
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

export function createLease(duty: string, ledger: Ledger, peers: Peers, clock: Clock, rng: Rng, log: Log): Lease {
  return new MajorityLease(duty, ledger, peers, clock, rng, log);
}

/**
 * A lease on a duty: a majority of the members grants it for one term, and taking it is an entry whose slot is the fence.
 * The holder counts from before it asked and stops a margin early, so two never hold it at once (monotonic clocks only).
 */
import { majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import { requestGrant, createLeaseTable, dropGrant } from '../../state/idempotency/lease-table.js';
import type { LeaseTable } from '../../state/idempotency/lease-table.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Member } from '../../state/consensus/entry.js';
import type { Clock } from '../../transport/clock.js';
import { delay } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Rng } from '../../transport/rng.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';
import { poll } from '../consensus/poll.js';
import type { MemberResponses } from '../consensus/poll.js';

/** A lease on a singleton role; `fence` is the fencing token while it is held, else null. */
export interface Lease {
  fence(): number | null;
  leftMs(): number;
  stop(): void;
}

function idsOf(members: readonly Member[]): Set<string> {
  const ids = new Set<string>();
  for (const member of members) ids.add(memberId(member));
  return ids;
}

/** Length of a lease from its grant, in milliseconds. */
export const LEASE_TERM_MS = 6_000;
const MARGIN_MS = 1_000;
const RENEW_MS = 1_000;

class MajorityLease implements Lease {
  private readonly grants: LeaseTable;
  private grantedUntil = 0;
  private ownFence: number | null = null;
  private stopped = false;
  private round = 0;

  // A majority of the members after a change need not share anyone with the majority that granted a lease before it, where
  // this node is new among them or where two are gone. Then for one term only the holder that the ledger names is granted it.
  private members: readonly Member[];
  private othersFrom = 0;

  constructor(
    private readonly role: string,
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly rng: Rng,
    private readonly log: Log,
  ) {
    this.grants = createLeaseTable(this.clock.mono(), LEASE_TERM_MS);
    this.members = this.ledger.controlState().members;

    this.peers.on('leaseAsk', (message) => this.onRequest(message));

    this.peers.on('leaseDrop', (message) => this.onDrop(message));

    void this.run();
  }

  private me(): string {
    return memberId(this.ledger.self);
  }

  private onMembersChanged(): void {
    const now = this.ledger.controlState().members;
    if (membersDigest(now) === membersDigest(this.members)) return;
    const before = idsOf(this.members);
    const after = idsOf(now);
    let gone = 0;
    for (const id of before) if (!after.has(id)) gone += 1;
    const bootstrapped = before.size === 0 && this.ledger.controlState().leases[this.role] === undefined;
    const joined = !before.has(this.me()) && !bootstrapped;
    const shrank = after.size < before.size && (before.size % 2 !== 0 || gone > 1);
    if (joined || shrank) this.othersFrom = this.clock.mono() + LEASE_TERM_MS;
    this.members = now;
  }

  private mayGrant(message: MessageOf<'leaseAsk'>): boolean {
    this.onMembersChanged();
    if (
      message.ledger !== this.ledger.controlState().ledger ||
      !this.ledger.isMember() ||
      message.termMs > LEASE_TERM_MS
    )
      return false;
    return (
      this.clock.mono() >= this.othersFrom || this.ledger.controlState().leases[message.duty]?.holder === message.holder
    );
  }

  private onRequest(message: MessageOf<'leaseAsk'>): Message {
    const mine = this.mayGrant(message);
    return {
      kind: 'leaseAnswer',
      voter: this.me(),
      granted:
        mine &&
        requestGrant(
          this.grants,
          { role: message.duty, holder: message.holder, round: message.round, termMs: message.termMs },
          this.clock.mono(),
        ),
    };
  }

  private onDrop(message: MessageOf<'leaseDrop'>): null {
    if (message.ledger === this.ledger.controlState().ledger)
      dropGrant(this.grants, message.duty, message.holder, message.round);
    return null;
  }

  leftMs(): number {
    return this.grantedUntil - MARGIN_MS - this.clock.mono();
  }

  fence(): number | null {
    if (this.stopped || this.ownFence === null || this.leftMs() <= 0) return null;
    const record = this.ledger.controlState().leases[this.role];
    return record && record.fence === this.ownFence ? this.ownFence : null;
  }

  private async requestMajority(): Promise<'granted' | 'refused' | 'notAsked'> {
    const state = this.ledger.controlState();
    this.round += 1;
    const request: MessageOf<'leaseAsk'> = {
      kind: 'leaseAsk',
      ledger: state.ledger,
      duty: this.role,
      holder: this.me(),
      termMs: LEASE_TERM_MS,
      round: this.round,
    };
    const quorumSize = majorityOf(state.members);
    const own = this.onRequest(request);
    if (!this.isGrant(own)) return 'notAsked';

    const one = async (member: Member): Promise<Message | null> => {
      if (memberId(member) === this.me()) return own;
      const response = await this.peers.call(member.address, request, RENEW_MS);
      return response.ok && response.value.kind === 'leaseAnswer' && response.value.voter === memberId(member)
        ? response.value
        : null;
    };

    const decided = (votes: MemberResponses, open: number): boolean => {
      const granted = this.grantsIn(votes);
      return granted >= quorumSize || granted + open < quorumSize;
    };
    return this.grantsIn(await poll(state.members, one, decided)) >= quorumSize ? 'granted' : 'refused';
  }

  private isGrant(message: Message): boolean {
    return message.kind === 'leaseAnswer' && message.granted;
  }

  private grantsIn(votes: MemberResponses): number {
    let count = 0;
    for (const value of votes.values()) if (this.isGrant(value)) count += 1;
    return count;
  }

  private dropAll(): void {
    const state = this.ledger.controlState();
    const drop: MessageOf<'leaseDrop'> = {
      kind: 'leaseDrop',
      ledger: state.ledger,
      duty: this.role,
      holder: this.me(),
      round: this.round,
    };
    for (const member of state.members) {
      if (memberId(member) === this.me()) this.onDrop(drop);
      else void this.peers.send(member.address, drop);
    }
  }

  private async turn(): Promise<void> {
    if (!this.ledger.isMember()) {
      this.ownFence = null;
      return;
    }
    const requestedAt = this.clock.mono();
    const expired = this.leftMs() <= 0;
    const outcome = await this.requestMajority();
    if (outcome !== 'granted') {
      if (outcome === 'refused' && this.clock.mono() > this.grantedUntil) this.dropAll();
      if (this.ownFence !== null && this.leftMs() <= 0) {
        this.log.warn('lease lost', { role: this.role });
        this.ownFence = null;
      }
      return;
    }
    this.grantedUntil = requestedAt + LEASE_TERM_MS;
    const record = this.ledger.controlState().leases[this.role];
    if (!expired && this.ownFence !== null && record?.fence === this.ownFence) return;
    this.ownFence = null;
    const agreed = await this.ledger.propose(
      {
        cause: `A majority granted the ${this.role} lease.`,
        act: { tag: 'leaseTaken', duty: this.role, holder: this.me() },
      },
      RENEW_MS * 2,
    );
    if (agreed.ok && agreed.value.outcome.tag === 'applied') {
      this.ownFence = agreed.value.slot;
      this.log.info('lease acquired', { role: this.role, fencingToken: this.ownFence });
    }
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await delay(this.clock, this.ownFence === null ? RENEW_MS * (0.3 + 1.7 * this.rng.next()) : RENEW_MS);
      if (!this.stopped) await this.turn();
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Competes for the lease until stopped, and grants it to others as a member. */
export function createLease(role: string, ledger: Ledger, peers: Peers, clock: Clock, rng: Rng, log: Log): Lease {
  return new MajorityLease(role, ledger, peers, clock, rng, log);
}

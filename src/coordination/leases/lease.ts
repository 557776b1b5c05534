/**
 * A lease on a singleton role. A majority of the members grants it for one term; the holder then records it as an
 * entry of the replicated log, and the slot of that entry is the fencing token. The holder counts the term from
 * before it sent its request and stops a margin before the term ends, so that two nodes never hold the lease at once.
 * Uses monotonic clocks only.
 */
import { majorityOf, memberId, membersDigest } from '../../state/consensus/control-state.js';
import { requestGrant, createLeaseTable, releaseGrant } from '../../state/idempotency/lease-table.js';
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
import { ownValue } from '../../base/own-value.js';

/** A lease on a singleton role. */
export interface Lease {
  /** The fencing token while this node holds the lease, else null. */
  fence(): number | null;
  /** Time until the holder stops, in milliseconds; negative once the lease has expired. */
  remainingMs(): number;
  stop(): void;
}

function idsOf(members: readonly Member[]): Set<string> {
  const ids = new Set<string>();
  for (const member of members) ids.add(memberId(member));
  return ids;
}

/** Term of a lease, in milliseconds. */
export const LEASE_TERM_MS = 6_000;
const EXPIRY_MARGIN_MS = 1_000;
const RENEW_INTERVAL_MS = 1_000;

class MajorityLease implements Lease {
  private readonly grants: LeaseTable;
  private grantedUntil = 0;
  private ownFencingToken: number | null = null;
  private stopped = false;
  private round = 0;

  // After a change of the members, a majority may have no node in common with the majority that granted the current
  // lease: if this node is new among the members, or if two members were removed. For one term after such a change,
  // this node grants the lease only to the holder recorded in the replicated log.
  private members: readonly Member[];
  private newHoldersFrom = 0;

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

  private selfId(): string {
    return memberId(this.ledger.self);
  }

  private updateMembers(): void {
    const current = this.ledger.controlState().members;
    if (membersDigest(current) === membersDigest(this.members)) return;
    const idsBefore = idsOf(this.members);
    const idsAfter = idsOf(current);
    let removed = 0;
    for (const id of idsBefore) if (!idsAfter.has(id)) removed += 1;
    const isBootstrap = idsBefore.size === 0 && ownValue(this.ledger.controlState().leases, this.role) === undefined;
    const isNewMember = !idsBefore.has(this.selfId()) && !isBootstrap;
    const mayMissOldMajority = idsAfter.size < idsBefore.size && (idsBefore.size % 2 !== 0 || removed > 1);
    if (isNewMember || mayMissOldMajority) this.newHoldersFrom = this.clock.mono() + LEASE_TERM_MS;
    this.members = current;
  }

  private mayGrant(message: MessageOf<'leaseAsk'>): boolean {
    this.updateMembers();
    if (
      message.ledger !== this.ledger.controlState().ledger ||
      !this.ledger.isMember() ||
      message.termMs > LEASE_TERM_MS
    )
      return false;
    return (
      this.clock.mono() >= this.newHoldersFrom ||
      ownValue(this.ledger.controlState().leases, message.duty)?.holder === message.holder
    );
  }

  private onRequest(message: MessageOf<'leaseAsk'>): Message {
    const isAllowed = this.mayGrant(message);
    return {
      kind: 'leaseAnswer',
      voter: this.selfId(),
      granted:
        isAllowed &&
        requestGrant(
          this.grants,
          { role: message.duty, holder: message.holder, round: message.round, termMs: message.termMs },
          this.clock.mono(),
        ),
    };
  }

  private onDrop(message: MessageOf<'leaseDrop'>): null {
    if (message.ledger === this.ledger.controlState().ledger)
      releaseGrant(this.grants, message.duty, message.holder, message.round);
    return null;
  }

  remainingMs(): number {
    return this.grantedUntil - EXPIRY_MARGIN_MS - this.clock.mono();
  }

  fence(): number | null {
    if (this.stopped || this.ownFencingToken === null || this.remainingMs() <= 0) return null;
    const record = ownValue(this.ledger.controlState().leases, this.role);
    return record && record.fence === this.ownFencingToken ? this.ownFencingToken : null;
  }

  private async requestMajority(): Promise<'granted' | 'refused' | 'notRequested'> {
    const state = this.ledger.controlState();
    this.round += 1;
    const request: MessageOf<'leaseAsk'> = {
      kind: 'leaseAsk',
      ledger: state.ledger,
      duty: this.role,
      holder: this.selfId(),
      termMs: LEASE_TERM_MS,
      round: this.round,
    };
    const quorumSize = majorityOf(state.members);
    const ownResponse = this.onRequest(request);
    if (!this.isGrant(ownResponse)) return 'notRequested';

    const requestFrom = async (member: Member): Promise<Message | null> => {
      if (memberId(member) === this.selfId()) return ownResponse;
      const response = await this.peers.call(member.address, request, RENEW_INTERVAL_MS);
      return response.ok && response.value.kind === 'leaseAnswer' && response.value.voter === memberId(member)
        ? response.value
        : null;
    };

    const isDecided = (votes: MemberResponses, outstanding: number): boolean => {
      const granted = this.countGrants(votes);
      return granted >= quorumSize || granted + outstanding < quorumSize;
    };
    return this.countGrants(await poll(state.members, requestFrom, isDecided)) >= quorumSize ? 'granted' : 'refused';
  }

  private isGrant(message: Message): boolean {
    return message.kind === 'leaseAnswer' && message.granted;
  }

  private countGrants(votes: MemberResponses): number {
    let count = 0;
    for (const value of votes.values()) if (this.isGrant(value)) count += 1;
    return count;
  }

  private dropAllGrants(): void {
    const state = this.ledger.controlState();
    const drop: MessageOf<'leaseDrop'> = {
      kind: 'leaseDrop',
      ledger: state.ledger,
      duty: this.role,
      holder: this.selfId(),
      round: this.round,
    };
    for (const member of state.members) {
      if (memberId(member) === this.selfId()) this.onDrop(drop);
      else void this.peers.send(member.address, drop);
    }
  }

  private async tick(): Promise<void> {
    if (!this.ledger.isMember()) {
      this.ownFencingToken = null;
      return;
    }
    const requestedAt = this.clock.mono();
    const wasExpired = this.remainingMs() <= 0;
    const outcome = await this.requestMajority();
    if (outcome !== 'granted') {
      if (outcome === 'refused' && this.clock.mono() > this.grantedUntil) this.dropAllGrants();
      if (this.ownFencingToken !== null && this.remainingMs() <= 0) {
        this.log.warn('lease lost', { role: this.role });
        this.ownFencingToken = null;
      }
      return;
    }
    this.grantedUntil = requestedAt + LEASE_TERM_MS;
    const record = ownValue(this.ledger.controlState().leases, this.role);
    if (!wasExpired && this.ownFencingToken !== null && record?.fence === this.ownFencingToken) return;
    this.ownFencingToken = null;
    const proposed = await this.ledger.propose(
      {
        cause: `A majority granted the ${this.role} lease.`,
        act: { tag: 'leaseTaken', duty: this.role, holder: this.selfId() },
      },
      RENEW_INTERVAL_MS * 2,
    );
    if (proposed.ok && proposed.value.outcome.tag === 'applied') {
      this.ownFencingToken = proposed.value.slot;
      this.log.info('lease acquired', { role: this.role, fencingToken: this.ownFencingToken });
    }
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await delay(
        this.clock,
        this.ownFencingToken === null ? RENEW_INTERVAL_MS * (0.3 + 1.7 * this.rng.next()) : RENEW_INTERVAL_MS,
      );
      if (!this.stopped) await this.tick();
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Requests and renews the lease until stopped, and as a member grants it to others. */
export function createLease(role: string, ledger: Ledger, peers: Peers, clock: Clock, rng: Rng, log: Log): Lease {
  return new MajorityLease(role, ledger, peers, clock, rng, log);
}

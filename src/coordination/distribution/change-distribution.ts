/**
 * A controller's side of the way of a change to the proxies: publishes the ledger, gathers reports, and tells whether every
 * proxy has acknowledged a slot. `controller.ts` makes one.
 */
import { majorityOf, memberId } from '../../state/consensus/control-state.js';
import type { Reports } from '../../state/distribution/reports.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';
import { Acknowledgements } from './acknowledgements.js';
import { ChangePublisher } from './change-publisher.js';
import type { QuorumAttestation } from './quorum-attestation.js';
import { ReportExchange } from './report-exchange.js';

/** What a controller knows of the proxies, and how far they are. */
export interface ChangeDistribution {
  /** The newest report by proxy. */
  reports(): Reports;
  /** When a report of this proxy came last; monotonic clock, null if never. */
  lastContactAt(proxy: string): number | null;
  /** The newest slot that this proxy is known to have folded; -1 if none. */
  confirmedSlot(proxy: string): number;
  /** Known proxies that have not folded this slot yet. */
  unconfirmed(slot: number): string[];
  /** Waits until all known proxies have folded this slot; resolves with those that have not after `waitMs`. */
  confirm(slot: number, waitMs: number): Promise<string[]>;
  /** Whether this controller is a member in contact with a majority, and its disk takes writes. */
  quorate(): boolean;
  stop(): void;
}

/** A member that answered longer ago does not count towards the majority in contact. */
const CONTACT_TIMEOUT_MS = 2_000;
const CONFIRM_POLL_MS = 20;

class LedgerChangeDistribution implements ChangeDistribution {
  private readonly publisher: ChangePublisher;
  private readonly exchange: ReportExchange;
  private readonly acknowledgements: Acknowledgements;

  constructor(
    private readonly ledger: Ledger,
    quorumAttestation: QuorumAttestation,
    peers: Peers,
    private readonly clock: Clock,
    log: Log,
  ) {
    this.publisher = new ChangePublisher(ledger, quorumAttestation, peers, clock, log);
    this.exchange = new ReportExchange(ledger, peers, clock);
    this.acknowledgements = new Acknowledgements(ledger, peers, clock);
  }

  reports(): Reports {
    return this.exchange.reports;
  }

  lastContactAt(proxy: string): number | null {
    return this.exchange.lastContactAt(proxy);
  }

  confirmedSlot(proxy: string): number {
    return Math.max(this.acknowledgements.slotOf(proxy), this.exchange.reports.get(proxy)?.slot ?? -1);
  }

  unconfirmed(slot: number): string[] {
    return Object.keys(this.ledger.controlState().proxies).filter((proxy) => this.confirmedSlot(proxy) < slot);
  }

  async confirm(slot: number, waitMs: number): Promise<string[]> {
    const until = this.clock.mono() + waitMs;
    let left = this.unconfirmed(slot);
    while (left.length > 0 && this.clock.mono() < until) {
      await delay(this.clock, CONFIRM_POLL_MS);
      left = this.unconfirmed(slot);
    }
    return left;
  }

  quorate(): boolean {
    if (!this.ledger.isMember() || !this.ledger.writable()) return false;
    const { members } = this.ledger.controlState();
    return members.filter((member) => this.isInContact(memberId(member))).length >= majorityOf(members);
  }

  private isInContact(id: string): boolean {
    const at = this.ledger.lastContactAt(id);
    return id === memberId(this.ledger.self) || (at !== null && this.clock.mono() - at < CONTACT_TIMEOUT_MS);
  }

  stop(): void {
    this.publisher.close();
    this.exchange.close();
  }
}

/** Begins to publish and to gather at once. */
export function createChangeDistribution(
  ledger: Ledger,
  quorumAttestation: QuorumAttestation,
  peers: Peers,
  clock: Clock,
  log: Log,
): ChangeDistribution {
  return new LedgerChangeDistribution(ledger, quorumAttestation, peers, clock, log);
}

/**
 * The controller's side of distributing changes to the proxies: publishes the replicated log, collects reports, and
 * determines whether every proxy has acknowledged a slot. Created by `controller.ts`.
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

/** What a controller knows about the proxies, and which slots they have applied. */
export interface ChangeDistribution {
  /** The newest report by proxy. */
  reports(): Reports;
  /** When the last report of this proxy arrived, on the monotonic clock; null if none has arrived. */
  lastContactAt(proxy: string): number | null;
  /** When the first report of any proxy arrived, on the monotonic clock; null if none has arrived. */
  firstContactAt(): number | null;
  /** The newest slot that this proxy is known to have applied; -1 if none. */
  confirmedSlot(proxy: string): number;
  /** The known proxies that have not applied this slot yet. */
  unconfirmedProxies(slot: number): string[];
  /** Waits until all known proxies have applied this slot, at most `waitMs`; resolves with those that have not. */
  waitForConfirmation(slot: number, waitMs: number): Promise<string[]>;
  /** Whether this controller is a member in contact with a majority, and its disk is writable. */
  quorate(): boolean;
  stop(): void;
}

/** A member whose last response is older does not count towards the majority in contact. */
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

  firstContactAt(): number | null {
    return this.exchange.firstContactAt();
  }

  confirmedSlot(proxy: string): number {
    return Math.max(this.acknowledgements.acknowledgedSlot(proxy), this.exchange.reports.get(proxy)?.slot ?? -1);
  }

  unconfirmedProxies(slot: number): string[] {
    return Object.keys(this.ledger.controlState().proxies).filter((proxy) => this.confirmedSlot(proxy) < slot);
  }

  async waitForConfirmation(slot: number, waitMs: number): Promise<string[]> {
    const deadline = this.clock.mono() + waitMs;
    let remaining = this.unconfirmedProxies(slot);
    while (remaining.length > 0 && this.clock.mono() < deadline) {
      await delay(this.clock, CONFIRM_POLL_MS);
      remaining = this.unconfirmedProxies(slot);
    }
    return remaining;
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

/** Starts publishing and collecting reports immediately. */
export function createChangeDistribution(
  ledger: Ledger,
  quorumAttestation: QuorumAttestation,
  peers: Peers,
  clock: Clock,
  log: Log,
): ChangeDistribution {
  return new LedgerChangeDistribution(ledger, quorumAttestation, peers, clock, log);
}

/**
 * Keeps the newest report of each proxy on every controller: receives reports from the proxies subscribed here, and
 * forwards them to the other controllers as deltas once a second.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { otherMembers } from '../../state/consensus/fold-members.js';
import type { Member } from '../../state/consensus/entry.js';
import type { Report } from '../../state/distribution/report.js';
import { deltaSince, mergeReport } from '../../state/distribution/reports.js';
import type { Reports } from '../../state/distribution/reports.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peer, Peers } from '../messaging/peers.js';

const GOSSIP_INTERVAL_MS = 1_000;

/** Exchanges reports until `close` is called. */
export class ReportExchange {
  /** The newest report by proxy. */
  readonly reports: Reports = new Map();
  private readonly lastContacts = new Map<string, number>();
  private firstReportAt: number | null = null;
  /** By controller: the reports sent to it, which are the bases of the next deltas. */
  private readonly sentReports = new Map<string, Map<string, Report>>();
  /** By controller: the proxies whose reports are due to be forwarded. */
  private readonly pendingRelays = new Map<string, Set<string>>();
  private rounds = 0;
  private readonly gossipTimer: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.gossipTimer = every(clock, GOSSIP_INTERVAL_MS, () => this.gossip());
    peers.on('reportsAsk', (message) => this.onReportsRequest(message));
    peers.on('reports', (message, peer) => this.onReports(message, peer));
  }

  /** Returns when the last report of this proxy arrived, directly or forwarded (monotonic clock); null if none has. */
  lastContactAt(proxy: string): number | null {
    return this.lastContacts.get(proxy) ?? null;
  }

  /** Returns when the first report of any proxy arrived (monotonic clock); null if none has. */
  firstContactAt(): number | null {
    return this.firstReportAt;
  }

  close(): void {
    this.gossipTimer.cancel();
  }

  private onReports(message: MessageOf<'reports'>, peer: Peer): null {
    const reportersWithGap: string[] = [];
    for (const report of message.reports) {
      const previous = this.reports.get(report.reporter);
      const outcome = mergeReport(this.reports, report);
      if (outcome === 'merged') this.onMerged(report.reporter, message.by);
      else if (outcome === 'gap') reportersWithGap.push(report.reporter);
      else if (previous && previous.run !== report.run && previous.incarnation >= report.incarnation)
        peer.send({ kind: 'outlived', reporter: report.reporter, incarnation: previous.incarnation });
    }
    if (reportersWithGap.length > 0)
      peer.send({ kind: 'reportsAsk', by: this.ledger.self.name, reporters: reportersWithGap });
    return null;
  }

  /** A report from a proxy goes to all other controllers; a forwarded one goes to one more, in round-robin order. */
  private onMerged(proxy: string, by: string | undefined): void {
    const now = this.clock.mono();
    this.firstReportAt ??= now;
    this.lastContacts.set(proxy, now);
    this.scheduleRelay(proxy, by === undefined ? this.others() : this.nextMemberExcept(by));
  }

  private nextMemberExcept(by: string): Member[] {
    const others = this.others().filter((member) => member.name !== by);
    const next = others[this.rounds % Math.max(1, others.length)];
    return next ? [next] : [];
  }

  private scheduleRelay(proxy: string, to: readonly Member[]): void {
    for (const member of to) {
      const proxies = this.pendingRelays.get(member.name) ?? new Set<string>();
      proxies.add(proxy);
      this.pendingRelays.set(member.name, proxies);
    }
  }

  /** Called when a controller lacks the bases of deltas: the complete reports are sent to it next. */
  private onReportsRequest(message: MessageOf<'reportsAsk'>): null {
    for (const proxy of message.reporters) {
      this.sentReports.get(message.by)?.delete(proxy);
      for (const member of this.others()) if (member.name === message.by) this.scheduleRelay(proxy, [member]);
    }
    return null;
  }

  private gossip(): void {
    this.rounds += 1;
    for (const member of this.others()) {
      const proxies = this.pendingRelays.get(member.name);
      if (proxies && proxies.size > 0) void this.relay(member, proxies);
      this.pendingRelays.delete(member.name);
    }
  }

  private async relay(member: Member, proxies: ReadonlySet<string>): Promise<void> {
    const sentToMember = this.sentReports.get(member.name) ?? new Map<string, Report>();
    this.sentReports.set(member.name, sentToMember);
    const deltas: Report[] = [];
    for (const proxy of proxies) {
      const report = this.reports.get(proxy);
      if (!report) continue;
      deltas.push(deltaSince(sentToMember.get(proxy), report));
      sentToMember.set(proxy, report);
    }
    const message = { kind: 'reports' as const, by: this.ledger.self.name, reports: deltas };
    if (!(await this.peers.send(member.address, message))) this.sentReports.delete(member.name);
  }

  private others(): Member[] {
    return otherMembers(this.ledger.controlState().members, this.ledger.self);
  }
}

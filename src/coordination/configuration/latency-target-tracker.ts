/**
 * Counts the outcomes of requests and configuration changes by minute, for reports on service-level objectives. Each
 * controller keeps its own counts; `operator/latency-targets.ts` combines those of all controllers.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { createLatencyTargetTable } from '../../state/configuration/latency-target-table.js';
import type { Minute } from '../../state/configuration/latency-target-table.js';
import { CHANGES_SUBJECT, countOutcome } from '../../state/configuration/latency-target-counts.js';
import type { CountTable } from '../../state/configuration/latency-target-counts.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';

/** Counts of the last minutes as known to the controller `by`; `now` is its current minute. */
export type MinuteCounts = { readonly by: string; readonly now: number; readonly minutes: readonly Minute[] };

/** Records the changes of its own controller and returns the counts of the last minutes. */
export interface LatencyTargetTracker {
  recordChange(durationMs: number): void;
  last(minutes: number): MinuteCounts;
  stop(): void;
}

const MINUTE_MS = 60_000;

class MinuteCountTracker implements LatencyTargetTracker {
  private readonly minuteTable = createLatencyTargetTable();
  private readonly startedAt: number;
  private nextMinuteToClose = 0;
  private readonly ticker: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.startedAt = this.clock.mono();

    this.peers.on('counts', (message) => this.onCounts(message));
    this.ticker = every(this.clock, 1_000, () => this.closePastMinutes());
  }

  private currentMinute(): number {
    return Math.floor((this.clock.mono() - this.startedAt) / MINUTE_MS);
  }

  private closePastMinutes(): void {
    for (; this.nextMinuteToClose < this.currentMinute(); this.nextMinuteToClose += 1)
      this.minuteTable.close(this.nextMinuteToClose, Object.keys(this.ledger.controlState().proxies));
  }

  private onCounts(message: MessageOf<'counts'>): null {
    this.closePastMinutes();
    this.minuteTable.record(message.reporter, message.incarnation, message.totals, this.currentMinute());
    if (message.by === undefined)
      for (const member of this.ledger.controlState().members)
        if (member.name !== this.ledger.self.name)
          void this.peers.send(member.address, { ...message, by: this.ledger.self.name });
    return null;
  }

  recordChange(durationMs: number): void {
    this.closePastMinutes();
    const table: CountTable = {};
    countOutcome(table, CHANGES_SUBJECT, { outcome: 'good', firstMs: null, wholeMs: durationMs });
    for (const [subject, counts] of Object.entries(table))
      this.minuteTable.recordOwn(subject, counts, this.currentMinute());
  }

  last(minutes: number): MinuteCounts {
    this.closePastMinutes();
    return {
      by: this.ledger.self.name,
      now: this.currentMinute(),
      minutes: this.minuteTable.since(this.currentMinute() - minutes),
    };
  }

  stop(): void {
    this.ticker.cancel();
  }
}

/** Creates a tracker of the counts that proxies send, which forwards them to the other controllers. */
export function createLatencyTargetTracker(ledger: Ledger, peers: Peers, clock: Clock): LatencyTargetTracker {
  return new MinuteCountTracker(ledger, peers, clock);
}

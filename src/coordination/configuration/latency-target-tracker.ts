/**
 * Counts, by minute, how requests and changes fared, for reports on service-level targets. Every controller has its
 * own counts; `operator/latency-targets.ts` puts those of all together.
 */
import type { MessageOf } from '../../protocol/messages.js';
import { createLatencyTargetTable } from '../../state/configuration/latency-target-table.js';
import type { Minute } from '../../state/configuration/latency-target-table.js';
import { CHANGES_SUBJECT, recordIn } from '../../state/configuration/latency-target-counts.js';
import type { CountTable } from '../../state/configuration/latency-target-counts.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Peers } from '../messaging/peers.js';

/** Counts of the last minutes as one controller, `by`, knows them; `now` is its current minute. */
export type MinuteCounts = { readonly by: string; readonly now: number; readonly minutes: readonly Minute[] };

/** Records changes of its own controller and gives the last minutes. */
export interface LatencyTargetTracker {
  recordChange(ms: number): void;
  last(minutes: number): MinuteCounts;
  stop(): void;
}

const MINUTE_MS = 60_000;

class MinuteCountTracker implements LatencyTargetTracker {
  private readonly book = createLatencyTargetTable();
  private readonly startedAt: number;
  private closed = 0;
  private readonly turning: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.startedAt = this.clock.mono();

    this.peers.on('counts', (message) => this.onCounts(message));
    this.turning = every(this.clock, 1_000, () => this.closePast());
  }

  private minute(): number {
    return Math.floor((this.clock.mono() - this.startedAt) / MINUTE_MS);
  }

  private closePast(): void {
    for (; this.closed < this.minute(); this.closed += 1)
      this.book.close(this.closed, Object.keys(this.ledger.controlState().proxies));
  }

  private onCounts(message: MessageOf<'counts'>): null {
    this.closePast();
    this.book.record(message.reporter, message.incarnation, message.totals, this.minute());
    if (message.by === undefined)
      for (const to of this.ledger.controlState().members)
        if (to.name !== this.ledger.self.name)
          void this.peers.send(to.address, { ...message, by: this.ledger.self.name });
    return null;
  }

  recordChange(ms: number): void {
    this.closePast();
    const table: CountTable = {};
    recordIn(table, CHANGES_SUBJECT, { outcome: 'good', firstMs: null, wholeMs: ms });
    for (const [subject, counts] of Object.entries(table)) this.book.recordOwn(subject, counts, this.minute());
  }

  last(minutes: number): MinuteCounts {
    this.closePast();
    return { by: this.ledger.self.name, now: this.minute(), minutes: this.book.since(this.minute() - minutes) };
  }

  stop(): void {
    this.turning.cancel();
  }
}

/** Tracks the counts that proxies send and shares them with the other controllers. */
export function createLatencyTargetTracker(ledger: Ledger, peers: Peers, clock: Clock): LatencyTargetTracker {
  return new MinuteCountTracker(ledger, peers, clock);
}

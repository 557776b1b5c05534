import type { MessageOf } from '../../protocol/messages.js';
import { createAimBook } from '../../state/aim-book.js';
import type { Minute } from '../../state/aim-book.js';
import { CHANGES_SUBJECT, noteIn } from '../../state/aim-counts.js';
import type { CountTable } from '../../state/aim-counts.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Ledger } from './ledger.js';
import type { Peers } from '../members/peers.js';

export type AimMinutes = { readonly by: string; readonly now: number; readonly minutes: readonly Minute[] };

export interface AimKeeper {
  noteChange(ms: number): void;
  last(minutes: number): AimMinutes;
  stop(): void;
}

const MINUTE_MS = 60_000;

class MinuteCountKeeper implements AimKeeper {
  private readonly book = createAimBook();
  private readonly startedAt: number;
  private closed = 0;
  private readonly turning: Timer;

  constructor(
    private readonly ledger: Ledger,
    private readonly peers: Peers,
    private readonly clock: Clock,
  ) {
    this.startedAt = this.clock.mono();

    this.peers.on('counts', (m) => this.onCounts(m));
    this.turning = every(this.clock, 1_000, () => this.closePast());
  }

  private minute(): number {
    return Math.floor((this.clock.mono() - this.startedAt) / MINUTE_MS);
  }

  private closePast(): void {
    for (; this.closed < this.minute(); this.closed += 1)
      this.book.close(this.closed, Object.keys(this.ledger.controlState().proxies));
  }

  private onCounts(m: MessageOf<'counts'>): null {
    this.closePast();
    this.book.hear(m.reporter, m.incarnation, m.totals, this.minute());
    if (m.by === undefined)
      for (const to of this.ledger.controlState().members)
        if (to.name !== this.ledger.self.name) void this.peers.send(to.address, { ...m, by: this.ledger.self.name });
    return null;
  }

  noteChange(ms: number): void {
    this.closePast();
    const table: CountTable = {};
    noteIn(table, CHANGES_SUBJECT, { outcome: 'good', firstMs: null, wholeMs: ms });
    for (const [subject, c] of Object.entries(table)) this.book.note(subject, c, this.minute());
  }

  last(minutes: number): AimMinutes {
    this.closePast();
    return { by: this.ledger.self.name, now: this.minute(), minutes: this.book.since(this.minute() - minutes) };
  }

  stop(): void {
    this.turning.cancel();
  }
}

export function createAimKeeper(ledger: Ledger, peers: Peers, clock: Clock): AimKeeper {
  return new MinuteCountKeeper(ledger, peers, clock);
}

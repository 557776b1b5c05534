import type { MessageOf } from '../../protocol/messages.js';
import { createAimBook } from '../../state/aim-book.js';
import type { Minute } from '../../state/aim-book.js';
import { CHANGES_SUBJECT, noteIn } from '../../state/aim-counts.js';
import type { CountTable } from '../../state/aim-counts.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from './ledger.js';
import type { Peers } from '../members/peers.js';

export type AimMinutes = { readonly by: string; readonly now: number; readonly minutes: readonly Minute[] };

export type AimKeeper = {
  readonly noteChange: (ms: number) => void;
  readonly last: (minutes: number) => AimMinutes;
  readonly stop: () => void;
};

const MINUTE_MS = 60_000;

export function createAimKeeper(ledger: Ledger, peers: Peers, clock: Clock): AimKeeper {
  const book = createAimBook();
  const startedAt = clock.mono();
  let closed = 0;

  function minute(): number {
    return Math.floor((clock.mono() - startedAt) / MINUTE_MS);
  }
  function closePast(): void {
    for (; closed < minute(); closed += 1) book.close(closed, Object.keys(ledger.controlState().proxies));
  }
  function onCounts(m: MessageOf<'counts'>): null {
    closePast();
    book.hear(m.reporter, m.incarnation, m.totals, minute());
    if (m.by === undefined)
      for (const to of ledger.controlState().members)
        if (to.name !== ledger.self.name) void peers.tell(to.address, { ...m, by: ledger.self.name });
    return null;
  }
  peers.on('counts', onCounts);
  const turning = every(clock, 1_000, closePast);

  function noteChange(ms: number): void {
    closePast();
    const table: CountTable = {};
    noteIn(table, CHANGES_SUBJECT, { outcome: 'good', firstMs: null, wholeMs: ms });
    for (const [subject, c] of Object.entries(table)) book.note(subject, c, minute());
  }
  function last(minutes: number): AimMinutes {
    closePast();
    return { by: ledger.self.name, now: minute(), minutes: book.since(minute() - minutes) };
  }
  return { noteChange, last, stop: turning.cancel };
}

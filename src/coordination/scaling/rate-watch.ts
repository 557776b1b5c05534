import { createRateWindow } from '../../state/rates.js';
import type { RateWindow } from '../../state/rates.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from '../ledger/ledger.js';
import type { Push } from '../ledger/push.js';

export const REPORT_FRESH_MS = 4_000;

export type RateWatch = { readonly observe: () => void; readonly rate: RateWindow['rate']; readonly reset: () => void };

export function createRateWatch(ledger: Ledger, push: Pick<Push, 'reports' | 'heardAt'>, clock: Clock): RateWatch {
  const rates = createRateWindow();
  function observe(): void {
    const now = clock.mono();
    let whole = true;
    for (const name of Object.keys(ledger.controlState().proxies)) {
      const at = push.heardAt(name);
      if (at === null || now - at > REPORT_FRESH_MS) whole = false;
    }
    rates.observe(now, push.reports().values(), whole);
  }
  return { observe, rate: rates.rate, reset: rates.reset };
}

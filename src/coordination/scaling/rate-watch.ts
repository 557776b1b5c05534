import { createRateWindow } from '../../state/scaling/rates.js';
import type { RateWindow } from '../../state/scaling/rates.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { Push } from '../distribution/push.js';
import type { Rate } from '../../state/scaling/target.js';

export const REPORT_FRESH_MS = 4_000;

export interface RateWatch {
  observe(): void;
  readonly rate: RateWindow['rate'];
  reset(): void;
}

class ReportRateWatch implements RateWatch {
  private readonly rates = createRateWindow();

  constructor(
    private readonly ledger: Ledger,
    private readonly push: Pick<Push, 'reports' | 'lastContactAt'>,
    private readonly clock: Clock,
  ) {}

  observe(): void {
    const now = this.clock.mono();
    let complete = true;
    for (const name of Object.keys(this.ledger.controlState().proxies)) {
      const at = this.push.lastContactAt(name);
      if (at === null || now - at > REPORT_FRESH_MS) complete = false;
    }
    this.rates.observe(now, this.push.reports().values(), complete);
  }

  rate(model: string, windowMs: number): Rate | null {
    return this.rates.rate(model, windowMs);
  }

  reset(): void {
    this.rates.reset();
  }
}

export function createRateWatch(
  ledger: Ledger,
  push: Pick<Push, 'reports' | 'lastContactAt'>,
  clock: Clock,
): RateWatch {
  return new ReportRateWatch(ledger, push, clock);
}

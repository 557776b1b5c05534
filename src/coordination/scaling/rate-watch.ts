/** Samples the reports of proxies and computes the request rate of each model. */
import { createRateWindow } from '../../state/scaling/rates.js';
import type { RateWindow } from '../../state/scaling/rates.js';
import type { Clock } from '../../transport/clock.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ChangeDistribution } from '../distribution/change-distribution.js';
import type { Rate } from '../../state/scaling/target.js';

/** A proxy that has not reported for this long is not counted, in milliseconds. */
export const REPORT_MAX_AGE_MS = 4_000;

/** `observe` takes a sample, `rate` computes a rate over a window, and `reset` discards all samples. */
export interface RateWatch {
  observe(): void;
  readonly rate: RateWindow['rate'];
  reset(): void;
}

class ReportRateWatch implements RateWatch {
  private readonly rates = createRateWindow();

  constructor(
    private readonly ledger: Ledger,
    private readonly distribution: Pick<ChangeDistribution, 'reports' | 'lastContactAt'>,
    private readonly clock: Clock,
  ) {}

  observe(): void {
    const now = this.clock.mono();
    let complete = true;
    for (const name of Object.keys(this.ledger.controlState().proxies)) {
      const at = this.distribution.lastContactAt(name);
      if (at === null || now - at > REPORT_MAX_AGE_MS) complete = false;
    }
    this.rates.observe(now, this.distribution.reports().values(), complete);
  }

  rate(model: string, windowMs: number): Rate | null {
    return this.rates.rate(model, windowMs);
  }

  reset(): void {
    this.rates.reset();
  }
}

/** Creates a rate watch without samples. */
export function createRateWatch(
  ledger: Ledger,
  distribution: Pick<ChangeDistribution, 'reports' | 'lastContactAt'>,
  clock: Clock,
): RateWatch {
  return new ReportRateWatch(ledger, distribution, clock);
}

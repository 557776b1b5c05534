/**
 * Request rates of each model over a time window, computed from the running totals that proxies report. After a restart
 * a proxy has a new incarnation and its totals start at zero again; they are added to the requests counted before.
 */

import type { Report } from '../distribution/report.js';
import type { Rate } from './target.js';
import { ownValue } from '../../base/own-value.js';

type Sample = { readonly at: number; readonly totals: ReadonlyMap<string, number>; readonly complete: boolean };
type LastTotals = { readonly incarnation: number; readonly totals: Readonly<Record<string, number>> };

/** Samples the reports of proxies and computes rates per second. `rate` is null until samples span a whole window. */
export interface RateWindow {
  observe(at: number, reports: Iterable<Report>, complete: boolean): void;
  rate(model: string, windowMs: number): Rate | null;
  reset(): void;
}

const RETENTION_MS = 3_660_000;

class SampledRateWindow implements RateWindow {
  private samples: Sample[] = [];
  private lastTotals = new Map<string, LastTotals>();
  private runningTotals: ReadonlyMap<string, number> = new Map();

  observe(at: number, reports: Iterable<Report>, complete: boolean): void {
    const isFirst = this.samples.length === 0;
    const nextTotals = new Map(this.runningTotals);
    for (const report of reports) {
      const previous = this.lastTotals.get(report.reporter);
      const restarted = previous !== undefined && previous.incarnation !== report.incarnation;
      for (const [model, count] of Object.entries(report.requests)) {
        const baseline = restarted ? 0 : previous ? (ownValue(previous.totals, model) ?? 0) : isFirst ? count : 0;
        nextTotals.set(model, (nextTotals.get(model) ?? 0) + Math.max(0, count - baseline));
      }
      this.lastTotals.set(report.reporter, { incarnation: report.incarnation, totals: report.requests });
    }
    this.runningTotals = nextTotals;
    this.samples.push({ at, totals: nextTotals, complete });
    if (this.samples.length % 256 === 0) this.samples = this.samples.filter(isRetained);
    function isRetained(sample: Sample): boolean {
      return sample.at >= at - RETENTION_MS;
    }
  }

  rate(model: string, windowMs: number): Rate | null {
    const newest = this.samples[this.samples.length - 1];
    if (!newest) return null;
    let windowStart: Sample | null = null;
    let complete = true;
    for (let i = this.samples.length - 1; i >= 0; i -= 1) {
      const sample = this.samples[i] as Sample;
      if (!sample.complete) complete = false;
      if (newest.at - sample.at >= windowMs) {
        windowStart = sample;
        break;
      }
    }
    if (!windowStart) return null;
    const count = (newest.totals.get(model) ?? 0) - (windowStart.totals.get(model) ?? 0);
    return { perSecond: (count * 1_000) / (newest.at - windowStart.at), complete };
  }

  reset(): void {
    this.samples = [];
    this.lastTotals = new Map();
    this.runningTotals = new Map();
  }
}

/** Creates a window without samples. Samples are kept for about an hour. */
export function createRateWindow(): RateWindow {
  return new SampledRateWindow();
}

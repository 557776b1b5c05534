/**
 * Request rates of each model over windows of time, from the running totals that proxies
 * report. A proxy that restarts counts from zero again and is not counted twice.
 */

import type { Report } from '../distribution/report.js';
import type { Rate } from './target.js';

type Sample = { readonly at: number; readonly totals: Readonly<Record<string, number>>; readonly complete: boolean };
type LastReport = { readonly incarnation: number; readonly last: Readonly<Record<string, number>> };

/** Takes all reports at a moment, and tells rates per second; null before a whole window was seen. */
export interface RateWindow {
  observe(at: number, reports: Iterable<Report>, complete: boolean): void;
  rate(model: string, windowMs: number): Rate | null;
  reset(): void;
}

const KEPT_MS = 3_660_000;

class SampledRateWindow implements RateWindow {
  private samples: Sample[] = [];
  private lastReports = new Map<string, LastReport>();
  private running: Record<string, number> = {};

  observe(at: number, reports: Iterable<Report>, complete: boolean): void {
    const first = this.samples.length === 0;
    const next: Record<string, number> = { ...this.running };
    for (const report of reports) {
      const before = this.lastReports.get(report.reporter);
      const restarted = before !== undefined && before.incarnation !== report.incarnation;
      for (const [model, count] of Object.entries(report.requests)) {
        const base = restarted ? 0 : before ? (before.last[model] ?? 0) : first ? count : 0;
        next[model] = (next[model] ?? 0) + Math.max(0, count - base);
      }
      this.lastReports.set(report.reporter, { incarnation: report.incarnation, last: report.requests });
    }
    this.running = next;
    this.samples.push({ at, totals: next, complete });
    if (this.samples.length % 256 === 0) this.samples = this.samples.filter(fresh);
    function fresh(sample: Sample): boolean {
      return sample.at >= at - KEPT_MS;
    }
  }

  rate(model: string, windowMs: number): Rate | null {
    const last = this.samples[this.samples.length - 1];
    if (!last) return null;
    let from: Sample | null = null;
    let complete = true;
    for (let i = this.samples.length - 1; i >= 0; i -= 1) {
      const sample = this.samples[i] as Sample;
      if (!sample.complete) complete = false;
      if (last.at - sample.at >= windowMs) {
        from = sample;
        break;
      }
    }
    if (!from) return null;
    const count = (last.totals[model] ?? 0) - (from.totals[model] ?? 0);
    return { perSecond: (count * 1_000) / (last.at - from.at), complete };
  }

  reset(): void {
    this.samples = [];
    this.lastReports = new Map();
    this.running = {};
  }
}

/** No samples yet; an hour of them is kept. */
export function createRateWindow(): RateWindow {
  return new SampledRateWindow();
}

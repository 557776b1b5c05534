/**
 * Request rates of each model over windows of time, from the running totals that proxies
 * report. A proxy that restarts counts from zero again and is not counted twice.
 */

import type { Report } from './report.js';
import type { Rate } from './target.js';

type Sample = { readonly at: number; readonly totals: Readonly<Record<string, number>>; readonly whole: boolean };
type Seen = { readonly incarnation: number; readonly last: Readonly<Record<string, number>> };

/** Takes all reports at a moment, and tells rates per second; null before a whole window was seen. */
export type RateWindow = {
  readonly observe: (at: number, reports: Iterable<Report>, whole: boolean) => void;
  readonly rate: (model: string, windowMs: number) => Rate | null;
  readonly reset: () => void;
};

const KEPT_MS = 3_660_000;

/** No samples yet; an hour of them is kept. */
export function createRateWindow(): RateWindow {
  let samples: Sample[] = [];
  let seen = new Map<string, Seen>();
  let running: Record<string, number> = {};

  function observe(at: number, reports: Iterable<Report>, whole: boolean): void {
    const first = samples.length === 0;
    const next: Record<string, number> = { ...running };
    for (const r of reports) {
      const before = seen.get(r.reporter);
      const restarted = before !== undefined && before.incarnation !== r.incarnation;
      for (const [model, n] of Object.entries(r.requests)) {
        const base = restarted ? 0 : before ? (before.last[model] ?? 0) : first ? n : 0;
        next[model] = (next[model] ?? 0) + Math.max(0, n - base);
      }
      seen.set(r.reporter, { incarnation: r.incarnation, last: r.requests });
    }
    running = next;
    samples.push({ at, totals: next, whole });
    if (samples.length % 256 === 0) samples = samples.filter(fresh);
    function fresh(s: Sample): boolean {
      return s.at >= at - KEPT_MS;
    }
  }

  function rate(model: string, windowMs: number): Rate | null {
    const last = samples[samples.length - 1];
    if (!last) return null;
    let from: Sample | null = null;
    let complete = true;
    for (let i = samples.length - 1; i >= 0; i -= 1) {
      const s = samples[i] as Sample;
      if (!s.whole) complete = false;
      if (last.at - s.at >= windowMs) {
        from = s;
        break;
      }
    }
    if (!from) return null;
    const n = (last.totals[model] ?? 0) - (from.totals[model] ?? 0);
    return { perSecond: (n * 1_000) / (last.at - from.at), complete };
  }

  function reset(): void {
    samples = [];
    seen = new Map();
    running = {};
  }
  return { observe, rate, reset };
}

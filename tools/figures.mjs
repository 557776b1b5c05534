/** Statistics of the tools that measure a fleet, computed from its journals. */

/** Returns the value at this fraction of the sorted values, or null without values. */
export function quantile(values, fraction) {
  if (values.length === 0) return null;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
}

/** Formats minimum, median and maximum of the finite values. */
export function spread(values) {
  const sorted = [...values].filter((value) => value !== null && Number.isFinite(value)).sort((a, b) => a - b);
  if (sorted.length === 0) return 'none';
  const median = sorted[Math.floor((sorted.length - 1) / 2)];
  return `${formatNumber(sorted[0])} / ${formatNumber(median)} / ${formatNumber(sorted[sorted.length - 1])}`;
}

function formatNumber(value) {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(Math.abs(value) >= 10 ? 1 : 3);
}

function valuesOf(records, field) {
  return records.map((record) => record[field]);
}

/** Computes request counts, success, shed and retry shares, prefix hits and latencies from journal records. */
export function callerFigures(records) {
  const callers = records.filter((record) => record.who === 'caller');
  const successes = callers.filter((record) => record.result === 'success');
  const streams = successes.filter((record) => record.repeatable);
  const runOnceRequests = successes.filter((record) => !record.repeatable);
  const arrivals = records.filter((record) => record.who === 'worker' && record.event === 'arrived');
  const prefills = records.filter((record) => record.who === 'worker' && record.event === 'prefill');
  const tokens = prefills.reduce((total, record) => total + record.tokens, 0);
  const hits = prefills.reduce((total, record) => total + record.hit, 0);
  const requestCount = new Set(arrivals.map((record) => record.requestId)).size;
  return {
    asked: callers.length,
    success: successes.length / Math.max(1, callers.length),
    shed: callers.filter((record) => record.result.startsWith('shed')).length / Math.max(1, callers.length),
    retries: requestCount === 0 ? 0 : (arrivals.length - requestCount) / requestCount,
    prefixHits: tokens === 0 ? 0 : hits / tokens,
    firstP50: quantile(valuesOf(streams, 'firstMs'), 0.5),
    firstP99: quantile(valuesOf(streams, 'firstMs'), 0.99),
    wholeP50: quantile(valuesOf(streams, 'wholeMs'), 0.5),
    wholeP99: quantile(valuesOf(streams, 'wholeMs'), 0.99),
    onceP50: quantile(valuesOf(runOnceRequests, 'wholeMs'), 0.5),
    onceP99: quantile(valuesOf(runOnceRequests, 'wholeMs'), 0.99),
  };
}

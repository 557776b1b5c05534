export function quantile(xs, q) {
  if (xs.length === 0) return null;
  const sorted = [...xs].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
}

export function spread(xs) {
  const sorted = [...xs].filter((x) => x !== null && Number.isFinite(x)).sort((a, b) => a - b);
  if (sorted.length === 0) return 'none';
  const mid = sorted[Math.floor((sorted.length - 1) / 2)];
  return `${show(sorted[0])} / ${show(mid)} / ${show(sorted[sorted.length - 1])}`;
}

function show(x) {
  return Math.abs(x) >= 100 ? x.toFixed(0) : x.toFixed(Math.abs(x) >= 10 ? 1 : 3);
}

function times(records, field) {
  return records.map((record) => record[field]);
}

export function callerFigures(records) {
  const callers = records.filter((r) => r.who === 'caller');
  const good = callers.filter((r) => r.result === 'success');
  const streams = good.filter((r) => r.repeatable);
  const once = good.filter((r) => !r.repeatable);
  const arrived = records.filter((r) => r.who === 'worker' && r.event === 'arrived');
  const prefills = records.filter((r) => r.who === 'worker' && r.event === 'prefill');
  const tokens = prefills.reduce((n, r) => n + r.tokens, 0);
  const hits = prefills.reduce((n, r) => n + r.hit, 0);
  const firsts = new Set(arrived.map((r) => r.requestId)).size;
  return {
    asked: callers.length,
    success: good.length / Math.max(1, callers.length),
    shed: callers.filter((r) => r.result.startsWith('shed')).length / Math.max(1, callers.length),
    retries: firsts === 0 ? 0 : (arrived.length - firsts) / firsts,
    prefixHits: tokens === 0 ? 0 : hits / tokens,
    firstP50: quantile(times(streams, 'firstMs'), 0.5),
    firstP99: quantile(times(streams, 'firstMs'), 0.99),
    wholeP50: quantile(times(streams, 'wholeMs'), 0.5),
    wholeP99: quantile(times(streams, 'wholeMs'), 0.99),
    onceP50: quantile(times(once, 'wholeMs'), 0.5),
    onceP99: quantile(times(once, 'wholeMs'), 0.99),
  };
}

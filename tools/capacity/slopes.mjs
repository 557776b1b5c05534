import { slopeOf } from './figures.mjs';

export const DESIGN = { nodes: 350, workers: 600, controllers: 9 };

function sum(duties, names, key) {
  return names.reduce((n, d) => n + (duties[d]?.[key] ?? 0), 0);
}

const MEASURES = [];
function measure(role, what, unit, over, of) {
  MEASURES.push({ role, what, unit, over, of });
}
for (const role of ['proxy', 'controller']) {
  const duties =
    role === 'proxy'
      ? ['probing', 'following', 'reporting', 'counts', 'list', 'workers']
      : ['probing', 'following', 'reporting', 'counts', 'ledger', 'leases', 'list', 'scaler'];
  for (const d of duties) {
    const over =
      d === 'list' || d === 'workers' || d === 'scaler'
        ? 'workers'
        : d === 'ledger' || d === 'leases'
          ? 'controllers'
          : 'nodes';
    measure(role, `${d}: messages`, '/s', over, (r) => r.quiet.roles[role].duties[d]?.messages ?? 0);
    measure(role, `${d}: bytes`, 'B/s', over, (r) => r.quiet.roles[role].duties[d]?.bytes ?? 0);
  }
  measure(role, 'all: bytes between regions', 'B/s', 'nodes', (r) =>
    sum(r.quiet.roles[role].duties, duties, 'betweenRegions'),
  );
  measure(role, 'all: bytes between zones of a region', 'B/s', 'nodes', (r) =>
    sum(r.quiet.roles[role].duties, duties, 'betweenZones'),
  );
  measure(role, 'all: bytes inside a zone', 'B/s', 'nodes', (r) => sum(r.quiet.roles[role].duties, duties, 'inZone'));
  measure(role, 'processor time', 'ms/s', 'nodes', (r) => r.quiet.roles[role].cpuMsS);
  measure(role, 'connections open', '', 'nodes', (r) => r.quiet.roles[role].connections);
  measure(role, 'connections dialled', '/s', 'nodes', (r) => r.quiet.roles[role].dialsS);
}
measure(
  'controller',
  'memory resident',
  'MB',
  'nodes',
  (r) => r.quiet.roles.controller.rss.reduce((n, p) => n + p.rss, 0) / r.quiet.roles.controller.rss.length / 1e6,
);
measure('fleet', 'change in force, median of one by one', 'ms', 'nodes', (r) =>
  middle(r.changes.map((c) => c.inForceMs)),
);
measure('fleet', 'change in force, longest of a burst', 'ms', 'nodes', (r) =>
  Math.max(...r.burst.map((c) => c.inForceMs ?? NaN)),
);

function middle(xs) {
  const sorted = xs.filter((x) => x !== null).sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
}

const BY_PROCESS = [
  { what: 'processor time of a process, by its proxies', unit: 'ms/s', of: (p) => p.cpuMsS },
  { what: 'memory resident of a process, by its proxies', unit: 'MB', of: (p) => p.rss / 1e6 },
];

export function slopes(all) {
  const out = [];
  for (const m of BY_PROCESS) {
    const line = slopeOf(
      all.flatMap((r) => r.quiet.roles.proxy.rss.filter((p) => p.cpuMsS !== undefined).map((p) => [p.count, m.of(p)])),
    );
    if (line)
      out.push({
        role: 'proxy',
        what: m.what,
        unit: m.unit,
        over: 'proxies in a process',
        base: line.base,
        slope: line.slope,
        spread: line.spread,
        runs: all.length,
        atDesign: null,
        errorAtDesign: null,
        measuredAtDesign: [],
      });
  }
  for (const m of MEASURES) {
    const points = all.map((r) => [r.options[m.over], m.of(r)]).filter(([, y]) => Number.isFinite(y));
    const line = slopeOf(points);
    if (!line) continue;
    const at = DESIGN[m.over];
    const measured = points.filter(([x]) => x === at).map(([, y]) => y);
    out.push({
      role: m.role,
      what: m.what,
      unit: m.unit,
      over: m.over,
      base: line.base,
      slope: line.slope,
      spread: line.spread,
      runs: line.n,
      atDesign: line.at(at),
      errorAtDesign: line.errorAt(at),
      measuredAtDesign: measured,
    });
  }
  return out;
}

function show(x) {
  if (x === null || x === undefined) return '—';
  const abs = Math.abs(x);
  return abs >= 100 ? x.toFixed(0) : abs >= 1 ? x.toFixed(2) : abs === 0 ? '0' : x.toPrecision(2);
}

export function slopeTable(rows) {
  const lines = [
    '| role | what | over | at none | slope for each | spread of the slope | runs | at the design size by the slope | measured at it |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  for (const r of rows)
    lines.push(
      `| ${r.role} | ${r.what}${r.unit ? `, ${r.unit}` : ''} | ${r.over} | ${show(r.base)} | ${show(r.slope)} | ${r.spread === null ? '—' : `± ${show(r.spread)}`} | ${r.runs} | ${show(r.atDesign)} | ${r.measuredAtDesign.length === 0 ? '—' : r.measuredAtDesign.map(show).join(', ')} |`,
    );
  return lines.join('\n');
}

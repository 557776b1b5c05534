import { fitLine } from './figures.mjs';

/** The fleet size that the system is designed for. */
export const DESIGN_SIZE = { nodes: 350, workers: 600, controllers: 9 };

function sum(duties, names, key) {
  return names.reduce((n, duty) => n + (duties[duty]?.[key] ?? 0), 0);
}

const MEASURES = [];
function addMeasure(role, label, unit, over, valueOf) {
  MEASURES.push({ role, what: label, unit, over, of: valueOf });
}
for (const role of ['proxy', 'controller']) {
  const duties =
    role === 'proxy'
      ? ['probing', 'following', 'reporting', 'counts', 'list', 'workers']
      : ['probing', 'following', 'reporting', 'counts', 'ledger', 'leases', 'list', 'scaler'];
  for (const duty of duties) {
    const over =
      duty === 'list' || duty === 'workers' || duty === 'scaler'
        ? 'workers'
        : duty === 'ledger' || duty === 'leases'
          ? 'controllers'
          : 'nodes';
    addMeasure(role, `${duty}: messages`, '/s', over, (r) => r.quiet.roles[role].duties[duty]?.messages ?? 0);
    addMeasure(role, `${duty}: bytes`, 'B/s', over, (r) => r.quiet.roles[role].duties[duty]?.bytes ?? 0);
  }
  addMeasure(role, 'all: bytes between regions', 'B/s', 'nodes', (r) =>
    sum(r.quiet.roles[role].duties, duties, 'betweenRegions'),
  );
  addMeasure(role, 'all: bytes between zones of a region', 'B/s', 'nodes', (r) =>
    sum(r.quiet.roles[role].duties, duties, 'betweenZones'),
  );
  addMeasure(role, 'all: bytes inside a zone', 'B/s', 'nodes', (r) =>
    sum(r.quiet.roles[role].duties, duties, 'inZone'),
  );
  addMeasure(role, 'processor time', 'ms/s', 'nodes', (r) => r.quiet.roles[role].cpuMsS);
  addMeasure(role, 'connections open', '', 'nodes', (r) => r.quiet.roles[role].connections);
  addMeasure(role, 'connections dialled', '/s', 'nodes', (r) => r.quiet.roles[role].dialsS);
}
addMeasure(
  'controller',
  'memory resident',
  'MB',
  'nodes',
  (r) => r.quiet.roles.controller.rss.reduce((n, p) => n + p.rss, 0) / r.quiet.roles.controller.rss.length / 1e6,
);
addMeasure('fleet', 'change in force, median of one by one', 'ms', 'nodes', (r) =>
  median(r.changes.map((c) => c.inForceMs)),
);
addMeasure('fleet', 'change in force, longest of a burst', 'ms', 'nodes', (r) =>
  Math.max(...r.burst.map((c) => c.inForceMs ?? NaN)),
);

function median(values) {
  const sorted = values.filter((value) => value !== null).sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
}

const MEASURES_BY_PROCESS = [
  { what: 'processor time of a process, by its proxies', unit: 'ms/s', of: (p) => p.cpuMsS },
  { what: 'memory resident of a process, by its proxies', unit: 'MB', of: (p) => p.rss / 1e6 },
];

/** Fits a line to each measure over the recorded runs and evaluates it at the design size. */
export function computeSlopes(records) {
  const out = [];
  for (const measure of MEASURES_BY_PROCESS) {
    const line = fitLine(
      records.flatMap((r) =>
        r.quiet.roles.proxy.rss.filter((p) => p.cpuMsS !== undefined).map((p) => [p.count, measure.of(p)]),
      ),
    );
    if (line)
      out.push({
        role: 'proxy',
        what: measure.what,
        unit: measure.unit,
        over: 'proxies in a process',
        base: line.intercept,
        slope: line.slope,
        spread: line.standardError,
        runs: records.length,
        atDesign: null,
        errorAtDesign: null,
        measuredAtDesign: [],
      });
  }
  for (const measure of MEASURES) {
    const points = records.map((r) => [r.options[measure.over], measure.of(r)]).filter(([, y]) => Number.isFinite(y));
    const line = fitLine(points);
    if (!line) continue;
    const designSize = DESIGN_SIZE[measure.over];
    const measurements = points.filter(([size]) => size === designSize).map(([, y]) => y);
    out.push({
      role: measure.role,
      what: measure.what,
      unit: measure.unit,
      over: measure.over,
      base: line.intercept,
      slope: line.slope,
      spread: line.standardError,
      runs: line.n,
      atDesign: line.valueAt(designSize),
      errorAtDesign: line.standardErrorAt(designSize),
      measuredAtDesign: measurements,
    });
  }
  return out;
}

function formatNumber(value) {
  if (value === null || value === undefined) return '—';
  const abs = Math.abs(value);
  return abs >= 100 ? value.toFixed(0) : abs >= 1 ? value.toFixed(2) : abs === 0 ? '0' : value.toPrecision(2);
}

/** Formats the fitted lines as a table in Markdown. */
export function formatSlopeTable(rows) {
  const lines = [
    '| role | what | over | at none | slope for each | spread of the slope | runs | at the design size by the slope | measured at it |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  for (const r of rows)
    lines.push(
      `| ${r.role} | ${r.what}${r.unit ? `, ${r.unit}` : ''} | ${r.over} | ${formatNumber(r.base)} | ${formatNumber(r.slope)} | ${r.spread === null ? '—' : `± ${formatNumber(r.spread)}`} | ${r.runs} | ${formatNumber(r.atDesign)} | ${r.measuredAtDesign.length === 0 ? '—' : r.measuredAtDesign.map(formatNumber).join(', ')} |`,
    );
  return lines.join('\n');
}

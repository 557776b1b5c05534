import { mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';

/** Reads all records of capacity runs in a folder. */
export function readRecords(folder) {
  const out = [];
  for (const file of readdirSync(folder).sort())
    if (/^capacity-.*\.json$/.test(file)) out.push({ file, ...JSON.parse(readFileSync(join(folder, file), 'utf8')) });
  return out;
}

function versionOf(r) {
  return r.name.startsWith('before') ? 'before' : 'now';
}
function figuresOfRole(r, name) {
  return r.quiet.roles[name];
}
function bytesOf(r, name, duties) {
  let sum = 0;
  for (const [duty, d] of Object.entries(figuresOfRole(r, name).duties)) if (duties.includes(duty)) sum += d.bytes;
  return sum;
}
function memoryOf(r, name) {
  const rows = figuresOfRole(r, name).rss;
  return rows.reduce((n, p) => n + p.rss, 0) / rows.length / 1e6;
}
function points(records, x, y) {
  return records.flatMap((r) => {
    const value = y(r);
    return value === null || value === undefined || Number.isNaN(value)
      ? []
      : [{ x: x(r), y: value, run: versionOf(r) }];
  });
}
function series(records, x, parts) {
  return records.flatMap((r) => Object.entries(parts).flatMap(([name, y]) => [{ x: x(r), y: y(r), run: name }]));
}
const nodes = (r) => r.options.nodes;
const workers = (r) => r.options.workers;

const CONTROL_DUTIES = ['probing', 'following', 'reporting', 'counts'];

export const PLOTS = {
  'proxy-bytes': {
    title: 'A proxy: bytes a second for probing, following, reporting and counts',
    x: 'nodes',
    y: 'bytes a second',
    of: (records) => points(records, nodes, (r) => bytesOf(r, 'proxy', CONTROL_DUTIES)),
    limit: 5_000,
  },
  'proxy-duties': {
    title: 'A proxy now: bytes a second by duty',
    x: 'nodes',
    y: 'bytes a second',
    of: (records) =>
      series(
        records.filter((r) => versionOf(r) === 'now'),
        nodes,
        Object.fromEntries([...CONTROL_DUTIES, 'list', 'workers'].map((d) => [d, (r) => bytesOf(r, 'proxy', [d])])),
      ),
  },
  'proxy-processor': {
    title: 'A proxy: processor time',
    x: 'nodes',
    y: 'ms a second',
    of: (records) => points(records, nodes, (r) => figuresOfRole(r, 'proxy').cpuMsS),
    limit: 10,
  },
  'proxy-list': {
    title: "A proxy: bytes a second for reading the platform's list itself",
    x: 'workers',
    y: 'bytes a second',
    of: (records) => points(records, workers, (r) => bytesOf(r, 'proxy', ['list'])),
  },
  'controller-bytes': {
    title: 'A controller: bytes a second',
    x: 'nodes',
    y: 'bytes a second',
    of: (records) => points(records, nodes, (r) => figuresOfRole(r, 'controller').bytesS),
  },
  'controller-processor': {
    title: 'A controller: processor time',
    x: 'nodes',
    y: 'ms a second',
    of: (records) => points(records, nodes, (r) => figuresOfRole(r, 'controller').cpuMsS),
  },
  'controller-memory': {
    title: 'A controller: memory resident',
    x: 'nodes',
    y: 'MB',
    of: (records) => points(records, nodes, (r) => memoryOf(r, 'controller')),
  },
  'in-force': {
    title: 'A change one by one, until in force everywhere',
    x: 'nodes',
    y: 'ms',
    of: (records) =>
      records.flatMap((r) =>
        r.changes.filter((c) => c.inForceMs !== null).map((c) => ({ x: nodes(r), y: c.inForceMs, run: versionOf(r) })),
      ),
    limit: 8_000,
    log: true,
  },
};

/** Writes each plot as an SVG file into the folder and returns the names of the plots. */
export async function drawPlots(records, folder) {
  mkdirSync(folder, { recursive: true });
  const drawn = [];
  for (const [name, p] of Object.entries(PLOTS)) {
    const values = p.of(records);
    const xs = { field: 'x', type: 'quantitative', title: p.x };
    const ys = { field: 'y', type: 'quantitative', title: p.y, ...(p.log ? { scale: { type: 'log' } } : {}) };
    const layer = [
      {
        mark: { type: 'point', filled: true, size: 40 },
        encoding: { x: xs, y: ys, color: { field: 'run', type: 'nominal', title: null } },
      },
      {
        mark: { type: 'line', opacity: 0.6 },
        encoding: { x: xs, y: { ...ys, aggregate: 'mean' }, color: { field: 'run', type: 'nominal', title: null } },
      },
    ];
    if (p.limit !== undefined)
      layer.push({
        data: { values: [{ y: p.limit }] },
        mark: { type: 'rule', strokeDash: [4, 3] },
        encoding: { y: { field: 'y', type: 'quantitative' } },
      });
    const spec = compile({
      $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
      title: p.title,
      width: 420,
      height: 220,
      background: 'white',
      data: { values },
      layer,
    }).spec;
    const svg = await new View(parse(spec), { renderer: 'none' }).toSVG();
    writeFileSync(join(folder, `${name}.svg`), `${svg}\n`);
    drawn.push(name);
  }
  return drawn;
}

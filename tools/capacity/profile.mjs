import { readFileSync } from 'node:fs';
import { join } from 'node:path';

const DUTY_BY_FILE = [
  [/standin\/(tally|hollow)\.js|programs\/(tally-file|hollow)\.js/, () => 'measuring'],
  [/members\/membership\.js|state\/members\.js/, () => 'probing'],
  [/edge\/worker-watch\.js/, (f) => (/probe/i.test(f) ? 'workers' : 'list')],
  [/state\/worker-(table|pools)\.js|edge\/list-|list-/, () => 'list'],
  [/ledger\/push\.js/, (f) => (/report|gossip|merge/i.test(f) ? 'reporting' : 'following')],
  [/state\/reports\.js/, () => 'reporting'],
  [/edge\/proxy\.js/, () => 'reporting'],
  [/ledger\/follower\.js|state\/shared-time\.js/, () => 'following'],
  [/ledger\/lease\.js|state\/lease-book\.js/, () => 'leases'],
  [/ledger\/(aim-keeper)\.js|state\/aim-/, () => 'counts'],
  [/ledger\/(operator-server)\.js|settings-tree\.js|protocol\/configuration\.js/, () => 'configuration'],
  [/scaling\/|state\/(scaler-decide|zone-sets|target|rates)\.js/, () => 'scaler'],
  [/ledger\/claims\.js|state\/claim-table\.js/, () => 'claims'],
  [/ledger\/(ledger|store)\.js|transport\/(ring|disk)\.js|state\/(control state|acceptor|entry)\.js/, () => 'ledger'],
  [/edge\/|state\//, () => 'edge'],
];
const DUTY_BY_OUTER_FILE = [
  [/transport\/wire\.js|members\/peers\.js|protocol\/messages\.js/, 'wire'],
  [
    /transport\/(caller|server)\.js|node_modules\/(got|express|body-parser|keyv|cacheable|responselike|http-|@szmarczak|@sindresorhus|router|finalhandler|send)|node:(_http|http)|undici/,
    'http',
  ],
];

function dutyOfStack(nodes, parent, id) {
  let outerDuty = null;
  for (let nodeId = id; nodeId !== undefined; nodeId = parent.get(nodeId)) {
    const { url, functionName } = nodes.get(nodeId).callFrame;
    if (functionName === '(garbage collector)') return 'collecting';
    if (functionName === '(program)') return 'kernel and runtime';
    if (functionName === '(idle)') return null;
    for (const [test, name] of DUTY_BY_FILE) if (test.test(url)) return name(functionName);
    if (outerDuty === null) for (const [test, name] of DUTY_BY_OUTER_FILE) if (test.test(url)) outerDuty = name;
  }
  return outerDuty ?? 'kernel and runtime';
}

/** Computes processor time per duty, second and process of each role from the CPU profiles in a folder. */
export function dutyShares(folder, processes, fromNs, toNs) {
  const roles = {};
  for (const p of processes) {
    let profile;
    try {
      profile = JSON.parse(readFileSync(join(folder, `${p.name}.cpuprofile`), 'utf8'));
    } catch {
      continue;
    }
    const nodes = new Map(profile.nodes.map((n) => [n.id, n]));
    const parent = new Map();
    for (const n of profile.nodes) for (const c of n.children ?? []) parent.set(c, n.id);
    const dutyById = new Map();
    roles[p.role] ??= { count: 0, ms: {} };
    roles[p.role].count += p.count;
    let time = profile.startTime;
    for (let i = 0; i < profile.samples.length; i += 1) {
      time += profile.timeDeltas[i];
      if (time * 1000 < fromNs || time * 1000 > toNs) continue;
      const id = profile.samples[i];
      if (!dutyById.has(id)) dutyById.set(id, dutyOfStack(nodes, parent, id));
      const duty = dutyById.get(id);
      if (duty !== null) roles[p.role].ms[duty] = (roles[p.role].ms[duty] ?? 0) + profile.timeDeltas[i] / 1000;
    }
  }
  const s = (toNs - fromNs) / 1e9;
  const out = {};
  for (const [role, { count, ms }] of Object.entries(roles))
    out[role] = Object.fromEntries(
      Object.entries(ms)
        .sort((a, b) => b[1] - a[1])
        .map(([duty, t]) => [duty, Number((t / s / count).toFixed(3))]),
    );
  return out;
}

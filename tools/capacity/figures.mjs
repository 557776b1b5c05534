/** The kinds of messages and calls that each duty sends. */
export const DUTIES = {
  probing: ['probe', 'probeFor', 'probeAnswer'],
  following: ['follow', 'attend', 'unfollow', 'changes', 'followed', 'confirmed', 'beat'],
  reporting: ['reports', 'reportsAsk', 'outlived', 'usage', 'usages', 'fleetLoad'],
  counts: ['counts'],
  leases: ['leaseAsk', 'leaseAnswer', 'leaseDrop'],
  ledger: [
    'prepare',
    'accept',
    'promised',
    'accepted',
    'outbid',
    'alreadyChosen',
    'cannotVote',
    'learned',
    'memberStatusAsk',
    'memberStatus',
    'fetch',
    'fetched',
    'bootstrap',
    'bootstrapAnswer',
    'rejoin',
    'done',
  ],
  claims: ['claim', 'claimAnswer', 'claimEnds', 'claimsAsk', 'claimsPage'],
  list: ['listAsk', 'listTold', 'GET:/v1/workers'],
  workers: ['GET:/v1/health'],
  scaler: ['POST:/v1/machines', 'GET:/v1/machines', 'GET:/v1/prices'],
};
const DUTY_OF = new Map(Object.entries(DUTIES).flatMap(([duty, kinds]) => kinds.map((kind) => [kind, duty])));

export function dutyOf(kind) {
  return DUTY_OF.get(kind) ?? (kind.startsWith('list') ? 'list' : kind.includes('/v1/') ? 'scaler' : 'other');
}

function countersSince(earlier, later) {
  const out = {};
  for (const [key, row] of Object.entries(later ?? {})) {
    const previous = earlier?.[key] ?? { n: 0, bytes: 0 };
    out[key] = { n: row.n - previous.n, bytes: row.bytes - previous.bytes };
  }
  return out;
}

function dutyRow(table, role, name) {
  table[role] ??= {};
  table[role][name] ??= { messages: 0, bytes: 0, sent: 0, received: 0, inZone: 0, betweenZones: 0, betweenRegions: 0 };
  return table[role][name];
}

/** Computes messages, bytes, processor time and connections per role, process and second between two snapshots. */
export function figuresBetween(earlier, later) {
  const counts = {};
  const rss = {};
  const roles = {};
  const duties = {};
  const connections = {};
  const dialled = {};
  const kinds = {};
  const s = (later.at - earlier.at) / 1000;
  for (const now of later.parts) {
    const previous = earlier.parts.find((p) => p.name === now.name);
    if (!previous?.proc || !now.proc) continue;
    counts[now.role] = (counts[now.role] ?? 0) + now.count;
    rss[now.role] ??= [];
    rss[now.role].push({
      rss: now.proc.rss,
      heap: now.tally?.heapUsed ?? null,
      count: now.count,
      cpuMsS: Number(((1000 * (now.proc.cpuS - previous.proc.cpuS)) / s).toFixed(2)),
    });
    roles[now.role] ??= { cpuS: 0, procs: [] };
    roles[now.role].cpuS += now.proc.cpuS - previous.proc.cpuS;
    roles[now.role].procs.push(Number(((1000 * (now.proc.cpuS - previous.proc.cpuS)) / s / now.count).toFixed(3)));
    const span = (now.tally.at - previous.tally.at) / 1000;
    for (const [key, d] of Object.entries(countersSince(previous.tally.rows, now.tally.rows))) {
      const [own, peer, distance, way, kind] = key.split(' ');
      if (way === 'connections') {
        if (kind === 'open')
          for (const role of [own, peer]) connections[role] = (connections[role] ?? 0) + now.tally.rows[key].n;
        else for (const role of [own, peer]) dialled[role] = (dialled[role] ?? 0) + d.n / span;
        continue;
      }
      if (d.n === 0) continue;
      for (const [role, sends] of [
        [own, way === 'out'],
        [peer, way === 'in'],
      ]) {
        const name = `${role} ${kind}`;
        kinds[name] ??= [0, 0];
        kinds[name][0] += d.n / span;
        kinds[name][1] += d.bytes / span;
        const row = dutyRow(duties, role, dutyOf(kind));
        row.messages += d.n / span;
        row.bytes += d.bytes / span;
        row[sends ? 'sent' : 'received'] += d.bytes / span;
        row[distance] += d.bytes / span;
      }
    }
  }
  for (const [role, table] of Object.entries(duties)) {
    const n = counts[role] ?? 1;
    for (const row of Object.values(table))
      for (const key of Object.keys(row)) row[key] = Number((row[key] / n).toFixed(3));
    roles[role] ??= { cpuS: 0, procs: [] };
  }
  const out = {};
  for (const [role, r] of Object.entries(roles)) {
    const n = counts[role] ?? 1;
    const table = duties[role] ?? {};
    const sum = (key) => Object.values(table).reduce((x, row) => x + row[key], 0);
    out[role] = {
      count: counts[role] ?? null,
      cpuMsS: (1000 * r.cpuS) / s / n,
      procs: r.procs,
      messagesS: sum('messages'),
      bytesS: sum('bytes'),
      connections: (connections[role] ?? 0) / n,
      dialsS: (dialled[role] ?? 0) / n,
      rss: rss[role] ?? [],
      duties: table,
    };
  }
  for (const [name, row] of Object.entries(kinds))
    kinds[name] = row.map((x) => Number((x / (counts[name.split(' ')[0]] ?? 1)).toFixed(3)));
  return { kinds, seconds: Number(s.toFixed(2)), fromNs: earlier.ns, toNs: later.ns, roles: out };
}

export function perNode(window) {
  const s = window.roles.proxy;
  return { nodeBytesS: s.bytesS, nodeMessagesS: s.messagesS, nodeCpuMsS: s.cpuMsS };
}

/** Fits a straight line by least squares; returns it with the standard errors of its slope and of its values. */
export function fitLine(points) {
  const n = points.length;
  if (n < 2) return null;
  const meanX = points.reduce((sum, p) => sum + p[0], 0) / n;
  const meanY = points.reduce((sum, p) => sum + p[1], 0) / n;
  const sxx = points.reduce((sum, p) => sum + (p[0] - meanX) ** 2, 0);
  if (sxx === 0) return null;
  const slope = points.reduce((sum, p) => sum + (p[0] - meanX) * (p[1] - meanY), 0) / sxx;
  const intercept = meanY - slope * meanX;
  const residualSquares = points.reduce((sum, p) => sum + (p[1] - intercept - slope * p[0]) ** 2, 0);
  const standardError = n > 2 ? Math.sqrt(residualSquares / (n - 2) / sxx) : null;
  function valueAt(x) {
    return intercept + slope * x;
  }
  function standardErrorAt(x) {
    return n > 2 ? Math.sqrt((residualSquares / (n - 2)) * (1 / n + (x - meanX) ** 2 / sxx)) : null;
  }
  return { slope, intercept, standardError, n, valueAt, standardErrorAt };
}

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
  const elapsedS = (later.at - earlier.at) / 1000;
  for (const current of later.parts) {
    const previous = earlier.parts.find((p) => p.name === current.name);
    if (!previous?.proc || !current.proc) continue;
    counts[current.role] = (counts[current.role] ?? 0) + current.count;
    rss[current.role] ??= [];
    rss[current.role].push({
      rss: current.proc.rss,
      heap: current.tally?.heapUsed ?? null,
      count: current.count,
      cpuMsS: Number(((1000 * (current.proc.cpuS - previous.proc.cpuS)) / elapsedS).toFixed(2)),
    });
    roles[current.role] ??= { cpuS: 0, procs: [] };
    roles[current.role].cpuS += current.proc.cpuS - previous.proc.cpuS;
    roles[current.role].procs.push(
      Number(((1000 * (current.proc.cpuS - previous.proc.cpuS)) / elapsedS / current.count).toFixed(3)),
    );
    const tallyElapsedS = (current.tally.at - previous.tally.at) / 1000;
    for (const [key, delta] of Object.entries(countersSince(previous.tally.rows, current.tally.rows))) {
      const [ownRole, peerRole, distance, direction, kind] = key.split(' ');
      if (direction === 'connections') {
        if (kind === 'open')
          for (const role of [ownRole, peerRole])
            connections[role] = (connections[role] ?? 0) + current.tally.rows[key].n;
        else for (const role of [ownRole, peerRole]) dialled[role] = (dialled[role] ?? 0) + delta.n / tallyElapsedS;
        continue;
      }
      if (delta.n === 0) continue;
      for (const [role, isSender] of [
        [ownRole, direction === 'out'],
        [peerRole, direction === 'in'],
      ]) {
        const name = `${role} ${kind}`;
        kinds[name] ??= [0, 0];
        kinds[name][0] += delta.n / tallyElapsedS;
        kinds[name][1] += delta.bytes / tallyElapsedS;
        const row = dutyRow(duties, role, dutyOf(kind));
        row.messages += delta.n / tallyElapsedS;
        row.bytes += delta.bytes / tallyElapsedS;
        row[isSender ? 'sent' : 'received'] += delta.bytes / tallyElapsedS;
        row[distance] += delta.bytes / tallyElapsedS;
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
      cpuMsS: (1000 * r.cpuS) / elapsedS / n,
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
  return { kinds, seconds: Number(elapsedS.toFixed(2)), fromNs: earlier.ns, toNs: later.ns, roles: out };
}

export function perNode(window) {
  const proxyFigures = window.roles.proxy;
  return { nodeBytesS: proxyFigures.bytesS, nodeMessagesS: proxyFigures.messagesS, nodeCpuMsS: proxyFigures.cpuMsS };
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

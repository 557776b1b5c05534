import { mkdirSync, rmSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { createChildren, procOf, tallyOf } from './children.mjs';
import { between, perNode } from './figures.mjs';
import { planOf } from './plan.mjs';
import { dutyShares } from './profile.mjs';

async function ask(address, path, body, waitMs = 12_000) {
  const init =
    body === undefined
      ? {}
      : { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) };
  const res = await fetch(`http://${address}${path}`, { ...init, signal: AbortSignal.timeout(waitMs) });
  return { status: res.status, body: await res.json().catch(() => null) };
}

async function until(what, seconds, test) {
  const from = performance.now();
  while (performance.now() - from < seconds * 1000) {
    if (await Promise.resolve(test()).catch(() => false)) return (performance.now() - from) / 1000;
    await sleep(100);
  }
  throw new Error(`${what}: not within ${seconds} s`);
}

export async function runOnce(options, say) {
  const {
    nodes,
    workers,
    controllers,
    settle,
    seconds,
    changes,
    burst,
    restarts,
    zoneLoss,
    profile,
    bin,
    folder,
    port,
    tenants,
    wholeProbes,
  } = options;
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const plan = planOf({ folder, nodes, workers, controllers, port, wholeProbes, tenants });
  const children = createChildren(bin, folder, profile);
  function interrupted() {
    children.end().then(() => process.exit(130));
  }
  process.on('SIGINT', interrupted);
  process.on('SIGTERM', interrupted);
  const watch = setInterval(() => {
    if (children.withinMemory()) return;
    process.stderr.write('the fleet passed 8 GB; it is ended\n');
    children.end().then(() => process.exit(1));
  }, 1_000);
  try {
    return await played();
  } finally {
    clearInterval(watch);
    await children.end();
    process.off('SIGINT', interrupted);
    process.off('SIGTERM', interrupted);
    if (!profile) rmSync(folder, { recursive: true, force: true });
  }

  async function played() {
    const parts = plan.children.map((c) => children.start(c));
    const heads = plan.heads;
    const head = heads[0].http;
    await until('controllers', 40, async () =>
      (await Promise.all(heads.map((h) => ask(h.http, '/v1/status')))).every((r) => r.status === 200),
    );
    const bootstrapped = await ask(head, '/v1/bootstrap', { members: plan.seeds });
    if (bootstrapped.status !== 200) throw new Error(`bootstrap answered ${bootstrapped.status}`);
    const applied = await ask(head, '/v1/configuration', { base: 0, configuration: plan.configuration });
    if (applied.status !== 200)
      throw new Error(`the configuration was answered ${applied.status} ${JSON.stringify(applied.body).slice(0, 300)}`);
    const startedAt = performance.now();
    for (const h of plan.hollow) parts.push(children.start(h));
    const edges = parts.filter((p) => p.role === 'proxy');
    const serving = () => edges.reduce((n, p) => n + (tallyOf(p)?.extra?.serving ?? 0), 0);
    const starting = setInterval(() => say(`${serving()} proxies serve`), 5_000);
    const servingS = await until('all proxies serving', 120, () => serving() === nodes).finally(() =>
      clearInterval(starting),
    );
    say(`${nodes} proxies serve after ${((performance.now() - startedAt) / 1000).toFixed(1)} s`);
    const ordered = await until('workers', 60, async () => {
      const { orders } = (await ask(head, '/v1/orders')).body;
      return orders.filter((o) => o.status === 'ready').length >= plan.ordered;
    }).catch(() => null);
    await sleep(settle * 1000);

    function snapshot() {
      return {
        at: performance.now(),
        ns: Number(process.hrtime.bigint()),
        load: null,
        parts: parts
          .filter((p) => !p.gone)
          .map((p) => ({ name: p.name, role: p.role, count: p.count, proc: procOf(p.pid), tally: tallyOf(p) })),
      };
    }
    async function windowOf(s, during = async () => {}) {
      await sleep(300);
      const a = snapshot();
      const due = sleep(s * 1000);
      await during();
      await due;
      await sleep(300);
      const b = snapshot();
      return between(a, b);
    }
    async function versionNow() {
      return (await ask(head, '/v1/configuration')).body.version;
    }
    let value = 100;
    async function change(at, base) {
      value = value >= 9_000 ? 101 : value + 1;
      const from = hostMs();
      const got = await ask(heads[at % heads.length].http, '/v1/configuration/amend', {
        base,
        changes: [{ path: ['deployment', 'lineLimit'], value }],
      });
      return { status: got.status, version: got.body?.version ?? null, from, ackMs: Math.round(hostMs() - from) };
    }
    function inForceMs(c, left = edges) {
      let last = 0;
      for (const p of left) {
        if (p.gone) continue;
        const t = tallyOf(p);
        const at = Object.entries(t?.extra?.inForceAt ?? {})
          .filter(([e]) => Number(e) >= c.version)
          .map(([, ms]) => ms - t.at + t.hostMs);
        if (at.length === 0) return null;
        last = Math.max(last, Math.min(...at));
      }
      return Math.round(last - c.from);
    }
    async function changed(list, n, pauseMs) {
      let base = await versionNow();
      for (let i = 0; i < n; i += 1) {
        const c = await change(i, base);
        list.push(c);
        base = c.version ?? (await versionNow());
        if (pauseMs > 0) await sleep(pauseMs);
      }
    }

    const quiet = await windowOf(seconds);
    say(
      `quiet: ${(quiet.roles.proxy.bytesS / 1000).toFixed(1)} KB, ${quiet.roles.proxy.messagesS.toFixed(1)} messages and ${quiet.roles.proxy.cpuMsS.toFixed(1)} ms a proxy and second; controller ${(quiet.roles.controller.bytesS / 1000).toFixed(0)} KB, ${quiet.roles.controller.cpuMsS.toFixed(0)} ms`,
    );

    const single = [];
    const withChanges =
      changes > 0 ? await windowOf(Math.max(4, changes * 0.6), () => changed(single, changes, 400)) : null;
    await sleep(600);
    for (const c of single) c.inForceMs = inForceMs(c);
    const row = [];
    const burstFrom = performance.now();
    const withBurst = burst > 0 ? await windowOf(2, () => changed(row, burst, 0)) : null;
    const burstS = (performance.now() - burstFrom) / 1000;
    await sleep(800);
    for (const c of row) c.inForceMs = inForceMs(c);
    if (changes > 0)
      say(
        `changes in force: ${spreadOf(single.map((c) => c.inForceMs))} ms one by one, ${spreadOf(row.map((c) => c.inForceMs))} ms of ${burst} at once`,
      );

    let withRestarts = null;
    if (restarts > 0) {
      withRestarts = await windowOf(Math.max(8, restarts / edges.length + 6), async () => {
        for (const p of edges) children.tell(p, `restart ${Math.ceil(restarts / edges.length)}`);
      });
      withRestarts.restarted = Math.ceil(restarts / edges.length) * edges.length;
    }

    let lost = null;
    if (zoneLoss) {
      const zone = plan.zones[1].zone;
      const gone = parts.filter((p) => p.at.zone === zone && !p.gone);
      const names = new Set();
      const fleet = await windowOf(12, async () => {
        const from = performance.now();
        for (const p of gone) p.proc.kill('SIGKILL');
        const c = await change(0, await versionNow());
        await sleep(3_000);
        lost = {
          zone,
          proxies: gone.filter((p) => p.role === 'proxy').reduce((n, p) => n + p.count, 0),
          controllers: gone.filter((p) => p.role === 'controller').length,
          change: { status: c.status, ackMs: c.ackMs, inForceMs: inForceMs(c) },
        };
        const dead = await until('the lost ones known as dead', 30, async () => {
          const { nodes: seen } = (await ask(head, '/v1/status')).body;
          for (const n of seen) if (n.zone === zone && n.status === 'dead') names.add(n.name);
          return seen.filter((n) => n.zone === zone).every((n) => n.status === 'dead');
        }).catch(() => null);
        lost.allDeadS = dead === null ? null : (performance.now() - from) / 1000;
      });
      lost.window = fleet;
      lost.stillServing = serving();
    }
    const memoryMost = children.memory();
    await children.end();
    const shares = profile ? dutyShares(folder, parts, quiet.fromNs, quiet.toNs) : null;
    return {
      options: {
        nodes,
        workers,
        controllers,
        settle,
        seconds,
        changes,
        burst,
        restarts,
        zoneLoss,
        profile,
        tenants,
        wholeProbes,
      },
      startedS: servingS,
      orderedS: ordered,
      memoryMost,
      processes: parts.length,
      quiet,
      changes: single.map(short),
      withChanges,
      burst: row.map(short),
      burstS,
      withBurst,
      withRestarts,
      lost,
      shares,
      perNode: perNode(quiet),
    };
  }
}

function hostMs() {
  return Number(process.hrtime.bigint()) / 1e6;
}
function short(c) {
  return { status: c.status, ackMs: c.ackMs, inForceMs: c.inForceMs };
}
function spreadOf(xs) {
  const sorted = xs.filter((x) => x !== null).sort((a, b) => a - b);
  if (sorted.length === 0) return 'none';
  return `${sorted[0]} / ${sorted[Math.floor((sorted.length - 1) / 2)]} / ${sorted[sorted.length - 1]}`;
}

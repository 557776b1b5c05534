import { mkdirSync, rmSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { createChildren, readProcessStats, readTally } from './children.mjs';
import { figuresBetween, perNode } from './figures.mjs';
import { createPlan } from './plan.mjs';
import { dutyShares } from './profile.mjs';

async function sendRequest(address, path, body, timeoutMs = 12_000) {
  const requestInit =
    body === undefined
      ? {}
      : { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) };
  const res = await fetch(`http://${address}${path}`, { ...requestInit, signal: AbortSignal.timeout(timeoutMs) });
  return { status: res.status, body: await res.json().catch(() => null) };
}

async function waitFor(description, seconds, condition) {
  const startedAt = performance.now();
  while (performance.now() - startedAt < seconds * 1000) {
    if (await Promise.resolve(condition()).catch(() => false)) return (performance.now() - startedAt) / 1000;
    await sleep(100);
  }
  throw new Error(`${description}: timed out after ${seconds} s`);
}

/** Makes one capacity run: starts a fleet, measures it at rest, under changes and failures; returns the record. */
export async function runOnce(options, log) {
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
  const plan = createPlan({ folder, nodes, workers, controllers, port, wholeProbes, tenants });
  const children = createChildren(bin, folder, profile);
  function onInterrupt() {
    children.stopAll().then(() => process.exit(130));
  }
  process.on('SIGINT', onInterrupt);
  process.on('SIGTERM', onInterrupt);
  const memoryCheckTimer = setInterval(() => {
    if (children.isWithinMemoryLimit()) return;
    process.stderr.write('the fleet exceeded its memory limit of 8 GB; stopping it\n');
    children.stopAll().then(() => process.exit(1));
  }, 1_000);
  try {
    return await measure();
  } finally {
    clearInterval(memoryCheckTimer);
    await children.stopAll();
    process.off('SIGINT', onInterrupt);
    process.off('SIGTERM', onInterrupt);
    if (!profile) rmSync(folder, { recursive: true, force: true });
  }

  async function measure() {
    const processes = plan.children.map((child) => children.start(child));
    const controllerNodes = plan.controllerNodes;
    const firstController = controllerNodes[0].http;
    await waitFor('controllers', 40, async () =>
      (await Promise.all(controllerNodes.map((node) => sendRequest(node.http, '/v1/status')))).every(
        (r) => r.status === 200,
      ),
    );
    const bootstrapped = await sendRequest(firstController, '/v1/bootstrap', { members: plan.seeds });
    if (bootstrapped.status !== 200) throw new Error(`bootstrap failed with status ${bootstrapped.status}`);
    const applied = await sendRequest(firstController, '/v1/configuration', {
      base: 0,
      configuration: plan.configuration,
    });
    if (applied.status !== 200)
      throw new Error(
        `the configuration was rejected with status ${applied.status}: ${JSON.stringify(applied.body).slice(0, 300)}`,
      );
    const startedAt = performance.now();
    for (const child of plan.hollow) processes.push(children.start(child));
    const proxyProcesses = processes.filter((p) => p.role === 'proxy');
    const countServing = () => proxyProcesses.reduce((n, p) => n + (readTally(p)?.extra?.serving ?? 0), 0);
    const progressTimer = setInterval(() => log(`${countServing()} proxies are serving`), 5_000);
    const servingS = await waitFor('all proxies serving', 120, () => countServing() === nodes).finally(() =>
      clearInterval(progressTimer),
    );
    log(`${nodes} proxies are serving after ${((performance.now() - startedAt) / 1000).toFixed(1)} s`);
    const readyS = await waitFor('workers', 60, async () => {
      const { orders } = (await sendRequest(firstController, '/v1/orders')).body;
      return orders.filter((o) => o.status === 'ready').length >= plan.expectedOrders;
    }).catch(() => null);
    await sleep(settle * 1000);

    function snapshot() {
      return {
        at: performance.now(),
        ns: Number(process.hrtime.bigint()),
        load: null,
        parts: processes
          .filter((p) => !p.hasExited)
          .map((p) => ({
            name: p.name,
            role: p.role,
            count: p.count,
            proc: readProcessStats(p.pid),
            tally: readTally(p),
          })),
      };
    }
    async function measureWindow(durationS, during = async () => {}) {
      await sleep(300);
      const before = snapshot();
      const windowEnd = sleep(durationS * 1000);
      await during();
      await windowEnd;
      await sleep(300);
      const after = snapshot();
      return figuresBetween(before, after);
    }
    async function readVersion() {
      return (await sendRequest(firstController, '/v1/configuration')).body.version;
    }
    let value = 100;
    async function amendConfiguration(controllerIndex, base) {
      value = value >= 9_000 ? 101 : value + 1;
      const startedAt = hostMs();
      const response = await sendRequest(
        controllerNodes[controllerIndex % controllerNodes.length].http,
        '/v1/configuration/amend',
        {
          base,
          changes: [{ path: ['deployment', 'lineLimit'], value }],
        },
      );
      return {
        status: response.status,
        version: response.body?.version ?? null,
        from: startedAt,
        ackMs: Math.round(hostMs() - startedAt),
      };
    }
    function inForceMs(change, observers = proxyProcesses) {
      let latestMs = 0;
      for (const p of observers) {
        if (p.hasExited) continue;
        const tally = readTally(p);
        const appliedTimes = Object.entries(tally?.extra?.inForceAt ?? {})
          .filter(([e]) => Number(e) >= change.version)
          .map(([, ms]) => ms - tally.at + tally.hostMs);
        if (appliedTimes.length === 0) return null;
        latestMs = Math.max(latestMs, Math.min(...appliedTimes));
      }
      return Math.round(latestMs - change.from);
    }
    async function makeChanges(changeList, n, pauseMs) {
      let base = await readVersion();
      for (let i = 0; i < n; i += 1) {
        const change = await amendConfiguration(i, base);
        changeList.push(change);
        base = change.version ?? (await readVersion());
        if (pauseMs > 0) await sleep(pauseMs);
      }
    }

    const quiet = await measureWindow(seconds);
    log(
      `quiet: ${(quiet.roles.proxy.bytesS / 1000).toFixed(1)} KB, ${quiet.roles.proxy.messagesS.toFixed(1)} messages and ${quiet.roles.proxy.cpuMsS.toFixed(1)} ms a proxy and second; controller ${(quiet.roles.controller.bytesS / 1000).toFixed(0)} KB, ${quiet.roles.controller.cpuMsS.toFixed(0)} ms`,
    );

    const singleChanges = [];
    const withChanges =
      changes > 0
        ? await measureWindow(Math.max(4, changes * 0.6), () => makeChanges(singleChanges, changes, 400))
        : null;
    await sleep(600);
    for (const change of singleChanges) change.inForceMs = inForceMs(change);
    const burstChanges = [];
    const burstStartedAt = performance.now();
    const withBurst = burst > 0 ? await measureWindow(2, () => makeChanges(burstChanges, burst, 0)) : null;
    const burstS = (performance.now() - burstStartedAt) / 1000;
    await sleep(800);
    for (const change of burstChanges) change.inForceMs = inForceMs(change);
    if (changes > 0)
      log(
        `changes in force: ${formatSpread(singleChanges.map((change) => change.inForceMs))} ms one by one, ${formatSpread(burstChanges.map((change) => change.inForceMs))} ms of ${burst} at once`,
      );

    let withRestarts = null;
    if (restarts > 0) {
      withRestarts = await measureWindow(Math.max(8, restarts / proxyProcesses.length + 6), async () => {
        for (const p of proxyProcesses) children.sendLine(p, `restart ${Math.ceil(restarts / proxyProcesses.length)}`);
      });
      withRestarts.restarted = Math.ceil(restarts / proxyProcesses.length) * proxyProcesses.length;
    }

    let lost = null;
    if (zoneLoss) {
      const zone = plan.zones[1].zone;
      const killed = processes.filter((p) => p.at.zone === zone && !p.hasExited);
      const deadNames = new Set();
      const window = await measureWindow(12, async () => {
        const startedAt = performance.now();
        for (const p of killed) p.proc.kill('SIGKILL');
        const change = await amendConfiguration(0, await readVersion());
        await sleep(3_000);
        lost = {
          zone,
          proxies: killed.filter((p) => p.role === 'proxy').reduce((n, p) => n + p.count, 0),
          controllers: killed.filter((p) => p.role === 'controller').length,
          change: { status: change.status, ackMs: change.ackMs, inForceMs: inForceMs(change) },
        };
        const allDeadAfterS = await waitFor('all lost nodes detected as dead', 30, async () => {
          const { nodes: seen } = (await sendRequest(firstController, '/v1/status')).body;
          for (const n of seen) if (n.zone === zone && n.status === 'dead') deadNames.add(n.name);
          return seen.filter((n) => n.zone === zone).every((n) => n.status === 'dead');
        }).catch(() => null);
        lost.allDeadS = allDeadAfterS === null ? null : (performance.now() - startedAt) / 1000;
      });
      lost.window = window;
      lost.stillServing = countServing();
    }
    const memoryAtEnd = children.totalMemory();
    await children.stopAll();
    const shares = profile ? dutyShares(folder, processes, quiet.fromNs, quiet.toNs) : null;
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
      orderedS: readyS,
      memoryMost: memoryAtEnd,
      processes: processes.length,
      quiet,
      changes: singleChanges.map(summaryOf),
      withChanges,
      burst: burstChanges.map(summaryOf),
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
function summaryOf(change) {
  return { status: change.status, ackMs: change.ackMs, inForceMs: change.inForceMs };
}
function formatSpread(values) {
  const sorted = values.filter((x) => x !== null).sort((a, b) => a - b);
  if (sorted.length === 0) return 'none';
  return `${sorted[0]} / ${sorted[Math.floor((sorted.length - 1) / 2)]} / ${sorted[sorted.length - 1]}`;
}

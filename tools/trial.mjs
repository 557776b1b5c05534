#!/usr/bin/env node
/**
 * Injects failures into a fleet of real processes under load, one kind after the other; checks what must hold during
 * each and measures the time to recover.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BIN, installShutdownHandlers, onShutdown, ROOT, runNodeScript, shutdown, stopFleet } from './children.mjs';
import { quantile } from './figures.mjs';
import { SHAPES } from './shapes.mjs';

const FOLDER = process.env.FLEET_FOLDER ?? join(ROOT, '.fleet');
const shapeName = process.argv[2] ?? 'kutfo';
if (!SHAPES[shapeName]) {
  process.stderr.write(`usage: node tools/trial.mjs ${Object.keys(SHAPES).join('|')}\n`);
  process.exit(2);
}
const LOAD_S = 185;
const zones = Object.keys(SHAPES[shapeName].zones);
const recoveryTimes = [];
let failures = 0;

function runFleetCommand(...args) {
  return runNodeScript(join(ROOT, 'tools/fleet.mjs'), args);
}
function readState() {
  return JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
}
function nodeNamed(name) {
  return readState().nodes.find((n) => n.name === name);
}
function nodesOf(role, zone) {
  return readState().nodes.filter((n) => n.role === role && (zone === undefined || n.zone === zone));
}
async function get(address, path) {
  return (await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(2500) })).json();
}
function statusOf(name) {
  return get(nodeNamed(name).http, '/v1/status');
}
function runAdmin(...args) {
  return runNodeScript(BIN, ['admin', ...args, '--core', readState().core], { stdio: ['ignore', 'ignore', 'inherit'] });
}
async function readVersion() {
  for (const controller of nodesOf('controller')) {
    const response = await get(controller.http, '/v1/configuration').catch(() => null);
    if (response?.configuration) return response.version;
  }
  return null;
}
async function findScalerHolder() {
  for (const n of nodesOf('controller')) if ((await statusOf(n.name).catch(() => null))?.holdsScaler) return n.name;
  return null;
}
function log(text) {
  process.stdout.write(`${new Date().toISOString()} ${text}\n`);
}
function expect(description, isMet, detail = '') {
  log(`${description}: ${isMet ? 'yes' : 'NO'} ${detail}`);
  if (!isMet) failures += 1;
}
async function measureUntil(description, timeoutS, condition) {
  const startedAt = performance.now();
  while (performance.now() - startedAt < timeoutS * 1000) {
    if (await condition().catch(() => false)) {
      const ms = Math.round(performance.now() - startedAt);
      recoveryTimes.push([description, ms]);
      log(`${description}: ${ms} ms`);
      return;
    }
    await sleep(50);
  }
  log(`${description}: NOT within ${timeoutS} s`);
  failures += 1;
}
function readJournals(prefix) {
  const folder = join(FOLDER, 'journals');
  return readdirSync(folder)
    .filter((fileName) => fileName.startsWith(prefix))
    .flatMap((fileName) =>
      readFileSync(join(folder, fileName), 'utf8')
        .split('\n')
        .slice(0, -1)
        .map((line) => JSON.parse(line)),
    );
}
const isServing = (name) => async () => (await statusOf(name)).fresh;
async function hasRejoined(name) {
  const s = await statusOf(name);
  return s.isMember && s.claimsReady && s.writable && s.quorate;
}

const phases = {
  async holderFrozen() {
    const previousHolder = await findScalerHolder();
    const fence = (await statusOf(previousHolder)).leases.scaler.fence;
    await runFleetCommand('freeze', previousHolder);
    await measureUntil(
      'holder frozen: another holds the duty',
      20,
      async () => ![null, previousHolder].includes(await findScalerHolder()),
    );
    await runFleetCommand('thaw', previousHolder);
    await sleep(3_000);
    const s = await statusOf(previousHolder);
    expect('the resumed holder knows that it lost the singleton role', s.leases.scaler.fence > fence && !s.holdsScaler);
  },
  async diskLost() {
    const before = (await statusOf('controller-2')).member;
    await runFleetCommand('kill', 'controller-2');
    await sleep(500);
    await runFleetCommand('restart', 'controller-2', '--wipe');
    await measureUntil('controller with its data folder wiped: member with whole claims', 20, () =>
      hasRejoined('controller-2'),
    );
    expect('it rejoined as a new incarnation', (await statusOf('controller-2')).member !== before);
  },
  async proxies() {
    const proxies = nodesOf('proxy');
    await runFleetCommand('kill', proxies[0].name);
    await runFleetCommand('freeze', proxies[2].name);
    await sleep(7_000);
    expect('a frozen proxy does not respond', !(await statusOf(proxies[2].name).catch(() => null)));
    await runFleetCommand('restart', proxies[0].name);
    await measureUntil('proxy killed and restarted: serves', 12, isServing(proxies[0].name));
    await runFleetCommand('thaw', proxies[2].name);
    await measureUntil('proxy frozen 7 s and woken: serves', 12, isServing(proxies[2].name));
  },
  async evacuation() {
    const zone = zones[0];
    expect('evacuation acknowledged', (await runAdmin('evacuate', zone)) === 0);
    const deadline = Date.now() + 5_000;
    await sleep(10_000);
    const restoredAt = Date.now();
    expect('restore acknowledged', (await runAdmin('restore', zone)) === 0);
    const lateArrivals = readJournals('').filter(
      (r) => r.who === 'worker' && r.event === 'arrived' && r.zone === zone && r.at > deadline && r.at < restoredAt,
    );
    expect('no request reached the evacuated zone', lateArrivals.length === 0, `${lateArrivals.length} did`);
  },
  async race() {
    const exitCodes = [];
    for (let n = 0; n < 4; n += 1) {
      const base = String(await readVersion());
      const codes = await Promise.all([
        runAdmin('set', '/deployment/lineLimit', String(70 + n), '--base', base),
        runAdmin('set', '/deployment/lineLimit', String(90 + n), '--base', base),
      ]);
      exitCodes.push([...codes].sort().join());
    }
    expect(
      'of two concurrent changes on the same base exactly one succeeds, four times',
      exitCodes.every((w) => w === '0,5'),
      exitCodes.join(' '),
    );
  },
  async reclaim() {
    await runFleetCommand('reclaim', '3', '400');
    await sleep(6_000);
    const failedStreams = readJournals('caller-').filter(
      (r) => r.result === 'cut' || r.result === 'workerFailed',
    ).length;
    expect(
      'machines were reclaimed',
      readJournals('cloud').some((r) => r.event === 'reclaiming'),
      `${failedStreams} streams failed because of it so far`,
    );
  },
  async isolated() {
    const zone = zones[2];
    const isolatedProxy = nodesOf('proxy', zone)[0].name;
    for (const z of zones.slice(0, 2))
      for (const [a, b] of [
        [z, zone],
        [zone, z],
      ])
        await runFleetCommand('cut', a, b);
    await measureUntil('region isolated: its proxy knows', 10, async () => (await statusOf(isolatedProxy)).partitioned);
    const base = await readVersion();
    expect(
      'a change is agreed but not confirmed by all nodes',
      (await runAdmin('set', '/deployment/lineLimit', '111', '--base', String(base))) === 6,
    );
    await sleep(4_000);
    const recentRequests = readJournals(`caller-${zone}`).filter((r) => r.at > Date.now() - 4_000);
    expect(
      'the isolated region serves its own callers',
      recentRequests.some((r) => r.result === 'success'),
      `${recentRequests.length} requests`,
    );
    await runFleetCommand('heal');
    await measureUntil(
      'region isolated, then healed: it holds the newest',
      10,
      async () => (await statusOf(isolatedProxy)).version > base,
    );
  },
  async oneWay() {
    await runFleetCommand('cut', zones[1], zones[0]);
    await sleep(5_000);
    const recentRequests = readJournals('caller-').filter((r) => r.at > Date.now() - 4_000);
    const succeeded = recentRequests.filter((r) => r.result === 'success').length;
    expect(
      'callers are served while one direction between two regions is cut',
      succeeded > recentRequests.length * 0.8,
      `${succeeded} of ${recentRequests.length}`,
    );
    await runFleetCommand('heal');
    await sleep(2_000);
  },
  async moved() {
    for (const controller of nodesOf('controller')) {
      await runFleetCommand('kill', controller.name);
      await sleep(300);
      await runFleetCommand('move', controller.name);
      await measureUntil(`${controller.name} at a new address: member there`, 15, async () => {
        const { members } = await statusOf(controller.name);
        return (
          members.find((m) => m.name === controller.name)?.address === nodeNamed(controller.name).listen &&
          (await hasRejoined(controller.name))
        );
      });
      expect('its address changed', nodeNamed(controller.name).listen !== controller.listen);
    }
  },
  async fullDisk() {
    await runFleetCommand('fill', 'controller-1');
    await sleep(500);
    expect(
      'a change is agreed without the controller whose disk is full',
      [0, 6].includes(await runAdmin('set', '/deployment/lineLimit', '112')),
    );
    await measureUntil(
      'controller without room: says that it cannot write',
      10,
      async () => (await statusOf('controller-1')).writable === false,
    );
    await runFleetCommand('heal');
    await runFleetCommand('kill', 'controller-1');
    await sleep(300);
    await runFleetCommand('restart', 'controller-1');
    await measureUntil('room made, restarted: whole again', 15, () => hasRejoined('controller-1'));
  },
  async regionLost() {
    const zone = zones[1];
    const lostNodes = readState().nodes.filter((n) => n.zone === zone);
    for (const n of lostNodes) await runFleetCommand('kill', n.name);
    await sleep(4_000);
    for (const n of lostNodes) await runFleetCommand('restart', n.name);
    const startedAt = Date.now();
    await measureUntil('region lost and back cold: its proxy serves', 12, isServing(nodesOf('proxy', zone)[0].name));
    await measureUntil('… its controller is whole', 12, () => hasRejoined(nodesOf('controller', zone)[0].name));
    await measureUntil('… a worker of it answers a request', 12, async () =>
      readJournals('').some((r) => r.who === 'worker' && r.zone === zone && r.event === 'end' && r.at > startedAt),
    );
  },
  async allKilled() {
    const before = await readVersion();
    const nodes = [...nodesOf('controller'), ...nodesOf('proxy')];
    for (const n of nodes) await runFleetCommand('kill', n.name);
    await sleep(1_000);
    for (const n of nodes) await runFleetCommand('restart', n.name);
    const restartedAt = Date.now();
    for (const zone of zones)
      await measureUntil(
        `all killed: the edge of zone ${zones.indexOf(zone) + 1} serves, from the last restart`,
        12,
        isServing(nodesOf('proxy', zone)[0].name),
      );
    await measureUntil('… the configuration reads back', 12, async () => (await readVersion()) === before);
    for (const zone of zones) {
      for (const once of [true, false]) {
        await measureUntil(
          `… a ${once ? 'run-once request' : 'stream'} of zone ${zones.indexOf(zone) + 1} succeeded`,
          12,
          async () =>
            readJournals(`caller-${zone}`).some(
              (r) => r.result === 'success' && r.repeatable === !once && r.at - r.wholeMs > restartedAt,
            ),
        );
      }
    }
    expect('… an operator change is accepted', (await runAdmin('set', '/deployment/lineLimit', '113')) === 0);
  },
};

installShutdownHandlers();
if ((await runFleetCommand('start', shapeName)) !== 0) await shutdown(1);
onShutdown(() => stopFleet(FOLDER));
const loadRun = runFleetCommand('load', shapeName, String(LOAD_S), '6');
await sleep(8_000);
const faultsStartedAt = Date.now();
for (const [name, runPhase] of Object.entries(phases)) {
  log(`— ${name}`);
  await runPhase().catch((e) => expect(`${name} ran`, false, String(e)));
  await sleep(2_500);
}
if (Date.now() - faultsStartedAt > (LOAD_S - 8) * 1_000)
  expect('the load ran until the last fault', false, `${Date.now() - faultsStartedAt} ms of faults`);
await loadRun;
await sleep(3_000);
const checkExitCode = await runFleetCommand('check');
const requests = readJournals('caller-');
const countsByResult = {};
for (const r of requests) countsByResult[r.result] = (countsByResult[r.result] ?? 0) + 1;
await runFleetCommand('stop');
process.stdout.write(
  `\n| ${shapeName} | ms |\n| --- | --- |\n${recoveryTimes.map(([description, ms]) => `| ${description} | ${ms} |`).join('\n')}\n\n`,
);
process.stdout.write(
  `${requests.length} requests: ${JSON.stringify(countsByResult)}; longest wait of a failed request ${quantile(
    requests.filter((r) => r.result !== 'success').map((r) => r.wholeMs),
    1,
  )} ms\n`,
);
log(
  checkExitCode === 0 && failures === 0
    ? 'Every rule held.'
    : `FAILED: the check exited with code ${checkExitCode}, ${failures} expectations not met`,
);
await shutdown(checkExitCode === 0 && failures === 0 ? 0 : 1);

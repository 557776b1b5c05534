#!/usr/bin/env node
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BIN, installShutdownHandlers, onShutdown, ROOT, runNodeScript, shutdown, stopFleet } from './children.mjs';
import { quantile } from './figures.mjs';
import { SHAPES } from './shapes.mjs';

const FOLDER = process.env.FLEET_FOLDER ?? join(ROOT, '.fleet');
const shape = process.argv[2] ?? 'kutfo';
if (!SHAPES[shape]) {
  process.stderr.write(`use: node tools/trial.mjs ${Object.keys(SHAPES).join('|')}\n`);
  process.exit(2);
}
const SECONDS = 185;
const zones = Object.keys(SHAPES[shape].zones);
const rows = [];
let failures = 0;

function fleet(...args) {
  return runNodeScript(join(ROOT, 'tools/fleet.mjs'), args);
}
function state() {
  return JSON.parse(readFileSync(join(FOLDER, 'fleet.json'), 'utf8'));
}
function node(name) {
  return state().nodes.find((n) => n.name === name);
}
function nodesOf(role, zone) {
  return state().nodes.filter((n) => n.role === role && (zone === undefined || n.zone === zone));
}
async function get(address, path) {
  return (await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(2500) })).json();
}
function status(name) {
  return get(node(name).http, '/v1/status');
}
function admin(...args) {
  return runNodeScript(BIN, ['admin', ...args, '--core', state().core], { stdio: ['ignore', 'ignore', 'inherit'] });
}
async function version() {
  for (const h of nodesOf('controller')) {
    const read = await get(h.http, '/v1/configuration').catch(() => null);
    if (read?.configuration) return read.version;
  }
  return null;
}
async function holder() {
  for (const n of nodesOf('controller')) if ((await status(n.name).catch(() => null))?.holdsScaler) return n.name;
  return null;
}
function say(text) {
  process.stdout.write(`${new Date().toISOString()} ${text}\n`);
}
function expect(what, held, told = '') {
  say(`${what}: ${held ? 'yes' : 'NO'} ${told}`);
  if (!held) failures += 1;
}
async function until(what, seconds, test) {
  const from = performance.now();
  while (performance.now() - from < seconds * 1000) {
    if (await test().catch(() => false)) {
      const ms = Math.round(performance.now() - from);
      rows.push([what, ms]);
      say(`${what}: ${ms} ms`);
      return;
    }
    await sleep(50);
  }
  say(`${what}: NOT within ${seconds} s`);
  failures += 1;
}
function journals(prefix) {
  const folder = join(FOLDER, 'journals');
  return readdirSync(folder)
    .filter((f) => f.startsWith(prefix))
    .flatMap((f) =>
      readFileSync(join(folder, f), 'utf8')
        .split('\n')
        .slice(0, -1)
        .map((l) => JSON.parse(l)),
    );
}
const serves = (name) => async () => (await status(name)).fresh;
async function returned(name) {
  const s = await status(name);
  return s.isMember && s.claimsReady && s.writable && s.quorate;
}

const phases = {
  async holderFrozen() {
    const was = await holder();
    const fence = (await status(was)).leases.scaler.fence;
    await fleet('freeze', was);
    await until('holder frozen: another holds the duty', 20, async () => ![null, was].includes(await holder()));
    await fleet('thaw', was);
    await sleep(3_000);
    const s = await status(was);
    expect('the woken one knows that it lost the duty', s.leases.scaler.fence > fence && !s.holdsScaler);
  },
  async diskLost() {
    const before = (await status('controller-2')).member;
    await fleet('kill', 'controller-2');
    await sleep(500);
    await fleet('restart', 'controller-2', '--wipe');
    await until('controller with its data folder wiped: member with whole claims', 20, () => returned('controller-2'));
    expect('it came back as a new incarnation', (await status('controller-2')).member !== before);
  },
  async edges() {
    const edges = nodesOf('proxy');
    await fleet('kill', edges[0].name);
    await fleet('freeze', edges[2].name);
    await sleep(7_000);
    expect('a frozen edge does not answer', !(await status(edges[2].name).catch(() => null)));
    await fleet('restart', edges[0].name);
    await until('proxy killed and restarted: serves', 12, serves(edges[0].name));
    await fleet('thaw', edges[2].name);
    await until('proxy frozen 7 s and woken: serves', 12, serves(edges[2].name));
  },
  async evacuation() {
    const zone = zones[0];
    expect('evacuation acknowledged', (await admin('evacuate', zone)) === 0);
    const from = Date.now() + 5_000;
    await sleep(10_000);
    const to = Date.now();
    expect('handed back', (await admin('restore', zone)) === 0);
    const late = journals('').filter(
      (r) => r.who === 'worker' && r.event === 'arrived' && r.zone === zone && r.at > from && r.at < to,
    );
    expect('nothing reached the evacuated zone', late.length === 0, `${late.length} did`);
  },
  async race() {
    const wins = [];
    for (let n = 0; n < 4; n += 1) {
      const base = String(await version());
      const codes = await Promise.all([
        admin('set', '/deployment/lineLimit', String(70 + n), '--base', base),
        admin('set', '/deployment/lineLimit', String(90 + n), '--base', base),
      ]);
      wins.push([...codes].sort().join());
    }
    expect(
      'of two operators on one base exactly one wins, four times',
      wins.every((w) => w === '0,5'),
      wins.join(' '),
    );
  },
  async reclaim() {
    await fleet('reclaim', '3', '400');
    await sleep(6_000);
    const told = journals('caller-').filter((r) => r.result === 'cut' || r.result === 'workerFailed').length;
    expect(
      'machines were reclaimed',
      journals('cloud').some((r) => r.event === 'reclaiming'),
      `${told} streams told of it so far`,
    );
  },
  async isolated() {
    const zone = zones[2];
    const inside = nodesOf('proxy', zone)[0].name;
    for (const z of zones.slice(0, 2))
      for (const [a, b] of [
        [z, zone],
        [zone, z],
      ])
        await fleet('cut', a, b);
    await until('region isolated: its proxy knows', 10, async () => (await status(inside)).partitioned);
    const base = await version();
    expect(
      'a change is agreed, not confirmed by all',
      (await admin('set', '/deployment/lineLimit', '111', '--base', String(base))) === 6,
    );
    await sleep(4_000);
    const marks = journals(`caller-${zone}`).filter((r) => r.at > Date.now() - 4_000);
    expect(
      'it serves its own',
      marks.some((r) => r.result === 'success'),
      `${marks.length} asked`,
    );
    await fleet('heal');
    await until(
      'region isolated, then healed: it holds the newest',
      10,
      async () => (await status(inside)).version > base,
    );
  },
  async oneWay() {
    await fleet('cut', zones[1], zones[0]);
    await sleep(5_000);
    const seen = journals('caller-').filter((r) => r.at > Date.now() - 4_000);
    const good = seen.filter((r) => r.result === 'success').length;
    expect(
      'with one way between two regions lost, callers are served',
      good > seen.length * 0.8,
      `${good} of ${seen.length}`,
    );
    await fleet('heal');
    await sleep(2_000);
  },
  async moved() {
    for (const h of nodesOf('controller')) {
      await fleet('kill', h.name);
      await sleep(300);
      await fleet('move', h.name);
      await until(`${h.name} at a new address: member there`, 15, async () => {
        const { members } = await status(h.name);
        return members.find((m) => m.name === h.name)?.address === node(h.name).listen && (await returned(h.name));
      });
      expect('it moved', node(h.name).listen !== h.listen);
    }
  },
  async fullDisk() {
    await fleet('fill', 'controller-1');
    await sleep(500);
    expect(
      'a change is agreed without the full one',
      [0, 6].includes(await admin('set', '/deployment/lineLimit', '112')),
    );
    await until(
      'controller without room: says that it cannot write',
      10,
      async () => (await status('controller-1')).writable === false,
    );
    await fleet('heal');
    await fleet('kill', 'controller-1');
    await sleep(300);
    await fleet('restart', 'controller-1');
    await until('room made, restarted: whole again', 15, () => returned('controller-1'));
  },
  async regionLost() {
    const zone = zones[1];
    const gone = state().nodes.filter((n) => n.zone === zone);
    for (const n of gone) await fleet('kill', n.name);
    await sleep(4_000);
    for (const n of gone) await fleet('restart', n.name);
    const from = Date.now();
    await until('region lost and back cold: its proxy serves', 12, serves(nodesOf('proxy', zone)[0].name));
    await until('… its controller is whole', 12, () => returned(nodesOf('controller', zone)[0].name));
    await until('… a worker of it answers a request', 12, async () =>
      journals('').some((r) => r.who === 'worker' && r.zone === zone && r.event === 'end' && r.at > from),
    );
  },
  async allKilled() {
    const before = await version();
    const nodes = [...nodesOf('controller'), ...nodesOf('proxy')];
    for (const n of nodes) await fleet('kill', n.name);
    await sleep(1_000);
    for (const n of nodes) await fleet('restart', n.name);
    const back = Date.now();
    for (const zone of zones)
      await until(
        `all killed: the edge of zone ${zones.indexOf(zone) + 1} serves, from the last restart`,
        12,
        serves(nodesOf('proxy', zone)[0].name),
      );
    await until('… the configuration reads back', 12, async () => (await version()) === before);
    for (const zone of zones) {
      for (const once of [true, false]) {
        await until(
          `… a ${once ? 'run-once request' : 'stream'} of zone ${zones.indexOf(zone) + 1} succeeded`,
          12,
          async () =>
            journals(`caller-${zone}`).some(
              (r) => r.result === 'success' && r.repeatable === !once && r.at - r.wholeMs > back,
            ),
        );
      }
    }
    expect('… an operator change is accepted', (await admin('set', '/deployment/lineLimit', '113')) === 0);
  },
};

installShutdownHandlers();
if ((await fleet('start', shape)) !== 0) await shutdown(1);
onShutdown(() => stopFleet(FOLDER));
const load = fleet('load', shape, String(SECONDS), '6');
await sleep(8_000);
const began = Date.now();
for (const [name, play] of Object.entries(phases)) {
  say(`— ${name}`);
  await play().catch((e) => expect(`${name} ran`, false, String(e)));
  await sleep(2_500);
}
if (Date.now() - began > (SECONDS - 8) * 1_000)
  expect('the load lasted as long as the faults', false, `${Date.now() - began} ms of faults`);
await load;
await sleep(3_000);
const verdict = await fleet('check');
const callers = journals('caller-');
const tally = {};
for (const r of callers) tally[r.result] = (tally[r.result] ?? 0) + 1;
await fleet('stop');
process.stdout.write(
  `\n| ${shape} | ms |\n| --- | --- |\n${rows.map(([what, ms]) => `| ${what} | ${ms} |`).join('\n')}\n\n`,
);
process.stdout.write(
  `${callers.length} requests: ${JSON.stringify(tally)}; longest wait of one not served ${quantile(
    callers.filter((r) => r.result !== 'success').map((r) => r.wholeMs),
    1,
  )} ms\n`,
);
say(
  verdict === 0 && failures === 0
    ? 'Every rule held.'
    : `broken: check left with ${verdict}, ${failures} expectations failed`,
);
await shutdown(verdict === 0 && failures === 0 ? 0 : 1);

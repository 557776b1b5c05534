#!/usr/bin/env node
import { spawn } from 'node:child_process';
import { existsSync, mkdirSync, openSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  BIN,
  installShutdownHandlers,
  isAlive,
  isRunning,
  matchesCommandLine,
  onShutdown,
  ROOT,
  runNodeScript,
  shutdown,
  startChild,
  stopNodes,
} from './children.mjs';
import { SHAPES } from './shapes.mjs';

const [, , verb, shapeName = 'kutfo', ...rest] = process.argv;
const FOLDER = resolve(process.env.FLEET_FOLDER ?? join(ROOT, '.fleet'));
const BASE = Number(process.env.FLEET_PORT ?? 21000);

function usage(text) {
  process.stderr.write(
    `${text}\nuse: node tools/fleet.mjs start|stop|status|load|kill|restart|freeze|thaw|move|cut|fill|heal|reclaim|check [shape|name] [...]\n`,
  );
  process.exit(2);
}

function statePath() {
  return join(FOLDER, 'fleet.json');
}
function loadState() {
  if (!existsSync(statePath())) usage(`no fleet in ${FOLDER}`);
  return JSON.parse(readFileSync(statePath(), 'utf8'));
}
function saveState(state) {
  writeFileSync(statePath(), JSON.stringify(state, null, 2));
}

function loadSwitches() {
  return JSON.parse(readFileSync(join(FOLDER, 'switches.json'), 'utf8'));
}
function saveSwitches(s) {
  writeFileSync(join(FOLDER, 'switches.json.new'), JSON.stringify(s));
  renameSync(join(FOLDER, 'switches.json.new'), join(FOLDER, 'switches.json'));
}
function cut(from, to) {
  const s = loadSwitches();
  saveSwitches({ ...s, cuts: [...s.cuts, `${from}>${to}`] });
}
function fill(name) {
  const s = loadSwitches();
  saveSwitches({ ...s, fullDisks: [...s.fullDisks, name] });
}

function launch(node) {
  const out = openSync(join(FOLDER, 'logs', `${node.name}.log`), 'a');
  const child = spawn(process.execPath, [BIN, ...node.args], { stdio: ['ignore', out, out], detached: true });
  child.unref();
  return child.pid;
}

function plan(shape) {
  const nodes = [];
  const lab = {
    zones: {},
    delayMs: shape.delayMs,
    switches: join(FOLDER, 'switches.json'),
    ...(process.env.FLEET_WITHOUT ? { withoutPolicy: process.env.FLEET_WITHOUT } : {}),
  };
  let port = BASE;
  function address(zone) {
    port += 1;
    const a = `127.0.0.1:${port}`;
    if (zone) lab.zones[a] = zone;
    return a;
  }
  const platform = address(null);
  const cloud = address(null);
  const zones = Object.keys(shape.zones);
  const heads = zones.map((zone, i) => ({
    name: `controller-${i + 1}`,
    zone,
    listen: address(zone),
    http: address(zone),
  }));
  const proxies = zones.flatMap((zone) =>
    Array.from({ length: shape.proxies[zone] }, (_, i) => ({
      name: `proxy-${zone}-${i + 1}`,
      zone,
      listen: address(zone),
      http: address(zone),
    })),
  );
  const workers = zones.flatMap((zone) => [
    ...Array.from({ length: shape.machines[zone] }, (_, i) => ({
      name: `machine-${zone}-${i + 1}`,
      zone,
      http: address(zone),
      model: null,
    })),
    ...Array.from({ length: shape.fixed.perZone[zone] }, (_, i) => ({
      name: `gateway-${zone}-${i + 1}`,
      zone,
      http: address(zone),
      model: shape.fixed.model,
    })),
  ]);
  const labFile = join(FOLDER, 'lab.json');
  const seeds = heads.map((h) => h.listen);
  nodes.push({
    name: 'platform',
    args: ['standin', 'platform', '--http', platform, '--journal', join(FOLDER, 'journals', 'platform.jsonl')],
  });
  const prices = Object.entries(shape.prices)
    .map(([z, [s, o]]) => `${z}=${s}/${o}`)
    .join(',');
  nodes.push({
    name: 'cloud',
    args: [
      'standin',
      'cloud',
      '--http',
      cloud,
      '--platform',
      platform,
      '--prices',
      prices,
      '--journal',
      join(FOLDER, 'journals', 'cloud.jsonl'),
    ],
  });
  for (const h of [...heads, ...proxies]) {
    const core = heads.includes(h);
    const file = join(FOLDER, 'settings', `${h.name}.json`);
    const settings = {
      name: h.name,
      zone: h.zone,
      region: shape.zones[h.zone],
      listen: h.listen,
      http: h.http,
      seeds,
      platform,
      cloud,
      dataFolder: join(FOLDER, 'data', h.name),
      lab,
    };
    nodes.push({
      name: h.name,
      role: core ? 'controller' : 'proxy',
      zone: h.zone,
      http: h.http,
      listen: h.listen,
      settings,
      file,
      args: [core ? 'controller' : 'proxy', '--settings', file],
    });
  }
  for (const w of workers) {
    nodes.push({
      name: w.name,
      role: 'worker',
      zone: w.zone,
      http: w.http,
      args: [
        'standin',
        'worker',
        '--id',
        w.name,
        '--zone',
        w.zone,
        '--region',
        shape.zones[w.zone],
        '--http',
        w.http,
        '--platform',
        platform,
        '--cloud',
        cloud,
        '--journal',
        join(FOLDER, 'journals', `${w.name}.jsonl`),
        ...(w.model ? ['--model', w.model] : []),
      ],
    });
  }
  return {
    shape: shapeName,
    nodes,
    lab,
    labFile,
    platform,
    cloud,
    core: heads.map((h) => h.http).join(','),
    members: seeds.join(','),
    proxies: proxies.map((s) => s.http).join(','),
  };
}

async function until(what, seconds, test) {
  for (let i = 0; i < seconds * 5; i += 1) {
    if (await test().catch(() => false)) return true;
    await sleep(200);
  }
  process.stderr.write(`gave up waiting for ${what}\n`);
  return false;
}

async function get(address, path) {
  const res = await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(2000) });
  return res.json();
}
async function post(address, path, body) {
  const res = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(15000),
  });
  return { status: res.status, body: await res.json().catch(() => null) };
}

function admin(state, args) {
  return runNodeScript(BIN, ['admin', ...args, '--core', state.core]);
}

async function start() {
  const shape = SHAPES[shapeName];
  if (!shape) usage(`shape: expected one of ${Object.keys(SHAPES).join(', ')}; found ${shapeName}`);
  if (existsSync(statePath()) && loadState().nodes.some(isRunning)) usage('a fleet is running; stop it first');
  if (!existsSync(BIN)) usage('build first: npm run build');
  rmSync(FOLDER, { recursive: true, force: true });
  for (const d of ['logs', 'settings', 'journals', 'data']) mkdirSync(join(FOLDER, d), { recursive: true });
  const state = plan(shape);
  let whole = false;
  onShutdown(() => (whole ? null : stopNodes(state.nodes)));
  saveSwitches({ cuts: [], fullDisks: [] });
  writeFileSync(state.labFile, JSON.stringify(state.lab));
  for (const node of state.nodes) {
    if (node.settings) writeFileSync(node.file, JSON.stringify(node.settings, null, 2));
    delete node.settings;
    node.pid = launch(node);
    saveState(state);
  }
  const heads = state.nodes.filter((n) => n.role === 'controller');
  const up = await until(
    'controllers',
    30,
    async () => (await Promise.all(heads.map((h) => get(h.http, '/v1/status')))).length === heads.length,
  );
  if (!up) await shutdown(1);
  if ((await admin(state, ['bootstrap', '--members', state.members])) !== 0) await shutdown(1);
  const first = heads[0].http;
  await until(
    'proxies',
    20,
    async () =>
      Object.keys((await get(first, '/v1/status')).proxies).length ===
      state.nodes.filter((n) => n.role === 'proxy').length,
  );
  if ((await admin(state, ['apply', join(ROOT, shape.configuration)])) !== 0)
    process.stderr.write('the configuration was not confirmed\n');
  const ready = await until('workers', 60, async () => {
    const { orders } = await get(first, '/v1/orders');
    const open = orders.filter((o) => ['intended', 'placed', 'ready'].includes(o.status) && o.kind === 'spot');
    return open.length > 0 && open.every((o) => o.status === 'ready');
  });
  whole = true;
  process.stdout.write(
    `${ready ? 'The fleet serves' : 'The fleet is up'}; core ${state.core}; proxies ${state.proxies}\n`,
  );
}

function nodeNamed(state, name) {
  const node = state.nodes.find((n) => n.name === name);
  if (!node) usage(`name: expected one of ${state.nodes.map((n) => n.name).join(', ')}; found ${name}`);
  return node;
}

function signal(name, sig) {
  const state = loadState();
  const node = nodeNamed(state, name);
  if (isAlive(node.pid) && matchesCommandLine(node)) process.kill(node.pid, sig);
}

function restart(name, wipe) {
  const state = loadState();
  const node = nodeNamed(state, name);
  if (isAlive(node.pid)) usage(`${name} still runs`);
  if (wipe) rmSync(join(FOLDER, 'data', name), { recursive: true, force: true });
  node.pid = launch(node);
  saveState(state);
}

function move(name) {
  const state = loadState();
  const node = nodeNamed(state, name);
  if (isAlive(node.pid)) usage(`${name} still runs`);
  const settings = JSON.parse(readFileSync(node.file, 'utf8'));
  const taken = state.nodes
    .flatMap((n) => [n.http, n.listen])
    .filter(Boolean)
    .map((a) => Number(a.split(':')[1]));
  const port = Math.max(state.lastPort ?? 0, ...taken) + 1;
  const was = settings.http;
  settings.listen = `127.0.0.1:${port}`;
  settings.http = `127.0.0.1:${port + 1}`;
  for (const a of [settings.listen, settings.http]) settings.lab.zones[a] = node.zone;
  writeFileSync(node.file, JSON.stringify(settings, null, 2));
  Object.assign(node, { listen: settings.listen, http: settings.http });
  Object.assign(state, { lastPort: port + 1, core: state.core.replace(was, settings.http) });
  node.pid = launch(node);
  saveState(state);
}

async function load() {
  const state = loadState();
  const shape = SHAPES[state.shape];
  const [seconds = '20', rate = '6'] = rest;
  const zones = Object.keys(shape.zones);
  const runs = zones.map(
    (zone) =>
      new Promise((done) => {
        const near = state.nodes
          .filter((n) => n.role === 'proxy')
          .sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
        const args = [
          'standin',
          'caller',
          '--name',
          `caller-${zone}`,
          '--zone',
          zone,
          '--lab',
          state.labFile,
          '--proxies',
          near.map((n) => n.http).join(','),
          '--once',
          shape.fixed.model,
          '--models',
          shape.models.join(','),
          '--rate',
          rate,
          '--seconds',
          seconds,
          '--journal',
          join(FOLDER, 'journals', `caller-${zone}.jsonl`),
        ];
        if (shape.homes) args.push('--kind', shape.kind);
        const child = startChild(process.execPath, [BIN, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
        let out = '';
        child.stdout.on('data', (d) => (out += d));
        child.on('exit', () => done([zone, out.trim()]));
      }),
  );
  for (const [zone, out] of await Promise.all(runs)) process.stdout.write(`${zone} ${out}\n`);
}

async function reclaim(count, remainingMs) {
  const state = loadState();
  const { machines } = await get(state.cloud, '/lab/machines');
  const spot = machines.filter((m) => m.state === 'running' && m.kind === 'spot').slice(0, Number(count));
  for (const m of spot) {
    const got = await post(state.cloud, '/lab/reclaim', { machine: m.id, remainingMs: Number(remainingMs) });
    process.stdout.write(`reclaims ${m.id} in ${m.zone}: ${got.status}\n`);
  }
}

async function check() {
  const state = loadState();
  const shape = SHAPES[state.shape];
  const args = ['standin', 'check', join(FOLDER, 'journals')];
  if (shape.homes) args.push('--homes', `${shape.kind}=${shape.homes.join('+')}`);
  await shutdown(await runNodeScript(BIN, args));
}

function status() {
  for (const n of loadState().nodes)
    process.stdout.write(
      `${n.name.padEnd(20)} ${String(n.pid).padEnd(8)} ${n.pid && isAlive(n.pid) ? 'runs' : 'gone'}\n`,
    );
}

installShutdownHandlers(2_000);
if (verb === 'start') await start();
else if (verb === 'stop') await stopNodes(loadState().nodes);
else if (verb === 'status') status();
else if (verb === 'load') await load();
else if (verb === 'kill') signal(shapeName, 'SIGKILL');
else if (verb === 'freeze') signal(shapeName, 'SIGSTOP');
else if (verb === 'thaw') signal(shapeName, 'SIGCONT');
else if (verb === 'restart') restart(shapeName, rest.includes('--wipe'));
else if (verb === 'reclaim') await reclaim(shapeName === 'kutfo' ? 1 : shapeName, rest[0] ?? 5000);
else if (verb === 'cut') cut(shapeName, rest[0]);
else if (verb === 'fill') fill(shapeName);
else if (verb === 'heal') saveSwitches({ cuts: [], fullDisks: [] });
else if (verb === 'move') move(shapeName);
else if (verb === 'check') await check();
else usage(`verb: found ${verb}`);

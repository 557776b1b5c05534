#!/usr/bin/env node
/**
 * Starts, stops and disturbs a fleet of real processes on loopback: proxies, controllers and stand-ins of the workers,
 * the platform and the cloud. The environment variables FLEET_FOLDER and FLEET_PORT set its folder and its first port.
 */
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

const [, , command, firstArg = 'kutfo', ...otherArgs] = process.argv;
const FOLDER = resolve(process.env.FLEET_FOLDER ?? join(ROOT, '.fleet'));
const BASE_PORT = Number(process.env.FLEET_PORT ?? 21000);

function usage(message) {
  process.stderr.write(
    `${message}\nusage: node tools/fleet.mjs start|stop|status|load|kill|restart|freeze|thaw|move|cut|fill|heal|reclaim|check [shape|name] [...]\n`,
  );
  process.exit(2);
}

function statePath() {
  return join(FOLDER, 'fleet.json');
}
function loadState() {
  if (!existsSync(statePath())) usage(`found no fleet in ${FOLDER}`);
  return JSON.parse(readFileSync(statePath(), 'utf8'));
}
function saveState(state) {
  writeFileSync(statePath(), JSON.stringify(state, null, 2));
}

function loadSwitches() {
  return JSON.parse(readFileSync(join(FOLDER, 'switches.json'), 'utf8'));
}
function saveSwitches(switches) {
  writeFileSync(join(FOLDER, 'switches.json.new'), JSON.stringify(switches));
  renameSync(join(FOLDER, 'switches.json.new'), join(FOLDER, 'switches.json'));
}
function cutLink(from, to) {
  const switches = loadSwitches();
  saveSwitches({ ...switches, cuts: [...switches.cuts, `${from}>${to}`] });
}
function fillDisk(name) {
  const switches = loadSwitches();
  saveSwitches({ ...switches, fullDisks: [...switches.fullDisks, name] });
}

function launchNode(node) {
  const out = openSync(join(FOLDER, 'logs', `${node.name}.log`), 'a');
  const child = spawn(process.execPath, [BIN, ...node.args], { stdio: ['ignore', out, out], detached: true });
  child.unref();
  return child.pid;
}

function planFleet(shape) {
  const nodes = [];
  const lab = {
    zones: {},
    delayMs: shape.delayMs,
    switches: join(FOLDER, 'switches.json'),
    ...(process.env.FLEET_WITHOUT ? { withoutPolicy: process.env.FLEET_WITHOUT } : {}),
  };
  let port = BASE_PORT;
  function allocateAddress(zone) {
    port += 1;
    const allocated = `127.0.0.1:${port}`;
    if (zone) lab.zones[allocated] = zone;
    return allocated;
  }
  const platform = allocateAddress(null);
  const cloud = allocateAddress(null);
  const zones = Object.keys(shape.zones);
  const controllers = zones.map((zone, i) => ({
    name: `controller-${i + 1}`,
    zone,
    listen: allocateAddress(zone),
    http: allocateAddress(zone),
  }));
  const proxies = zones.flatMap((zone) =>
    Array.from({ length: shape.proxies[zone] }, (_, i) => ({
      name: `proxy-${zone}-${i + 1}`,
      zone,
      listen: allocateAddress(zone),
      http: allocateAddress(zone),
    })),
  );
  const workers = zones.flatMap((zone) => [
    ...Array.from({ length: shape.machines[zone] }, (_, i) => ({
      name: `machine-${zone}-${i + 1}`,
      zone,
      http: allocateAddress(zone),
      model: null,
    })),
    ...Array.from({ length: shape.fixed.perZone[zone] }, (_, i) => ({
      name: `gateway-${zone}-${i + 1}`,
      zone,
      http: allocateAddress(zone),
      model: shape.fixed.model,
    })),
  ]);
  const labFile = join(FOLDER, 'lab.json');
  const seeds = controllers.map((controller) => controller.listen);
  nodes.push({
    name: 'platform',
    args: ['standin', 'platform', '--http', platform, '--journal', join(FOLDER, 'journals', 'platform.jsonl')],
  });
  const prices = Object.entries(shape.prices)
    .map(([zone, [spot, onDemand]]) => `${zone}=${spot}/${onDemand}`)
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
  for (const node of [...controllers, ...proxies]) {
    const isController = controllers.includes(node);
    const file = join(FOLDER, 'settings', `${node.name}.json`);
    const settings = {
      name: node.name,
      zone: node.zone,
      region: shape.zones[node.zone],
      listen: node.listen,
      http: node.http,
      seeds,
      platform,
      cloud,
      dataFolder: join(FOLDER, 'data', node.name),
      lab,
    };
    nodes.push({
      name: node.name,
      role: isController ? 'controller' : 'proxy',
      zone: node.zone,
      http: node.http,
      listen: node.listen,
      settings,
      file,
      args: [isController ? 'controller' : 'proxy', '--settings', file],
    });
  }
  for (const worker of workers) {
    nodes.push({
      name: worker.name,
      role: 'worker',
      zone: worker.zone,
      http: worker.http,
      args: [
        'standin',
        'worker',
        '--id',
        worker.name,
        '--zone',
        worker.zone,
        '--region',
        shape.zones[worker.zone],
        '--http',
        worker.http,
        '--platform',
        platform,
        '--cloud',
        cloud,
        '--journal',
        join(FOLDER, 'journals', `${worker.name}.jsonl`),
        ...(worker.model ? ['--model', worker.model] : []),
      ],
    });
  }
  return {
    shape: firstArg,
    nodes,
    lab,
    labFile,
    platform,
    cloud,
    core: controllers.map((controller) => controller.http).join(','),
    members: seeds.join(','),
    proxies: proxies.map((proxy) => proxy.http).join(','),
  };
}

async function waitFor(description, timeoutS, condition) {
  for (let i = 0; i < timeoutS * 5; i += 1) {
    if (await condition().catch(() => false)) return true;
    await sleep(200);
  }
  process.stderr.write(`timed out waiting for ${description}\n`);
  return false;
}

async function get(address, path) {
  const response = await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(2000) });
  return response.json();
}
async function post(address, path, body) {
  const response = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(15000),
  });
  return { status: response.status, body: await response.json().catch(() => null) };
}

function runAdmin(state, args) {
  return runNodeScript(BIN, ['admin', ...args, '--core', state.core]);
}

async function startFleet() {
  const shape = SHAPES[firstArg];
  if (!shape) usage(`shape: expected one of ${Object.keys(SHAPES).join(', ')}; found ${firstArg}`);
  if (existsSync(statePath()) && loadState().nodes.some(isRunning)) usage('a fleet is already running; stop it first');
  if (!existsSync(BIN)) usage('the program is not built; run: npm run build');
  rmSync(FOLDER, { recursive: true, force: true });
  for (const folderName of ['logs', 'settings', 'journals', 'data'])
    mkdirSync(join(FOLDER, folderName), { recursive: true });
  const state = planFleet(shape);
  let isComplete = false;
  onShutdown(() => (isComplete ? null : stopNodes(state.nodes)));
  saveSwitches({ cuts: [], fullDisks: [] });
  writeFileSync(state.labFile, JSON.stringify(state.lab));
  for (const node of state.nodes) {
    if (node.settings) writeFileSync(node.file, JSON.stringify(node.settings, null, 2));
    delete node.settings;
    node.pid = launchNode(node);
    saveState(state);
  }
  const controllers = state.nodes.filter((n) => n.role === 'controller');
  const areControllersUp = await waitFor(
    'controllers',
    30,
    async () =>
      (await Promise.all(controllers.map((controller) => get(controller.http, '/v1/status')))).length ===
      controllers.length,
  );
  if (!areControllersUp) await shutdown(1);
  if ((await runAdmin(state, ['bootstrap', '--members', state.members])) !== 0) await shutdown(1);
  const firstController = controllers[0].http;
  await waitFor(
    'proxies',
    20,
    async () =>
      Object.keys((await get(firstController, '/v1/status')).proxies).length ===
      state.nodes.filter((n) => n.role === 'proxy').length,
  );
  if ((await runAdmin(state, ['apply', join(ROOT, shape.configuration)])) !== 0)
    process.stderr.write('the configuration was not confirmed\n');
  const ready = await waitFor('workers', 60, async () => {
    const { orders } = await get(firstController, '/v1/orders');
    const activeOrders = orders.filter(
      (order) => ['intended', 'placed', 'ready'].includes(order.status) && order.kind === 'spot',
    );
    return activeOrders.length > 0 && activeOrders.every((order) => order.status === 'ready');
  });
  isComplete = true;
  process.stdout.write(
    `${ready ? 'The fleet is serving' : 'The fleet is running, but not all workers are ready'}; core ${state.core}; proxies ${state.proxies}\n`,
  );
}

function nodeNamed(state, name) {
  const node = state.nodes.find((n) => n.name === name);
  if (!node) usage(`name: expected one of ${state.nodes.map((n) => n.name).join(', ')}; found ${name}`);
  return node;
}

function sendSignal(name, signal) {
  const state = loadState();
  const node = nodeNamed(state, name);
  if (isAlive(node.pid) && matchesCommandLine(node)) process.kill(node.pid, signal);
}

function restartNode(name, wipe) {
  const state = loadState();
  const node = nodeNamed(state, name);
  if (isAlive(node.pid)) usage(`${name} is still running`);
  if (wipe) rmSync(join(FOLDER, 'data', name), { recursive: true, force: true });
  node.pid = launchNode(node);
  saveState(state);
}

function moveNode(name) {
  const state = loadState();
  const node = nodeNamed(state, name);
  if (isAlive(node.pid)) usage(`${name} is still running`);
  const settings = JSON.parse(readFileSync(node.file, 'utf8'));
  const usedPorts = state.nodes
    .flatMap((n) => [n.http, n.listen])
    .filter(Boolean)
    .map((address) => Number(address.split(':')[1]));
  const port = Math.max(state.lastPort ?? 0, ...usedPorts) + 1;
  const previousHttp = settings.http;
  settings.listen = `127.0.0.1:${port}`;
  settings.http = `127.0.0.1:${port + 1}`;
  for (const address of [settings.listen, settings.http]) settings.lab.zones[address] = node.zone;
  writeFileSync(node.file, JSON.stringify(settings, null, 2));
  Object.assign(node, { listen: settings.listen, http: settings.http });
  Object.assign(state, { lastPort: port + 1, core: state.core.replace(previousHttp, settings.http) });
  node.pid = launchNode(node);
  saveState(state);
}

async function runLoad() {
  const state = loadState();
  const shape = SHAPES[state.shape];
  const [seconds = '20', rate = '6'] = otherArgs;
  const zones = Object.keys(shape.zones);
  const callers = zones.map(
    (zone) =>
      new Promise((resolveResult) => {
        const nearestProxiesFirst = state.nodes
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
          nearestProxiesFirst.map((n) => n.http).join(','),
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
        child.stdout.on('data', (chunk) => (out += chunk));
        child.on('exit', () => resolveResult([zone, out.trim()]));
      }),
  );
  for (const [zone, out] of await Promise.all(callers)) process.stdout.write(`${zone} ${out}\n`);
}

async function reclaimMachines(count, remainingMs) {
  const state = loadState();
  const { machines } = await get(state.cloud, '/lab/machines');
  const spotMachines = machines.filter((m) => m.state === 'running' && m.kind === 'spot').slice(0, Number(count));
  for (const m of spotMachines) {
    const response = await post(state.cloud, '/lab/reclaim', { machine: m.id, remainingMs: Number(remainingMs) });
    process.stdout.write(`reclaiming ${m.id} in ${m.zone}: status ${response.status}\n`);
  }
}

async function checkJournals() {
  const state = loadState();
  const shape = SHAPES[state.shape];
  const args = ['standin', 'check', join(FOLDER, 'journals')];
  if (shape.homes) args.push('--homes', `${shape.kind}=${shape.homes.join('+')}`);
  await shutdown(await runNodeScript(BIN, args));
}

function printStatus() {
  for (const n of loadState().nodes)
    process.stdout.write(
      `${n.name.padEnd(20)} ${String(n.pid).padEnd(8)} ${n.pid && isAlive(n.pid) ? 'running' : 'stopped'}\n`,
    );
}

installShutdownHandlers(2_000);
if (command === 'start') await startFleet();
else if (command === 'stop') await stopNodes(loadState().nodes);
else if (command === 'status') printStatus();
else if (command === 'load') await runLoad();
else if (command === 'kill') sendSignal(firstArg, 'SIGKILL');
else if (command === 'freeze') sendSignal(firstArg, 'SIGSTOP');
else if (command === 'thaw') sendSignal(firstArg, 'SIGCONT');
else if (command === 'restart') restartNode(firstArg, otherArgs.includes('--wipe'));
else if (command === 'reclaim') await reclaimMachines(firstArg === 'kutfo' ? 1 : firstArg, otherArgs[0] ?? 5000);
else if (command === 'cut') cutLink(firstArg, otherArgs[0]);
else if (command === 'fill') fillDisk(firstArg);
else if (command === 'heal') saveSwitches({ cuts: [], fullDisks: [] });
else if (command === 'move') moveNode(firstArg);
else if (command === 'check') await checkJournals();
else usage(`unknown command: ${command}`);

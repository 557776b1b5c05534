/** A site of real node processes on loopback addresses, with stand-in workers, callers, operator and worker list. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { delay } from '../src/transport/clock.js';
import type { Clock } from '../src/transport/clock.js';
import { randomInt } from '../src/transport/rng.js';
import type { Rng } from '../src/transport/rng.js';
import { API_PATH, QUERY_PARAMETER, DIRECTORY_RESPONSE, SETTING } from '../platform/words.js';
import { sendRequest } from './ask.js';
import { machineCount, readDeployFile } from './deploy-file.js';
import type { Role } from './deploy-file.js';
import { BOUNDS } from './facts.js';
import { LIST_DEFAULTS, startStandinList } from './list.js';
import type { StandinList } from './list.js';
import { createNodeProcess } from './node-process.js';
import type { ProcessExit, NodeProcess } from './node-process.js';
import { createOperator } from './operator.js';
import type { Operator } from './operator.js';
import { createCaller } from './caller.js';
import type { Caller, CallResult, RequestSpec } from './caller.js';
import { createRecords } from './records.js';
import type { JournalRecord, Records } from './records.js';
import { configurationOf, HOST } from './shape.js';
import type { Shape } from './shape.js';
import { createStandinWorker } from './worker.js';
import { WORKER_DEFAULTS } from './worker-spec.js';
import type { StandinWorker } from './worker-spec.js';

const PORT = {
  list: 8169,
  front: 8161,
  readiness: 8167,
  control: 8166,
  directory: 8164,
  worker: 8080,
  first: 7720,
  last: 7735,
} as const;
/** Loopback networks that are tried, so that several sites can run on one machine. */
const MAX_NETS = 200;
const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 10_000;
/** A crashed worker stays in the worker list for this long. */
const CRASHED_LISTED_MS = 2_000;

/** A node of the site and its process. `restart` waits for the exit of the process first. */
export type SiteNode = {
  readonly name: string;
  readonly core: boolean;
  readonly zone: string;
  readonly region: string;
  readonly ip: string;
  /** The address by which records name the node. */
  readonly edge: string;
  /** The address for operators; only controllers listen there. */
  readonly control: string;
  readonly serves: readonly string[];
  readonly process: NodeProcess;
  readonly restart: (wipe?: boolean) => Promise<void>;
  /** Writes the settings file, or only its first half. */
  readonly rewriteSettings: (extent?: 'whole' | 'partial') => void;
};

/** A stand-in worker and where it runs. */
export type SiteWorker = { readonly model: string; readonly zone: string; readonly worker: StandinWorker };

/** The load on a site: requests per second, and for how long. */
export type Traffic = { readonly perS: number; readonly forMs: number };

/** Counts and first byte times of one request type. */
export type RequestCount = { asked: number; served: number; firstMs: number[] };

/** A running site, and the faults that can be injected into it. */
export type Site = {
  readonly folder: string;
  readonly records: Records;
  readonly list: StandinList;
  readonly nodes: readonly SiteNode[];
  readonly workers: readonly SiteWorker[];
  readonly operator: Operator;
  readonly load: (load: Traffic) => Promise<ReadonlyMap<string, RequestCount>>;
  readonly direct: (node: SiteNode, requestType: RequestSpec) => Promise<CallResult>;
  /** Sends the first configuration; false if the site does not become ready in time. */
  readonly waitUntilReady: () => Promise<boolean>;
  /** Resolves after this many more requests, or at the end of the load. */
  readonly asked: (more: number) => Promise<unknown>;
  readonly replaceController: (node: SiteNode) => Promise<void>;
  /** Adds a controller that is empty and not started; null if the deploy file has no controllers. */
  readonly addController: (zone: string) => SiteNode | null;
  /** Removes a node whose process has exited and will not start again. */
  readonly removeNode: (node: SiteNode) => void;
  /** The addresses at which callers and operators reach a node. */
  readonly listenersOf: (node: SiteNode) => readonly string[];
  readonly crashWorker: (siteWorker: SiteWorker) => Promise<void>;
  readonly restartWorker: (siteWorker: SiteWorker, coldMs: number) => Promise<void>;
  readonly drainWorker: (siteWorker: SiteWorker, remainingMs: number | null) => void;
  readonly unexpectedExits: () => readonly ProcessExit[];
  readonly stop: () => Promise<void>;
};

/** What a site is started with. */
export type SiteDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly root: string;
  readonly deployFile: string;
  readonly shape: Shape;
  /** Callers that keep connections use them until they are closed, even if the directory no longer names the proxy. */
  readonly ignoreRemovals?: boolean;
};

/** Starts the nodes, workers and callers of a site; null if no loopback network is free. */
export async function startSite(deps: SiteDeps): Promise<Site | null> {
  const { clock, rng, root, shape } = deps;
  const records = createRecords(clock.mono);
  const claim = await claimLoopbackNet(clock, records, shape.listLagMs);
  if (!claim) return null;
  const { list, net } = claim;
  const folder = mkdtempSync(join(tmpdir(), 'millfield-site-'));
  for (const subfolder of ['settings', 'logs', 'data']) mkdirSync(join(folder, subfolder));
  const zones = Object.keys(shape.zones);
  const siteWorkers: SiteWorker[] = [];
  const nodes: SiteNode[] = [];
  const removedNodes: SiteNode[] = [];
  const callers: Caller[] = [];
  let isBootstrap = true;
  let trafficDone: Promise<unknown> = Promise.resolve();

  const deploy = readDeployFile(deps.deployFile);
  for (const role of deploy.roles) for (const [zoneIndex, zone] of zones.entries()) addNodes(role, zoneIndex, zone);

  function addNodes(role: Role, zoneIndex: number, zone: string): void {
    const available = role.on === 'core' ? 1 : shape.edgesPerZone;
    for (let count = 1; count <= machineCount(role, available); count += 1) addNode(role, zoneIndex, zone, count);
  }
  function addNode(role: Role, zoneIndex: number, zone: string, count: number): SiteNode {
    const core = role.on === 'core';
    const ip = `127.${net}.${zoneIndex + 1}.${core ? 200 + count : count}`;
    const name = `${role.on}-${zone}-${count}-${role.name}`;
    const edge = `${ip}:${PORT.front}`;
    const settingsFile = join(folder, 'settings', `${name}.toml`);
    const nodeProcess = createNodeProcess(
      {
        name,
        role,
        core,
        edge,
        root,
        settingsFile,
        logFile: join(folder, 'logs', `${name}.log`),
      },
      records,
    );
    const node: SiteNode = {
      name,
      core,
      zone,
      region: shape.zones[zone] ?? '',
      ip,
      edge,
      control: `${ip}:${PORT.control}`,
      serves: role.serves,
      process: nodeProcess,
      restart,
      rewriteSettings,
    };
    nodes.push(node);
    return node;
    function rewriteSettings(extent: 'whole' | 'partial' = 'whole'): void {
      const text = settingsOf(node, role.name);
      writeFileSync(settingsFile, extent === 'whole' ? text : text.slice(0, text.length / 2));
    }
    async function restart(wipe = false): Promise<void> {
      await nodeProcess.ended();
      if (wipe) rmSync(join(folder, 'data', name), { recursive: true, force: true });
      rewriteSettings();
      nodeProcess.start();
    }
  }

  function serving(what: string): readonly SiteNode[] {
    return nodes.filter(servesIt);
    function servesIt(siteNode: SiteNode): boolean {
      return siteNode.serves.includes(what);
    }
  }
  function controlAddresses(): readonly string[] {
    return serving('control_plane').map(controlOf);
    function controlOf(siteNode: SiteNode): string {
      return siteNode.control;
    }
  }

  /** Settings written after the first start name the seeds in reverse order. */
  function seedAddresses(): readonly string[] {
    const addresses = controlAddresses().slice(0, 3);
    return isBootstrap ? addresses : [...addresses].reverse();
  }

  function settingsOf(node: SiteNode, role: string): string {
    const dataFolder = join(folder, 'data', node.name);
    if (node.core) mkdirSync(dataFolder, { recursive: true });
    const addresses: Record<string, string> = {};
    if (node.serves.includes('edge'))
      Object.assign(addresses, { front: `${node.ip}:${PORT.front}`, readiness: `${node.ip}:${PORT.readiness}` });
    if (node.serves.includes('control_plane')) addresses['control'] = node.control;
    if (node.serves.includes('registry')) addresses['directory'] = `${node.ip}:${PORT.directory}`;
    const limits = node.core
      ? { cpuShare: 0.81, cores: 2, memoryMb: 346, maxFds: 4_096, linkMbps: 1_000.5, diskMb: 128 }
      : { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_100, linkMbps: 1_000.5, diskMb: 0 };
    return stringify({
      [SETTING.name]: node.name,
      [SETTING.role]: role,
      [SETTING.machines]: node.core ? 'core' : 'edge',
      [SETTING.serves]: [...node.serves],
      [SETTING.ip]: node.ip,
      [SETTING.zone]: node.zone,
      [SETTING.region]: node.region,
      [SETTING.ports]: [PORT.first, PORT.last],
      [SETTING.seeds]: seedAddresses(),
      [SETTING.bootstrap]: isBootstrap,
      [SETTING.counted]: node.core,
      ...(node.core ? { [SETTING.dataFolder]: dataFolder } : {}),
      discovery: 'platform',
      entrypoint: 'registry',
      beatIntervalMs: 1_200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'places'],
      [SETTING.zones]: { ...shape.zones },
      [SETTING.addresses]: addresses,
      [SETTING.limits]: { ...limits, ...shape.machineLimits },
      [SETTING.tolerance]: { machines: 1, zones: 1, regions: 1 },
      [SETTING.bounds]: {
        seedStalenessS: 3,
        reuseDelayS: 2,
        syncS: 4,
        passWindowMs: 400,
        ttl_max_s: 5,
        ...BOUNDS,
      },
      [SETTING.platform]: {
        address: list.address(),
        ratePerS: LIST_DEFAULTS.ratePerS,
        duties: [],
        maxLagMs: shape.listLagMs,
      },
    });
  }

  async function startWorkers(): Promise<void> {
    for (const [zoneIndex, zone] of zones.entries()) {
      let count = 0;
      for (const workerGroup of shape.groups) {
        for (let index = 0; index < workerGroup.count; index += 1) {
          count += 1;
          const spec = {
            ...WORKER_DEFAULTS,
            ...workerGroup,
            ip: `127.${net}.${zoneIndex + 100}.${count}`,
            port: PORT.worker,
            zone,
            region: shape.zones[zone] ?? '',
          };
          const worker = createStandinWorker(spec, { clock, rng, records });
          await worker.start();
          list.publish(worker.seen());
          siteWorkers.push({ model: workerGroup.model, zone, worker });
        }
      }
    }
  }

  function startCallers(): void {
    for (const zone of zones) {
      const nearestFirst = [...serving('registry')].sort(nearFirst);
      for (const keepConnections of [true, false]) {
        const directories = nearestFirst.map(directoryOf);
        callers.push(
          createCaller(
            {
              name: `${zone}-${keepConnections ? 'keeps' : 'opens'}`,
              zone,
              region: shape.zones[zone] ?? '',
              directories,
              keepConnections,
              ignoresRemoval: deps.ignoreRemovals === true,
              ttlFactor: keepConnections ? 1 : 3,
              ttlMaxS: 5,
            },
            { clock, rng, records },
          ),
        );
      }
      function nearFirst(left: SiteNode, right: SiteNode): number {
        return Number(right.zone === zone) - Number(left.zone === zone);
      }
    }
    function directoryOf(siteNode: SiteNode): string {
      return `${siteNode.ip}:${PORT.directory}`;
    }
  }

  const operator = createOperator({ clock, rng, records, nodes: controlAddresses, withinMs: BOUNDS.ackWithinMs });

  async function edgesReady(): Promise<boolean> {
    for (const siteNode of serving('edge'))
      if ((await sendRequest(`${siteNode.ip}:${PORT.readiness}`, clock, 'GET', API_PATH.ready, 1_000))?.status !== 200)
        return false;
    return true;
  }
  async function directoriesReady(): Promise<boolean> {
    for (const siteNode of serving('registry')) {
      const reply = await sendRequest(
        `${siteNode.ip}:${PORT.directory}`,
        clock,
        'GET',
        `${API_PATH.resolve}?${QUERY_PARAMETER.name}=${HOST}&${QUERY_PARAMETER.region}=${siteNode.region}&${QUERY_PARAMETER.zone}=${siteNode.zone}`,
        1_000,
      );
      const addresses = (reply?.body as Readonly<Record<string, unknown>> | undefined)?.[DIRECTORY_RESPONSE.addresses];
      if (!Array.isArray(addresses) || addresses.length === 0) return false;
    }
    return true;
  }
  async function waitUntilReady(): Promise<boolean> {
    for (const siteWorker of siteWorkers) await records.until(isListed(siteWorker.worker.seen().id));
    const until = clock.mono() + READY_TIMEOUT_MS;
    let isConfigured = false;
    while (clock.mono() < until && !isConfigured)
      isConfigured = (await operator.replace(configurationOf(shape, 1), 0)).outcome === 'acknowledged';
    while (isConfigured && clock.mono() < until) {
      if ((await edgesReady()) && (await directoriesReady())) return true;
      await delay(clock, 50);
    }
    return false;
  }

  function isListed(id: string): (rec: JournalRecord) => boolean {
    function matches(rec: JournalRecord): boolean {
      return rec.what === 'listed' && rec.worker === id;
    }
    return matches;
  }

  function load(traffic: Traffic): Promise<ReadonlyMap<string, RequestCount>> {
    const started = loadAll(traffic);
    trafficDone = started;
    return started;
  }
  async function loadAll(traffic: Traffic): Promise<ReadonlyMap<string, RequestCount>> {
    const counts = new Map<string, RequestCount>();
    const inFlight: Promise<void>[] = [];
    const started = clock.mono();
    for (let count = 0; ; count += 1) {
      const due = (count * 1_000) / traffic.perS;
      if (due >= traffic.forMs) break;
      await delay(clock, due - (clock.mono() - started));
      const requestType = shape.requestTypes[count % shape.requestTypes.length];
      const caller = callers[randomInt(rng, callers.length)];
      if (requestType && caller) inFlight.push(sendOne(caller, requestType));
    }
    await Promise.all(inFlight);
    return counts;

    async function sendOne(caller: Caller, requestType: RequestSpec): Promise<void> {
      const name = requestType.path.split('/')[1] ?? '';
      const count = counts.get(name) ?? { asked: 0, served: 0, firstMs: [] };
      counts.set(name, count);
      count.asked += 1;
      const result = await caller.call({ ...requestType, prefix: withUniqueSuffix(requestType.prefix) });
      if (result.succeeded) count.served += 1;
      if (result.firstMs !== null) count.firstMs.push(result.firstMs);
    }
  }
  /** Gives each request a prompt prefix whose last part is its own. */
  function withUniqueSuffix(prefix: string | null): string | null {
    return prefix === null ? null : prefix.replace(/[0-9a-f]+:(\d+)$/, replaceSuffix);
    function replaceSuffix(_all: string, tokens: string): string {
      return `${randomInt(rng, 0xffffffff).toString(16)}:${tokens}`;
    }
  }

  async function direct(node: SiteNode, requestType: RequestSpec): Promise<CallResult> {
    const [caller] = callers;
    if (!caller) return { succeeded: false, tries: 0, status: 0, firstMs: null, wholeMs: 0 };
    return caller.callEdge(`${node.ip}:${PORT.front}`, requestType);
  }

  function asked(count: number): Promise<unknown> {
    let remaining = count;
    function isLast(rec: { readonly what: string; readonly at: number }): boolean {
      if (rec.what !== 'asked' || rec.at < from) return false;
      remaining -= 1;
      return remaining <= 0;
    }
    const from = clock.mono();
    return Promise.race([records.until(isLast), trafficDone]);
  }

  let lastControllerIndex = 1;
  function addController(zone: string): SiteNode | null {
    const role = deploy.roles.find(isCore);
    function isCore(role: Role): boolean {
      return role.on === 'core';
    }
    if (!role) return null;
    lastControllerIndex += 1;
    return addNode(role, zones.indexOf(zone), zone, lastControllerIndex);
  }
  function removeNode(node: SiteNode): void {
    nodes.splice(nodes.indexOf(node), 1);
    removedNodes.push(node);
  }
  async function replaceController(node: SiteNode): Promise<void> {
    node.process.signal('SIGKILL');
    removeNode(node);
    await addController(node.zone)?.restart();
  }
  function listenersOf(node: SiteNode): readonly string[] {
    return node.core ? [node.control, `${node.ip}:${PORT.directory}`] : [`${node.ip}:${PORT.front}`];
  }
  async function crashWorker(siteWorker: SiteWorker): Promise<void> {
    const { id } = siteWorker.worker.seen();
    await siteWorker.worker.crash();
    function dropFromList(): void {
      list.remove(id);
    }
    clock.timer(CRASHED_LISTED_MS, dropFromList);
  }
  async function restartWorker(siteWorker: SiteWorker, coldMs: number): Promise<void> {
    list.remove(siteWorker.worker.seen().id);
    await siteWorker.worker.start({ coldMs });
    list.publish(siteWorker.worker.seen());
  }
  function drainWorker(siteWorker: SiteWorker, remainingMs: number | null): void {
    siteWorker.worker.drain(remainingMs);
    list.publish(siteWorker.worker.seen());
    const { id } = siteWorker.worker.seen();
    function unlisted(): void {
      list.remove(id);
    }
    if (remainingMs !== null) clock.timer(remainingMs, unlisted);
  }

  function unexpectedExits(): readonly ProcessExit[] {
    return [...nodes, ...removedNodes].flatMap(exitsOf);
    function exitsOf(siteNode: SiteNode): readonly ProcessExit[] {
      return siteNode.process.unexpectedExits();
    }
  }
  function killAll(): void {
    for (const siteNode of nodes) siteNode.process.signal('SIGKILL');
  }
  function onExit(): void {
    killAll();
    rmSync(folder, { recursive: true, force: true });
  }
  async function stop(): Promise<void> {
    for (const caller of callers) caller.close();
    for (const siteNode of nodes) {
      siteNode.process.signal('SIGCONT');
      siteNode.process.signal('SIGTERM');
    }
    const killTimer = clock.timer(STOP_TIMEOUT_MS, killAll);
    for (const siteNode of nodes) await siteNode.process.ended();
    killTimer.cancel();
    process.off('exit', onExit);
    for (const siteWorker of siteWorkers) await siteWorker.worker.end();
    await list.stop();
    rmSync(folder, { recursive: true, force: true });
  }

  process.on('exit', onExit);
  await startWorkers();
  for (const siteNode of nodes) await siteNode.restart();
  isBootstrap = false;
  startCallers();
  return {
    folder,
    records,
    list,
    nodes,
    workers: siteWorkers,
    operator,
    load,
    direct,
    waitUntilReady,
    asked,
    replaceController,
    addController,
    removeNode,
    listenersOf,
    crashWorker,
    restartWorker,
    drainWorker,
    unexpectedExits,
    stop,
  };
}

/** Tries networks until the worker list can listen in one of them. */
async function claimLoopbackNet(
  clock: Clock,
  records: Records,
  maxLagMs: number,
): Promise<{ readonly list: StandinList; readonly net: number } | null> {
  for (let offset = 0; offset < MAX_NETS; offset += 1) {
    const net = 20 + ((process.pid + offset) % MAX_NETS);
    try {
      return {
        list: await startStandinList(
          { ...LIST_DEFAULTS, maxLagMs, ip: `127.${net}.0.1`, port: PORT.list },
          clock,
          records,
        ),
        net,
      };
    } catch {
      continue;
    }
  }
  return null;
}

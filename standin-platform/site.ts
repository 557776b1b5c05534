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
import { machinesOf, readDeployFile } from './deploy-file.js';
import type { Role } from './deploy-file.js';
import { BOUNDS } from './facts.js';
import { LIST_DEFAULTS, startStandinList } from './list.js';
import type { StandinList } from './list.js';
import { createNodeProcess } from './node-process.js';
import type { End, NodeProcess } from './node-process.js';
import { createOperator } from './operator.js';
import type { Operator } from './operator.js';
import { createCaller } from './caller.js';
import type { Caller, CallResult, RequestSpec } from './caller.js';
import { createRecords } from './records.js';
import type { JournalRecord, Records } from './records.js';
import { documentOf, HOST } from './shape.js';
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
const NETS = 200;
const READY_MS = 20_000;
const LEAVE_MS = 10_000;
const CRASHED_SHOWN_MS = 2_000;

export type SiteNode = {
  readonly name: string;
  readonly core: boolean;
  readonly zone: string;
  readonly region: string;
  readonly ip: string;
  /** Where operators call it; of use for controllers only. */
  readonly control: string;
  readonly serves: readonly string[];
  readonly process: NodeProcess;
  readonly restart: (wipe?: boolean) => Promise<void>;
  readonly rewrite: () => void;
};

export type PlacedWorker = { readonly model: string; readonly zone: string; readonly worker: StandinWorker };

export type Load = { readonly perS: number; readonly forMs: number };

export type Count = { asked: number; served: number; firstMs: number[] };

export type Site = {
  readonly folder: string;
  readonly records: Records;
  readonly list: StandinList;
  readonly nodes: readonly SiteNode[];
  readonly workers: readonly PlacedWorker[];
  readonly operator: Operator;
  readonly load: (load: Load) => Promise<ReadonlyMap<string, Count>>;
  readonly direct: (node: SiteNode, wish: RequestSpec) => Promise<CallResult>;
  readonly up: () => Promise<boolean>;
  readonly asked: (more: number) => Promise<unknown>;
  readonly replaceCore: (node: SiteNode) => Promise<void>;
  /** One more controller, empty and not started; null where the deploy file has none. */
  readonly addController: (zone: string) => SiteNode | null;
  /** A machine that has ended and does not come back. */
  readonly removeNode: (node: SiteNode) => void;
  /** Where callers and operators reach a machine. */
  readonly listenersOf: (node: SiteNode) => readonly string[];
  readonly crashWorker: (placedWorker: PlacedWorker) => Promise<void>;
  readonly restartWorker: (placedWorker: PlacedWorker, coldMs: number) => Promise<void>;
  readonly drainWorker: (placedWorker: PlacedWorker, remainingMs: number | null) => void;
  readonly ownEnds: () => readonly End[];
  readonly stop: () => Promise<void>;
};

export type SiteDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly root: string;
  readonly deployFile: string;
  readonly shape: Shape;
  /** Callers who keep connections use them until they are ended, instead of leaving proxies that are not named any more. */
  readonly ignoreRemovals?: boolean;
};

export async function startSite(deps: SiteDeps): Promise<Site | null> {
  const { clock, rng, root, shape } = deps;
  const records = createRecords(clock.mono);
  const claimed = await claimNet(clock, records, shape.listLagMs);
  if (!claimed) return null;
  const { list, net } = claimed;
  const folder = mkdtempSync(join(tmpdir(), 'millfield-site-'));
  for (const part of ['settings', 'logs', 'data']) mkdirSync(join(folder, part));
  const zones = Object.keys(shape.zones);
  const placed: PlacedWorker[] = [];
  const nodes: SiteNode[] = [];
  const former: SiteNode[] = [];
  const callers: Caller[] = [];
  let bootstrap = true;
  let loading: Promise<unknown> = Promise.resolve();

  const deploy = readDeployFile(deps.deployFile);
  for (const role of deploy.roles) for (const [name, zone] of zones.entries()) place(role, name, zone);

  function place(role: Role, zoneIndex: number, zone: string): void {
    const available = role.on === 'core' ? 1 : shape.edgesPerZone;
    for (let count = 1; count <= machinesOf(role, available); count += 1) addNode(role, zoneIndex, zone, count);
  }
  function addNode(role: Role, zoneIndex: number, zone: string, count: number): SiteNode {
    const core = role.on === 'core';
    const ip = `127.${net}.${zoneIndex + 1}.${core ? 200 + count : count}`;
    const name = `${role.on}-${zone}-${count}-${role.name}`;
    const settingsFile = join(folder, 'settings', `${name}.toml`);
    const own = createNodeProcess(
      {
        name,
        role,
        core,
        edge: `${ip}:${PORT.front}`,
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
      control: `${ip}:${PORT.control}`,
      serves: role.serves,
      process: own,
      restart,
      rewrite,
    };
    nodes.push(node);
    return node;
    function rewrite(): void {
      writeSettings(node, role.name, settingsFile);
    }
    async function restart(wipe = false): Promise<void> {
      await own.ended();
      if (wipe) rmSync(join(folder, 'data', name), { recursive: true, force: true });
      rewrite();
      own.start();
    }
  }

  function serving(what: string): readonly SiteNode[] {
    return nodes.filter(has);
    function has(siteNode: SiteNode): boolean {
      return siteNode.serves.includes(what);
    }
  }
  function controls(): readonly string[] {
    return serving('control_plane').map(at);
    function at(siteNode: SiteNode): string {
      return siteNode.control;
    }
  }

  function seeds(): readonly string[] {
    const all = controls().slice(0, 3);
    return bootstrap ? all : [...all].reverse();
  }

  function writeSettings(node: SiteNode, role: string, file: string): void {
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
    writeFileSync(
      file,
      stringify({
        [SETTING.name]: node.name,
        [SETTING.role]: role,
        [SETTING.machines]: node.core ? 'core' : 'edge',
        [SETTING.serves]: [...node.serves],
        [SETTING.ip]: node.ip,
        [SETTING.zone]: node.zone,
        [SETTING.region]: node.region,
        [SETTING.ports]: [PORT.first, PORT.last],
        [SETTING.seeds]: seeds(),
        [SETTING.bootstrap]: bootstrap,
        [SETTING.counted]: node.core,
        ...(node.core ? { [SETTING.dataFolder]: dataFolder } : {}),
        discovery: 'platform',
        entrypoint: 'registry',
        beatIntervalMs: 1_200,
        contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'places'],
        [SETTING.zones]: { ...shape.zones },
        [SETTING.addresses]: addresses,
        [SETTING.limits]: limits,
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
      }),
    );
  }

  async function startWorkers(): Promise<void> {
    for (const [name, zone] of zones.entries()) {
      let count = 0;
      for (const workerGroup of shape.groups) {
        for (let key = 0; key < workerGroup.count; key += 1) {
          count += 1;
          const spec = {
            ...WORKER_DEFAULTS,
            ...workerGroup,
            ip: `127.${net}.${name + 100}.${count}`,
            port: PORT.worker,
            zone,
            region: shape.zones[zone] ?? '',
          };
          const worker = createStandinWorker(spec, { clock, rng, records });
          await worker.start();
          list.publish(worker.seen());
          placed.push({ model: workerGroup.model, zone, worker });
        }
      }
    }
  }

  function startCallers(): void {
    for (const zone of zones) {
      const near = [...serving('registry')].sort(nearFirst);
      for (const keepConnections of [true, false]) {
        const directories = near.map(directoryOf);
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

  const operator = createOperator({ clock, rng, records, nodes: controls, withinMs: BOUNDS.ackWithinMs });

  async function edgesReady(): Promise<boolean> {
    for (const siteNode of serving('edge'))
      if ((await sendRequest(`${siteNode.ip}:${PORT.readiness}`, clock, 'GET', API_PATH.ready, 1_000))?.status !== 200)
        return false;
    return true;
  }
  async function directoriesKnow(): Promise<boolean> {
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
  async function up(): Promise<boolean> {
    for (const placedWorker of placed) await records.until(lists(placedWorker.worker.seen().id));
    const until = clock.mono() + READY_MS;
    let base = false;
    while (clock.mono() < until && !base)
      base = (await operator.replace(documentOf(shape, 1), 0)).outcome === 'acknowledged';
    while (base && clock.mono() < until) {
      if ((await edgesReady()) && (await directoriesKnow())) return true;
      await delay(clock, 50);
    }
    return false;
  }

  function lists(id: string): (rec: JournalRecord) => boolean {
    function isListed(rec: JournalRecord): boolean {
      return rec.what === 'listed' && rec.worker === id;
    }
    return isListed;
  }

  function load(traffic: Load): Promise<ReadonlyMap<string, Count>> {
    const mine = loadAll(traffic);
    loading = mine;
    return mine;
  }
  async function loadAll(load: Load): Promise<ReadonlyMap<string, Count>> {
    const counts = new Map<string, Count>();
    const flying: Promise<void>[] = [];
    const started = clock.mono();
    for (let count = 0; ; count += 1) {
      const due = (count * 1_000) / load.perS;
      if (due >= load.forMs) break;
      await delay(clock, due - (clock.mono() - started));
      const wish = shape.wishes[count % shape.wishes.length];
      const caller = callers[randomInt(rng, callers.length)];
      if (wish && caller) flying.push(one(caller, wish));
    }
    await Promise.all(flying);
    return counts;

    async function one(caller: Caller, wish: RequestSpec): Promise<void> {
      const name = wish.path.split('/')[1] ?? '';
      const count = counts.get(name) ?? { asked: 0, served: 0, firstMs: [] };
      counts.set(name, count);
      count.asked += 1;
      const told = await caller.call({ ...wish, prefix: ownEnd(wish.prefix) });
      if (told.succeeded) count.served += 1;
      if (told.firstMs !== null) count.firstMs.push(told.firstMs);
    }
  }
  function ownEnd(prefix: string | null): string | null {
    return prefix === null ? null : prefix.replace(/[0-9a-f]+:(\d+)$/, last);
    function last(_all: string, tokens: string): string {
      return `${randomInt(rng, 0xffffffff).toString(16)}:${tokens}`;
    }
  }

  async function direct(node: SiteNode, wish: RequestSpec): Promise<CallResult> {
    const [caller] = callers;
    if (!caller) return { succeeded: false, tries: 0, status: 0, firstMs: null, wholeMs: 0 };
    return caller.callEdge(`${node.ip}:${PORT.front}`, wish);
  }

  function asked(more: number): Promise<unknown> {
    let left = more;
    function counted(rec: { readonly what: string; readonly at: number }): boolean {
      if (rec.what !== 'asked' || rec.at < from) return false;
      left -= 1;
      return left <= 0;
    }
    const from = clock.mono();
    return Promise.race([records.until(counted), loading]);
  }

  let added = 1;
  function addController(zone: string): SiteNode | null {
    const role = deploy.roles.find(isCore);
    function isCore(role: Role): boolean {
      return role.on === 'core';
    }
    if (!role) return null;
    added += 1;
    return addNode(role, zones.indexOf(zone), zone, added);
  }
  function removeNode(node: SiteNode): void {
    nodes.splice(nodes.indexOf(node), 1);
    former.push(node);
  }
  async function replaceCore(node: SiteNode): Promise<void> {
    node.process.signal('SIGKILL');
    removeNode(node);
    await addController(node.zone)?.restart();
  }
  function listenersOf(node: SiteNode): readonly string[] {
    return node.core ? [node.control, `${node.ip}:${PORT.directory}`] : [`${node.ip}:${PORT.front}`];
  }
  async function crashWorker(placedWorker: PlacedWorker): Promise<void> {
    const { id } = placedWorker.worker.seen();
    await placedWorker.worker.crash();
    function unlisted(): void {
      list.remove(id);
    }
    clock.timer(CRASHED_SHOWN_MS, unlisted);
  }
  async function restartWorker(placedWorker: PlacedWorker, coldMs: number): Promise<void> {
    list.remove(placedWorker.worker.seen().id);
    await placedWorker.worker.start({ coldMs });
    list.publish(placedWorker.worker.seen());
  }
  function drainWorker(placedWorker: PlacedWorker, remainingMs: number | null): void {
    placedWorker.worker.drain(remainingMs);
    list.publish(placedWorker.worker.seen());
    const { id } = placedWorker.worker.seen();
    function unlisted(): void {
      list.remove(id);
    }
    if (remainingMs !== null) clock.timer(remainingMs, unlisted);
  }

  function ownEnds(): readonly End[] {
    return [...nodes, ...former].flatMap(endsOf);
    function endsOf(siteNode: SiteNode): readonly End[] {
      return siteNode.process.ownEnds();
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
    const late = clock.timer(LEAVE_MS, killAll);
    for (const siteNode of nodes) await siteNode.process.ended();
    late.cancel();
    process.off('exit', onExit);
    for (const placedWorker of placed) await placedWorker.worker.end();
    await list.stop();
    rmSync(folder, { recursive: true, force: true });
  }

  process.on('exit', onExit);
  await startWorkers();
  for (const siteNode of nodes) await siteNode.restart();
  bootstrap = false;
  startCallers();
  return {
    folder,
    records,
    list,
    nodes,
    workers: placed,
    operator,
    load,
    direct,
    up,
    asked,
    replaceCore,
    addController,
    removeNode,
    listenersOf,
    crashWorker,
    restartWorker,
    drainWorker,
    ownEnds,
    stop,
  };
}

async function claimNet(
  clock: Clock,
  records: Records,
  maxLagMs: number,
): Promise<{ readonly list: StandinList; readonly net: number } | null> {
  for (let key = 0; key < NETS; key += 1) {
    const net = 20 + ((process.pid + key) % NETS);
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

/** A simulated fleet: controllers, proxies, workers, the stand-ins of the cloud and the platform, and callers. */
import { startStandinCloud } from '../standin/cloud.js';
import { checkRecords } from '../standin/check.js';
import type { RuleViolation, CheckRules, JournalRecord } from '../standin/check.js';
import { findMark } from '../standin/mark.js';
import { runCaller } from '../standin/caller.js';
import type { CallerSettings, CallerCounts } from '../standin/caller.js';
import { startStandinPlatform } from '../standin/platform.js';
import { startStandinWorker, WORKER_DEFAULTS } from '../standin/worker.js';
import { startController } from '../coordination/controller.js';
import type { Controller, ControllerRingShapes } from '../coordination/controller.js';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { startProxy } from '../coordination/proxy/proxy.js';
import type { Proxy } from '../coordination/proxy/proxy.js';
import { POLICIES } from '../state/forwarding/policies.js';
import type { Policy } from '../state/forwarding/policies.js';
import type { Result } from '../base/result.js';
import { REQUESTS_PATH } from '../protocol/caller-wire.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import { createQuietLog } from '../transport/log.js';
import type { LogRoot } from '../transport/log.js';
import { createMeters } from '../transport/meters.js';
import { createRng, newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createPlatter, eraseDisk, losePower, createSimDisk } from './sim-disk.js';
import type { Platter } from './sim-disk.js';
import { sabotageLedger } from './sabotage.js';
import type { Sabotage } from './sabotage.js';
import { createSimHttp } from './sim-http.js';
import { SMALL } from './shapes.js';
import type { FleetShape } from './shapes.js';
import { createSimNet } from './sim-wire.js';
import type { FrameDisturbance } from './sim-wire.js';
import { createWorld } from './world.js';
import type { Host, Proc, World } from './world.js';

/** A proxy; `proxy` is null while its process is stopped. */
export type SimProxy = {
  readonly host: Host;
  proxy: Proxy | null;
  readonly name: string;
  readonly http: string;
  readonly platter: Platter;
};
/** A controller; `controller` is null while its process is stopped. */
export type SimController = {
  readonly host: Host;
  controller: Controller | null;
  readonly name: string;
  http: string;
  wire: string;
  readonly platter: Platter;
};
/** A worker; `fixed` ones are not managed by the scaler. */
export type SimWorker = {
  readonly host: Host;
  readonly id: string;
  http: string;
  readonly zone: string;
  readonly fixed: boolean;
};

/**
 * The simulated fleet. Hosts of the test and of the stand-ins are in the zone `lab`, which partitions do not affect.
 */
export type SimFleet = {
  readonly world: World;
  readonly seed: number;
  readonly records: JournalRecord[];
  readonly violations: RuleViolation[];
  readonly controllers: readonly SimController[];
  readonly proxies: readonly SimProxy[];
  readonly workers: readonly SimWorker[];
  readonly cloudAddress: string;
  readonly platformAddress: string;
  /**
   * Starts all nodes, bootstraps and configures the fleet, and waits until its workers are ready; false if one step
   * fails.
   */
  readonly start: () => Promise<boolean>;
  readonly startNode: (name: string) => Promise<void>;
  readonly kill: (name: string) => void;
  /** Kills a node and loses or truncates its unsynced writes. */
  readonly powerLoss: (name: string) => void;
  /** Erases the disk of a node. */
  readonly wipe: (name: string) => void;
  /** Restarts a controller at new addresses. */
  readonly moveController: (controllerIndex: number) => void;
  /** Restarts a worker at a new address. */
  readonly moveWorker: (id: string) => void;
  /** Makes later starts use the addresses of the first controllers as seeds, even after controllers have moved. */
  readonly keepBootstrapSeeds: () => void;
  readonly setFrameDisturbance: (newDisturbance: FrameDisturbance) => void;
  readonly shape: FleetShape;
  readonly zones: readonly string[];
  /** Index of the controller that holds the scaler lease and is not frozen; -1 if there is none. */
  readonly holder: () => number;
  readonly hostOf: (name: string) => Host;
  readonly httpClientOf: (proc: Proc) => HttpClient;
  /** Partitions these hosts from all others, in both directions. */
  readonly isolate: (names: readonly string[]) => void;
  readonly call: (
    httpCall: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number },
  ) => Promise<Result<HttpAnswer, HttpError>>;
  /** Sends an operator request to the controller with this index. */
  readonly operator: (
    controllerIndex: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs?: number,
  ) => Promise<Result<HttpAnswer, HttpError>>;
  /** Runs a caller that sends requests from a zone. */
  readonly traffic: (
    settings: Partial<CallerSettings> & { readonly zone: string; readonly seconds: number },
  ) => Promise<CallerCounts>;
  readonly run: (ms: number) => Promise<void>;
  readonly until: (limitMs: number, test: () => boolean) => Promise<boolean>;
  /** Runs the simulation until a promise is settled; null after the time limit. */
  readonly runUntilSettled: <T>(work: Promise<T>, limitMs: number) => Promise<T | null>;
  /** Checks the records against the rules and returns all violations so far. */
  readonly check: (rules?: Partial<CheckRules>) => RuleViolation[];
  /** Whether some controller knows of at least one order, and only of ready spot orders. */
  readonly allReady: () => boolean;
  /** Frames, bytes and HTTP calls of all processes since the start. */
  readonly load: () => { readonly frames: number; readonly bytes: number; readonly calls: number };
};

function ringShapesOf(shape: FleetShape): ControllerRingShapes {
  const fileBytes = shape.ringFileBytes ?? 48 * 1024;
  return {
    ledger: { name: 'ledger', files: 4, fileBytes, snapshotBytes: Math.max(1_048_576, 4 * fileBytes) },
    claims: { name: 'claims', files: 3, fileBytes: 32 * 1024, snapshotBytes: 524_288 },
  };
}

/** Creates a fleet whose nodes are not started yet; `sabotage` adds faults that the checks have to find. */
export function createSimFleet(
  seed: number,
  shape: FleetShape = SMALL,
  logs: LogRoot = createQuietLog(),
  sabotage: Sabotage = {},
): SimFleet {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const http = createSimHttp(world, recordBody);
  const records: JournalRecord[] = [];
  const violations: RuleViolation[] = [];
  const zones = Object.keys(shape.zones);
  const batchBySlot = new Map<number, string>();
  const starters = new Map<string, (proc: Proc) => Promise<void>>();
  let port = 10_000;
  let processCount = 0;
  for (const [pair, ms] of Object.entries(shape.delayMs)) {
    const [zoneA, zoneB] = pair.split('|');
    world.setDelay(zoneA as string, zoneB as string, ms);
  }

  function nextAddress(): string {
    port += 1;
    return `10.0.0.1:${port}`;
  }
  function recordBody(host: Host, path: string, body: unknown): void {
    if (path !== REQUESTS_PATH) return;
    const { parts } = body as { readonly parts?: unknown };
    if (!Array.isArray(parts)) return;
    records.push({
      who: 'body',
      at: world.now(),
      event: 'body',
      node: host.name,
      zone: host.zone,
      region: shape.zones[host.zone],
      mark: findMark(parts as { readonly hash: string }[]),
    });
  }
  function nextProcessRng(): Rng {
    processCount += 1;
    return createRng(Math.imul(seed, 7_919) + processCount * 104_729);
  }
  function createJournal(): Journal {
    function append(record: JournalRecord): void {
      records.push({ ...record, at: world.now() });
    }
    function close(): Promise<void> {
      return Promise.resolve();
    }
    return { record: append, close };
  }
  function depsOf(proc: Proc, platter: Platter | null): NodeDeps {
    return {
      clock: world.clockOf(proc),
      rng: nextProcessRng(),
      wire: net.wireOf(proc),
      httpServer: http.httpServerOf(proc),
      httpClient: http.httpClientOf(proc),
      disk: platter ? createSimDisk(platter, proc, world) : null,
      logs,
      policies,
      meters: createMeters,
    };
  }

  const policies: Policy[] = [];
  for (const policy of POLICIES) if (policy.name !== sabotage.withoutPolicy) policies.push(policy);
  const platformAddress = nextAddress();
  const cloudAddress = nextAddress();
  const labHost = world.host('lab', 'lab');
  const labHttpClient = http.httpClientOf(world.startProcess(labHost));

  const controllers: SimController[] = zones.map(controllerOf);
  const bootstrapSeeds = controllers.map(wireOf);
  let seedsFollowMoves = true;
  function keepBootstrapSeeds(): void {
    seedsFollowMoves = false;
  }
  const proxies: SimProxy[] = zones.flatMap(proxiesOf);
  const workers: SimWorker[] = zones.flatMap(workersOf);

  function createFleetPlatter(): Platter {
    const platter = createPlatter();
    platter.ignoresSyncs = sabotage.disksLie === true;
    return platter;
  }
  function controllerOf(zone: string, i: number): SimController {
    const name = `controller-${i + 1}`;
    const simController: SimController = {
      host: world.host(name, zone),
      controller: null,
      name,
      http: nextAddress(),
      wire: nextAddress(),
      platter: createFleetPlatter(),
    };
    async function start(proc: Proc): Promise<void> {
      const deps = depsOf(proc, simController.platter);
      const started = await startController(
        identityOf(name, zone, simController.wire, simController.http, deps),
        deps,
        ringShapesOf(shape),
      );
      if (!started.ok) {
        records.push({ who: 'sim', at: world.now(), event: 'startFailed', node: name, fault: started.error });
        return;
      }
      simController.controller = started.value;
      sabotageLedger(started.value.ledger, sabotage);
      watchLedger(name, started.value);
    }
    starters.set(name, start);
    return simController;
  }
  function wireOf(simController: SimController): string {
    return simController.wire;
  }

  function identityOf(name: string, zone: string, wire: string, httpAddress: string, deps: NodeDeps): NodeIdentity {
    return {
      name,
      run: newId(deps.rng, 'run'),
      zone,
      region: shape.zones[zone] as string,
      listen: wire,
      advertised: wire,
      httpListen: httpAddress,
      http: httpAddress,
      seeds: seedsFollowMoves ? controllers.map(wireOf) : bootstrapSeeds,
      platform: platformAddress,
      cloud: cloudAddress,
    };
  }

  function watchLedger(name: string, controller: Controller): void {
    let lastSlot = controller.ledger.controlState().slot;
    function onFolded(event: { readonly slot: number; readonly batch: { readonly id: string } }): void {
      const text = JSON.stringify(event.batch);
      const known = batchBySlot.get(event.slot);
      if (known === undefined) batchBySlot.set(event.slot, text);
      else if (known !== text)
        violations.push({ rule: 'oneLedger', detail: `${name} applied a different batch in slot ${event.slot}` });
      if (event.slot <= lastSlot)
        violations.push({
          rule: 'oneLedger',
          detail: `${name} moved backwards from slot ${lastSlot} to ${event.slot}`,
        });
      lastSlot = event.slot;
    }
    controller.ledger.events.on('folded', onFolded);
  }

  function proxiesOf(zone: string): SimProxy[] {
    const simProxies: SimProxy[] = [];
    for (let i = 0; i < (shape.proxies[zone] ?? 0); i += 1) {
      const name = `proxy-${zone}-${i + 1}`;
      const wire = nextAddress();
      const simProxy: SimProxy = {
        host: world.host(name, zone),
        proxy: null,
        name,
        http: nextAddress(),
        platter: createPlatter(),
      };
      async function start(proc: Proc): Promise<void> {
        const deps = depsOf(proc, simProxy.platter);
        const started = await startProxy(identityOf(name, zone, wire, simProxy.http, deps), deps);
        simProxy.proxy = started.ok ? started.value : null;
      }
      starters.set(name, start);
      simProxies.push(simProxy);
    }
    return simProxies;
  }

  function workersOf(zone: string): SimWorker[] {
    const simWorkers: SimWorker[] = [];
    const scalableCount = shape.machines[zone] ?? 0;
    for (let i = 0; i < scalableCount + shape.fixed.perZone; i += 1) {
      const fixed = i >= scalableCount;
      const id = fixed ? `gateway-${zone}-${i - scalableCount + 1}` : `machine-${zone}-${i + 1}`;
      const simWorker: SimWorker = { host: world.host(id, zone), id, http: nextAddress(), zone, fixed };
      async function start(proc: Proc): Promise<void> {
        const deps = depsOf(proc, null);
        await startStandinWorker(
          {
            id,
            zone,
            region: shape.zones[zone] as string,
            address: simWorker.http,
            platform: platformAddress,
            cloud: cloudAddress,
            fixedModel: fixed ? shape.fixed.model : null,
            ...WORKER_DEFAULTS,
          },
          { ...deps, journal: createJournal() },
        );
      }
      starters.set(id, start);
      simWorkers.push(simWorker);
    }
    return simWorkers;
  }

  async function startPlatform(proc: Proc): Promise<void> {
    await startStandinPlatform(platformAddress, world.clockOf(proc), http.httpServerOf(proc), createJournal());
  }
  async function startCloud(proc: Proc): Promise<void> {
    const deps = depsOf(proc, null);
    await startStandinCloud(
      {
        address: cloudAddress,
        platform: platformAddress,
        prices: shape.prices,
        ignoresIdempotencyKeys: sabotage.cloudForgetsKeys === true,
        listLagMs: sabotage.listLagMs ?? 0,
      },
      { ...deps, journal: createJournal() },
    );
  }
  starters.set('platform', startPlatform);
  starters.set('cloud', startCloud);
  world.host('platform', 'lab');
  world.host('cloud', 'lab');

  function hostOf(name: string): Host {
    return world.host(name, 'lab');
  }

  async function startNode(name: string): Promise<void> {
    const starter = starters.get(name);
    if (!starter) return;
    await starter(world.startProcess(hostOf(name)));
  }

  function kill(name: string): void {
    world.kill(hostOf(name));
    clearInstance(name);
  }
  function clearInstance(name: string): void {
    for (const simController of controllers) if (simController.name === name) simController.controller = null;
    for (const simProxy of proxies) if (simProxy.name === name) simProxy.proxy = null;
  }
  function platterOf(name: string): Platter | null {
    for (const node of [...controllers, ...proxies]) if (node.name === name) return node.platter;
    return null;
  }
  function powerLoss(name: string): void {
    const host = hostOf(name);
    host.powered = false;
    kill(name);
    const platter = platterOf(name);
    if (platter) losePower(platter, world);
  }
  function wipe(name: string): void {
    const platter = platterOf(name);
    if (platter) eraseDisk(platter);
  }

  function moveController(controllerIndex: number): void {
    const simController = controllers[controllerIndex] as SimController;
    kill(simController.name);
    simController.http = nextAddress();
    simController.wire = nextAddress();
    void startNode(simController.name);
  }
  function moveWorker(id: string): void {
    const worker = workers.find(hasId);
    if (!worker) return;
    kill(id);
    worker.http = nextAddress();
    void startNode(id);
    function hasId(simWorker: SimWorker): boolean {
      return simWorker.id === id;
    }
  }
  function holder(): number {
    for (let i = 0; i < controllers.length; i += 1) {
      const simController = controllers[i] as SimController;
      if (simController.controller && !simController.host.frozen && simController.controller.holdsScaler()) return i;
    }
    return -1;
  }

  function isolate(names: readonly string[]): void {
    const isolated = new Set(names);
    for (const host of world.hosts()) {
      for (const otherHost of world.hosts()) {
        if (host.zone === 'lab' || otherHost.zone === 'lab') continue;
        if (isolated.has(host.name) !== isolated.has(otherHost.name)) world.cut(host.name, otherHost.name);
      }
    }
  }

  function call(
    httpCall: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number },
  ): Promise<Result<HttpAnswer, HttpError>> {
    return runUntilSettled(labHttpClient.call({ timeoutMs: 12_000, ...httpCall }), 13_000).then(resultOrTimeout);
  }
  function resultOrTimeout(result: Result<HttpAnswer, HttpError> | null): Result<HttpAnswer, HttpError> {
    return result ?? { ok: false, error: { tag: 'timedOut' } };
  }

  function operator(
    controllerIndex: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs?: number,
  ): Promise<Result<HttpAnswer, HttpError>> {
    const limit = timeoutMs === undefined ? {} : { timeoutMs };
    return call({
      method,
      address: (controllers[controllerIndex] as SimController).http,
      path,
      ...limit,
      ...(body === undefined ? {} : { body }),
    });
  }

  async function runUntilSettled<T>(work: Promise<T>, limitMs: number): Promise<T | null> {
    let done = false;
    let value: T | null = null;
    function onSettled(settledValue: T): void {
      done = true;
      value = settledValue;
    }
    void work.then(onSettled);
    function isDone(): boolean {
      return done;
    }
    await world.until(limitMs, isDone);
    return value;
  }

  async function start(): Promise<boolean> {
    const names = ['platform', 'cloud', ...controllers.map(nameOf), ...proxies.map(nameOf), ...workers.map(idOf)];
    for (const name of names) void startNode(name);
    await world.advance(1_500);
    const bootstrapped = await operator(0, 'POST', '/v1/bootstrap', { members: controllers.map(wireOf) });
    if (!bootstrapped.ok || bootstrapped.value.status !== 200) return false;
    const known = await world.until(20_000, allProxiesKnown);
    const applied = await operator(0, 'POST', '/v1/configuration', { base: 0, configuration: shape.configuration });
    if (!known || !applied.ok || applied.value.status !== 200) return false;
    return world.until(60_000, allReady);
  }
  function nameOf(node: { readonly name: string }): string {
    return node.name;
  }
  function idOf(simWorker: SimWorker): string {
    return simWorker.id;
  }
  function allProxiesKnown(): boolean {
    const controlState = controllers[0]?.controller?.ledger.controlState();
    return controlState !== undefined && Object.keys(controlState.proxies).length === proxies.length;
  }

  function allReady(): boolean {
    for (const simController of controllers) {
      const controlState = simController.controller?.ledger.controlState();
      if (!controlState) continue;
      let ready = 0;
      let open = 0;
      for (const order of Object.values(controlState.orders)) {
        open += 1;
        if (order.kind === 'spot' && order.status === 'ready') ready += 1;
      }
      if (ready > 0 && ready === open) return true;
    }
    return false;
  }

  function traffic(
    settings: Partial<CallerSettings> & { readonly zone: string; readonly seconds: number },
  ): Promise<CallerCounts> {
    const name = settings.name ?? `caller-${settings.zone}-${processCount}`;
    const proc = world.startProcess(world.host(name, settings.zone));
    const proxyAddresses: string[] = [];
    for (const simProxy of proxies) if (simProxy.host.zone === settings.zone) proxyAddresses.push(simProxy.http);
    for (const simProxy of proxies) if (simProxy.host.zone !== settings.zone) proxyAddresses.push(simProxy.http);
    return runCaller(
      {
        name,
        proxies: proxyAddresses,
        runOnceModel: shape.fixed.model,
        streamModels: shape.streamModels,
        kind: shape.kind,
        perSecond: shape.perSecond,
        runOnceShare: 0.4,
        prefixes: 6,
        maxRetries: 3,
        ...settings,
      },
      {
        clock: world.clockOf(proc),
        rng: nextProcessRng(),
        httpClient: http.httpClientOf(proc),
        journal: createJournal(),
      },
    );
  }

  function run(ms: number): Promise<void> {
    return world.advance(ms);
  }
  function until(limitMs: number, test: () => boolean): Promise<boolean> {
    return world.until(limitMs, test);
  }
  function check(rules: Partial<CheckRules> = {}): RuleViolation[] {
    const report = checkRecords(records, { regionsOfKind: shape.homesOfKind, drainNoticeGraceMs: 4_000, ...rules });
    return [...violations, ...report.broken];
  }

  function load(): { readonly frames: number; readonly bytes: number; readonly calls: number } {
    return { ...net.sent(), calls: http.calls() };
  }

  return {
    world,
    seed,
    records,
    violations,
    controllers,
    proxies,
    workers,
    cloudAddress,
    platformAddress,
    shape,
    zones,
    start,
    startNode,
    kill,
    powerLoss,
    wipe,
    moveController,
    moveWorker,
    keepBootstrapSeeds,
    setFrameDisturbance: net.setFrameDisturbance,
    holder,
    hostOf,
    httpClientOf: http.httpClientOf,
    isolate,
    call,
    operator,
    traffic,
    run,
    until,
    runUntilSettled,
    check,
    allReady,
    load,
  };
}

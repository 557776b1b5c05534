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
import { createPlatter, loseDisk, losePower, simDisk } from './sim-disk.js';
import type { Platter } from './sim-disk.js';
import { sabotageLedger } from './sabotage.js';
import type { Sabotage } from './sabotage.js';
import { createSimHttp } from './sim-http.js';
import { SMALL } from './shapes.js';
import type { FleetShape } from './shapes.js';
import { createSimNet } from './sim-wire.js';
import type { Turbulence } from './sim-wire.js';
import { createWorld } from './world.js';
import type { Host, Proc, World } from './world.js';

export type SimProxy = {
  readonly host: Host;
  proxy: Proxy | null;
  readonly name: string;
  readonly http: string;
  readonly platter: Platter;
};
export type SimController = {
  readonly host: Host;
  controller: Controller | null;
  readonly name: string;
  http: string;
  wire: string;
  readonly platter: Platter;
};
export type SimWorker = {
  readonly host: Host;
  readonly id: string;
  http: string;
  readonly zone: string;
  readonly fixed: boolean;
};

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
  readonly start: () => Promise<boolean>;
  readonly startNode: (name: string) => Promise<void>;
  readonly kill: (name: string) => void;
  readonly powerLoss: (name: string) => void;
  readonly wipe: (name: string) => void;
  readonly moveController: (at: number) => void;
  readonly moveWorker: (id: string) => void;
  readonly keepOldSeeds: () => void;
  readonly turbulence: (turbulence: Turbulence) => void;
  readonly shape: FleetShape;
  readonly zones: readonly string[];
  readonly holder: () => number;
  readonly hostOf: (name: string) => Host;
  readonly httpClientOf: (proc: Proc) => HttpClient;
  readonly cutOff: (names: readonly string[]) => void;
  readonly call: (
    c: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number },
  ) => Promise<Result<HttpAnswer, HttpError>>;
  readonly operator: (
    at: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs?: number,
  ) => Promise<Result<HttpAnswer, HttpError>>;
  readonly traffic: (
    s: Partial<CallerSettings> & { readonly zone: string; readonly seconds: number },
  ) => Promise<CallerCounts>;
  readonly run: (ms: number) => Promise<void>;
  readonly until: (limitMs: number, test: () => boolean) => Promise<boolean>;
  readonly finish: <T>(work: Promise<T>, limitMs: number) => Promise<T | null>;
  readonly check: (rules?: Partial<CheckRules>) => RuleViolation[];
  readonly allReady: () => boolean;
  readonly load: () => { readonly frames: number; readonly bytes: number; readonly calls: number };
};

function shapesOf(shape: FleetShape): ControllerRingShapes {
  const fileBytes = shape.ringFileBytes ?? 48 * 1024;
  return {
    ledger: { name: 'ledger', files: 4, fileBytes, snapshotBytes: Math.max(1_048_576, 4 * fileBytes) },
    claims: { name: 'claims', files: 3, fileBytes: 32 * 1024, snapshotBytes: 524_288 },
  };
}

export function createSimFleet(
  seed: number,
  shape: FleetShape = SMALL,
  logs: LogRoot = createQuietLog(),
  sabotage: Sabotage = {},
): SimFleet {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const http = createSimHttp(world, noteBody);
  const records: JournalRecord[] = [];
  const violations: RuleViolation[] = [];
  const zones = Object.keys(shape.zones);
  const chosen = new Map<number, string>();
  const starters = new Map<string, (proc: Proc) => Promise<void>>();
  let port = 10_000;
  let procs = 0;
  for (const [pair, ms] of Object.entries(shape.delayMs)) {
    const [first, second] = pair.split('|');
    world.setDelay(first as string, second as string, ms);
  }

  function address(): string {
    port += 1;
    return `10.0.0.1:${port}`;
  }
  function noteBody(host: Host, path: string, body: unknown): void {
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
  function procRng(): Rng {
    procs += 1;
    return createRng(Math.imul(seed, 7_919) + procs * 104_729);
  }
  function journal(): Journal {
    function note(record: JournalRecord): void {
      records.push({ ...record, at: world.now() });
    }
    function close(): Promise<void> {
      return Promise.resolve();
    }
    return { record: note, close };
  }
  function depsOf(proc: Proc, platter: Platter | null): NodeDeps {
    return {
      clock: world.clockOf(proc),
      rng: procRng(),
      wire: net.wireOf(proc),
      httpServer: http.httpServerOf(proc),
      httpClient: http.httpClientOf(proc),
      disk: platter ? simDisk(platter, proc, world) : null,
      logs,
      policies,
      meters: createMeters,
    };
  }

  const policies: Policy[] = [];
  for (const policy of POLICIES) if (policy.name !== sabotage.withoutPolicy) policies.push(policy);
  const platformAddress = address();
  const cloudAddress = address();
  const lab = world.host('lab', 'lab');
  const labHttpClient = http.httpClientOf(world.begin(lab));

  const controllers: SimController[] = zones.map(controllerOf);
  const bootstrapSeeds = controllers.map(wireOf);
  let seedsFollow = true;
  function keepOldSeeds(): void {
    seedsFollow = false;
  }
  const proxies: SimProxy[] = zones.flatMap(proxiesOf);
  const workers: SimWorker[] = zones.flatMap(workersOf);

  function freshPlatter(): Platter {
    const made = createPlatter();
    made.lies = sabotage.disksLie === true;
    return made;
  }
  function controllerOf(zone: string, i: number): SimController {
    const name = `controller-${i + 1}`;
    const made: SimController = {
      host: world.host(name, zone),
      controller: null,
      name,
      http: address(),
      wire: address(),
      platter: freshPlatter(),
    };
    async function start(proc: Proc): Promise<void> {
      const deps = depsOf(proc, made.platter);
      const started = await startController(identityOf(name, zone, made.wire, made.http, deps), deps, shapesOf(shape));
      if (!started.ok) {
        records.push({ who: 'sim', at: world.now(), event: 'startFailed', node: name, fault: started.error });
        return;
      }
      made.controller = started.value;
      sabotageLedger(started.value.ledger, sabotage);
      watchLedger(name, started.value);
    }
    starters.set(name, start);
    return made;
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
      seeds: seedsFollow ? controllers.map(wireOf) : bootstrapSeeds,
      platform: platformAddress,
      cloud: cloudAddress,
    };
  }

  function watchLedger(name: string, controller: Controller): void {
    let last = controller.ledger.controlState().slot;
    function folded(event: { readonly slot: number; readonly batch: { readonly id: string } }): void {
      const text = JSON.stringify(event.batch);
      const held = chosen.get(event.slot);
      if (held === undefined) chosen.set(event.slot, text);
      else if (held !== text)
        violations.push({ rule: 'oneLedger', detail: `${name} folded another batch into slot ${event.slot}` });
      if (event.slot <= last)
        violations.push({ rule: 'oneLedger', detail: `${name} went back from slot ${last} to ${event.slot}` });
      last = event.slot;
    }
    controller.ledger.events.on('folded', folded);
  }

  function proxiesOf(zone: string): SimProxy[] {
    const out: SimProxy[] = [];
    for (let i = 0; i < (shape.proxies[zone] ?? 0); i += 1) {
      const name = `proxy-${zone}-${i + 1}`;
      const wire = address();
      const made: SimProxy = {
        host: world.host(name, zone),
        proxy: null,
        name,
        http: address(),
        platter: createPlatter(),
      };
      async function start(proc: Proc): Promise<void> {
        const deps = depsOf(proc, made.platter);
        const started = await startProxy(identityOf(name, zone, wire, made.http, deps), deps);
        made.proxy = started.ok ? started.value : null;
      }
      starters.set(name, start);
      out.push(made);
    }
    return out;
  }

  function workersOf(zone: string): SimWorker[] {
    const out: SimWorker[] = [];
    const free = shape.machines[zone] ?? 0;
    for (let i = 0; i < free + shape.fixed.perZone; i += 1) {
      const fixed = i >= free;
      const id = fixed ? `gateway-${zone}-${i - free + 1}` : `machine-${zone}-${i + 1}`;
      const made: SimWorker = { host: world.host(id, zone), id, http: address(), zone, fixed };
      async function start(proc: Proc): Promise<void> {
        const deps = depsOf(proc, null);
        await startStandinWorker(
          {
            id,
            zone,
            region: shape.zones[zone] as string,
            address: made.http,
            platform: platformAddress,
            cloud: cloudAddress,
            fixedModel: fixed ? shape.fixed.model : null,
            ...WORKER_DEFAULTS,
          },
          { ...deps, journal: journal() },
        );
      }
      starters.set(id, start);
      out.push(made);
    }
    return out;
  }

  async function startPlatform(proc: Proc): Promise<void> {
    await startStandinPlatform(platformAddress, world.clockOf(proc), http.httpServerOf(proc), journal());
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
      { ...deps, journal: journal() },
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
    await starter(world.begin(hostOf(name)));
  }

  function kill(name: string): void {
    world.kill(hostOf(name));
    forget(name);
  }
  function forget(name: string): void {
    for (const simController of controllers) if (simController.name === name) simController.controller = null;
    for (const simProxy of proxies) if (simProxy.name === name) simProxy.proxy = null;
  }
  function platterOf(name: string): Platter | null {
    for (const n of [...controllers, ...proxies]) if (n.name === name) return n.platter;
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
    if (platter) loseDisk(platter);
  }

  function moveController(at: number): void {
    const simController = controllers[at] as SimController;
    kill(simController.name);
    simController.http = address();
    simController.wire = address();
    void startNode(simController.name);
  }
  function moveWorker(id: string): void {
    const worker = workers.find(isIt);
    if (!worker) return;
    kill(id);
    worker.http = address();
    void startNode(id);
    function isIt(simWorker: SimWorker): boolean {
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

  function cutOff(names: readonly string[]): void {
    const inside = new Set(names);
    for (const host of world.hosts()) {
      for (const otherHost of world.hosts()) {
        if (host.zone === 'lab' || otherHost.zone === 'lab') continue;
        if (inside.has(host.name) !== inside.has(otherHost.name)) world.cut(host.name, otherHost.name);
      }
    }
  }

  function call(
    c: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number },
  ): Promise<Result<HttpAnswer, HttpError>> {
    return finish(labHttpClient.call({ timeoutMs: 12_000, ...c }), 13_000).then(orTimedOut);
  }
  function orTimedOut(r: Result<HttpAnswer, HttpError> | null): Result<HttpAnswer, HttpError> {
    return r ?? { ok: false, error: { tag: 'timedOut' } };
  }

  function operator(
    at: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs?: number,
  ): Promise<Result<HttpAnswer, HttpError>> {
    const limit = timeoutMs === undefined ? {} : { timeoutMs };
    return call({
      method,
      address: (controllers[at] as SimController).http,
      path,
      ...limit,
      ...(body === undefined ? {} : { body }),
    });
  }

  async function finish<T>(work: Promise<T>, limitMs: number): Promise<T | null> {
    let done = false;
    let value: T | null = null;
    function settled(t: T): void {
      done = true;
      value = t;
    }
    void work.then(settled);
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
    const known = await world.until(20_000, allKnown);
    const applied = await operator(0, 'POST', '/v1/configuration', { base: 0, configuration: shape.configuration });
    if (!known || !applied.ok || applied.value.status !== 200) return false;
    return world.until(60_000, allReady);
  }
  function nameOf(n: { readonly name: string }): string {
    return n.name;
  }
  function idOf(simWorker: SimWorker): string {
    return simWorker.id;
  }
  function allKnown(): boolean {
    const second = controllers[0]?.controller?.ledger.controlState();
    return second !== undefined && Object.keys(second.proxies).length === proxies.length;
  }

  function allReady(): boolean {
    for (const simController of controllers) {
      const second = simController.controller?.ledger.controlState();
      if (!second) continue;
      let ready = 0;
      let open = 0;
      for (const order of Object.values(second.orders)) {
        open += 1;
        if (order.kind === 'spot' && order.status === 'ready') ready += 1;
      }
      if (ready > 0 && ready === open) return true;
    }
    return false;
  }

  function traffic(
    s: Partial<CallerSettings> & { readonly zone: string; readonly seconds: number },
  ): Promise<CallerCounts> {
    const name = s.name ?? `caller-${s.zone}-${procs}`;
    const proc = world.begin(world.host(name, s.zone));
    const near: string[] = [];
    for (const simProxy of proxies) if (simProxy.host.zone === s.zone) near.push(simProxy.http);
    for (const simProxy of proxies) if (simProxy.host.zone !== s.zone) near.push(simProxy.http);
    return runCaller(
      {
        name,
        proxies: near,
        runOnceModel: shape.fixed.model,
        streamModels: shape.streamModels,
        kind: shape.kind,
        perSecond: shape.perSecond,
        runOnceShare: 0.4,
        prefixes: 6,
        maxRetries: 3,
        ...s,
      },
      { clock: world.clockOf(proc), rng: procRng(), httpClient: http.httpClientOf(proc), journal: journal() },
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
    keepOldSeeds,
    turbulence: net.disturb,
    holder,
    hostOf,
    httpClientOf: http.httpClientOf,
    cutOff,
    call,
    operator,
    traffic,
    run,
    until,
    finish,
    check,
    allReady,
    load,
  };
}

import { startBasinCloud } from '../basin/cloud.js';
import { checkRecords } from '../basin/check.js';
import type { Broken, CheckRules, Rec } from '../basin/check.js';
import { markIn } from '../basin/mark.js';
import { runOrigin } from '../basin/origin.js';
import type { OriginSettings, OriginTally } from '../basin/origin.js';
import { startBasinPlatform } from '../basin/platform.js';
import { startBasinWorker, WORKER_DEFAULTS } from '../basin/worker.js';
import { startHeadgate } from '../coordination/headgate.js';
import type { Headgate, HeadgateShapes } from '../coordination/headgate.js';
import type { NodeDeps, NodeIdentity } from '../coordination/node.js';
import { startSluice } from '../coordination/edge/sluice.js';
import type { Sluice } from '../coordination/edge/sluice.js';
import { POLICIES } from '../state/policies.js';
import type { Policy } from '../state/policies.js';
import type { Result } from '../base/result.js';
import { REQUESTS_PATH } from '../protocol/origin-wire.js';
import type { Caller, HttpAnswer, HttpCall, HttpFault } from '../transport/http.js';
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

export type SimSluice = {
  readonly host: Host;
  sluice: Sluice | null;
  readonly name: string;
  readonly http: string;
  readonly platter: Platter;
};
export type SimHeadgate = {
  readonly host: Host;
  headgate: Headgate | null;
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
  readonly records: Rec[];
  readonly violations: Broken[];
  readonly headgates: readonly SimHeadgate[];
  readonly sluices: readonly SimSluice[];
  readonly workers: readonly SimWorker[];
  readonly cloudAddress: string;
  readonly platformAddress: string;
  readonly start: () => Promise<boolean>;
  readonly startNode: (name: string) => Promise<void>;
  readonly kill: (name: string) => void;
  readonly powerLoss: (name: string) => void;
  readonly wipe: (name: string) => void;
  readonly moveHeadgate: (at: number) => void;
  readonly moveWorker: (id: string) => void;
  readonly keepOldSeeds: () => void;
  readonly turbulence: (t: Turbulence) => void;
  readonly shape: FleetShape;
  readonly zones: readonly string[];
  readonly holder: () => number;
  readonly hostOf: (name: string) => Host;
  readonly callerOf: (proc: Proc) => Caller;
  readonly cutOff: (names: readonly string[]) => void;
  readonly call: (
    c: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number },
  ) => Promise<Result<HttpAnswer, HttpFault>>;
  readonly operator: (
    at: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs?: number,
  ) => Promise<Result<HttpAnswer, HttpFault>>;
  readonly traffic: (
    s: Partial<OriginSettings> & { readonly zone: string; readonly seconds: number },
  ) => Promise<OriginTally>;
  readonly run: (ms: number) => Promise<void>;
  readonly until: (limitMs: number, test: () => boolean) => Promise<boolean>;
  readonly finish: <T>(work: Promise<T>, limitMs: number) => Promise<T | null>;
  readonly check: (rules?: Partial<CheckRules>) => Broken[];
  readonly allReady: () => boolean;
  readonly load: () => { readonly frames: number; readonly bytes: number; readonly calls: number };
};

function shapesOf(shape: FleetShape): HeadgateShapes {
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
  const records: Rec[] = [];
  const violations: Broken[] = [];
  const zones = Object.keys(shape.zones);
  const chosen = new Map<number, string>();
  const starters = new Map<string, (proc: Proc) => Promise<void>>();
  let port = 10_000;
  let procs = 0;
  for (const [pair, ms] of Object.entries(shape.delayMs)) {
    const [a, b] = pair.split('|');
    world.setDelay(a as string, b as string, ms);
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
      mark: markIn(parts as { readonly hash: string }[]),
    });
  }
  function procRng(): Rng {
    procs += 1;
    return createRng(Math.imul(seed, 7_919) + procs * 104_729);
  }
  function journal(): Journal {
    function note(record: Rec): void {
      records.push({ ...record, at: world.now() });
    }
    function close(): Promise<void> {
      return Promise.resolve();
    }
    return { note, close };
  }
  function depsOf(proc: Proc, platter: Platter | null): NodeDeps {
    return {
      clock: world.clockOf(proc),
      rng: procRng(),
      wire: net.wireOf(proc),
      door: http.doorOf(proc),
      caller: http.callerOf(proc),
      disk: platter ? simDisk(platter, proc, world) : null,
      logs,
      policies,
      meters: createMeters,
    };
  }

  const policies: Policy[] = [];
  for (const p of POLICIES) if (p.name !== sabotage.withoutPolicy) policies.push(p);
  const platformAddress = address();
  const cloudAddress = address();
  const lab = world.host('lab', 'lab');
  const labCaller = http.callerOf(world.begin(lab));

  const headgates: SimHeadgate[] = zones.map(headgateOf);
  const foundingSeeds = headgates.map(wireOf);
  let seedsFollow = true;
  function keepOldSeeds(): void {
    seedsFollow = false;
  }
  const sluices: SimSluice[] = zones.flatMap(sluicesOf);
  const workers: SimWorker[] = zones.flatMap(workersOf);

  function freshPlatter(): Platter {
    const made = createPlatter();
    made.lies = sabotage.disksLie === true;
    return made;
  }
  function headgateOf(zone: string, i: number): SimHeadgate {
    const name = `headgate-${i + 1}`;
    const made: SimHeadgate = {
      host: world.host(name, zone),
      headgate: null,
      name,
      http: address(),
      wire: address(),
      platter: freshPlatter(),
    };
    async function start(proc: Proc): Promise<void> {
      const deps = depsOf(proc, made.platter);
      const started = await startHeadgate(identityOf(name, zone, made.wire, made.http, deps), deps, shapesOf(shape));
      if (!started.ok) {
        records.push({ who: 'sim', at: world.now(), event: 'startFailed', node: name, fault: started.fault });
        return;
      }
      made.headgate = started.value;
      sabotageLedger(started.value.ledger, sabotage);
      watchLedger(name, started.value);
    }
    starters.set(name, start);
    return made;
  }
  function wireOf(h: SimHeadgate): string {
    return h.wire;
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
      seeds: seedsFollow ? headgates.map(wireOf) : foundingSeeds,
      platform: platformAddress,
      cloud: cloudAddress,
    };
  }

  function watchLedger(name: string, headgate: Headgate): void {
    let last = headgate.ledger.belief().slot;
    function folded(e: { readonly slot: number; readonly batch: { readonly id: string } }): void {
      const text = JSON.stringify(e.batch);
      const held = chosen.get(e.slot);
      if (held === undefined) chosen.set(e.slot, text);
      else if (held !== text)
        violations.push({ rule: 'oneLedger', detail: `${name} folded another batch into slot ${e.slot}` });
      if (e.slot <= last)
        violations.push({ rule: 'oneLedger', detail: `${name} went back from slot ${last} to ${e.slot}` });
      last = e.slot;
    }
    headgate.ledger.events.on('folded', folded);
  }

  function sluicesOf(zone: string): SimSluice[] {
    const out: SimSluice[] = [];
    for (let i = 0; i < (shape.sluices[zone] ?? 0); i += 1) {
      const name = `sluice-${zone}-${i + 1}`;
      const wire = address();
      const made: SimSluice = {
        host: world.host(name, zone),
        sluice: null,
        name,
        http: address(),
        platter: createPlatter(),
      };
      async function start(proc: Proc): Promise<void> {
        const deps = depsOf(proc, made.platter);
        const started = await startSluice(identityOf(name, zone, wire, made.http, deps), deps);
        made.sluice = started.ok ? started.value : null;
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
        await startBasinWorker(
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
    await startBasinPlatform(platformAddress, world.clockOf(proc), http.doorOf(proc), journal());
  }
  async function startCloud(proc: Proc): Promise<void> {
    const deps = depsOf(proc, null);
    await startBasinCloud(
      {
        address: cloudAddress,
        platform: platformAddress,
        prices: shape.prices,
        forgetsKeys: sabotage.cloudForgetsKeys === true,
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
    for (const h of headgates) if (h.name === name) h.headgate = null;
    for (const s of sluices) if (s.name === name) s.sluice = null;
  }
  function platterOf(name: string): Platter | null {
    for (const n of [...headgates, ...sluices]) if (n.name === name) return n.platter;
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

  function moveHeadgate(at: number): void {
    const h = headgates[at] as SimHeadgate;
    kill(h.name);
    h.http = address();
    h.wire = address();
    void startNode(h.name);
  }
  function moveWorker(id: string): void {
    const w = workers.find(isIt);
    if (!w) return;
    kill(id);
    w.http = address();
    void startNode(id);
    function isIt(x: SimWorker): boolean {
      return x.id === id;
    }
  }
  function holder(): number {
    for (let i = 0; i < headgates.length; i += 1) {
      const h = headgates[i] as SimHeadgate;
      if (h.headgate && !h.host.frozen && h.headgate.holdsScaler()) return i;
    }
    return -1;
  }

  function cutOff(names: readonly string[]): void {
    const inside = new Set(names);
    for (const a of world.hosts()) {
      for (const b of world.hosts()) {
        if (a.zone === 'lab' || b.zone === 'lab') continue;
        if (inside.has(a.name) !== inside.has(b.name)) world.cut(a.name, b.name);
      }
    }
  }

  function call(
    c: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number },
  ): Promise<Result<HttpAnswer, HttpFault>> {
    return finish(labCaller.call({ timeoutMs: 12_000, ...c }), 13_000).then(orTimedOut);
  }
  function orTimedOut(r: Result<HttpAnswer, HttpFault> | null): Result<HttpAnswer, HttpFault> {
    return r ?? { ok: false, fault: { tag: 'timedOut' } };
  }

  function operator(
    at: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    timeoutMs?: number,
  ): Promise<Result<HttpAnswer, HttpFault>> {
    const limit = timeoutMs === undefined ? {} : { timeoutMs };
    return call({
      method,
      address: (headgates[at] as SimHeadgate).http,
      path,
      ...limit,
      ...(body === undefined ? {} : { body }),
    });
  }

  async function finish<T>(work: Promise<T>, limitMs: number): Promise<T | null> {
    let done = false;
    let value: T | null = null;
    function settled(v: T): void {
      done = true;
      value = v;
    }
    void work.then(settled);
    function isDone(): boolean {
      return done;
    }
    await world.until(limitMs, isDone);
    return value;
  }

  async function start(): Promise<boolean> {
    const names = ['platform', 'cloud', ...headgates.map(nameOf), ...sluices.map(nameOf), ...workers.map(idOf)];
    for (const name of names) void startNode(name);
    await world.advance(1_500);
    const founded = await operator(0, 'POST', '/v1/found', { members: headgates.map(wireOf) });
    if (!founded.ok || founded.value.status !== 200) return false;
    const known = await world.until(20_000, allKnown);
    const applied = await operator(0, 'POST', '/v1/configuration', { base: 0, configuration: shape.configuration });
    if (!known || !applied.ok || applied.value.status !== 200) return false;
    return world.until(60_000, allReady);
  }
  function nameOf(n: { readonly name: string }): string {
    return n.name;
  }
  function idOf(w: SimWorker): string {
    return w.id;
  }
  function allKnown(): boolean {
    const b = headgates[0]?.headgate?.ledger.belief();
    return b !== undefined && Object.keys(b.sluices).length === sluices.length;
  }

  function allReady(): boolean {
    for (const h of headgates) {
      const b = h.headgate?.ledger.belief();
      if (!b) continue;
      let ready = 0;
      let open = 0;
      for (const o of Object.values(b.orders)) {
        open += 1;
        if (o.kind === 'spot' && o.status === 'ready') ready += 1;
      }
      if (ready > 0 && ready === open) return true;
    }
    return false;
  }

  function traffic(
    s: Partial<OriginSettings> & { readonly zone: string; readonly seconds: number },
  ): Promise<OriginTally> {
    const name = s.name ?? `origin-${s.zone}-${procs}`;
    const proc = world.begin(world.host(name, s.zone));
    const near: string[] = [];
    for (const x of sluices) if (x.host.zone === s.zone) near.push(x.http);
    for (const x of sluices) if (x.host.zone !== s.zone) near.push(x.http);
    return runOrigin(
      {
        name,
        sluices: near,
        runOnceModel: shape.fixed.model,
        streamModels: shape.streamModels,
        kind: shape.kind,
        perSecond: shape.perSecond,
        runOnceShare: 0.4,
        prefixes: 6,
        patience: 3,
        ...s,
      },
      { clock: world.clockOf(proc), rng: procRng(), caller: http.callerOf(proc), journal: journal() },
    );
  }

  function run(ms: number): Promise<void> {
    return world.advance(ms);
  }
  function until(limitMs: number, test: () => boolean): Promise<boolean> {
    return world.until(limitMs, test);
  }
  function check(rules: Partial<CheckRules> = {}): Broken[] {
    const report = checkRecords(records, { regionsOfKind: shape.homesOfKind, leavingMs: 4_000, ...rules });
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
    headgates,
    sluices,
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
    moveHeadgate,
    moveWorker,
    keepOldSeeds,
    turbulence: net.disturb,
    holder,
    hostOf,
    callerOf: http.callerOf,
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

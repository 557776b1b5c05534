import { startController } from '../coordination/controller.js';
import type { WorkerListReader } from '../coordination/discovery/worker-list-feed.js';
import type { Controller } from '../coordination/controller.js';
import type { CommittedEntry, ProposeError } from '../coordination/consensus/proposal.js';
import type { Result } from '../base/result.js';
import { POLICIES } from '../state/forwarding/policies.js';
import { createQuietLog } from '../transport/log.js';
import type { LogRoot } from '../transport/log.js';
import { createMeters } from '../transport/meters.js';
import { createRng, newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createPlatter, loseDisk, losePower, simDisk } from './sim-disk.js';
import type { Platter } from './sim-disk.js';
import { createSimHttp } from './sim-http.js';
import { createSimNet } from './sim-wire.js';
import type { LinkRates } from './link-rates.js';
import { createWorld } from './world.js';
import type { Host, World } from './world.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Wire } from '../transport/wire.js';

export type CoreNode = {
  readonly name: string;
  readonly host: Host;
  readonly wire: string;
  readonly platter: Platter;
  bootstrap: boolean;
  controller: Controller | null;
};

export type CoreShape = {
  readonly controllers: number;
  readonly seeds: number;
  readonly regionMs: number;
  readonly zones?: readonly string[];
  readonly listReader?: (clock: Clock, host: Host) => WorkerListReader;
  readonly operatorHttpServer?: boolean;
  readonly diskBytes?: number;
  readonly claims?: boolean;
};

export type Ordered = { readonly result: Result<CommittedEntry, ProposeError> | null; readonly tookMs: number };

export type Lab = { readonly wire: Wire; readonly clock: Clock; readonly httpClient: HttpClient };

export type SimCore = {
  readonly world: World;
  readonly nodes: readonly CoreNode[];
  readonly node: (name: string) => CoreNode;
  readonly add: (name: string) => CoreNode;
  readonly lab: (name: string) => Lab;
  readonly labIn: (name: string, zone: string) => Lab;
  readonly seeds: (names: readonly string[]) => void;
  readonly start: (name: string) => void;
  readonly startAll: () => void;
  readonly kill: (name: string) => void;
  readonly end: (name: string) => Promise<void>;
  readonly powerLoss: (name: string) => void;
  readonly wipe: (name: string) => void;
  readonly cutOff: (names: readonly string[]) => void;
  readonly order: (name: string, zone: string, waitMs?: number) => Promise<Ordered>;
  readonly evacuatedAt: (name: string) => Promise<readonly string[] | null>;
  readonly members: (name: string) => readonly string[];
  readonly whole: (names: readonly string[]) => boolean;
  readonly until: (limitMs: number, test: () => boolean) => Promise<boolean>;
  readonly finish: <T>(work: Promise<T>, limitMs: number) => Promise<T | null>;
  readonly sent: () => { readonly frames: number; readonly bytes: number };
  readonly rates: LinkRates;
  readonly broken: string[];
};

const DISK_BYTES = 16 * 1_048_576;
const STOP_MS = 7_000;

export function createSimCore(
  seed: number,
  shape: CoreShape = { controllers: 3, seeds: 3, regionMs: 35 },
  logs: LogRoot = createQuietLog(),
): SimCore {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const http = createSimHttp(world, ignored);
  const nodes: CoreNode[] = [];
  const chosen = new Map<number, string>();
  const broken: string[] = [];
  let ledger = '';
  let port = 7_000;
  let procs = 0;
  let seeds: readonly string[] = [];
  function ignored(): void {}

  function address(): string {
    port += 1;
    return `10.0.0.${port - 7_000}:${port}`;
  }
  function add(name: string): CoreNode {
    const zone = `zone-${name}`;
    const made: CoreNode = {
      name,
      host: world.host(name, zone),
      wire: address(),
      platter: createPlatter(),
      bootstrap: false,
      controller: null,
    };
    for (const node of nodes) world.setDelay(node.host.zone, zone, shape.regionMs);
    nodes.push(made);
    return made;
  }
  for (let i = 1; i <= shape.controllers; i += 1) add(`h${i}`).bootstrap = true;
  setSeeds(nodes.slice(0, shape.seeds).map(nameOf));

  function nameOf(node: CoreNode): string {
    return node.name;
  }
  function node(name: string): CoreNode {
    return nodes.find(isIt) as CoreNode;
    function isIt(node: CoreNode): boolean {
      return node.name === name;
    }
  }
  function setSeeds(names: readonly string[]): void {
    seeds = names.map(wireOf);
  }
  function wireOf(name: string): string {
    return node(name).wire;
  }
  function procRng(): Rng {
    procs += 1;
    return createRng(Math.imul(seed, 7_919) + procs * 104_729);
  }

  async function startOne(node: CoreNode): Promise<void> {
    const proc = world.begin(node.host);
    const rng = procRng();
    const deps = {
      clock: world.clockOf(proc),
      rng,
      wire: net.wireOf(proc),
      httpServer: http.httpServerOf(proc),
      httpClient: http.httpClientOf(proc),
      disk: simDisk(node.platter, proc, world),
      logs,
      policies: POLICIES,
      meters: createMeters,
      listReader: shape.listReader?.(world.clockOf(proc), node.host) ?? null,
    };
    const identity = {
      name: node.name,
      run: newId(rng, 'run'),
      zone: node.host.zone,
      region: node.host.zone,
      listen: node.wire,
      advertised: node.wire,
      httpListen: `${node.wire}0`,
      http: `${node.wire}0`,
      seeds,
      platform: '10.0.9.9:1',
      cloud: null,
      bootstrap: node.bootstrap,
      diskBytes: shape.diskBytes ?? DISK_BYTES,
      claims: shape.claims ?? false,
      operatorHttpServer: shape.operatorHttpServer ?? false,
      ...(shape.zones ? { zones: shape.zones } : {}),
    };
    const started = await startController(identity, deps);
    if (!world.alive(proc)) return;
    if (!started.ok) {
      broken.push(`${node.name} did not start: ${started.error.tag}`);
      return;
    }
    node.controller = started.value;
    watch(node.name, started.value);
  }
  function watch(name: string, controller: Controller): void {
    function folded(event: { readonly slot: number; readonly batch: unknown }): void {
      const text = JSON.stringify(event.batch);
      const held = chosen.get(event.slot);
      if (held === undefined) chosen.set(event.slot, text);
      else if (held !== text) broken.push(`${name} folded another batch into slot ${event.slot}`);
      oneLedger();
    }
    function oneLedger(): void {
      const own = controller.ledger.controlState().ledger;
      if (ledger === '') ledger = own;
      else if (ledger !== own) broken.push(`${name} follows a second ledger`);
    }
    controller.ledger.events.on('folded', folded);
    controller.ledger.events.on('adopted', oneLedger);
  }

  function lab(name: string): Lab {
    return labIn(name, `zone-${name}`);
  }
  function labIn(name: string, zone: string): Lab {
    const proc = world.begin(world.host(name, zone));
    return { wire: net.wireOf(proc), clock: world.clockOf(proc), httpClient: http.httpClientOf(proc) };
  }
  function start(name: string): void {
    void startOne(node(name));
  }
  function startAll(): void {
    for (const node of nodes) if (!node.host.running) start(node.name);
  }
  function kill(name: string): void {
    const otherNode = node(name);
    world.kill(otherNode.host);
    otherNode.controller = null;
    otherNode.bootstrap = false;
  }
  async function end(name: string): Promise<void> {
    const stopping = node(name).controller?.stop(STOP_MS);
    if (stopping) await finish(stopping, STOP_MS + 1_000);
    kill(name);
  }
  function powerLoss(name: string): void {
    node(name).host.powered = false;
    kill(name);
    losePower(node(name).platter, world);
  }
  function wipe(name: string): void {
    loseDisk(node(name).platter);
  }
  function cutOff(names: readonly string[]): void {
    for (const node of nodes) {
      for (const otherNode of nodes)
        if (names.includes(node.name) !== names.includes(otherNode.name)) world.cut(node.name, otherNode.name);
    }
  }

  async function finish<T>(work: Promise<T>, limitMs: number): Promise<T | null> {
    const box: { value: T | null; done: boolean } = { value: null, done: false };
    function settled(t: T): void {
      box.value = t;
      box.done = true;
    }
    void work.then(settled);
    function isDone(): boolean {
      return box.done;
    }
    await world.until(limitMs, isDone);
    return box.value;
  }

  async function order(name: string, zone: string, waitMs = 1_500): Promise<Ordered> {
    const from = world.now();
    const at = node(name).controller;
    const work = at
      ? at.ledger.propose(
          { id: `order-${zone}`, cause: 'A test evacuates.', act: { tag: 'evacuation', zone, begun: true } },
          waitMs,
        )
      : null;
    const result = work && (await finish(work, 30_000));
    return { result, tookMs: Math.round(world.now() - from) };
  }
  async function evacuatedAt(name: string): Promise<readonly string[] | null> {
    const at = node(name).controller;
    if (!at || !(await finish(at.ledger.linearizableRead(1_500), 30_000))) return null;
    return Object.keys(at.ledger.controlState().evacuated).sort();
  }
  function members(name: string): readonly string[] {
    return (node(name).controller?.ledger.controlState().members ?? []).map(nameOfMember).sort();
  }
  function nameOfMember(m: { readonly name: string }): string {
    return m.name;
  }
  function whole(names: readonly string[]): boolean {
    for (const name of names) {
      const at = node(name).controller;
      if (!at?.ledger.isMember() || members(name).join() !== [...names].sort().join()) return false;
    }
    return true;
  }
  function until(limitMs: number, test: () => boolean): Promise<boolean> {
    return world.until(limitMs, test);
  }
  return {
    world,
    nodes,
    node,
    add,
    lab,
    labIn,
    seeds: setSeeds,
    start,
    startAll,
    kill,
    end,
    powerLoss,
    wipe,
    cutOff,
    order,
    evacuatedAt,
    members,
    whole,
    until,
    finish,
    sent: net.sent,
    rates: net.rates,
    broken,
  };
}

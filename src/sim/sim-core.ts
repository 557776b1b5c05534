/** A simulated group of controllers, with a network, disks and power losses under the control of the test. */
import { startController } from '../coordination/controller.js';
import type { WorkerListReader } from '../coordination/discovery/worker-list-feed.js';
import type { Controller } from '../coordination/controller.js';
import type { CommittedEntry, ProposeError } from '../coordination/consensus/proposal.js';
import { err } from '../base/result.js';
import type { Result } from '../base/result.js';
import { toleratedLossesOf } from '../state/membership/target-size.js';
import { POLICIES } from '../state/forwarding/policies.js';
import { createQuietLog } from '../transport/log.js';
import type { LogRoot } from '../transport/log.js';
import { createMeters } from '../transport/meters.js';
import { createRng, newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { createPlatter, eraseDisk, losePower, createSimDisk } from './sim-disk.js';
import type { Platter } from './sim-disk.js';
import { createSimHttp } from './sim-http.js';
import { createSimNet } from './sim-wire.js';
import type { LinkRates } from './link-rates.js';
import { createWorld } from './world.js';
import type { Host, World } from './world.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Wire } from '../transport/wire.js';

/** A controller of the group; `controller` is null while its process is stopped. */
export type CoreNode = {
  readonly name: string;
  readonly host: Host;
  readonly wire: string;
  readonly platter: Platter;
  bootstrap: boolean;
  controller: Controller | null;
};

/** Options of a simulated core; `regionMs` is the one-way delay between two nodes. */
export type SimCoreOptions = {
  readonly controllers: number;
  readonly seeds: number;
  readonly regionMs: number;
  readonly zones?: readonly string[];
  readonly listReader?: (clock: Clock, host: Host) => WorkerListReader;
  readonly operatorHttpServer?: boolean;
  readonly diskBytes?: number;
  readonly claims?: boolean;
  /** How many controllers may be lost at once; by default what the initial controllers tolerate. */
  readonly toleratedLosses?: number;
};

/**
 * Result of a proposed evacuation (null: none within the time limit or node stopped), and the simulated time it took.
 */
export type EvacuationResult = {
  readonly result: Result<CommittedEntry, ProposeError> | null;
  readonly tookMs: number;
};

/** Network access and clock of a process that the test runs itself. */
export type Lab = { readonly wire: Wire; readonly clock: Clock; readonly httpClient: HttpClient };

/** The simulated core. Nodes are named `h1`, `h2` and so on, each in a zone of its own, `zone-` and its name. */
export type SimCore = {
  readonly world: World;
  readonly nodes: readonly CoreNode[];
  readonly node: (name: string) => CoreNode;
  /** Adds a node without starting it. */
  readonly addNode: (name: string) => CoreNode;
  /** Starts a process of the test on a host of this name, in the zone `zone-` and the name. */
  readonly lab: (name: string) => Lab;
  /** Starts a process of the test on a host in the given zone. */
  readonly labIn: (name: string, zone: string) => Lab;
  /** Sets the nodes that later starts use as seeds. */
  readonly seeds: (names: readonly string[]) => void;
  readonly start: (name: string) => void;
  readonly startAll: () => void;
  readonly kill: (name: string) => void;
  /** Stops a controller gracefully, for at most 7 s, then ends its process. */
  readonly stop: (name: string) => Promise<void>;
  /** Kills a node and loses or truncates its unsynced writes. */
  readonly powerLoss: (name: string) => void;
  /** Erases the disk of a node. */
  readonly wipe: (name: string) => void;
  /** Partitions these nodes from all other nodes, in both directions. */
  readonly isolate: (names: readonly string[]) => void;
  /** Proposes the evacuation of a zone at one controller. */
  readonly order: (name: string, zone: string, waitMs?: number) => Promise<EvacuationResult>;
  /** Reads the evacuated zones at one controller with a linearizable read; null if the read fails. */
  readonly readEvacuatedZones: (name: string) => Promise<readonly string[] | null>;
  readonly members: (name: string) => readonly string[];
  /** Whether each of these nodes is a member of a group that consists of exactly these nodes. */
  readonly whole: (names: readonly string[]) => boolean;
  readonly until: (limitMs: number, test: () => boolean) => Promise<boolean>;
  /** Runs the simulation until a promise is settled; null after the time limit. */
  readonly runUntilSettled: <T>(work: Promise<T>, limitMs: number) => Promise<T | null>;
  /** Frames and bytes that all nodes have sent since the start. */
  readonly sent: () => { readonly frames: number; readonly bytes: number };
  readonly rates: LinkRates;
  /** Violations of invariants that were found during the run. */
  readonly broken: string[];
};

const DISK_BYTES = 16 * 1_048_576;
const STOP_TIMEOUT_MS = 7_000;

/** Creates a core whose nodes are not started yet. */
export function createSimCore(
  seed: number,
  shape: SimCoreOptions = { controllers: 3, seeds: 3, regionMs: 35 },
  logs: LogRoot = createQuietLog(),
): SimCore {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const http = createSimHttp(world, noop);
  const nodes: CoreNode[] = [];
  const batchBySlot = new Map<number, string>();
  const broken: string[] = [];
  let ledgerName = '';
  let port = 7_000;
  let processCount = 0;
  let seeds: readonly string[] = [];
  function noop(): void {}

  function nextAddress(): string {
    port += 1;
    return `10.0.0.${port - 7_000}:${port}`;
  }
  function addNode(name: string): CoreNode {
    const zone = `zone-${name}`;
    const added: CoreNode = {
      name,
      host: world.host(name, zone),
      wire: nextAddress(),
      platter: createPlatter(),
      bootstrap: false,
      controller: null,
    };
    for (const node of nodes) world.setDelay(node.host.zone, zone, shape.regionMs);
    nodes.push(added);
    return added;
  }
  for (let i = 1; i <= shape.controllers; i += 1) addNode(`h${i}`).bootstrap = true;
  setSeeds(nodes.slice(0, shape.seeds).map(nameOf));

  function nameOf(node: CoreNode): string {
    return node.name;
  }
  function node(name: string): CoreNode {
    return nodes.find(hasName) as CoreNode;
    function hasName(node: CoreNode): boolean {
      return node.name === name;
    }
  }
  function setSeeds(names: readonly string[]): void {
    seeds = names.map(wireOf);
  }
  function wireOf(name: string): string {
    return node(name).wire;
  }
  function nextProcessRng(): Rng {
    processCount += 1;
    return createRng(Math.imul(seed, 7_919) + processCount * 104_729);
  }

  async function startNode(node: CoreNode): Promise<void> {
    const proc = world.startProcess(node.host);
    const rng = nextProcessRng();
    const deps = {
      clock: world.clockOf(proc),
      rng,
      wire: net.wireOf(proc),
      httpServer: http.httpServerOf(proc),
      httpClient: http.httpClientOf(proc),
      disk: createSimDisk(node.platter, proc, world),
      logs,
      policies: POLICIES,
      meters: createMeters,
      workerListReader: shape.listReader?.(world.clockOf(proc), node.host) ?? null,
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
      toleratedLosses: shape.toleratedLosses ?? toleratedLossesOf(shape.controllers),
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
    watchLedger(node.name, started.value);
  }
  function watchLedger(name: string, controller: Controller): void {
    function onFolded(event: { readonly slot: number; readonly batch: unknown }): void {
      const text = JSON.stringify(event.batch);
      const known = batchBySlot.get(event.slot);
      if (known === undefined) batchBySlot.set(event.slot, text);
      else if (known !== text) broken.push(`${name} applied a different batch in slot ${event.slot}`);
      checkSameLedger();
    }
    function checkSameLedger(): void {
      const ownLedgerName = controller.ledger.controlState().ledger;
      if (ledgerName === '') ledgerName = ownLedgerName;
      else if (ledgerName !== ownLedgerName) broken.push(`${name} follows a second ledger`);
    }
    controller.ledger.events.on('folded', onFolded);
    controller.ledger.events.on('adopted', checkSameLedger);
  }

  function lab(name: string): Lab {
    return labIn(name, `zone-${name}`);
  }
  function labIn(name: string, zone: string): Lab {
    const proc = world.startProcess(world.host(name, zone));
    return { wire: net.wireOf(proc), clock: world.clockOf(proc), httpClient: http.httpClientOf(proc) };
  }
  function start(name: string): void {
    void startNode(node(name));
  }
  function startAll(): void {
    for (const node of nodes) if (!node.host.running) start(node.name);
  }
  function kill(name: string): void {
    const killed = node(name);
    world.kill(killed.host);
    killed.controller = null;
    killed.bootstrap = false;
  }
  async function stop(name: string): Promise<void> {
    const stopping = node(name).controller?.stop(STOP_TIMEOUT_MS);
    if (stopping) await runUntilSettled(stopping, STOP_TIMEOUT_MS + 1_000);
    kill(name);
  }
  function powerLoss(name: string): void {
    node(name).host.powered = false;
    kill(name);
    losePower(node(name).platter, world);
  }
  function wipe(name: string): void {
    eraseDisk(node(name).platter);
  }
  function isolate(names: readonly string[]): void {
    for (const node of nodes) {
      for (const otherNode of nodes)
        if (names.includes(node.name) !== names.includes(otherNode.name)) world.cut(node.name, otherNode.name);
    }
  }

  async function runUntilSettled<T>(work: Promise<T>, limitMs: number): Promise<T | null> {
    const outcome: { value: T | null; done: boolean } = { value: null, done: false };
    function onSettled(value: T): void {
      outcome.value = value;
      outcome.done = true;
    }
    void work.then(onSettled);
    function isDone(): boolean {
      return outcome.done;
    }
    await world.until(limitMs, isDone);
    return outcome.value;
  }

  /** Proposes an evacuation, and confirms it only once no silent member is left above the group's target size. */
  async function proposeAndSecure(
    controller: Controller,
    zone: string,
    waitMs: number,
  ): Promise<Result<CommittedEntry, ProposeError>> {
    const command = { tag: 'evacuation', zone, begun: true } as const;
    const draft = { id: `order-${zone}`, cause: 'A test evacuates.', act: command };
    const committed = await controller.ledger.propose(draft, waitMs);
    if (!committed.ok) return committed;
    return (await controller.ledger.removeSilentMembers(waitMs)) ? committed : err({ tag: 'noMajority' });
  }

  async function order(name: string, zone: string, waitMs = 1_500): Promise<EvacuationResult> {
    const from = world.now();
    const controller = node(name).controller;
    const work = controller ? proposeAndSecure(controller, zone, waitMs) : null;
    const result = work && (await runUntilSettled(work, 30_000));
    return { result, tookMs: Math.round(world.now() - from) };
  }
  async function readEvacuatedZones(name: string): Promise<readonly string[] | null> {
    const controller = node(name).controller;
    if (!controller || !(await runUntilSettled(controller.ledger.linearizableRead(1_500), 30_000))) return null;
    return Object.keys(controller.ledger.controlState().evacuated).sort();
  }
  function members(name: string): readonly string[] {
    return (node(name).controller?.ledger.controlState().members ?? []).map(nameOfMember).sort();
  }
  function nameOfMember(member: { readonly name: string }): string {
    return member.name;
  }
  function whole(names: readonly string[]): boolean {
    for (const name of names) {
      const controller = node(name).controller;
      if (!controller?.ledger.isMember() || members(name).join() !== [...names].sort().join()) return false;
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
    addNode,
    lab,
    labIn,
    seeds: setSeeds,
    start,
    startAll,
    kill,
    stop,
    powerLoss,
    wipe,
    isolate,
    order,
    readEvacuatedZones,
    members,
    whole,
    until,
    runUntilSettled,
    sent: net.sent,
    rates: net.rates,
    broken,
  };
}

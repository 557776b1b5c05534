/**
 * A group of real controllers on the simulated wire, disk and clock, with the
 * hooks that a model history needs: power lost at a chosen write, disks lost,
 * frames lost, machines that come and go. What the controllers do is recorded in
 * the facts; this module judges nothing.
 */
import { startController } from '../../coordination/controller.js';
import type { Controller } from '../../coordination/controller.js';
import { createConfigurationService } from '../../coordination/configuration/configuration-service.js';
import { memberId } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import { POLICIES } from '../../state/forwarding/policies.js';
import { createQuietLog } from '../../transport/log.js';
import { createMeters } from '../../transport/meters.js';
import { createRng, newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import { createPlatter, eraseDisk, losePower, createSimDisk } from '../sim-disk.js';
import { createSimHttp } from '../sim-http.js';
import { createSimNet } from '../sim-wire.js';
import type { SimNet } from '../sim-wire.js';
import { createWorld } from '../world.js';
import type { Proc, World } from '../world.js';
import type { Facts } from './facts.js';
import { createTolerance, identityOn, IDENTITY_FILE } from './tolerance.js';
import type { ModelNode } from './model-node.js';
import { watchDisk } from './watched-disk.js';
import { watchWire } from './watched-wire.js';

/** Deliberate breaks, with which the rules are seen to fail. */
export type Sabotage = {
  /** Disks answer a sync without syncing. */
  readonly disksLie?: boolean;
  /** A machine whose disk was lost goes on under its old identity. */
  readonly keepsIdentity?: boolean;
  /** Reads don't ask a majority. */
  readonly readsAlone?: boolean;
  /** A re-sending bears another digest than its first sending, so nobody can tell that it is one. */
  readonly changesDigests?: boolean;
  /** Disks are lost without regard for what the group bears. */
  readonly losesMajority?: boolean;
};

export type ModelGroup = {
  readonly world: World;
  readonly net: SimNet;
  readonly facts: Facts;
  readonly sabotage: Sabotage;
  readonly nodes: readonly ModelNode[];
  /** Share of frames that the network loses. */
  lostShare: number;
  readonly add: () => ModelNode;
  readonly start: (node: ModelNode) => void;
  readonly kill: (node: ModelNode) => void;
  readonly losePower: (node: ModelNode) => void;
  readonly loseDisk: (node: ModelNode) => void;
  /** The machine is gone for good. */
  readonly retire: (node: ModelNode) => void;
  /** Whether the members keep a majority of whole disks without this one. */
  readonly bearsLossOf: (node: ModelNode) => boolean;
  /** Notes who is out of touch; see tolerance.ts. */
  readonly look: () => void;
};

const SEEDS = 3;
const REGION_MS = 20;
const RING_FILE_BYTES = 6_144;
const SNAPSHOT_BYTES = 64 * 1_024;
const LOGS = createQuietLog();

function ignored(): void {}

export function createModelGroup(
  seed: number,
  controllers: number,
  ringFiles: number,
  facts: Facts,
  sabotage: Sabotage,
): ModelGroup {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const http = createSimHttp(world, ignored);
  const nodes: ModelNode[] = [];
  const tolerance = createTolerance(world, nodes, facts.slots);
  let seeds: readonly string[] = [];
  const shape = { name: 'ledger', files: ringFiles, fileBytes: RING_FILE_BYTES, snapshotBytes: SNAPSHOT_BYTES };
  let processes = 0;

  function add(): ModelNode {
    const name = `c${nodes.length + 1}`;
    const zone = `zone-${name}`;
    const address = `10.0.0.${nodes.length + 1}:7000`;
    const platter = createPlatter();
    platter.ignoresSyncs = sabotage.disksLie === true;
    const node: ModelNode = {
      name,
      host: world.host(name, zone),
      address,
      platter,
      bootstrap: false,
      retired: false,
      ending: false,
      strikeIn: null,
      controller: null,
      operator: null,
    };
    for (const other of nodes) world.setDelay(other.host.zone, zone, REGION_MS);
    nodes.push(node);
    return node;
  }
  for (let i = 0; i < controllers; i += 1) {
    const node = add();
    node.bootstrap = i < SEEDS;
  }

  // Operators keep the listed seeds up to date: a machine that starts is given some that are still there.
  function currentSeeds(): readonly string[] {
    const out: string[] = [];
    for (const node of nodes) if (!node.retired && !node.ending && out.length < SEEDS) out.push(node.address);
    return out;
  }
  function processRng(): Rng {
    processes += 1;
    return createRng(Math.imul(seed, 7_919) + processes * 104_729);
  }
  function losesFrame(): boolean {
    return group.lostShare > 0 && world.rng.next() < group.lostShare;
  }
  function depsOf(node: ModelNode, proc: Proc, rng: Rng) {
    function isOn(): boolean {
      return world.alive(proc);
    }
    function strike(): void {
      if (node.strikeIn === null) return;
      node.strikeIn -= 1;
      if (node.strikeIn <= 0) group.losePower(node);
    }
    return {
      clock: world.clockOf(proc),
      rng,
      wire: watchWire(net.wireOf(proc), facts.votes, losesFrame, isOn),
      httpServer: http.httpServerOf(proc),
      httpClient: http.httpClientOf(proc),
      disk: watchDisk(createSimDisk(node.platter, proc, world), { isOn, strike }),
      logs: LOGS,
      policies: POLICIES,
      meters: createMeters,
    };
  }
  function identityOf(node: ModelNode, rng: Rng) {
    return {
      name: node.name,
      run: newId(rng, 'run'),
      zone: node.host.zone,
      region: node.host.zone,
      listen: node.address,
      advertised: node.address,
      httpListen: `${node.address}0`,
      http: `${node.address}0`,
      seeds,
      platform: '10.0.9.9:1',
      cloud: null,
      bootstrap: node.bootstrap,
      claims: false,
      operatorHttpServer: false,
    };
  }

  async function startNode(node: ModelNode): Promise<void> {
    const proc = world.startProcess(node.host);
    const rng = processRng();
    seeds = currentSeeds();
    const deps = depsOf(node, proc, rng);
    const started = await startController(identityOf(node, rng), deps, { ledger: shape, claims: shape });
    if (!world.alive(proc)) return;
    if (!started.ok) {
      facts.fail('starts', `${node.name} did not start: ${started.error.tag}`);
      return;
    }
    node.controller = started.value;
    node.operator = createConfigurationService({
      ...started.value,
      clock: deps.clock,
      log: createQuietLog().component('operator'),
    });
    observe(node, started.value);
  }
  function observe(node: ModelNode, controller: Controller): void {
    const { ledger } = controller;
    function folded(event: { readonly slot: number; readonly batch: Batch }): void {
      facts.slots.noteFolded(node.name, event.slot, event.batch, ledger.controlState());
    }
    function adopted(): void {
      facts.slots.noteAdopted(node.name, ledger.controlState());
    }
    facts.votes.noteRestart(memberId(ledger.self), ledger.top());
    facts.slots.noteRestored(node.name, ledger.controlState());
    ledger.events.on('folded', folded);
    ledger.events.on('adopted', adopted);
  }

  function start(node: ModelNode): void {
    if (!node.host.running && !node.retired) void startNode(node);
  }
  function kill(node: ModelNode): void {
    world.kill(node.host);
    node.controller = null;
    node.operator = null;
    node.bootstrap = false;
    node.strikeIn = null;
  }
  function losePowerOf(node: ModelNode): void {
    node.host.powered = false;
    kill(node);
    losePower(node.platter, world);
  }
  function loseDiskOf(node: ModelNode): void {
    tolerance.noteGone(node);
    losePowerOf(node);
    const identity = identityOn(node);
    const kept = node.platter.files.get(IDENTITY_FILE);
    eraseDisk(node.platter);
    if (identity !== null) facts.votes.onDisconnected(identity);
    if (sabotage.keepsIdentity && kept) node.platter.files.set(IDENTITY_FILE, kept);
  }
  function retire(node: ModelNode): void {
    tolerance.noteGone(node);
    node.retired = true;
  }
  function bearsLossOf(node: ModelNode): boolean {
    return sabotage.losesMajority === true || tolerance.bearsLossOf(node);
  }
  const group: ModelGroup = {
    world,
    net,
    facts,
    sabotage,
    nodes,
    lostShare: 0,
    add,
    start,
    kill,
    losePower: losePowerOf,
    loseDisk: loseDiskOf,
    retire,
    bearsLossOf,
    look: tolerance.look,
  };
  return group;
}

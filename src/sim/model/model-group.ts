/**
 * A group of real controllers on a simulated wire, disk and clock, with the hooks
 * that a model history needs: loss of power at a chosen write, lost disks, lost
 * frames, machines that join and leave. The behaviour of the controllers is
 * passed to the rule checker; this module checks nothing itself.
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
import type { RuleChecker } from './rule-checker.js';
import { toleratedLossesOf } from '../../state/membership/target-size.js';
import { createTolerance, identityOnDisk, IDENTITY_FILE } from './tolerance.js';
import type { ModelNode } from './model-node.js';
import { interruptibleDisk } from './interruptible-disk.js';
import { recordingWire } from './recording-wire.js';

/** Deliberate faults that tests use to verify that the rules detect them. */
export type InjectedFaults = {
  /** Disks acknowledge a sync without syncing. */
  readonly disksIgnoreSync?: boolean;
  /** A machine whose disk was lost continues under its old identity. */
  readonly keepsIdentity?: boolean;
  /** Reads don't ask a majority. */
  readonly readsWithoutQuorum?: boolean;
  /** A resent change carries a different digest than the first time, so that it is not recognised as a repetition. */
  readonly changesDigests?: boolean;
  /** Disks are lost even if the group does not tolerate the loss. */
  readonly losesMajority?: boolean;
};

/** The group, as the commands of a history act on it. */
export type ModelGroup = {
  readonly world: World;
  readonly net: SimNet;
  readonly checker: RuleChecker;
  readonly injectedFaults: InjectedFaults;
  readonly nodes: readonly ModelNode[];
  /** Fraction of frames that the network loses. */
  frameLossRate: number;
  readonly add: () => ModelNode;
  readonly start: (node: ModelNode) => void;
  readonly kill: (node: ModelNode) => void;
  readonly losePower: (node: ModelNode) => void;
  readonly loseDisk: (node: ModelNode) => void;
  /** Marks a machine as permanently gone. */
  readonly retire: (node: ModelNode) => void;
  /** Whether a majority of members with intact disks remains without this machine. */
  readonly toleratesLossOf: (node: ModelNode) => boolean;
  /** Records which machines are unavailable now; see tolerance.ts. */
  readonly recordUnavailable: () => void;
};

const SEED_COUNT = 3;
const ZONE_DELAY_MS = 20;
const RING_FILE_BYTES = 6_144;
const SNAPSHOT_BYTES = 64 * 1_024;
const QUIET_LOGS = createQuietLog();

function noop(): void {}

/** Creates a group of machines that are not started yet; the first `SEED_COUNT` of them may bootstrap. */
export function createModelGroup(
  seed: number,
  controllers: number,
  ringFiles: number,
  checker: RuleChecker,
  injectedFaults: InjectedFaults,
): ModelGroup {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const http = createSimHttp(world, noop);
  const nodes: ModelNode[] = [];
  const tolerance = createTolerance(world, nodes, checker.slots);
  let seeds: readonly string[] = [];
  const logLayout = { name: 'ledger', files: ringFiles, fileBytes: RING_FILE_BYTES, snapshotBytes: SNAPSHOT_BYTES };
  let processCount = 0;

  function add(): ModelNode {
    const name = `c${nodes.length + 1}`;
    const zone = `zone-${name}`;
    const address = `10.0.0.${nodes.length + 1}:7000`;
    const platter = createPlatter();
    platter.ignoresSyncs = injectedFaults.disksIgnoreSync === true;
    const node: ModelNode = {
      name,
      host: world.host(name, zone),
      address,
      platter,
      bootstrap: false,
      retired: false,
      stopping: false,
      operationsUntilPowerLoss: null,
      controller: null,
      operator: null,
    };
    for (const other of nodes) world.setDelay(other.host.zone, zone, ZONE_DELAY_MS);
    nodes.push(node);
    return node;
  }
  for (let i = 0; i < controllers; i += 1) {
    const node = add();
    node.bootstrap = i < SEED_COUNT;
  }

  // Operators keep the list of seeds up to date: a starting machine gets seeds that are still present.
  function currentSeeds(): readonly string[] {
    const out: string[] = [];
    for (const node of nodes) if (!node.retired && !node.stopping && out.length < SEED_COUNT) out.push(node.address);
    return out;
  }
  function processRng(): Rng {
    processCount += 1;
    return createRng(Math.imul(seed, 7_919) + processCount * 104_729);
  }
  function losesFrame(): boolean {
    return group.frameLossRate > 0 && world.rng.next() < group.frameLossRate;
  }
  function dependenciesOf(node: ModelNode, proc: Proc, rng: Rng) {
    function hasPower(): boolean {
      return world.alive(proc);
    }
    function onOperation(): void {
      if (node.operationsUntilPowerLoss === null) return;
      node.operationsUntilPowerLoss -= 1;
      if (node.operationsUntilPowerLoss <= 0) group.losePower(node);
    }
    return {
      clock: world.clockOf(proc),
      rng,
      wire: recordingWire(net.wireOf(proc), checker.votes, losesFrame, hasPower),
      httpServer: http.httpServerOf(proc),
      httpClient: http.httpClientOf(proc),
      disk: interruptibleDisk(createSimDisk(node.platter, proc, world), { hasPower, onOperation }),
      logs: QUIET_LOGS,
      policies: POLICIES,
      meters: createMeters,
    };
  }
  function startOptionsOf(node: ModelNode, rng: Rng) {
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
      toleratedLosses: toleratedLossesOf(controllers),
      operatorHttpServer: false,
    };
  }

  async function startNode(node: ModelNode): Promise<void> {
    const proc = world.startProcess(node.host);
    const rng = processRng();
    seeds = currentSeeds();
    const dependencies = dependenciesOf(node, proc, rng);
    const startResult = await startController(startOptionsOf(node, rng), dependencies, {
      ledger: logLayout,
      claims: logLayout,
    });
    if (!world.alive(proc)) return;
    if (!startResult.ok) {
      checker.reportViolation('starts', `${node.name} did not start: ${startResult.error.tag}`);
      return;
    }
    node.controller = startResult.value;
    node.operator = createConfigurationService({
      ...startResult.value,
      clock: dependencies.clock,
      log: createQuietLog().component('operator'),
    });
    observe(node, startResult.value);
  }
  function observe(node: ModelNode, controller: Controller): void {
    const { ledger } = controller;
    function onApplied(event: { readonly slot: number; readonly batch: Batch }): void {
      checker.slots.recordApplied(node.name, event.slot, event.batch, ledger.controlState());
    }
    function onSnapshotInstalled(): void {
      checker.slots.recordSnapshotInstalled(node.name, ledger.controlState());
    }
    checker.votes.recordRestart(memberId(ledger.self), ledger.top());
    checker.slots.recordRestored(node.name, ledger.controlState());
    ledger.events.on('folded', onApplied);
    ledger.events.on('adopted', onSnapshotInstalled);
  }

  function start(node: ModelNode): void {
    if (!node.host.running && !node.retired) void startNode(node);
  }
  function kill(node: ModelNode): void {
    world.kill(node.host);
    node.controller = null;
    node.operator = null;
    node.bootstrap = false;
    node.operationsUntilPowerLoss = null;
  }
  function losePowerOf(node: ModelNode): void {
    node.host.powered = false;
    kill(node);
    losePower(node.platter, world);
  }
  function loseDiskOf(node: ModelNode): void {
    tolerance.recordLoss(node);
    losePowerOf(node);
    const identity = identityOnDisk(node);
    const identityFile = node.platter.files.get(IDENTITY_FILE);
    eraseDisk(node.platter);
    if (identity !== null) checker.votes.recordDiskLoss(identity);
    if (injectedFaults.keepsIdentity && identityFile) node.platter.files.set(IDENTITY_FILE, identityFile);
  }
  function retire(node: ModelNode): void {
    tolerance.recordLoss(node);
    node.retired = true;
  }
  function toleratesLossOf(node: ModelNode): boolean {
    return injectedFaults.losesMajority === true || tolerance.toleratesLossOf(node);
  }
  const group: ModelGroup = {
    world,
    net,
    checker,
    injectedFaults,
    nodes,
    frameLossRate: 0,
    add,
    start,
    kill,
    losePower: losePowerOf,
    loseDisk: loseDiskOf,
    retire,
    toleratesLossOf,
    recordUnavailable: tolerance.recordUnavailable,
  };
  return group;
}

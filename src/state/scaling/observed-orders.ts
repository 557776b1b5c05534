/**
 * Decisions of the scaler on a platform that starts workers itself, following SkyServe (docs/skyserve.md). Orders are
 * matched with the workers that appear in the platform's list.
 */
import type { ControlState } from '../consensus/control-state.js';
import type { MachineKind, ScalerStep } from '../consensus/entry.js';
import { decideMixture } from './mixture.js';
import { countsTowardsTarget } from './order.js';
import type { Order } from './order.js';
import { ordersOfModel } from './scaler-decide.js';
import { resolveModel } from '../configuration/settings-tree.js';
import type { Configuration, ResolvedSettings } from '../configuration/settings-tree.js';
import { decideTarget } from './target.js';
import type { PendingChange, Rate } from './target.js';
import type { WorkerEntry } from '../discovery/worker-entry.js';
import {
  alignZones,
  handleLaunch,
  handlePreemption,
  initialZones,
  selectNextZone,
  zonesMovedDecision,
} from './zone-sets.js';
import type { ZoneSets } from './zone-sets.js';
import { ownValue } from '../../base/own-value.js';

/** A model that the scaler manages, with its enabled zones and its settings. */
export type ScaledModel = {
  readonly model: string;
  readonly zones: readonly string[];
  readonly values: ResolvedSettings;
};

/**
 * Input of one pass. Times are those of the monotonic clock, in milliseconds. `dead` contains workers that have been
 * unhealthy for too long, `plannedDepartures` workers that the platform was draining without a time limit.
 */
export type ListObservation = {
  readonly now: number;
  readonly list: readonly WorkerEntry[];
  readonly rate: Rate | null;
  readonly dead: ReadonlySet<string>;
  readonly plannedDepartures: ReadonlySet<string>;
};

/** State of one model that is kept between passes; the maps are keyed by order id. */
export type ListScalerMemory = {
  pendingChange: PendingChange | null;
  readonly intendedSince: Map<string, number>;
  readonly missingSince: Map<string, number>;
};

/** Limits the size of the entry that one pass writes to the log. */
const MAX_STEPS = 8;
const MAX_ADOPTED = 100;
/** An order is closed if its worker has been missing from the list for this long. */
const MISSING_GRACE_MS = 1_500;
/** Time that a request is assumed to occupy a slot of the engine's batch. */
const BATCH_SLOT_TIME_S = 10;

/** Creates the empty state of a model. */
export function createListScalerMemory(): ListScalerMemory {
  return { pendingChange: null, intendedSince: new Map(), missingSince: new Map() };
}

/**
 * Returns the models to scale according to the configuration. Unless it is configured, the request rate per worker
 * follows the batch size of the engine.
 */
export function scaledModels(cfg: Configuration, zones: readonly string[]): ScaledModel[] {
  const models: ScaledModel[] = [];
  for (const [model, traits] of Object.entries(cfg.serving?.models ?? {})) {
    if (traits.engine === null) continue;
    const { values, levels } = resolveModel(cfg, regionOf(cfg, model), model);
    if (!values.scaled) continue;
    const qTar =
      levels.qTar === 'default' ? Math.max(values.qTar, traits.engine.batch / BATCH_SLOT_TIME_S) : values.qTar;
    const enabledZones = levels.zones === 'default' ? zones : values.zones;
    models.push({ model, zones: enabledZones, values: { ...values, qTar } });
  }
  return models;
}

function regionOf(cfg: Configuration, model: string): string {
  for (const [region, branch] of Object.entries(cfg.regions)) if (ownValue(branch.models, model)) return region;
  return '';
}

/** Releases orders of models that are no longer configured, once their workers have left the list. */
export function decideRetiredModels(
  controlState: ControlState,
  configured: ReadonlySet<string>,
  list: readonly WorkerEntry[],
): ScalerStep[] {
  const listedIds = new Set<string | null>();
  for (const worker of list) listedIds.add(worker.id);
  const steps: ScalerStep[] = [];
  for (const order of Object.values(controlState.orders)) {
    if (configured.has(order.model) || listedIds.has(order.machine) || steps.length >= MAX_STEPS) continue;
    steps.push({ cause: `${order.model} is served no more.`, act: { tag: 'orderReleased', order: order.id } });
  }
  return steps;
}

/** One pass over a model; collects its decisions in `steps`. */
class ListDecisionPass {
  private readonly steps: ScalerStep[] = [];
  private readonly zones: string[] = [];
  private readonly previousSets: ZoneSets | undefined;
  private zoneSets: ZoneSets;
  private zonesCause: string;
  private readonly listedWorkers = new Map<string, WorkerEntry>();
  private activeOrders: Order[] = [];
  private target = 0;
  private openOrders: Order[] = [];

  constructor(
    private readonly scaledModel: ScaledModel,
    private readonly controlState: ControlState,
    private readonly observation: ListObservation,
    private readonly memory: ListScalerMemory,
    private readonly nextOrderId: () => string,
  ) {
    for (const zone of this.scaledModel.zones)
      if (ownValue(this.controlState.evacuated, zone) === undefined) this.zones.push(zone);
    this.previousSets = ownValue(this.controlState.zoneSets, this.scaledModel.model);
    this.zoneSets = this.previousSets ? alignZones(this.previousSets, this.zones) : initialZones(this.zones);
    this.zonesCause = this.previousSets
      ? 'The enabled zones changed.'
      : 'The model is new: all enabled zones are active.';

    for (const worker of this.observation.list)
      if (worker.model === this.scaledModel.model) this.listedWorkers.set(worker.id, worker);
  }

  decide(): ScalerStep[] {
    this.target = this.decideTarget();
    this.openOrders = this.updateTimestamps();
    this.resolveOpenOrders();
    this.assignNewWorkers();
    this.decideKind('spot', this.zones.length === 0 ? 0 : this.target + this.scaledModel.values.nExtra);
    this.decideKind(
      'onDemand',
      this.zones.length === 0
        ? 0
        : decideMixture(this.target, this.scaledModel.values.nExtra, this.readySpotCount()).onDemand,
    );
    if (!this.previousSets || !hasSameZones(this.previousSets, this.zoneSets))
      this.steps.unshift(zonesMovedDecision(this.scaledModel.model, this.zoneSets, this.zonesCause));
    return this.steps;
  }

  private isFull(): boolean {
    return this.steps.length >= MAX_STEPS;
  }

  private decideTarget(): number {
    const { model, values } = this.scaledModel;
    const { target, decision } = decideTarget(
      model,
      values,
      ownValue(this.controlState.targets, model),
      this.observation.rate,
      this.memory,
      this.observation.now,
    );
    if (decision) this.steps.push(decision);
    return target;
  }

  private updateTimestamps(): Order[] {
    const orders = ordersOfModel(this.controlState, this.scaledModel.model);
    const orderIds = new Set<string>();
    for (const order of orders) orderIds.add(order.id);
    for (const timestamps of [this.memory.intendedSince, this.memory.missingSince])
      for (const id of timestamps.keys()) if (!orderIds.has(id)) timestamps.delete(id);
    for (const order of orders) {
      if (order.status === 'intended' && !this.memory.intendedSince.has(order.id))
        this.memory.intendedSince.set(order.id, this.observation.now);
      if (order.machine === null || this.listedWorkers.has(order.machine)) this.memory.missingSince.delete(order.id);
      else if (!this.memory.missingSince.has(order.id)) this.memory.missingSince.set(order.id, this.observation.now);
    }
    return orders;
  }

  private elapsedMs(timestamps: ReadonlyMap<string, number>, order: Order): number {
    return this.observation.now - (timestamps.get(order.id) ?? this.observation.now);
  }

  private recordLoss(order: Order, cause: string): void {
    const preempted = order.kind === 'spot';
    this.steps.push({ cause, act: { tag: 'orderLost', order: order.id, preempted } });
    if (preempted) this.demoteZone(order.zone, `A spot worker was lost in ${order.zone}.`);
  }

  private demoteZone(zone: string, cause: string): void {
    const nextSets = handlePreemption(this.zoneSets, zone);
    if (nextSets !== this.zoneSets) this.zonesCause = cause;
    this.zoneSets = nextSets;
  }

  private recordLaunch(kind: MachineKind, zone: string): void {
    const nextSets = kind === 'spot' ? handleLaunch(this.zoneSets, zone) : this.zoneSets;
    if (nextSets !== this.zoneSets) this.zonesCause = `A launch became ready in ${zone}.`;
    this.zoneSets = nextSets;
  }

  private resolveOpenOrders(): void {
    for (const order of this.openOrders)
      if (!this.resolveOrder(order) && countsTowardsTarget(order)) this.activeOrders.push(order);
  }

  /** Adds the step that the list calls for. Returns whether the order is settled; if not, it keeps its status. */
  private resolveOrder(order: Order): boolean {
    if (this.isFull()) return false;
    if (order.machine === null) return this.resolveIntended(order);
    const worker = this.listedWorkers.get(order.machine);
    if (!worker) return this.resolveMissing(order);
    if (order.status === 'draining') return true;
    if (worker.leaving && worker.remainingMs !== null)
      this.recordLoss(order, `Taken away at short notice: ${Math.round(worker.remainingMs)} ms were left.`);
    else if (worker.leaving)
      this.steps.push({
        cause: 'The platform empties the worker in order.',
        act: { tag: 'orderDraining', order: order.id },
      });
    else if (this.observation.dead.has(worker.id))
      this.recordLoss(order, 'Listed, but for long no proxy finds it fit.');
    else if (order.status === 'placed' && worker.coldMs === 0) {
      this.steps.push({
        cause: 'The worker is listed as serving, and warm.',
        act: { tag: 'orderReady', order: order.id },
      });
      this.recordLaunch(order.kind, order.zone);
      this.activeOrders.push({ ...order, status: 'ready' });
    } else return false;
    return true;
  }

  private resolveIntended(order: Order): boolean {
    if (!this.zones.includes(order.zone))
      this.steps.push({ cause: `${order.zone} is not enabled.`, act: { tag: 'orderReleased', order: order.id } });
    else if (this.elapsedMs(this.memory.intendedSince, order) > this.scaledModel.values.launchTimeoutS * 1_000) {
      this.steps.push({
        cause: `Nothing came of it within ${this.scaledModel.values.launchTimeoutS}s.`,
        act: { tag: 'orderFailed', order: order.id },
      });
      if (order.kind === 'spot') this.demoteZone(order.zone, `A launch in ${order.zone} never came.`);
    } else return false;
    return true;
  }

  private resolveMissing(order: Order): boolean {
    if (this.elapsedMs(this.memory.missingSince, order) < MISSING_GRACE_MS) return false;
    if (order.status === 'draining' || this.observation.plannedDepartures.has(order.machine as string)) {
      this.steps.push({
        cause: 'Emptied in order, and gone from the list.',
        act: { tag: 'orderReleased', order: order.id },
      });
    } else this.recordLoss(order, 'Gone from the list without notice.');
    return true;
  }

  /**
   * Matches each listed worker that has no order with the oldest intended order of its zone. If there is none, adopts
   * the worker as a new order.
   */
  private assignNewWorkers(): void {
    const machines = new Set<string | null>();
    for (const order of this.openOrders) machines.add(order.machine);
    const adopted: { order: string; zone: string; machine: string; ready: boolean }[] = [];
    for (const worker of this.listedWorkers.values()) {
      if (machines.has(worker.id) || worker.leaving || this.observation.dead.has(worker.id)) continue;
      const order = this.oldestIntended(worker.zone);
      if (order) this.matchOrder(order, worker);
      else if (adopted.length < MAX_ADOPTED)
        adopted.push({
          order: `found-${worker.id}`,
          zone: worker.zone,
          machine: worker.id,
          ready: worker.coldMs === 0,
        });
    }
    if (adopted.length === 0) return;
    const cause = this.previousSets
      ? 'Appeared in the list without an order of ours.'
      : 'Stood in the list when the model was first looked at.';
    this.steps.push({ cause, act: { tag: 'ordersAdopted', model: this.scaledModel.model, kind: 'spot', adopted } });
    for (const adoptedOrder of adopted) {
      this.activeOrders.push({
        id: adoptedOrder.order,
        model: this.scaledModel.model,
        zone: adoptedOrder.zone,
        kind: 'spot',
        accelerator: 'any',
        status: adoptedOrder.ready ? 'ready' : 'placed',
        machine: adoptedOrder.machine,
        events: [],
      });
      if (adoptedOrder.ready) this.recordLaunch('spot', adoptedOrder.zone);
    }
  }

  private oldestIntended(zone: string): Order | null {
    let oldest: Order | null = null;
    for (const order of this.activeOrders)
      if (
        order.status === 'intended' &&
        order.zone === zone &&
        (oldest === null || firstSlot(order) < firstSlot(oldest))
      )
        oldest = order;
    return oldest;
  }

  private matchOrder(order: Order, worker: WorkerEntry): void {
    if (this.isFull()) return;
    const ready = worker.coldMs === 0;
    this.steps.push({
      cause: `${worker.id} appeared in ${worker.zone}.`,
      act: { tag: 'orderPlaced', order: order.id, machine: worker.id },
    });
    if (ready) {
      this.steps.push({
        cause: 'The worker is listed as serving, and warm.',
        act: { tag: 'orderReady', order: order.id },
      });
      this.recordLaunch(order.kind, order.zone);
    }
    this.activeOrders = this.activeOrders.map(withMachine);
    function withMachine(candidate: Order): Order {
      return candidate.id === order.id
        ? { ...candidate, status: ready ? 'ready' : 'placed', machine: worker.id }
        : candidate;
    }
  }

  private activeOfKind(kind: MachineKind): Order[] {
    const matching: Order[] = [];
    for (const order of this.activeOrders)
      if (order.kind === kind && this.zones.includes(order.zone)) matching.push(order);
    return matching;
  }

  private readySpotCount(): number {
    let count = 0;
    for (const order of this.activeOfKind('spot')) if (order.status === 'ready') count += 1;
    return count;
  }

  private decideKind(kind: MachineKind, wanted: number): void {
    const active = this.activeOfKind(kind);
    const occupied = new Set<string>();
    for (const order of active) occupied.add(order.zone);
    const candidateZones: ZoneSets = kind === 'spot' ? this.zoneSets : { active: this.zones, preemptive: [] };
    for (let count = active.length; count < wanted && !this.isFull(); count += 1) {
      const zone =
        kind === 'spot'
          ? selectNextZone(candidateZones, this.scaledModel.zones, occupied, uniformPrice)
          : (this.zones[0] ?? null);
      if (zone === null) return;
      occupied.add(zone);
      const cause =
        kind === 'spot'
          ? `Spot ${count + 1} of ${wanted} (target ${this.target} + extra ${this.scaledModel.values.nExtra}).`
          : `Fallback ${count + 1} of ${wanted}: ${this.readySpotCount()} spot ready of ${this.target + this.scaledModel.values.nExtra}.`;
      this.steps.push({
        cause,
        act: {
          tag: 'orderIntended',
          order: this.nextOrderId(),
          model: this.scaledModel.model,
          zone,
          kind,
          accelerator: this.scaledModel.values.accelerators[0] ?? 'any',
        },
      });
    }
    let surplus = active.length - wanted;
    for (const order of [...active].sort(byRemovalOrder)) {
      if (surplus <= 0 || this.isFull()) return;
      surplus -= 1;
      if (order.status === 'intended')
        this.steps.push({
          cause: `Only ${wanted} are wanted; withdrawn.`,
          act: { tag: 'orderReleased', order: order.id },
        });
      else if (kind === 'onDemand')
        this.steps.push({
          cause: `Enough spot is ready: ${this.readySpotCount()} of ${this.target + this.scaledModel.values.nExtra}.`,
          act: { tag: 'orderDraining', order: order.id },
        });
    }
  }
}

/** Decides the steps that bring a model's orders in line with the worker list and the request rate. */
export function decideOrdersFromList(
  scaledModel: ScaledModel,
  controlState: ControlState,
  observation: ListObservation,
  memory: ListScalerMemory,
  nextOrderId: () => string,
): ScalerStep[] {
  return new ListDecisionPass(scaledModel, controlState, observation, memory, nextOrderId).decide();
}

/** Returns whether two pairs of sets have the same zones, in any order. */
function hasSameZones(left: ZoneSets, right: ZoneSets): boolean {
  return (
    [...left.active].sort().join() === [...right.active].sort().join() &&
    [...left.preemptive].sort().join() === [...right.preemptive].sort().join()
  );
}
function uniformPrice(): number {
  return 1;
}
function firstSlot(order: Order): number {
  return order.events[0]?.slot ?? Number.MAX_SAFE_INTEGER;
}
function byRemovalOrder(left: Order, right: Order): number {
  const leftRank = left.status === 'intended' ? 0 : 1;
  const rightRank = right.status === 'intended' ? 0 : 1;
  return leftRank !== rightRank ? leftRank - rightRank : firstSlot(right) - firstSlot(left);
}

/**
 * Decisions of the scaler for one model, following SkyServe (docs/skyserve.md): the target, lost orders, and machines
 * to order or release. Has no side effects outside the process: `scaler.ts` writes each decision to the replicated log
 * under its fencing token before it calls the cloud.
 */

import type { ControlState } from '../consensus/control-state.js';
import type { Command, MachineKind } from '../consensus/entry.js';
import { decideMixture } from './mixture.js';
import { countsTowardsTarget } from './order.js';
import type { Order } from './order.js';
import type { ResolvedModel } from '../configuration/settings-tree.js';
import { decideTarget } from './target.js';
import { memoryOf, recordLaunchFailed, recordLaunchSucceeded } from './scaler-memory.js';
import type { ScalerMemory, ModelMemory } from './scaler-memory.js';
import type { ObservedMachine, ObservedWorker, ScalerObservation } from './scaler-observation.js';
import {
  alignZones,
  cheapestZone,
  handleLaunch,
  handlePreemption,
  initialZones,
  zoneSetsEqual,
  selectNextZone,
  zonesMovedDecision,
} from './zone-sets.js';
import type { ZoneSets } from './zone-sets.js';
import { ownValue } from '../../base/own-value.js';

/** A command for the log, with its cause for the history of the order. */
export type Decision = { readonly act: Command; readonly cause: string };

/** For this long a machine that the cloud has never listed is not taken for lost: the list may lag behind the order. */
const CLOUD_LIST_LAG_MS = 30_000;

/** Returns all orders of a model in the replicated state, whatever their status. */
export function ordersOfModel(controlState: ControlState, model: string): Order[] {
  const modelOrders: Order[] = [];
  for (const order of Object.values(controlState.orders)) if (order.model === model) modelOrders.push(order);
  return modelOrders;
}

function intendedSlot(order: Order): number {
  return order.events[0]?.slot ?? 0;
}
function placedSlot(order: Order): number {
  for (const orderEvent of order.events) if (orderEvent.status === 'placed') return orderEvent.slot;
  return 0;
}

/** One pass over a model; collects its decisions in `decisions`. */
class ModelDecisionPass {
  private readonly decisions: Decision[] = [];
  private readonly modelMemory: ModelMemory;
  private readonly zones: string[];
  private readonly previousSets: ZoneSets | undefined;
  private zoneSets: ZoneSets;
  private zonesCause: string;
  private target = 0;
  private orders: Order[] = [];
  private activeOrders: Order[] = [];

  constructor(
    private readonly resolved: ResolvedModel,
    private readonly controlState: ControlState,
    private readonly observation: ScalerObservation,
    private readonly memory: ScalerMemory,
    private readonly nextOrderId: () => string,
  ) {
    this.modelMemory = memoryOf(this.memory, this.resolved.model);
    this.zones = usableZones(this.resolved.values.zones, this.controlState);
    this.previousSets = ownValue(this.controlState.zoneSets, this.resolved.model);
    this.zoneSets = this.previousSets ? alignZones(this.previousSets, this.zones) : initialZones(this.zones);
    this.zonesCause = this.previousSets
      ? 'The enabled zones changed.'
      : 'The model is new: all enabled zones are active.';
  }

  decide(): Decision[] {
    for (const zone of this.observation.failedSpotZones) this.demoteZone(zone, `No spot capacity in ${zone}.`);
    this.target = this.decideTarget();
    this.orders = ordersOfModel(this.controlState, this.resolved.model);
    this.updatePlacedSince();
    this.activeOrders = this.resolveOrders();
    this.decideSpot();
    this.decideOnDemand();
    if (!this.previousSets || !zoneSetsEqual(this.previousSets, this.zoneSets))
      this.decisions.unshift(zonesMovedDecision(this.resolved.model, this.zoneSets, this.zonesCause));
    return this.decisions;
  }

  private updatePlacedSince(): void {
    const placedIds = new Set<string>();
    for (const order of this.orders) {
      if (order.machine === null) continue;
      placedIds.add(order.id);
      if (!this.modelMemory.placedSince.has(order.id)) this.modelMemory.placedSince.set(order.id, this.observation.now);
    }
    for (const id of this.modelMemory.placedSince.keys())
      if (!placedIds.has(id)) this.modelMemory.placedSince.delete(id);
  }

  private placedForMs(order: Order): number {
    return this.observation.now - (this.modelMemory.placedSince.get(order.id) ?? this.observation.now);
  }

  private decideTarget(): number {
    const { model, values } = this.resolved;
    const { target, decision } = decideTarget(
      model,
      values,
      ownValue(this.controlState.targets, model),
      ownValue(this.observation.rates, model) ?? null,
      this.modelMemory,
      this.observation.now,
    );
    if (decision) this.decisions.push(decision);
    return target;
  }

  private recordLoss(order: Order, cause: string): void {
    const preempted = order.kind === 'spot';
    this.decisions.push({ cause, act: { tag: 'orderLost', order: order.id, preempted } });
    if (preempted) this.demoteZone(order.zone, `A spot worker was lost in ${order.zone}.`);
  }

  private demoteZone(zone: string, cause: string): void {
    this.zoneSets = handlePreemption(this.zoneSets, zone);
    this.zonesCause = cause;
  }

  private resolveOrders(): Order[] {
    const active: Order[] = [];
    for (const order of this.orders) {
      if (!countsTowardsTarget(order)) continue;
      const reason = this.lossCause(order);
      if (reason) {
        this.recordLoss(order, reason);
        continue;
      }
      if (ownValue(this.controlState.evacuated, order.zone) !== undefined && order.status !== 'intended') {
        this.decisions.push({
          cause: `${order.zone} is being evacuated.`,
          act: { tag: 'orderDraining', order: order.id },
        });
        continue;
      }
      if (order.status === 'placed') {
        if (this.workerOf(order)?.state === 'ready') {
          this.decisions.push({ cause: 'The worker is ready.', act: { tag: 'orderReady', order: order.id } });
          recordLaunchSucceeded(this.memory, this.resolved.model, order.kind, order.zone);
          if (order.kind === 'spot') {
            const nextSets = handleLaunch(this.zoneSets, order.zone);
            if (nextSets !== this.zoneSets) this.zonesCause = `A launch became ready in ${order.zone}.`;
            this.zoneSets = nextSets;
          }
          active.push({ ...order, status: 'ready' });
          continue;
        }
        if (this.placedForMs(order) > this.resolved.values.launchTimeoutS * 1_000) {
          this.decisions.push({
            cause: `Not ready within ${this.resolved.values.launchTimeoutS}s.`,
            act: { tag: 'orderDraining', order: order.id },
          });
          recordLaunchFailed(this.memory, this.resolved.model, order.kind, order.zone, this.observation.now);
          if (order.kind === 'spot') this.demoteZone(order.zone, `A launch in ${order.zone} never became ready.`);
          continue;
        }
      }
      active.push(order);
    }
    return active;
  }

  private workerOf(order: Order): ObservedWorker | null {
    for (const worker of this.observation.workers ?? []) if (worker.machine === order.machine) return worker;
    return null;
  }

  /** Returns why the order counts as lost, or null if it does not. */
  private lossCause(order: Order): string | null {
    if (order.status === 'intended' || order.machine === null) return null;
    if (placedSlot(order) > this.observation.asOfSlot) return null;
    if (this.observation.machines) {
      let listed: ObservedMachine | null = null;
      for (const machine of this.observation.machines) if (machine.id === order.machine) listed = machine;
      if (
        !listed &&
        !this.observation.knownMachines.has(order.machine) &&
        !this.isWorkerMissing(order) &&
        this.placedForMs(order) < CLOUD_LIST_LAG_MS
      )
        return null;
      if (!listed || listed.state === 'gone') return 'The cloud reports the machine gone.';
      if (listed.state === 'reclaiming') return 'The cloud is reclaiming the machine.';
    }
    if (this.workerOf(order)?.state === 'draining') return 'The platform lists the worker as leaving.';
    if (order.status === 'ready' && this.observation.deadMachines.has(order.machine))
      return 'The worker no longer answers probes.';
    return null;
  }

  /** Returns whether the worker of a ready order is missing from the platform's list. */
  private isWorkerMissing(order: Order): boolean {
    return order.status === 'ready' && this.observation.workers !== null && this.workerOf(order) === null;
  }

  private spotPrice(zone: string): number {
    return ownValue(this.observation.prices, zone)?.spot ?? Number.MAX_VALUE;
  }

  private onDemandPrice(zone: string): number {
    return ownValue(this.observation.prices, zone)?.onDemand ?? Number.MAX_VALUE;
  }

  private backoffCheck(kind: MachineKind): (zone: string) => boolean {
    const isBackingOff = (zone: string): boolean => {
      const delay = this.modelMemory.retryDelay.get(`${kind} ${zone}`);
      return delay !== undefined && delay.until > this.observation.now;
    };
    return isBackingOff;
  }

  private activeOfKind(kind: MachineKind): Order[] {
    const matching: Order[] = [];
    for (const order of this.activeOrders) if (order.kind === kind) matching.push(order);
    return matching;
  }

  private intendOrder(kind: MachineKind, zone: string, cause: string): void {
    this.decisions.push({
      cause,
      act: {
        tag: 'orderIntended',
        order: this.nextOrderId(),
        model: this.resolved.model,
        zone,
        kind,
        accelerator: this.resolved.values.accelerators[0] ?? 'any',
      },
    });
  }

  private decideSpot(): void {
    const spot = this.activeOfKind('spot');
    const wanted = this.zones.length === 0 ? 0 : this.target + this.resolved.values.nExtra;
    const occupied = new Set<string>();
    for (const order of spot) occupied.add(order.zone);
    const isBackingOff = this.backoffCheck('spot');
    for (let count = spot.length; count < wanted; count += 1) {
      const availableSets: ZoneSets = {
        active: withoutBackingOff(this.zoneSets.active),
        preemptive: this.zoneSets.preemptive,
      };
      const zone = selectNextZone(availableSets, this.resolved.values.zones, occupied, (zone) => this.spotPrice(zone));
      if (zone === null) return;
      occupied.add(zone);
      this.intendOrder(
        'spot',
        zone,
        `Spot ${count + 1} of ${wanted} (target ${this.target} + extra ${this.resolved.values.nExtra}).`,
      );
    }
    this.drainSurplus(spot, wanted, (zone) => this.spotPrice(zone), `Only ${wanted} spot workers are wanted.`);

    function withoutBackingOff(candidates: readonly string[]): string[] {
      const available: string[] = [];
      for (const zone of candidates) if (!isBackingOff(zone)) available.push(zone);
      return available;
    }
  }

  private decideOnDemand(): void {
    const fallback = this.activeOfKind('onDemand');
    let ready = 0;
    for (const order of this.activeOfKind('spot')) if (order.status === 'ready') ready += 1;
    const wanted =
      this.zones.length === 0 ? 0 : decideMixture(this.target, this.resolved.values.nExtra, ready).onDemand;
    const isBackingOff = this.backoffCheck('onDemand');
    for (let count = fallback.length; count < wanted; count += 1) {
      const availableZones: string[] = [];
      for (const zone of this.zones) if (!isBackingOff(zone)) availableZones.push(zone);
      const zone = cheapestZone(availableZones, this.resolved.values.zones, (zone) => this.onDemandPrice(zone));
      if (zone === null) return;
      this.intendOrder(
        'onDemand',
        zone,
        `Fallback ${count + 1} of ${wanted}: ${ready} spot ready of ${this.target + this.resolved.values.nExtra}.`,
      );
    }
    this.drainSurplus(
      fallback,
      wanted,
      (zone) => this.onDemandPrice(zone),
      `Enough spot is ready: ${ready} of ${this.target + this.resolved.values.nExtra}.`,
    );
  }

  private drainSurplus(
    active: readonly Order[],
    wanted: number,
    priceOf: (zone: string) => number,
    cause: string,
  ): void {
    const surplus = [...active].sort(byRemovalOrder);
    for (let i = 0; i < active.length - wanted; i += 1) {
      const order = surplus[i] as Order;
      if (order.status === 'intended') continue;
      this.decisions.push({ cause, act: { tag: 'orderDraining', order: order.id } });
    }
    function byRemovalOrder(left: Order, right: Order): number {
      const leftRank = left.status === 'ready' ? 1 : 0;
      const rightRank = right.status === 'ready' ? 1 : 0;
      if (leftRank !== rightRank) return leftRank - rightRank;
      const priceDifference = priceOf(right.zone) - priceOf(left.zone);
      return priceDifference !== 0 ? priceDifference : intendedSlot(right) - intendedSlot(left);
    }
  }
}

/** Decides what to change for a model now; a change of the zone sets comes first. */
export function decideModel(
  resolved: ResolvedModel,
  controlState: ControlState,
  observation: ScalerObservation,
  memory: ScalerMemory,
  nextOrderId: () => string,
): Decision[] {
  return new ModelDecisionPass(resolved, controlState, observation, memory, nextOrderId).decide();
}

/** Returns the zones that exist in the configuration and are not evacuated. */
export function usableZones(zones: readonly string[], controlState: ControlState): string[] {
  const usable: string[] = [];
  for (const zone of zones)
    if (ownValue(controlState.evacuated, zone) === undefined && ownValue(controlState.configuration.zones, zone))
      usable.push(zone);
  return usable;
}

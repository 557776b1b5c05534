/**
 * The scaler's decisions for one model: its target, lost orders, and machines to order or give
 * back, after SkyServe (docs/skyserve.md). Pure: `scaler.ts` agrees each decision under its fence
 * before anything outside is called.
 */

import type { ControlState } from '../consensus/control-state.js';
import type { Command, Kind } from '../consensus/entry.js';
import { decideMixture } from './mixture.js';
import { counts } from './order.js';
import type { Order } from './order.js';
import type { ResolvedModel } from '../configuration/settings-tree.js';
import { decideTarget } from './target.js';
import { memoryOf, recordLaunchFailed, recordLaunchSucceeded } from './scaler-memory.js';
import type { ScalerMemory, ModelMemory } from './scaler-memory.js';
import type { ObservedMachine, ObservedWorker, ScalerObservation } from './scaler-observation.js';
import {
  alignZones,
  cheapest,
  handleLaunch,
  handlePreemption,
  initialZones,
  sameZones,
  selectNextZone,
  zonesMoved,
} from './zone-sets.js';
import type { ZoneSets } from './zone-sets.js';

/** An entry to be agreed, with its cause for the history. */
export type Decision = { readonly act: Command; readonly cause: string };

const LIST_LAG_MS = 30_000;
/** All orders of a model, open or ended. */
export function ordersOf(controlState: ControlState, model: string): Order[] {
  const out: Order[] = [];
  for (const order of Object.values(controlState.orders)) if (order.model === model) out.push(order);
  return out;
}

function startedSlot(order: Order): number {
  return order.events[0]?.slot ?? 0;
}
function placedSlot(order: Order): number {
  for (const orderEvent of order.events) if (orderEvent.status === 'placed') return orderEvent.slot;
  return 0;
}

/** One pass over a model: what it decided stands in `out`. */
class ModelDecisionPass {
  private readonly out: Decision[] = [];
  private readonly mem: ModelMemory;
  private readonly zones: string[];
  private readonly before: ZoneSets | undefined;
  private sets: ZoneSets;
  private why: string;
  private target = 0;
  private orders: Order[] = [];
  private standing: Order[] = [];

  constructor(
    private readonly resolved: ResolvedModel,
    private readonly controlState: ControlState,
    private readonly observation: ScalerObservation,
    private readonly memory: ScalerMemory,
    private readonly nextOrderId: () => string,
  ) {
    this.mem = memoryOf(this.memory, this.resolved.model);
    this.zones = openZones(this.resolved.values.zones, this.controlState);
    this.before = this.controlState.zoneSets[this.resolved.model];
    this.sets = this.before ? alignZones(this.before, this.zones) : initialZones(this.zones);
    this.why = this.before ? 'The enabled zones changed.' : 'The model is new: all enabled zones are active.';
  }

  decide(): Decision[] {
    for (const zone of this.observation.failedIn) this.demote(zone, `No spot capacity in ${zone}.`);
    this.target = this.decideTarget();
    this.orders = ordersOf(this.controlState, this.resolved.model);
    this.recordPlaced();
    this.standing = this.resolveOrders();
    this.decideSpot();
    this.decideOnDemand();
    if (!this.before || !sameZones(this.before, this.sets))
      this.out.unshift(zonesMoved(this.resolved.model, this.sets, this.why));
    return this.out;
  }

  private recordPlaced(): void {
    const open = new Set<string>();
    for (const order of this.orders) {
      if (order.machine === null) continue;
      open.add(order.id);
      if (!this.mem.placedSince.has(order.id)) this.mem.placedSince.set(order.id, this.observation.now);
    }
    for (const id of this.mem.placedSince.keys()) if (!open.has(id)) this.mem.placedSince.delete(id);
  }

  private placedForMs(order: Order): number {
    return this.observation.now - (this.mem.placedSince.get(order.id) ?? this.observation.now);
  }

  private decideTarget(): number {
    const { model, values } = this.resolved;
    const { target, decision } = decideTarget(
      model,
      values,
      this.controlState.targets[model],
      this.observation.rates[model] ?? null,
      this.mem,
      this.observation.now,
    );
    if (decision) this.out.push(decision);
    return target;
  }

  private lose(order: Order, cause: string): void {
    const preempted = order.kind === 'spot';
    this.out.push({ cause, act: { tag: 'orderLost', order: order.id, preempted } });
    if (preempted) this.demote(order.zone, `A spot worker was lost in ${order.zone}.`);
  }

  private demote(zone: string, cause: string): void {
    this.sets = handlePreemption(this.sets, zone);
    this.why = cause;
  }

  private resolveOrders(): Order[] {
    const left: Order[] = [];
    for (const order of this.orders) {
      if (!counts(order)) continue;
      const reason = this.lossOf(order);
      if (reason) {
        this.lose(order, reason);
        continue;
      }
      if (this.controlState.evacuated[order.zone] !== undefined && order.status !== 'intended') {
        this.out.push({ cause: `${order.zone} is being evacuated.`, act: { tag: 'orderDraining', order: order.id } });
        continue;
      }
      if (order.status === 'placed') {
        if (this.workerOf(order)?.state === 'ready') {
          this.out.push({ cause: 'The worker is ready.', act: { tag: 'orderReady', order: order.id } });
          recordLaunchSucceeded(this.memory, this.resolved.model, order.kind, order.zone);
          if (order.kind === 'spot') {
            const moved = handleLaunch(this.sets, order.zone);
            if (moved !== this.sets) this.why = `A launch became ready in ${order.zone}.`;
            this.sets = moved;
          }
          left.push({ ...order, status: 'ready' });
          continue;
        }
        if (this.placedForMs(order) > this.resolved.values.launchTimeoutS * 1_000) {
          this.out.push({
            cause: `Not ready within ${this.resolved.values.launchTimeoutS}s.`,
            act: { tag: 'orderDraining', order: order.id },
          });
          recordLaunchFailed(this.memory, this.resolved.model, order.kind, order.zone, this.observation.now);
          if (order.kind === 'spot') this.demote(order.zone, `A launch in ${order.zone} never became ready.`);
          continue;
        }
      }
      left.push(order);
    }
    return left;
  }

  private workerOf(order: Order): ObservedWorker | null {
    for (const worker of this.observation.workers ?? []) if (worker.machine === order.machine) return worker;
    return null;
  }

  private lossOf(order: Order): string | null {
    if (order.status === 'intended' || order.machine === null) return null;
    if (placedSlot(order) > this.observation.asOf) return null;
    if (this.observation.machines) {
      let seen: ObservedMachine | null = null;
      for (const machine of this.observation.machines) if (machine.id === order.machine) seen = machine;
      if (
        !seen &&
        !this.observation.knownMachines.has(order.machine) &&
        !this.isUnlisted(order) &&
        this.placedForMs(order) < LIST_LAG_MS
      )
        return null;
      if (!seen || seen.state === 'gone') return 'The cloud reports the machine gone.';
      if (seen.state === 'reclaiming') return 'The cloud is reclaiming the machine.';
    }
    if (this.workerOf(order)?.state === 'draining') return 'The platform lists the worker as leaving.';
    if (order.status === 'ready' && this.observation.deadMachines.has(order.machine))
      return 'The worker no longer answers probes.';
    return null;
  }

  private isUnlisted(order: Order): boolean {
    return order.status === 'ready' && this.observation.workers !== null && this.workerOf(order) === null;
  }

  private spotPrice(zone: string): number {
    return this.observation.prices[zone]?.spot ?? Number.MAX_VALUE;
  }

  private onDemandPrice(zone: string): number {
    return this.observation.prices[zone]?.onDemand ?? Number.MAX_VALUE;
  }

  private resting(kind: Kind): (zone: string) => boolean {
    const check = (zone: string): boolean => {
      const delay = this.mem.retryDelay.get(`${kind} ${zone}`);
      return delay !== undefined && delay.until > this.observation.now;
    };
    return check;
  }

  private ofKind(kind: Kind): Order[] {
    const list: Order[] = [];
    for (const order of this.standing) if (order.kind === kind) list.push(order);
    return list;
  }

  private intend(kind: Kind, zone: string, cause: string): void {
    this.out.push({
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
    const spot = this.ofKind('spot');
    const wanted = this.zones.length === 0 ? 0 : this.target + this.resolved.values.nExtra;
    const occupied = new Set<string>();
    for (const order of spot) occupied.add(order.zone);
    const isResting = this.resting('spot');
    for (let count = spot.length; count < wanted; count += 1) {
      const awake: ZoneSets = { active: withoutResting(this.sets.active), preemptive: this.sets.preemptive };
      const zone = selectNextZone(awake, this.resolved.values.zones, occupied, (zone) => this.spotPrice(zone));
      if (zone === null) return;
      occupied.add(zone);
      this.intend(
        'spot',
        zone,
        `Spot ${count + 1} of ${wanted} (target ${this.target} + extra ${this.resolved.values.nExtra}).`,
      );
    }
    this.shrink(spot, wanted, (zone) => this.spotPrice(zone), `Only ${wanted} spot workers are wanted.`);

    function withoutResting(items: readonly string[]): string[] {
      const ready: string[] = [];
      for (const zone of items) if (!isResting(zone)) ready.push(zone);
      return ready;
    }
  }

  private decideOnDemand(): void {
    const fallback = this.ofKind('onDemand');
    let ready = 0;
    for (const order of this.ofKind('spot')) if (order.status === 'ready') ready += 1;
    const wanted =
      this.zones.length === 0 ? 0 : decideMixture(this.target, this.resolved.values.nExtra, ready).onDemand;
    const isResting = this.resting('onDemand');
    for (let count = fallback.length; count < wanted; count += 1) {
      const awake: string[] = [];
      for (const zone of this.zones) if (!isResting(zone)) awake.push(zone);
      const zone = cheapest(awake, this.resolved.values.zones, (zone) => this.onDemandPrice(zone));
      if (zone === null) return;
      this.intend(
        'onDemand',
        zone,
        `Fallback ${count + 1} of ${wanted}: ${ready} spot ready of ${this.target + this.resolved.values.nExtra}.`,
      );
    }
    this.shrink(
      fallback,
      wanted,
      (zone) => this.onDemandPrice(zone),
      `Enough spot is ready: ${ready} of ${this.target + this.resolved.values.nExtra}.`,
    );
  }

  private shrink(list: readonly Order[], wanted: number, priceOf: (zone: string) => number, cause: string): void {
    const surplus = [...list].sort(firstToGo);
    for (let i = 0; i < list.length - wanted; i += 1) {
      const order = surplus[i] as Order;
      if (order.status === 'intended') continue;
      this.out.push({ cause, act: { tag: 'orderDraining', order: order.id } });
    }
    function firstToGo(left: Order, right: Order): number {
      const leftRank = left.status === 'ready' ? 1 : 0;
      const rightRank = right.status === 'ready' ? 1 : 0;
      if (leftRank !== rightRank) return leftRank - rightRank;
      const dear = priceOf(right.zone) - priceOf(left.zone);
      return dear !== 0 ? dear : startedSlot(right) - startedSlot(left);
    }
  }
}

/** What to change for a model now; zone sets first, if they changed. */
export function decideModel(
  resolved: ResolvedModel,
  controlState: ControlState,
  observation: ScalerObservation,
  memory: ScalerMemory,
  nextOrderId: () => string,
): Decision[] {
  return new ModelDecisionPass(resolved, controlState, observation, memory, nextOrderId).decide();
}

/** The zones that exist and are not evacuated. */
export function openZones(zones: readonly string[], controlState: ControlState): string[] {
  const out: string[] = [];
  for (const zone of zones)
    if (controlState.evacuated[zone] === undefined && controlState.configuration.zones[zone]) out.push(zone);
  return out;
}

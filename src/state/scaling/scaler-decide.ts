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
import { stepTarget } from './target.js';
import { memoryOf, recordLaunchFailed, recordLaunchSucceeded } from './scaler-memory.js';
import type { ScalerMemory } from './scaler-memory.js';
import type { ObservedMachine, ObservedWorker, ScalerObservation } from './scaler-observation.js';
import {
  alignZones,
  cheapest,
  handleLaunch,
  handlePreemption,
  initialZones,
  sameZones,
  selectNextZone,
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

/** What to change for a model now; zone sets first, if they changed. */
export function decideModel(
  resolved: ResolvedModel,
  controlState: ControlState,
  observation: ScalerObservation,
  memory: ScalerMemory,
  nextOrderId: () => string,
): Decision[] {
  const { model, values } = resolved;
  const out: Decision[] = [];
  const mem = memoryOf(memory, model);
  const zones = openZones(values.zones, controlState);
  const before = controlState.zoneSets[model];
  let sets: ZoneSets = before ? alignZones(before, zones) : initialZones(zones);
  let why = before ? 'The enabled zones changed.' : 'The model is new: all enabled zones are active.';

  for (const zone of observation.failedIn) demote(zone, `No spot capacity in ${zone}.`);
  const target = decideTarget();
  const orders = ordersOf(controlState, model);
  recordPlaced();
  const standing = resolveOrders();
  decideSpot();
  decideOnDemand();
  if (!before || !sameZones(before, sets)) {
    out.unshift({
      cause: why,
      act: { tag: 'zonesMoved', model, active: [...sets.active], preemptive: [...sets.preemptive] },
    });
  }
  return out;

  function recordPlaced(): void {
    const open = new Set<string>();
    for (const order of orders) {
      if (order.machine === null) continue;
      open.add(order.id);
      if (!mem.placedSince.has(order.id)) mem.placedSince.set(order.id, observation.now);
    }
    for (const id of mem.placedSince.keys()) if (!open.has(id)) mem.placedSince.delete(id);
  }
  function placedForMs(order: Order): number {
    return observation.now - (mem.placedSince.get(order.id) ?? observation.now);
  }

  function decideTarget(): number {
    const rule = {
      qTar: values.qTar,
      holdMs: values.holdS * 1_000,
      minTarget: values.minTarget,
      maxTarget: values.maxTarget,
    };
    const known = controlState.targets[model];
    const rate = observation.rates[model] ?? null;
    if (known === undefined) {
      out.push({
        cause: 'The model starts at its lowest target.',
        act: { tag: 'targetChanged', model, target: values.minTarget },
      });
      return values.minTarget;
    }
    const step = stepTarget(known, rate, rule, mem.pendingChange, observation.now);
    mem.pendingChange = step.pending;
    if (step.target !== known) {
      const shown = rate === null ? 'unknown' : rate.perSecond.toFixed(2);
      out.push({
        cause: `Rate ${shown}/s over ${values.windowS}s against ${values.qTar}/s a worker.`,
        act: { tag: 'targetChanged', model, target: step.target },
      });
    }
    return step.target;
  }

  function lose(order: Order, cause: string): void {
    const preempted = order.kind === 'spot';
    out.push({ cause, act: { tag: 'orderLost', order: order.id, preempted } });
    if (preempted) demote(order.zone, `A spot worker was lost in ${order.zone}.`);
  }

  function demote(zone: string, cause: string): void {
    sets = handlePreemption(sets, zone);
    why = cause;
  }

  function resolveOrders(): Order[] {
    const left: Order[] = [];
    for (const order of orders) {
      if (!counts(order)) continue;
      const reason = lossOf(order);
      if (reason) {
        lose(order, reason);
        continue;
      }
      if (controlState.evacuated[order.zone] !== undefined && order.status !== 'intended') {
        out.push({ cause: `${order.zone} is being evacuated.`, act: { tag: 'orderDraining', order: order.id } });
        continue;
      }
      if (order.status === 'placed') {
        if (workerOf(order)?.state === 'ready') {
          out.push({ cause: 'The worker is ready.', act: { tag: 'orderReady', order: order.id } });
          recordLaunchSucceeded(memory, model, order.kind, order.zone);
          if (order.kind === 'spot') {
            const moved = handleLaunch(sets, order.zone);
            if (moved !== sets) why = `A launch became ready in ${order.zone}.`;
            sets = moved;
          }
          left.push({ ...order, status: 'ready' });
          continue;
        }
        if (placedForMs(order) > values.launchTimeoutS * 1_000) {
          out.push({
            cause: `Not ready within ${values.launchTimeoutS}s.`,
            act: { tag: 'orderDraining', order: order.id },
          });
          recordLaunchFailed(memory, model, order.kind, order.zone, observation.now);
          if (order.kind === 'spot') demote(order.zone, `A launch in ${order.zone} never became ready.`);
          continue;
        }
      }
      left.push(order);
    }
    return left;
  }

  function workerOf(order: Order): ObservedWorker | null {
    for (const worker of observation.workers ?? []) if (worker.machine === order.machine) return worker;
    return null;
  }

  function lossOf(order: Order): string | null {
    if (order.status === 'intended' || order.machine === null) return null;
    if (placedSlot(order) > observation.asOf) return null;
    if (observation.machines) {
      let seen: ObservedMachine | null = null;
      for (const machine of observation.machines) if (machine.id === order.machine) seen = machine;
      if (
        !seen &&
        !observation.knownMachines.has(order.machine) &&
        !isUnlisted(order) &&
        placedForMs(order) < LIST_LAG_MS
      )
        return null;
      if (!seen || seen.state === 'gone') return 'The cloud reports the machine gone.';
      if (seen.state === 'reclaiming') return 'The cloud is reclaiming the machine.';
    }
    if (workerOf(order)?.state === 'draining') return 'The platform lists the worker as leaving.';
    if (order.status === 'ready' && observation.deadMachines.has(order.machine))
      return 'The worker no longer answers probes.';
    return null;
  }

  function isUnlisted(order: Order): boolean {
    return order.status === 'ready' && observation.workers !== null && workerOf(order) === null;
  }

  function spotPrice(zone: string): number {
    return observation.prices[zone]?.spot ?? Number.MAX_VALUE;
  }
  function onDemandPrice(zone: string): number {
    return observation.prices[zone]?.onDemand ?? Number.MAX_VALUE;
  }
  function resting(kind: Kind): (zone: string) => boolean {
    function check(zone: string): boolean {
      const delay = mem.retryDelay.get(`${kind} ${zone}`);
      return delay !== undefined && delay.until > observation.now;
    }
    return check;
  }
  function ofKind(kind: Kind): Order[] {
    const list: Order[] = [];
    for (const order of standing) if (order.kind === kind) list.push(order);
    return list;
  }
  function intend(kind: Kind, zone: string, cause: string): void {
    out.push({
      cause,
      act: {
        tag: 'orderIntended',
        order: nextOrderId(),
        model,
        zone,
        kind,
        accelerator: values.accelerators[0] ?? 'any',
      },
    });
  }

  function decideSpot(): void {
    const spot = ofKind('spot');
    const wanted = zones.length === 0 ? 0 : target + values.nExtra;
    const occupied = new Set<string>();
    for (const order of spot) occupied.add(order.zone);
    const isResting = resting('spot');
    for (let count = spot.length; count < wanted; count += 1) {
      const awake: ZoneSets = { active: withoutResting(sets.active), preemptive: sets.preemptive };
      const zone = selectNextZone(awake, values.zones, occupied, spotPrice);
      if (zone === null) return;
      occupied.add(zone);
      intend('spot', zone, `Spot ${count + 1} of ${wanted} (target ${target} + extra ${values.nExtra}).`);
    }
    shrink(spot, wanted, spotPrice, `Only ${wanted} spot workers are wanted.`);

    function withoutResting(items: readonly string[]): string[] {
      const ready: string[] = [];
      for (const zone of items) if (!isResting(zone)) ready.push(zone);
      return ready;
    }
  }

  function decideOnDemand(): void {
    const fallback = ofKind('onDemand');
    let ready = 0;
    for (const order of ofKind('spot')) if (order.status === 'ready') ready += 1;
    const wanted = zones.length === 0 ? 0 : decideMixture(target, values.nExtra, ready).onDemand;
    const isResting = resting('onDemand');
    for (let count = fallback.length; count < wanted; count += 1) {
      const awake: string[] = [];
      for (const zone of zones) if (!isResting(zone)) awake.push(zone);
      const zone = cheapest(awake, values.zones, onDemandPrice);
      if (zone === null) return;
      intend('onDemand', zone, `Fallback ${count + 1} of ${wanted}: ${ready} spot ready of ${target + values.nExtra}.`);
    }
    shrink(fallback, wanted, onDemandPrice, `Enough spot is ready: ${ready} of ${target + values.nExtra}.`);
  }

  function shrink(list: readonly Order[], wanted: number, priceOf: (zone: string) => number, cause: string): void {
    const surplus = [...list].sort(firstToGo);
    for (let i = 0; i < list.length - wanted; i += 1) {
      const order = surplus[i] as Order;
      if (order.status === 'intended') continue;
      out.push({ cause, act: { tag: 'orderDraining', order: order.id } });
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

/** The zones that exist and are not evacuated. */
export function openZones(zones: readonly string[], controlState: ControlState): string[] {
  const out: string[] = [];
  for (const zone of zones)
    if (controlState.evacuated[zone] === undefined && controlState.configuration.zones[zone]) out.push(zone);
  return out;
}

import type { ControlState } from '../consensus/control-state.js';
import type { Kind, Step } from '../consensus/entry.js';
import { decideMixture } from './mixture.js';
import { counts } from './order.js';
import type { Order } from './order.js';
import { ordersOf } from './scaler-decide.js';
import { resolveModel } from '../configuration/settings-tree.js';
import type { Configuration, Resolved } from '../configuration/settings-tree.js';
import { stepTarget } from './target.js';
import type { PendingChange, Rate } from './target.js';
import type { WorkerEntry } from '../discovery/worker-entry.js';
import { alignZones, handleLaunch, handlePreemption, initialZones, selectNextZone } from './zone-sets.js';
import type { ZoneSets } from './zone-sets.js';

export type ObservedRule = { readonly model: string; readonly zones: readonly string[]; readonly values: Resolved };

export type ListObservation = {
  readonly now: number;
  readonly list: readonly WorkerEntry[];
  readonly rate: Rate | null;
  readonly dead: ReadonlySet<string>;
  readonly planned: ReadonlySet<string>;
};

export type ObservedMemory = {
  pendingChange: PendingChange | null;
  readonly intendedSince: Map<string, number>;
  readonly goneSince: Map<string, number>;
};

const MOST_STEPS = 8;
const MOST_ADOPTED = 100;
const VANISHED_MS = 1_500;
const PLACE_HELD_S = 10;

export function observedMemory(): ObservedMemory {
  return { pendingChange: null, intendedSince: new Map(), goneSince: new Map() };
}

export function observedRules(cfg: Configuration, zones: readonly string[]): ObservedRule[] {
  const out: ObservedRule[] = [];
  for (const [model, traits] of Object.entries(cfg.serving?.models ?? {})) {
    if (traits.engine === null) continue;
    const { values, levels } = resolveModel(cfg, regionOf(cfg, model), model);
    if (!values.scaled) continue;
    const qTar = levels.qTar === 'default' ? Math.max(values.qTar, traits.engine.batch / PLACE_HELD_S) : values.qTar;
    const enabled = levels.zones === 'default' ? zones : values.zones;
    out.push({ model, zones: enabled, values: { ...values, qTar } });
  }
  return out;
}

function regionOf(cfg: Configuration, model: string): string {
  for (const [region, branch] of Object.entries(cfg.regions)) if (branch.models?.[model]) return region;
  return '';
}

export function decideRetired(
  controlState: ControlState,
  configured: ReadonlySet<string>,
  list: readonly WorkerEntry[],
): Step[] {
  const listed = new Set<string | null>();
  for (const worker of list) listed.add(worker.id);
  const steps: Step[] = [];
  for (const order of Object.values(controlState.orders)) {
    if (configured.has(order.model) || listed.has(order.machine) || steps.length >= MOST_STEPS) continue;
    steps.push({ cause: `${order.model} is served no more.`, act: { tag: 'orderReleased', order: order.id } });
  }
  return steps;
}

export function decideObserved(
  rule: ObservedRule,
  controlState: ControlState,
  observation: ListObservation,
  memory: ObservedMemory,
  nextOrderId: () => string,
): Step[] {
  const { model, values } = rule;
  const steps: Step[] = [];
  const zones: string[] = [];
  for (const zone of rule.zones) if (controlState.evacuated[zone] === undefined) zones.push(zone);
  const before = controlState.zoneSets[model];
  let sets: ZoneSets = before ? alignZones(before, zones) : initialZones(zones);
  let why = before ? 'The enabled zones changed.' : 'The model is new: all enabled zones are active.';
  const listed = new Map<string, WorkerEntry>();
  for (const worker of observation.list) if (worker.model === model) listed.set(worker.id, worker);
  let standing: Order[] = [];

  const target = decideTarget();
  const openOrders = recordSince();
  resolveOpen();
  adoptNew();
  decideKind('spot', zones.length === 0 ? 0 : target + values.nExtra);
  decideKind('onDemand', zones.length === 0 ? 0 : decideMixture(target, values.nExtra, readySpot()).onDemand);
  if (!before || !sameMembers(before, sets)) {
    steps.unshift({
      cause: why,
      act: { tag: 'zonesMoved', model, active: [...sets.active], preemptive: [...sets.preemptive] },
    });
  }
  return steps;

  function full(): boolean {
    return steps.length >= MOST_STEPS;
  }

  function decideTarget(): number {
    const known = controlState.targets[model];
    if (known === undefined) {
      steps.push({
        cause: 'The model starts at its lowest target.',
        act: { tag: 'targetChanged', model, target: values.minTarget },
      });
      return values.minTarget;
    }
    const step = stepTarget(
      known,
      observation.rate,
      { qTar: values.qTar, holdMs: values.holdS * 1_000, minTarget: values.minTarget, maxTarget: values.maxTarget },
      memory.pendingChange,
      observation.now,
    );
    memory.pendingChange = step.pending;
    if (step.target !== known) {
      const shown = observation.rate === null ? 'unknown' : observation.rate.perSecond.toFixed(2);
      steps.push({
        cause: `Rate ${shown}/s over ${values.windowS}s against ${values.qTar}/s a worker.`,
        act: { tag: 'targetChanged', model, target: step.target },
      });
    }
    return step.target;
  }

  function recordSince(): Order[] {
    const orders = ordersOf(controlState, model);
    const open = new Set<string>();
    for (const order of orders) open.add(order.id);
    for (const since of [memory.intendedSince, memory.goneSince])
      for (const id of since.keys()) if (!open.has(id)) since.delete(id);
    for (const order of orders) {
      if (order.status === 'intended' && !memory.intendedSince.has(order.id))
        memory.intendedSince.set(order.id, observation.now);
      if (order.machine === null || listed.has(order.machine)) memory.goneSince.delete(order.id);
      else if (!memory.goneSince.has(order.id)) memory.goneSince.set(order.id, observation.now);
    }
    return orders;
  }
  function forMs(since: ReadonlyMap<string, number>, order: Order): number {
    return observation.now - (since.get(order.id) ?? observation.now);
  }

  function lose(order: Order, cause: string): void {
    const preempted = order.kind === 'spot';
    steps.push({ cause, act: { tag: 'orderLost', order: order.id, preempted } });
    if (preempted) demote(order.zone, `A spot worker was lost in ${order.zone}.`);
  }
  function demote(zone: string, cause: string): void {
    const moved = handlePreemption(sets, zone);
    if (moved !== sets) why = cause;
    sets = moved;
  }
  function launched(kind: Kind, zone: string): void {
    const moved = kind === 'spot' ? handleLaunch(sets, zone) : sets;
    if (moved !== sets) why = `A launch became ready in ${zone}.`;
    sets = moved;
  }

  function resolveOpen(): void {
    for (const order of openOrders) if (!isResolved(order) && counts(order)) standing.push(order);
  }
  function isResolved(order: Order): boolean {
    if (full()) return false;
    if (order.machine === null) return isIntendedResolved(order);
    const worker = listed.get(order.machine);
    if (!worker) return isMissingResolved(order);
    if (order.status === 'draining') return true;
    if (worker.leaving && worker.remainingMs !== null)
      lose(order, `Taken away at short notice: ${Math.round(worker.remainingMs)} ms were left.`);
    else if (worker.leaving)
      steps.push({
        cause: 'The platform empties the worker in order.',
        act: { tag: 'orderDraining', order: order.id },
      });
    else if (observation.dead.has(worker.id)) lose(order, 'Listed, but for long no proxy finds it fit.');
    else if (order.status === 'placed' && worker.coldMs === 0) {
      steps.push({ cause: 'The worker is listed as serving, and warm.', act: { tag: 'orderReady', order: order.id } });
      launched(order.kind, order.zone);
      standing.push({ ...order, status: 'ready' });
    } else return false;
    return true;
  }
  function isIntendedResolved(order: Order): boolean {
    if (!zones.includes(order.zone))
      steps.push({ cause: `${order.zone} is not enabled.`, act: { tag: 'orderReleased', order: order.id } });
    else if (forMs(memory.intendedSince, order) > values.launchTimeoutS * 1_000) {
      steps.push({
        cause: `Nothing came of it within ${values.launchTimeoutS}s.`,
        act: { tag: 'orderFailed', order: order.id },
      });
      if (order.kind === 'spot') demote(order.zone, `A launch in ${order.zone} never came.`);
    } else return false;
    return true;
  }
  function isMissingResolved(order: Order): boolean {
    if (forMs(memory.goneSince, order) < VANISHED_MS) return false;
    if (order.status === 'draining' || observation.planned.has(order.machine as string)) {
      steps.push({
        cause: 'Emptied in order, and gone from the list.',
        act: { tag: 'orderReleased', order: order.id },
      });
    } else lose(order, 'Gone from the list without notice.');
    return true;
  }

  function adoptNew(): void {
    const machines = new Set<string | null>();
    for (const order of openOrders) machines.add(order.machine);
    const adopted: { order: string; zone: string; machine: string; ready: boolean }[] = [];
    for (const worker of listed.values()) {
      if (machines.has(worker.id) || worker.leaving || observation.dead.has(worker.id)) continue;
      const order = oldestIntended(worker.zone);
      if (order) matchOrder(order, worker);
      else if (adopted.length < MOST_ADOPTED)
        adopted.push({
          order: `found-${worker.id}`,
          zone: worker.zone,
          machine: worker.id,
          ready: worker.coldMs === 0,
        });
    }
    if (adopted.length === 0) return;
    const cause = before
      ? 'Appeared in the list without an order of ours.'
      : 'Stood in the list when the model was first looked at.';
    steps.push({ cause, act: { tag: 'ordersAdopted', model, kind: 'spot', adopted } });
    for (const first of adopted) {
      standing.push({
        id: first.order,
        model,
        zone: first.zone,
        kind: 'spot',
        accelerator: 'any',
        status: first.ready ? 'ready' : 'placed',
        machine: first.machine,
        events: [],
      });
      if (first.ready) launched('spot', first.zone);
    }
  }
  function oldestIntended(zone: string): Order | null {
    let best: Order | null = null;
    for (const order of standing)
      if (order.status === 'intended' && order.zone === zone && (best === null || firstSlot(order) < firstSlot(best)))
        best = order;
    return best;
  }
  function matchOrder(order: Order, worker: WorkerEntry): void {
    if (full()) return;
    const ready = worker.coldMs === 0;
    steps.push({
      cause: `${worker.id} appeared in ${worker.zone}.`,
      act: { tag: 'orderPlaced', order: order.id, machine: worker.id },
    });
    if (ready) {
      steps.push({ cause: 'The worker is listed as serving, and warm.', act: { tag: 'orderReady', order: order.id } });
      launched(order.kind, order.zone);
    }
    standing = standing.map(moved);
    function moved(candidate: Order): Order {
      return candidate.id === order.id
        ? { ...candidate, status: ready ? 'ready' : 'placed', machine: worker.id }
        : candidate;
    }
  }

  function ofKind(kind: Kind): Order[] {
    const out: Order[] = [];
    for (const order of standing) if (order.kind === kind && zones.includes(order.zone)) out.push(order);
    return out;
  }
  function readySpot(): number {
    let count = 0;
    for (const order of ofKind('spot')) if (order.status === 'ready') count += 1;
    return count;
  }

  function decideKind(kind: Kind, wanted: number): void {
    const list = ofKind(kind);
    const occupied = new Set<string>();
    for (const order of list) occupied.add(order.zone);
    const from: ZoneSets = kind === 'spot' ? sets : { active: zones, preemptive: [] };
    for (let count = list.length; count < wanted && !full(); count += 1) {
      const zone = kind === 'spot' ? selectNextZone(from, rule.zones, occupied, samePrice) : (zones[0] ?? null);
      if (zone === null) return;
      occupied.add(zone);
      const cause =
        kind === 'spot'
          ? `Spot ${count + 1} of ${wanted} (target ${target} + extra ${values.nExtra}).`
          : `Fallback ${count + 1} of ${wanted}: ${readySpot()} spot ready of ${target + values.nExtra}.`;
      steps.push({
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
    let over = list.length - wanted;
    for (const order of [...list].sort(firstToGo)) {
      if (over <= 0 || full()) return;
      over -= 1;
      if (order.status === 'intended')
        steps.push({ cause: `Only ${wanted} are wanted; withdrawn.`, act: { tag: 'orderReleased', order: order.id } });
      else if (kind === 'onDemand')
        steps.push({
          cause: `Enough spot is ready: ${readySpot()} of ${target + values.nExtra}.`,
          act: { tag: 'orderDraining', order: order.id },
        });
    }
  }
}

function sameMembers(left: ZoneSets, right: ZoneSets): boolean {
  return (
    [...left.active].sort().join() === [...right.active].sort().join() &&
    [...left.preemptive].sort().join() === [...right.preemptive].sort().join()
  );
}
function samePrice(): number {
  return 1;
}
function firstSlot(order: Order): number {
  return order.events[0]?.slot ?? Number.MAX_SAFE_INTEGER;
}
function firstToGo(left: Order, right: Order): number {
  const leftRank = left.status === 'intended' ? 0 : 1;
  const rightRank = right.status === 'intended' ? 0 : 1;
  return leftRank !== rightRank ? leftRank - rightRank : firstSlot(right) - firstSlot(left);
}

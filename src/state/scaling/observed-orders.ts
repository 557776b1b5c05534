/**
 * The scaler's decisions where a platform starts workers by itself: orders are matched with the workers that appear
 * in its list, after SkyServe (docs/skyserve.md).
 */
import type { ControlState } from '../consensus/control-state.js';
import type { Kind, Step } from '../consensus/entry.js';
import { decideMixture } from './mixture.js';
import { counts } from './order.js';
import type { Order } from './order.js';
import { ordersOf } from './scaler-decide.js';
import { resolveModel } from '../configuration/settings-tree.js';
import type { Configuration, Resolved } from '../configuration/settings-tree.js';
import { decideTarget } from './target.js';
import type { PendingChange, Rate } from './target.js';
import type { WorkerEntry } from '../discovery/worker-entry.js';
import { alignZones, handleLaunch, handlePreemption, initialZones, selectNextZone, zonesMoved } from './zone-sets.js';
import type { ZoneSets } from './zone-sets.js';

/** A model that is scaled, its zones and settings. */
export type ObservedRule = { readonly model: string; readonly zones: readonly string[]; readonly values: Resolved };

/** What is known at one moment; times are of the monotonic clock, in milliseconds. */
export type ListObservation = {
  readonly now: number;
  readonly list: readonly WorkerEntry[];
  readonly rate: Rate | null;
  readonly dead: ReadonlySet<string>;
  readonly planned: ReadonlySet<string>;
};

/** What is remembered from pass to pass, by order id. */
export type ObservedMemory = {
  pendingChange: PendingChange | null;
  readonly intendedSince: Map<string, number>;
  readonly goneSince: Map<string, number>;
};

const MOST_STEPS = 8;
const MOST_ADOPTED = 100;
const VANISHED_MS = 1_500;
const PLACE_HELD_S = 10;

/** Nothing remembered yet. */
export function observedMemory(): ObservedMemory {
  return { pendingChange: null, intendedSince: new Map(), goneSince: new Map() };
}

/** The models that are scaled, by the configuration. */
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

/** Releases the orders of models that are no longer configured. */
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

/** One pass over a model: what it decided stands in the steps. */
class ObservedDecisionPass {
  private readonly steps: Step[] = [];
  private readonly zones: string[] = [];
  private readonly before: ZoneSets | undefined;
  private sets: ZoneSets;
  private why: string;
  private readonly listed = new Map<string, WorkerEntry>();
  private standing: Order[] = [];
  private target = 0;
  private openOrders: Order[] = [];

  constructor(
    private readonly rule: ObservedRule,
    private readonly controlState: ControlState,
    private readonly observation: ListObservation,
    private readonly memory: ObservedMemory,
    private readonly nextOrderId: () => string,
  ) {
    for (const zone of this.rule.zones) if (this.controlState.evacuated[zone] === undefined) this.zones.push(zone);
    this.before = this.controlState.zoneSets[this.rule.model];
    this.sets = this.before ? alignZones(this.before, this.zones) : initialZones(this.zones);
    this.why = this.before ? 'The enabled zones changed.' : 'The model is new: all enabled zones are active.';

    for (const worker of this.observation.list)
      if (worker.model === this.rule.model) this.listed.set(worker.id, worker);
  }

  decide(): Step[] {
    this.target = this.decideTarget();
    this.openOrders = this.recordSince();
    this.resolveOpen();
    this.adoptNew();
    this.decideKind('spot', this.zones.length === 0 ? 0 : this.target + this.rule.values.nExtra);
    this.decideKind(
      'onDemand',
      this.zones.length === 0 ? 0 : decideMixture(this.target, this.rule.values.nExtra, this.readySpot()).onDemand,
    );
    if (!this.before || !sameMembers(this.before, this.sets))
      this.steps.unshift(zonesMoved(this.rule.model, this.sets, this.why));
    return this.steps;
  }

  private full(): boolean {
    return this.steps.length >= MOST_STEPS;
  }

  private decideTarget(): number {
    const { model, values } = this.rule;
    const { target, decision } = decideTarget(
      model,
      values,
      this.controlState.targets[model],
      this.observation.rate,
      this.memory,
      this.observation.now,
    );
    if (decision) this.steps.push(decision);
    return target;
  }

  private recordSince(): Order[] {
    const orders = ordersOf(this.controlState, this.rule.model);
    const open = new Set<string>();
    for (const order of orders) open.add(order.id);
    for (const since of [this.memory.intendedSince, this.memory.goneSince])
      for (const id of since.keys()) if (!open.has(id)) since.delete(id);
    for (const order of orders) {
      if (order.status === 'intended' && !this.memory.intendedSince.has(order.id))
        this.memory.intendedSince.set(order.id, this.observation.now);
      if (order.machine === null || this.listed.has(order.machine)) this.memory.goneSince.delete(order.id);
      else if (!this.memory.goneSince.has(order.id)) this.memory.goneSince.set(order.id, this.observation.now);
    }
    return orders;
  }

  private forMs(since: ReadonlyMap<string, number>, order: Order): number {
    return this.observation.now - (since.get(order.id) ?? this.observation.now);
  }

  private lose(order: Order, cause: string): void {
    const preempted = order.kind === 'spot';
    this.steps.push({ cause, act: { tag: 'orderLost', order: order.id, preempted } });
    if (preempted) this.demote(order.zone, `A spot worker was lost in ${order.zone}.`);
  }

  private demote(zone: string, cause: string): void {
    const moved = handlePreemption(this.sets, zone);
    if (moved !== this.sets) this.why = cause;
    this.sets = moved;
  }

  private launched(kind: Kind, zone: string): void {
    const moved = kind === 'spot' ? handleLaunch(this.sets, zone) : this.sets;
    if (moved !== this.sets) this.why = `A launch became ready in ${zone}.`;
    this.sets = moved;
  }

  private resolveOpen(): void {
    for (const order of this.openOrders) if (!this.isResolved(order) && counts(order)) this.standing.push(order);
  }

  private isResolved(order: Order): boolean {
    if (this.full()) return false;
    if (order.machine === null) return this.isIntendedResolved(order);
    const worker = this.listed.get(order.machine);
    if (!worker) return this.isMissingResolved(order);
    if (order.status === 'draining') return true;
    if (worker.leaving && worker.remainingMs !== null)
      this.lose(order, `Taken away at short notice: ${Math.round(worker.remainingMs)} ms were left.`);
    else if (worker.leaving)
      this.steps.push({
        cause: 'The platform empties the worker in order.',
        act: { tag: 'orderDraining', order: order.id },
      });
    else if (this.observation.dead.has(worker.id)) this.lose(order, 'Listed, but for long no proxy finds it fit.');
    else if (order.status === 'placed' && worker.coldMs === 0) {
      this.steps.push({
        cause: 'The worker is listed as serving, and warm.',
        act: { tag: 'orderReady', order: order.id },
      });
      this.launched(order.kind, order.zone);
      this.standing.push({ ...order, status: 'ready' });
    } else return false;
    return true;
  }

  private isIntendedResolved(order: Order): boolean {
    if (!this.zones.includes(order.zone))
      this.steps.push({ cause: `${order.zone} is not enabled.`, act: { tag: 'orderReleased', order: order.id } });
    else if (this.forMs(this.memory.intendedSince, order) > this.rule.values.launchTimeoutS * 1_000) {
      this.steps.push({
        cause: `Nothing came of it within ${this.rule.values.launchTimeoutS}s.`,
        act: { tag: 'orderFailed', order: order.id },
      });
      if (order.kind === 'spot') this.demote(order.zone, `A launch in ${order.zone} never came.`);
    } else return false;
    return true;
  }

  private isMissingResolved(order: Order): boolean {
    if (this.forMs(this.memory.goneSince, order) < VANISHED_MS) return false;
    if (order.status === 'draining' || this.observation.planned.has(order.machine as string)) {
      this.steps.push({
        cause: 'Emptied in order, and gone from the list.',
        act: { tag: 'orderReleased', order: order.id },
      });
    } else this.lose(order, 'Gone from the list without notice.');
    return true;
  }

  private adoptNew(): void {
    const machines = new Set<string | null>();
    for (const order of this.openOrders) machines.add(order.machine);
    const adopted: { order: string; zone: string; machine: string; ready: boolean }[] = [];
    for (const worker of this.listed.values()) {
      if (machines.has(worker.id) || worker.leaving || this.observation.dead.has(worker.id)) continue;
      const order = this.oldestIntended(worker.zone);
      if (order) this.matchOrder(order, worker);
      else if (adopted.length < MOST_ADOPTED)
        adopted.push({
          order: `found-${worker.id}`,
          zone: worker.zone,
          machine: worker.id,
          ready: worker.coldMs === 0,
        });
    }
    if (adopted.length === 0) return;
    const cause = this.before
      ? 'Appeared in the list without an order of ours.'
      : 'Stood in the list when the model was first looked at.';
    this.steps.push({ cause, act: { tag: 'ordersAdopted', model: this.rule.model, kind: 'spot', adopted } });
    for (const first of adopted) {
      this.standing.push({
        id: first.order,
        model: this.rule.model,
        zone: first.zone,
        kind: 'spot',
        accelerator: 'any',
        status: first.ready ? 'ready' : 'placed',
        machine: first.machine,
        events: [],
      });
      if (first.ready) this.launched('spot', first.zone);
    }
  }

  private oldestIntended(zone: string): Order | null {
    let best: Order | null = null;
    for (const order of this.standing)
      if (order.status === 'intended' && order.zone === zone && (best === null || firstSlot(order) < firstSlot(best)))
        best = order;
    return best;
  }

  private matchOrder(order: Order, worker: WorkerEntry): void {
    if (this.full()) return;
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
      this.launched(order.kind, order.zone);
    }
    this.standing = this.standing.map(moved);
    function moved(candidate: Order): Order {
      return candidate.id === order.id
        ? { ...candidate, status: ready ? 'ready' : 'placed', machine: worker.id }
        : candidate;
    }
  }

  private ofKind(kind: Kind): Order[] {
    const out: Order[] = [];
    for (const order of this.standing) if (order.kind === kind && this.zones.includes(order.zone)) out.push(order);
    return out;
  }

  private readySpot(): number {
    let count = 0;
    for (const order of this.ofKind('spot')) if (order.status === 'ready') count += 1;
    return count;
  }

  private decideKind(kind: Kind, wanted: number): void {
    const list = this.ofKind(kind);
    const occupied = new Set<string>();
    for (const order of list) occupied.add(order.zone);
    const from: ZoneSets = kind === 'spot' ? this.sets : { active: this.zones, preemptive: [] };
    for (let count = list.length; count < wanted && !this.full(); count += 1) {
      const zone =
        kind === 'spot' ? selectNextZone(from, this.rule.zones, occupied, samePrice) : (this.zones[0] ?? null);
      if (zone === null) return;
      occupied.add(zone);
      const cause =
        kind === 'spot'
          ? `Spot ${count + 1} of ${wanted} (target ${this.target} + extra ${this.rule.values.nExtra}).`
          : `Fallback ${count + 1} of ${wanted}: ${this.readySpot()} spot ready of ${this.target + this.rule.values.nExtra}.`;
      this.steps.push({
        cause,
        act: {
          tag: 'orderIntended',
          order: this.nextOrderId(),
          model: this.rule.model,
          zone,
          kind,
          accelerator: this.rule.values.accelerators[0] ?? 'any',
        },
      });
    }
    let over = list.length - wanted;
    for (const order of [...list].sort(firstToGo)) {
      if (over <= 0 || this.full()) return;
      over -= 1;
      if (order.status === 'intended')
        this.steps.push({
          cause: `Only ${wanted} are wanted; withdrawn.`,
          act: { tag: 'orderReleased', order: order.id },
        });
      else if (kind === 'onDemand')
        this.steps.push({
          cause: `Enough spot is ready: ${this.readySpot()} of ${this.target + this.rule.values.nExtra}.`,
          act: { tag: 'orderDraining', order: order.id },
        });
    }
  }
}

/** The steps that bring a model's orders closer to what the list shows and the rate asks for. */
export function decideObserved(
  rule: ObservedRule,
  controlState: ControlState,
  observation: ListObservation,
  memory: ObservedMemory,
  nextOrderId: () => string,
): Step[] {
  return new ObservedDecisionPass(rule, controlState, observation, memory, nextOrderId).decide();
}

/** Whether the sets have the same zones, in any order. */
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

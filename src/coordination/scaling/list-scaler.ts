/**
 * The scaler for a platform that starts workers itself. It decides orders and finds their outcome in the worker list.
 */
import type { ScalerStep } from '../../state/consensus/entry.js';
import {
  decideOrdersFromList,
  decideRetiredModels,
  createListScalerMemory,
  scaledModels,
} from '../../state/scaling/observed-orders.js';
import type { ListScalerMemory } from '../../state/scaling/observed-orders.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { WorkerListFeed } from '../discovery/worker-list-feed.js';
import type { Lease } from '../leases/lease.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ChangeDistribution } from '../distribution/change-distribution.js';
import { createRateWatch, REPORT_MAX_AGE_MS } from './rate-watch.js';
import type { RateWatch } from './rate-watch.js';

/** Dependencies of the scaler: the lease that it holds while it decides, and the sources of its input. */
export type ListScalerDeps = {
  readonly ledger: Ledger;
  readonly lease: Lease;
  readonly distribution: Pick<ChangeDistribution, 'reports' | 'lastContactAt'>;
  readonly feed: Pick<WorkerListFeed, 'entries' | 'asOf'>;
  readonly zones: readonly string[];
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

/** Makes decisions every second while this controller holds the lease. */
export interface ListScaler {
  stop(): void;
}

const TICK_MS = 1_000;
const LIST_MAX_AGE_MS = 3_000;
const DEAD_AFTER_MS = 8_000;
const UNHEALTHY_RETENTION_MS = 3_000;
const UNHEALTHY_MIN_FRACTION = 1 / 3;
const PROPOSE_TIMEOUT_MS = 3_000;
const MAX_CAUSE_LENGTH = 200;

type UnhealthyPeriod = { readonly since: number; readonly last: number };

class LeasedListScaler implements ListScaler {
  private readonly rates: RateWatch;
  private readonly unhealthyPeriods = new Map<string, UnhealthyPeriod>();
  private readonly plannedDepartures = new Set<string>();
  private memories = new Map<string, ListScalerMemory>();
  private lastFence: number | null = null;
  private isListStale = false;
  private stopped = false;

  constructor(private readonly deps: ListScalerDeps) {
    this.rates = createRateWatch(this.deps.ledger, this.deps.distribution, this.deps.clock);

    void this.run();
  }

  private holdsLease(fence: number): boolean {
    return this.deps.lease.fence() === fence && this.deps.lease.remainingMs() > 0;
  }

  private nextOrderId(): string {
    return newId(this.deps.rng, 'order');
  }

  /**
   * Remembers workers that the platform drains without a time limit. Called on every tick, also without the lease, so
   * that a new holder does not take their departure for a loss.
   */
  private recordPlannedDepartures(list: readonly WorkerEntry[]): void {
    const machines = new Set<string | null>();
    for (const order of Object.values(this.deps.ledger.controlState().orders)) machines.add(order.machine);
    for (const id of this.plannedDepartures) if (!machines.has(id)) this.plannedDepartures.delete(id);
    for (const worker of list)
      if (worker.leaving && worker.remainingMs === null && machines.has(worker.id))
        this.plannedDepartures.add(worker.id);
  }

  /**
   * Returns listed workers that have been unhealthy for longer than `DEAD_AFTER_MS`. A worker is unhealthy if the
   * proxies that report it unhealthy outnumber those that report it healthy by at least `UNHEALTHY_MIN_FRACTION` of all
   * that report. Gaps of up to `UNHEALTHY_RETENTION_MS` are tolerated.
   */
  private deadWorkers(list: readonly WorkerEntry[]): Set<string> {
    const now = this.deps.clock.mono();
    let reporterCount = 0;
    const votes = new Map<string, number>();
    for (const report of this.deps.distribution.reports().values()) {
      const at = this.deps.distribution.lastContactAt(report.reporter);
      if (at === null || now - at > REPORT_MAX_AGE_MS) continue;
      reporterCount += 1;
      for (const [id, health] of Object.entries(report.health))
        votes.set(id, (votes.get(id) ?? 0) + (health === 'unfit' ? 1 : -1));
    }
    const dead = new Set<string>();
    const listedIds = new Set<string>();
    for (const worker of list) {
      listedIds.add(worker.id);
      const balance = votes.get(worker.id) ?? 0;
      const previous = this.unhealthyPeriods.get(worker.id);
      if (balance > 0 && balance >= reporterCount * UNHEALTHY_MIN_FRACTION)
        this.unhealthyPeriods.set(worker.id, { since: previous?.since ?? now, last: now });
      else if (previous && now - previous.last > UNHEALTHY_RETENTION_MS) this.unhealthyPeriods.delete(worker.id);
      const period = this.unhealthyPeriods.get(worker.id);
      if (period && now - period.since > DEAD_AFTER_MS) dead.add(worker.id);
    }
    for (const id of this.unhealthyPeriods.keys()) if (!listedIds.has(id)) this.unhealthyPeriods.delete(id);
    return dead;
  }

  private currentList(): readonly WorkerEntry[] | null {
    const at = this.deps.feed.asOf();
    const isStale = at === null || this.deps.clock.mono() - at > LIST_MAX_AGE_MS;
    if (isStale !== this.isListStale)
      this.deps.log.warn(isStale ? 'worker list too old, not deciding' : 'worker list fresh again');
    this.isListStale = isStale;
    return isStale ? null : this.deps.feed.entries();
  }

  private decide(list: readonly WorkerEntry[]): ScalerStep[] {
    const controlState = this.deps.ledger.controlState();
    const dead = this.deadWorkers(list);
    const models = scaledModels(controlState.configuration, this.deps.zones);
    const configured = new Set<string>();
    for (const scaledModel of models) configured.add(scaledModel.model);
    const steps = decideRetiredModels(controlState, configured, list);
    for (const scaledModel of models) {
      const memory = this.memories.get(scaledModel.model) ?? createListScalerMemory();
      this.memories.set(scaledModel.model, memory);
      const rate = this.rates.rate(scaledModel.model, scaledModel.values.windowS * 1_000);
      steps.push(
        ...decideOrdersFromList(
          scaledModel,
          controlState,
          { now: this.deps.clock.mono(), list, rate, dead, plannedDepartures: this.plannedDepartures },
          memory,
          () => this.nextOrderId(),
        ),
      );
    }
    return steps;
  }

  private async runTick(fence: number): Promise<void> {
    this.rates.observe();
    const list = this.currentList();
    if (!list || this.deps.ledger.controlState().configuration.serving === undefined) return;
    const steps = this.decide(list);
    const [first] = steps;
    if (!first || !this.holdsLease(fence)) return;
    const cause =
      steps.length === 1 ? first.cause : `${steps.length} decisions: ${first.cause}`.slice(0, MAX_CAUSE_LENGTH);
    const response = await this.deps.ledger.propose(
      { cause, act: { tag: 'decided', steps }, fence },
      PROPOSE_TIMEOUT_MS,
    );
    if (response.ok && response.value.outcome.tag === 'applied') this.deps.log.info('decisions applied', { cause });
    else if (response.ok) this.deps.log.warn('decisions rejected', { outcome: response.value.outcome.tag });
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await delay(this.deps.clock, TICK_MS);
      if (this.stopped) return;
      this.recordPlannedDepartures(this.deps.feed.entries());
      const fence = this.deps.lease.fence();
      if (fence !== this.lastFence) {
        this.lastFence = fence;
        this.memories = new Map();
        this.unhealthyPeriods.clear();
        this.rates.reset();
      }
      if (fence !== null) await this.runTick(fence);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Creates the scaler and starts it. */
export function createListScaler(deps: ListScalerDeps): ListScaler {
  return new LeasedListScaler(deps);
}

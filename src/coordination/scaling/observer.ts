/**
 * The scaler where a platform starts workers by itself: it decides orders, and finds in the worker list what became
 * of them.
 */
import type { Step } from '../../state/consensus/entry.js';
import { decideObserved, decideRetired, observedMemory, observedRules } from '../../state/scaling/observed-orders.js';
import type { ObservedMemory } from '../../state/scaling/observed-orders.js';
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
import { createRateWatch, REPORT_FRESH_MS } from './rate-watch.js';
import type { RateWatch } from './rate-watch.js';

/** The lease under which it decides, and what it decides by. */
export type ObserverDeps = {
  readonly ledger: Ledger;
  readonly lease: Lease;
  readonly distribution: Pick<ChangeDistribution, 'reports' | 'lastContactAt'>;
  readonly feed: Pick<WorkerListFeed, 'entries' | 'asOf'>;
  readonly zones: readonly string[];
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

/** Decides each second while the lease is held. */
export interface Observer {
  stop(): void;
}

const TICK_MS = 1_000;
const LIST_OLD_MS = 3_000;
const DEAD_MS = 8_000;
const UNFIT_KEPT_MS = 3_000;
const UNFIT_SHARE = 1 / 3;
const PROPOSE_MS = 3_000;
const CAUSE_LENGTH = 200;

type UnhealthyPeriod = { readonly since: number; readonly last: number };

class ListObserver implements Observer {
  private readonly rates: RateWatch;
  private readonly unhealthyWorkers = new Map<string, UnhealthyPeriod>();
  private readonly planned = new Set<string>();
  private memory = new Map<string, ObservedMemory>();
  private ownFence: number | null = null;
  private isListOld = false;
  private stopped = false;

  constructor(private readonly deps: ObserverDeps) {
    this.rates = createRateWatch(this.deps.ledger, this.deps.distribution, this.deps.clock);

    void this.run();
  }

  private holdsLease(fence: number): boolean {
    return this.deps.lease.fence() === fence && this.deps.lease.leftMs() > 0;
  }

  private nextOrderId(): string {
    return newId(this.deps.rng, 'order');
  }

  private recordPlanned(list: readonly WorkerEntry[]): void {
    const machines = new Set<string | null>();
    for (const order of Object.values(this.deps.ledger.controlState().orders)) machines.add(order.machine);
    for (const id of this.planned) if (!machines.has(id)) this.planned.delete(id);
    for (const worker of list)
      if (worker.leaving && worker.remainingMs === null && machines.has(worker.id)) this.planned.add(worker.id);
  }

  private deadWorkers(list: readonly WorkerEntry[]): Set<string> {
    const now = this.deps.clock.mono();
    let reporters = 0;
    const votes = new Map<string, number>();
    for (const report of this.deps.distribution.reports().values()) {
      const at = this.deps.distribution.lastContactAt(report.reporter);
      if (at === null || now - at > REPORT_FRESH_MS) continue;
      reporters += 1;
      for (const [id, verdict] of Object.entries(report.health))
        votes.set(id, (votes.get(id) ?? 0) + (verdict === 'unfit' ? 1 : -1));
    }
    const out = new Set<string>();
    const listed = new Set<string>();
    for (const worker of list) {
      listed.add(worker.id);
      const count = votes.get(worker.id) ?? 0;
      const before = this.unhealthyWorkers.get(worker.id);
      if (count > 0 && count >= reporters * UNFIT_SHARE)
        this.unhealthyWorkers.set(worker.id, { since: before?.since ?? now, last: now });
      else if (before && now - before.last > UNFIT_KEPT_MS) this.unhealthyWorkers.delete(worker.id);
      const machines = this.unhealthyWorkers.get(worker.id);
      if (machines && now - machines.since > DEAD_MS) out.add(worker.id);
    }
    for (const id of this.unhealthyWorkers.keys()) if (!listed.has(id)) this.unhealthyWorkers.delete(id);
    return out;
  }

  private currentList(): readonly WorkerEntry[] | null {
    const at = this.deps.feed.asOf();
    const old = at === null || this.deps.clock.mono() - at > LIST_OLD_MS;
    if (old !== this.isListOld)
      this.deps.log.warn(old ? 'worker list too old, not deciding' : 'worker list fresh again');
    this.isListOld = old;
    return old ? null : this.deps.feed.entries();
  }

  private decide(list: readonly WorkerEntry[]): Step[] {
    const controlState = this.deps.ledger.controlState();
    const dead = this.deadWorkers(list);
    const rules = observedRules(controlState.configuration, this.deps.zones);
    const configured = new Set<string>();
    for (const rule of rules) configured.add(rule.model);
    const steps = decideRetired(controlState, configured, list);
    for (const rule of rules) {
      const remembered = this.memory.get(rule.model) ?? observedMemory();
      this.memory.set(rule.model, remembered);
      const rate = this.rates.rate(rule.model, rule.values.windowS * 1_000);
      steps.push(
        ...decideObserved(
          rule,
          controlState,
          { now: this.deps.clock.mono(), list, rate, dead, planned: this.planned },
          remembered,
          () => this.nextOrderId(),
        ),
      );
    }
    return steps;
  }

  private async turn(fence: number): Promise<void> {
    this.rates.observe();
    const list = this.currentList();
    if (!list || this.deps.ledger.controlState().configuration.serving === undefined) return;
    const steps = this.decide(list);
    const [first] = steps;
    if (!first || !this.holdsLease(fence)) return;
    const cause = steps.length === 1 ? first.cause : `${steps.length} decisions: ${first.cause}`.slice(0, CAUSE_LENGTH);
    const response = await this.deps.ledger.propose({ cause, act: { tag: 'decided', steps }, fence }, PROPOSE_MS);
    if (response.ok && response.value.outcome.tag === 'applied') this.deps.log.info('decisions applied', { cause });
    else if (response.ok) this.deps.log.warn('decisions rejected', { outcome: response.value.outcome.tag });
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await delay(this.deps.clock, TICK_MS);
      if (this.stopped) return;
      this.recordPlanned(this.deps.feed.entries());
      const fence = this.deps.lease.fence();
      if (fence !== this.ownFence) {
        this.ownFence = fence;
        this.memory = new Map();
        this.unhealthyWorkers.clear();
        this.rates.reset();
      }
      if (fence !== null) await this.turn(fence);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Begins at once. */
export function createObserver(deps: ObserverDeps): Observer {
  return new ListObserver(deps);
}

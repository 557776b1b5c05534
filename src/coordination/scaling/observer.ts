import type { Step } from '../../state/entry.js';
import { decideObserved, decideRetired, observedMemory, observedRules } from '../../state/observed-orders.js';
import type { ObservedMemory } from '../../state/observed-orders.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { ListFeed } from '../edge/list-feed.js';
import type { Lease } from '../ledger/lease.js';
import type { Ledger } from '../ledger/ledger.js';
import type { Push } from '../ledger/push.js';
import { createRateWatch, REPORT_FRESH_MS } from './rate-watch.js';

export type ObserverDeps = {
  readonly ledger: Ledger;
  readonly lease: Lease;
  readonly push: Pick<Push, 'reports' | 'heardAt'>;
  readonly feed: Pick<ListFeed, 'entries' | 'asOf'>;
  readonly zones: readonly string[];
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

export type Observer = { readonly stop: () => void };

const TICK_MS = 1_000;
const LIST_OLD_MS = 3_000;
const DEAD_MS = 8_000;
const UNFIT_KEPT_MS = 3_000;
const UNFIT_SHARE = 1 / 3;
const PROPOSE_MS = 3_000;
const CAUSE_LENGTH = 200;

type Unfit = { readonly since: number; readonly last: number };

export function createObserver(deps: ObserverDeps): Observer {
  const { ledger, lease, push, feed, clock, rng, log } = deps;
  const rates = createRateWatch(ledger, push, clock);
  const unfit = new Map<string, Unfit>();
  const planned = new Set<string>();
  let memory = new Map<string, ObservedMemory>();
  let ownFence: number | null = null;
  let blind = false;
  let stopped = false;

  function mayAct(fence: number): boolean {
    return lease.fence() === fence && lease.leftMs() > 0;
  }
  function nextOrderId(): string {
    return newId(rng, 'order');
  }

  function notePlanned(list: readonly WorkerEntry[]): void {
    const held = new Set<string | null>();
    for (const order of Object.values(ledger.controlState().orders)) held.add(order.machine);
    for (const id of planned) if (!held.has(id)) planned.delete(id);
    for (const w of list) if (w.leaving && w.remainingMs === null && held.has(w.id)) planned.add(w.id);
  }

  function deadWorkers(list: readonly WorkerEntry[]): Set<string> {
    const now = clock.mono();
    let reporters = 0;
    const votes = new Map<string, number>();
    for (const r of push.reports().values()) {
      const at = push.heardAt(r.reporter);
      if (at === null || now - at > REPORT_FRESH_MS) continue;
      reporters += 1;
      for (const [id, verdict] of Object.entries(r.health))
        votes.set(id, (votes.get(id) ?? 0) + (verdict === 'unfit' ? 1 : -1));
    }
    const out = new Set<string>();
    const listed = new Set<string>();
    for (const w of list) {
      listed.add(w.id);
      const n = votes.get(w.id) ?? 0;
      const before = unfit.get(w.id);
      if (n > 0 && n >= reporters * UNFIT_SHARE) unfit.set(w.id, { since: before?.since ?? now, last: now });
      else if (before && now - before.last > UNFIT_KEPT_MS) unfit.delete(w.id);
      const held = unfit.get(w.id);
      if (held && now - held.since > DEAD_MS) out.add(w.id);
    }
    for (const id of unfit.keys()) if (!listed.has(id)) unfit.delete(id);
    return out;
  }

  function seenList(): readonly WorkerEntry[] | null {
    const at = feed.asOf();
    const old = at === null || clock.mono() - at > LIST_OLD_MS;
    if (old !== blind)
      log.warn(old ? "The platform's list is old; nothing is decided on it." : "The platform's list is fresh again.");
    blind = old;
    return old ? null : feed.entries();
  }

  function decide(list: readonly WorkerEntry[]): Step[] {
    const controlState = ledger.controlState();
    const dead = deadWorkers(list);
    const rules = observedRules(controlState.configuration, deps.zones);
    const configured = new Set<string>();
    for (const rule of rules) configured.add(rule.model);
    const steps = decideRetired(controlState, configured, list);
    for (const rule of rules) {
      const kept = memory.get(rule.model) ?? observedMemory();
      memory.set(rule.model, kept);
      const rate = rates.rate(rule.model, rule.values.windowS * 1_000);
      steps.push(
        ...decideObserved(rule, controlState, { now: clock.mono(), list, rate, dead, planned }, kept, nextOrderId),
      );
    }
    return steps;
  }

  async function turn(fence: number): Promise<void> {
    rates.observe();
    const list = seenList();
    if (!list || ledger.controlState().configuration.serving === undefined) return;
    const steps = decide(list);
    const [first] = steps;
    if (!first || !mayAct(fence)) return;
    const cause = steps.length === 1 ? first.cause : `${steps.length} decisions: ${first.cause}`.slice(0, CAUSE_LENGTH);
    const got = await ledger.propose({ cause, act: { tag: 'decided', steps }, fence }, PROPOSE_MS);
    if (got.ok && got.value.outcome.tag === 'applied') log.info(cause);
    else if (got.ok) log.warn(`Decisions did not count (${got.value.outcome.tag}).`);
  }

  async function run(): Promise<void> {
    while (!stopped) {
      await pause(clock, TICK_MS);
      if (stopped) return;
      notePlanned(feed.entries());
      const fence = lease.fence();
      if (fence !== ownFence) {
        ownFence = fence;
        memory = new Map();
        unfit.clear();
        rates.reset();
      }
      if (fence !== null) await turn(fence);
    }
  }
  void run();

  function stop(): void {
    stopped = true;
  }
  return { stop };
}

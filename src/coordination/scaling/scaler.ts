/**
 * The scaler for a cloud that machines are ordered from (docs/skyserve.md). It writes each decision to the replicated
 * log under its fencing token, then orders or releases machines.
 */
import type { Command } from '../../state/consensus/entry.js';
import type { Order } from '../../state/scaling/order.js';
import { isOpen } from '../../state/scaling/order.js';
import { resolveAll } from '../../state/configuration/settings-tree.js';
import type { ResolvedSettings } from '../../state/configuration/settings-tree.js';
import { decideModel } from '../../state/scaling/scaler-decide.js';
import type { Decision } from '../../state/scaling/scaler-decide.js';
import { recordLaunchFailed } from '../../state/scaling/scaler-memory.js';
import type { ScalerMemory } from '../../state/scaling/scaler-memory.js';
import type { Price, ObservedMachine, ScalerObservation } from '../../state/scaling/scaler-observation.js';
import type { Rate } from '../../state/scaling/target.js';
import type { Machine } from '../../protocol/cloud-wire.js';
import { HEALTH_PATH, readHealth } from '../../protocol/worker-wire.js';
import type { ListedWorker } from '../../state/discovery/listed.js';
import { delay } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { CloudClient, PlatformClient } from './cloud-client.js';
import type { Lease } from '../leases/lease.js';
import type { Ledger } from '../consensus/ledger.js';
import type { ChangeDistribution } from '../distribution/change-distribution.js';
import { createRateWatch, REPORT_MAX_AGE_MS } from './rate-watch.js';
import type { RateWatch } from './rate-watch.js';
import { ownValue } from '../../base/own-value.js';

/** Makes decisions every second while this controller holds the lease. */
export interface Scaler {
  stop(): void;
}

/** Dependencies of the scaler: the lease that it holds while it decides, and the cloud and platform that it calls. */
export type ScalerDeps = {
  readonly ledger: Ledger;
  readonly lease: Lease;
  readonly distribution: ChangeDistribution;
  readonly cloud: CloudClient;
  readonly platform: PlatformClient;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

const TICK_MS = 1_000;
const PRICE_REFRESH_MS = 30_000;
const DEAD_AFTER_MS = 8_000;
const ORPHAN_GRACE_MS = 10_000;
/** The cloud is called only if the lease outlasts the timeout of the call. */
const MIN_LEASE_LEFT_MS = 2_200;
/** Above this size the set of known machines is reduced to those of open orders. */
const MAX_KNOWN_MACHINES = 10_000;

class LeasedScaler implements Scaler {
  private readonly rates: RateWatch;
  private memory: ScalerMemory = new Map();
  private prices: Record<string, Price> = {};
  private pricesAt: number | null = null;
  private readonly unhealthySince = new Map<string, number>();
  private readonly orphanSince = new Map<string, number>();
  private drainSince = new Map<string, number>();
  private lastFence: number | null = null;
  private readonly knownMachines = new Set<string>();
  private stopped = false;
  private wasUnreachable = false;
  private failedSpotLaunches: { readonly model: string; readonly zone: string }[] = [];

  constructor(private readonly deps: ScalerDeps) {
    this.rates = createRateWatch(this.deps.ledger, this.deps.distribution, this.deps.clock);

    void this.run();
  }

  private async proposeAll(fence: number, decisions: readonly Decision[]): Promise<boolean> {
    let allApplied = true;
    const proposals: Promise<void>[] = [];

    const proposeOne = async (decision: Decision): Promise<void> => {
      const response = await this.deps.ledger.propose({ cause: decision.cause, act: decision.act, fence }, 3_000);
      if (!response.ok || response.value.outcome.tag !== 'applied') allApplied = false;
    };
    for (const decision of decisions) proposals.push(proposeOne(decision));
    await Promise.all(proposals);
    return allApplied;
  }

  private proposeCommand(fence: number, cause: string, command: Command): Promise<boolean> {
    return this.proposeAll(fence, [{ cause, act: command }]);
  }

  private holdsLease(fence: number): boolean {
    return this.deps.lease.fence() === fence && this.deps.lease.remainingMs() > 0;
  }

  private async pollPrices(): Promise<void> {
    if (this.pricesAt !== null && this.deps.clock.mono() - this.pricesAt < PRICE_REFRESH_MS) return;
    const response = await this.deps.cloud.prices();
    if (!response.ok) {
      this.deps.log.warn('prices unavailable, using the last ones', { error: response.error.tag });
      return;
    }
    this.prices = response.value;
    this.pricesAt = this.deps.clock.mono();
  }

  /**
   * Returns machines of workers that at least one proxy reports unhealthy, and none healthy, for longer than
   * `DEAD_AFTER_MS`.
   */
  private findDeadMachines(workers: readonly ListedWorker[] | null): Set<string> {
    const now = this.deps.clock.mono();
    const dead = new Set<string>();
    for (const worker of workers ?? []) {
      let healthy = 0;
      let unhealthy = 0;
      for (const report of this.deps.distribution.reports().values()) {
        const at = this.deps.distribution.lastContactAt(report.reporter);
        if (at === null || now - at > REPORT_MAX_AGE_MS) continue;
        if (ownValue(report.health, worker.id) === 'fit') healthy += 1;
        if (ownValue(report.health, worker.id) === 'unfit') unhealthy += 1;
      }
      if (healthy > 0 || unhealthy === 0) {
        this.unhealthySince.delete(worker.id);
        continue;
      }
      const since = this.unhealthySince.get(worker.id) ?? now;
      this.unhealthySince.set(worker.id, since);
      if (now - since > DEAD_AFTER_MS) dead.add(worker.machine);
    }
    return dead;
  }

  private nextOrderId(): string {
    return newId(this.deps.rng, 'order');
  }

  /**
   * Orders a machine for each intended order, unless the cloud already has one for it. Tries each accelerator of the
   * model in turn. Orders in a zone that is being evacuated fail.
   */
  private async resolveIntended(fence: number, machines: readonly ObservedMachine[] | null): Promise<void> {
    const resolutions: Promise<void>[] = [];

    const resolveOrder = async (order: Order): Promise<void> => {
      const existing = machineByKey(machines, order.id);
      if (existing) {
        await this.proposeCommand(fence, 'The cloud already holds a machine for this order.', {
          tag: 'orderPlaced',
          order: order.id,
          machine: existing.id,
        });
        return;
      }
      if (ownValue(this.deps.ledger.controlState().evacuated, order.zone) !== undefined) {
        if (machines)
          await this.proposeCommand(fence, `${order.zone} is being evacuated.`, {
            tag: 'orderFailed',
            order: order.id,
          });
        return;
      }
      for (const accelerator of this.acceleratorsOf(order)) {
        if (!this.holdsLease(fence) || this.deps.lease.remainingMs() < MIN_LEASE_LEFT_MS) return;
        const response = await this.deps.cloud.orderMachine({
          key: order.id,
          owner: this.deps.ledger.controlState().ledger,
          model: order.model,
          zone: order.zone,
          kind: order.kind,
          accelerator,
        });
        if (response.ok) {
          await this.proposeCommand(fence, `The cloud took the order (${accelerator}).`, {
            tag: 'orderPlaced',
            order: order.id,
            machine: response.value.id,
          });
          return;
        }
        if (response.error.tag !== 'noCapacity') {
          this.deps.log.warn('order pending, retrying', { order: order.id, error: response.error.tag });
          return;
        }
      }
      recordLaunchFailed(this.memory, order.model, order.kind, order.zone, this.deps.clock.mono());
      await this.proposeAll(fence, this.recordFailedLaunch(order));
    };
    for (const order of Object.values(this.deps.ledger.controlState().orders))
      if (order.status === 'intended') resolutions.push(resolveOrder(order));
    await Promise.all(resolutions);
  }

  private recordFailedLaunch(order: Order): Decision[] {
    const decisions: Decision[] = [
      { cause: `No ${order.kind} capacity in ${order.zone}.`, act: { tag: 'orderFailed', order: order.id } },
    ];
    if (order.kind === 'spot') this.failedSpotLaunches.push({ model: order.model, zone: order.zone });
    return decisions;
  }

  /**
   * Releases machines of draining orders once the worker has no running requests, does not respond or is not listed, or
   * the drain timeout has passed.
   */
  private async releaseDrained(fence: number, workers: readonly ListedWorker[] | null): Promise<void> {
    const now = this.deps.clock.mono();
    const drainStarts = new Map<string, number>();
    const releases: Promise<void>[] = [];

    const releaseIfDrained = async (order: Order): Promise<void> => {
      const since = drainStarts.get(order.id) ?? now;
      if (now - since < 2 * TICK_MS) return;
      const worker = workerOf(workers, order.machine);
      if (worker && now - since < this.drainTimeoutMs(order.model)) {
        const response = await this.deps.httpClient.call({
          method: 'GET',
          address: worker.address,
          path: HEALTH_PATH,
          timeoutMs: 900,
        });
        const health = response.ok ? readHealth(response.value.body) : null;
        if (health?.ok && health.value.running > 0) return;
      }
      if (!this.holdsLease(fence) || this.deps.lease.remainingMs() < MIN_LEASE_LEFT_MS) return;
      const released = order.machine === null ? null : await this.deps.cloud.release(order.machine);
      if (released && !released.ok) return;
      await this.proposeCommand(fence, 'Drained; the machine is given back.', {
        tag: 'orderReleased',
        order: order.id,
      });
    };
    for (const order of Object.values(this.deps.ledger.controlState().orders)) {
      if (order.status !== 'draining') continue;
      drainStarts.set(order.id, this.drainSince.get(order.id) ?? now);
      releases.push(releaseIfDrained(order));
    }
    this.drainSince = drainStarts;
    await Promise.all(releases);
  }

  private valuesOf(model: string): ResolvedSettings | null {
    for (const resolved of resolveAll(this.deps.ledger.controlState().configuration))
      if (resolved.model === model) return resolved.values;
    return null;
  }

  private drainTimeoutMs(model: string): number {
    return (this.valuesOf(model)?.drainS ?? 0) * 1_000;
  }

  private acceleratorsOf(order: Order): readonly string[] {
    const configured = this.valuesOf(order.model)?.accelerators ?? [];
    return configured.length > 0 ? configured : [order.accelerator];
  }

  /** Releases machines that have belonged to no open order for `ORPHAN_GRACE_MS`. */
  private async releaseOrphans(fence: number, machines: readonly Machine[] | null): Promise<void> {
    if (!machines) return;
    const now = this.deps.clock.mono();
    const openIds = new Set<string>();
    for (const order of Object.values(this.deps.ledger.controlState().orders))
      if (isOpen(order.status)) openIds.add(order.id);
    for (const machine of machines) {
      if (machine.state === 'gone' || machine.state === 'reclaiming' || openIds.has(machine.key)) {
        this.orphanSince.delete(machine.id);
        continue;
      }
      const since = this.orphanSince.get(machine.id) ?? now;
      this.orphanSince.set(machine.id, since);
      if (now - since < ORPHAN_GRACE_MS || !this.holdsLease(fence) || this.deps.lease.remainingMs() < MIN_LEASE_LEFT_MS)
        continue;
      const released = await this.deps.cloud.release(machine.id);
      if (!released.ok) continue;
      this.orphanSince.delete(machine.id);
      this.deps.log.warn('releasing machine without an order', { machine: machine.id });
      await this.proposeCommand(fence, `No open order holds the machine (key ${machine.key}).`, {
        tag: 'orphanReleased',
        machine: machine.id,
      });
    }
  }

  private async runTick(fence: number): Promise<void> {
    this.rates.observe();
    await this.pollPrices();
    const owner = this.deps.ledger.controlState().ledger;
    const asOf = this.deps.ledger.controlState().slot;
    const [machinesResult, workersResult] = await Promise.all([
      this.deps.cloud.machines(owner),
      this.deps.platform.workers(),
    ]);
    const machines = machinesResult.ok ? machinesResult.value : null;
    const workers = workersResult.ok ? workersResult.value : null;
    const isUnreachable = machines === null || workers === null;
    if (isUnreachable !== this.wasUnreachable) {
      this.deps.log.warn(isUnreachable ? 'cloud or platform unreachable' : 'cloud and platform reachable again');
    }
    this.wasUnreachable = isUnreachable;
    if (!this.holdsLease(fence)) return;
    await this.resolveIntended(fence, machines);
    await this.releaseDrained(fence, workers);
    await this.releaseOrphans(fence, machines);
    if (!this.holdsLease(fence)) return;

    const decisions: Decision[] = [];
    const dead = this.findDeadMachines(workers);
    const failures = this.failedSpotLaunches;
    this.failedSpotLaunches = [];
    for (const resolved of resolveAll(this.deps.ledger.controlState().configuration)) {
      if (!resolved.values.scaled) continue;
      const rate: Rate | null = this.rates.rate(resolved.model, resolved.values.windowS * 1_000);
      const failedIn: string[] = [];
      for (const failure of failures) if (failure.model === resolved.model) failedIn.push(failure.zone);
      const observation: ScalerObservation = {
        now: this.deps.clock.mono(),
        workers,
        machines,
        prices: this.prices,
        rates: { [resolved.model]: rate },
        deadMachines: dead,
        failedSpotZones: failedIn,
        asOfSlot: asOf,
        knownMachines: this.knownMachines,
      };
      for (const decision of decideModel(resolved, this.deps.ledger.controlState(), observation, this.memory, () =>
        this.nextOrderId(),
      ))
        decisions.push(decision);
    }
    if (decisions.length > 0) await this.proposeAll(fence, decisions);
    if (decisions.some(isOrderIntended)) await this.resolveIntended(fence, machines);
    this.updateKnownMachines(machines);
  }

  private updateKnownMachines(machines: readonly ObservedMachine[] | null): void {
    for (const machine of machines ?? []) this.knownMachines.add(machine.id);
    if (this.knownMachines.size < MAX_KNOWN_MACHINES) return;
    const openMachines = new Set<string | null>();
    for (const order of Object.values(this.deps.ledger.controlState().orders)) openMachines.add(order.machine);
    for (const id of this.knownMachines) if (!openMachines.has(id)) this.knownMachines.delete(id);
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await delay(this.deps.clock, TICK_MS);
      const fence = this.deps.lease.fence();
      if (fence === null) {
        this.lastFence = null;
        continue;
      }
      if (this.lastFence !== fence) {
        this.lastFence = fence;
        this.memory = new Map();
        this.unhealthySince.clear();
        this.knownMachines.clear();
        this.orphanSince.clear();
        this.rates.reset();
      }
      await this.runTick(fence);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Creates the scaler and starts it. */
export function createScaler(deps: ScalerDeps): Scaler {
  return new LeasedScaler(deps);
}

function isOrderIntended(decision: Decision): boolean {
  return decision.act.tag === 'orderIntended';
}

function machineByKey(machines: readonly ObservedMachine[] | null, key: string): ObservedMachine | null {
  for (const machine of machines ?? []) if (machine.key === key && machine.state !== 'gone') return machine;
  return null;
}

function workerOf(workers: readonly ListedWorker[] | null, machine: string | null): ListedWorker | null {
  for (const worker of workers ?? []) if (worker.machine === machine) return worker;
  return null;
}

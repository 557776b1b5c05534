import type { Act } from '../../state/entry.js';
import type { Order } from '../../state/order.js';
import { isOpen } from '../../state/order.js';
import { resolveAll } from '../../state/settings-tree.js';
import type { Resolved } from '../../state/settings-tree.js';
import { decideModel } from '../../state/scaler-decide.js';
import type { Decision } from '../../state/scaler-decide.js';
import { noteLaunchFailed } from '../../state/scaler-memory.js';
import type { ScalerMemory } from '../../state/scaler-memory.js';
import type { Price, SeenMachine, Sight } from '../../state/scaler-sight.js';
import type { Rate } from '../../state/target.js';
import type { Machine } from '../../protocol/cloud-wire.js';
import { HEALTH_PATH, readHealth } from '../../protocol/worker-wire.js';
import type { Listed } from '../../state/listed.js';
import { pause } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { CloudClient, PlatformClient } from './cloud-client.js';
import type { Lease } from '../ledger/lease.js';
import type { Ledger } from '../ledger/ledger.js';
import type { Push } from '../ledger/push.js';
import { createRateWatch, REPORT_FRESH_MS } from './rate-watch.js';

export type Scaler = { readonly stop: () => void };

export type ScalerDeps = {
  readonly ledger: Ledger;
  readonly lease: Lease;
  readonly push: Push;
  readonly cloud: CloudClient;
  readonly platform: PlatformClient;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

const TICK_MS = 1_000;
const PRICES_MS = 30_000;
const DEAD_MS = 8_000;
const ORPHAN_GRACE_MS = 10_000;
const ACTION_LEFT_MS = 2_200;
const MOST_SEEN = 10_000;

export function createScaler(deps: ScalerDeps): Scaler {
  const { ledger, lease, push, cloud, platform, httpClient, clock, rng, log } = deps;
  const rates = createRateWatch(ledger, push, clock);
  let memory: ScalerMemory = new Map();
  let prices: Record<string, Price> = {};
  let pricesAt: number | null = null;
  const unfitSince = new Map<string, number>();
  const orphanSince = new Map<string, number>();
  let drainSince = new Map<string, number>();
  let ownFence: number | null = null;
  const seenBefore = new Set<string>();
  let stopped = false;
  let ageNoted = false;

  async function agree(fence: number, drafts: readonly Decision[]): Promise<boolean> {
    let all = true;
    async function one(d: Decision): Promise<void> {
      const got = await ledger.propose({ cause: d.cause, act: d.act, fence }, 3_000);
      if (!got.ok || got.value.outcome.tag !== 'applied') all = false;
    }
    const proposals: Promise<void>[] = [];
    for (const d of drafts) proposals.push(one(d));
    await Promise.all(proposals);
    return all;
  }

  function record(fence: number, cause: string, act: Act): Promise<boolean> {
    return agree(fence, [{ cause, act }]);
  }

  function mayAct(fence: number): boolean {
    return lease.fence() === fence && lease.leftMs() > 0;
  }

  async function pollPrices(): Promise<void> {
    if (pricesAt !== null && clock.mono() - pricesAt < PRICES_MS) return;
    const got = await cloud.prices();
    if (!got.ok) {
      log.warn(`Prices were not to be had (${got.fault.tag}); the last ones stand.`);
      return;
    }
    prices = got.value;
    pricesAt = clock.mono();
  }

  function deadMachines(workers: readonly Listed[] | null): Set<string> {
    const now = clock.mono();
    const out = new Set<string>();
    for (const w of workers ?? []) {
      let fit = 0;
      let unfit = 0;
      for (const r of push.reports().values()) {
        const at = push.heardAt(r.reporter);
        if (at === null || now - at > REPORT_FRESH_MS) continue;
        if (r.health[w.id] === 'fit') fit += 1;
        if (r.health[w.id] === 'unfit') unfit += 1;
      }
      if (fit > 0 || unfit === 0) {
        unfitSince.delete(w.id);
        continue;
      }
      const since = unfitSince.get(w.id) ?? now;
      unfitSince.set(w.id, since);
      if (now - since > DEAD_MS) out.add(w.machine);
    }
    return out;
  }

  function nextOrderId(): string {
    return newId(rng, 'order');
  }

  async function settleIntended(fence: number, machines: readonly SeenMachine[] | null): Promise<void> {
    const work: Promise<void>[] = [];
    for (const order of Object.values(ledger.controlState().orders))
      if (order.status === 'intended') work.push(settleOne(order));
    await Promise.all(work);

    async function settleOne(order: Order): Promise<void> {
      const had = machineByKey(machines, order.id);
      if (had) {
        await record(fence, 'The cloud already holds a machine for this order.', {
          tag: 'orderPlaced',
          order: order.id,
          machine: had.id,
        });
        return;
      }
      if (ledger.controlState().evacuated[order.zone] !== undefined) {
        if (machines) await record(fence, `${order.zone} is being evacuated.`, { tag: 'orderFailed', order: order.id });
        return;
      }
      for (const accelerator of acceleratorsOf(order)) {
        if (!mayAct(fence) || lease.leftMs() < ACTION_LEFT_MS) return;
        const got = await cloud.place({
          key: order.id,
          owner: ledger.controlState().ledger,
          model: order.model,
          zone: order.zone,
          kind: order.kind,
          accelerator,
        });
        if (got.ok) {
          await record(fence, `The cloud took the order (${accelerator}).`, {
            tag: 'orderPlaced',
            order: order.id,
            machine: got.value.id,
          });
          return;
        }
        if (got.fault.tag !== 'noCapacity') {
          log.warn(`Order ${order.id} has no answer yet (${got.fault.tag}); it is asked again.`);
          return;
        }
      }
      noteLaunchFailed(memory, order.model, order.kind, order.zone, clock.mono());
      await agree(fence, failedLaunch(order));
    }
  }

  function failedLaunch(order: Order): Decision[] {
    const out: Decision[] = [
      { cause: `No ${order.kind} capacity in ${order.zone}.`, act: { tag: 'orderFailed', order: order.id } },
    ];
    if (order.kind === 'spot') failedZones.push({ model: order.model, zone: order.zone });
    return out;
  }
  let failedZones: { readonly model: string; readonly zone: string }[] = [];

  async function finishDraining(fence: number, workers: readonly Listed[] | null): Promise<void> {
    const now = clock.mono();
    const still = new Map<string, number>();
    const work: Promise<void>[] = [];
    for (const order of Object.values(ledger.controlState().orders)) {
      if (order.status !== 'draining') continue;
      still.set(order.id, drainSince.get(order.id) ?? now);
      work.push(finishOne(order));
    }
    drainSince = still;
    await Promise.all(work);

    async function finishOne(order: Order): Promise<void> {
      const since = still.get(order.id) ?? now;
      if (now - since < 2 * TICK_MS) return;
      const worker = workerOf(workers, order.machine);
      if (worker && now - since < drainLimitMs(order.model)) {
        const got = await httpClient.call({
          method: 'GET',
          address: worker.address,
          path: HEALTH_PATH,
          timeoutMs: 900,
        });
        const fit = got.ok ? readHealth(got.value.body) : null;
        if (fit?.ok && fit.value.running > 0) return;
      }
      if (!mayAct(fence) || lease.leftMs() < ACTION_LEFT_MS) return;
      const released = order.machine === null ? null : await cloud.release(order.machine);
      if (released && !released.ok) return;
      await record(fence, 'Drained; the machine is given back.', { tag: 'orderReleased', order: order.id });
    }
  }

  function valuesOf(model: string): Resolved | null {
    for (const rm of resolveAll(ledger.controlState().configuration)) if (rm.model === model) return rm.values;
    return null;
  }
  function drainLimitMs(model: string): number {
    return (valuesOf(model)?.drainS ?? 0) * 1_000;
  }
  function acceleratorsOf(order: Order): readonly string[] {
    const listed = valuesOf(order.model)?.accelerators ?? [];
    return listed.length > 0 ? listed : [order.accelerator];
  }

  async function releaseOrphans(fence: number, machines: readonly Machine[] | null): Promise<void> {
    if (!machines) return;
    const now = clock.mono();
    const open = new Set<string>();
    for (const order of Object.values(ledger.controlState().orders)) if (isOpen(order.status)) open.add(order.id);
    for (const m of machines) {
      if (m.state === 'gone' || m.state === 'reclaiming' || open.has(m.key)) {
        orphanSince.delete(m.id);
        continue;
      }
      const since = orphanSince.get(m.id) ?? now;
      orphanSince.set(m.id, since);
      if (now - since < ORPHAN_GRACE_MS || !mayAct(fence) || lease.leftMs() < ACTION_LEFT_MS) continue;
      const released = await cloud.release(m.id);
      if (!released.ok) continue;
      orphanSince.delete(m.id);
      log.warn(`Machine ${m.id} belonged to no open order; it is given back.`);
      await record(fence, `No open order holds the machine (key ${m.key}).`, { tag: 'orphanReleased', machine: m.id });
    }
  }

  async function turn(fence: number): Promise<void> {
    rates.observe();
    await pollPrices();
    const owner = ledger.controlState().ledger;
    const asOf = ledger.controlState().slot;
    const [seenMachines, seenWorkers] = await Promise.all([cloud.machines(owner), platform.workers()]);
    const machines = seenMachines.ok ? seenMachines.value : null;
    const workers = seenWorkers.ok ? seenWorkers.value : null;
    const blind = machines === null || workers === null;
    if (blind !== ageNoted) {
      log.warn(
        blind
          ? 'The cloud or the platform does not answer; what it told last grows old.'
          : 'The cloud and the platform answer again.',
      );
    }
    ageNoted = blind;
    if (!mayAct(fence)) return;
    await settleIntended(fence, machines);
    await finishDraining(fence, workers);
    await releaseOrphans(fence, machines);
    if (!mayAct(fence)) return;

    const wanted: Decision[] = [];
    const dead = deadMachines(workers);
    const failures = failedZones;
    failedZones = [];
    for (const rm of resolveAll(ledger.controlState().configuration)) {
      if (!rm.values.scaled) continue;
      const rate: Rate | null = rates.rate(rm.model, rm.values.windowS * 1_000);
      const failedIn: string[] = [];
      for (const f of failures) if (f.model === rm.model) failedIn.push(f.zone);
      const sight: Sight = {
        now: clock.mono(),
        workers,
        machines,
        prices,
        rates: { [rm.model]: rate },
        deadMachines: dead,
        failedIn,
        asOf,
        seenBefore,
      };
      for (const d of decideModel(rm, ledger.controlState(), sight, memory, nextOrderId)) wanted.push(d);
    }
    if (wanted.length > 0) await agree(fence, wanted);
    if (wanted.some(isIntent)) await settleIntended(fence, machines);
    noteSeen(machines);
  }

  function noteSeen(machines: readonly SeenMachine[] | null): void {
    for (const m of machines ?? []) seenBefore.add(m.id);
    if (seenBefore.size < MOST_SEEN) return;
    const held = new Set<string | null>();
    for (const order of Object.values(ledger.controlState().orders)) held.add(order.machine);
    for (const id of seenBefore) if (!held.has(id)) seenBefore.delete(id);
  }

  async function run(): Promise<void> {
    while (!stopped) {
      await pause(clock, TICK_MS);
      const fence = lease.fence();
      if (fence === null) {
        ownFence = null;
        continue;
      }
      if (ownFence !== fence) {
        ownFence = fence;
        memory = new Map();
        unfitSince.clear();
        seenBefore.clear();
        orphanSince.clear();
        rates.reset();
      }
      await turn(fence);
    }
  }
  void run();

  function stop(): void {
    stopped = true;
  }
  return { stop };
}

function isIntent(d: Decision): boolean {
  return d.act.tag === 'orderIntended';
}

function machineByKey(machines: readonly SeenMachine[] | null, key: string): SeenMachine | null {
  for (const m of machines ?? []) if (m.key === key && m.state !== 'gone') return m;
  return null;
}

function workerOf(workers: readonly Listed[] | null, machine: string | null): Listed | null {
  for (const w of workers ?? []) if (w.machine === machine) return w;
  return null;
}

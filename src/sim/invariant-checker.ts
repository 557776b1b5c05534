/** Checks invariants of a simulated fleet while it runs and over its records. */
import type { Configuration } from '../state/configuration/settings-tree.js';
import type { SimFleet } from './sim-fleet.js';

/**
 * Checks invariants of a fleet. A change is identified by its version and by the value that it sets for `lineLimit`,
 * which is different for each change of a test.
 */
export type InvariantChecker = {
  /** Called after simulation events; observes all nodes every 50 ms. */
  readonly step: () => void;
  /** Records that the change to this value was refused: no node may hold it. */
  readonly refused: (value: number) => void;
  /** Records that the change to this version won on this base; a base has one winner. */
  readonly won: (base: number, version: number) => void;
  /** Records an agreed change: undisturbed nodes must hold it within 3 s. */
  readonly agreed: (version: number, value: number) => void;
  /** Records a change that all proxies confirmed: from now on no proxy may serve an older version. */
  readonly acknowledged: (version: number, value: number) => void;
  readonly newestAcknowledged: () => number;
  /** Checks a configuration that was read at a node; `floor` is the newest version acknowledged before the read. */
  readonly read: (reader: string, floor: number, version: number, configuration: unknown) => void;
  /**
   * Records an acknowledged evacuation: from 5 s later until it is restored, no request may reach a worker of the zone.
   */
  readonly evacuated: (zone: string) => void;
  readonly restored: (zone: string) => void;
  /** Checks the records of the whole run: machines per order, evacuations, the ramp of new workers, and retries. */
  readonly checkRecords: () => void;
  /** Simulated time that undisturbed nodes were observed after an agreed change, summed over the nodes. */
  readonly watchedMs: () => number;
};

const EVACUATION_MS = 5_000;
const IN_FORCE_MS = 3_000;
const STEP_MS = 50;

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  const out: Record<string, unknown> = {};
  for (const key of Object.keys(value).sort()) out[key] = sortKeys((value as Record<string, unknown>)[key]);
  return out;
}
function canonical(value: unknown): string {
  return JSON.stringify(sortKeys(value));
}
function lineLimitIn(value: unknown): number | null {
  const lineLimit = (value as { readonly deployment?: { readonly lineLimit?: unknown } } | null)?.deployment?.lineLimit;
  return typeof lineLimit === 'number' ? lineLimit : null;
}

type NodeView = {
  readonly name: string;
  readonly slot: number;
  readonly version: number;
  readonly configuration: Configuration;
  readonly serves: boolean;
  readonly core: boolean;
};
type VersionAt = { readonly version: number; readonly at: number };

/** Creates the checks; violations are added to those of the fleet. */
export function createInvariantChecker(fleet: SimFleet): InvariantChecker {
  const { world, violations, records } = fleet;
  const lastSeen = new Map<string, { slot: number; version: number; life: number }>();
  const disturbedAt = new Map<string, number>();
  const evacuations: { readonly zone: string; readonly from: number; until: number }[] = [];
  const winnerByBase = new Map<number, number>();
  const valueByVersion = new Map<number, number>();
  const refusedValues = new Set<number>();
  const textByVersion = new Map<number, string>();
  const canonicalTexts = new WeakMap<object, string>();
  const reported = new Set<string>();
  let newestAcknowledged: VersionAt = { version: -1, at: 0 };
  let newestAgreed: VersionAt = { version: -1, at: 0 };
  let nextAt = 0;
  let watchedTotalMs = 0;

  function reportViolation(rule: string, detail: string): void {
    violations.push({ rule, detail: `${detail} at ${world.now().toFixed(0)}` });
  }
  function reportOnce(rule: string, subject: string, detail: string): void {
    const key = `${rule} ${subject}`;
    if (!reported.has(key)) reportViolation(rule, detail);
    reported.add(key);
  }

  function nodeViews(): NodeView[] {
    const out: NodeView[] = [];
    for (const simProxy of fleet.proxies) {
      const view = simProxy.proxy?.view();
      if (view)
        out.push({
          name: simProxy.name,
          slot: view.slot,
          version: view.version,
          configuration: view.configuration,
          serves: view.serving,
          core: false,
        });
    }
    for (const simController of fleet.controllers) {
      const ledger = simController.controller?.ledger;
      if (ledger)
        out.push({
          name: simController.name,
          slot: ledger.controlState().slot,
          version: ledger.controlState().version,
          configuration: ledger.controlState().configuration,
          serves: ledger.isMember(),
          core: true,
        });
    }
    return out;
  }

  function recordDisturbances(): void {
    const now = world.now();
    for (const node of [...fleet.proxies, ...fleet.controllers]) {
      const hasDiskFault = node.platter.failing || node.platter.full;
      if (
        !node.host.running ||
        node.host.frozen ||
        hasDiskFault ||
        world.isTouched(node.name) ||
        !disturbedAt.has(node.name)
      )
        disturbedAt.set(node.name, now);
    }
  }
  function undisturbedMs(name: string): number {
    return world.now() - (disturbedAt.get(name) ?? world.now());
  }
  function isMajorityUndisturbed(): boolean {
    let count = 0;
    for (const simController of fleet.controllers) if (undisturbedMs(simController.name) >= 2 * IN_FORCE_MS) count += 1;
    return count > fleet.controllers.length / 2;
  }

  function checkNoRegression(node: NodeView): void {
    const life = fleet.hostOf(node.name).life;
    const before = lastSeen.get(node.name);
    const comparable = before && (!node.core || before.life === life);
    if (comparable && (node.slot < before.slot || node.version < before.version))
      reportViolation(
        'noOlderVersion',
        `${node.name} went from slot ${before.slot} version ${before.version} to slot ${node.slot} version ${node.version}`,
      );
    lastSeen.set(node.name, { slot: node.slot, version: node.version, life });
  }

  function canonicalTextOf(configuration: Configuration): string {
    const existing = canonicalTexts.get(configuration);
    if (existing !== undefined) return existing;
    const canonicalText = canonical(configuration);
    canonicalTexts.set(configuration, canonicalText);
    return canonicalText;
  }

  function checkContent(reader: string, version: number, text: string, value: number | null): void {
    const known = textByVersion.get(version);
    if (known === undefined) textByVersion.set(version, text);
    else if (known !== text)
      reportOnce(
        'oneContent',
        `${reader} ${version}`,
        `${reader} holds a different configuration for version ${version}`,
      );
    if (value !== null && refusedValues.has(value))
      reportOnce('refusedSeen', `${reader} ${value}`, `${reader} holds ${value}, which was refused`);
    const agreedValue = valueByVersion.get(version);
    if (agreedValue !== undefined && value !== agreedValue)
      reportOnce(
        'readBack',
        `${reader} ${version}`,
        `${reader} holds ${value} in version ${version}, not ${agreedValue}`,
      );
  }

  function step(): void {
    if (world.now() < nextAt) return;
    nextAt = world.now() + STEP_MS;
    recordDisturbances();
    const hasCalmMajority = isMajorityUndisturbed();
    for (const node of nodeViews()) {
      if (node.version > 0)
        checkContent(node.name, node.version, canonicalTextOf(node.configuration), lineLimitIn(node.configuration));
      if (!node.serves) continue;
      checkNoRegression(node);
      if (!node.core && node.version < newestAcknowledged.version)
        reportOnce(
          'inForce',
          `${node.name} ${newestAcknowledged.version}`,
          `${node.name} serves version ${node.version} although ${newestAcknowledged.version} was acknowledged`,
        );
      if (
        newestAgreed.version < 0 ||
        !hasCalmMajority ||
        undisturbedMs(node.name) < 2 * IN_FORCE_MS ||
        world.now() - newestAgreed.at < IN_FORCE_MS
      )
        continue;
      watchedTotalMs += STEP_MS;
      if (node.version < newestAgreed.version)
        reportOnce(
          'inForce',
          `${node.name} ${newestAgreed.version} late`,
          `${node.name} holds version ${node.version} more than 3 s after ${newestAgreed.version} was agreed`,
        );
    }
  }

  function refused(value: number): void {
    refusedValues.add(value);
    for (const node of nodeViews())
      if (node.version > 0)
        checkContent(node.name, node.version, canonicalTextOf(node.configuration), lineLimitIn(node.configuration));
  }
  function won(base: number, version: number): void {
    const other = winnerByBase.get(base);
    if (other !== undefined && other !== version)
      reportViolation('oneWinner', `versions ${other} and ${version} both won on base ${base}`);
    winnerByBase.set(base, version);
  }
  function agreed(version: number, value: number): void {
    valueByVersion.set(version, value);
    if (version > newestAgreed.version) newestAgreed = { version, at: world.now() };
  }
  function acknowledged(version: number, value: number): void {
    agreed(version, value);
    if (version > newestAcknowledged.version) newestAcknowledged = { version, at: world.now() };
    for (const node of nodeViews())
      if (!node.core && node.serves && node.version < version)
        reportViolation('inForce', `${node.name} serves version ${node.version} although ${version} was acknowledged`);
  }
  function newestAcknowledgedVersion(): number {
    return newestAcknowledged.version;
  }
  function read(reader: string, floor: number, version: number, configuration: unknown): void {
    if (version < floor)
      reportViolation('readBack', `${reader} reads version ${version}, ${floor} was acknowledged before`);
    checkContent(reader, version, canonical(configuration), lineLimitIn(configuration));
    const value = valueByVersion.get(version);
    if (value === undefined) return;
    const base = fleet.shape.configuration as { readonly deployment?: object };
    const expected = canonical({ ...base, deployment: { ...base.deployment, lineLimit: value } });
    if (canonical(configuration) !== expected)
      reportViolation(
        'readBack',
        `${reader} reads a configuration that differs from the acknowledged version ${version}`,
      );
  }
  function evacuated(zone: string): void {
    evacuations.push({ zone, from: world.now() + EVACUATION_MS, until: Infinity });
  }
  function restored(zone: string): void {
    for (const evacuation of evacuations)
      if (evacuation.zone === zone && evacuation.until === Infinity) evacuation.until = world.now();
  }

  function maxRunningAfter(zone: string, model: string, sinceMs: number): number | null {
    const modelSettings = settingsOf(model);
    if (sinceMs >= modelSettings.rampS * 1_000) return null;
    const rampedLimit = Math.max(1, Math.floor((modelSettings.limit * sinceMs) / (modelSettings.rampS * 1_000)));
    let proxiesInZone = 0;
    let proxiesElsewhere = 0;
    for (const simProxy of fleet.proxies) {
      if (simProxy.host.zone === zone) proxiesInZone += 1;
      else proxiesElsewhere += 1;
    }
    return rampedLimit * proxiesInZone + proxiesElsewhere + 1;
  }
  function settingsOf(model: string): { readonly rampS: number; readonly limit: number } {
    const configuration = fleet.shape.configuration as {
      readonly deployment?: Settings;
      readonly regions?: Record<string, { readonly models?: Record<string, Settings> }>;
    };
    for (const region of Object.values(configuration.regions ?? {})) {
      const modelOverrides = region.models?.[model];
      if (modelOverrides)
        return {
          rampS: modelOverrides.rampS ?? configuration.deployment?.rampS ?? 30,
          limit: modelOverrides.workerUsageLimit ?? configuration.deployment?.workerUsageLimit ?? 8,
        };
    }
    return { rampS: 0, limit: 8 };
  }

  function checkRecords(): void {
    const readyAt = new Map<string, number>();
    const machines = new Map<string, string>();
    let requestCount = 0;
    let dispatchCount = 0;
    const attempted = new Set<string>();
    for (const record of records) {
      const at = record['at'] as number;
      if (record['who'] === 'cloud' && record['event'] === 'machine') {
        const key = String(record['key']);
        if (machines.has(key))
          reportViolation('oneMachine', `order ${key} got ${machines.get(key)} and ${String(record['machine'])}`);
        machines.set(key, String(record['machine']));
      }
      if (record['who'] !== 'worker') continue;
      const worker = String(record['worker']);
      if (record['event'] === 'ready') readyAt.set(worker, at);
      if (record['event'] !== 'arrived') continue;
      dispatchCount += 1;
      const requestId = String(record['requestId']);
      if (!attempted.has(requestId)) requestCount += 1;
      attempted.add(requestId);
      const arrivedAt = typeof record['came'] === 'number' ? record['came'] : at;
      for (const evacuation of evacuations) {
        if (record['zone'] === evacuation.zone && arrivedAt > evacuation.from && arrivedAt < evacuation.until)
          reportViolation(
            'evacuated',
            `${requestId} reached ${worker} ${(arrivedAt - evacuation.from).toFixed(0)} ms after the evacuation deadline`,
          );
      }
      const becameReadyAt = readyAt.get(worker);
      const maxRunning =
        becameReadyAt === undefined || record['state'] !== 'ready'
          ? null
          : maxRunningAfter(String(record['zone']), String(record['model']), at - becameReadyAt);
      const running = record['running'] as number;
      if (maxRunning !== null && running >= maxRunning)
        reportViolation(
          'coldFlood',
          `${worker} received a request while running ${running}, ${(at - (becameReadyAt ?? 0)).toFixed(0)} ms after it was ready`,
        );
    }
    if (dispatchCount > requestCount * 1.2 + 12)
      reportViolation('retries', `${dispatchCount} dispatches for ${requestCount} requests`);
  }
  function watchedMs(): number {
    return watchedTotalMs;
  }
  return {
    step,
    refused,
    won,
    agreed,
    acknowledged,
    newestAcknowledged: newestAcknowledgedVersion,
    read,
    evacuated,
    restored,
    checkRecords,
    watchedMs,
  };
}

type Settings = { readonly rampS?: number; readonly workerUsageLimit?: number };

/** Checks that each running machine has an open order, and that the author of each order is known. */
export function checkMachines(fleet: SimFleet): void {
  const keyByMachine = new Map<string, string>();
  const machineByOrder = new Map<string, string>();
  for (const record of fleet.records) {
    if (record['who'] !== 'cloud') continue;
    if (record['event'] === 'machine') {
      keyByMachine.set(String(record['machine']), String(record['key']));
      machineByOrder.set(String(record['key']), String(record['machine']));
    }
    if (record['event'] === 'gone') keyByMachine.delete(String(record['machine']));
  }
  for (const simController of fleet.controllers) {
    const controlState = simController.controller?.ledger.controlState();
    if (!controlState) continue;
    for (const [machine, key] of keyByMachine) {
      if (!controlState.orders[key])
        fleet.violations.push({
          rule: 'accounted',
          detail: `machine ${machine} runs, but order ${key} is not open for ${simController.name}`,
        });
    }
    const authorByOrder = new Map<string, string>();
    for (const order of [
      ...(simController.controller?.ledger.closedOrders.all() ?? []),
      ...Object.values(controlState.orders),
    ])
      authorByOrder.set(order.id, order.events[0]?.author ?? '');
    for (const [key, machine] of machineByOrder)
      if (!authorByOrder.get(key))
        fleet.violations.push({
          rule: 'accounted',
          detail: `${simController.name} can't tell who ordered ${machine} (order ${key})`,
        });
  }
}

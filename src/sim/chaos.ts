/**
 * A chaos run: a simulated fleet under load while random faults are injected and operators change the configuration,
 * then one large outage and a check that the fleet recovers. A run is determined by its seed.
 */
import type { RuleViolation } from '../standin/check.js';
import { errorLabel } from '../standin/caller.js';
import { createClientOver } from '../client/client.js';
import { randomInt, createRng, pick } from '../transport/rng.js';
import type { LogRoot } from '../transport/log.js';
import { FAULTS, namesInZone, namesOf, nodeNames } from './faults.js';
import type { FaultContext, FaultName } from './faults.js';
import { configurationOf, contentOf, createOperators, versionOf } from './chaos-operators.js';
import type { Operators } from './chaos-operators.js';
import { createSimFleet } from './sim-fleet.js';
import type { SimFleet } from './sim-fleet.js';
import type { Sabotage } from './sabotage.js';
import { SHAPES } from './shapes.js';
import type { ShapeName } from './shapes.js';
import { NO_DISTURBANCE } from './sim-wire.js';
import { checkMachines, createInvariantChecker } from './invariant-checker.js';
import type { InvariantChecker } from './invariant-checker.js';

/** What a chaos run measured, and the rules that it broke. */
export type ChaosResult = {
  readonly seed: number;
  readonly broken: readonly RuleViolation[];
  readonly faults: readonly string[];
  readonly asked: number;
  readonly good: number;
  readonly lastAsked: number;
  readonly lastGood: number;
  readonly disaster: string;
  readonly recoveryMs: Readonly<Record<string, number>>;
  readonly watchedMs: number;
  readonly operatorCalls: number;
  readonly changesConfirmed: number;
  readonly events: number;
  readonly portrait: readonly string[];
};

/** Faults to draw from, length of the fault phase, and mean interval between two faults. */
export type ChaosOptions = {
  readonly faults: readonly FaultName[];
  readonly seconds: number;
  readonly everyMs: number;
  readonly shape?: ShapeName;
  readonly sabotage?: Sabotage;
};

/** Maximum time to the first success of each kind of request after the outage. */
const MAX_RECOVERY_MS = 12_000;
const NOT_RECOVERED = -1;

/** Plays one chaos run and checks all rules. */
export async function runChaos(
  seed: number,
  options: ChaosOptions,
  createLogs?: (now: () => number) => LogRoot,
): Promise<ChaosResult> {
  const shape = SHAPES[options.shape ?? 'small'];
  const fleet = createSimFleet(seed, shape, createLogs?.(simNow), options.sabotage);
  function simNow(): number {
    return fleet.world.now();
  }
  const { world } = fleet;
  const rng = createRng(seed * 31 + 7);
  const watchers = createInvariantChecker(fleet);
  const faults: string[] = [];
  function reportViolation(rule: string, detail: string): void {
    fleet.violations.push({ rule, detail });
  }
  function logFault(text: string): void {
    faults.push(`${(world.now() / 1_000).toFixed(1)} ${text}`);
  }
  if (!(await fleet.start())) reportViolation('start', 'the fleet did not start');
  const operators = await createOperators(fleet, watchers, seed);
  const faultContext: FaultContext = {
    fleet,
    rng,
    logFault,
    evacuate: operators.evacuate,
    raceChanges: operators.raceChanges,
  };
  const endAt = world.now() + options.seconds * 1_000;

  function injectFaults(): void {
    if (world.now() >= endAt) return;
    FAULTS[pick(rng, options.faults)](faultContext);
    world.at(options.everyMs * (0.5 + rng.next()), injectFaults);
  }
  world.at(1_000, injectFaults);

  function amendRepeatedly(): void {
    if (world.now() >= endAt) return;
    void operators.amend();
    if (rng.next() < 0.3) void operators.amend();
    world.at(2_500 + 2_000 * rng.next(), amendRepeatedly);
  }
  world.at(1_500, amendRepeatedly);

  const faultPhaseTallies: Readonly<Record<string, number>>[] = [];
  function startLoad(
    zone: string,
    seconds: number,
    tallies: Readonly<Record<string, number>>[],
    extraOptions: Parameters<SimFleet['traffic']>[0] | object = {},
  ): void {
    void fleet.traffic({ zone, seconds, ...extraOptions }).then(tallies.push.bind(tallies));
  }
  for (const zone of fleet.zones) startLoad(zone, options.seconds, faultPhaseTallies);
  await world.advance(options.seconds * 1_000 + 16_000, watchers.step);
  recoverAll(fleet);
  await world.advance(8_000, watchers.step);

  const disaster = injectDisaster(
    fleet,
    pick(rng, ['power', 'region', 'core', 'edges'] as const),
    pick(rng, fleet.zones),
  );
  logFault(`final disaster: ${disaster}`);
  await world.advance(3_000 + randomInt(rng, 3_000), watchers.step);
  recoverAll(fleet);
  const recoveredAt = world.now();
  const probeTallies: Readonly<Record<string, number>>[] = [];
  for (const zone of fleet.zones)
    startLoad(zone, 14, probeTallies, { name: `probe-${zone}`, maxRetries: 0, runOnceShare: 0.5 });
  const firstConfirmedAt = operators.trackFirstConfirmed(recoveredAt + MAX_RECOVERY_MS);
  await world.advance(14_000, watchers.step);
  const recoveryMs: Record<string, number> = firstSuccesses(fleet, recoveredAt);
  recoveryMs['operator'] =
    firstConfirmedAt() === null ? NOT_RECOVERED : Math.round((firstConfirmedAt() as number) - recoveredAt);
  for (const [probe, ms] of Object.entries(recoveryMs)) {
    if (ms === NOT_RECOVERED || ms > MAX_RECOVERY_MS)
      reportViolation(
        'serveAgain',
        `${probe}: ${ms === NOT_RECOVERED ? 'no success' : `success ${ms} ms`} after recovery (${disaster})`,
      );
  }
  const calmPhaseTallies: Readonly<Record<string, number>>[] = [];
  for (const zone of fleet.zones) startLoad(zone, 5, calmPhaseTallies);
  await world.advance(20_000, watchers.step);
  function isLoadFinished(): boolean {
    return (
      faultPhaseTallies.length === fleet.zones.length &&
      calmPhaseTallies.length === fleet.zones.length &&
      probeTallies.length === fleet.zones.length
    );
  }
  if (!(await world.until(200_000, isLoadFinished, watchers.step)))
    reportViolation('answered', 'a caller is still waiting for a response');

  await checkReads(fleet, watchers, operators, reportViolation);
  await checkRepeatedKeys(fleet, reportViolation);
  if (!(await operators.restoreAllZones())) reportViolation('serveAgain', 'evacuated zones could not be restored');
  if (!(await world.until(60_000, fleet.allReady, watchers.step)))
    reportViolation('settles', `open orders do not become ready: ${ordersText(fleet)}`);
  await world.advance(15_000, watchers.step);
  checkMachines(fleet);
  watchers.checkRecords();
  const violation = operators.history.check();
  if (violation) reportViolation('linearizable', `${violation.kind}: ${violation.detail}`);

  const [asked, good] = sumTallies(faultPhaseTallies);
  const [lastAsked, lastGood] = sumTallies(calmPhaseTallies);
  if (lastAsked === 0 || lastGood < lastAsked * 0.97)
    reportViolation(
      'serveAgain',
      `${lastGood} of ${lastAsked} succeeded after the faults: ${JSON.stringify(calmPhaseTallies)}`,
    );
  const portrait: string[] = [];
  for (let i = 0; i < fleet.controllers.length; i += 1) {
    const result = await fleet.operator(i, 'GET', '/v1/status');
    portrait.push(result.ok ? statusText(result.value.body) : `controller ${i + 1}: ${result.error.tag}`);
  }
  for (const simProxy of fleet.proxies)
    portrait.push(`${simProxy.name} ${JSON.stringify({ ...simProxy.proxy?.view(), configuration: undefined })}`);
  portrait.push(`orders: ${ordersText(fleet)}`);
  return {
    seed,
    broken: fleet.check(),
    portrait,
    faults,
    asked,
    good,
    lastAsked,
    lastGood,
    disaster,
    recoveryMs,
    watchedMs: watchers.watchedMs(),
    operatorCalls: operators.history.size(),
    changesConfirmed: operators.history.confirmed(),
    events: world.events(),
  };
}

/** Ends all faults: heals links and disks, resumes frozen hosts and starts stopped nodes and workers. */
function recoverAll(fleet: SimFleet): void {
  const { world } = fleet;
  world.healAll();
  fleet.setFrameDisturbance(NO_DISTURBANCE);
  for (const node of [...fleet.controllers, ...fleet.proxies]) {
    node.platter.failing = false;
    node.platter.full = false;
  }
  for (const host of world.hosts()) if (host.frozen) world.thaw(host);
  for (const name of nodeNames({ fleet })) if (!fleet.hostOf(name).running) void fleet.startNode(name);
  for (const simWorker of fleet.workers) {
    if (!simWorker.host.running) void fleet.startNode(simWorker.id);
    else
      void fleet.call({
        method: 'POST',
        address: simWorker.http,
        path: '/lab/fault',
        body: { mode: 'none' },
        timeoutMs: 2_000,
      });
  }
  void fleet.call({
    method: 'POST',
    address: fleet.platformAddress,
    path: '/lab/fault',
    body: { mode: 'none' },
    timeoutMs: 2_000,
  });
  for (const zone of fleet.zones)
    void fleet.call({
      method: 'POST',
      address: fleet.cloudAddress,
      path: '/lab/zone',
      body: { zone, spot: true },
      timeoutMs: 2_000,
    });
}

/** Whether all controllers but at most one have rebuilt the claims, so that one may lose its disk. */
function isWipeSafe(fleet: SimFleet): boolean {
  let readyCount = 0;
  for (const simController of fleet.controllers) if (simController.controller?.claimsReady()) readyCount += 1;
  return readyCount >= fleet.controllers.length - 1;
}

function injectDisaster(fleet: SimFleet, kind: 'power' | 'region' | 'core' | 'edges', zone: string): string {
  switch (kind) {
    case 'power':
      for (const name of nodeNames({ fleet })) fleet.powerLoss(name);
      return 'all nodes lose power';
    case 'region':
      for (const name of namesInZone(fleet, zone)) {
        fleet.powerLoss(name);
        if (isWipeSafe(fleet)) fleet.wipe(name);
      }
      return `${zone} loses power and disks, including its workers`;
    case 'core':
      for (const name of namesOf(fleet.controllers)) fleet.powerLoss(name);
      return 'all controllers lose power';
    case 'edges':
      for (const name of namesOf(fleet.proxies)) fleet.kill(name);
      for (const simWorker of fleet.workers) if (simWorker.fixed) fleet.kill(simWorker.id);
      return 'all proxies and fixed workers are killed';
  }
}

function firstSuccesses(fleet: SimFleet, recoveredAt: number): Record<string, number> {
  const firstSuccessMs: Record<string, number> = {};
  for (const zone of fleet.zones)
    for (const kind of ['once', 'stream']) firstSuccessMs[`${kind} ${zone}`] = NOT_RECOVERED;
  for (const record of fleet.records) {
    if (record['who'] !== 'caller' || record['result'] !== 'success' || !String(record['caller']).startsWith('probe-'))
      continue;
    const probe = `${record['repeatable'] === false ? 'once' : 'stream'} ${String(record['zone'])}`;
    if (firstSuccessMs[probe] === NOT_RECOVERED)
      firstSuccessMs[probe] = Math.round((record['at'] as number) - recoveredAt);
  }
  return firstSuccessMs;
}

/** Reads the configuration and the evacuated zones at each controller and compares them with confirmed calls. */
async function checkReads(
  fleet: SimFleet,
  watchers: InvariantChecker,
  operators: Operators,
  reportViolation: (rule: string, detail: string) => void,
): Promise<void> {
  for (let i = 0; i < fleet.controllers.length; i += 1) {
    const minVersion = watchers.newestAcknowledged();
    const recordRead = operators.history.recordRead(`controller ${i + 1}`);
    const read = await fleet.operator(i, 'GET', '/v1/configuration');
    const status = read.ok ? read.value.status : 0;
    if (!read.ok || status !== 200) {
      reportViolation('serveAgain', `controller ${i + 1} does not answer a read (${status})`);
      continue;
    }
    watchers.read(`controller ${i + 1}`, minVersion, versionOf(read.value), configurationOf(read.value));
    recordRead(versionOf(read.value), contentOf(read.value));
    const evacuated = (read.value.body as { readonly evacuated: readonly string[] }).evacuated;
    for (const [zone, isEvacuated] of Object.entries(operators.confirmedEvacuations())) {
      if (evacuated.includes(zone) !== isEvacuated)
        reportViolation('readBack', `controller ${i + 1} reads ${zone} as ${isEvacuated ? 'not ' : ''}evacuated`);
    }
  }
}

const REPEATED_KEY_SAMPLES = 30;

/** Sends a sample of the answered run-once requests again: none of them may run a second time. */
async function checkRepeatedKeys(
  fleet: SimFleet,
  reportViolation: (rule: string, detail: string) => void,
): Promise<void> {
  const proc = fleet.world.startProcess(fleet.world.host('again', fleet.zones[0] as string));
  const client = createClientOver(
    { proxies: fleet.proxies.map(httpAddressOf) },
    fleet.httpClientOf(proc),
    fleet.world.clockOf(proc),
  );
  const answeredKeys: string[] = [];
  for (const record of fleet.records)
    if (record['who'] === 'caller' && record['repeatable'] === false && record['result'] === 'success')
      answeredKeys.push(String(record['key']));
  const step = Math.max(1, Math.floor(answeredKeys.length / REPEATED_KEY_SAMPLES));
  const resends: Promise<void>[] = [];
  async function resend(key: string): Promise<void> {
    const result = await client.send({
      model: fleet.shape.fixed.model,
      ...(fleet.shape.kind ? { kind: fleet.shape.kind } : {}),
      parts: [{ hash: 'again', tokens: 8 }],
      outputTokens: 8,
      repeatable: false,
      key,
    });
    const tag = result.ok ? 'success' : errorLabel(result.error);
    if (tag !== 'alreadyAnswered' && tag !== 'outcomeUnknown')
      reportViolation('runOnce', `${key} ran and was answered, but a second request with it got ${tag}`);
  }
  for (let i = 0; i < answeredKeys.length; i += step) resends.push(resend(answeredKeys[i] as string));
  if ((await fleet.runUntilSettled(Promise.all(resends), 60_000)) === null)
    reportViolation('answered', 'a request with a repeated key got no answer');
}
function httpAddressOf(node: { readonly http: string }): string {
  return node.http;
}

function sumTallies(tallies: readonly Readonly<Record<string, number>>[]): [number, number] {
  let asked = 0;
  let good = 0;
  for (const tally of tallies) {
    for (const [key, count] of Object.entries(tally)) {
      asked += count;
      if (key.endsWith('success')) good += count;
    }
  }
  return [asked, good];
}

function statusText(body: unknown): string {
  const status = body as Readonly<Record<string, unknown>>;
  const fields: string[] = [];
  for (const key of [
    'name',
    'member',
    'isMember',
    'slot',
    'version',
    'writable',
    'quorate',
    'claimsReady',
    'holdsScaler',
    'evacuated',
    'zoneSets',
    'targets',
  ])
    fields.push(`${key} ${JSON.stringify(status[key])}`);
  return fields.join(' ');
}
function ordersText(fleet: SimFleet): string {
  const lines: string[] = [];
  for (const simController of fleet.controllers) {
    const controlState = simController.controller?.ledger.controlState();
    if (controlState)
      for (const order of Object.values(controlState.orders)) lines.push(`${order.kind} ${order.zone} ${order.status}`);
    if (controlState) break;
  }
  return lines.join('; ');
}

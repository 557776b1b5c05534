import type { RuleViolation } from '../standin/check.js';
import { errorLabel } from '../standin/caller.js';
import { createClientOver } from '../client/client.js';
import { randomInt, createRng, pick } from '../transport/rng.js';
import type { LogRoot } from '../transport/log.js';
import { FAULTS, inZone, names, nodeNames } from './faults.js';
import type { FaultAct, FaultName } from './faults.js';
import { configurationOf, contentOf, createOperators, versionOf } from './chaos-operators.js';
import type { Operators } from './chaos-operators.js';
import { createSimFleet } from './sim-fleet.js';
import type { SimFleet } from './sim-fleet.js';
import type { Sabotage } from './sabotage.js';
import { SHAPES } from './shapes.js';
import type { ShapeName } from './shapes.js';
import { CALM } from './sim-wire.js';
import { checkMachines, createWatchers } from './watchers.js';
import type { Watchers } from './watchers.js';

export type ChaosEnd = {
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

export type ChaosOptions = {
  readonly faults: readonly FaultName[];
  readonly seconds: number;
  readonly everyMs: number;
  readonly shape?: ShapeName;
  readonly sabotage?: Sabotage;
};

const RECOVERY_MS = 12_000;
const NEVER = -1;

export async function runChaos(
  seed: number,
  chaosOptions: ChaosOptions,
  logsOf?: (now: () => number) => LogRoot,
): Promise<ChaosEnd> {
  const shape = SHAPES[chaosOptions.shape ?? 'small'];
  const fleet = createSimFleet(seed, shape, logsOf?.(simNow), chaosOptions.sabotage);
  function simNow(): number {
    return fleet.world.now();
  }
  const { world } = fleet;
  const rng = createRng(seed * 31 + 7);
  const watchers = createWatchers(fleet);
  const faults: string[] = [];
  function fault(rule: string, detail: string): void {
    fleet.violations.push({ rule, detail });
  }
  function note(text: string): void {
    faults.push(`${(world.now() / 1_000).toFixed(1)} ${text}`);
  }
  if (!(await fleet.start())) fault('start', 'the fleet did not start');
  const ops = await createOperators(fleet, watchers, seed);
  const command: FaultAct = { fleet, rng, note, evacuate: ops.evacuate, crowdOfOperators: ops.crowd };
  const endAt = world.now() + chaosOptions.seconds * 1_000;

  function strike(): void {
    if (world.now() >= endAt) return;
    FAULTS[pick(rng, chaosOptions.faults)](command);
    world.at(chaosOptions.everyMs * (0.5 + rng.next()), strike);
  }
  world.at(1_000, strike);

  function amendLater(): void {
    if (world.now() >= endAt) return;
    void ops.amend();
    if (rng.next() < 0.3) void ops.amend();
    world.at(2_500 + 2_000 * rng.next(), amendLater);
  }
  world.at(1_500, amendLater);

  const first: Readonly<Record<string, number>>[] = [];
  function loadOn(
    zone: string,
    seconds: number,
    into: Readonly<Record<string, number>>[],
    extra: Parameters<SimFleet['traffic']>[0] | object = {},
  ): void {
    void fleet.traffic({ zone, seconds, ...extra }).then(into.push.bind(into));
  }
  for (const zone of fleet.zones) loadOn(zone, chaosOptions.seconds, first);
  await world.advance(chaosOptions.seconds * 1_000 + 16_000, watchers.step);
  bringBack(fleet);
  await world.advance(8_000, watchers.step);

  const disaster = strikeDisaster(
    fleet,
    pick(rng, ['power', 'region', 'core', 'edges'] as const),
    pick(rng, fleet.zones),
  );
  note(`last: ${disaster}`);
  await world.advance(3_000 + randomInt(rng, 3_000), watchers.step);
  bringBack(fleet);
  const backAt = world.now();
  const last: Readonly<Record<string, number>>[] = [];
  for (const zone of fleet.zones) loadOn(zone, 14, last, { name: `probe-${zone}`, maxRetries: 0, runOnceShare: 0.5 });
  const operatorAt = ops.firstAccepted(backAt + RECOVERY_MS);
  await world.advance(14_000, watchers.step);
  const recoveryMs: Record<string, number> = firstSuccesses(fleet, backAt);
  recoveryMs['operator'] = operatorAt() === null ? NEVER : Math.round((operatorAt() as number) - backAt);
  for (const [what, ms] of Object.entries(recoveryMs)) {
    if (ms === NEVER || ms > RECOVERY_MS)
      fault(
        'serveAgain',
        `${what}: ${ms === NEVER ? 'nothing' : `${ms} ms`} after the machines were back (${disaster})`,
      );
  }
  const calm: Readonly<Record<string, number>>[] = [];
  for (const zone of fleet.zones) loadOn(zone, 5, calm);
  await world.advance(20_000, watchers.step);
  function allOver(): boolean {
    return (
      first.length === fleet.zones.length && calm.length === fleet.zones.length && last.length === fleet.zones.length
    );
  }
  if (!(await world.until(200_000, allOver, watchers.step))) fault('answered', 'a caller still waits');

  await readBack(fleet, watchers, ops, fault);
  await repeatKeys(fleet, fault);
  if (!(await ops.handAllBack())) fault('serveAgain', 'evacuated zones could not be handed back');
  if (!(await world.until(60_000, fleet.allReady, watchers.step)))
    fault('settles', `orders do not settle: ${ordersText(fleet)}`);
  await world.advance(15_000, watchers.step);
  checkMachines(fleet);
  watchers.end();
  const unexplained = ops.history.check();
  if (unexplained) fault('linearizable', `${unexplained.kind}: ${unexplained.detail}`);

  const [asked, good] = sum(first);
  const [lastAsked, lastGood] = sum(calm);
  if (lastAsked === 0 || lastGood < lastAsked * 0.97)
    fault('serveAgain', `${lastGood} of ${lastAsked} succeeded after the faults: ${JSON.stringify(calm)}`);
  const portrait: string[] = [];
  for (let i = 0; i < fleet.controllers.length; i += 1) {
    const got = await fleet.operator(i, 'GET', '/v1/status');
    portrait.push(got.ok ? statusText(got.value.body) : `controller ${i + 1}: ${got.error.tag}`);
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
    operatorCalls: ops.history.size(),
    changesConfirmed: ops.history.confirmed(),
    events: world.events(),
  };
}

function bringBack(fleet: SimFleet): void {
  const { world } = fleet;
  world.healAll();
  fleet.turbulence(CALM);
  for (const n of [...fleet.controllers, ...fleet.proxies]) {
    n.platter.failing = false;
    n.platter.full = false;
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

function wholeCore(fleet: SimFleet): boolean {
  let whole = 0;
  for (const simController of fleet.controllers) if (simController.controller?.claimsReady()) whole += 1;
  return whole >= fleet.controllers.length - 1;
}

function strikeDisaster(fleet: SimFleet, what: 'power' | 'region' | 'core' | 'edges', zone: string): string {
  switch (what) {
    case 'power':
      for (const name of nodeNames({ fleet })) fleet.powerLoss(name);
      return 'all nodes lose power';
    case 'region':
      for (const name of inZone(fleet, zone)) {
        fleet.powerLoss(name);
        if (wholeCore(fleet)) fleet.wipe(name);
      }
      return `${zone} is lost, workers and disks too`;
    case 'core':
      for (const name of names(fleet.controllers)) fleet.powerLoss(name);
      return 'all controllers lose power';
    case 'edges':
      for (const name of names(fleet.proxies)) fleet.kill(name);
      for (const simWorker of fleet.workers) if (simWorker.fixed) fleet.kill(simWorker.id);
      return 'all proxies and fixed workers are killed';
  }
}

function firstSuccesses(fleet: SimFleet, from: number): Record<string, number> {
  const out: Record<string, number> = {};
  for (const zone of fleet.zones) for (const kind of ['once', 'stream']) out[`${kind} ${zone}`] = NEVER;
  for (const r of fleet.records) {
    if (r['who'] !== 'caller' || r['result'] !== 'success' || !String(r['caller']).startsWith('probe-')) continue;
    const what = `${r['repeatable'] === false ? 'once' : 'stream'} ${String(r['zone'])}`;
    if (out[what] === NEVER) out[what] = Math.round((r['at'] as number) - from);
  }
  return out;
}

async function readBack(
  fleet: SimFleet,
  watchers: Watchers,
  ops: Operators,
  fault: (rule: string, detail: string) => void,
): Promise<void> {
  for (let i = 0; i < fleet.controllers.length; i += 1) {
    const floor = watchers.newest();
    const noteRead = ops.history.readSent(`controller ${i + 1}`);
    const read = await fleet.operator(i, 'GET', '/v1/configuration');
    const status = read.ok ? read.value.status : 0;
    if (!read.ok || status !== 200) {
      fault('serveAgain', `controller ${i + 1} answers no read (${status})`);
      continue;
    }
    watchers.read(`controller ${i + 1}`, floor, versionOf(read.value), configurationOf(read.value));
    noteRead(versionOf(read.value), contentOf(read.value));
    const evacuated = (read.value.body as { readonly evacuated: readonly string[] }).evacuated;
    for (const [zone, begun] of Object.entries(ops.evacuations())) {
      if (evacuated.includes(zone) !== begun)
        fault('readBack', `controller ${i + 1} reads ${zone} as ${begun ? 'not ' : ''}evacuated`);
    }
  }
}

const KEYS_REPEATED = 30;

async function repeatKeys(fleet: SimFleet, fault: (rule: string, detail: string) => void): Promise<void> {
  const proc = fleet.world.begin(fleet.world.host('again', fleet.zones[0] as string));
  const client = createClientOver(
    { proxies: fleet.proxies.map(httpOf) },
    fleet.httpClientOf(proc),
    fleet.world.clockOf(proc),
  );
  const answered: string[] = [];
  for (const r of fleet.records)
    if (r['who'] === 'caller' && r['repeatable'] === false && r['result'] === 'success')
      answered.push(String(r['key']));
  const step = Math.max(1, Math.floor(answered.length / KEYS_REPEATED));
  const work: Promise<void>[] = [];
  async function again(key: string): Promise<void> {
    const got = await client.send({
      model: fleet.shape.fixed.model,
      ...(fleet.shape.kind ? { kind: fleet.shape.kind } : {}),
      parts: [{ hash: 'again', tokens: 8 }],
      outputTokens: 8,
      repeatable: false,
      key,
    });
    const tag = got.ok ? 'success' : errorLabel(got.error);
    if (tag !== 'alreadyAnswered' && tag !== 'outcomeUnknown')
      fault('runOnce', `${key} ran and was answered; sent again, it is told ${tag}`);
  }
  for (let i = 0; i < answered.length; i += step) work.push(again(answered[i] as string));
  if ((await fleet.finish(Promise.all(work), 60_000)) === null) fault('answered', 'a repeated key got no answer');
}
function httpOf(s: { readonly http: string }): string {
  return s.http;
}

function sum(tallies: readonly Readonly<Record<string, number>>[]): [number, number] {
  let asked = 0;
  let good = 0;
  for (const t of tallies) {
    for (const [key, count] of Object.entries(t)) {
      asked += count;
      if (key.endsWith('success')) good += count;
    }
  }
  return [asked, good];
}

function statusText(body: unknown): string {
  const s = body as Readonly<Record<string, unknown>>;
  const shown: string[] = [];
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
    shown.push(`${key} ${JSON.stringify(s[key])}`);
  return shown.join(' ');
}
function ordersText(fleet: SimFleet): string {
  const out: string[] = [];
  for (const simController of fleet.controllers) {
    const second = simController.controller?.ledger.controlState();
    if (second)
      for (const order of Object.values(second.orders)) out.push(`${order.kind} ${order.zone} ${order.status}`);
    if (second) break;
  }
  return out.join('; ');
}

import type { Configuration } from '../state/configuration/settings-tree.js';
import type { SimFleet } from './sim-fleet.js';

export type Watchers = {
  readonly step: () => void;
  readonly refused: (value: number) => void;
  readonly won: (base: number, version: number) => void;
  readonly agreed: (version: number, value: number) => void;
  readonly acknowledged: (version: number, value: number) => void;
  readonly newest: () => number;
  readonly read: (electorate: string, floor: number, version: number, configuration: unknown) => void;
  readonly evacuated: (zone: string) => void;
  readonly restored: (zone: string) => void;
  readonly end: () => void;
  readonly watchedMs: () => number;
};

const EVACUATION_MS = 5_000;
const IN_FORCE_MS = 3_000;
const STEP_MS = 50;

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (typeof value !== 'object' || value === null) return value;
  const out: Record<string, unknown> = {};
  for (const key of Object.keys(value).sort()) out[key] = sorted((value as Record<string, unknown>)[key]);
  return out;
}
function canonical(value: unknown): string {
  return JSON.stringify(sorted(value));
}
function valueIn(value: unknown): number | null {
  const reading = (value as { readonly deployment?: { readonly lineLimit?: unknown } } | null)?.deployment?.lineLimit;
  return typeof reading === 'number' ? reading : null;
}

type Seen = {
  readonly name: string;
  readonly slot: number;
  readonly version: number;
  readonly configuration: Configuration;
  readonly serves: boolean;
  readonly core: boolean;
};
type Held = { readonly version: number; readonly at: number };

export function createWatchers(fleet: SimFleet): Watchers {
  const { world, violations, records } = fleet;
  const last = new Map<string, { slot: number; version: number; life: number }>();
  const disturbedAt = new Map<string, number>();
  const evacuations: { readonly zone: string; readonly from: number; until: number }[] = [];
  const winners = new Map<number, number>();
  const values = new Map<number, number>();
  const refusedValues = new Set<number>();
  const contents = new Map<number, string>();
  const texts = new WeakMap<object, string>();
  const told = new Set<string>();
  let newest: Held = { version: -1, at: 0 };
  let newestAgreed: Held = { version: -1, at: 0 };
  let nextAt = 0;
  let watched = 0;

  function fault(rule: string, detail: string): void {
    violations.push({ rule, detail: `${detail} at ${world.now().toFixed(0)}` });
  }
  function faultOnce(rule: string, what: string, detail: string): void {
    const key = `${rule} ${what}`;
    if (!told.has(key)) fault(rule, detail);
    told.add(key);
  }

  function seen(): Seen[] {
    const out: Seen[] = [];
    for (const simProxy of fleet.proxies) {
      const value = simProxy.proxy?.view();
      if (value)
        out.push({
          name: simProxy.name,
          slot: value.slot,
          version: value.version,
          configuration: value.configuration,
          serves: value.serving,
          core: false,
        });
    }
    for (const simController of fleet.controllers) {
      const l = simController.controller?.ledger;
      if (l)
        out.push({
          name: simController.name,
          slot: l.controlState().slot,
          version: l.controlState().version,
          configuration: l.controlState().configuration,
          serves: l.isMember(),
          core: true,
        });
    }
    return out;
  }

  function noteDisturbed(): void {
    const now = world.now();
    for (const n of [...fleet.proxies, ...fleet.controllers]) {
      const sick = n.platter.failing || n.platter.full;
      if (!n.host.running || n.host.frozen || sick || world.isTouched(n.name) || !disturbedAt.has(n.name))
        disturbedAt.set(n.name, now);
    }
  }
  function calmFor(name: string): number {
    return world.now() - (disturbedAt.get(name) ?? world.now());
  }
  function coreCalm(): boolean {
    let count = 0;
    for (const simController of fleet.controllers) if (calmFor(simController.name) >= 2 * IN_FORCE_MS) count += 1;
    return count > fleet.controllers.length / 2;
  }

  function forward(seen: Seen): void {
    const life = fleet.hostOf(seen.name).life;
    const before = last.get(seen.name);
    const comparable = before && (!seen.core || before.life === life);
    if (comparable && (seen.slot < before.slot || seen.version < before.version))
      fault(
        'noOlderVersion',
        `${seen.name} went from slot ${before.slot} version ${before.version} to slot ${seen.slot} version ${seen.version}`,
      );
    last.set(seen.name, { slot: seen.slot, version: seen.version, life });
  }

  function textOf(configuration: Configuration): string {
    const have = texts.get(configuration);
    if (have !== undefined) return have;
    const made = canonical(configuration);
    texts.set(configuration, made);
    return made;
  }

  function checkContent(electorate: string, version: number, text: string, value: number | null): void {
    const known = contents.get(version);
    if (known === undefined) contents.set(version, text);
    else if (known !== text)
      faultOnce(
        'oneContent',
        `${electorate} ${version}`,
        `${electorate} holds another configuration under version ${version}`,
      );
    if (value !== null && refusedValues.has(value))
      faultOnce('refusedSeen', `${electorate} ${value}`, `${electorate} holds ${value}, which was refused`);
    const agreedValue = values.get(version);
    if (agreedValue !== undefined && value !== agreedValue)
      faultOnce(
        'readBack',
        `${electorate} ${version}`,
        `${electorate} holds ${value} in version ${version}, not ${agreedValue}`,
      );
  }

  function step(): void {
    if (world.now() < nextAt) return;
    nextAt = world.now() + STEP_MS;
    noteDisturbed();
    const core = coreCalm();
    for (const slots of seen()) {
      if (slots.version > 0)
        checkContent(slots.name, slots.version, textOf(slots.configuration), valueIn(slots.configuration));
      if (!slots.serves) continue;
      forward(slots);
      if (!slots.core && slots.version < newest.version)
        faultOnce(
          'inForce',
          `${slots.name} ${newest.version}`,
          `${slots.name} serves version ${slots.version} though ${newest.version} was acknowledged`,
        );
      if (
        newestAgreed.version < 0 ||
        !core ||
        calmFor(slots.name) < 2 * IN_FORCE_MS ||
        world.now() - newestAgreed.at < IN_FORCE_MS
      )
        continue;
      watched += STEP_MS;
      if (slots.version < newestAgreed.version)
        faultOnce(
          'inForce',
          `${slots.name} ${newestAgreed.version} late`,
          `${slots.name} holds version ${slots.version} more than 3 s after ${newestAgreed.version} was agreed`,
        );
    }
  }

  function refused(value: number): void {
    refusedValues.add(value);
    for (const slots of seen())
      if (slots.version > 0)
        checkContent(slots.name, slots.version, textOf(slots.configuration), valueIn(slots.configuration));
  }
  function won(base: number, version: number): void {
    const other = winners.get(base);
    if (other !== undefined && other !== version)
      fault('oneWinner', `versions ${other} and ${version} both won on base ${base}`);
    winners.set(base, version);
  }
  function agreed(version: number, value: number): void {
    values.set(version, value);
    if (version > newestAgreed.version) newestAgreed = { version, at: world.now() };
  }
  function acknowledged(version: number, value: number): void {
    agreed(version, value);
    if (version > newest.version) newest = { version, at: world.now() };
    for (const slots of seen())
      if (!slots.core && slots.serves && slots.version < version)
        fault('inForce', `${slots.name} serves version ${slots.version} though ${version} was acknowledged`);
  }
  function newestVersion(): number {
    return newest.version;
  }
  function read(electorate: string, floor: number, version: number, configuration: unknown): void {
    if (version < floor) fault('readBack', `${electorate} reads version ${version}, ${floor} was acknowledged before`);
    checkContent(electorate, version, canonical(configuration), valueIn(configuration));
    const value = values.get(version);
    if (value === undefined) return;
    const base = fleet.shape.configuration as { readonly deployment?: object };
    const whole = canonical({ ...base, deployment: { ...base.deployment, lineLimit: value } });
    if (canonical(configuration) !== whole)
      fault('readBack', `${electorate} reads a tree that is not the one acknowledged as version ${version}`);
  }
  function evacuated(zone: string): void {
    evacuations.push({ zone, from: world.now() + EVACUATION_MS, until: Infinity });
  }
  function restored(zone: string): void {
    for (const event of evacuations) if (event.zone === zone && event.until === Infinity) event.until = world.now();
  }

  function mostRunning(zone: string, model: string, sinceMs: number): number | null {
    const resolved = settingsOf(model);
    if (sinceMs >= resolved.rampS * 1_000) return null;
    const ramped = Math.max(1, Math.floor((resolved.limit * sinceMs) / (resolved.rampS * 1_000)));
    let near = 0;
    let far = 0;
    for (const simProxy of fleet.proxies) {
      if (simProxy.host.zone === zone) near += 1;
      else far += 1;
    }
    return ramped * near + far + 1;
  }
  function settingsOf(model: string): { readonly rampS: number; readonly limit: number } {
    const c = fleet.shape.configuration as {
      readonly deployment?: Settings;
      readonly regions?: Record<string, { readonly models?: Record<string, Settings> }>;
    };
    for (const r of Object.values(c.regions ?? {})) {
      const own = r.models?.[model];
      if (own)
        return {
          rampS: own.rampS ?? c.deployment?.rampS ?? 30,
          limit: own.workerUsageLimit ?? c.deployment?.workerUsageLimit ?? 8,
        };
    }
    return { rampS: 0, limit: 8 };
  }

  function end(): void {
    const readyAt = new Map<string, number>();
    const machines = new Map<string, string>();
    let firsts = 0;
    let all = 0;
    const attempted = new Set<string>();
    for (const rec of records) {
      const at = rec['at'] as number;
      if (rec['who'] === 'cloud' && rec['event'] === 'machine') {
        const key = String(rec['key']);
        if (machines.has(key))
          fault('oneMachine', `order ${key} got ${machines.get(key)} and ${String(rec['machine'])}`);
        machines.set(key, String(rec['machine']));
      }
      if (rec['who'] !== 'worker') continue;
      const worker = String(rec['worker']);
      if (rec['event'] === 'ready') readyAt.set(worker, at);
      if (rec['event'] !== 'arrived') continue;
      all += 1;
      const requestId = String(rec['requestId']);
      if (!attempted.has(requestId)) firsts += 1;
      attempted.add(requestId);
      const came = typeof rec['came'] === 'number' ? rec['came'] : at;
      for (const event of evacuations) {
        if (rec['zone'] === event.zone && came > event.from && came < event.until)
          fault('evacuated', `${requestId} reached ${worker} ${(came - event.from).toFixed(0)} ms too late`);
      }
      const ready = readyAt.get(worker);
      const most =
        ready === undefined || rec['state'] !== 'ready'
          ? null
          : mostRunning(String(rec['zone']), String(rec['model']), at - ready);
      const running = rec['running'] as number;
      if (most !== null && running >= most)
        fault(
          'coldFlood',
          `${worker} was given one more beside ${running}, ${(at - (ready ?? 0)).toFixed(0)} ms after it was ready`,
        );
    }
    if (all > firsts * 1.2 + 12) fault('retries', `${all} dispatches for ${firsts} requests`);
  }
  function watchedMs(): number {
    return watched;
  }
  return { step, refused, won, agreed, acknowledged, newest: newestVersion, read, evacuated, restored, end, watchedMs };
}

type Settings = { readonly rampS?: number; readonly workerUsageLimit?: number };

export function checkMachines(fleet: SimFleet): void {
  const live = new Map<string, string>();
  const ever = new Map<string, string>();
  for (const rec of fleet.records) {
    if (rec['who'] !== 'cloud') continue;
    if (rec['event'] === 'machine') {
      live.set(String(rec['machine']), String(rec['key']));
      ever.set(String(rec['key']), String(rec['machine']));
    }
    if (rec['event'] === 'gone') live.delete(String(rec['machine']));
  }
  for (const simController of fleet.controllers) {
    const second = simController.controller?.ledger.controlState();
    if (!second) continue;
    for (const [machine, key] of live) {
      if (!second.orders[key])
        fleet.violations.push({
          rule: 'accounted',
          detail: `machine ${machine} runs, but order ${key} is not open for ${simController.name}`,
        });
    }
    const known = new Map<string, string>();
    for (const order of [
      ...(simController.controller?.ledger.closedOrders.all() ?? []),
      ...Object.values(second.orders),
    ])
      known.set(order.id, order.events[0]?.author ?? '');
    for (const [key, machine] of ever)
      if (!known.get(key))
        fleet.violations.push({
          rule: 'accounted',
          detail: `${simController.name} can't tell who ordered ${machine} (order ${key})`,
        });
  }
}

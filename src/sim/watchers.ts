import type { Configuration } from '../state/settings-tree.js';
import type { SimFleet } from './sim-fleet.js';

export type Watchers = {
  readonly step: () => void;
  readonly refused: (value: number) => void;
  readonly won: (base: number, version: number) => void;
  readonly agreed: (version: number, value: number) => void;
  readonly acknowledged: (version: number, value: number) => void;
  readonly newest: () => number;
  readonly read: (who: string, floor: number, version: number, configuration: unknown) => void;
  readonly evacuated: (zone: string) => void;
  readonly restored: (zone: string) => void;
  readonly end: () => void;
  readonly watchedMs: () => number;
};

const EVACUATION_MS = 5_000;
const IN_FORCE_MS = 3_000;
const STEP_MS = 50;

function sorted(u: unknown): unknown {
  if (Array.isArray(u)) return u.map(sorted);
  if (typeof u !== 'object' || u === null) return u;
  const out: Record<string, unknown> = {};
  for (const k of Object.keys(u).sort()) out[k] = sorted((u as Record<string, unknown>)[k]);
  return out;
}
function canonical(u: unknown): string {
  return JSON.stringify(sorted(u));
}
function valueIn(u: unknown): number | null {
  const v = (u as { readonly deployment?: { readonly lineLimit?: unknown } } | null)?.deployment?.lineLimit;
  return typeof v === 'number' ? v : null;
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
    for (const s of fleet.proxies) {
      const v = s.proxy?.view();
      if (v)
        out.push({
          name: s.name,
          slot: v.slot,
          version: v.version,
          configuration: v.configuration,
          serves: v.serving,
          core: false,
        });
    }
    for (const h of fleet.controllers) {
      const l = h.controller?.ledger;
      if (l)
        out.push({
          name: h.name,
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
    let n = 0;
    for (const h of fleet.controllers) if (calmFor(h.name) >= 2 * IN_FORCE_MS) n += 1;
    return n > fleet.controllers.length / 2;
  }

  function forward(n: Seen): void {
    const life = fleet.hostOf(n.name).life;
    const before = last.get(n.name);
    const comparable = before && (!n.core || before.life === life);
    if (comparable && (n.slot < before.slot || n.version < before.version))
      fault(
        'noOlderVersion',
        `${n.name} went from slot ${before.slot} version ${before.version} to slot ${n.slot} version ${n.version}`,
      );
    last.set(n.name, { slot: n.slot, version: n.version, life });
  }

  function textOf(c: Configuration): string {
    const have = texts.get(c);
    if (have !== undefined) return have;
    const made = canonical(c);
    texts.set(c, made);
    return made;
  }

  function checkContent(who: string, version: number, text: string, value: number | null): void {
    const known = contents.get(version);
    if (known === undefined) contents.set(version, text);
    else if (known !== text)
      faultOnce('oneContent', `${who} ${version}`, `${who} holds another configuration under version ${version}`);
    if (value !== null && refusedValues.has(value))
      faultOnce('refusedSeen', `${who} ${value}`, `${who} holds ${value}, which was refused`);
    const agreedValue = values.get(version);
    if (agreedValue !== undefined && value !== agreedValue)
      faultOnce('readBack', `${who} ${version}`, `${who} holds ${value} in version ${version}, not ${agreedValue}`);
  }

  function step(): void {
    if (world.now() < nextAt) return;
    nextAt = world.now() + STEP_MS;
    noteDisturbed();
    const core = coreCalm();
    for (const n of seen()) {
      if (n.version > 0) checkContent(n.name, n.version, textOf(n.configuration), valueIn(n.configuration));
      if (!n.serves) continue;
      forward(n);
      if (!n.core && n.version < newest.version)
        faultOnce(
          'inForce',
          `${n.name} ${newest.version}`,
          `${n.name} serves version ${n.version} though ${newest.version} was acknowledged`,
        );
      if (
        newestAgreed.version < 0 ||
        !core ||
        calmFor(n.name) < 2 * IN_FORCE_MS ||
        world.now() - newestAgreed.at < IN_FORCE_MS
      )
        continue;
      watched += STEP_MS;
      if (n.version < newestAgreed.version)
        faultOnce(
          'inForce',
          `${n.name} ${newestAgreed.version} late`,
          `${n.name} holds version ${n.version} more than 3 s after ${newestAgreed.version} was agreed`,
        );
    }
  }

  function refused(value: number): void {
    refusedValues.add(value);
    for (const n of seen())
      if (n.version > 0) checkContent(n.name, n.version, textOf(n.configuration), valueIn(n.configuration));
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
    for (const n of seen())
      if (!n.core && n.serves && n.version < version)
        fault('inForce', `${n.name} serves version ${n.version} though ${version} was acknowledged`);
  }
  function newestVersion(): number {
    return newest.version;
  }
  function read(who: string, floor: number, version: number, configuration: unknown): void {
    if (version < floor) fault('readBack', `${who} reads version ${version}, ${floor} was acknowledged before`);
    checkContent(who, version, canonical(configuration), valueIn(configuration));
    const value = values.get(version);
    if (value === undefined) return;
    const base = fleet.shape.configuration as { readonly deployment?: object };
    const whole = canonical({ ...base, deployment: { ...base.deployment, lineLimit: value } });
    if (canonical(configuration) !== whole)
      fault('readBack', `${who} reads a tree that is not the one acknowledged as version ${version}`);
  }
  function evacuated(zone: string): void {
    evacuations.push({ zone, from: world.now() + EVACUATION_MS, until: Infinity });
  }
  function restored(zone: string): void {
    for (const e of evacuations) if (e.zone === zone && e.until === Infinity) e.until = world.now();
  }

  function mostRunning(zone: string, model: string, sinceMs: number): number | null {
    const rm = settingsOf(model);
    if (sinceMs >= rm.rampS * 1_000) return null;
    const ramped = Math.max(1, Math.floor((rm.limit * sinceMs) / (rm.rampS * 1_000)));
    let near = 0;
    let far = 0;
    for (const s of fleet.proxies) {
      if (s.host.zone === zone) near += 1;
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
      for (const e of evacuations) {
        if (rec['zone'] === e.zone && came > e.from && came < e.until)
          fault('evacuated', `${requestId} reached ${worker} ${(came - e.from).toFixed(0)} ms too late`);
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
  for (const h of fleet.controllers) {
    const b = h.controller?.ledger.controlState();
    if (!b) continue;
    for (const [machine, key] of live) {
      if (!b.orders[key])
        fleet.violations.push({
          rule: 'accounted',
          detail: `machine ${machine} runs, but order ${key} is not open for ${h.name}`,
        });
    }
    const known = new Map<string, string>();
    for (const o of [...(h.controller?.ledger.closedOrders.all() ?? []), ...Object.values(b.orders)])
      known.set(o.id, o.events[0]?.author ?? '');
    for (const [key, machine] of ever)
      if (!known.get(key))
        fleet.violations.push({
          rule: 'accounted',
          detail: `${h.name} can't tell who ordered ${machine} (order ${key})`,
        });
  }
}

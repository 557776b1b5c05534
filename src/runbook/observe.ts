import type { Core } from '../operator/core.js';
import { coreObserved } from './observe-core.js';
import { ordersRequest, placeOf, readRequest, statusRequest } from '../operator/asks.js';
import type { Order } from '../state/order.js';
import { counts } from '../state/order.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { Condition } from './document.js';
import type { Observation } from './seen.js';

type Status = {
  readonly quorate: boolean;
  readonly writable: boolean;
  readonly claimsReady: boolean;
  readonly slot: number;
  readonly members: readonly { readonly name: string; readonly address: string }[];
  readonly nodes: readonly { readonly name: string; readonly status: string; readonly http: string }[];
  readonly evacuated: Readonly<Record<string, number>>;
  readonly proxies: Readonly<Record<string, { readonly slot: number; readonly heardMs: number | null }>>;
};

const HEARD_MS = 3_000;

const GRACE_MS = 3_000;
const LOOK_MS = 500;

/**
 * Looks again and again until the condition is met, or the time is up. With `heldMs` it must be met at every look
 * for so long, for what controllers tell may be moments old.
 */
export async function observeFor(
  core: Core,
  c: Condition,
  clock: Clock,
  graceMs = GRACE_MS,
  lookMs = LOOK_MS,
  heldMs = 0,
): Promise<Observation> {
  const until = clock.mono() + graceMs;
  let metSince: number | null = null;
  for (;;) {
    const observed = await observe(core, c);
    const now = clock.mono();
    metSince = observed.met ? (metSince ?? now) : null;
    if (metSince !== null && now - metSince >= heldMs) return observed;
    if (now >= until)
      return observed.met ? { met: false, text: `${observed.text}, not yet for ${heldMs / 1_000} s` } : observed;
    await delay(clock, lookMs);
  }
}

async function observe(core: Core, c: Condition): Promise<Observation> {
  if (c.tag === 'setting') return settingObserved(core, c.path, c.is);
  if (c.tag === 'ready' || c.tag === 'zoneOrders') return ordersObserved(core, c);
  if (c.tag === 'spareLosses' || c.tag === 'goesOnWithout') return coreObserved(core, c);
  const got = await core.request(statusRequest());
  if (!got || got.status !== 200) return { met: false, text: 'no controller answers' };
  const s = got.body as Status;
  switch (c.tag) {
    case 'quorate':
      return { met: s.quorate, text: s.quorate ? 'a majority is heard' : 'no majority is heard' };
    case 'writable':
    case 'claimsReady': {
      const own = await statusOf(core, s, c.name);
      if (!own) return { met: false, text: `${c.name} does not answer` };
      const met = c.tag === 'writable' ? own.writable : own.claimsReady;
      return {
        met,
        text: `${c.name} ${met ? 'is' : 'is not'} ${c.tag === 'writable' ? 'able to write' : 'ready for claims'}`,
      };
    }
    case 'proxiesConfirmed': {
      const late: string[] = [];
      for (const [name, x] of Object.entries(s.proxies))
        if (x.slot < s.slot || x.heardMs === null || x.heardMs > HEARD_MS) late.push(name);
      return {
        met: late.length === 0,
        text: late.length === 0 ? `all proxies stand at slot ${s.slot}` : `behind or silent: ${late.join(', ')}`,
      };
    }
    case 'node': {
      let status = 'unknown';
      for (const n of s.nodes) if (n.name === c.name) status = n.status;
      return { met: status === c.status, text: `${c.name} is ${status}` };
    }
    case 'member': {
      let at: string | null = null;
      for (const m of s.members) if (m.name === c.name) at = m.address;
      return {
        met: at !== null && (c.address === null || c.address === at),
        text: at === null ? `${c.name} is no member` : `${c.name} is a member at ${at}`,
      };
    }
    case 'evacuated': {
      const is = s.evacuated[c.zone] !== undefined;
      return { met: is === c.is, text: `${c.zone} is ${is ? '' : 'not '}evacuated` };
    }
  }
}

async function statusOf(core: Core, s: Status, name: string): Promise<Status | null> {
  for (const n of s.nodes) {
    if (n.name !== name) continue;
    const got = await core.requestAt(n.http, statusRequest());
    return got?.status === 200 ? (got.body as Status) : null;
  }
  return null;
}

async function ordersObserved(
  core: Core,
  c: Extract<Condition, { tag: 'ready' | 'zoneOrders' }>,
): Promise<Observation> {
  const got = await core.request(ordersRequest());
  if (!got || got.status !== 200) return { met: false, text: 'no controller answers' };
  const { orders } = got.body as { readonly orders: readonly Order[] };
  let n = 0;
  for (const o of orders) {
    if (c.tag === 'zoneOrders') n += o.zone === c.zone && (counts(o) || o.status === 'draining') ? 1 : 0;
    else n += o.model === c.model && o.status === 'ready' && (c.kind === null || c.kind === o.kind) ? 1 : 0;
  }
  if (c.tag === 'zoneOrders') return { met: n <= c.atMost, text: `${n} machines on order in ${c.zone}` };
  const met = (c.atLeast === null || n >= c.atLeast) && (c.atMost === null || n <= c.atMost);
  return { met, text: `${n} ${c.kind ?? ''} workers of ${c.model} ready`.replace('  ', ' ') };
}

async function settingObserved(core: Core, path: string, is: unknown): Promise<Observation> {
  const got = await core.request(readRequest());
  if (!got || got.status !== 200) return { met: false, text: 'no controller with a majority answers' };
  let at: unknown = (got.body as { readonly configuration: unknown }).configuration;
  for (const step of placeOf(path))
    at =
      typeof at === 'object' && at !== null && Object.hasOwn(at, step)
        ? (at as Record<string, unknown>)[step]
        : undefined;
  return {
    met: JSON.stringify(at) === JSON.stringify(is),
    text: `${path} is ${at === undefined ? 'not set' : JSON.stringify(at)}`,
  };
}

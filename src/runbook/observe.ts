/** Observes the conditions of runbooks on a deployment, through its controllers. */
import type { Core } from '../operator/core.js';
import { coreObserved } from './observe-core.js';
import { ordersRequest, placeOf, readRequest, statusRequest } from '../operator/requests.js';
import type { Order } from '../state/scaling/order.js';
import { counts } from '../state/scaling/order.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { Condition } from './document.js';
import type { Observation } from './observation.js';

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
  condition: Condition,
  clock: Clock,
  graceMs = GRACE_MS,
  lookMs = LOOK_MS,
  heldMs = 0,
): Promise<Observation> {
  const until = clock.mono() + graceMs;
  let metSince: number | null = null;
  for (;;) {
    const observed = await observe(core, condition);
    const now = clock.mono();
    metSince = observed.met ? (metSince ?? now) : null;
    if (metSince !== null && now - metSince >= heldMs) return observed;
    if (now >= until)
      return observed.met ? { met: false, text: `${observed.text}, not yet for ${heldMs / 1_000} s` } : observed;
    await delay(clock, lookMs);
  }
}

async function observe(core: Core, condition: Condition): Promise<Observation> {
  if (condition.tag === 'setting') return settingObserved(core, condition.path, condition.is);
  if (condition.tag === 'ready' || condition.tag === 'zoneOrders') return ordersObserved(core, condition);
  if (condition.tag === 'spareLosses' || condition.tag === 'goesOnWithout') return coreObserved(core, condition);
  const response = await core.request(statusRequest());
  if (!response || response.status !== 200) return { met: false, text: 'no controller answers' };
  const report = response.body as Status;
  switch (condition.tag) {
    case 'quorate':
      return { met: report.quorate, text: report.quorate ? 'a majority is heard' : 'no majority is heard' };
    case 'writable':
    case 'claimsReady': {
      const own = await statusOf(core, report, condition.name);
      if (!own) return { met: false, text: `${condition.name} does not answer` };
      const met = condition.tag === 'writable' ? own.writable : own.claimsReady;
      return {
        met,
        text: `${condition.name} ${met ? 'is' : 'is not'} ${condition.tag === 'writable' ? 'able to write' : 'ready for claims'}`,
      };
    }
    case 'proxiesConfirmed': {
      const late: string[] = [];
      for (const [name, item] of Object.entries(report.proxies))
        if (item.slot < report.slot || item.heardMs === null || item.heardMs > HEARD_MS) late.push(name);
      return {
        met: late.length === 0,
        text: late.length === 0 ? `all proxies stand at slot ${report.slot}` : `behind or silent: ${late.join(', ')}`,
      };
    }
    case 'node': {
      let status = 'unknown';
      for (const count of report.nodes) if (count.name === condition.name) status = count.status;
      return { met: status === condition.status, text: `${condition.name} is ${status}` };
    }
    case 'member': {
      let at: string | null = null;
      for (const match of report.members) if (match.name === condition.name) at = match.address;
      return {
        met: at !== null && (condition.address === null || condition.address === at),
        text: at === null ? `${condition.name} is no member` : `${condition.name} is a member at ${at}`,
      };
    }
    case 'evacuated': {
      const expected = report.evacuated[condition.zone] !== undefined;
      return { met: expected === condition.is, text: `${condition.zone} is ${expected ? '' : 'not '}evacuated` };
    }
  }
}

async function statusOf(core: Core, status: Status, name: string): Promise<Status | null> {
  for (const count of status.nodes) {
    if (count.name !== name) continue;
    const response = await core.requestAt(count.http, statusRequest());
    return response?.status === 200 ? (response.body as Status) : null;
  }
  return null;
}

async function ordersObserved(
  core: Core,
  comparison: Extract<Condition, { tag: 'ready' | 'zoneOrders' }>,
): Promise<Observation> {
  const response = await core.request(ordersRequest());
  if (!response || response.status !== 200) return { met: false, text: 'no controller answers' };
  const { orders } = response.body as { readonly orders: readonly Order[] };
  let count = 0;
  for (const order of orders) {
    if (comparison.tag === 'zoneOrders')
      count += order.zone === comparison.zone && (counts(order) || order.status === 'draining') ? 1 : 0;
    else
      count +=
        order.model === comparison.model &&
        order.status === 'ready' &&
        (comparison.kind === null || comparison.kind === order.kind)
          ? 1
          : 0;
  }
  if (comparison.tag === 'zoneOrders')
    return { met: count <= comparison.atMost, text: `${count} machines on order in ${comparison.zone}` };
  const met =
    (comparison.atLeast === null || count >= comparison.atLeast) &&
    (comparison.atMost === null || count <= comparison.atMost);
  return { met, text: `${count} ${comparison.kind ?? ''} workers of ${comparison.model} ready`.replace('  ', ' ') };
}

async function settingObserved(core: Core, path: string, expected: unknown): Promise<Observation> {
  const response = await core.request(readRequest());
  if (!response || response.status !== 200) return { met: false, text: 'no controller with a majority answers' };
  let at: unknown = (response.body as { readonly configuration: unknown }).configuration;
  for (const step of placeOf(path))
    at =
      typeof at === 'object' && at !== null && Object.hasOwn(at, step)
        ? (at as Record<string, unknown>)[step]
        : undefined;
  return {
    met: JSON.stringify(at) === JSON.stringify(expected),
    text: `${path} is ${at === undefined ? 'not set' : JSON.stringify(at)}`,
  };
}

/** Evaluates the conditions of runbooks on a deployment through its controllers. */
import type { CoreClient } from '../operator/core.js';
import { observeCore } from './observe-core.js';
import { ordersRequest, splitPath, readConfigurationRequest, statusRequest } from '../operator/requests.js';
import type { Order } from '../state/scaling/order.js';
import { countsTowardsTarget } from '../state/scaling/order.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { Condition } from './document.js';
import type { Observation } from './observation.js';
import { ownValue } from '../base/own-value.js';

type StatusReport = {
  readonly quorate: boolean;
  readonly writable: boolean;
  readonly claimsReady: boolean;
  readonly slot: number;
  readonly members: readonly { readonly name: string; readonly address: string }[];
  readonly nodes: readonly { readonly name: string; readonly status: string; readonly http: string }[];
  readonly evacuated: Readonly<Record<string, number>>;
  readonly proxies: Readonly<Record<string, { readonly slot: number; readonly heardMs: number | null }>>;
};

/** A proxy whose last contact is older than this does not count as confirmed. */
const MAX_CONTACT_AGE_MS = 3_000;

const DEFAULT_TIMEOUT_MS = 3_000;
const CHECK_INTERVAL_MS = 500;

/**
 * Evaluates the condition at intervals until it is met or the timeout expires. With `heldMs` it must be met at every
 * check for that long, because the state that controllers report may be slightly stale.
 */
export async function waitForCondition(
  core: CoreClient,
  condition: Condition,
  clock: Clock,
  timeoutMs = DEFAULT_TIMEOUT_MS,
  checkIntervalMs = CHECK_INTERVAL_MS,
  heldMs = 0,
): Promise<Observation> {
  const deadline = clock.mono() + timeoutMs;
  let metSince: number | null = null;
  for (;;) {
    const observation = await observe(core, condition);
    const now = clock.mono();
    metSince = observation.met ? (metSince ?? now) : null;
    if (metSince !== null && now - metSince >= heldMs) return observation;
    if (now >= deadline)
      return observation.met
        ? { met: false, text: `${observation.text}, but not for ${heldMs / 1_000} s yet` }
        : observation;
    await delay(clock, checkIntervalMs);
  }
}

async function observe(core: CoreClient, condition: Condition): Promise<Observation> {
  if (condition.tag === 'setting') return observeSetting(core, condition.path, condition.is);
  if (condition.tag === 'ready' || condition.tag === 'zoneOrders') return observeOrders(core, condition);
  if (condition.tag === 'spareLosses' || condition.tag === 'goesOnWithout') return observeCore(core, condition);
  const response = await core.request(statusRequest());
  if (!response || response.status !== 200) return { met: false, text: 'no controller answers' };
  const report = response.body as StatusReport;
  switch (condition.tag) {
    case 'quorate':
      return { met: report.quorate, text: report.quorate ? 'a majority is in contact' : 'no majority is in contact' };
    case 'writable':
    case 'claimsReady': {
      const nodeStatus = await requestNodeStatus(core, report, condition.name);
      if (!nodeStatus) return { met: false, text: `${condition.name} does not answer` };
      const met = condition.tag === 'writable' ? nodeStatus.writable : nodeStatus.claimsReady;
      return {
        met,
        text: `${condition.name} ${met ? 'is' : 'is not'} ${condition.tag === 'writable' ? 'able to write' : 'ready for claims'}`,
      };
    }
    case 'proxiesConfirmed': {
      const unconfirmed: string[] = [];
      for (const [name, proxy] of Object.entries(report.proxies))
        if (proxy.slot < report.slot || proxy.heardMs === null || proxy.heardMs > MAX_CONTACT_AGE_MS)
          unconfirmed.push(name);
      return {
        met: unconfirmed.length === 0,
        text:
          unconfirmed.length === 0
            ? `all proxies have confirmed slot ${report.slot}`
            : `behind or not in contact: ${unconfirmed.join(', ')}`,
      };
    }
    case 'node': {
      let status = 'unknown';
      for (const node of report.nodes) if (node.name === condition.name) status = node.status;
      return { met: status === condition.status, text: `${condition.name} is ${status}` };
    }
    case 'member': {
      let address: string | null = null;
      for (const member of report.members) if (member.name === condition.name) address = member.address;
      return {
        met: address !== null && (condition.address === null || condition.address === address),
        text: address === null ? `${condition.name} is not a member` : `${condition.name} is a member at ${address}`,
      };
    }
    case 'evacuated': {
      const isEvacuated = ownValue(report.evacuated, condition.zone) !== undefined;
      return { met: isEvacuated === condition.is, text: `${condition.zone} is ${isEvacuated ? '' : 'not '}evacuated` };
    }
  }
}

async function requestNodeStatus(core: CoreClient, status: StatusReport, name: string): Promise<StatusReport | null> {
  for (const node of status.nodes) {
    if (node.name !== name) continue;
    const response = await core.requestAt(node.http, statusRequest());
    return response?.status === 200 ? (response.body as StatusReport) : null;
  }
  return null;
}

async function observeOrders(
  core: CoreClient,
  condition: Extract<Condition, { tag: 'ready' | 'zoneOrders' }>,
): Promise<Observation> {
  const response = await core.request(ordersRequest());
  if (!response || response.status !== 200) return { met: false, text: 'no controller answers' };
  const { orders } = response.body as { readonly orders: readonly Order[] };
  let count = 0;
  for (const order of orders) {
    if (condition.tag === 'zoneOrders')
      count += order.zone === condition.zone && (countsTowardsTarget(order) || order.status === 'draining') ? 1 : 0;
    else
      count +=
        order.model === condition.model &&
        order.status === 'ready' &&
        (condition.kind === null || condition.kind === order.kind)
          ? 1
          : 0;
  }
  if (condition.tag === 'zoneOrders')
    return { met: count <= condition.atMost, text: `${count} machines on order in ${condition.zone}` };
  const met =
    (condition.atLeast === null || count >= condition.atLeast) &&
    (condition.atMost === null || count <= condition.atMost);
  return { met, text: `${count} ${condition.kind ?? ''} workers of ${condition.model} ready`.replace('  ', ' ') };
}

async function observeSetting(core: CoreClient, path: string, expected: unknown): Promise<Observation> {
  const response = await core.request(readConfigurationRequest());
  if (!response || response.status !== 200) return { met: false, text: 'no controller with a majority answers' };
  let value: unknown = (response.body as { readonly configuration: unknown }).configuration;
  for (const key of splitPath(path))
    value =
      typeof value === 'object' && value !== null && Object.hasOwn(value, key)
        ? ownValue(value as Record<string, unknown>, key)
        : undefined;
  return {
    met: JSON.stringify(value) === JSON.stringify(expected),
    text: `${path} is ${value === undefined ? 'not set' : JSON.stringify(value)}`,
  };
}

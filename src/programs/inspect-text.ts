/** What the read-only command prints for people: status, orders, entries of the ledger, and service-level aims. */
import type { LatencyTargetRow } from '../state/configuration/latency-target-report.js';
import type { CoreHealth } from '../state/membership/core-health.js';
import type { Order } from '../state/scaling/order.js';
import { ownStatusText } from './core-text.js';

type ShownNode = {
  readonly name: string;
  readonly role: string;
  readonly zone: string;
  readonly status: string;
  readonly address: string;
};
type ShownProxy = {
  readonly slot: number | null;
  readonly heardMs: number | null;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
};
type ShownOrder = {
  readonly id: string;
  readonly model: string;
  readonly zone: string;
  readonly kind: string;
  readonly status: string;
  readonly machine: string | null;
};
type ShownZoneSets = { readonly active: readonly string[]; readonly preemptive: readonly string[] };

type Status = {
  readonly name: string;
  readonly ledger: string;
  readonly slot: number;
  readonly version: number;
  readonly quorate: boolean;
  readonly writable: boolean;
  /** Missing in answers of older controllers. */
  readonly core?: { readonly ledger: CoreHealth; readonly claims: CoreHealth | null };
  readonly nodes: readonly ShownNode[];
  readonly leases: Readonly<Record<string, { readonly holder: string; readonly fence: number }>>;
  readonly evacuated: Readonly<Record<string, number>>;
  readonly zoneSets: Readonly<Record<string, ShownZoneSets>>;
  readonly targets: Readonly<Record<string, number>>;
  readonly proxies: Readonly<Record<string, ShownProxy>>;
  readonly workers: Readonly<Record<string, { readonly fit: number; readonly unfit: number }>>;
  readonly ordersInFlight: readonly ShownOrder[];
};

function pad(value: string | number | boolean | null | undefined, width: number): string {
  return String(value ?? '-').padEnd(width);
}

function byName(left: { readonly name: string }, right: { readonly name: string }): number {
  return left.name < right.name ? -1 : 1;
}

function headRows(status: Status): string[] {
  const ledger = `ledger ${status.ledger || 'not bootstrapped'}, slot ${status.slot}, version ${status.version}`;
  const contact = status.quorate ? 'quorate' : 'no majority';
  const rows = [`${status.name}: ${ledger}, ${contact}, ${status.writable ? 'writable' : 'cannot write'}`];
  if (status.core) rows.push(`core: ${ownStatusText(status.core.ledger)}`);
  if (status.core?.claims) rows.push(`claims: ${ownStatusText(status.core.claims)}`);
  return rows;
}

function nodeRows(status: Status): string[] {
  const rows = ['nodes'];
  for (const node of [...status.nodes].sort(byName)) {
    const location = `${pad(node.name, 14)}${pad(node.role, 12)}${pad(node.zone, 12)}`;
    rows.push(`  ${location}${pad(node.status, 9)}${node.address}`);
  }
  for (const [duty, lease] of Object.entries(status.leases))
    rows.push(`duty ${duty}: ${lease.holder}, fence ${lease.fence}`);
  return rows;
}

function modelRows(status: Status): string[] {
  const rows = [`evacuated: ${Object.keys(status.evacuated).join(', ') || 'none'}`];
  for (const [model, zones] of Object.entries(status.zoneSets)) {
    const target = `model ${pad(model, 18)} target ${pad(status.targets[model], 4)}`;
    rows.push(`${target} active ${zones.active.join(',') || '-'} preemptive ${zones.preemptive.join(',') || '-'}`);
  }
  return rows;
}

function proxyRows(status: Status): string[] {
  const rows = ['proxies'];
  for (const [name, proxy] of Object.entries(status.proxies)) {
    const sinceContact = proxy.heardMs === null ? '-' : `${proxy.heardMs}ms`;
    const status = `${pad(name, 14)} slot ${pad(proxy.slot, 7)} heard ${pad(sinceContact, 8)}`;
    const counts = `dispatched ${pad(proxy.attempted, 8)} retried ${pad(proxy.retried, 6)} shed ${proxy.shed ?? '-'}`;
    rows.push(`  ${status} ${counts}`);
  }
  return rows;
}

function workerRows(status: Status): string[] {
  const rows = ['workers, as the proxies find them'];
  for (const [id, verdicts] of Object.entries(status.workers).sort())
    rows.push(`  ${pad(id, 20)} fit for ${pad(verdicts.fit, 4)} unfit for ${verdicts.unfit}`);
  return rows;
}

function orderText(order: ShownOrder): string {
  return `${order.id} ${order.model} ${order.kind} in ${order.zone}: ${order.status}, machine ${order.machine ?? '-'}`;
}

/** The status of a controller, as lines. */
export function statusText(body: unknown): string {
  const status = body as Status;
  const rows = [...headRows(status), ...nodeRows(status), ...modelRows(status), ...proxyRows(status)];
  rows.push(...workerRows(status), `orders in flight: ${status.ordersInFlight.length}`);
  for (const order of status.ordersInFlight) rows.push(`  ${orderText(order)}`);
  return rows.join('\n');
}

/** Orders, newest last, as lines. */
export function ordersText(body: unknown): string {
  const { orders } = body as { readonly orders: readonly Order[] };
  const rows: string[] = [];
  for (const order of orders) {
    rows.push(orderText(order));
    for (const event of order.events) {
      const when = `${new Date(event.wall).toISOString()} slot ${event.slot}`;
      rows.push(`  ${when} ${pad(event.status, 9)} by ${event.author} (fence ${event.fence}): ${event.cause}`);
    }
  }
  return rows.join('\n') || 'No orders.';
}

type ShownStep = { readonly cause: string; readonly act: { readonly tag: string } };
type ShownEntry = ShownStep & {
  readonly author: string;
  readonly wall: number;
  readonly act: { readonly tag: string; readonly steps?: readonly ShownStep[] };
};
type ShownBatch = { readonly slot: number; readonly batch: { readonly entries: readonly ShownEntry[] } };

function entryRows(slot: number, entry: ShownEntry): string[] {
  const when = `${pad(slot, 6)} ${new Date(entry.wall).toISOString()}`;
  const rows = [`${when} ${pad(entry.author, 12)} ${pad(entry.act.tag, 16)} ${entry.cause}`];
  for (const step of entry.act.steps ?? []) rows.push(`${' '.repeat(32)} ${pad(step.act.tag, 16)} ${step.cause}`);
  return rows;
}

/** Entries of the ledger, as lines. */
export function ledgerText(body: unknown): string {
  const { batches } = body as { readonly batches: readonly ShownBatch[] };
  const rows: string[] = [];
  for (const { slot, batch } of batches) for (const entry of batch.entries) rows.push(...entryRows(slot, entry));
  return rows.join('\n');
}

function percent(share: number | null): string {
  return share === null ? '-' : `${(share * 100).toFixed(2)} %`;
}

/** A report on service-level targets, as lines. */
export function latencyTargetsText(latencyTargets: readonly LatencyTargetRow[]): string {
  const rows: string[] = [];
  for (const target of latencyTargets) {
    const attained = `attained ${pad(percent(target.attained), 9)} of ${pad(percent(target.objective), 9)}`;
    const use = `burn rate ${target.burnRate === null ? '-' : target.burnRate.toFixed(2)}`;
    const budget = `${pad(`${target.bad} bad of ${target.events}`, 18)} budget left ${pad(percent(target.budgetLeft), 10)}`;
    rows.push(`${pad(target.name, 28)} ${pad(target.state, 8)} ${attained} ${budget} ${use}`);
    if (target.unknownMinutes === 0) continue;
    const orders = target.unknownOf.length > 0 ? `: ${target.unknownOf.join(', ')}` : '';
    rows.push(`  ${target.unknownMinutes} of ${target.unknownMinutes + target.knownMinutes} minutes unknown${orders}`);
  }
  return rows.join('\n');
}

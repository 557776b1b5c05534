/** Formats the status, orders, log entries and service-level targets that `millfield inspect` prints. */
import type { LatencyTargetRow } from '../state/configuration/latency-target-report.js';
import type { CoreHealth } from '../state/membership/core-health.js';
import type { Order } from '../state/scaling/order.js';
import { ownStatusText } from './core-text.js';
import { ownValue } from '../base/own-value.js';

type NodeSummary = {
  readonly name: string;
  readonly role: string;
  readonly zone: string;
  readonly status: string;
  readonly address: string;
};
type ProxySummary = {
  readonly slot: number | null;
  readonly heardMs: number | null;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
};
type OrderSummary = {
  readonly id: string;
  readonly model: string;
  readonly zone: string;
  readonly kind: string;
  readonly status: string;
  readonly machine: string | null;
};
type ZoneSetsSummary = { readonly active: readonly string[]; readonly preemptive: readonly string[] };

type Status = {
  readonly name: string;
  readonly ledger: string;
  readonly slot: number;
  readonly version: number;
  readonly quorate: boolean;
  readonly writable: boolean;
  /** Missing in responses of older controllers. */
  readonly core?: { readonly ledger: CoreHealth; readonly claims: CoreHealth | null };
  readonly nodes: readonly NodeSummary[];
  readonly leases: Readonly<Record<string, { readonly holder: string; readonly fence: number }>>;
  readonly evacuated: Readonly<Record<string, number>>;
  readonly zoneSets: Readonly<Record<string, ZoneSetsSummary>>;
  readonly targets: Readonly<Record<string, number>>;
  readonly proxies: Readonly<Record<string, ProxySummary>>;
  readonly workers: Readonly<Record<string, { readonly fit: number; readonly unfit: number }>>;
  readonly ordersInFlight: readonly OrderSummary[];
};

function pad(value: string | number | boolean | null | undefined, width: number): string {
  return String(value ?? '-').padEnd(width);
}

function compareByName(left: { readonly name: string }, right: { readonly name: string }): number {
  return left.name < right.name ? -1 : 1;
}

function headRows(status: Status): string[] {
  const ledger = `ledger ${status.ledger || 'not bootstrapped'}, slot ${status.slot}, version ${status.version}`;
  const quorum = status.quorate ? 'quorate' : 'no majority';
  const rows = [`${status.name}: ${ledger}, ${quorum}, ${status.writable ? 'writable' : 'cannot write'}`];
  if (status.core) rows.push(`core: ${ownStatusText(status.core.ledger)}`);
  if (status.core?.claims) rows.push(`claims: ${ownStatusText(status.core.claims)}`);
  return rows;
}

function nodeRows(status: Status): string[] {
  const rows = ['nodes'];
  for (const node of [...status.nodes].sort(compareByName)) {
    const location = `${pad(node.name, 14)}${pad(node.role, 12)}${pad(node.zone, 12)}`;
    rows.push(`  ${location}${pad(node.status, 9)}${node.address}`);
  }
  for (const [role, lease] of Object.entries(status.leases))
    rows.push(`lease ${role}: ${lease.holder}, fence ${lease.fence}`);
  return rows;
}

function modelRows(status: Status): string[] {
  const rows = [`evacuated: ${Object.keys(status.evacuated).join(', ') || 'none'}`];
  for (const [model, zones] of Object.entries(status.zoneSets)) {
    const target = `model ${pad(model, 18)} target ${pad(ownValue(status.targets, model), 4)}`;
    rows.push(`${target} active ${zones.active.join(',') || '-'} preemptive ${zones.preemptive.join(',') || '-'}`);
  }
  return rows;
}

function proxyRows(status: Status): string[] {
  const rows = ['proxies'];
  for (const [name, proxy] of Object.entries(status.proxies)) {
    const sinceContact = proxy.heardMs === null ? '-' : `${proxy.heardMs}ms`;
    const contact = `${pad(name, 14)} slot ${pad(proxy.slot, 7)} last contact ${pad(sinceContact, 8)}`;
    const counts = `dispatched ${pad(proxy.attempted, 8)} retried ${pad(proxy.retried, 6)} rejected ${proxy.shed ?? '-'}`;
    rows.push(`  ${contact} ${counts}`);
  }
  return rows;
}

function workerRows(status: Status): string[] {
  const rows = ['workers, as seen by the proxies'];
  for (const [id, counts] of Object.entries(status.workers).sort())
    rows.push(`  ${pad(id, 20)} healthy for ${pad(counts.fit, 4)} unhealthy for ${counts.unfit}`);
  return rows;
}

function orderText(order: OrderSummary): string {
  return `${order.id} ${order.model} ${order.kind} in ${order.zone}: ${order.status}, machine ${order.machine ?? '-'}`;
}

/** Formats the status of a controller. */
export function statusText(body: unknown): string {
  const status = body as Status;
  const rows = [...headRows(status), ...nodeRows(status), ...modelRows(status), ...proxyRows(status)];
  rows.push(...workerRows(status), `orders in flight: ${status.ordersInFlight.length}`);
  for (const order of status.ordersInFlight) rows.push(`  ${orderText(order)}`);
  return rows.join('\n');
}

/** Formats orders with their events, in the order of the response. */
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

type StepSummary = { readonly cause: string; readonly act: { readonly tag: string } };
type EntrySummary = StepSummary & {
  readonly author: string;
  readonly wall: number;
  readonly act: { readonly tag: string; readonly steps?: readonly StepSummary[] };
};
type BatchSummary = { readonly slot: number; readonly batch: { readonly entries: readonly EntrySummary[] } };

function entryRows(slot: number, entry: EntrySummary): string[] {
  const when = `${pad(slot, 6)} ${new Date(entry.wall).toISOString()}`;
  const rows = [`${when} ${pad(entry.author, 12)} ${pad(entry.act.tag, 16)} ${entry.cause}`];
  for (const step of entry.act.steps ?? []) rows.push(`${' '.repeat(32)} ${pad(step.act.tag, 16)} ${step.cause}`);
  return rows;
}

/** Formats entries of the replicated log. */
export function ledgerText(body: unknown): string {
  const { batches } = body as { readonly batches: readonly BatchSummary[] };
  const rows: string[] = [];
  for (const { slot, batch } of batches) for (const entry of batch.entries) rows.push(...entryRows(slot, entry));
  return rows.join('\n');
}

function percent(share: number | null): string {
  return share === null ? '-' : `${(share * 100).toFixed(2)} %`;
}

/** Formats a report on service-level targets. */
export function latencyTargetsText(latencyTargets: readonly LatencyTargetRow[]): string {
  const rows: string[] = [];
  for (const target of latencyTargets) {
    const attained = `attained ${pad(percent(target.attained), 9)} of ${pad(percent(target.objective), 9)}`;
    const burnRate = `burn rate ${target.burnRate === null ? '-' : target.burnRate.toFixed(2)}`;
    const budget = `${pad(`${target.bad} bad of ${target.events}`, 18)} budget left ${pad(percent(target.budgetLeft), 10)}`;
    rows.push(`${pad(target.name, 28)} ${pad(target.state, 8)} ${attained} ${budget} ${burnRate}`);
    if (target.unknownMinutes === 0) continue;
    const reporters = target.unknownOf.length > 0 ? `: ${target.unknownOf.join(', ')}` : '';
    rows.push(
      `  ${target.unknownMinutes} of ${target.unknownMinutes + target.knownMinutes} minutes unknown${reporters}`,
    );
  }
  return rows.join('\n');
}

import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import type { Order } from '../state/order.js';
import { readAims } from '../protocol/aims.js';
import type { AimRow } from '../state/aim-report.js';
import type { Configuration } from '../state/settings-tree.js';
import { askCoreReport } from '../operator/core-report.js';
import { reportAims } from '../operator/aims.js';
import type { CoreHealth } from '../state/core-health.js';
import { ledgerAsk, ordersAsk, readAsk, statusAsk } from '../operator/asks.js';
import type { CoreAsk } from '../operator/asks.js';
import { addressesOf, coreOf, CORE_ARGS, report } from './ask-core.js';
import { EXIT } from './exit-codes.js';
import { complain, flagsFit, leave, leaveUsage, say } from './flags.js';
import { coreText, ownWordText } from './core-text.js';
import { readDocument } from './read-document.js';

type Ctx = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function textOf(ctx: Ctx, key: string): string | undefined {
  const v = ctx.args[key];
  return typeof v === 'string' ? v : undefined;
}

function pad(s: string | number | boolean | null | undefined, n: number): string {
  return String(s ?? '-').padEnd(n);
}

type Status = {
  readonly name: string;
  readonly ledger: string;
  readonly slot: number;
  readonly version: number;
  readonly quorate: boolean;
  readonly writable: boolean;
  readonly core?: { readonly ledger: CoreHealth; readonly claims: CoreHealth | null };
  readonly members: readonly { readonly name: string; readonly incarnation: string; readonly address: string }[];
  readonly nodes: readonly {
    readonly name: string;
    readonly role: string;
    readonly zone: string;
    readonly status: string;
    readonly address: string;
  }[];
  readonly leases: Readonly<Record<string, { readonly holder: string; readonly fence: number }>>;
  readonly evacuated: Readonly<Record<string, number>>;
  readonly zoneSets: Readonly<
    Record<string, { readonly active: readonly string[]; readonly preemptive: readonly string[] }>
  >;
  readonly targets: Readonly<Record<string, number>>;
  readonly proxies: Readonly<
    Record<
      string,
      {
        readonly slot: number | null;
        readonly heardMs: number | null;
        readonly shed: number;
        readonly attempted: number;
        readonly retried: number;
      }
    >
  >;
  readonly workers: Readonly<Record<string, { readonly fit: number; readonly unfit: number }>>;
  readonly ordersInFlight: readonly {
    readonly id: string;
    readonly model: string;
    readonly zone: string;
    readonly kind: string;
    readonly status: string;
    readonly machine: string | null;
  }[];
};

function statusText(body: unknown): string {
  const s = body as Status;
  const rows = [
    `${s.name}: ledger ${s.ledger || 'not bootstrapped'}, slot ${s.slot}, version ${s.version}, ${s.quorate ? 'quorate' : 'no majority'}, ${s.writable ? 'writable' : 'cannot write'}`,
  ];
  if (s.core) rows.push(`core: ${ownWordText(s.core.ledger)}`);
  if (s.core?.claims) rows.push(`claims: ${ownWordText(s.core.claims)}`);
  rows.push('nodes');
  for (const n of [...s.nodes].sort(byName))
    rows.push(`  ${pad(n.name, 14)}${pad(n.role, 10)}${pad(n.zone, 12)}${pad(n.status, 9)}${n.address}`);
  for (const [duty, l] of Object.entries(s.leases)) rows.push(`duty ${duty}: ${l.holder}, fence ${l.fence}`);
  rows.push(`evacuated: ${Object.keys(s.evacuated).join(', ') || 'none'}`);
  for (const [model, z] of Object.entries(s.zoneSets)) {
    rows.push(
      `model ${pad(model, 18)} target ${pad(s.targets[model], 4)} active ${z.active.join(',') || '-'} preemptive ${z.preemptive.join(',') || '-'}`,
    );
  }
  rows.push('proxies');
  for (const [name, x] of Object.entries(s.proxies)) {
    rows.push(
      `  ${pad(name, 14)} slot ${pad(x.slot, 7)} heard ${pad(x.heardMs === null ? '-' : `${x.heardMs}ms`, 8)} dispatched ${pad(x.attempted, 8)} retried ${pad(x.retried, 6)} shed ${x.shed ?? '-'}`,
    );
  }
  rows.push('workers, as the proxies find them');
  for (const [id, w] of Object.entries(s.workers).sort())
    rows.push(`  ${pad(id, 20)} fit for ${pad(w.fit, 4)} unfit for ${w.unfit}`);
  rows.push(`orders in flight: ${s.ordersInFlight.length}`);
  for (const o of s.ordersInFlight)
    rows.push(`  ${o.id} ${o.model} ${o.kind} in ${o.zone}: ${o.status}, machine ${o.machine ?? '-'}`);
  return rows.join('\n');
}
function byName(a: { readonly name: string }, b: { readonly name: string }): number {
  return a.name < b.name ? -1 : 1;
}

export function ordersText(body: unknown): string {
  const b = body as { readonly orders: readonly Order[] };
  const rows: string[] = [];
  for (const o of b.orders) {
    rows.push(`${o.id} ${o.model} ${o.kind} in ${o.zone}: ${o.status}, machine ${o.machine ?? '-'}`);
    for (const e of o.events)
      rows.push(
        `  ${new Date(e.wall).toISOString()} slot ${e.slot} ${pad(e.status, 9)} by ${e.author} (fence ${e.fence}): ${e.cause}`,
      );
  }
  return rows.join('\n') || 'No orders.';
}

type ShownStep = { readonly cause: string; readonly act: { readonly tag: string } };
type ShownEntry = ShownStep & {
  readonly author: string;
  readonly wall: number;
  readonly act: { readonly tag: string; readonly steps?: readonly ShownStep[] };
};

export function ledgerText(body: unknown): string {
  const b = body as {
    readonly batches: readonly { readonly slot: number; readonly batch: { readonly entries: readonly ShownEntry[] } }[];
  };
  const rows: string[] = [];
  for (const s of b.batches) {
    for (const e of s.batch.entries) {
      rows.push(
        `${pad(s.slot, 6)} ${new Date(e.wall).toISOString()} ${pad(e.author, 12)} ${pad(e.act.tag, 16)} ${e.cause}`,
      );
      for (const step of e.act.steps ?? []) rows.push(`${' '.repeat(32)} ${pad(step.act.tag, 16)} ${step.cause}`);
    }
  }
  return rows.join('\n');
}

async function show(ctx: Ctx, defs: ArgsDef, ask: CoreAsk, readable: (body: unknown) => string): Promise<void> {
  if (!flagsFit(ctx.rawArgs, defs)) return leaveUsage();
  report(await coreOf(ctx.args).ask(ask), ctx.args['json'] === true, readable);
}

const ORDER_ARGS = {
  ...CORE_ARGS,
  model: { type: 'string', description: 'Only this model' },
} as const satisfies ArgsDef;
const LEDGER_ARGS = {
  ...CORE_ARGS,
  from: { type: 'string', description: 'First slot to show', default: '0' },
} as const satisfies ArgsDef;

function runStatus(ctx: Ctx): Promise<void> {
  return show(ctx, CORE_ARGS, statusAsk(), statusText);
}
function runOrders(ctx: Ctx): Promise<void> {
  return show(ctx, ORDER_ARGS, ordersAsk(textOf(ctx, 'model')), ordersText);
}
function runLedger(ctx: Ctx): Promise<void> {
  return show(ctx, LEDGER_ARGS, ledgerAsk(textOf(ctx, 'from') ?? '0'), ledgerText);
}

const AIMS_ARGS = {
  ...CORE_ARGS,
  file: { type: 'positional', description: 'Document of service-level aims (YAML or JSON)', required: true },
} as const satisfies ArgsDef;

function percent(share: number | null): string {
  return share === null ? '-' : `${(share * 100).toFixed(2)} %`;
}
function aimsText(rows: readonly AimRow[]): string {
  const out: string[] = [];
  for (const r of rows) {
    out.push(
      `${pad(r.name, 28)} ${pad(r.state, 8)} attained ${pad(percent(r.attained), 9)} of ${pad(percent(r.objective), 9)} ${pad(`${r.bad} bad of ${r.events}`, 18)} budget left ${pad(percent(r.budgetLeft), 10)} burn rate ${r.burnRate === null ? '-' : r.burnRate.toFixed(2)}`,
    );
    if (r.unknownMinutes > 0)
      out.push(
        `  ${r.unknownMinutes} of ${r.unknownMinutes + r.knownMinutes} minutes unknown${r.unknownOf.length > 0 ? `: ${r.unknownOf.join(', ')}` : ''}`,
      );
  }
  return out.join('\n');
}

async function runAims(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, AIMS_ARGS)) return leaveUsage();
  const file = textOf(ctx, 'file') ?? '';
  const doc = readDocument(file);
  if (!doc.ok) {
    complain(`file: expected YAML or JSON at ${JSON.stringify(file)}; found ${doc.fault}`);
    return leaveUsage();
  }
  const core = coreOf(ctx.args);
  const read = await core.ask(readAsk());
  if (read?.status !== 200) return noMajority();
  const aims = readAims(doc.value, (read.body as { readonly configuration: Configuration }).configuration);
  if (!aims.ok) {
    for (const f of aims.fault) complain(`${f.path}: expected ${f.expected}; found ${f.found}`);
    return leaveUsage();
  }
  const rows = await reportAims(core, addressesOf(ctx.args), aims.value);
  if (!rows) return noMajority();
  say(ctx.args['json'] === true ? JSON.stringify(rows, null, 2) : aimsText(rows));
}
function noMajority(): void {
  complain('No controller with a majority answered; nothing is reported.');
  leave(EXIT.unreachable);
}

async function runCore(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, CORE_ARGS)) return leaveUsage();
  const told = await askCoreReport(coreOf(ctx.args));
  if (!told) return noMajority();
  say(ctx.args['json'] === true ? JSON.stringify(told, null, 2) : coreText(told));
  if (told.ledger.spareLosses === null) leave(EXIT.unreachable);
}

export const inspectCommand = defineCommand({
  meta: { name: 'inspect', description: 'Reads the state of the deployment; changes nothing' },
  subCommands: {
    status: defineCommand({
      meta: { name: 'status', description: 'Nodes, duties, zone sets, proxies' },
      args: CORE_ARGS,
      run: runStatus,
    }),
    core: defineCommand({
      meta: { name: 'core', description: 'Members of the core, and how many further losses it bears' },
      args: CORE_ARGS,
      run: runCore,
    }),
    orders: defineCommand({
      meta: { name: 'orders', description: 'Who ordered what, and why' },
      args: ORDER_ARGS,
      run: runOrders,
    }),
    aims: defineCommand({
      meta: { name: 'aims', description: 'Service-level aims of a document against what the nodes counted' },
      args: AIMS_ARGS,
      run: runAims,
    }),
    ledger: defineCommand({
      meta: { name: 'ledger', description: 'Entries of the ledger' },
      args: LEDGER_ARGS,
      run: runLedger,
    }),
  },
});

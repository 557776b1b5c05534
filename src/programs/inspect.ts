/** The read-only command: asks controllers what they know, and prints it as a table or as JSON. It changes nothing. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { readLatencyTargets } from '../protocol/latency-targets.js';
import type { Configuration } from '../state/configuration/settings-tree.js';
import { requestCoreReport } from '../operator/core-report.js';
import { reportLatencyTargets } from '../operator/latency-targets.js';
import { ledgerRequest, ordersRequest, readRequest, statusRequest } from '../operator/requests.js';
import type { CoreRequest } from '../operator/requests.js';
import { addressesOf, coreOf, CORE_ARGS, report } from './request-core.js';
import { EXIT } from './exit-codes.js';
import { complain, flagsFit, leave, leaveUsage, say } from './flags.js';
import { coreText } from './core-text.js';
import { latencyTargetsText, ledgerText, ordersText, statusText } from './inspect-text.js';
import { readDocument } from './read-document.js';

type Ctx = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function textOf(ctx: Ctx, key: string): string | undefined {
  const value = ctx.args[key];
  return typeof value === 'string' ? value : undefined;
}

async function show(ctx: Ctx, defs: ArgsDef, request: CoreRequest, readable: (body: unknown) => string): Promise<void> {
  if (!flagsFit(ctx.rawArgs, defs)) return leaveUsage();
  report(await coreOf(ctx.args).request(request), ctx.args['json'] === true, readable);
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
  return show(ctx, CORE_ARGS, statusRequest(), statusText);
}
function runOrders(ctx: Ctx): Promise<void> {
  return show(ctx, ORDER_ARGS, ordersRequest(textOf(ctx, 'model')), ordersText);
}
function runLedger(ctx: Ctx): Promise<void> {
  return show(ctx, LEDGER_ARGS, ledgerRequest(textOf(ctx, 'from') ?? '0'), ledgerText);
}

const AIMS_ARGS = {
  ...CORE_ARGS,
  file: { type: 'positional', description: 'Document of service-level aims (YAML or JSON)', required: true },
} as const satisfies ArgsDef;

async function runLatencyTargets(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, AIMS_ARGS)) return leaveUsage();
  const file = textOf(ctx, 'file') ?? '';
  const doc = readDocument(file);
  if (!doc.ok) {
    complain(`file: expected YAML or JSON at ${JSON.stringify(file)}; found ${doc.error}`);
    return leaveUsage();
  }
  const core = coreOf(ctx.args);
  const read = await core.request(readRequest());
  if (read?.status !== 200) return noMajority();
  const latencyTargets = readLatencyTargets(
    doc.value,
    (read.body as { readonly configuration: Configuration }).configuration,
  );
  if (!latencyTargets.ok) {
    for (const error of latencyTargets.error)
      complain(`${error.path}: expected ${error.expected}; found ${error.found}`);
    return leaveUsage();
  }
  const rows = await reportLatencyTargets(core, addressesOf(ctx.args), latencyTargets.value);
  if (!rows) return noMajority();
  say(ctx.args['json'] === true ? JSON.stringify(rows, null, 2) : latencyTargetsText(rows));
}
function noMajority(): void {
  complain('No controller with a majority answered; nothing is reported.');
  leave(EXIT.unreachable);
}

async function runCore(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, CORE_ARGS)) return leaveUsage();
  const answers = await requestCoreReport(coreOf(ctx.args));
  if (!answers) return noMajority();
  say(ctx.args['json'] === true ? JSON.stringify(answers, null, 2) : coreText(answers));
  if (answers.ledger.spareLosses === null) leave(EXIT.unreachable);
}

/** The command and its verbs. */
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
      run: runLatencyTargets,
    }),
    ledger: defineCommand({
      meta: { name: 'ledger', description: 'Entries of the ledger' },
      args: LEDGER_ARGS,
      run: runLedger,
    }),
  },
});

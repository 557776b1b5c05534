/** Command `millfield inspect`: reads state from the controllers and prints it as text or JSON. It changes nothing. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { readLatencyTargets } from '../protocol/latency-targets.js';
import type { Configuration } from '../state/configuration/settings-tree.js';
import { requestCoreReport } from '../operator/core-report.js';
import { reportLatencyTargets } from '../operator/latency-targets.js';
import { ledgerRequest, ordersRequest, readConfigurationRequest, statusRequest } from '../operator/requests.js';
import type { CoreRequest } from '../operator/requests.js';
import { controllerAddresses, coreClientOf, CORE_ARGS, printResponse } from './request-core.js';
import { EXIT } from './exit-codes.js';
import { printError, areFlagsValid, setExitCode, setUsageExitCode, printLine } from './flags.js';
import { coreText } from './core-text.js';
import { latencyTargetsText, ledgerText, ordersText, statusText } from './inspect-text.js';
import { readDocument } from './read-document.js';
import { ownValue } from '../base/own-value.js';

type CommandContext = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function stringArg(ctx: CommandContext, key: string): string | undefined {
  const value = ownValue(ctx.args, key);
  return typeof value === 'string' ? value : undefined;
}

async function requestAndPrint(
  ctx: CommandContext,
  defs: ArgsDef,
  request: CoreRequest,
  format: (body: unknown) => string,
): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, defs)) return setUsageExitCode();
  printResponse(await coreClientOf(ctx.args).request(request), ctx.args['json'] === true, format);
}

const ORDER_ARGS = {
  ...CORE_ARGS,
  model: { type: 'string', description: 'Only this model' },
} as const satisfies ArgsDef;
const LEDGER_ARGS = {
  ...CORE_ARGS,
  from: { type: 'string', description: 'First slot to show', default: '0' },
} as const satisfies ArgsDef;

function runStatus(ctx: CommandContext): Promise<void> {
  return requestAndPrint(ctx, CORE_ARGS, statusRequest(), statusText);
}
function runOrders(ctx: CommandContext): Promise<void> {
  return requestAndPrint(ctx, ORDER_ARGS, ordersRequest(stringArg(ctx, 'model')), ordersText);
}
function runLedger(ctx: CommandContext): Promise<void> {
  return requestAndPrint(ctx, LEDGER_ARGS, ledgerRequest(stringArg(ctx, 'from') ?? '0'), ledgerText);
}

const LATENCY_TARGETS_ARGS = {
  ...CORE_ARGS,
  file: { type: 'positional', description: 'Document of service-level targets (YAML or JSON)', required: true },
} as const satisfies ArgsDef;

async function runLatencyTargets(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, LATENCY_TARGETS_ARGS)) return setUsageExitCode();
  const file = stringArg(ctx, 'file') ?? '';
  const document = readDocument(file);
  if (!document.ok) {
    printError(`file: expected YAML or JSON at ${JSON.stringify(file)}; found ${document.error}`);
    return setUsageExitCode();
  }
  const core = coreClientOf(ctx.args);
  const response = await core.request(readConfigurationRequest());
  if (response?.status !== 200) return reportNoMajority();
  const latencyTargets = readLatencyTargets(
    document.value,
    (response.body as { readonly configuration: Configuration }).configuration,
  );
  if (!latencyTargets.ok) {
    for (const error of latencyTargets.error)
      printError(`${error.path}: expected ${error.expected}; found ${error.found}`);
    return setUsageExitCode();
  }
  const rows = await reportLatencyTargets(core, controllerAddresses(ctx.args), latencyTargets.value);
  if (!rows) return reportNoMajority();
  printLine(ctx.args['json'] === true ? JSON.stringify(rows, null, 2) : latencyTargetsText(rows));
}
function reportNoMajority(): void {
  printError('No controller with a majority responded; nothing is reported.');
  setExitCode(EXIT.unreachable);
}

async function runCore(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, CORE_ARGS)) return setUsageExitCode();
  const coreReport = await requestCoreReport(coreClientOf(ctx.args));
  if (!coreReport) return reportNoMajority();
  printLine(ctx.args['json'] === true ? JSON.stringify(coreReport, null, 2) : coreText(coreReport));
  if (coreReport.ledger.spareLosses === null) setExitCode(EXIT.unreachable);
}

/** The command and its subcommands. */
export const inspectCommand = defineCommand({
  meta: { name: 'inspect', description: 'Reads the state of the deployment; changes nothing' },
  subCommands: {
    status: defineCommand({
      meta: { name: 'status', description: 'Nodes, singleton roles, zone sets, proxies, workers' },
      args: CORE_ARGS,
      run: runStatus,
    }),
    core: defineCommand({
      meta: { name: 'core', description: 'Members of the core, and how many further losses it tolerates' },
      args: CORE_ARGS,
      run: runCore,
    }),
    orders: defineCommand({
      meta: { name: 'orders', description: 'Machine orders, with the author and cause of each change' },
      args: ORDER_ARGS,
      run: runOrders,
    }),
    aims: defineCommand({
      meta: { name: 'aims', description: 'Service-level targets of a document, judged by the counts of the nodes' },
      args: LATENCY_TARGETS_ARGS,
      run: runLatencyTargets,
    }),
    ledger: defineCommand({
      meta: { name: 'ledger', description: 'Entries of the replicated log' },
      args: LEDGER_ARGS,
      run: runLedger,
    }),
  },
});

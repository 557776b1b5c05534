/** Command `millfield admin`: operator commands that read and change the configuration and the deployment. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { createOsRng, newId } from '../transport/rng.js';
import {
  amendConfigurationRequest,
  replaceConfigurationRequest,
  bootstrapRequest,
  removeProxyRequest,
  splitPath,
  readConfigurationRequest,
  reopenClaimsRequest,
  zoneRequest,
} from '../operator/requests.js';
import type { CoreRequest } from '../operator/requests.js';
import { coreClientOf, CORE_ARGS, printResponse } from './request-core.js';
import { printError, areFlagsValid, setUsageExitCode } from './flags.js';
import { readDocument } from './read-document.js';
import { ownValue } from '../base/own-value.js';

type CommandContext = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function stringArg(ctx: CommandContext, key: string): string | undefined {
  const value = ownValue(ctx.args, key);
  return typeof value === 'string' ? value : undefined;
}

function operationId(ctx: CommandContext): string {
  return stringArg(ctx, 'operation') ?? newId(createOsRng(), 'op');
}

function formatAcknowledgement(body: unknown): string {
  const response = body as {
    readonly acknowledged?: boolean;
    readonly version?: number;
    readonly waiting?: readonly string[];
  };
  if (response.acknowledged)
    return response.version === undefined
      ? 'Acknowledged.'
      : `Acknowledged: slot ${response.version} is in force on every proxy.`;
  return `Committed in slot ${response.version ?? '?'}, not yet confirmed by: ${(response.waiting ?? []).join(', ')}.`;
}

function baseVersion(ctx: CommandContext): number | null | undefined {
  const text = stringArg(ctx, 'base');
  if (text === undefined) return undefined;
  const version = Number(text);
  return Number.isInteger(version) && version >= 0 ? version : null;
}

const CHANGE_ARGS = {
  ...CORE_ARGS,
  base: {
    type: 'string',
    description: 'Version that the change is based on (default: the latest, which is read first)',
  },
  operation: { type: 'string', description: 'Operation id; a repeated id does not apply the change again' },
} as const satisfies ArgsDef;

const APPLY_ARGS = {
  ...CHANGE_ARGS,
  file: { type: 'positional', description: 'Configuration (YAML or JSON)', required: true },
} as const satisfies ArgsDef;
const SET_ARGS = {
  ...CHANGE_ARGS,
  path: {
    type: 'positional',
    description: 'Path in the configuration, such as /regions/hungary/settings/nExtra',
    required: true,
  },
  value: {
    type: 'positional',
    description: 'Value as JSON; without it, the value at the path is removed',
    required: false,
  },
} as const satisfies ArgsDef;

type RequestFactory = (base: number, operation: string) => CoreRequest;

async function sendChange(
  ctx: CommandContext,
  defs: ArgsDef,
  prepare: () => Result<RequestFactory, string>,
): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, defs)) return setUsageExitCode();
  const prepared = prepare();
  if (!prepared.ok) {
    printError(prepared.error);
    return setUsageExitCode();
  }
  const requestedBase = baseVersion(ctx);
  if (requestedBase === null) {
    printError(`flag --base: expected a whole number from 0; found ${JSON.stringify(stringArg(ctx, 'base'))}`);
    return setUsageExitCode();
  }
  const core = coreClientOf(ctx.args);
  const base = requestedBase ?? (await core.version());
  const response = base === null ? null : await core.request(prepared.value(base, operationId(ctx)));
  printResponse(response, ctx.args['json'] === true, formatAcknowledgement);
}

function runApply(ctx: CommandContext): Promise<void> {
  function prepare(): Result<RequestFactory, string> {
    const file = stringArg(ctx, 'file') ?? '';
    const document = readDocument(file);
    if (!document.ok) return err(`file: expected YAML or JSON at ${JSON.stringify(file)}; found ${document.error}`);
    const configuration = document.value;
    function createRequest(base: number, operation: string): CoreRequest {
      return replaceConfigurationRequest(base, configuration, operation);
    }
    return ok(createRequest);
  }
  return sendChange(ctx, APPLY_ARGS, prepare);
}

function runSet(ctx: CommandContext): Promise<void> {
  function prepare(): Result<RequestFactory, string> {
    const path = splitPath(stringArg(ctx, 'path') ?? '');
    const raw = stringArg(ctx, 'value');
    if (path.length === 0) return err('path: expected a path below /; found "/"');
    const value = raw === undefined ? ok(undefined) : parseValue(raw);
    if (!value.ok) return value;
    function createRequest(base: number, operation: string): CoreRequest {
      return amendConfigurationRequest(
        base,
        [raw === undefined ? { path } : { path, value: value.ok ? value.value : null }],
        operation,
      );
    }
    return ok(createRequest);
  }
  return sendChange(ctx, SET_ARGS, prepare);
}

function parseValue(raw: string): Result<unknown, string> {
  try {
    return ok(JSON.parse(raw) as unknown);
  } catch {
    return err(`value: expected JSON; found ${raw}`);
  }
}

const READ_ARGS = {
  ...CORE_ARGS,
  resolved: {
    type: 'boolean',
    description: 'Show the effective settings of each model, and the level that each comes from',
  },
} as const satisfies ArgsDef;

async function runRead(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, READ_ARGS)) return setUsageExitCode();
  const response = await coreClientOf(ctx.args).request(readConfigurationRequest());
  printResponse(response, ctx.args['json'] === true, format);

  function format(body: unknown): string {
    const response = body as {
      readonly version: number;
      readonly configuration: unknown;
      readonly evacuated: readonly string[];
      readonly resolved: readonly ResolvedRow[];
    };
    const head = `version ${response.version}; evacuated: ${response.evacuated.length > 0 ? response.evacuated.join(', ') : 'none'}`;
    if (ctx.args['resolved'] !== true) return `${head}\n${JSON.stringify(response.configuration, null, 2)}`;
    const rows: string[] = [head];
    for (const row of response.resolved) {
      rows.push(`${row.region}/${row.model}`);
      for (const key of Object.keys(row.values))
        rows.push(`  ${key} = ${JSON.stringify(ownValue(row.values, key))} (${ownValue(row.levels, key) ?? '?'})`);
    }
    return rows.join('\n');
  }
}
type ResolvedRow = {
  readonly region: string;
  readonly model: string;
  readonly values: Readonly<Record<string, unknown>>;
  readonly levels: Readonly<Record<string, string>>;
};

const ZONE_ARGS = {
  ...CORE_ARGS,
  operation: CHANGE_ARGS.operation,
  zone: { type: 'positional', description: 'Zone', required: true },
} as const satisfies ArgsDef;

async function sendZoneRequest(ctx: CommandContext, command: 'evacuate' | 'restore'): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, ZONE_ARGS)) return setUsageExitCode();
  printResponse(
    await coreClientOf(ctx.args).request(zoneRequest(stringArg(ctx, 'zone') ?? '', command, operationId(ctx))),
    ctx.args['json'] === true,
    formatAcknowledgement,
  );
}
function runEvacuate(ctx: CommandContext): Promise<void> {
  return sendZoneRequest(ctx, 'evacuate');
}
function runRestore(ctx: CommandContext): Promise<void> {
  return sendZoneRequest(ctx, 'restore');
}

const FORGET_ARGS = {
  ...CORE_ARGS,
  proxy: { type: 'positional', description: 'Name of a proxy that will not come back', required: true },
} as const satisfies ArgsDef;

async function runForget(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, FORGET_ARGS)) return setUsageExitCode();
  printResponse(
    await coreClientOf(ctx.args).request(removeProxyRequest(stringArg(ctx, 'proxy') ?? '')),
    ctx.args['json'] === true,
    formatAcknowledgement,
  );
}

const BOOTSTRAP_ARGS = {
  ...CORE_ARGS,
  members: { type: 'string', description: 'Node addresses of all controllers, separated by commas', required: true },
} as const satisfies ArgsDef;

async function runBootstrap(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, BOOTSTRAP_ARGS)) return setUsageExitCode();
  const members = (stringArg(ctx, 'members') ?? '').split(',').filter(Boolean);
  printResponse(
    await coreClientOf(ctx.args).request(bootstrapRequest(members)),
    ctx.args['json'] === true,
    formatAcknowledgement,
  );
}

const REOPEN_ARGS = {
  ...CORE_ARGS,
  acceptLoss: { type: 'boolean', description: 'Confirm that claims on lost disks are abandoned' },
} as const satisfies ArgsDef;

async function runReopen(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, REOPEN_ARGS)) return setUsageExitCode();
  if (ctx.args['acceptLoss'] !== true) {
    printError(
      'flag --acceptLoss: expected, since run-once requests of the last day may run a second time; found nothing',
    );
    return setUsageExitCode();
  }
  printResponse(
    await coreClientOf(ctx.args).request(reopenClaimsRequest()),
    ctx.args['json'] === true,
    formatAcknowledgement,
  );
}

/** The command and its subcommands. */
export const adminCommand = defineCommand({
  meta: { name: 'admin', description: 'Operator commands' },
  subCommands: {
    bootstrap: defineCommand({
      meta: { name: 'bootstrap', description: 'Create the replicated log on blank controllers; done once' },
      args: BOOTSTRAP_ARGS,
      run: runBootstrap,
    }),
    apply: defineCommand({
      meta: { name: 'apply', description: 'Replace the whole configuration' },
      args: APPLY_ARGS,
      run: runApply,
    }),
    set: defineCommand({
      meta: { name: 'set', description: 'Change or remove one value of the configuration' },
      args: SET_ARGS,
      run: runSet,
    }),
    read: defineCommand({
      meta: { name: 'read', description: 'Print the configuration' },
      args: READ_ARGS,
      run: runRead,
    }),
    evacuate: defineCommand({
      meta: { name: 'evacuate', description: 'Evacuate a zone' },
      args: ZONE_ARGS,
      run: runEvacuate,
    }),
    restore: defineCommand({
      meta: { name: 'restore', description: 'Take an evacuated zone into use again' },
      args: ZONE_ARGS,
      run: runRestore,
    }),
    'reopen-claims': defineCommand({
      meta: { name: 'reopen-claims', description: 'Accept run-once requests again after a majority of disks was lost' },
      args: REOPEN_ARGS,
      run: runReopen,
    }),
    forget: defineCommand({
      meta: {
        name: 'forget',
        description: 'Remove a proxy that will not come back from those that must confirm changes',
      },
      args: FORGET_ARGS,
      run: runForget,
    }),
  },
});

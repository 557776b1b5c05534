/** `millfield admin`: the operators' commands that change something. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { createOsRng, newId } from '../transport/rng.js';
import {
  amendRequest,
  applyRequest,
  bootstrapRequest,
  forgetRequest,
  placeOf,
  readRequest,
  reopenRequest,
  zoneRequest,
} from '../operator/requests.js';
import type { CoreRequest } from '../operator/requests.js';
import { coreOf, CORE_ARGS, report } from './request-core.js';
import { complain, flagsFit, leaveUsage } from './flags.js';
import { readDocument } from './read-document.js';

type Ctx = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

function textOf(ctx: Ctx, key: string): string | undefined {
  const value = ctx.args[key];
  return typeof value === 'string' ? value : undefined;
}

function operationOf(ctx: Ctx): string {
  return textOf(ctx, 'operation') ?? newId(createOsRng(), 'op');
}

function acknowledged(body: unknown): string {
  const second = body as {
    readonly acknowledged?: boolean;
    readonly version?: number;
    readonly waiting?: readonly string[];
  };
  if (second.acknowledged)
    return second.version === undefined
      ? 'Acknowledged.'
      : `Acknowledged: slot ${second.version} is in force on every proxy.`;
  return `Agreed in slot ${second.version ?? '?'}, not yet confirmed by: ${(second.waiting ?? []).join(', ')}.`;
}

function baseOf(ctx: Ctx): number | null | undefined {
  const text = textOf(ctx, 'base');
  if (text === undefined) return undefined;
  const count = Number(text);
  return Number.isInteger(count) && count >= 0 ? count : null;
}

const CHANGE_ARGS = {
  ...CORE_ARGS,
  base: { type: 'string', description: 'Version that the change was made on (default: the newest, asked first)' },
  operation: { type: 'string', description: 'Operation id: the same id twice is the same change' },
} as const satisfies ArgsDef;

const APPLY_ARGS = {
  ...CHANGE_ARGS,
  file: { type: 'positional', description: 'Configuration (YAML or JSON)', required: true },
} as const satisfies ArgsDef;
const SET_ARGS = {
  ...CHANGE_ARGS,
  path: {
    type: 'positional',
    description: 'Place in the tree, such as /regions/hungary/settings/nExtra',
    required: true,
  },
  value: { type: 'positional', description: 'Value as JSON; left out, the place is cleared', required: false },
} as const satisfies ArgsDef;

type MakeRequest = (base: number, operation: string) => CoreRequest;

async function change(ctx: Ctx, defs: ArgsDef, prepare: () => Result<MakeRequest, string>): Promise<void> {
  if (!flagsFit(ctx.rawArgs, defs)) return leaveUsage();
  const made = prepare();
  if (!made.ok) {
    complain(made.error);
    return leaveUsage();
  }
  const request = baseOf(ctx);
  if (request === null) {
    complain(`flag --base: expected a whole number from 0; found ${JSON.stringify(textOf(ctx, 'base'))}`);
    return leaveUsage();
  }
  const core = coreOf(ctx.args);
  const base = request ?? (await core.version());
  const answer = base === null ? null : await core.request(made.value(base, operationOf(ctx)));
  report(answer, ctx.args['json'] === true, acknowledged);
}

function runApply(ctx: Ctx): Promise<void> {
  function prepare(): Result<MakeRequest, string> {
    const file = textOf(ctx, 'file') ?? '';
    const doc = readDocument(file);
    if (!doc.ok) return err(`file: expected YAML or JSON at ${JSON.stringify(file)}; found ${doc.error}`);
    const configuration = doc.value;
    function make(base: number, operation: string): CoreRequest {
      return applyRequest(base, configuration, operation);
    }
    return ok(make);
  }
  return change(ctx, APPLY_ARGS, prepare);
}

function runSet(ctx: Ctx): Promise<void> {
  function prepare(): Result<MakeRequest, string> {
    const path = placeOf(textOf(ctx, 'path') ?? '');
    const raw = textOf(ctx, 'value');
    if (path.length === 0) return err('path: expected a place below /; found "/"');
    const value = raw === undefined ? ok(undefined) : parsedJson(raw);
    if (!value.ok) return value;
    function make(base: number, operation: string): CoreRequest {
      return amendRequest(
        base,
        [raw === undefined ? { path } : { path, value: value.ok ? value.value : null }],
        operation,
      );
    }
    return ok(make);
  }
  return change(ctx, SET_ARGS, prepare);
}

function parsedJson(raw: string): Result<unknown, string> {
  try {
    return ok(JSON.parse(raw) as unknown);
  } catch {
    return err(`value: expected JSON; found ${raw}`);
  }
}

const READ_ARGS = {
  ...CORE_ARGS,
  resolved: { type: 'boolean', description: 'Show what each model ends up with, and from which level' },
} as const satisfies ArgsDef;

async function runRead(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, READ_ARGS)) return leaveUsage();
  const answer = await coreOf(ctx.args).request(readRequest());
  report(answer, ctx.args['json'] === true, shown);

  function shown(body: unknown): string {
    const second = body as {
      readonly version: number;
      readonly configuration: unknown;
      readonly evacuated: readonly string[];
      readonly resolved: readonly ResolvedRow[];
    };
    const head = `version ${second.version}; evacuated: ${second.evacuated.length > 0 ? second.evacuated.join(', ') : 'none'}`;
    if (ctx.args['resolved'] !== true) return `${head}\n${JSON.stringify(second.configuration, null, 2)}`;
    const rows: string[] = [head];
    for (const resolvedRow of second.resolved) {
      rows.push(`${resolvedRow.region}/${resolvedRow.model}`);
      for (const key of Object.keys(resolvedRow.values))
        rows.push(`  ${key} = ${JSON.stringify(resolvedRow.values[key])} (${resolvedRow.levels[key] ?? '?'})`);
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

async function zoneCommand(ctx: Ctx, command: 'evacuate' | 'restore'): Promise<void> {
  if (!flagsFit(ctx.rawArgs, ZONE_ARGS)) return leaveUsage();
  report(
    await coreOf(ctx.args).request(zoneRequest(textOf(ctx, 'zone') ?? '', command, operationOf(ctx))),
    ctx.args['json'] === true,
    acknowledged,
  );
}
function runEvacuate(ctx: Ctx): Promise<void> {
  return zoneCommand(ctx, 'evacuate');
}
function runRestore(ctx: Ctx): Promise<void> {
  return zoneCommand(ctx, 'restore');
}

const FORGET_ARGS = {
  ...CORE_ARGS,
  proxy: { type: 'positional', description: 'Name of a proxy that is gone for good', required: true },
} as const satisfies ArgsDef;

async function runForget(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, FORGET_ARGS)) return leaveUsage();
  report(
    await coreOf(ctx.args).request(forgetRequest(textOf(ctx, 'proxy') ?? '')),
    ctx.args['json'] === true,
    acknowledged,
  );
}

const FOUND_ARGS = {
  ...CORE_ARGS,
  members: { type: 'string', description: 'Node addresses of every controller, joined by commas', required: true },
} as const satisfies ArgsDef;

async function runFound(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, FOUND_ARGS)) return leaveUsage();
  const members = (textOf(ctx, 'members') ?? '').split(',').filter(Boolean);
  report(await coreOf(ctx.args).request(bootstrapRequest(members)), ctx.args['json'] === true, acknowledged);
}

const REOPEN_ARGS = {
  ...CORE_ARGS,
  acceptLoss: { type: 'boolean', description: 'Say that claims on lost disks are given up' },
} as const satisfies ArgsDef;

async function runReopen(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, REOPEN_ARGS)) return leaveUsage();
  if (ctx.args['acceptLoss'] !== true) {
    complain('flag --acceptLoss: expected, for a run-once request of the last day may then run again; found nothing');
    return leaveUsage();
  }
  report(await coreOf(ctx.args).request(reopenRequest()), ctx.args['json'] === true, acknowledged);
}

/** The command and its verbs. */
export const adminCommand = defineCommand({
  meta: { name: 'admin', description: "Operator's commands" },
  subCommands: {
    bootstrap: defineCommand({
      meta: { name: 'bootstrap', description: 'Bootstrap the ledger on blank controllers, once' },
      args: FOUND_ARGS,
      run: runFound,
    }),
    apply: defineCommand({
      meta: { name: 'apply', description: 'Put a whole configuration in force' },
      args: APPLY_ARGS,
      run: runApply,
    }),
    set: defineCommand({
      meta: { name: 'set', description: 'Amend one place of the configuration' },
      args: SET_ARGS,
      run: runSet,
    }),
    read: defineCommand({
      meta: { name: 'read', description: 'Read the configuration back' },
      args: READ_ARGS,
      run: runRead,
    }),
    evacuate: defineCommand({
      meta: { name: 'evacuate', description: 'Empty a zone' },
      args: ZONE_ARGS,
      run: runEvacuate,
    }),
    restore: defineCommand({
      meta: { name: 'restore', description: 'Hand a zone back' },
      args: ZONE_ARGS,
      run: runRestore,
    }),
    'reopen-claims': defineCommand({
      meta: { name: 'reopen-claims', description: 'Take run-once requests again after a majority of disks was lost' },
      args: REOPEN_ARGS,
      run: runReopen,
    }),
    forget: defineCommand({
      meta: { name: 'forget', description: 'Forget a proxy that is gone for good' },
      args: FORGET_ARGS,
      run: runForget,
    }),
  },
});

/** Command `millfield runbook`: validates and executes runbooks. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import { describeStep, runRunbook, findUnmetPrecondition } from '../runbook/run.js';
import type { StepRecord } from '../runbook/run.js';
import { readRunbook } from '../runbook/document.js';
import type { Runbook, Step } from '../runbook/document.js';
import { isJsonObject } from '../base/is-json-object.js';
import { parseJson } from '../base/parse-json.js';
import { createClock } from '../transport/clock.js';
import { createOsRng } from '../transport/rng.js';
import { coreClientOf, CORE_ARGS } from './request-core.js';
import { EXIT } from './exit-codes.js';
import { printError, areFlagsValid, setExitCode, setUsageExitCode, printLine } from './flags.js';
import { setOwnValue } from '../base/own-value.js';

type CommandContext = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

const CHECK_ARGS = {
  core: CORE_ARGS.core,
  input: { type: 'string', description: 'Inputs of the runbook as name=value, separated by commas' },
  live: { type: 'boolean', description: 'Also check whether the preconditions hold now' },
  file: { type: 'positional', description: 'Runbook (YAML)', required: true },
} as const satisfies ArgsDef;

const RUN_ARGS = {
  core: CORE_ARGS.core,
  input: CHECK_ARGS.input,
  dryRun: { type: 'boolean', description: 'Only print what would be done' },
  yes: { type: 'boolean', description: 'Do not ask for confirmation before steps that change something' },
  record: {
    type: 'string',
    description: 'File that records the outcome of each step; an interrupted run resumes from it',
  },
  file: CHECK_ARGS.file,
} as const satisfies ArgsDef;

function parseInputs(ctx: CommandContext): Record<string, string> {
  const inputs: Record<string, string> = {};
  const text = ctx.args['input'];
  for (const item of (typeof text === 'string' ? text : '').split(',').filter(Boolean)) {
    const separator = item.indexOf('=');
    setOwnValue(
      inputs,
      separator < 0 ? item : item.slice(0, separator),
      separator < 0 ? '' : item.slice(separator + 1),
    );
  }
  return inputs;
}

function readRunbookFile(ctx: CommandContext, inputs: Readonly<Record<string, string>> | null): Runbook | null {
  const fileArg = ctx.args['file'];
  const file = typeof fileArg === 'string' ? fileArg : '';
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    printError(`file: expected a readable runbook; found ${JSON.stringify(file)}`);
    return null;
  }
  const parsed = readRunbook(text, inputs);
  if (parsed.ok) return parsed.value;
  for (const error of parsed.error) printError(`${file}:${error.line}: ${error.reason}`);
  return null;
}

async function arePreconditionsMet(ctx: CommandContext, runbook: Runbook): Promise<boolean> {
  const unmet = await findUnmetPrecondition(runbook, coreClientOf(ctx.args), createClock());
  if (!unmet) return true;
  printError(`${String(ctx.args['file'])}:${unmet.step.line}: ${unmet.step.name}: ${unmet.seen}. ${unmet.step.ifNot}`);
  setExitCode(EXIT.refused);
  return false;
}

async function runCheck(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, CHECK_ARGS)) return setUsageExitCode();
  const live = ctx.args['live'] === true;
  const runbook = readRunbookFile(ctx, live || ctx.args['input'] !== undefined ? parseInputs(ctx) : null);
  if (!runbook) return setUsageExitCode();
  if (live && !(await arePreconditionsMet(ctx, runbook))) return;
  printLine(`${runbook.runbook}: ${runbook.steps.length} steps, valid.`);
}

function readRecords(path: string): StepRecord[] {
  if (!existsSync(path)) return [];
  const records: StepRecord[] = [];
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    const parsed = parseJson(line);
    if (isJsonObject(parsed)) records.push(parsed as StepRecord);
  }
  return records;
}

async function run(ctx: CommandContext): Promise<void> {
  if (!areFlagsValid(ctx.rawArgs, RUN_ARGS)) return setUsageExitCode();
  const runbook = readRunbookFile(ctx, parseInputs(ctx));
  if (!runbook) return setUsageExitCode();
  if (!(await arePreconditionsMet(ctx, runbook))) return;
  const path = typeof ctx.args['record'] === 'string' ? ctx.args['record'] : `${runbook.runbook}.record.jsonl`;
  const dryRun = ctx.args['dryRun'] === true;

  async function confirm(step: Step): Promise<boolean> {
    if (ctx.args['yes'] === true) return true;
    const prompt = createInterface({ input: process.stdin, output: process.stdout });
    const answer = await prompt.question(`${step.name}: ${describeStep(step)}. Continue? (yes/no) `);
    prompt.close();
    return answer.trim() === 'yes';
  }
  async function record(entry: StepRecord): Promise<void> {
    printLine(`${entry.step + 1}. ${entry.name}: ${entry.outcome} (${entry.seen})`);
    if (!dryRun) appendFileSync(path, `${JSON.stringify(entry)}\n`);
  }
  const result = await runRunbook(runbook, {
    core: coreClientOf(ctx.args),
    clock: createClock(),
    rng: createOsRng(),
    dryRun,
    previousRecords: readRecords(path),
    confirm,
    record,
  });
  if (result.tag !== 'stopped') {
    printLine(result.tag === 'done' ? 'Done.' : 'Nothing was changed.');
    return;
  }
  printError(`Stopped at "${result.step.name}" (${result.outcome}): ${result.seen}. ${result.step.ifNot}`);
  printError(`Run the same command again to resume from this step; the record is ${path}.`);
  setExitCode(EXIT.refused);
}

/** The command and its subcommands. */
export const runbookCommand = defineCommand({
  meta: { name: 'runbook', description: 'Validates and executes runbooks' },
  subCommands: {
    check: defineCommand({
      meta: { name: 'check', description: 'Report the errors in a runbook' },
      args: CHECK_ARGS,
      run: runCheck,
    }),
    run: defineCommand({ meta: { name: 'run', description: 'Execute a runbook' }, args: RUN_ARGS, run }),
  },
});

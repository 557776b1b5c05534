/** `millfield runbook`: checks and executes runbooks. */
import { defineCommand } from 'citty';
import type { ArgsDef } from 'citty';
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import { describe, runRunbook, unmetAtStart } from '../runbook/run.js';
import type { StepRecord } from '../runbook/run.js';
import { readRunbook } from '../runbook/document.js';
import type { Runbook, Step } from '../runbook/document.js';
import { isTable } from '../base/is-table.js';
import { parsedJson } from '../base/parsed-json.js';
import { createClock } from '../transport/clock.js';
import { createOsRng } from '../transport/rng.js';
import { coreOf, CORE_ARGS } from './request-core.js';
import { EXIT } from './exit-codes.js';
import { complain, flagsFit, leave, leaveUsage, say } from './flags.js';

type Ctx = { readonly rawArgs: string[]; readonly args: Readonly<Record<string, unknown>> };

const CHECK_ARGS = {
  core: CORE_ARGS.core,
  input: { type: 'string', description: 'name=value, joined by commas' },
  live: { type: 'boolean', description: 'Also look whether the preconditions hold now' },
  file: { type: 'positional', description: 'Runbook (YAML)', required: true },
} as const satisfies ArgsDef;

const RUN_ARGS = {
  core: CORE_ARGS.core,
  input: CHECK_ARGS.input,
  dryRun: { type: 'boolean', description: 'Only say what would be done' },
  yes: { type: 'boolean', description: 'Do not ask before steps that change something' },
  record: { type: 'string', description: 'File with the outcome of each step; an interrupted run goes on from it' },
  file: CHECK_ARGS.file,
} as const satisfies ArgsDef;

function inputsOf(ctx: Ctx): Record<string, string> {
  const out: Record<string, string> = {};
  const text = ctx.args['input'];
  for (const item of (typeof text === 'string' ? text : '').split(',').filter(Boolean)) {
    const at = item.indexOf('=');
    out[at < 0 ? item : item.slice(0, at)] = at < 0 ? '' : item.slice(at + 1);
  }
  return out;
}

function readRunbookFile(ctx: Ctx, inputs: Readonly<Record<string, string>> | null): Runbook | null {
  const named = ctx.args['file'];
  const file = typeof named === 'string' ? named : '';
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    complain(`file: expected a readable runbook; found ${JSON.stringify(file)}`);
    return null;
  }
  const read = readRunbook(text, inputs);
  if (read.ok) return read.value;
  for (const error of read.error) complain(`${file}:${error.line}: ${error.reason}`);
  return null;
}

async function startsWell(ctx: Ctx, runbook: Runbook): Promise<boolean> {
  const unmet = await unmetAtStart(runbook, coreOf(ctx.args), createClock());
  if (!unmet) return true;
  complain(`${String(ctx.args['file'])}:${unmet.step.line}: ${unmet.step.name}: ${unmet.seen}. ${unmet.step.ifNot}`);
  leave(EXIT.refused);
  return false;
}

async function runCheck(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, CHECK_ARGS)) return leaveUsage();
  const live = ctx.args['live'] === true;
  const runbook = readRunbookFile(ctx, live || ctx.args['input'] !== undefined ? inputsOf(ctx) : null);
  if (!runbook) return leaveUsage();
  if (live && !(await startsWell(ctx, runbook))) return;
  say(`${runbook.runbook}: ${runbook.steps.length} steps, sound.`);
}

function recordsIn(path: string): StepRecord[] {
  if (!existsSync(path)) return [];
  const out: StepRecord[] = [];
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    const read = parsedJson(line);
    if (isTable(read)) out.push(read as StepRecord);
  }
  return out;
}

async function run(ctx: Ctx): Promise<void> {
  if (!flagsFit(ctx.rawArgs, RUN_ARGS)) return leaveUsage();
  const runbook = readRunbookFile(ctx, inputsOf(ctx));
  if (!runbook) return leaveUsage();
  if (!(await startsWell(ctx, runbook))) return;
  const path = typeof ctx.args['record'] === 'string' ? ctx.args['record'] : `${runbook.runbook}.record.jsonl`;
  const dryRun = ctx.args['dryRun'] === true;

  async function confirm(step: Step): Promise<boolean> {
    if (ctx.args['yes'] === true) return true;
    const request = createInterface({ input: process.stdin, output: process.stdout });
    const answer = await request.question(`${step.name}: ${describe(step)}. Go on? (yes/no) `);
    request.close();
    return answer.trim() === 'yes';
  }
  async function record(entry: StepRecord): Promise<void> {
    say(`${entry.step + 1}. ${entry.name}: ${entry.outcome} (${entry.seen})`);
    if (!dryRun) appendFileSync(path, `${JSON.stringify(entry)}\n`);
  }
  const end = await runRunbook(runbook, {
    core: coreOf(ctx.args),
    clock: createClock(),
    rng: createOsRng(),
    dryRun,
    before: recordsIn(path),
    confirm,
    record,
  });
  if (end.tag !== 'stopped') {
    say(end.tag === 'done' ? 'Done.' : 'Nothing was changed.');
    return;
  }
  complain(`Stopped at "${end.step.name}" (${end.outcome}): ${end.seen}. ${end.step.ifNot}`);
  complain(`Run the same command again to go on from there; the record is ${path}.`);
  leave(EXIT.refused);
}

/** The command and its verbs. */
export const runbookCommand = defineCommand({
  meta: { name: 'runbook', description: 'Checks and executes runbooks' },
  subCommands: {
    check: defineCommand({
      meta: { name: 'check', description: 'Tell what is wrong with a runbook' },
      args: CHECK_ARGS,
      run: runCheck,
    }),
    run: defineCommand({ meta: { name: 'run', description: 'Execute a runbook' }, args: RUN_ARGS, run }),
  },
});

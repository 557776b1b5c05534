/** Runs a runbook step by step, and goes on after an interruption from the recorded outcomes. */
import { sha256 } from '../base/digest.js';
import { amendRequest, forgetRequest, placeOf, reopenRequest, zoneRequest } from '../operator/requests.js';
import type { CoreRequest } from '../operator/requests.js';
import type { Core } from '../operator/core.js';
import type { Clock } from '../transport/clock.js';
import { newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { harms } from './document.js';
import type { Runbook, Step } from './document.js';
import { observeFor } from './observe.js';

/** How a step ended. */
export type StepOutcome = 'done' | 'doneBefore' | 'would' | 'unmet' | 'late' | 'declined' | 'refused';

/** One line of the record; `digest` tells which runbook, `wall` is in milliseconds since 1970. */
export type StepRecord = {
  readonly run: string;
  readonly digest: string;
  readonly step: number;
  readonly name: string;
  readonly outcome: StepOutcome;
  readonly seen: string;
  readonly wall: number;
};

/** How a run ended. */
export type RunEnd =
  | { readonly tag: 'done' | 'wouldDo' }
  | { readonly tag: 'stopped'; readonly step: Step; readonly outcome: StepOutcome; readonly seen: string };

/** What a run needs; `before` are the records of an interrupted run. */
export type RunDeps = {
  readonly core: Core;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly dryRun: boolean;
  readonly before: readonly StepRecord[];
  readonly confirm: (step: Step) => Promise<boolean>;
  readonly record: (record: StepRecord) => Promise<void>;
};

const LOOK_MS = 1_000;

/** A short digest of name and steps; records of another runbook don't count. */
export function digestOf(book: Runbook): string {
  return sha256(JSON.stringify([book.runbook, book.steps])).slice(0, 16);
}

/** The first precondition that does not hold now; null if all hold. */
export async function unmetAtStart(
  book: Runbook,
  core: Core,
  clock: Clock,
): Promise<{ readonly step: Step; readonly seen: string } | null> {
  for (const step of book.steps) {
    if (harms(step.work)) return null;
    if (step.work.tag !== 'require') continue;
    const response = await observeFor(core, step.work.condition, clock);
    if (!response.met) return { step, seen: response.text };
  }
  return null;
}

/** Runs the steps that are not done yet; stops at the first that fails. */
export async function runRunbook(book: Runbook, deps: RunDeps): Promise<RunEnd> {
  const { core, clock } = deps;
  const digest = digestOf(book);
  const done = new Set<number>();
  let runId = newId(deps.rng, 'run');
  const last = deps.before[deps.before.length - 1];
  const goesOn =
    last !== undefined && last.digest === digest && !(last.step === book.steps.length - 1 && last.outcome === 'done');
  if (goesOn) {
    runId = last.run;
    for (const record of deps.before) if (record.run === runId && record.outcome === 'done') done.add(record.step);
  }

  for (let i = 0; i < book.steps.length; i += 1) {
    const step = book.steps[i] as Step;
    if (done.has(i) && harms(step.work)) {
      await record(i, step, 'doneBefore', 'done in an earlier run');
      continue;
    }
    const [outcome, observed] = await take(step, i);
    await record(i, step, outcome, observed);
    if (outcome !== 'done' && outcome !== 'would') return { tag: 'stopped', step, outcome, seen: observed };
  }
  return { tag: deps.dryRun ? 'wouldDo' : 'done' };

  function record(i: number, step: Step, outcome: StepOutcome, observed: string): Promise<void> {
    return deps.record({ run: runId, digest, step: i, name: step.name, outcome, seen: observed, wall: clock.wall() });
  }

  async function take(step: Step, i: number): Promise<[StepOutcome, string]> {
    const { work } = step;
    if (work.tag === 'require') {
      const response = await observeFor(core, work.condition, clock);
      return [response.met ? 'done' : 'unmet', response.text];
    }
    if (deps.dryRun)
      return ['would', work.tag === 'wait' ? `would wait up to ${work.withinS} s` : `would ${describe(step)}`];
    if (work.tag === 'wait') {
      const response = await observeFor(core, work.condition, clock, work.withinS * 1_000, LOOK_MS, work.heldS * 1_000);
      return [response.met ? 'done' : 'late', response.text];
    }
    if (!(await deps.confirm(step))) return ['declined', 'not confirmed'];
    if (work.tag === 'person') return ['done', 'a person did it'];
    const request = await askOf(step, `${runId}:${i}`);
    const answer = request ? await core.request(request) : null;
    if (!answer) return ['refused', 'no controller answers'];
    const unchanged =
      answer.status === 409 &&
      (answer.body as { readonly error?: { readonly tag?: string } }).error?.tag === 'unchanged';
    if (answer.status === 200 || answer.status === 202 || unchanged) return ['done', JSON.stringify(answer.body)];
    return ['refused', `${answer.status} ${JSON.stringify(answer.body)}`];
  }

  async function askOf(step: Step, operation: string): Promise<CoreRequest | null> {
    const { work } = step;
    switch (work.tag) {
      case 'evacuate':
      case 'restore':
        return zoneRequest(work.zone, work.tag, operation);
      case 'set': {
        const base = await core.version();
        return base === null ? null : amendRequest(base, [{ path: placeOf(work.path), value: work.value }], operation);
      }
      case 'forget':
        return forgetRequest(work.proxy);
      case 'reopenClaims':
        return reopenRequest();
      default:
        return null;
    }
  }
}

/** The step in one line, for the operator. */
export function describe(step: Step): string {
  const { tag, ...rest } = step.work;
  return `${tag} ${JSON.stringify(rest)}`;
}

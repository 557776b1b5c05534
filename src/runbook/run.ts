/** Executes a runbook step by step; an interrupted run resumes from the recorded outcomes. */
import { sha256 } from '../base/digest.js';
import {
  amendConfigurationRequest,
  removeProxyRequest,
  splitPath,
  reopenClaimsRequest,
  zoneRequest,
} from '../operator/requests.js';
import type { CoreRequest } from '../operator/requests.js';
import type { CoreClient } from '../operator/core.js';
import type { Clock } from '../transport/clock.js';
import { newId } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { changesDeployment } from './document.js';
import type { Runbook, Step } from './document.js';
import { waitForCondition } from './observe.js';

/**
 * How a step ended: `doneBefore` was done by the interrupted run, `would` is the outcome in a dry run, `unmet` is a
 * precondition that does not hold, `late` a condition that was not met in time, `declined` a step that the operator
 * did not confirm, `refused` a request that the controllers rejected or did not answer.
 */
export type StepOutcome = 'done' | 'doneBefore' | 'would' | 'unmet' | 'late' | 'declined' | 'refused';

/** One line of the record; `digest` identifies the runbook, `wall` is in milliseconds since 1970. */
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

/** Dependencies of a run; `previousRecords` holds the records of earlier runs, oldest first. */
export type RunDeps = {
  readonly core: CoreClient;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly dryRun: boolean;
  readonly previousRecords: readonly StepRecord[];
  readonly confirm: (step: Step) => Promise<boolean>;
  readonly record: (record: StepRecord) => Promise<void>;
};

const CHECK_INTERVAL_MS = 1_000;

/** A short digest of name and steps; records with another digest are not resumed from. */
export function runbookDigest(runbook: Runbook): string {
  return sha256(JSON.stringify([runbook.runbook, runbook.steps])).slice(0, 16);
}

/** Returns the first precondition before any change that does not hold now; null if all hold. */
export async function findUnmetPrecondition(
  runbook: Runbook,
  core: CoreClient,
  clock: Clock,
): Promise<{ readonly step: Step; readonly seen: string } | null> {
  for (const step of runbook.steps) {
    if (changesDeployment(step.work)) return null;
    if (step.work.tag !== 'require') continue;
    const observation = await waitForCondition(core, step.work.condition, clock);
    if (!observation.met) return { step, seen: observation.text };
  }
  return null;
}

/** Executes the steps that are not done yet and evaluates all conditions anew; stops at the first step that fails. */
export async function runRunbook(runbook: Runbook, deps: RunDeps): Promise<RunEnd> {
  const { core, clock } = deps;
  const digest = runbookDigest(runbook);
  const done = new Set<number>();
  let runId = newId(deps.rng, 'run');
  const lastRecord = deps.previousRecords[deps.previousRecords.length - 1];
  const isResuming =
    lastRecord !== undefined &&
    lastRecord.digest === digest &&
    !(lastRecord.step === runbook.steps.length - 1 && lastRecord.outcome === 'done');
  if (isResuming) {
    runId = lastRecord.run;
    for (const previous of deps.previousRecords)
      if (previous.run === runId && previous.outcome === 'done') done.add(previous.step);
  }

  for (let index = 0; index < runbook.steps.length; index += 1) {
    const step = runbook.steps[index] as Step;
    if (done.has(index) && changesDeployment(step.work)) {
      await record(index, step, 'doneBefore', 'done in an earlier run');
      continue;
    }
    const [outcome, seen] = await executeStep(step, index);
    await record(index, step, outcome, seen);
    if (outcome !== 'done' && outcome !== 'would') return { tag: 'stopped', step, outcome, seen };
  }
  return { tag: deps.dryRun ? 'wouldDo' : 'done' };

  function record(index: number, step: Step, outcome: StepOutcome, seen: string): Promise<void> {
    return deps.record({ run: runId, digest, step: index, name: step.name, outcome, seen, wall: clock.wall() });
  }

  async function executeStep(step: Step, index: number): Promise<[StepOutcome, string]> {
    const { work } = step;
    if (work.tag === 'require') {
      const observation = await waitForCondition(core, work.condition, clock);
      return [observation.met ? 'done' : 'unmet', observation.text];
    }
    if (deps.dryRun)
      return ['would', work.tag === 'wait' ? `would wait up to ${work.withinS} s` : `would ${describeStep(step)}`];
    if (work.tag === 'wait') {
      const observation = await waitForCondition(
        core,
        work.condition,
        clock,
        work.withinS * 1_000,
        CHECK_INTERVAL_MS,
        work.heldS * 1_000,
      );
      return [observation.met ? 'done' : 'late', observation.text];
    }
    if (!(await deps.confirm(step))) return ['declined', 'not confirmed'];
    if (work.tag === 'person') return ['done', 'done by a person'];
    const request = await requestOf(step, `${runId}:${index}`);
    const response = request ? await core.request(request) : null;
    if (!response) return ['refused', 'no controller answers'];
    const isUnchanged =
      response.status === 409 &&
      (response.body as { readonly error?: { readonly tag?: string } }).error?.tag === 'unchanged';
    if (response.status === 200 || response.status === 202 || isUnchanged)
      return ['done', JSON.stringify(response.body)];
    return ['refused', `${response.status} ${JSON.stringify(response.body)}`];
  }

  async function requestOf(step: Step, operation: string): Promise<CoreRequest | null> {
    const { work } = step;
    switch (work.tag) {
      case 'evacuate':
      case 'restore':
        return zoneRequest(work.zone, work.tag, operation);
      case 'set': {
        const baseVersion = await core.version();
        return baseVersion === null
          ? null
          : amendConfigurationRequest(baseVersion, [{ path: splitPath(work.path), value: work.value }], operation);
      }
      case 'forget':
        return removeProxyRequest(work.proxy);
      case 'reopenClaims':
        return reopenClaimsRequest();
      default:
        return null;
    }
  }
}

/** Describes a step in one line for the operator. */
export function describeStep(step: Step): string {
  const { tag, ...rest } = step.work;
  return `${tag} ${JSON.stringify(rest)}`;
}

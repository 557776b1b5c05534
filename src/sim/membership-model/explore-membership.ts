/** Explores all histories of the membership model up to a number of steps, each state once. */
import { initialState } from './group-state.js';
import type { GroupState } from './group-state.js';
import { comesBack, stepsFrom } from './membership-steps.js';
import type { StepOptions } from './membership-steps.js';

/** A history after which the core does not come back. */
export type LostHistory = { readonly labels: readonly string[]; readonly last: GroupState };

/** What an exploration found; `lost` has the first history to each state that does not come back. */
export type Exploration = { readonly stateCount: number; readonly lost: readonly LostHistory[] };

type Reached = { readonly state: GroupState; readonly labels: readonly string[] };

/** Explores histories of at most `maxSteps` steps. A history ends where the core does not come back. */
export function exploreMembership(options: StepOptions, maxSteps: number): Exploration {
  const size = 2 * options.toleratedLosses + 1;
  const lost: LostHistory[] = [];
  let frontier: Reached[] = [{ state: initialState(size), labels: [] }];
  const seen = new Set([JSON.stringify(frontier[0]?.state)]);
  for (let depth = 0; depth < maxSteps; depth += 1) {
    const following: Reached[] = [];
    for (const { state, labels } of frontier)
      for (const { label, next } of stepsFrom(state, size, options)) {
        const key = JSON.stringify(next);
        if (seen.has(key)) continue;
        seen.add(key);
        const reached = { state: next, labels: [...labels, label] };
        if (comesBack(next)) following.push(reached);
        else lost.push({ labels: reached.labels, last: next });
      }
    frontier = following;
  }
  return { stateCount: seen.size, lost };
}

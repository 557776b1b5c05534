/**
 * Explores all states of a small case, breadth first, up to a given depth: all
 * orders of messages, each of which may be lost, delayed or duplicated, with a
 * change of membership and a lost disk at any point. Each state is visited once;
 * states are identified by a digest of their canonical text.
 */
import { sha256 } from '../../base/digest.js';
import { initialState, MACHINES } from './agreement-state.js';
import type { AgreementState, NodeState, ProposalState } from './agreement-state.js';
import { brokenRule } from './agreement-rules.js';
import { successorsOf } from './agreement-steps.js';
import type { Scenario } from './agreement-steps.js';

/**
 * Result of an exploration; `visited` counts the distinct states, including the initial one. The rules hold in all
 * reachable states only if `complete` is true and `broken` is null.
 */
export type Exploration = {
  readonly visited: number;
  /** Number of steps from the initial state to the deepest states visited. */
  readonly depth: number;
  /** Whether all reachable states were visited. */
  readonly complete: boolean;
  /** The first violated rule, with a shortest sequence of steps that leads to it. */
  readonly broken: { readonly rule: string; readonly steps: readonly string[] } | null;
};

/** Limits of an exploration: the greatest depth, and the number of states after which it ends. */
export type Bounds = { readonly depth: number; readonly states: number };

/** A visited state and how it was reached; its canonical text is not stored. */
type VisitedState = { readonly state: AgreementState; readonly step: string; readonly from: VisitedState | null };

function slotText([slot, acceptorState]: NodeState['slots'][number]): string {
  const { promised, accepted } = acceptorState;
  const vote = accepted ? `${accepted.ballot.round}${accepted.ballot.by}${accepted.batch.id}` : '';
  return `${slot}:${promised.round}${promised.by}:${vote}`;
}

function promisesText(proposal: ProposalState): string {
  const parts: string[] = [];
  for (const name of Object.keys(proposal.promises).sort()) {
    const accepted = proposal.promises[name];
    parts.push(accepted ? `${name}=${accepted.ballot.round}${accepted.ballot.by}${accepted.batch.id}` : name);
  }
  return parts.join();
}

/** Returns equal digests for equal states, regardless of the order in which their parts were created. */
export function digestOf(state: AgreementState): string {
  const parts: string[] = [`${state.lossesLeft}${state.crashesLeft}`];
  for (const name of MACHINES) {
    const node = state.nodes[name] as NodeState;
    parts.push(`${node.alive}|${node.log.join()}|${node.slots.map(slotText).join()}`);
  }
  for (const proposal of state.proposals) {
    const { electorate, batch, acceptedBy, learned } = proposal;
    parts.push(`${electorate.join()}|${promisesText(proposal)}|${batch}|${acceptedBy.join()}|${learned}`);
  }
  return sha256(parts.join('\n')).slice(0, 24);
}

function stepsLeadingTo(last: VisitedState): string[] {
  const out: string[] = [];
  for (let current: VisitedState | null = last; current && current.from; current = current.from) out.push(current.step);
  return out.reverse();
}

/** Explores a scenario until a rule is violated, a bound is reached or no state is left. */
export function explore(scenario: Scenario, bounds: Bounds): Exploration {
  const first = initialState(scenario.proposals, scenario.losses, scenario.crashes);
  const seen = new Set<string>([digestOf(first)]);
  let frontier: VisitedState[] = [{ state: first, step: '', from: null }];
  let depth = 0;
  while (frontier.length > 0 && depth < bounds.depth && seen.size < bounds.states) {
    const next: VisitedState[] = [];
    for (const current of frontier) {
      for (const { step, state } of successorsOf(current.state, scenario)) {
        const digest = digestOf(state);
        if (seen.has(digest)) continue;
        seen.add(digest);
        const successor = { state, step, from: current };
        const rule = brokenRule(state, scenario);
        if (rule !== null)
          return {
            visited: seen.size,
            depth: depth + 1,
            complete: false,
            broken: { rule, steps: stepsLeadingTo(successor) },
          };
        next.push(successor);
      }
    }
    frontier = next;
    depth += 1;
  }
  return { visited: seen.size, depth, complete: frontier.length === 0, broken: null };
}

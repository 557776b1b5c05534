/**
 * Visits every state of the small case, breadth first, up to a depth: all orders
 * of messages, each lost, late or doubled, with a change of membership and a lost
 * disk anywhere between. A state that was seen is not visited again; states are
 * told apart by a digest of their canonical text.
 */
import { sha256 } from '../../base/digest.js';
import { initialState, MACHINES } from './agreement-state.js';
import type { AgreementState, NodeState, ProposalState } from './agreement-state.js';
import { brokenRule } from './agreement-rules.js';
import { successorsOf } from './agreement-steps.js';
import type { Scenario } from './agreement-steps.js';

export type Exploration = {
  readonly visited: number;
  /** Steps from the first state to the last ones visited. */
  readonly depth: number;
  /** Whether no state was left to go on from. */
  readonly complete: boolean;
  /** The first broken rule found, by a shortest way. */
  readonly broken: { readonly rule: string; readonly steps: readonly string[] } | null;
};

export type Bounds = { readonly depth: number; readonly states: number };

/** How a state was come to; its own text is not kept. */
type Visit = { readonly state: AgreementState; readonly step: string; readonly from: Visit | null };

function slotText([slot, held]: NodeState['slots'][number]): string {
  const { promised, accepted } = held;
  const vote = accepted ? `${accepted.ballot.round}${accepted.ballot.by}${accepted.batch.id}` : '';
  return `${slot}:${promised.round}${promised.by}:${vote}`;
}

function promiseText(proposal: ProposalState): string {
  const out: string[] = [];
  for (const name of Object.keys(proposal.promises).sort()) {
    const accepted = proposal.promises[name];
    out.push(accepted ? `${name}=${accepted.ballot.round}${accepted.ballot.by}${accepted.batch.id}` : name);
  }
  return out.join();
}

/** Equal for equal states, whatever the order in which they came to be. */
export function digestOf(state: AgreementState): string {
  const parts: string[] = [`${state.lossesLeft}${state.crashesLeft}`];
  for (const name of MACHINES) {
    const node = state.nodes[name] as NodeState;
    parts.push(`${node.alive}|${node.log.join()}|${node.slots.map(slotText).join()}`);
  }
  for (const proposal of state.proposals) {
    const { electorate, batch, acceptedBy, learned } = proposal;
    parts.push(`${electorate.join()}|${promiseText(proposal)}|${batch}|${acceptedBy.join()}|${learned}`);
  }
  return sha256(parts.join('\n')).slice(0, 24);
}

function stepsTo(visit: Visit): string[] {
  const out: string[] = [];
  for (let at: Visit | null = visit; at && at.from; at = at.from) out.push(at.step);
  return out.reverse();
}

export function explore(scenario: Scenario, bounds: Bounds): Exploration {
  const first = initialState(scenario.proposals, scenario.losses, scenario.crashes);
  const seen = new Set<string>([digestOf(first)]);
  let frontier: Visit[] = [{ state: first, step: '', from: null }];
  let depth = 0;
  while (frontier.length > 0 && depth < bounds.depth && seen.size < bounds.states) {
    const next: Visit[] = [];
    for (const visit of frontier) {
      for (const { step, state } of successorsOf(visit.state, scenario)) {
        const digest = digestOf(state);
        if (seen.has(digest)) continue;
        seen.add(digest);
        const reached = { state, step, from: visit };
        const rule = brokenRule(state, scenario);
        if (rule !== null)
          return { visited: seen.size, depth: depth + 1, complete: false, broken: { rule, steps: stepsTo(reached) } };
        next.push(reached);
      }
    }
    frontier = next;
    depth += 1;
  }
  return { visited: seen.size, depth, complete: frontier.length === 0, broken: null };
}

/** The small cases that are explored whole or to a depth: three members, two slots, one replacement, one lost disk. */
import type { PlannedProposal } from './agreement-state.js';
import type { AgreementBreak, Scenario } from './agreement-steps.js';

const REPLACE: PlannedProposal = { by: 'b', slot: 1, round: 1, batch: 'replace' };
const RIVAL: PlannedProposal = { by: 'c', slot: 1, round: 2, batch: 'x' };
const SECOND: PlannedProposal = { by: 'c', slot: 2, round: 1, batch: 'y' };
const BY_JOINER: PlannedProposal = { by: 'd', slot: 2, round: 2, batch: 'z' };

/** Two proposers for one slot, one of which replaces the member whose disk is lost. */
export const RACE: Scenario = { proposals: [REPLACE, RIVAL], losses: 1, crashes: 0, broken: null };

/** The replacement, then an entry of the new member; the old one may run on. */
export const REPLACEMENT: Scenario = { proposals: [REPLACE, BY_JOINER], losses: 1, crashes: 0, broken: null };

/** All of it: a race for each of two slots. */
export const TWO_SLOTS: Scenario = {
  proposals: [REPLACE, RIVAL, SECOND, BY_JOINER],
  losses: 1,
  crashes: 0,
  broken: null,
};

export function withBreak(scenario: Scenario, broken: AgreementBreak): Scenario {
  return { ...scenario, broken, crashes: broken === 'forgetsPromise' ? 1 : 0 };
}

/**
 * The small cases that are explored completely or to a given depth: three members, two slots, one replacement of a
 * member and one lost disk.
 */
import type { PlannedProposal } from './agreement-state.js';
import type { ProtocolDefect, Scenario } from './agreement-steps.js';

const REPLACE_MEMBER: PlannedProposal = { by: 'b', slot: 1, round: 1, batch: 'replace' };
const COMPETING: PlannedProposal = { by: 'c', slot: 1, round: 2, batch: 'x' };
const SECOND_SLOT: PlannedProposal = { by: 'c', slot: 2, round: 1, batch: 'y' };
const FROM_NEW_MEMBER: PlannedProposal = { by: 'd', slot: 2, round: 2, batch: 'z' };

/** Two proposers compete for one slot; one of them proposes to replace the member whose disk is lost. */
export const RACE: Scenario = { proposals: [REPLACE_MEMBER, COMPETING], losses: 1, crashes: 0, broken: null };

/** A member is replaced, then the new member proposes an entry; the replaced member may keep running. */
export const REPLACEMENT: Scenario = {
  proposals: [REPLACE_MEMBER, FROM_NEW_MEMBER],
  losses: 1,
  crashes: 0,
  broken: null,
};

/** All proposals of the other cases: competing proposers for each of two slots. */
export const TWO_SLOTS: Scenario = {
  proposals: [REPLACE_MEMBER, COMPETING, SECOND_SLOT, FROM_NEW_MEMBER],
  losses: 1,
  crashes: 0,
  broken: null,
};

/** The scenario with a deliberate defect; the defect `forgetsPromise` needs a crash to show. */
export function withDefect(scenario: Scenario, broken: ProtocolDefect): Scenario {
  return { ...scenario, broken, crashes: broken === 'forgetsPromise' ? 1 : 0 };
}

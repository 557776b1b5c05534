/**
 * Conditions of runbooks on the core's health. They are met on the word of a majority of the members only, for the
 * members that agree on the ledger and, where claims are in use, for those that hold the claims.
 */
import { requestCoreReport } from '../operator/core-report.js';
import type { CoreGroup, CoreReport, GroupReport } from '../operator/core-report.js';
import type { Core } from '../operator/core.js';
import type { Condition } from './document.js';
import type { Observation } from './observation.js';

type CoreCondition = Extract<Condition, { tag: 'spareLosses' | 'goesOnWithout' }>;

const UNKNOWN = 'no majority of the members says how many losses the core bears';

/** Observes a condition on the members' health. */
export async function coreObserved(core: Core, condition: CoreCondition): Promise<Observation> {
  const report = await requestCoreReport(core);
  if (!report) return { met: false, text: 'no controller answers' };
  return condition.tag === 'spareLosses'
    ? spareObserved(report, condition.atLeast)
    : absenceObserved(report, condition.name);
}

function groupsOf(report: CoreReport): [CoreGroup, GroupReport][] {
  return report.claims
    ? [
        ['ledger', report.ledger],
        ['claims', report.claims],
      ]
    : [['ledger', report.ledger]];
}

function spareObserved(report: CoreReport, atLeast: number): Observation {
  const figures: string[] = [];
  let met = true;
  for (const [name, group] of groupsOf(report)) {
    if (group.spareLosses === null) return { met: false, text: `${name}: ${UNKNOWN}` };
    if (group.spareLosses < atLeast || group.warning === 'noWholeQuorum') met = false;
    figures.push(`${name} bears ${group.spareLosses} of at least ${atLeast}${lackingText(group)}`);
  }
  return { met, text: figures.join('; ') };
}

function absenceObserved(report: CoreReport, name: string): Observation {
  const stopped: string[] = [];
  for (const [groupName, group] of groupsOf(report)) {
    if (group.spareLosses === null) return { met: false, text: `${groupName}: ${UNKNOWN}` };
    for (const member of group.details)
      if (member.name === name && group.essential.includes(member.id))
        stopped.push(`${groupName} would stop without ${name}${lackingText(group)}`);
  }
  return { met: stopped.length === 0, text: stopped.join('; ') || `the core goes on without ${name}` };
}

function lackingText(group: GroupReport): string {
  const lacking: string[] = [];
  for (const member of group.details) if (member.lack !== null) lacking.push(`${member.name} ${member.lack}`);
  return lacking.length > 0 ? ` (${lacking.join(', ')})` : '';
}

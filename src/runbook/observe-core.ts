/**
 * Evaluates the conditions of runbooks on the core's health. A condition is met only if a majority of the members
 * reports it, both for the members that agree on the ledger and, where claims are in use, for those that hold them.
 */
import { requestCoreReport } from '../operator/core-report.js';
import type { CoreGroup, CoreReport, GroupReport } from '../operator/core-report.js';
import type { CoreClient } from '../operator/core.js';
import type { Condition } from './document.js';
import type { Observation } from './observation.js';

type CoreCondition = Extract<Condition, { tag: 'spareLosses' | 'goesOnWithout' }>;

const UNKNOWN_TEXT = 'no majority of the members says how many losses the core bears';

/** Evaluates a condition on the members' health. */
export async function observeCore(core: CoreClient, condition: CoreCondition): Promise<Observation> {
  const report = await requestCoreReport(core);
  if (!report) return { met: false, text: 'no controller answers' };
  return condition.tag === 'spareLosses'
    ? observeSpareLosses(report, condition.atLeast)
    : observeLossOf(report, condition.name);
}

function groupsOf(report: CoreReport): [CoreGroup, GroupReport][] {
  return report.claims
    ? [
        ['ledger', report.ledger],
        ['claims', report.claims],
      ]
    : [['ledger', report.ledger]];
}

function observeSpareLosses(report: CoreReport, atLeast: number): Observation {
  const texts: string[] = [];
  let met = true;
  for (const [name, group] of groupsOf(report)) {
    if (group.spareLosses === null) return { met: false, text: `${name}: ${UNKNOWN_TEXT}` };
    if (group.spareLosses < atLeast || group.warning === 'noWholeQuorum') met = false;
    texts.push(`${name} bears ${group.spareLosses} of at least ${atLeast}${lackText(group)}`);
  }
  return { met, text: texts.join('; ') };
}

function observeLossOf(report: CoreReport, name: string): Observation {
  const texts: string[] = [];
  for (const [groupName, group] of groupsOf(report)) {
    if (group.spareLosses === null) return { met: false, text: `${groupName}: ${UNKNOWN_TEXT}` };
    for (const member of group.details)
      if (member.name === name && group.essential.includes(member.id))
        texts.push(`${groupName} would stop without ${name}${lackText(group)}`);
  }
  return { met: texts.length === 0, text: texts.join('; ') || `the core goes on without ${name}` };
}

function lackText(group: GroupReport): string {
  const lacks: string[] = [];
  for (const member of group.details) if (member.lack !== null) lacks.push(`${member.name} ${member.lack}`);
  return lacks.length > 0 ? ` (${lacks.join(', ')})` : '';
}

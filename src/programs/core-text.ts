/** Formats the report of `inspect core` as a table, and one group of it as a line of `inspect status`. */
import type { ControllerStatus, CoreReport, GroupReport } from '../operator/core-report.js';
import type { CoreHealth, CoreWarning } from '../state/membership/core-health.js';

const WARNING_TEXTS: Readonly<Record<CoreWarning, string>> = {
  notMember: 'WARNING: not a member of a core',
  noMajority: 'WARNING: no majority knows; nothing is told',
  noWholeQuorum: 'WARNING: no majority in touch holds everything',
  noSpareLoss: 'WARNING: the next loss may stop it',
};

function cell(value: string | number | boolean | null | undefined, width: number): string {
  return String(value ?? '-').padEnd(width);
}

function lossesText(spareLosses: number | null): string {
  if (spareLosses === null) return 'unknown further losses';
  return spareLosses === 1 ? '1 further loss' : `${spareLosses} further losses`;
}

function groupText(name: string, group: GroupReport): string {
  const warning = group.warning === null ? '' : `  ${WARNING_TEXTS[group.warning]}`;
  return `${cell(name, 8)}bears ${lossesText(group.spareLosses)}, by the word of ${group.agreeing} of ${group.members} members (majority ${group.quorumSize})${warning}`;
}

function memberRows({ ledger, claims }: CoreReport): string[] {
  const rows = [
    `  ${cell('member', 16)}${cell('in touch', 10)}${cell('learned', 9)}${cell('accepted', 10)}${cell('lacks', 13)}${cell('claims', 13)}stops it if lost`,
  ];
  for (const member of ledger.details) {
    const claimMember = claims?.details.find(isSameMember);
    const stopsIfLost = ledger.spareLosses === null ? 'unknown' : ledger.essential.includes(member.id) ? 'yes' : 'no';
    const claimText = claimMember ? (claimMember.lack ?? 'complete') : '-';
    rows.push(
      `  ${cell(member.name, 16)}${cell(member.inTouch ? 'yes' : 'no', 10)}${cell(member.learned, 9)}${cell(member.top, 10)}${cell(member.lack, 13)}${cell(claimText, 13)}${stopsIfLost}`,
    );
    function isSameMember(other: { readonly id: string }): boolean {
      return other.id === member.id;
    }
  }
  return rows;
}

function controllerText(status: ControllerStatus): string {
  const nameCell = `  ${cell(status.name ?? status.address, 16)}`;
  if (!status.ledger) return `${nameCell}does not answer`;
  const { inTouch, members, holdingAll, spareLosses, warning } = status.ledger;
  return `${nameCell}${cell(`slot ${status.slot}`, 12)}in touch ${inTouch} of ${members}, holding all ${holdingAll ?? 'unknown'}, spare losses ${spareLosses ?? 'unknown'}${warning === null ? '' : ` (${warning})`}`;
}

/** Returns what `inspect core` prints of a report. */
export function coreText(report: CoreReport): string {
  const rows = [groupText('ledger', report.ledger)];
  if (report.claims) rows.push(groupText('claims', report.claims));
  rows.push(...memberRows(report), 'status of each controller');
  for (const status of report.words) rows.push(controllerText(status));
  return rows.join('\n');
}

/** Returns the health of the core as a single controller sees it, in one line for `inspect status`. */
export function ownStatusText(core: CoreHealth): string {
  const summary = `${core.inTouch} of ${core.members} members in touch, ${core.holdingAll ?? 'unknown'} holding all, bears ${lossesText(core.spareLosses)}`;
  return core.warning === null ? summary : `${summary}  ${WARNING_TEXTS[core.warning]}`;
}

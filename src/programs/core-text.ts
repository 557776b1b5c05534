/** The table that the read-only command shows of the core, and the line of it that stands in the status. */
import type { ControllerStatus, CoreReport, GroupReport } from '../operator/core-report.js';
import type { CoreHealth, CoreWarning } from '../state/membership/core-health.js';

const ADVICE: Readonly<Record<CoreWarning, string>> = {
  notMember: 'WARNING: belongs to no core',
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
  const warning = group.warning === null ? '' : `  ${ADVICE[group.warning]}`;
  return `${cell(name, 8)}bears ${lossesText(group.spareLosses)}, by the word of ${group.agreeing} of ${group.members} members (majority ${group.quorumSize})${warning}`;
}

function memberRows({ ledger, claims }: CoreReport): string[] {
  const rows = [
    `  ${cell('member', 16)}${cell('in touch', 10)}${cell('learned', 9)}${cell('accepted', 10)}${cell('lacks', 13)}${cell('claims', 13)}stops it if lost`,
  ];
  for (const member of ledger.details) {
    const claimLack = claims?.details.find(isSame);
    const stops = ledger.spareLosses === null ? 'unknown' : ledger.essential.includes(member.id) ? 'yes' : 'no';
    const claimText = claimLack ? (claimLack.lack ?? 'whole') : '-';
    rows.push(
      `  ${cell(member.name, 16)}${cell(member.inTouch ? 'yes' : 'no', 10)}${cell(member.learned, 9)}${cell(member.top, 10)}${cell(member.lack, 13)}${cell(claimText, 13)}${stops}`,
    );
    function isSame(other: { readonly id: string }): boolean {
      return other.id === member.id;
    }
  }
  return rows;
}

function statusText(status: ControllerStatus): string {
  const electorate = `  ${cell(status.name ?? status.address, 16)}`;
  if (!status.ledger) return `${electorate}does not answer`;
  const { inTouch, members, holdingAll, spareLosses, warning } = status.ledger;
  return `${electorate}${cell(`slot ${status.slot}`, 12)}in touch ${inTouch} of ${members}, holding all ${holdingAll ?? 'unknown'}, spare losses ${spareLosses ?? 'unknown'}${warning === null ? '' : ` (${warning})`}`;
}

/** What `inspect core` prints of a report; null prints that nobody answered. */
export function coreText(report: CoreReport): string {
  const rows = [groupText('ledger', report.ledger)];
  if (report.claims) rows.push(groupText('claims', report.claims));
  rows.push(...memberRows(report), 'what each controller says');
  for (const status of report.words) rows.push(statusText(status));
  return rows.join('\n');
}

/** One line of what a single controller knows, for the status. */
export function ownStatusText(core: CoreHealth): string {
  const figures = `${core.inTouch} of ${core.members} members in touch, ${core.holdingAll ?? 'unknown'} holding all, bears ${lossesText(core.spareLosses)}`;
  return core.warning === null ? figures : `${figures}  ${ADVICE[core.warning]}`;
}

/** Formats a failed run for debugging: violations, faults, operator commands, the requests concerned, and logs. */
import type { SiteReport } from '../report.js';
import type { JournalRecord } from '../records.js';

/** Maximum number of requests that are shown in full. */
const MAX_REQUESTS = 5;
const ATTEMPT = /\b[0-9a-f]{16}\b/;
const SHOWN_RECORDS: ReadonlySet<JournalRecord['what']> = new Set([
  'planned',
  'submitted',
  'evacuated',
  'settled',
  'readBack',
  'listTrouble',
  'life',
]);
const SHOWN_LOG_LINES = / (warn|error|fatal) |agreed|lease acquired|following|settled on|order on a zone/;

function formatRecord(record: JournalRecord): string {
  const { at, what, ...fields } = record;
  const shown: Record<string, unknown> = { ...fields };
  delete shown['document'];
  return `${at.toFixed(0).padStart(8)} ${what} ${JSON.stringify(shown)}`;
}

/** The first attempts that violations name. */
function attemptsNamedIn(report: SiteReport): ReadonlySet<string> {
  const named = new Set<string>();
  for (const { text } of report.violations) {
    const attempt = ATTEMPT.exec(text)?.[0];
    if (attempt !== undefined && named.size < MAX_REQUESTS) named.add(attempt);
  }
  return named;
}

/** Returns the complete text. */
export function timelineOf(
  records: readonly JournalRecord[],
  report: SiteReport,
  logs: ReadonlyMap<string, string>,
): string {
  const named = attemptsNamedIn(report);
  const visits = new Set<string>();
  const lines = [
    '== Violations',
    ...report.violations.map(({ rule, text }) => `${rule}: ${text}`),
    '',
    report.text,
    '',
  ];
  lines.push('== Faults, commands and requests; milliseconds since the start');
  for (const record of records) {
    const isNamed = 'attempt' in record && record.attempt !== null && named.has(record.attempt);
    if (isNamed && 'visit' in record) visits.add(record.visit);
    const isVisit = 'visit' in record && visits.has(record.visit);
    if (SHOWN_RECORDS.has(record.what) || isNamed || isVisit) lines.push(formatRecord(record));
  }
  for (const [name, text] of logs) {
    const kept = text
      .split('\n')
      .filter((line) => SHOWN_LOG_LINES.test(line) || [...named].some((id) => line.includes(id)));
    lines.push('', `== Log of ${name}`, ...kept);
  }
  return `${lines.join('\n')}\n`;
}

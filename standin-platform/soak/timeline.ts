/** A run that broke a rule, told for tracing: verdicts, what was done and ordered, the requests concerned, the logs. */
import type { SiteReport } from '../report.js';
import type { JournalRecord } from '../records.js';

/** Requests whose whole way is told. */
const MOST_REQUESTS = 5;
const ATTEMPT = /\b[0-9a-f]{16}\b/;
const TOLD: ReadonlySet<JournalRecord['what']> = new Set([
  'planned',
  'submitted',
  'evacuated',
  'settled',
  'readBack',
  'listTrouble',
  'life',
]);
const LOUD = / (warn|error|fatal) |agreed|lease acquired|following|settled on|order on a zone/;

function told(record: JournalRecord): string {
  const { at, what, ...fields } = record;
  const rest: Record<string, unknown> = { ...fields };
  delete rest['document'];
  return `${at.toFixed(0).padStart(8)} ${what} ${JSON.stringify(rest)}`;
}

/** Attempts that verdicts name, the first few. */
function attemptsIn(report: SiteReport): ReadonlySet<string> {
  const named = new Set<string>();
  for (const { text } of report.verdicts) {
    const attempt = ATTEMPT.exec(text)?.[0];
    if (attempt !== undefined && named.size < MOST_REQUESTS) named.add(attempt);
  }
  return named;
}

/** The whole text. */
export function timelineOf(
  records: readonly JournalRecord[],
  report: SiteReport,
  logs: ReadonlyMap<string, string>,
): string {
  const named = attemptsIn(report);
  const visits = new Set<string>();
  const lines = ['== Verdicts', ...report.verdicts.map(({ rule, text }) => `${rule}: ${text}`), '', report.text, ''];
  lines.push('== What was done, ordered and seen; milliseconds since the start');
  for (const record of records) {
    const isNamed = 'attempt' in record && record.attempt !== null && named.has(record.attempt);
    if (isNamed && 'visit' in record) visits.add(record.visit);
    const isVisit = 'visit' in record && visits.has(record.visit);
    if (TOLD.has(record.what) || isNamed || isVisit) lines.push(told(record));
  }
  for (const [name, text] of logs) {
    const kept = text.split('\n').filter((line) => LOUD.test(line) || [...named].some((id) => line.includes(id)));
    lines.push('', `== Log of ${name}`, ...kept);
  }
  return `${lines.join('\n')}\n`;
}

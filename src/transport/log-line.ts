/** How one line of a log is written, as text or as JSON. Without a library, as both logs use it. */

/** Fields of a log line. Times end in `Ms` and are milliseconds. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Forms of a line: for people, or one JSON object. */
export const LOG_FORMATS = ['text', 'json'] as const;
/** One of these forms. */
export type LogFormat = (typeof LOG_FORMATS)[number];

/** One line, before it has a form. */
export type LogLine = {
  readonly time: Date;
  readonly level: string;
  readonly component: string;
  readonly event: string;
  readonly fields: LogFields;
};

function shownValue(value: LogFields[string]): string {
  const text = String(value);
  return text === '' || /[\s="]/.test(text) ? JSON.stringify(text) : text;
}

/** The fields as `key=value`, apart by blanks; a value with a blank or a quote stands in quotes. */
export function fieldsText(fields: LogFields): string {
  const shown: string[] = [];
  for (const [key, value] of Object.entries(fields)) shown.push(`${key}=${shownValue(value)}`);
  return shown.join(' ');
}

/** The line as text: time, level, component, event, fields. */
export function textLine({ time, level, component, event, fields }: LogLine): string {
  const shown = fieldsText(fields);
  return `${time.toISOString()} ${level.padEnd(5)} [${component}] ${event}${shown === '' ? '' : ` ${shown}`}\n`;
}

/** The line as one JSON object: `time`, `level`, `component`, `event`, and the fields beside them. */
export function jsonLine({ time, level, component, event, fields }: LogLine): string {
  return `${JSON.stringify({ time: time.toISOString(), level, component, event, ...fields })}\n`;
}

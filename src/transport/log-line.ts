/** Formats log lines as text or as JSON. Depends on no logging library, because both log implementations use it. */

/** Fields of a log line. Names of times end in `Ms`, and their values are in milliseconds. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Formats of a line: text for people, or one JSON object. */
export const LOG_FORMATS = ['text', 'json'] as const;
/** One of the log formats. */
export type LogFormat = (typeof LOG_FORMATS)[number];

/** One log line before it is formatted. */
export type LogLine = {
  readonly time: Date;
  readonly level: string;
  readonly component: string;
  readonly event: string;
  readonly fields: LogFields;
};

function formatValue(value: LogFields[string]): string {
  const text = String(value);
  return text === '' || /[\s="]/.test(text) ? JSON.stringify(text) : text;
}

/**
 * Formats the fields as `key=value`, separated by spaces. Empty values and those with spaces, `"` or `=` are quoted.
 */
export function formatFields(fields: LogFields): string {
  const formatted: string[] = [];
  for (const [key, value] of Object.entries(fields)) formatted.push(`${key}=${formatValue(value)}`);
  return formatted.join(' ');
}

/** Formats the line as text: time, level, component, event, fields. */
export function formatTextLine({ time, level, component, event, fields }: LogLine): string {
  const formatted = formatFields(fields);
  return `${time.toISOString()} ${level.padEnd(5)} [${component}] ${event}${formatted === '' ? '' : ` ${formatted}`}\n`;
}

/** Formats the line as one JSON object: `time`, `level`, `component`, `event`, and the fields at the same level. */
export function formatJsonLine({ time, level, component, event, fields }: LogLine): string {
  return `${JSON.stringify({ time: time.toISOString(), level, component, event, ...fields })}\n`;
}

/** Returns the line that stands for `count` lines that the log dropped because it could not write them. */
export function droppedLine(count: number): LogLine {
  return { time: new Date(), level: 'warn', component: 'log', event: 'log lines dropped', fields: { count } };
}

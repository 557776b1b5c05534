import { describe, expect, test } from '@jest/globals';
import { jsonLine, textLine } from './log-line.js';
import type { LogLine } from './log-line.js';

const LINE: LogLine = {
  time: new Date(0),
  level: 'warn',
  component: 'list',
  event: 'worker list invalid',
  fields: { error: 'no "id" given', ageMs: 12, from: '', again: true, cause: null },
};

describe('a log line', () => {
  test('as text quotes the values that have a blank or a quote, and empty ones', () => {
    expect(textLine(LINE)).toBe(
      '1970-01-01T00:00:00.000Z warn  [list] worker list invalid error="no \\"id\\" given" ageMs=12 from="" again=true cause=null\n',
    );
  });

  test('without fields ends after its event', () => {
    expect(textLine({ ...LINE, fields: {} })).toBe('1970-01-01T00:00:00.000Z warn  [list] worker list invalid\n');
  });

  test('as JSON is one object with the fields beside the event', () => {
    const written = jsonLine(LINE);
    expect(written.endsWith('\n')).toBe(true);
    expect(JSON.parse(written)).toEqual({
      time: '1970-01-01T00:00:00.000Z',
      level: 'warn',
      component: 'list',
      event: 'worker list invalid',
      ...LINE.fields,
    });
  });
});

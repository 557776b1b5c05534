import { describe, expect, test } from '@jest/globals';
import { formatJsonLine, formatTextLine } from './log-line.js';
import type { LogLine } from './log-line.js';

const LINE: LogLine = {
  time: new Date(0),
  level: 'warn',
  component: 'list',
  event: 'worker list invalid',
  fields: { error: 'no "id" given', ageMs: 12, from: '', again: true, cause: null },
};

describe('a log line', () => {
  test('as text quotes empty values and those that contain a space or a quote', () => {
    expect(formatTextLine(LINE)).toBe(
      '1970-01-01T00:00:00.000Z warn  [list] worker list invalid error="no \\"id\\" given" ageMs=12 from="" again=true cause=null\n',
    );
  });

  test('without fields ends after its event', () => {
    expect(formatTextLine({ ...LINE, fields: {} })).toBe('1970-01-01T00:00:00.000Z warn  [list] worker list invalid\n');
  });

  test('as JSON is one object with the fields at the same level as the event', () => {
    const written = formatJsonLine(LINE);
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

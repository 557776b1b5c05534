import { describe, expect, test } from '@jest/globals';
import { ownValue, setOwnValue } from './own-value.js';

const INHERITED_NAMES = ['constructor', 'toString', 'valueOf', 'hasOwnProperty', '__proto__'];

describe('values of plain objects by a name from outside', () => {
  test.each(INHERITED_NAMES)('%s is unknown until it is set, and then an ordinary key', (name) => {
    const record: Record<string, number> = {};
    expect(ownValue(record, name)).toBeUndefined();
    setOwnValue(record, name, 1);
    expect(ownValue(record, name)).toBe(1);
    expect(Object.keys(record)).toEqual([name]);
    expect(JSON.parse(JSON.stringify(record))).toEqual(record);
    delete record[name];
    expect(ownValue(record, name)).toBeUndefined();
  });

  test('no record has no values', () => {
    expect(ownValue(undefined, 'a')).toBeUndefined();
    expect(ownValue(null, 'a')).toBeUndefined();
  });
});

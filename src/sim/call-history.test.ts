import { expect, test } from '@jest/globals';
import { createCallHistory } from './call-history.js';

test('a history has what its callers saw: a call without an answer stays unclear, a read without one says nothing', () => {
  let now = 0;
  const history = createCallHistory(() => now, { number: 0, content: 'c0' });
  const change = { node: 'h1', request: 'r', base: 0, number: null, content: 'c5' };
  history.changeSent(change);
  const sentAgain = history.changeSent(change);
  history.readSent('h2');
  const read = history.readSent('h3');
  now = 10;
  sentAgain('confirmed', 5);
  read(5, 'c5');
  expect([history.size(), history.confirmed(), history.check()]).toEqual([3, 1, null]);
  now = 20;
  const late = history.readSent('h2');
  now = 21;
  late(0, 'c0');
  expect(history.check()?.kind).toBe('olderRead');
});

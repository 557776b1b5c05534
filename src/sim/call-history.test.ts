import { expect, test } from '@jest/globals';
import { createCallHistory } from './call-history.js';

test('the history holds what callers saw: an unanswered change stays unclear, an unanswered read is left out', () => {
  let now = 0;
  const history = createCallHistory(() => now, { number: 0, content: 'c0' });
  const change = { node: 'h1', request: 'r', base: 0, number: null, content: 'c5' };
  history.recordChange(change);
  const recordAnswer = history.recordChange(change);
  history.recordRead('h2');
  const recordReadResult = history.recordRead('h3');
  now = 10;
  recordAnswer('confirmed', 5);
  recordReadResult(5, 'c5');
  expect([history.size(), history.confirmed(), history.check()]).toEqual([3, 1, null]);
  now = 20;
  const recordLateRead = history.recordRead('h2');
  now = 21;
  recordLateRead(0, 'c0');
  expect(history.check()?.kind).toBe('olderRead');
});

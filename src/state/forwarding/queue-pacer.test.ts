import { expect, test } from '@jest/globals';
import { createQueuePacer } from './queue-pacer.js';

test('the wait is foretold from the pace of the line, and not from too little', () => {
  const pace = createQueuePacer();
  expect(pace.expectedWaitMs(5, 0)).toBeNull();
  for (let i = 0; i < 21; i += 1) pace.record(i * 100);
  expect(pace.expectedWaitMs(9, 2_000)).toBe(1_000);
  expect(pace.expectedWaitMs(0, 2_000)).toBe(100);
  expect(pace.expectedWaitMs(9, 4_000)).toBe(2_000);
  expect(pace.expectedWaitMs(9, 60_000)).toBeNull();
});

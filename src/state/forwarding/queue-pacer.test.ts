import { expect, test } from '@jest/globals';
import { createQueuePacer } from './queue-pacer.js';

test('the wait is estimated from the rate of freed slots, and not from too few samples', () => {
  const estimator = createQueuePacer();
  expect(estimator.expectedWaitMs(5, 0)).toBeNull();
  for (let i = 0; i < 21; i += 1) estimator.record(i * 100);
  expect(estimator.expectedWaitMs(9, 2_000)).toBe(1_000);
  expect(estimator.expectedWaitMs(0, 2_000)).toBe(100);
  expect(estimator.expectedWaitMs(9, 4_000)).toBe(2_000);
  expect(estimator.expectedWaitMs(9, 60_000)).toBeNull();
});

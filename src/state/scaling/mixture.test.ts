import { expect, test } from '@jest/globals';
import { decideMixture } from './mixture.js';

test.each([
  [4, 2, 0, 6, 4],
  [4, 2, 1, 6, 4],
  [4, 2, 2, 6, 4],
  [4, 2, 3, 6, 3],
  [4, 2, 5, 6, 1],
  [4, 2, 6, 6, 0],
  [4, 2, 9, 6, 0],
  [0, 2, 0, 2, 0],
  [3, 0, 0, 3, 3],
  [3, 0, 3, 3, 0],
])('target %i extra %i with %i spot ready wants %i spot and %i on demand', (target, extra, ready, spot, onDemand) => {
  expect(decideMixture(target, extra, ready)).toEqual({ spot, onDemand });
});

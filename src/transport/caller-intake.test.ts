import { expect, test } from '@jest/globals';
import { maxCallerConnections } from './caller-intake.js';

const MB = 1_048_576;
/** What an unread connection may hold in the operating system. */
const WINDOW_BYTES = 131_072;

// Guards against bytes that arrive on so many connections that they exceed the machine before they are read.
test.each([
  [350, 4_100, 1],
  [346, 4_096, 2],
  [128, 100_000, 2],
])('on %i MB and %i descriptors, unread connections at %i addresses hold under a third of the memory', (mb, fds, n) => {
  const connections = maxCallerConnections({ memoryMegabytes: mb, maxDescriptors: fds }, n);
  expect(connections * n * WINDOW_BYTES).toBeLessThan((mb * MB) / 3);
  expect(connections).toBeLessThan(fds / 2);
  expect(connections).toBeGreaterThan(100);
});

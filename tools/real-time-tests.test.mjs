import { describe, expect, test } from '@jest/globals';
import { exactPathPattern, realTimeTests, usesRealTime } from './real-time-tests.mjs';

describe('real-time tests', () => {
  test.each([
    ['a process', "import { spawn } from 'node:child_process';"],
    ['a socket', "import { createServer } from 'node:net';"],
    ['a server', "import { request } from 'node:http';"],
    ['the system clock', 'const clock = createClock();'],
    ['a connection pool', 'const pool = createConnectionPool(clock);'],
  ])('a test that uses %s is found', (_what, text) => {
    expect(usesRealTime(`import { test } from '@jest/globals';\n${text}\n`)).toBe(true);
  });

  test.each([
    ['a simulated clock', 'const clock = world.clockOf(proc);'],
    ['files', "import { readFileSync } from 'node:fs';"],
    ['a type of the network', "import type { Wire } from '../transport/wire.js';"],
  ])('a test that uses only %s is not found', (_what, text) => {
    expect(usesRealTime(text)).toBe(false);
  });

  test('the real-time tests of this project are found, and no test of the simulator', () => {
    const found = realTimeTests();
    expect(found).toEqual(
      expect.arrayContaining([
        'platform/build.test.ts',
        'platform/calls.test.ts',
        'src/programs/package.test.ts',
        'src/transport/connection-pool.test.ts',
        'src/transport/http-server.test.ts',
        'src/transport/opaque-http-server.test.ts',
        'standin-platform/worker.test.ts',
        'tools/children.test.mjs',
      ]),
    );
    expect(found.filter((path) => path.startsWith('src/sim/'))).toEqual([]);
  });

  test('a pattern matches only its own path', () => {
    const pattern = new RegExp(exactPathPattern('src/a.test.ts'));
    expect(pattern.test('/repo/src/a.test.ts')).toBe(true);
    expect(['/repo/src/ba.test.ts', '/repo/src/aXtest.ts', '/repo/src/a.test.tsx'].some((p) => pattern.test(p))).toBe(
      false,
    );
  });
});

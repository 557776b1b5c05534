import { afterEach, expect, jest, test } from '@jest/globals';
import { createWorld } from '../sim/world.js';
import type { Log } from './log.js';
import { awaitStopSignal, stopAndExit, exitIfStartHangs } from './stop-signal.js';

const WITHIN_MS = 5_000;
const lines: string[] = [];
const log: Log = {
  info: (event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`),
  warn: (event) => lines.push(event),
  error: (event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`),
};
function mockedExit(): jest.SpiedFunction<typeof process.exit> {
  return jest.spyOn(process, 'exit').mockImplementation(() => undefined as never);
}

afterEach(() => {
  lines.splice(0);
  jest.restoreAllMocks();
  for (const signal of ['SIGTERM', 'SIGINT']) process.removeAllListeners(signal);
});

test('the first signal counts, and later ones do not end the process', async () => {
  const signal = awaitStopSignal();
  process.emit('SIGINT', 'SIGINT');
  process.emit('SIGTERM', 'SIGTERM');
  expect(await signal).toBe('SIGINT');
});

test('a process exits once its stop is complete', async () => {
  const world = createWorld(1);
  const clock = world.clockOf(world.startProcess(world.host('node', 'zone')));
  const exit = mockedExit();
  await stopAndExit(log, clock, WITHIN_MS, () => Promise.resolve());
  expect(exit).toHaveBeenCalledWith(0);
  expect(lines).toEqual(['exiting {"outcome":"done","afterMs":0}']);
});

// Guards against a process that runs until it is killed because a promise that its stop awaits was rejected.
test('a process exits also if its stop fails', async () => {
  const world = createWorld(1);
  const clock = world.clockOf(world.startProcess(world.host('node', 'zone')));
  const exit = mockedExit();
  await stopAndExit(log, clock, WITHIN_MS, () => Promise.reject(new Error('no disk')));
  expect(exit).toHaveBeenCalledWith(0);
  expect(lines[0]).toMatch(/^stop failed .*no disk/);
});

test('a process exits in time also if its stop never completes', async () => {
  const world = createWorld(1);
  const clock = world.clockOf(world.startProcess(world.host('node', 'zone')));
  const exit = mockedExit();
  const ended = stopAndExit(log, clock, WITHIN_MS, () => new Promise(() => undefined));
  await world.advance(WITHIN_MS - 10);
  expect(exit).not.toHaveBeenCalled();
  await world.advance(20);
  await ended;
  expect(exit).toHaveBeenCalledWith(0);
  expect(lines).toEqual([`exiting {"outcome":"timedOut","afterMs":${WITHIN_MS}}`]);
});

// Guards against a process that hangs while it starts, for example on its disk, and exits only when it is killed.
test.each([
  ['hangs while it starts', false],
  ['has started', true],
])('a process that received a stop signal and %s', async (_what, hasStarted) => {
  const world = createWorld(1);
  const clock = world.clockOf(world.startProcess(world.host('node', 'zone')));
  const exit = mockedExit();
  const signal = awaitStopSignal();
  const started = exitIfStartHangs(log, clock, signal, WITHIN_MS);
  await world.advance(WITHIN_MS + 10);
  expect(exit).not.toHaveBeenCalled();
  process.emit('SIGTERM', 'SIGTERM');
  await signal;
  if (hasStarted) started();
  await world.advance(WITHIN_MS + 10);
  expect(exit).toHaveBeenCalledTimes(hasStarted ? 0 : 1);
});

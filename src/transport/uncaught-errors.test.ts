import { afterEach, expect, jest, test } from '@jest/globals';
import type { Log } from './log.js';
import { handleUncaughtErrors } from './uncaught-errors.js';

const EXIT_CODE = 70;
const ERROR_EVENTS = ['uncaughtException', 'unhandledRejection'] as const;
const lines: string[] = [];
const log: Log = {
  info: () => {},
  warn: () => {},
  error: (event, fields) => lines.push(`${event} ${String(fields?.['error']).split('\n')[0]}`),
};
const listenersBefore = ERROR_EVENTS.map((event) => process.listeners(event as 'uncaughtException'));

function mockedExit(): jest.SpiedFunction<typeof process.exit> {
  return jest.spyOn(process, 'exit').mockImplementation(() => undefined as never);
}
function emitError(event: (typeof ERROR_EVENTS)[number]): void {
  const added = process
    .listeners(event as 'uncaughtException')
    .filter((listener) => !listenersBefore.flat().includes(listener));
  for (const listener of added) listener(new Error('broke'), 'uncaughtException');
}

afterEach(() => {
  lines.splice(0);
  jest.restoreAllMocks();
  for (const event of ERROR_EVENTS)
    for (const listener of process.listeners(event as 'uncaughtException'))
      if (!listenersBefore.flat().includes(listener)) process.off(event, listener);
});

// Guards against a controller that runs on after its start failed: it neither serves nor is it started again.
test.each(ERROR_EVENTS)('an error during the start ends the process: %s', (event) => {
  const exit = mockedExit();
  handleUncaughtErrors(log, EXIT_CODE);
  emitError(event);
  expect(exit).toHaveBeenCalledWith(EXIT_CODE);
  expect(lines).toEqual(['uncaught exception during the start Error: broke']);
});

test.each(ERROR_EVENTS)('an error of a process that serves does not end it: %s', (event) => {
  const exit = mockedExit();
  const onStarted = handleUncaughtErrors(log, EXIT_CODE);
  onStarted();
  emitError(event);
  expect(exit).not.toHaveBeenCalled();
  expect(lines).toEqual(['uncaught exception Error: broke']);
});

import { describe, expect, test } from '@jest/globals';
import type { Clock } from './clock.js';
import { PROCESS_PAUSE_MS, ProcessPauseDetector } from './process-pause-detector.js';

function settableClock(): { readonly clock: Clock; now: number } {
  const time = { now: 0, clock: { mono: () => time.now, wall: () => 0, timer: () => ({ cancel: () => undefined }) } };
  return time;
}

describe('a process pause', () => {
  test('is a gap longer than the limit, reported once with its length', () => {
    const time = settableClock();
    const detector = new ProcessPauseDetector(time.clock);
    time.now = PROCESS_PAUSE_MS + 1;
    expect(detector.isOpen()).toBe(true);
    expect(detector.tick()).toBe(PROCESS_PAUSE_MS + 1);
    expect(detector.isOpen()).toBe(false);
    expect(detector.tick()).toBeNull();
  });

  test('is not a gap of exactly the limit', () => {
    const time = settableClock();
    const detector = new ProcessPauseDetector(time.clock);
    time.now = PROCESS_PAUSE_MS;
    expect(detector.isOpen()).toBe(false);
    expect(detector.tick()).toBeNull();
  });
});

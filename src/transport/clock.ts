/**
 * Interface to time, so that tests can run on simulated time. Everything that waits, measures
 * or schedules uses a `Clock`; no other module uses the timers of the runtime.
 */

import { performance } from 'node:perf_hooks';

/** A scheduled call that can be cancelled. */
export type Timer = { readonly cancel: () => void };

/** Monotonic time, wall time (both in milliseconds) and timers. Durations may only be measured with monotonic time. */
export type Clock = {
  readonly mono: () => number;
  readonly wall: () => number;
  readonly timer: (ms: number, callback: () => void) => Timer;
};

/** Creates a clock that uses the time and timers of the runtime. */
export function createClock(): Clock {
  function mono(): number {
    return performance.now();
  }
  function wall(): number {
    return Date.now();
  }
  function timer(ms: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, ms));
    function cancel(): void {
      clearTimeout(handle);
    }
    return { cancel };
  }
  return { mono, wall, timer };
}

/** Resolves after `ms`. */
export function delay(clock: Clock, ms: number): Promise<void> {
  function start(resolve: () => void): void {
    clock.timer(ms, resolve);
  }
  return new Promise<void>(start);
}

/** Resolves to the value of `work`, or to null if it takes longer than `ms`. The work itself is not cancelled. */
export function withTimeout<T>(clock: Clock, ms: number, work: Promise<T>): Promise<T | null> {
  function start(resolve: (value: T | null) => void): void {
    function onTimeout(): void {
      resolve(null);
    }
    const timer = clock.timer(ms, onTimeout);
    function onDone(value: T): void {
      timer.cancel();
      resolve(value);
    }
    void work.then(onDone);
  }
  return new Promise(start);
}

/** Calls `callback` every `ms` until cancelled, for the first time after `ms`. */
export function every(clock: Clock, ms: number, callback: () => void): Timer {
  let stopped = false;
  let nextTimer: Timer = clock.timer(ms, tick);
  function tick(): void {
    if (stopped) return;
    nextTimer = clock.timer(ms, tick);
    callback();
  }
  function cancel(): void {
    stopped = true;
    nextTimer.cancel();
  }
  return { cancel };
}

/** Yields to the event loop: resolves after the events that are already pending have been handled. */
export function yieldToEventLoop(): Promise<void> {
  function start(resolve: () => void): void {
    setImmediate(resolve);
  }
  return new Promise<void>(start);
}

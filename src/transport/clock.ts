/**
 * Time as an interface, so that tests run on simulated time. Everything that waits, measures
 * or schedules does so by a `Clock`; no other module touches the timers of the runtime.
 */

import { performance } from 'node:perf_hooks';

/** A scheduled call that can be cancelled. */
export type Timer = { readonly cancel: () => void };

/** Monotonic time, wall time (both in milliseconds) and timers. Only monotonic time may be used to judge how long something took. */
export type Clock = {
  readonly mono: () => number;
  readonly wall: () => number;
  readonly timer: (ms: number, callback: () => void) => Timer;
};

/** The clock of the runtime. */
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

/** The value of `work`, or null if it takes longer than `ms`; the work itself goes on. */
export function within<T>(clock: Clock, ms: number, work: Promise<T>): Promise<T | null> {
  function start(resolve: (value: T | null) => void): void {
    function late(): void {
      resolve(null);
    }
    const timer = clock.timer(ms, late);
    function done(value: T): void {
      timer.cancel();
      resolve(value);
    }
    void work.then(done);
  }
  return new Promise(start);
}

/** Calls `fn` each `ms` until cancelled; the first time after `ms`. */
export function every(clock: Clock, ms: number, callback: () => void): Timer {
  let stopped = false;
  let next: Timer = clock.timer(ms, tick);
  function tick(): void {
    if (stopped) return;
    next = clock.timer(ms, tick);
    callback();
  }
  function cancel(): void {
    stopped = true;
    next.cancel();
  }
  return { cancel };
}

/** Resolves after other pending events had their turn. */
export function turnOver(): Promise<void> {
  function start(resolve: () => void): void {
    setImmediate(resolve);
  }
  return new Promise<void>(start);
}

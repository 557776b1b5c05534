import { performance } from 'node:perf_hooks';

export type Wakeup = { readonly cancel: () => void };

export type Clock = {
  readonly mono: () => number;
  readonly wall: () => number;
  readonly wakeup: (ms: number, fn: () => void) => Wakeup;
};

export function createClock(): Clock {
  function mono(): number {
    return performance.now();
  }
  function wall(): number {
    return Date.now();
  }
  function wakeup(ms: number, fn: () => void): Wakeup {
    const handle = setTimeout(fn, Math.max(0, ms));
    function cancel(): void {
      clearTimeout(handle);
    }
    return { cancel };
  }
  return { mono, wall, wakeup };
}

export function pause(clock: Clock, ms: number): Promise<void> {
  function start(resolve: () => void): void {
    clock.wakeup(ms, resolve);
  }
  return new Promise<void>(start);
}

export function within<T>(clock: Clock, ms: number, work: Promise<T>): Promise<T | null> {
  function start(resolve: (value: T | null) => void): void {
    function late(): void {
      resolve(null);
    }
    const wakeup = clock.wakeup(ms, late);
    function done(value: T): void {
      wakeup.cancel();
      resolve(value);
    }
    void work.then(done);
  }
  return new Promise(start);
}

export function every(clock: Clock, ms: number, fn: () => void): Wakeup {
  let stopped = false;
  let next: Wakeup = clock.wakeup(ms, tick);
  function tick(): void {
    if (stopped) return;
    next = clock.wakeup(ms, tick);
    fn();
  }
  function cancel(): void {
    stopped = true;
    next.cancel();
  }
  return { cancel };
}

export function turnOver(): Promise<void> {
  function start(resolve: () => void): void {
    setImmediate(resolve);
  }
  return new Promise<void>(start);
}

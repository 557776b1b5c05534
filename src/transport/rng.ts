/**
 * Randomness as an interface, so that a seeded run repeats exactly. Every random choice is made
 * by an `Rng`; no other module asks the runtime for random numbers.
 */

import { randomBytes } from 'node:crypto';

/** Uniform random numbers, 0 included and 1 excluded. */
export type Rng = { readonly next: () => number };

/** A seeded generator (mulberry32) for tests and stand-ins. Predictable: not for secrets. */
export function createRng(seed: number): Rng {
  let seconds = seed >>> 0;
  function next(): number {
    seconds = (seconds + 0x6d2b79f5) >>> 0;
    let time = Math.imul(seconds ^ (seconds >>> 15), 1 | seconds);
    time = (time + Math.imul(time ^ (time >>> 7), 61 | time)) ^ time;
    return ((time ^ (time >>> 14)) >>> 0) / 4294967296;
  }
  return { next };
}

/** A generator fed by the operating system, fit for secrets and ids. */
export function createOsRng(): Rng {
  let pool = randomBytes(0);
  let at = 0;
  function next(): number {
    if (at + 6 > pool.length) {
      pool = randomBytes(1536);
      at = 0;
    }
    const count = pool.readUIntBE(at, 6);
    at += 6;
    return count / 281474976710656;
  }
  return { next };
}

/** A whole number from 0 to below `n`. */
export function below(rng: Rng, count: number): number {
  return Math.floor(rng.next() * count);
}

/** One of the items, each as likely. */
export function pick<T>(rng: Rng, items: readonly T[]): T {
  return items[below(rng, items.length)] as T;
}

/** A wait to the next of events that come independently of each other, in units of their mean distance. */
export function exponential(rng: Rng): number {
  return -Math.log(1 - rng.next());
}

const HEX = '0123456789abcdef';

/** An id of 80 random bits behind a prefix. */
export function newId(rng: Rng, prefix: string): string {
  let text = '';
  for (let i = 0; i < 20; i += 1) text += HEX[below(rng, 16)];
  return `${prefix}-${text}`;
}

/** A copy in random order (Fisher-Yates). */
export function shuffled<T>(rng: Rng, items: readonly T[]): T[] {
  const out = [...items];
  for (let i = out.length - 1; i > 0; i -= 1) {
    const j = below(rng, i + 1);
    const mixed = out[i] as T;
    out[i] = out[j] as T;
    out[j] = mixed;
  }
  return out;
}

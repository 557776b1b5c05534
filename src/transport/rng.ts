/**
 * Interface to random numbers, so that a run with a given seed is reproducible. Every random choice uses
 * an `Rng`; no other module gets random numbers from the runtime.
 */

import { randomBytes } from 'node:crypto';

/** Uniform random numbers in [0, 1). */
export type Rng = { readonly next: () => number };

/** Creates a seeded generator (mulberry32) for tests and stand-ins. It is predictable, so not suitable for secrets. */
export function createRng(seed: number): Rng {
  let state = seed >>> 0;
  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
  return { next };
}

/** Creates a generator that uses random bytes of the operating system, suitable for secrets and ids. */
export function createOsRng(): Rng {
  let buffer = randomBytes(0);
  let offset = 0;
  function next(): number {
    if (offset + 6 > buffer.length) {
      buffer = randomBytes(1536);
      offset = 0;
    }
    const bits = buffer.readUIntBE(offset, 6);
    offset += 6;
    return bits / 281474976710656;
  }
  return { next };
}

/** Returns a random integer in [0, `count`). */
export function randomInt(rng: Rng, count: number): number {
  return Math.floor(rng.next() * count);
}

/** Returns one of the items, each with the same probability. */
export function pick<T>(rng: Rng, items: readonly T[]): T {
  return items[randomInt(rng, items.length)] as T;
}

/** Returns an exponentially distributed interval between independent events, in units of the mean interval. */
export function exponential(rng: Rng): number {
  return -Math.log(1 - rng.next());
}

const HEX = '0123456789abcdef';

/** Returns an id: a prefix and 80 random bits. */
export function newId(rng: Rng, prefix: string): string {
  let text = '';
  for (let i = 0; i < 20; i += 1) text += HEX[randomInt(rng, 16)];
  return `${prefix}-${text}`;
}

/** Returns a copy in random order (Fisher-Yates). */
export function shuffled<T>(rng: Rng, items: readonly T[]): T[] {
  const copy = [...items];
  for (let i = copy.length - 1; i > 0; i -= 1) {
    const j = randomInt(rng, i + 1);
    const swapped = copy[i] as T;
    copy[i] = copy[j] as T;
    copy[j] = swapped;
  }
  return copy;
}

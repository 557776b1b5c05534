import { describe, expect, test } from '@jest/globals';
import { createWorld } from '../sim/world.js';
import { WeightedSemaphore } from './weighted-semaphore.js';

function createFixture() {
  const world = createWorld(1);
  const semaphore = new WeightedSemaphore(10, world.clockOf(world.startProcess(world.host('core', 'z1'))));
  return { world, semaphore };
}

describe('a weighted semaphore', () => {
  test('lets a weight through once it fits, and a light one past a heavy one that waits', async () => {
    const { semaphore } = createFixture();
    const first = await semaphore.acquire(6, 1_000);
    const heavy = semaphore.acquire(8, 1_000);
    expect(await semaphore.acquire(4, 1_000)).not.toBeNull();
    let isThrough = false;
    void heavy.then(() => (isThrough = true));
    await Promise.resolve();
    expect(isThrough).toBe(false);
    first?.();
    first?.();
    const light = await semaphore.acquire(6, 1_000);
    light?.();
    expect(isThrough).toBe(false);
  });

  test('gives up a weight that does not fit in time, and holds nothing for it', async () => {
    const { world, semaphore } = createFixture();
    const release = await semaphore.acquire(10, 1_000);
    const waiting = semaphore.acquire(1, 500);
    await world.advance(500);
    expect(await waiting).toBeNull();
    release?.();
    expect(await semaphore.acquire(10, 0)).not.toBeNull();
  });
});

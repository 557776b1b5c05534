import { describe, expect, test } from '@jest/globals';
import { createWorld } from '../sim/world.js';
import { createQuietLog } from './log.js';
import { createMemoryBudget } from './memory-budget.js';
import type { MemoryHold } from './memory-budget.js';

const KB = 1_024;
const MAX_BYTES = 1_000 * KB;

function createFixture() {
  const world = createWorld(1);
  const clock = world.clockOf(world.startProcess(world.host('edge', 'z1')));
  const budget = createMemoryBudget(MAX_BYTES, clock, createQuietLog().component('t'));
  const evicted: string[] = [];
  function open(name: string, bytes: number): MemoryHold {
    const hold = budget.open(() => evicted.push(name));
    expect(hold.tryResize(bytes)).toBe(true);
    return hold;
  }
  return { world, budget, evicted, open };
}

describe('a full budget', () => {
  test('refuses a large request while nobody who holds more has to arrive still', () => {
    const { budget, evicted, open } = createFixture();
    open('a', 250 * KB).keep();
    open('b', 250 * KB).keep();
    open('c', 250 * KB).keep();
    const late = budget.open(() => undefined);
    expect(late.tryResize(70 * KB)).toBe(false);
    expect(evicted).toEqual([]);
    expect(budget.heldBytes()).toBe(750 * KB);
  });

  // Guards against callers of many large bodies who shut out all others.
  test('keeps a part for small requests', () => {
    const { open } = createFixture();
    open('large', 750 * KB).keep();
    for (let count = 0; count < 4; count += 1) open('small', 60 * KB);
  });

  test('takes the room from the largest incomplete request that stalls', async () => {
    const { world, evicted, open } = createFixture();
    const stalledLarge = open('stalled large', 200 * KB);
    open('stalled small', 70 * KB);
    const active = open('active', 400 * KB);
    await world.advance(1_000);
    active.touch();
    open('new', 300 * KB);
    expect(evicted).toEqual(['stalled large', 'stalled small']);
    expect(stalledLarge.tryResize(1)).toBe(false);
  });

  test('takes the room from the largest incomplete request if none stalls, but from none that holds less', () => {
    const { budget, evicted, open } = createFixture();
    open('a', 300 * KB);
    open('b', 400 * KB);
    open('c', 100 * KB);
    expect(evicted).toEqual(['b']);
    const late = budget.open(() => undefined);
    expect(late.tryResize(400 * KB)).toBe(false);
    expect(evicted).toEqual(['b']);
  });
});

test('what is released can be held by others, and releasing twice changes nothing', () => {
  const { budget, open } = createFixture();
  const hold = open('a', 700 * KB);
  hold.release();
  hold.release();
  expect(budget.heldBytes()).toBe(0);
  expect(hold.tryResize(1)).toBe(false);
  open('b', 700 * KB);
});

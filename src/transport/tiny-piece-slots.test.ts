import { describe, expect, test } from '@jest/globals';
import { createWorld } from '../sim/world.js';
import { TinyPieceSlots } from './tiny-piece-slots.js';

function createFixture() {
  const world = createWorld(1);
  const slots = new TinyPieceSlots(world.clockOf(world.startProcess(world.host('edge', 'z1'))));
  const displaced: string[] = [];
  function bodyOf(name: string) {
    return { onDisplaced: () => displaced.push(name) };
  }
  return { world, slots, displaced, bodyOf };
}

// Guards against a crowd of bodies in tiny pieces that takes the whole processor.
describe('bodies in tiny pieces', () => {
  test('are refused while as many as are taken at once got their slots a short time ago', () => {
    const { slots, displaced, bodyOf } = createFixture();
    expect(['a', 'b', 'c'].map((name) => slots.tryEnter(bodyOf(name)))).toEqual([true, true, false]);
    expect(displaced).toEqual([]);
  });

  test('give way after a while, the oldest first, so that none keeps a slot for good', async () => {
    const { world, slots, displaced, bodyOf } = createFixture();
    slots.tryEnter(bodyOf('a'));
    await world.advance(500);
    slots.tryEnter(bodyOf('b'));
    await world.advance(500);
    expect(['c', 'd'].map((name) => slots.tryEnter(bodyOf(name)))).toEqual([true, false]);
    expect(displaced).toEqual(['a']);
  });

  test('keep their slot for any time while no other wants it, and leave it to others at their end', async () => {
    const { world, slots, displaced, bodyOf } = createFixture();
    const first = bodyOf('a');
    slots.tryEnter(first);
    await world.advance(60_000);
    expect(slots.tryEnter(bodyOf('b'))).toBe(true);
    slots.leave(first);
    expect(slots.tryEnter(bodyOf('c'))).toBe(true);
    expect(displaced).toEqual([]);
  });
});

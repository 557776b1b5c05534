import { expect, test } from '@jest/globals';
import { EMPTY_SERVING } from './serving.js';
import type { RouteSettings, Serving } from './serving.js';
import { withPreservedOrder } from './serving-order.js';

function servingWithRoutes(...names: string[]): Serving {
  const mappings: Record<string, RouteSettings> = {};
  for (const [at, name] of names.entries()) mappings[name] = { at } as RouteSettings;
  return { ...EMPTY_SERVING, mappings };
}
function routeOrder(serving: Serving): string[] {
  return Object.entries(serving.mappings)
    .sort((a, b) => a[1].at - b[1].at)
    .map(([name]) => name);
}
function renumberedRoutes(before: Serving, after: Serving): string[] {
  return Object.keys(after.mappings).filter((name) => before.mappings[name]?.at !== after.mappings[name]?.at);
}

const INITIAL_SERVING = withPreservedOrder(EMPTY_SERVING, servingWithRoutes('a', 'b', 'c', 'd'));

test.each([
  ['one removed from the front', ['b', 'c', 'd'], []],
  ['one added in the middle', ['a', 'b', 'x', 'c', 'd'], ['x']],
  ['two added at the front', ['x', 'y', 'a', 'b', 'c', 'd'], ['x', 'y']],
  ['one added at the end', ['a', 'b', 'c', 'd', 'x'], ['x']],
  ['the last moved to the front', ['d', 'a', 'b', 'c'], ['a', 'b', 'c']],
])('%s: the order is as sent, and only items that must move get a new position', (_name, names, renumbered) => {
  const next = withPreservedOrder(INITIAL_SERVING, servingWithRoutes(...names));
  expect(routeOrder(next)).toEqual(names);
  expect(renumberedRoutes(INITIAL_SERVING, next)).toEqual(renumbered);
});

test('any sequence of changes keeps the order that was sent last', () => {
  let current = INITIAL_SERVING;
  let names = ['a', 'b', 'c', 'd'];
  for (let i = 0; i < 300; i += 1) {
    names =
      i % 3 === 2
        ? names.filter((_n, at) => at !== (i * 7) % names.length)
        : [...names.slice(0, 1), `n${i}`, ...names.slice(1)];
    current = withPreservedOrder(current, servingWithRoutes(...names));
    if (routeOrder(current).join() !== names.join()) throw new Error(`order differs after ${i} changes`);
  }
});

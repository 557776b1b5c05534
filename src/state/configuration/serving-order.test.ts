import { expect, test } from '@jest/globals';
import { EMPTY_SERVING } from './serving.js';
import type { RouteSettings, Serving } from './serving.js';
import { withPreservedOrder } from './serving-order.js';

function listed(...names: string[]): Serving {
  const mappings: Record<string, RouteSettings> = {};
  for (const [at, name] of names.entries()) mappings[name] = { at } as RouteSettings;
  return { ...EMPTY_SERVING, mappings };
}
function order(s: Serving): string[] {
  return Object.entries(s.mappings)
    .sort((a, b) => a[1].at - b[1].at)
    .map(([name]) => name);
}
function moved(a: Serving, b: Serving): string[] {
  return Object.keys(b.mappings).filter((name) => a.mappings[name]?.at !== b.mappings[name]?.at);
}

const FIRST = withPreservedOrder(EMPTY_SERVING, listed('a', 'b', 'c', 'd'));

test.each([
  ['one taken away from the front', ['b', 'c', 'd'], []],
  ['one added in the middle', ['a', 'b', 'x', 'c', 'd'], ['x']],
  ['two added at the front', ['x', 'y', 'a', 'b', 'c', 'd'], ['x', 'y']],
  ['one added at the end', ['a', 'b', 'c', 'd', 'x'], ['x']],
  ['the last brought to the front', ['d', 'a', 'b', 'c'], ['a', 'b', 'c']],
])('%s: the order is as sent, and only what must move has a new place', (_name, names, fresh) => {
  const next = withPreservedOrder(FIRST, listed(...names));
  expect(order(next)).toEqual(names);
  expect(moved(FIRST, next)).toEqual(fresh);
});

test('any run of changes keeps the order that was sent last', () => {
  let s = FIRST;
  let names = ['a', 'b', 'c', 'd'];
  for (let i = 0; i < 300; i += 1) {
    names =
      i % 3 === 2
        ? names.filter((_n, at) => at !== (i * 7) % names.length)
        : [...names.slice(0, 1), `n${i}`, ...names.slice(1)];
    s = withPreservedOrder(s, listed(...names));
    if (order(s).join() !== names.join()) throw new Error(`after ${i} changes`);
  }
});

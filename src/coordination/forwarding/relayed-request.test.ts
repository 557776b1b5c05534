import { expect, test } from '@jest/globals';
import { DEFAULT_HEADER_NAMES } from '../../protocol/header-names.js';
import type { MatchedRoute } from '../../state/configuration/route-table.js';
import type { Share } from '../../state/configuration/serving.js';
import type { OpaqueRequest } from '../../transport/opaque-http.js';
import { createRng } from '../../transport/rng.js';
import { createRelayedRequest } from './relayed-request.js';

const REQUEST_COUNT = 4_000;

function countByModel(shares: readonly Share[]): Map<string, number> {
  const rng = createRng(25);
  const incoming = { get: () => null } as unknown as OpaqueRequest;
  const route = {
    name: 'r',
    settings: { kind: 'stream', resumable: false, deadlineMs: 5_000, shares },
  } as unknown as MatchedRoute;
  const counts = new Map<string, number>();
  for (let i = 0; i < REQUEST_COUNT; i += 1) {
    const { model } = createRelayedRequest(DEFAULT_HEADER_NAMES, rng, incoming, route, `id-${i}`, Buffer.alloc(0), 0);
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}

test('each model of a route gets its share of the requests, also if the shares do not add up to 1', () => {
  const counted = countByModel([
    { model: 'a', share: 90 },
    { model: 'b', share: 10 },
    { model: 'c', share: 50 },
  ]);
  for (const [model, share] of [
    ['a', 90 / 150],
    ['b', 10 / 150],
    ['c', 50 / 150],
  ] as const)
    expect(Math.abs((counted.get(model) ?? 0) / REQUEST_COUNT - share)).toBeLessThan(0.03);
});

test('a model with share 0 gets no requests', () => {
  expect([
    ...countByModel([
      { model: 'a', share: 0 },
      { model: 'b', share: 1 },
    ]).keys(),
  ]).toEqual(['b']);
});

import { expect, test } from '@jest/globals';
import { createEngineWorker } from './engine-worker.js';
import type { EngineEvent, EngineParameters, EngineRequest, EngineWorker } from './engine-worker.js';

const PARAMETERS: EngineParameters = {
  batch: 4,
  kvTokens: 20_000,
  stepMs: 5,
  stepMsPerRequest: 0,
  contextMsPerThousandTokens: 0,
  tokensPerMs: 40,
  attentionMsPerMillionPairs: 0,
  chunkTokens: 2_000,
  tokensPerEvent: 5,
  slowdown: 1,
};

function request(id: number, over: Partial<EngineRequest> = {}): EngineRequest {
  return { id, parts: [{ id: `own-${id}`, tokens: 4_000 }], promptTokens: 4_000, outTokens: 20, urgency: 0, ...over };
}
function runToEnd(worker: EngineWorker): EngineEvent[] {
  const events: EngineEvent[] = [];
  for (let now = 0, step = worker.advance(now); step; step = worker.advance(now)) {
    now = step.until;
    events.push(...step.events);
  }
  return events;
}
function timeOf(events: readonly EngineEvent[], tag: EngineEvent['tag'], id: number): number {
  return events.find((event) => event.tag === tag && event.id === id)?.at ?? NaN;
}

test('a single prompt is prefilled in one chunk per step, and an event is complete after its number of tokens', () => {
  const worker = createEngineWorker(PARAMETERS);
  worker.add(request(1));
  const events = runToEnd(worker);
  expect(timeOf(events, 'begun', 1)).toBeCloseTo(2 * (5 + 50));
  expect(timeOf(events, 'event', 1)).toBeCloseTo(2 * 55 + 4 * 5);
  expect(events.filter((event) => event.tag === 'event')).toHaveLength(3);
  expect(timeOf(events, 'end', 1)).toBeCloseTo(2 * 55 + 19 * 5);
});

test("another request's prefill delays the first event, and a slow worker delays everything", () => {
  const worker = createEngineWorker(PARAMETERS);
  worker.add(request(1));
  worker.add(request(2, { parts: [{ id: 'b', tokens: 8_000 }], promptTokens: 8_000 }));
  expect(timeOf(runToEnd(worker), 'event', 1)).toBeCloseTo(2 * 55 + 4 * 55);
  const slow = createEngineWorker({ ...PARAMETERS, slowdown: 2 });
  slow.add(request(1));
  expect(timeOf(runToEnd(slow), 'event', 1)).toBeCloseTo(2 * (2 * 55 + 4 * 5));
});

test('cached parts are not prefilled again, and the least recently used are evicted first', () => {
  const worker = createEngineWorker(PARAMETERS);
  const shared = { id: 'shared', tokens: 3_000 };
  worker.add(request(1, { parts: [shared, { id: 'own-1', tokens: 1_000 }] }));
  runToEnd(worker);
  worker.add(request(2, { parts: [shared, { id: 'own-2', tokens: 1_000 }] }));
  runToEnd(worker);
  expect(worker.counts).toEqual({ read: 5_000, cached: 3_000, preemptions: 0 });
  for (let id = 3; id < 8; id += 1) {
    worker.add(request(id));
    runToEnd(worker);
  }
  expect(worker.cachedTokens([shared])).toBe(0);
  expect(worker.cachedTokens([{ id: 'own-7', tokens: 4_000 }])).toBe(4_000);
});

test('when memory runs out the newest of the least urgent requests is preempted, and still ends', () => {
  const worker = createEngineWorker({ ...PARAMETERS, kvTokens: 9_000, tokensPerEvent: 1 });
  worker.add(request(1, { promptTokens: 4_000, outTokens: 400, urgency: 0 }));
  worker.add(request(2, { promptTokens: 4_000, outTokens: 400, urgency: 1 }));
  const smaller = createEngineWorker({ ...PARAMETERS, kvTokens: 8_300, tokensPerEvent: 1 });
  smaller.add(request(1, { promptTokens: 4_000, outTokens: 100, urgency: 0 }));
  smaller.add(request(2, { promptTokens: 4_000, outTokens: 100, urgency: 1 }));
  for (const each of [worker, smaller]) {
    const ends = runToEnd(each).filter((event) => event.tag === 'end');
    expect(ends.map((event) => event.id)).toEqual([1, 2]);
  }
});

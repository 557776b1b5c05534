import { expect, test } from '@jest/globals';
import { createEngineWorker } from './engine-worker.js';
import type { EngineEvent, EngineFigures, EngineRequest, EngineWorker } from './engine-worker.js';

const FIGURES: EngineFigures = {
  batch: 4,
  kvTokens: 20_000,
  stepMs: 5,
  stepMsPerRequest: 0,
  contextMsPerThousand: 0,
  tokensPerMs: 40,
  pairsMsPerMillion: 0,
  chunkTokens: 2_000,
  stride: 5,
  slowness: 1,
};

function asked(id: number, over: Partial<EngineRequest> = {}): EngineRequest {
  return { id, parts: [{ id: `own-${id}`, tokens: 4_000 }], promptTokens: 4_000, outTokens: 20, urgency: 0, ...over };
}
function playAll(worker: EngineWorker): EngineEvent[] {
  const events: EngineEvent[] = [];
  for (let now = 0, played = worker.advance(now); played; played = worker.advance(now)) {
    now = played.until;
    events.push(...played.events);
  }
  return events;
}
function atOf(events: readonly EngineEvent[], tag: EngineEvent['tag'], id: number): number {
  return events.find((event) => event.tag === tag && event.id === id)?.at ?? NaN;
}

test('a prompt alone is read in chunks between steps, and an event is full after its tokens', () => {
  const worker = createEngineWorker(FIGURES);
  worker.add(asked(1));
  const events = playAll(worker);
  expect(atOf(events, 'begun', 1)).toBeCloseTo(2 * (5 + 50));
  expect(atOf(events, 'event', 1)).toBeCloseTo(2 * 55 + 4 * 5);
  expect(events.filter((event) => event.tag === 'event')).toHaveLength(3);
  expect(atOf(events, 'end', 1)).toBeCloseTo(2 * 55 + 19 * 5);
});

test("another's prompt that is read meanwhile delays the first event, and a slow worker delays everything", () => {
  const worker = createEngineWorker(FIGURES);
  worker.add(asked(1));
  worker.add(asked(2, { parts: [{ id: 'b', tokens: 8_000 }], promptTokens: 8_000 }));
  expect(atOf(playAll(worker), 'event', 1)).toBeCloseTo(2 * 55 + 4 * 55);
  const slow = createEngineWorker({ ...FIGURES, slowness: 2 });
  slow.add(asked(1));
  expect(atOf(playAll(slow), 'event', 1)).toBeCloseTo(2 * (2 * 55 + 4 * 5));
});

test('kept parts are not read again, and the least lately used give way first', () => {
  const worker = createEngineWorker(FIGURES);
  const shared = { id: 'shared', tokens: 3_000 };
  worker.add(asked(1, { parts: [shared, { id: 'own-1', tokens: 1_000 }] }));
  playAll(worker);
  worker.add(asked(2, { parts: [shared, { id: 'own-2', tokens: 1_000 }] }));
  playAll(worker);
  expect(worker.counts).toEqual({ read: 5_000, kept: 3_000, putBack: 0 });
  for (let id = 3; id < 8; id += 1) {
    worker.add(asked(id));
    playAll(worker);
  }
  expect(worker.keptTokens([shared])).toBe(0);
  expect(worker.keptTokens([{ id: 'own-7', tokens: 4_000 }])).toBe(4_000);
});

test('when memory runs out the newest of the least urgent is put back, and still ends', () => {
  const worker = createEngineWorker({ ...FIGURES, kvTokens: 9_000, stride: 1 });
  worker.add(asked(1, { promptTokens: 4_000, outTokens: 400, urgency: 0 }));
  worker.add(asked(2, { promptTokens: 4_000, outTokens: 400, urgency: 1 }));
  const before = createEngineWorker({ ...FIGURES, kvTokens: 8_300, stride: 1 });
  before.add(asked(1, { promptTokens: 4_000, outTokens: 100, urgency: 0 }));
  before.add(asked(2, { promptTokens: 4_000, outTokens: 100, urgency: 1 }));
  for (const each of [worker, before]) {
    const ends = playAll(each).filter((event) => event.tag === 'end');
    expect(ends.map((event) => event.id)).toEqual([1, 2]);
  }
});

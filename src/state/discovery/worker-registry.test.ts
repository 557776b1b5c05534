import { expect, test } from '@jest/globals';
import { EDGE_TUNING } from '../forwarding/edge-tuning.js';
import type { ModelTraits } from '../configuration/serving.js';
import { createWorkerRegistry } from './worker-registry.js';
import type { SelectionRequest, WorkerRegistry } from './worker-registry.js';
import type { WorkerEntry } from './worker-entry.js';

const TRAITS: ModelTraits = {
  at: 0,
  probePath: '/h',
  maxConns: 10_000,
  coldS: 3,
  coldRateS: 9.8,
  engine: { batch: 64, kvTokens: 200_000 },
};

function entry(id: string, over: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    id,
    model: 'm',
    address: `a:${id}`,
    zone: 'z',
    region: 'r',
    release: '',
    places: 64,
    leaving: false,
    remainingMs: null,
    coldMs: 0,
    ...over,
  };
}
function ask(over: Partial<SelectionRequest> = {}): SelectionRequest {
  return {
    model: 'm',
    traits: TRAITS,
    parts: [],
    tokens: 0,
    outTokens: 0,
    bytes: 0,
    homes: [],
    pinned: false,
    avoid: new Set(),
    now: 0,
    ...over,
  };
}
function books(n: number, entries: readonly WorkerEntry[]): WorkerRegistry[] {
  const known = Object.fromEntries(Array.from({ length: n }, (_, i) => [`s${i}`, { region: i % 3 === 0 ? 'r' : 'q' }]));
  return Object.keys(known).map((name) => {
    const b = createWorkerRegistry({ name, zone: 'z', region: 'r', openConnections: () => 1 }, EDGE_TUNING);
    b.applyList(entries, 0);
    b.setSharingProxies(known);
    return b;
  });
}

test.each([1, 3, 6, 7, 20, 73, 350])(
  'what %i proxies send a cold worker in a second never passes its bound, and is not nothing',
  (n) => {
    const all = books(n, [entry('w', { coldMs: 60_000 })]);
    let sent = 0;
    for (const b of all) {
      for (let i = 0; i < 100; i += 1) {
        const response = b.selectWorker(ask());
        if (response.tag !== 'row') break;
        b.reserve(response.row, ask());
        sent += 1;
      }
    }
    const bound = TRAITS.coldRateS * EDGE_TUNING.coldOver + EDGE_TUNING.coldSlack;
    expect(sent).toBeLessThanOrEqual(bound);
    expect(sent).toBeGreaterThanOrEqual(bound * 0.4);
  },
);

test('all proxies find the same keeper of a prompt, and the parts of one first part stay with few workers', () => {
  const entries = Array.from({ length: 12 }, (_, i) => entry(`w${i}`));
  const all = books(4, entries);
  const seen = new Set<string>();
  for (let t = 0; t < 40; t += 1) {
    const parts = [
      { id: 'rules', tokens: 2_000 },
      { id: `card${t}`, tokens: 4_000 },
      { id: `own${t}`, tokens: 2_000 },
    ];
    const chosen = new Set(
      all.map((b) => {
        const response = b.selectWorker(ask({ parts, tokens: 8_000, pinned: true }));
        return response.tag === 'row' ? response.row.entry.id : '';
      }),
    );
    expect(chosen.size).toBe(1);
    for (const id of chosen) seen.add(id);
  }
  expect(seen.size).toBeLessThanOrEqual(Math.ceil(12 * EDGE_TUNING.spreadFraction));
});

test('a keeper that others crowd is left for the next one', () => {
  const [b] = books(1, [entry('w0'), entry('w1')]);
  const parts = [
    { id: 'rules', tokens: 500 },
    { id: 'own', tokens: 100 },
  ];
  const first = b!.selectWorker(ask({ parts, tokens: 600, pinned: true }));
  const id = first.tag === 'row' ? first.row.entry.id : '';
  b!.applyFleetLoad({ [id]: [60, 30_000, 100_000, 0, 9] }, 0);
  const next = b!.selectWorker(ask({ parts, tokens: 600, pinned: true }));
  expect(next.tag === 'row' && next.row.entry.id).not.toBe(id);
});

test('zones held preemptive come last, evacuated ones not at all, and a zone handed back is cold at first', () => {
  const [b] = books(1, [entry('w0', { zone: 'z' }), entry('w1', { zone: 'y' })]);
  b!.applyZones(
    {},
    () => ['z'],
    0,
    () => 3_000,
  );
  const one = b!.selectWorker(ask());
  expect(one.tag === 'row' && one.row.entry.id).toBe('w1');
  b!.applyZones(
    { y: 3 },
    () => [],
    0,
    () => 3_000,
  );
  const two = b!.selectWorker(ask());
  expect(two.tag === 'row' && two.row.entry.id).toBe('w0');
  b!.applyZones(
    {},
    () => [],
    100,
    () => 3_000,
  );
  for (const row of b!.rows()) expect(row.coldUntil).toBe(row.entry.zone === 'y' ? 3_100 : 0);
});

test('a worker that spoils a part of what it runs is avoided by all, and taken again once it holds', () => {
  const [a, b] = books(2, [entry('w0'), entry('w1')]);
  const row = [...a!.rows()].find((r) => r.entry.id === 'w0')!;
  for (let i = 0; i < 6; i += 1) {
    if (i % 2 === 0) a!.recordSpoiled(row, 100);
    else a!.recordServed(row, 100);
  }
  b!.applyFleetLoad(a!.load(200), 200);
  for (const book of [a!, b!]) {
    for (let i = 0; i < 20; i += 1) {
      const response = book.selectWorker(ask({ now: 2_000 }));
      expect(response.tag === 'row' && response.row.entry.id).toBe('w1');
      if (response.tag === 'row') book.reserve(response.row, ask({ now: 2_000 })).end();
    }
  }
  for (let i = 0; i < 60; i += 1) a!.recordServed(row, 9_000);
  expect(a!.load(30_000)['w0']).toBeUndefined();
});

test('one bad answer on a calm day does not make a worker avoided', () => {
  const [a] = books(1, [entry('w0')]);
  const row = [...a!.rows()][0]!;
  for (let i = 0; i < 30; i += 1) a!.recordServed(row, 50);
  a!.recordSpoiled(row, 60);
  const response = a!.selectWorker(ask({ now: 1_000 }));
  expect(response.tag === 'row' && response.waitMs).toBeLessThan(100);
});

test('a worker that was out of reach may be another life: others go first until the list had time to tell', () => {
  const [b] = books(1, [entry('w0'), entry('w1')]);
  const row = [...b!.rows()].find((r) => r.entry.id === 'w0')!;
  b!.markUnresponsive(row, 100);
  b!.markReachable(row, 3_000);
  for (let i = 0; i < 10; i += 1) {
    const response = b!.selectWorker(ask({ now: 3_100 }));
    expect(response.tag === 'row' && response.row.entry.id).toBe('w1');
    if (response.tag === 'row') b!.reserve(response.row, ask({ now: 3_100 }));
  }
  const later = b!.selectWorker(ask({ now: 6_000 }));
  expect(later.tag === 'row' && later.row.entry.id).toBe('w0');
});

test('a lost worker is dialled by few of many proxies often, by the others seldom, unless others ran something there', () => {
  const all = books(73, [entry('w')]);
  let soon = 0;
  for (const b of all) {
    const row = [...b.rows()][0]!;
    for (let i = 0; i < 8; i += 1) b.markUnresponsive(row, 1_000);
    if (row.badUntil <= 3_000) soon += 1;
    else {
      expect(row.badUntil).toBeGreaterThan(10_000);
      b.applyFleetLoad({ w: [1, 0, 0, 0, 1] }, 4_000);
      expect(row.badUntil).toBe(4_000);
    }
  }
  expect(soon).toBe(EDGE_TUNING.redialers);
});

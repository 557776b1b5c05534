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

function entry(id: string, overrides: Partial<WorkerEntry> = {}): WorkerEntry {
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
    ...overrides,
  };
}
function requestWith(overrides: Partial<SelectionRequest> = {}): SelectionRequest {
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
    ...overrides,
  };
}
function createRegistries(count: number, entries: readonly WorkerEntry[]): WorkerRegistry[] {
  const proxies = Object.fromEntries(
    Array.from({ length: count }, (_, i) => [`s${i}`, { region: i % 3 === 0 ? 'r' : 'q' }]),
  );
  return Object.keys(proxies).map((name) => {
    const registry = createWorkerRegistry({ name, zone: 'z', region: 'r', openConnections: () => 1 }, EDGE_TUNING);
    registry.applyList(entries, 0);
    registry.setSharingProxies(proxies);
    return registry;
  });
}

test.each([1, 3, 6, 7, 20, 73, 350])(
  '%i proxies together never exceed the rate limit of a cold worker, and use at least 40% of it',
  (proxyCount) => {
    const registries = createRegistries(proxyCount, [entry('w', { coldMs: 60_000 })]);
    let sent = 0;
    for (const registry of registries) {
      for (let i = 0; i < 100; i += 1) {
        const selection = registry.selectWorker(requestWith());
        if (selection.tag !== 'row') break;
        registry.reserve(selection.row, requestWith());
        sent += 1;
      }
    }
    const bound = TRAITS.coldRateS * EDGE_TUNING.coldOver + EDGE_TUNING.coldSlack;
    expect(sent).toBeLessThanOrEqual(bound);
    expect(sent).toBeGreaterThanOrEqual(bound * 0.4);
  },
);

test('all proxies select the same home worker for a prompt, and a shared first block stays with few workers', () => {
  const entries = Array.from({ length: 12 }, (_, i) => entry(`w${i}`));
  const registries = createRegistries(4, entries);
  const seen = new Set<string>();
  for (let t = 0; t < 40; t += 1) {
    const parts = [
      { id: 'rules', tokens: 2_000 },
      { id: `card${t}`, tokens: 4_000 },
      { id: `own${t}`, tokens: 2_000 },
    ];
    const chosen = new Set(
      registries.map((registry) => {
        const selection = registry.selectWorker(requestWith({ parts, tokens: 8_000, pinned: true }));
        return selection.tag === 'row' ? selection.row.entry.id : '';
      }),
    );
    expect(chosen.size).toBe(1);
    for (const id of chosen) seen.add(id);
  }
  expect(seen.size).toBeLessThanOrEqual(Math.ceil(12 * EDGE_TUNING.spreadFraction));
});

test('a home worker that is loaded by other proxies is passed over for the next one', () => {
  const [registry] = createRegistries(1, [entry('w0'), entry('w1')]);
  const parts = [
    { id: 'rules', tokens: 500 },
    { id: 'own', tokens: 100 },
  ];
  const first = registry!.selectWorker(requestWith({ parts, tokens: 600, pinned: true }));
  const id = first.tag === 'row' ? first.row.entry.id : '';
  registry!.applyFleetLoad({ [id]: [60, 30_000, 100_000, 0, 9] }, 0);
  const next = registry!.selectWorker(requestWith({ parts, tokens: 600, pinned: true }));
  expect(next.tag === 'row' && next.row.entry.id).not.toBe(id);
});

test('preemptive zones are selected last, evacuated zones never, and the workers of a restored zone start cold', () => {
  const [registry] = createRegistries(1, [entry('w0', { zone: 'z' }), entry('w1', { zone: 'y' })]);
  registry!.applyZones(
    {},
    () => ['z'],
    0,
    () => 3_000,
  );
  const first = registry!.selectWorker(requestWith());
  expect(first.tag === 'row' && first.row.entry.id).toBe('w1');
  registry!.applyZones(
    { y: 3 },
    () => [],
    0,
    () => 3_000,
  );
  const second = registry!.selectWorker(requestWith());
  expect(second.tag === 'row' && second.row.entry.id).toBe('w0');
  registry!.applyZones(
    {},
    () => [],
    100,
    () => 3_000,
  );
  for (const row of registry!.rows()) expect(row.coldUntil).toBe(row.entry.zone === 'y' ? 3_100 : 0);
});

test('a worker with a fraction of bad runs is avoided by all proxies, until its recent runs succeed', () => {
  const [first, second] = createRegistries(2, [entry('w0'), entry('w1')]);
  const row = [...first!.rows()].find((r) => r.entry.id === 'w0')!;
  for (let i = 0; i < 6; i += 1) {
    if (i % 2 === 0) first!.recordSpoiled(row, 100);
    else first!.recordServed(row, 100);
  }
  second!.applyFleetLoad(first!.load(200), 200);
  for (const registry of [first!, second!]) {
    for (let i = 0; i < 20; i += 1) {
      const selection = registry.selectWorker(requestWith({ now: 2_000 }));
      expect(selection.tag === 'row' && selection.row.entry.id).toBe('w1');
      if (selection.tag === 'row') registry.reserve(selection.row, requestWith({ now: 2_000 })).end();
    }
  }
  for (let i = 0; i < 60; i += 1) first!.recordServed(row, 9_000);
  expect(first!.load(30_000)['w0']).toBeUndefined();
});

test('a single bad response among many good ones does not cause a worker to be avoided', () => {
  const [registry] = createRegistries(1, [entry('w0')]);
  const row = [...registry!.rows()][0]!;
  for (let i = 0; i < 30; i += 1) registry!.recordServed(row, 50);
  registry!.recordSpoiled(row, 60);
  const selection = registry!.selectWorker(requestWith({ now: 1_000 }));
  expect(selection.tag === 'row' && selection.costMs).toBeLessThan(100);
});

test('after an unreachable worker returns, others are preferred until the list had time to report a new incarnation', () => {
  const [registry] = createRegistries(1, [entry('w0'), entry('w1')]);
  const row = [...registry!.rows()].find((r) => r.entry.id === 'w0')!;
  registry!.markUnresponsive(row, 100);
  registry!.markReachable(row, 3_000);
  for (let i = 0; i < 10; i += 1) {
    const selection = registry!.selectWorker(requestWith({ now: 3_100 }));
    expect(selection.tag === 'row' && selection.row.entry.id).toBe('w1');
    if (selection.tag === 'row') registry!.reserve(selection.row, requestWith({ now: 3_100 }));
  }
  const later = registry!.selectWorker(requestWith({ now: 6_000 }));
  expect(later.tag === 'row' && later.row.entry.id).toBe('w0');
});

test('few of many proxies dial an unreachable worker often; the others rarely, unless another one ran a request there', () => {
  const registries = createRegistries(73, [entry('w')]);
  let frequent = 0;
  for (const registry of registries) {
    const row = [...registry.rows()][0]!;
    for (let i = 0; i < 8; i += 1) registry.markUnresponsive(row, 1_000);
    if (row.badUntil <= 3_000) frequent += 1;
    else {
      expect(row.badUntil).toBeGreaterThan(10_000);
      registry.applyFleetLoad({ w: [1, 0, 0, 0, 1] }, 4_000);
      expect(row.badUntil).toBe(4_000);
    }
  }
  expect(frequent).toBe(EDGE_TUNING.redialers);
});

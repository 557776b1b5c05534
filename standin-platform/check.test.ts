import { describe, expect, test } from '@jest/globals';
import { brokenRules, judge } from './check.js';
import { documentToWire, MAPPING_DEFAULTS, MODEL_DEFAULTS } from './document.js';
import type { ModelRoute } from './document.js';
import { BOUNDS } from './facts.js';
import type { Answered, Arrived, Asked, Finished, Life, Ran, JournalRecord, Settled, Submitted } from './records.js';

const HOST = 'ficu95.example';

function mapping(name: string, model: string, over: Partial<ModelRoute> = {}): ModelRoute {
  return {
    ...MAPPING_DEFAULTS,
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind: 'once',
    shares: [{ model, share: 1 }],
    ...over,
  };
}
function document(number: number, mappings: readonly ModelRoute[]): unknown {
  const models = ['llm', 'web'].map((name) => ({ ...MODEL_DEFAULTS, name, coldRateS: 10 }));
  return documentToWire({ number, mappings, models });
}
const MAPPINGS = [
  mapping('once', 'web'),
  mapping('again', 'web', { kind: 'repeatable' }),
  mapping('stream', 'llm', { kind: 'stream' }),
  mapping('resumed', 'llm', { kind: 'stream', resumable: true }),
  mapping('home', 'web', { homes: ['north'] }),
];
const FIRST = document(3, MAPPINGS);

function submitted(over: Partial<Submitted> = {}): Submitted {
  return { what: 'submitted', at: 0, order: 'o-1', number: 3, base: 0, document: FIRST, valid: true, ...over };
}
function settled(over: Partial<Settled> = {}): Settled {
  return { what: 'settled', at: 10, order: 'o-1', outcome: 'acknowledged', status: 200, ...over };
}
function asked(over: Partial<Asked> = {}): Asked {
  return {
    what: 'asked',
    at: 5_000,
    attempt: 'd1',
    call: 'c1',
    edge: 'e1',
    zone: 'z1',
    region: 'north',
    method: 'POST',
    host: HOST,
    path: '/once/1',
    digest: 'b',
    deadlineMs: 6_000,
    lastEvent: 0,
    direct: false,
    ...over,
  };
}
function answered(over: Partial<Answered> = {}): Answered {
  return {
    what: 'answered',
    at: 5_030,
    attempt: 'd1',
    end: 'whole',
    status: 200,
    seal: 's1',
    echo: 'd1',
    digest: 'x',
    events: [],
    ...over,
  };
}
function arrived(over: Partial<Arrived> = {}): Arrived {
  return {
    what: 'arrived',
    at: 5_010,
    visit: 'v1',
    attempt: 'd1',
    worker: 'w1',
    model: 'web',
    zone: 'z1',
    region: 'north',
    method: 'POST',
    host: HOST,
    path: '/once/1',
    expect: null,
    deadlineMs: 6_000,
    lastEvent: 0,
    probe: false,
    headers: {},
    ...over,
  };
}
function ran(over: Partial<Ran> = {}): Ran {
  return { what: 'ran', at: 5_010, visit: 'v1', attempt: 'd1', digest: 'b', seal: 's1', ...over };
}
function finished(over: Partial<Finished> = {}): Finished {
  return { what: 'finished', at: 5_025, visit: 'v1', seal: 's1', status: 200, digest: 'x', end: 'whole', ...over };
}
function life(over: Partial<Life> = {}): Life {
  return { what: 'life', at: 0, worker: 'w1', model: 'web', zone: 'z1', event: 'started', coldMs: 0, ...over };
}
function event(n: number, run = 's1', of = 3): { id: number; run: string; n: number; of: number } {
  return { id: n * 5, run, n, of };
}

const START: readonly JournalRecord[] = [submitted(), settled(), life()];
const SERVED: readonly JournalRecord[] = [...START, asked(), arrived(), ran(), finished(), answered()];
const STREAM: readonly JournalRecord[] = [
  ...START,
  asked({ path: '/stream/1' }),
  arrived({ path: '/stream/1', model: 'llm' }),
  ran(),
  finished(),
];
const RESUMED: readonly JournalRecord[] = [
  ...START,
  asked({ path: '/resumed/1' }),
  arrived({ path: '/resumed/1', model: 'llm' }),
  ran(),
  finished({ end: 'brokenOff', digest: '' }),
  arrived({ path: '/resumed/1', model: 'llm', visit: 'v2', lastEvent: 5 }),
  ran({ visit: 'v2', seal: 's2' }),
  finished({ visit: 'v2', seal: 's2', digest: 'y' }),
];
const SECOND = document(8, [mapping('once', 'llm'), ...MAPPINGS.slice(1)]);
const MOVED: readonly JournalRecord[] = [
  ...START,
  submitted({ order: 'o-2', number: 8, base: 3, document: SECOND, at: 1_000 }),
  settled({ order: 'o-2', at: 1_010 }),
];

function many(n: number, make: (k: number) => readonly JournalRecord[]): readonly JournalRecord[] {
  return Array.from({ length: n }, (_, k) => make(k)).flat();
}

describe('the judge', () => {
  const clean: readonly (readonly [string, readonly JournalRecord[]])[] = [
    ['a served request', SERVED],
    [
      'a worker failure told as it is',
      [...START, asked(), arrived(), ran(), finished({ status: 500 }), answered({ status: 500 })],
    ],
    ['a whole stream', [...STREAM, answered({ events: [event(1), event(2), event(3)] })]],
    ['a stream cut short openly', [...STREAM, answered({ end: 'cut', events: [event(1)] })]],
    [
      'a stream resumed inside one answer',
      [...RESUMED, answered({ events: [event(1), event(2, 's2'), event(3, 's2')], digest: 'z' })],
    ],
    [
      'a stream that the caller took up',
      [
        ...START,
        asked({ path: '/resumed/1', lastEvent: 5 }),
        arrived({ path: '/resumed/1', model: 'llm', lastEvent: 5 }),
        ran(),
        finished(),
        answered({ events: [event(2), event(3)] }),
      ],
    ],
    [
      'a refusal that never ran',
      [
        ...START,
        asked(),
        arrived(),
        { what: 'refused', at: 5_020, visit: 'v1', status: 503 },
        answered({ status: 503, seal: null }),
      ],
    ],
    [
      'a repeated repeatable request',
      [
        ...START,
        asked({ path: '/again/1' }),
        arrived({ path: '/again/1' }),
        ran(),
        arrived({ path: '/again/1', visit: 'v2' }),
        ran({ visit: 'v2', seal: 's2' }),
        finished({ visit: 'v2', seal: 's2' }),
        answered({ seal: 's2' }),
      ],
    ],
    [
      'a request on the old model while the change is young',
      [...MOVED, asked({ at: 3_000 }), arrived({ at: 3_010 }), ran({ at: 3_010 }), finished(), answered()],
    ],
    [
      'arrivals at a worker within the drain cutoff',
      [
        ...START,
        { what: 'listed', at: 1_100, worker: 'w1', phase: 'draining' },
        asked(),
        arrived(),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'arrivals late because the list was down',
      [
        ...START,
        { what: 'listed', at: 500, worker: 'w1', phase: 'draining' },
        { what: 'listTrouble', at: 600, on: true },
        { what: 'listTrouble', at: 2_600, on: false },
        asked(),
        arrived(),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'a 421 after the evacuation',
      [
        ...START,
        { what: 'evacuated', at: 10, order: 'e-1', zone: 'z1', begin: true },
        settled({ order: 'e-1', at: 20 }),
        asked({ at: 6_000 }),
        arrived({ at: 6_010 }),
        { what: 'refused', at: 6_011, visit: 'v1', status: 421 },
        answered({ status: 503, seal: null }),
      ],
    ],
    [
      'an evacuation taken back',
      [
        ...START,
        { what: 'evacuated', at: 10, order: 'e-1', zone: 'z1', begin: true },
        settled({ order: 'e-1', at: 20 }),
        { what: 'evacuated', at: 5_500, order: 'e-2', zone: 'z1', begin: false },
        asked({ at: 6_000 }),
        arrived({ at: 6_010 }),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'an answer cut by a crash of its worker while the edge is being stopped',
      [
        ...START,
        asked(),
        { what: 'planned', at: 5_005, edge: 'e1', core: false, fault: 'term' },
        arrived(),
        ran(),
        finished({ end: 'crashed' }),
        answered({ end: 'cut' }),
      ],
    ],
    ['the newest read back', [...MOVED, { what: 'readBack', at: 9_000, document: SECOND }]],
    [
      'a race with one winner',
      [
        ...START,
        submitted({ order: 'o-2', number: 5, base: 3 }),
        submitted({ order: 'o-3', number: 8, base: 3, document: SECOND }),
        settled({ order: 'o-2', outcome: 'refused', status: 412 }),
        settled({ order: 'o-3' }),
      ],
    ],
    [
      'a 404 for what no version holds',
      [...START, asked({ path: '/never/1', direct: true }), answered({ status: 404, seal: null })],
    ],
    [
      'a late closing word on an idle connection',
      [...SERVED, { what: 'stray', at: 9_000, edge: 'e1', attempt: null, text: 'HTTP/1.1 408 Request Timeout\r\n' }],
    ],
  ];
  test.each(clean)('holds its peace over %s', (_what, records) => {
    expect(judge(records)).toEqual([]);
  });

  const broken: readonly (readonly [string, string, readonly JournalRecord[]])[] = [
    ['MIXED', 'a success without a seal', [...SERVED.slice(0, -1), answered({ seal: null })]],
    ['MIXED', 'a body that is not whole', [...SERVED.slice(0, -1), answered({ digest: 'half' })]],
    ['MIXED', 'a failure told as a success', [...SERVED.slice(0, -2), finished({ status: 500 }), answered()]],
    [
      'MIXED',
      'an answer that was broken off, told as whole',
      [...SERVED.slice(0, -2), finished({ end: 'brokenOff' }), answered({ digest: 'half' })],
    ],
    ['MIXED', "another's echo", [...SERVED.slice(0, -1), answered({ echo: 'd9' })]],
    ['MIXED', "another's seal", [...SERVED, asked({ attempt: 'd2' }), answered({ attempt: 'd2', echo: 'd2' })]],
    [
      'MIXED',
      "another's seal on a cut answer",
      [...SERVED, asked({ attempt: 'd2' }), answered({ attempt: 'd2', echo: 'd2', end: 'cut' })],
    ],
    ['MIXED', "another's event", [...STREAM, answered({ events: [event(1), event(2, 's7'), event(3)] })]],
    [
      'MIXED',
      'a success where none is waiting',
      [...SERVED, { what: 'stray', at: 9_000, edge: 'e1', attempt: null, text: 'HTTP/1.1 200 OK\r\n' }],
    ],
    [
      'MIXED',
      'bytes that are no answer',
      [...SERVED, { what: 'stray', at: 9_000, edge: 'e1', attempt: 'waiting', text: '\u0001\u0002' }],
    ],
    ['UNASKED', 'a run of an unknown dispatch', [...START, arrived({ attempt: 'd9' }), ran({ attempt: 'd9' })]],
    ['UNASKED', 'a changed path', [...START, asked(), arrived({ path: '/once/2' }), ran(), finished(), answered()]],
    ['UNASKED', 'a changed method', [...START, asked(), arrived({ method: 'PUT' }), ran(), finished(), answered()]],
    ['UNASKED', 'a changed body', [...START, asked(), arrived(), ran({ digest: 'c' }), finished(), answered()]],
    ['TWICE', 'a second run', [...SERVED, arrived({ visit: 'v2' }), ran({ visit: 'v2', seal: 's2' })]],
    [
      'TWICE',
      'a second run of a stream that may not be resumed',
      [
        ...STREAM,
        arrived({ path: '/stream/1', model: 'llm', visit: 'v2' }),
        ran({ visit: 'v2', seal: 's2' }),
        answered({ end: 'cut' }),
      ],
    ],
    ['REFUSED', 'refused, though it ran', [...SERVED.slice(0, -1), answered({ status: 503, seal: null })]],
    [
      'REFUSED',
      'refused, and it runs later',
      [...START, asked(), answered({ status: 429, seal: null }), arrived({ at: 6_000 }), ran({ at: 6_000 })],
    ],
    [
      'DENIED',
      'proper requests answered 400',
      [
        ...START,
        ...many(6, (k) => [
          asked({ attempt: `d${k}` }),
          answered({ attempt: `d${k}`, status: 400, seal: null, echo: null }),
        ]),
      ],
    ],
    [
      'ROUTE',
      'a model that no version names',
      [...START, asked(), arrived({ model: 'other' }), ran(), finished(), answered()],
    ],
    [
      'DRAIN',
      'an arrival past the cutoff',
      [
        ...START,
        { what: 'listed', at: 900, worker: 'w1', phase: 'draining' },
        asked(),
        arrived(),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'DRAIN',
      'a refused arrival past the cutoff',
      [
        ...START,
        { what: 'listed', at: 900, worker: 'w1', phase: 'gone' },
        asked(),
        arrived(),
        { what: 'refused', at: 5_020, visit: 'v1', status: 503 },
        answered({ status: 503, seal: null }),
      ],
    ],
    ['CONFIG', 'run by the old model past the bound', [...MOVED, asked(), arrived(), ran(), finished(), answered()]],
    ['CONFIG', 'a 404 where the mapping is there', [...START, asked(), answered({ status: 404, seal: null })]],
    [
      'CONFIG',
      'a dropped mapping is served',
      [
        ...START,
        submitted({ order: 'o-2', number: 8, base: 3, document: document(8, MAPPINGS.slice(1)), at: 1_000 }),
        settled({ order: 'o-2', at: 1_010 }),
        asked(),
        arrived(),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'CONFIG',
      'an edge that goes back',
      [
        ...MOVED,
        asked({ at: 2_000 }),
        arrived({ at: 2_010, model: 'llm' }),
        ran({ at: 2_010 }),
        finished(),
        answered(),
        asked({ at: 2_500, attempt: 'd2' }),
        arrived({ at: 2_510, visit: 'v2', attempt: 'd2' }),
        ran({ at: 2_510, visit: 'v2', attempt: 'd2', seal: 's2' }),
        finished({ visit: 'v2', seal: 's2' }),
        answered({ attempt: 'd2', seal: 's2', echo: 'd2' }),
      ],
    ],
    [
      'CONFIG',
      'an invalid one is acknowledged',
      [...START, submitted({ order: 'o-2', number: 4, base: 3, valid: false }), settled({ order: 'o-2' })],
    ],
    [
      'CONFIG',
      'two winners of a race',
      [...MOVED, submitted({ order: 'o-3', number: 9, base: 3, document: document(9, []) }), settled({ order: 'o-3' })],
    ],
    [
      'CONFIG',
      'a refused one in force',
      [
        ...START,
        submitted({ order: 'o-2', number: 8, base: 3, document: SECOND, at: 1_000 }),
        settled({ order: 'o-2', at: 1_010, outcome: 'refused', status: 412 }),
        asked(),
        arrived({ model: 'llm' }),
        ran(),
        finished(),
        answered(),
      ],
    ],
    ['CONFIG', 'an older one is read back', [...MOVED, { what: 'readBack', at: 9_000, document: FIRST }]],
    ['CONFIG', 'nothing is read back', [...MOVED, { what: 'readBack', at: 9_000, document: null }]],
    [
      'CONFIG',
      'something else is read back',
      [...MOVED, { what: 'readBack', at: 9_000, document: document(8, MAPPINGS) }],
    ],
    [
      'LOST',
      'an acknowledged one is gone after the closing fault',
      [
        ...MOVED,
        { what: 'planned', at: 8_000, edge: 'h1', core: true, fault: 'closing' },
        { what: 'readBack', at: 9_000, document: FIRST },
      ],
    ],
    [
      'LOST',
      'an answer cut by an edge being stopped',
      [
        ...START,
        asked(),
        { what: 'planned', at: 5_005, edge: 'e1', core: false, fault: 'term' },
        arrived(),
        ran(),
        finished(),
        answered({ end: 'cut' }),
      ],
    ],
    [
      'LOST',
      'a run dropped by an edge being stopped',
      [
        ...START,
        asked(),
        { what: 'planned', at: 5_005, edge: 'e1', core: false, fault: 'term' },
        arrived(),
        ran(),
        finished({ end: 'dropped' }),
        answered({ end: 'cut' }),
      ],
    ],
    [
      'LOST',
      'a run cut at the end of an edge that took it late',
      [
        ...START,
        { what: 'planned', at: 5_005, edge: 'e1', core: false, fault: 'term' },
        asked({ at: 8_006 }),
        arrived({ at: 8_010 }),
        ran({ at: 8_011 }),
        finished({ at: 12_500, end: 'dropped' }),
        answered({ at: 12_500, end: 'cut' }),
      ],
    ],
    [
      'ACKS',
      'a proper order left without a clear answer',
      [
        ...START,
        submitted({ order: 'o-2', number: 8, base: 3, document: SECOND, at: 1_000 }),
        settled({ order: 'o-2', at: 6_100, outcome: 'unclear', status: 503 }),
      ],
    ],
    [
      'BUDGET',
      'too many further arrivals',
      [
        ...START,
        asked({ path: '/again/1' }),
        ...many(60, (k) => [
          arrived({ at: 5_010 + k, path: '/again/1', visit: `v${k}` }),
          { what: 'refused', at: 5_010 + k, visit: `v${k}`, status: 503 } as const,
        ]),
      ],
    ],
    ['ORDER', 'a missing piece', [...STREAM, answered({ events: [event(1), event(3)] })]],
    ['ORDER', 'a piece twice', [...STREAM, answered({ events: [event(1), event(1), event(2), event(3)] })]],
    ['ORDER', 'an early end told as complete', [...STREAM, answered({ events: [event(1), event(2)] })]],
    [
      'ORDER',
      'two runs joined where it may not be resumed',
      [
        ...STREAM,
        arrived({ path: '/stream/1', model: 'llm', visit: 'v2', lastEvent: 5 }),
        ran({ visit: 'v2', seal: 's2' }),
        answered({ events: [event(1), event(2, 's2'), event(3, 's2')] }),
      ],
    ],
    [
      'ORDER',
      'a run joined that did not go on from there',
      [...RESUMED, answered({ events: [event(1), event(2), event(3, 's2')] })],
    ],
    [
      'FAILBACK',
      'a cold worker pressed',
      [
        ...START,
        life({ event: 'cold', at: 5_000, coldMs: 3_000 }),
        ...many(25, (k) => [asked({ attempt: `d${k}` }), arrived({ at: 5_100 + k, attempt: `d${k}`, visit: `v${k}` })]),
      ],
    ],
    [
      'HOME',
      'an arrival outside the homes',
      [
        ...START,
        asked({ path: '/home/1' }),
        arrived({ path: '/home/1', region: 'south' }),
        { what: 'refused', at: 5_020, visit: 'v1', status: 503 },
        answered({ status: 503, seal: null }),
      ],
    ],
    [
      'EVAC',
      'an arrival in an emptied zone',
      [
        ...START,
        { what: 'evacuated', at: 10, order: 'e-1', zone: 'z1', begin: true },
        settled({ order: 'e-1', at: 20 }),
        asked({ at: 6_000 }),
        arrived({ at: 6_010 }),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'EVAC',
      'an arrival in an emptied zone long past the bound, though the core is unsettled',
      [
        ...START,
        { what: 'planned', at: 0, edge: 'c1', core: true, fault: 'start' },
        { what: 'planned', at: 0, edge: 'c2', core: true, fault: 'start' },
        { what: 'planned', at: 0, edge: 'c3', core: true, fault: 'start' },
        { what: 'evacuated', at: 10, order: 'e-1', zone: 'z1', begin: true },
        settled({ order: 'e-1', at: 20 }),
        { what: 'planned', at: 10_000, edge: 'c1', core: true, fault: 'freeze' },
        asked({ at: 11_500 }),
        arrived({ at: 11_510 }),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'RECOVER',
      'nothing served after the closing fault',
      [
        ...SERVED,
        { what: 'planned', at: 8_000, edge: 'h1', core: true, fault: 'closing' },
        { what: 'planned', at: 9_000, edge: 'h1', core: true, fault: 'back' },
        asked({ attempt: 'd2', at: 22_000 }),
        answered({ attempt: 'd2', at: 23_000, end: 'deadline', status: 0, seal: null, echo: null }),
      ],
    ],
  ];
  test.each(broken)('sees %s: %s', (rule, _what, records) => {
    expect(brokenRules(judge(records))).toContain(rule);
  });

  test('leaves an edge out that was not in touch', () => {
    const killed: JournalRecord = { what: 'planned', at: 4_000, edge: 'e1', core: false, fault: 'kill' };
    const late: readonly JournalRecord[] = [
      ...START,
      { what: 'listed', at: 900, worker: 'w1', phase: 'draining' },
      asked(),
      arrived(),
      ran(),
      finished(),
      answered(),
    ];
    expect(brokenRules(judge(late))).toEqual(['DRAIN']);
    expect(judge([...late, killed])).toEqual([]);
    expect(brokenRules(judge([...late, killed], { ...BOUNDS, contactMs: 500 }))).toEqual(['DRAIN']);
  });
});

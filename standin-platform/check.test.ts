import { describe, expect, test } from '@jest/globals';
import { brokenRules, checkRules } from './check.js';
import { documentToWire, MAPPING_DEFAULTS, MODEL_DEFAULTS } from './document.js';
import type { ModelRoute } from './document.js';
import { BOUNDS } from './facts.js';
import type { Answered, Arrived, Asked, Finished, Life, Ran, JournalRecord, Settled, Submitted } from './records.js';

const HOST = 'ficu95.example';

function route(name: string, model: string, overrides: Partial<ModelRoute> = {}): ModelRoute {
  return {
    ...MAPPING_DEFAULTS,
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind: 'once',
    shares: [{ model, share: 1 }],
    ...overrides,
  };
}
function document(number: number, mappings: readonly ModelRoute[]): unknown {
  const models = ['llm', 'web'].map((name) => ({ ...MODEL_DEFAULTS, name, coldRateS: 10 }));
  return documentToWire({ number, mappings, models });
}
const ROUTES = [
  route('once', 'web'),
  route('again', 'web', { kind: 'repeatable' }),
  route('stream', 'llm', { kind: 'stream' }),
  route('resumed', 'llm', { kind: 'stream', resumable: true }),
  route('home', 'web', { homes: ['north'] }),
];
const FIRST_DOCUMENT = document(3, ROUTES);

function submitted(overrides: Partial<Submitted> = {}): Submitted {
  return {
    what: 'submitted',
    at: 0,
    order: 'o-1',
    number: 3,
    base: 0,
    document: FIRST_DOCUMENT,
    valid: true,
    ...overrides,
  };
}
function settled(overrides: Partial<Settled> = {}): Settled {
  return { what: 'settled', at: 10, order: 'o-1', outcome: 'acknowledged', status: 200, ...overrides };
}
function asked(overrides: Partial<Asked> = {}): Asked {
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
    ...overrides,
  };
}
function answered(overrides: Partial<Answered> = {}): Answered {
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
    ...overrides,
  };
}
function arrived(overrides: Partial<Arrived> = {}): Arrived {
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
    ...overrides,
  };
}
function ran(overrides: Partial<Ran> = {}): Ran {
  return { what: 'ran', at: 5_010, visit: 'v1', attempt: 'd1', digest: 'b', seal: 's1', ...overrides };
}
function finished(overrides: Partial<Finished> = {}): Finished {
  return { what: 'finished', at: 5_025, visit: 'v1', seal: 's1', status: 200, digest: 'x', end: 'whole', ...overrides };
}
function life(overrides: Partial<Life> = {}): Life {
  return { what: 'life', at: 0, worker: 'w1', model: 'web', zone: 'z1', event: 'started', coldMs: 0, ...overrides };
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
const SECOND_DOCUMENT = document(8, [route('once', 'llm'), ...ROUTES.slice(1)]);
const RECONFIGURED: readonly JournalRecord[] = [
  ...START,
  submitted({ order: 'o-2', number: 8, base: 3, document: SECOND_DOCUMENT, at: 1_000 }),
  settled({ order: 'o-2', at: 1_010 }),
];

function repeated(n: number, recordsOf: (k: number) => readonly JournalRecord[]): readonly JournalRecord[] {
  return Array.from({ length: n }, (_, k) => recordsOf(k)).flat();
}

describe('the rule checks', () => {
  const validRecords: readonly (readonly [string, readonly JournalRecord[]])[] = [
    ['a served request', SERVED],
    [
      'a worker error passed on unchanged',
      [...START, asked(), arrived(), ran(), finished({ status: 500 }), answered({ status: 500 })],
    ],
    ['a complete stream', [...STREAM, answered({ events: [event(1), event(2), event(3)] })]],
    [
      'a truncated stream that the caller can tell from a complete one',
      [...STREAM, answered({ end: 'cut', events: [event(1)] })],
    ],
    [
      'a stream resumed within one response',
      [...RESUMED, answered({ events: [event(1), event(2, 's2'), event(3, 's2')], digest: 'z' })],
    ],
    [
      'a stream that the caller resumed',
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
      'a rejected request that did not run',
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
      'a request on the old model before a change has to be applied',
      [...RECONFIGURED, asked({ at: 3_000 }), arrived({ at: 3_010 }), ran({ at: 3_010 }), finished(), answered()],
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
      'a late arrival at a leaving worker after an outage of the worker list',
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
      'an arrival after the evacuation was ended',
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
      'a response truncated by a crash of its worker while the proxy is stopping',
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
    [
      'the newest configuration read back',
      [...RECONFIGURED, { what: 'readBack', at: 9_000, document: SECOND_DOCUMENT }],
    ],
    [
      'two concurrent changes of which one is acknowledged',
      [
        ...START,
        submitted({ order: 'o-2', number: 5, base: 3 }),
        submitted({ order: 'o-3', number: 8, base: 3, document: SECOND_DOCUMENT }),
        settled({ order: 'o-2', outcome: 'refused', status: 412 }),
        settled({ order: 'o-3' }),
      ],
    ],
    [
      'a 404 for a path that no version routes',
      [...START, asked({ path: '/never/1', direct: true }), answered({ status: 404, seal: null })],
    ],
    [
      'a 408 on an idle connection',
      [...SERVED, { what: 'stray', at: 9_000, edge: 'e1', attempt: null, text: 'HTTP/1.1 408 Request Timeout\r\n' }],
    ],
  ];
  test.each(validRecords)('report nothing for %s', (_what, records) => {
    expect(checkRules(records)).toEqual([]);
  });

  const violations: readonly (readonly [string, string, readonly JournalRecord[]])[] = [
    ['MIXED', 'a success without a seal', [...SERVED.slice(0, -1), answered({ seal: null })]],
    ['MIXED', 'a body that differs from that of the worker', [...SERVED.slice(0, -1), answered({ digest: 'half' })]],
    ['MIXED', 'a worker error passed on as a success', [...SERVED.slice(0, -2), finished({ status: 500 }), answered()]],
    [
      'MIXED',
      'a truncated response passed on as complete',
      [...SERVED.slice(0, -2), finished({ end: 'brokenOff' }), answered({ digest: 'half' })],
    ],
    ['MIXED', "the echo of another request's attempt ID", [...SERVED.slice(0, -1), answered({ echo: 'd9' })]],
    [
      'MIXED',
      'the seal of another request',
      [...SERVED, asked({ attempt: 'd2' }), answered({ attempt: 'd2', echo: 'd2' })],
    ],
    [
      'MIXED',
      'the seal of another request on a truncated response',
      [...SERVED, asked({ attempt: 'd2' }), answered({ attempt: 'd2', echo: 'd2', end: 'cut' })],
    ],
    ['MIXED', 'an event of another request', [...STREAM, answered({ events: [event(1), event(2, 's7'), event(3)] })]],
    [
      'MIXED',
      'a success while no request is pending',
      [...SERVED, { what: 'stray', at: 9_000, edge: 'e1', attempt: null, text: 'HTTP/1.1 200 OK\r\n' }],
    ],
    [
      'MIXED',
      'bytes that are no response',
      [...SERVED, { what: 'stray', at: 9_000, edge: 'e1', attempt: 'waiting', text: '\u0001\u0002' }],
    ],
    ['UNASKED', 'a run of an unknown attempt', [...START, arrived({ attempt: 'd9' }), ran({ attempt: 'd9' })]],
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
    [
      'REFUSED',
      'a request answered as not run although it ran',
      [...SERVED.slice(0, -1), answered({ status: 503, seal: null })],
    ],
    [
      'REFUSED',
      'a request answered as not run that runs later',
      [...START, asked(), answered({ status: 429, seal: null }), arrived({ at: 6_000 }), ran({ at: 6_000 })],
    ],
    [
      'DENIED',
      'valid requests answered 400',
      [
        ...START,
        ...repeated(6, (k) => [
          asked({ attempt: `d${k}` }),
          answered({ attempt: `d${k}`, status: 400, seal: null, echo: null }),
        ]),
      ],
    ],
    [
      'ROUTE',
      'a run on a model that no version routes to',
      [...START, asked(), arrived({ model: 'other' }), ran(), finished(), answered()],
    ],
    [
      'DRAIN',
      'an arrival after the cutoff',
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
      'a rejected arrival after the cutoff',
      [
        ...START,
        { what: 'listed', at: 900, worker: 'w1', phase: 'gone' },
        asked(),
        arrived(),
        { what: 'refused', at: 5_020, visit: 'v1', status: 503 },
        answered({ status: 503, seal: null }),
      ],
    ],
    [
      'CONFIG',
      'a run on the old model after a change had to be applied',
      [...RECONFIGURED, asked(), arrived(), ran(), finished(), answered()],
    ],
    ['CONFIG', 'a 404 for a path that is routed', [...START, asked(), answered({ status: 404, seal: null })]],
    [
      'CONFIG',
      'a request served on a removed route',
      [
        ...START,
        submitted({ order: 'o-2', number: 8, base: 3, document: document(8, ROUTES.slice(1)), at: 1_000 }),
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
      'a proxy that reverts to an older version',
      [
        ...RECONFIGURED,
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
      'an acknowledged invalid change',
      [...START, submitted({ order: 'o-2', number: 4, base: 3, valid: false }), settled({ order: 'o-2' })],
    ],
    [
      'CONFIG',
      'two acknowledged changes on the same base',
      [
        ...RECONFIGURED,
        submitted({ order: 'o-3', number: 9, base: 3, document: document(9, []) }),
        settled({ order: 'o-3' }),
      ],
    ],
    [
      'CONFIG',
      'a rejected change in force',
      [
        ...START,
        submitted({ order: 'o-2', number: 8, base: 3, document: SECOND_DOCUMENT, at: 1_000 }),
        settled({ order: 'o-2', at: 1_010, outcome: 'refused', status: 412 }),
        asked(),
        arrived({ model: 'llm' }),
        ran(),
        finished(),
        answered(),
      ],
    ],
    [
      'CONFIG',
      'an older version read back',
      [...RECONFIGURED, { what: 'readBack', at: 9_000, document: FIRST_DOCUMENT }],
    ],
    ['CONFIG', 'no configuration read back', [...RECONFIGURED, { what: 'readBack', at: 9_000, document: null }]],
    [
      'CONFIG',
      'a different document read back',
      [...RECONFIGURED, { what: 'readBack', at: 9_000, document: document(8, ROUTES) }],
    ],
    [
      'LOST',
      'an acknowledged version lost in the final fault',
      [
        ...RECONFIGURED,
        { what: 'planned', at: 8_000, edge: 'h1', core: true, fault: 'closing' },
        { what: 'readBack', at: 9_000, document: FIRST_DOCUMENT },
      ],
    ],
    [
      'LOST',
      'a response truncated by a stopping proxy',
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
      'a run aborted by a stopping proxy',
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
      'a run aborted at the exit of a proxy that accepted it long after SIGTERM',
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
      'a valid change without a clear outcome',
      [
        ...START,
        submitted({ order: 'o-2', number: 8, base: 3, document: SECOND_DOCUMENT, at: 1_000 }),
        settled({ order: 'o-2', at: 6_100, outcome: 'unclear', status: 503 }),
      ],
    ],
    [
      'BUDGET',
      'too many retries',
      [
        ...START,
        asked({ path: '/again/1' }),
        ...repeated(60, (k) => [
          arrived({ at: 5_010 + k, path: '/again/1', visit: `v${k}` }),
          { what: 'refused', at: 5_010 + k, visit: `v${k}`, status: 503 } as const,
        ]),
      ],
    ],
    ['ORDER', 'a missing piece', [...STREAM, answered({ events: [event(1), event(3)] })]],
    ['ORDER', 'a repeated piece', [...STREAM, answered({ events: [event(1), event(1), event(2), event(3)] })]],
    ['ORDER', 'an early end passed on as complete', [...STREAM, answered({ events: [event(1), event(2)] })]],
    [
      'ORDER',
      'two runs joined in a stream that is not resumable',
      [
        ...STREAM,
        arrived({ path: '/stream/1', model: 'llm', visit: 'v2', lastEvent: 5 }),
        ran({ visit: 'v2', seal: 's2' }),
        answered({ events: [event(1), event(2, 's2'), event(3, 's2')] }),
      ],
    ],
    [
      'ORDER',
      'a joined run that did not continue after the last event',
      [...RESUMED, answered({ events: [event(1), event(2), event(3, 's2')] })],
    ],
    [
      'FAILBACK',
      'too many requests at a cold worker',
      [
        ...START,
        life({ event: 'cold', at: 5_000, coldMs: 3_000 }),
        ...repeated(25, (k) => [
          asked({ attempt: `d${k}` }),
          arrived({ at: 5_100 + k, attempt: `d${k}`, visit: `v${k}` }),
        ]),
      ],
    ],
    [
      'HOME',
      'an arrival outside the home regions',
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
      'an arrival in an evacuated zone',
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
      'an arrival in an evacuated zone long after the time limit, even while the core is unstable',
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
      'no request served after the final fault',
      [
        ...SERVED,
        { what: 'planned', at: 8_000, edge: 'h1', core: true, fault: 'closing' },
        { what: 'planned', at: 9_000, edge: 'h1', core: true, fault: 'back' },
        asked({ attempt: 'd2', at: 22_000 }),
        answered({ attempt: 'd2', at: 23_000, end: 'deadline', status: 0, seal: null, echo: null }),
      ],
    ],
  ];
  test.each(violations)('report %s: %s', (rule, _what, records) => {
    expect(brokenRules(checkRules(records))).toContain(rule);
  });

  test('skip a proxy that was not in contact with the core', () => {
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
    expect(brokenRules(checkRules(late))).toEqual(['DRAIN']);
    expect(checkRules([...late, killed])).toEqual([]);
    expect(brokenRules(checkRules([...late, killed], { ...BOUNDS, contactMs: 500 }))).toEqual(['DRAIN']);
  });
});

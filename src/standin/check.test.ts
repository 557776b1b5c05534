import { describe, expect, test } from '@jest/globals';
import { sha256 } from '../base/digest.js';
import { checkRecords } from './check.js';
import { bootstrapDigest } from './mark.js';
import type { Rec } from './check.js';

const rules = { regionsOfKind: { card: ['north'] }, leavingMs: 4_000 };
const MARK = bootstrapDigest({ key: 'k1', kind: 'card', homes: null }, 'u');

function text(requestId: string, attemptId: string, pieces: number): string {
  let out = '';
  for (let n = 0; n < pieces; n += 1) out += `${requestId.slice(-6)}/${attemptId.slice(-6)}/${n} `;
  return out;
}
function worker(event: string, over: Rec = {}): Rec {
  return {
    who: 'worker',
    worker: 'w1',
    machine: 'm1',
    region: 'north',
    zone: 'z1',
    at: 10,
    event,
    requestId: 'req-000001',
    attemptId: 'd-000001',
    mark: MARK,
    ...over,
  };
}
function caller(over: Rec = {}): Rec {
  return {
    who: 'caller',
    at: 20,
    requestId: 'req-000001',
    attemptId: 'd-000001',
    key: 'k1',
    repeatable: false,
    result: 'success',
    text: sha256(text('req-000001', 'd-000001', 2)),
    pieces: 2,
    ...over,
  };
}
const good: Rec[] = [
  worker('arrived'),
  worker('begin'),
  worker('end', { pieces: 2, at: 15 }),
  { who: 'body', region: 'north', mark: MARK, at: 5 },
  caller(),
];
const again = { requestId: 'req-000002', attemptId: 'd-000002', at: 30 };

describe('the checker', () => {
  test('holds its peace over a good run, and over an honest cut', () => {
    expect(checkRecords(good, rules).broken).toEqual([]);
    const cut = caller({ result: 'cut', attemptId: null, pieces: 1, text: sha256(text('req-000001', 'd-000001', 1)) });
    expect(checkRecords([...good.slice(0, 2), cut], rules).broken).toEqual([]);
  });

  const breaks: readonly (readonly [string, string, Rec[]])[] = [
    [
      'runOnce',
      'a key run by two requests',
      [...good, worker('begin', again), caller({ ...again, result: 'outcomeUnknown', at: 31 })],
    ],
    ['runOnce', 'one dispatch run twice', [...good, worker('begin', { at: 12 })]],
    ['runOnce', 'a second run whose caller left no record', [...good, worker('begin', again)]],
    [
      'notRun',
      'shed, yet run',
      [worker('arrived'), worker('begin'), caller({ result: 'shed:noWorker', attemptId: null })],
    ],
    [
      'notRun',
      'shed, and run later',
      [caller({ result: 'shed:noWorker', attemptId: null, at: 1 }), worker('begin', { at: 90_000 })],
    ],
    ['sealed', 'a success without an end', [worker('arrived'), worker('begin'), caller()]],
    ['sealed', "another's success", [...good.slice(0, 3), caller({ requestId: 'req-000009' })]],
    [
      'spliced',
      'a success that is not whole',
      [...good.slice(0, 3), caller({ text: sha256(text('req-000001', 'd-000001', 1)) })],
    ],
    [
      'spliced',
      'a cut stream with a piece of another run',
      [
        ...good.slice(0, 2),
        caller({
          result: 'cut',
          attemptId: null,
          pieces: 2,
          text: sha256(`${text('req-000001', 'd-000001', 1)}000001/000007/1 `),
        }),
      ],
    ],
    ['homes', 'a run outside', [worker('begin', { region: 'south' }), worker('arrived', { region: 'south' })]],
    [
      'homes',
      'an arrival outside, though refused',
      [worker('arrived', { region: 'south' }), worker('refused', { region: 'south' })],
    ],
    [
      'homes',
      'an arrival outside the homes it asked for',
      [worker('arrived', { mark: bootstrapDigest({ key: null, kind: null, homes: ['south'] }, 'u') })],
    ],
    ['homes', 'a body at a proxy outside', [{ who: 'body', region: 'south', mark: MARK, at: 1 }]],
    ['leaving', 'the worker knew', [worker('draining', { at: 0 }), worker('arrived', { at: 4_001 })]],
    [
      'leaving',
      'the cloud knew',
      [{ who: 'cloud', event: 'reclaiming', machine: 'm1', at: 0 }, worker('arrived', { at: 4_001 })],
    ],
    [
      'leaving',
      'the platform listed it as draining',
      [{ who: 'platform', event: 'draining', machine: 'm1', at: 0 }, worker('arrived', { at: 4_001 })],
    ],
  ];
  test.each(breaks)('sees a broken rule: %s, %s', (rule, _what, records) => {
    expect(checkRecords(records, rules).broken.map((b) => b.rule)).toContain(rule);
  });
});

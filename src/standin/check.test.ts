import { describe, expect, test } from '@jest/globals';
import { sha256 } from '../base/digest.js';
import { checkRecords } from './check.js';
import { markedHash } from './mark.js';
import type { JournalRecord } from './check.js';

const rules = { regionsOfKind: { card: ['north'] }, drainNoticeGraceMs: 4_000 };
const MARK = markedHash({ key: 'k1', kind: 'card', homes: null }, 'u');

function piecesText(requestId: string, attemptId: string, pieces: number): string {
  let out = '';
  for (let n = 0; n < pieces; n += 1) out += `${requestId.slice(-6)}/${attemptId.slice(-6)}/${n} `;
  return out;
}
function workerRecord(event: string, overrides: JournalRecord = {}): JournalRecord {
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
    ...overrides,
  };
}
function callerRecord(overrides: JournalRecord = {}): JournalRecord {
  return {
    who: 'caller',
    at: 20,
    requestId: 'req-000001',
    attemptId: 'd-000001',
    key: 'k1',
    repeatable: false,
    result: 'success',
    text: sha256(piecesText('req-000001', 'd-000001', 2)),
    pieces: 2,
    ...overrides,
  };
}
const correctRun: JournalRecord[] = [
  workerRecord('arrived'),
  workerRecord('begin'),
  workerRecord('end', { pieces: 2, at: 15 }),
  { who: 'body', region: 'north', mark: MARK, at: 5 },
  callerRecord(),
];
const secondRequest = { requestId: 'req-000002', attemptId: 'd-000002', at: 30 };

describe('the checker of journals', () => {
  test('reports nothing for a correct run, nor for a truncated response that is a prefix of its run', () => {
    expect(checkRecords(correctRun, rules).broken).toEqual([]);
    const truncated = callerRecord({
      result: 'cut',
      attemptId: null,
      pieces: 1,
      text: sha256(piecesText('req-000001', 'd-000001', 1)),
    });
    expect(checkRecords([...correctRun.slice(0, 2), truncated], rules).broken).toEqual([]);
  });

  const violations: readonly (readonly [string, string, JournalRecord[]])[] = [
    [
      'runOnce',
      'a key that two requests ran',
      [
        ...correctRun,
        workerRecord('begin', secondRequest),
        callerRecord({ ...secondRequest, result: 'outcomeUnknown', at: 31 }),
      ],
    ],
    ['runOnce', 'one attempt that ran twice', [...correctRun, workerRecord('begin', { at: 12 })]],
    ['runOnce', 'a second run without a record of its caller', [...correctRun, workerRecord('begin', secondRequest)]],
    [
      'notRun',
      'a request that was shed and ran',
      [workerRecord('arrived'), workerRecord('begin'), callerRecord({ result: 'shed:noWorker', attemptId: null })],
    ],
    [
      'notRun',
      'a request that was shed and ran later',
      [callerRecord({ result: 'shed:noWorker', attemptId: null, at: 1 }), workerRecord('begin', { at: 90_000 })],
    ],
    ['sealed', 'a success without a finished run', [workerRecord('arrived'), workerRecord('begin'), callerRecord()]],
    [
      'sealed',
      'the success of another request',
      [...correctRun.slice(0, 3), callerRecord({ requestId: 'req-000009' })],
    ],
    [
      'spliced',
      'a success with an incomplete text',
      [...correctRun.slice(0, 3), callerRecord({ text: sha256(piecesText('req-000001', 'd-000001', 1)) })],
    ],
    [
      'spliced',
      'a truncated stream with a piece of another run',
      [
        ...correctRun.slice(0, 2),
        callerRecord({
          result: 'cut',
          attemptId: null,
          pieces: 2,
          text: sha256(`${piecesText('req-000001', 'd-000001', 1)}000001/000007/1 `),
        }),
      ],
    ],
    [
      'homes',
      'a run outside its homes',
      [workerRecord('begin', { region: 'south' }), workerRecord('arrived', { region: 'south' })],
    ],
    [
      'homes',
      'an arrival outside its homes, though rejected',
      [workerRecord('arrived', { region: 'south' }), workerRecord('refused', { region: 'south' })],
    ],
    [
      'homes',
      'an arrival outside the homes that the request named',
      [workerRecord('arrived', { mark: markedHash({ key: null, kind: null, homes: ['south'] }, 'u') })],
    ],
    ['homes', 'a body at a proxy outside its homes', [{ who: 'body', region: 'south', mark: MARK, at: 1 }]],
    [
      'leaving',
      'the worker had recorded the notice',
      [workerRecord('draining', { at: 0 }), workerRecord('arrived', { at: 4_001 })],
    ],
    [
      'leaving',
      'the cloud had recorded the notice',
      [{ who: 'cloud', event: 'reclaiming', machine: 'm1', at: 0 }, workerRecord('arrived', { at: 4_001 })],
    ],
    [
      'leaving',
      'the platform listed it as draining',
      [{ who: 'platform', event: 'draining', machine: 'm1', at: 0 }, workerRecord('arrived', { at: 4_001 })],
    ],
  ];
  test.each(violations)('reports a violated rule: %s, %s', (rule, _what, records) => {
    expect(checkRecords(records, rules).broken.map((b) => b.rule)).toContain(rule);
  });
});

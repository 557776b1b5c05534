import { describe, expect, test } from '@jest/globals';
import { randomInt, createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { checkLinearizable } from './linearizability.js';
import type { ViolationKind } from './linearizability.js';
import type { ChangeAnswer, ChangeCall, OperatorCall, ReadCall } from './operator-calls.js';

const INITIAL = { number: 0, content: 'c0' };

function change(
  start: number,
  end: number,
  base: number,
  number: number,
  answer: ChangeAnswer,
  over: Partial<ChangeCall> = {},
): ChangeCall {
  return {
    kind: 'change',
    start,
    end,
    node: 'h1',
    request: `r${number}`,
    base,
    number,
    content: `c${number}`,
    answer,
    ...over,
  };
}
function read(start: number, end: number, number: number, content = `c${number}`): ReadCall {
  return { kind: 'read', start, end, node: 'h2', number, content };
}

describe('histories that one register explains', () => {
  const cases: readonly (readonly [string, readonly OperatorCall[]])[] = [
    ['none', []],
    [
      'changes and reads one after another',
      [change(0, 1, 0, 5, 'confirmed'), read(2, 3, 5), change(4, 5, 5, 6, 'confirmed'), read(6, 7, 6)],
    ],
    [
      'a race with one winner, whichever answer came first',
      [change(0, 9, 0, 5, 'confirmed'), change(0, 3, 0, 6, 'stale'), read(4, 10, 5)],
    ],
    [
      'a change sent again, also after a newer one',
      [
        change(0, 1, 0, 5, 'confirmed'),
        change(2, 3, 5, 6, 'confirmed'),
        change(4, 5, 0, 5, 'confirmed'),
        read(6, 7, 6),
      ],
    ],
    ['one without a clear answer that took effect', [change(0, 1, 0, 5, 'unclear'), read(2, 3, 0), read(4, 5, 5)]],
    [
      'one without a clear answer that never did',
      [change(0, 1, 0, 5, 'unclear'), change(2, 3, 0, 6, 'confirmed'), read(4, 5, 6), change(6, 7, 0, 5, 'stale')],
    ],
    [
      'one without a clear answer that is confirmed at its re-sending',
      [change(0, 1, 0, 5, 'unclear'), change(2, 3, 5, 6, 'confirmed'), change(4, 5, 0, 5, 'confirmed')],
    ],
    [
      'one whose number is told by a read alone',
      [
        change(0, 1, 0, 5, 'unclear', { number: null, content: 'x' }),
        read(2, 3, 5, 'x'),
        change(4, 5, 5, 6, 'confirmed'),
      ],
    ],
    [
      'two requests with the same base and result',
      [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 0, 5, 'confirmed', { request: 'other' })],
    ],
    [
      '… of which the one whose request was not applied is late after a newer one',
      [
        change(0, 1, 0, 5, 'confirmed'),
        change(2, 3, 5, 6, 'confirmed'),
        change(4, 5, 0, 5, 'stale', { request: 'other' }),
      ],
    ],
    ['an invalid change', [change(0, 1, 0, 5, 'invalid'), read(2, 3, 0)]],
    [
      'reads at one time with a change, of either',
      [change(0, 9, 0, 5, 'confirmed'), read(1, 2, 0), read(3, 4, 5), read(3, 9, 0)],
    ],
  ];
  test.each(cases)('%s', (_name, history) => expect(checkLinearizable(INITIAL, history)).toBeNull());
});

describe('histories that no register explains', () => {
  const cases: readonly (readonly [string, ViolationKind, readonly OperatorCall[]])[] = [
    ['two winners on one base', 'twoWinners', [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 0, 6, 'confirmed')]],
    [
      'two winners on one base at one time',
      'twoWinners',
      [change(0, 9, 0, 5, 'confirmed'), change(1, 8, 0, 6, 'confirmed')],
    ],
    [
      'two winners under one number',
      'twoContents',
      [change(0, 9, 0, 5, 'confirmed'), change(1, 8, 0, 5, 'confirmed', { request: 'other', content: 'x' })],
    ],
    [
      'a confirmed change that is refused when sent again',
      'refusedAfterConfirmed',
      [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 0, 5, 'stale')],
    ],
    [
      '… also after a newer one',
      'refusedAfterConfirmed',
      [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 5, 6, 'confirmed'), change(4, 5, 0, 5, 'stale')],
    ],
    [
      '… also where it was confirmed as the same as another one',
      'refusedAfterConfirmed',
      [
        change(0, 1, 0, 5, 'confirmed'),
        change(2, 3, 0, 5, 'confirmed', { request: 'other' }),
        change(4, 5, 5, 6, 'confirmed'),
        change(6, 7, 0, 5, 'stale', { request: 'other' }),
      ],
    ],
    [
      'one refused though what is in force is its result',
      'unexplained',
      [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 0, 5, 'stale', { request: 'other' })],
    ],
    ['… or called invalid', 'refusedAfterConfirmed', [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 0, 5, 'invalid')]],
    ['a confirmed change that is not read', 'olderRead', [change(0, 1, 0, 5, 'confirmed'), read(2, 3, 0)]],
    ['reads that go back', 'olderRead', [change(0, 9, 0, 5, 'confirmed'), read(1, 2, 5), read(3, 4, 0)]],
    [
      '… of a change without a clear answer',
      'olderRead',
      [change(0, 1, 0, 5, 'unclear'), read(2, 3, 5), read(4, 5, 0)],
    ],
    ['a change refused though it builds on what is in force', 'unexplained', [change(0, 1, 0, 5, 'stale')]],
    ['a refused change that is read', 'unexplained', [change(0, 1, 0, 5, 'invalid'), read(2, 3, 5)]],
    ['a change that is read before it was sent', 'unexplained', [read(0, 1, 5), change(2, 3, 0, 5, 'confirmed')]],
    [
      'a change confirmed on top of another one that was lost',
      'unexplained',
      [change(0, 1, 0, 5, 'confirmed'), change(2, 3, 4, 6, 'confirmed')],
    ],
    ['two contents under one number', 'twoContents', [change(0, 1, 0, 5, 'confirmed'), read(2, 3, 5, 'x')]],
    [
      'one refused, and taken all the same later',
      'unexplained',
      [
        change(0, 1, 0, 5, 'unclear'),
        change(0, 1, 0, 6, 'unclear'),
        read(2, 3, 6),
        change(4, 5, 0, 6, 'stale'),
        read(6, 7, 6),
      ],
    ],
  ];
  test.each(cases)('%s', (_name, kind, history) => expect(checkLinearizable(INITIAL, history)?.kind).toBe(kind));
});

/** All orders of all calls, with each unclear one left out or taken in: the definition itself, for a handful of calls. */
function hasOrder(history: readonly OperatorCall[]): boolean {
  const isRefused = (call: OperatorCall): call is ChangeCall =>
    call.kind === 'change' && (call.answer === 'stale' || call.answer === 'invalid');
  const isTaken = (call: OperatorCall): call is ChangeCall => call.kind === 'change' && call.answer === 'confirmed';
  if (
    history
      .filter(isRefused)
      .some((refused) =>
        history.filter(isTaken).some((taken) => taken.request === refused.request && taken.end < refused.start),
      )
  )
    return false;
  type Applied = {
    readonly request: string;
    readonly base: number;
    readonly number: number | null;
    readonly content: string;
  };
  function next(left: readonly OperatorCall[], applied: readonly Applied[]): boolean {
    const now = applied[applied.length - 1] ?? { ...INITIAL, request: '', base: -1 };
    if (left.every((call) => call.kind === 'change' && call.answer === 'unclear')) return true;
    for (const call of left) {
      const isFirst = left.every(
        (other) => other === call || (other.kind === 'change' && other.answer === 'unclear') || other.end >= call.start,
      );
      if (!isFirst) continue;
      const rest = left.filter((other) => other !== call);
      if (call.kind === 'read') {
        if (call.number === now.number && call.content === now.content && next(rest, applied)) return true;
        continue;
      }
      const isSame = (a: Applied): boolean =>
        a.number === call.number &&
        (a.request === call.request || (a.base === call.base && a.content === call.content));
      const isIn = applied.some(isSame);
      const isShared = history.some(
        (other) =>
          other.kind === 'change' &&
          other.base === call.base &&
          other.content === call.content &&
          other.request !== call.request,
      );
      const isKnown = !isShared && applied.some((a) => a.request === call.request);
      const may = !isIn && call.base === now.number;
      if (call.answer === 'unclear' && next(rest, applied)) return true;
      if (call.answer === 'confirmed' && isIn && next(rest, applied)) return true;
      if ((call.answer === 'confirmed' || call.answer === 'unclear') && may && next(rest, [...applied, call]))
        return true;
      if (call.answer === 'stale' && !isKnown && !isSame(now) && call.base !== now.number && next(rest, applied))
        return true;
      if (call.answer === 'invalid' && !isKnown && next(rest, applied)) return true;
    }
    return false;
  }
  return next(history, []);
}

function anyHistory(rng: Rng): OperatorCall[] {
  const history: OperatorCall[] = [];
  for (let n = 2 + randomInt(rng, 5); n > 0; n -= 1) {
    const start = randomInt(rng, 12);
    const end = start + 1 + randomInt(rng, 6);
    const number = randomInt(rng, 4);
    if (randomInt(rng, 3) === 0) history.push(read(start, end, number));
    else {
      const base = randomInt(rng, number + 1);
      const answer = (['confirmed', 'confirmed', 'stale', 'invalid', 'unclear'] as const)[
        randomInt(rng, 5)
      ] as ChangeAnswer;
      history.push(
        change(start, end, base, number + 1, answer, { request: `r${number + 1}.${base}.${randomInt(rng, 2)}` }),
      );
    }
  }
  return history;
}

test('small histories of any kind are judged as by trying all orders', () => {
  const rng = createRng(77);
  const seen = { linearizable: 0, not: 0 };
  for (let n = 0; n < 6_000; n += 1) {
    const history = anyHistory(rng);
    const expected = hasOrder(history);
    if (expected !== (checkLinearizable(INITIAL, history) === null)) expect(history).toBe(expected);
    seen[expected ? 'linearizable' : 'not'] += 1;
  }
  expect(Math.min(seen.linearizable, seen.not)).toBeGreaterThan(500);
});

/** A history of a real register: each call takes its moment at random between its start and its end. */
function historyOfRegister(seed: number, length: number): OperatorCall[] {
  const rng = createRng(seed);
  const log: OperatorCall[] = [];
  const applied = new Map<string, number>();
  const known: { readonly request: string; readonly base: number; readonly number: number }[] = [];
  let now = 0;
  let top = 0;
  for (let at = 0; log.length < length; at += 1) {
    const start = at - rng.next() * 6;
    const end = at + rng.next() * 6;
    if (rng.next() < 0.3) {
      log.push(read(start, end, now));
      continue;
    }
    const isAgain = known.length > 0 && rng.next() < 0.4;
    const fresh = { request: `r${top + 1}`, base: rng.next() < 0.8 ? now : Math.max(0, now - 1), number: top + 1 };
    const sent = isAgain ? (known[Math.max(0, known.length - 1 - randomInt(rng, 6))] ?? fresh) : fresh;
    if (!isAgain) {
      top += 1;
      known.push(sent);
    }
    const isIn = applied.has(sent.request);
    const isTaken = !isIn && sent.base === now;
    if (isTaken) {
      applied.set(sent.request, sent.number);
      now = sent.number;
    }
    const answer: ChangeAnswer = rng.next() < 0.25 ? 'unclear' : isIn || isTaken ? 'confirmed' : 'stale';
    log.push(change(start, end, sent.base, sent.number, answer, { request: sent.request }));
  }
  return log;
}

test('long histories of a register with many unclear answers are explained, and soon', () => {
  for (let seed = 1; seed <= 20; seed += 1)
    expect(checkLinearizable(INITIAL, historyOfRegister(seed, 1_500))).toBeNull();
});

test('a break in the middle of a long history is seen', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const history = historyOfRegister(seed, 400);
    const winner = history.find(
      (call, i): call is ChangeCall => i > 150 && call.kind === 'change' && call.answer === 'confirmed',
    );
    if (!winner) throw new Error('no change was confirmed');
    const lost: ReadCall = read(winner.end + 20, winner.end + 21, winner.base);
    expect(checkLinearizable(INITIAL, [...history, lost])).not.toBeNull();
    const second: ChangeCall = { ...winner, request: 'second', number: 9_999, content: 'c9999' };
    expect(checkLinearizable(INITIAL, [...history, second])).not.toBeNull();
    const refused: ChangeCall = { ...winner, start: winner.end + 1, end: winner.end + 2, answer: 'stale' };
    expect(checkLinearizable(INITIAL, [...history, refused])).not.toBeNull();
  }
});

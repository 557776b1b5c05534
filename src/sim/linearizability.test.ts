import { describe, expect, test } from '@jest/globals';
import { randomInt, createRng } from '../transport/rng.js';
import type { Rng } from '../transport/rng.js';
import { checkLinearizable } from './linearizability.js';
import type { ViolationKind } from './linearizability.js';
import type { ChangeOutcome, ChangeCall, OperatorCall, ReadCall } from './operator-calls.js';

const INITIAL = { number: 0, content: 'c0' };

function changeCall(
  start: number,
  end: number,
  base: number,
  number: number,
  answer: ChangeOutcome,
  overrides: Partial<ChangeCall> = {},
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
    ...overrides,
  };
}
function readCall(start: number, end: number, number: number, content = `c${number}`): ReadCall {
  return { kind: 'read', start, end, node: 'h2', number, content };
}

describe('linearizable histories', () => {
  const cases: readonly (readonly [string, readonly OperatorCall[]])[] = [
    ['an empty history', []],
    [
      'changes and reads one after another',
      [changeCall(0, 1, 0, 5, 'confirmed'), readCall(2, 3, 5), changeCall(4, 5, 5, 6, 'confirmed'), readCall(6, 7, 6)],
    ],
    [
      'concurrent changes with one winner, whichever answer came first',
      [changeCall(0, 9, 0, 5, 'confirmed'), changeCall(0, 3, 0, 6, 'stale'), readCall(4, 10, 5)],
    ],
    [
      'a change that is retried, also after a newer one',
      [
        changeCall(0, 1, 0, 5, 'confirmed'),
        changeCall(2, 3, 5, 6, 'confirmed'),
        changeCall(4, 5, 0, 5, 'confirmed'),
        readCall(6, 7, 6),
      ],
    ],
    [
      'a change without a clear answer that took effect',
      [changeCall(0, 1, 0, 5, 'unclear'), readCall(2, 3, 0), readCall(4, 5, 5)],
    ],
    [
      'a change without a clear answer that never took effect',
      [
        changeCall(0, 1, 0, 5, 'unclear'),
        changeCall(2, 3, 0, 6, 'confirmed'),
        readCall(4, 5, 6),
        changeCall(6, 7, 0, 5, 'stale'),
      ],
    ],
    [
      'a change without a clear answer that is confirmed at its retry',
      [changeCall(0, 1, 0, 5, 'unclear'), changeCall(2, 3, 5, 6, 'confirmed'), changeCall(4, 5, 0, 5, 'confirmed')],
    ],
    [
      'a change whose number is known only from a read',
      [
        changeCall(0, 1, 0, 5, 'unclear', { number: null, content: 'x' }),
        readCall(2, 3, 5, 'x'),
        changeCall(4, 5, 5, 6, 'confirmed'),
      ],
    ],
    [
      'two requests with the same base and content',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 0, 5, 'confirmed', { request: 'other' })],
    ],
    [
      'two requests with the same base and content, of which the unapplied one is stale after a newer change',
      [
        changeCall(0, 1, 0, 5, 'confirmed'),
        changeCall(2, 3, 5, 6, 'confirmed'),
        changeCall(4, 5, 0, 5, 'stale', { request: 'other' }),
      ],
    ],
    ['an invalid change', [changeCall(0, 1, 0, 5, 'invalid'), readCall(2, 3, 0)]],
    [
      'reads concurrent with a change, of the old or the new content',
      [changeCall(0, 9, 0, 5, 'confirmed'), readCall(1, 2, 0), readCall(3, 4, 5), readCall(3, 9, 0)],
    ],
  ];
  test.each(cases)('%s', (_name, history) => expect(checkLinearizable(INITIAL, history)).toBeNull());
});

describe('histories that are not linearizable', () => {
  const cases: readonly (readonly [string, ViolationKind, readonly OperatorCall[]])[] = [
    [
      'two winners on one base',
      'twoWinners',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 0, 6, 'confirmed')],
    ],
    [
      'two concurrent winners on one base',
      'twoWinners',
      [changeCall(0, 9, 0, 5, 'confirmed'), changeCall(1, 8, 0, 6, 'confirmed')],
    ],
    [
      'two winners under one number',
      'twoContents',
      [changeCall(0, 9, 0, 5, 'confirmed'), changeCall(1, 8, 0, 5, 'confirmed', { request: 'other', content: 'x' })],
    ],
    [
      'a confirmed change that is rejected when retried',
      'refusedAfterConfirmed',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 0, 5, 'stale')],
    ],
    [
      'a confirmed change that is rejected when retried after a newer one',
      'refusedAfterConfirmed',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 5, 6, 'confirmed'), changeCall(4, 5, 0, 5, 'stale')],
    ],
    [
      'a change that is rejected after it was confirmed as the same as another one',
      'refusedAfterConfirmed',
      [
        changeCall(0, 1, 0, 5, 'confirmed'),
        changeCall(2, 3, 0, 5, 'confirmed', { request: 'other' }),
        changeCall(4, 5, 5, 6, 'confirmed'),
        changeCall(6, 7, 0, 5, 'stale', { request: 'other' }),
      ],
    ],
    [
      'a change that is rejected although its content is in force',
      'unexplained',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 0, 5, 'stale', { request: 'other' })],
    ],
    [
      'a confirmed change that is answered as invalid when retried',
      'refusedAfterConfirmed',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 0, 5, 'invalid')],
    ],
    ['a read that misses a confirmed change', 'olderRead', [changeCall(0, 1, 0, 5, 'confirmed'), readCall(2, 3, 0)]],
    [
      'reads that go back to an older content',
      'olderRead',
      [changeCall(0, 9, 0, 5, 'confirmed'), readCall(1, 2, 5), readCall(3, 4, 0)],
    ],
    [
      'reads that go back before a change without a clear answer',
      'olderRead',
      [changeCall(0, 1, 0, 5, 'unclear'), readCall(2, 3, 5), readCall(4, 5, 0)],
    ],
    ['a change that is rejected although its base is in force', 'unexplained', [changeCall(0, 1, 0, 5, 'stale')]],
    ['a rejected change that is read', 'unexplained', [changeCall(0, 1, 0, 5, 'invalid'), readCall(2, 3, 5)]],
    [
      'a change that is read before it was sent',
      'unexplained',
      [readCall(0, 1, 5), changeCall(2, 3, 0, 5, 'confirmed')],
    ],
    [
      'a change confirmed on a base that was never in force',
      'unexplained',
      [changeCall(0, 1, 0, 5, 'confirmed'), changeCall(2, 3, 4, 6, 'confirmed')],
    ],
    ['two contents under one number', 'twoContents', [changeCall(0, 1, 0, 5, 'confirmed'), readCall(2, 3, 5, 'x')]],
    [
      'a change rejected as stale although its content is in force before and after',
      'unexplained',
      [
        changeCall(0, 1, 0, 5, 'unclear'),
        changeCall(0, 1, 0, 6, 'unclear'),
        readCall(2, 3, 6),
        changeCall(4, 5, 0, 6, 'stale'),
        readCall(6, 7, 6),
      ],
    ],
  ];
  test.each(cases)('%s', (_name, kind, history) => expect(checkLinearizable(INITIAL, history)?.kind).toBe(kind));
});

/** Tries all orders of all calls, with and without each unclear one, as the definition of linearizability says. */
function hasValidOrder(history: readonly OperatorCall[]): boolean {
  const isRefused = (call: OperatorCall): call is ChangeCall =>
    call.kind === 'change' && (call.answer === 'stale' || call.answer === 'invalid');
  const isConfirmed = (call: OperatorCall): call is ChangeCall => call.kind === 'change' && call.answer === 'confirmed';
  if (
    history
      .filter(isRefused)
      .some((refused) =>
        history
          .filter(isConfirmed)
          .some((confirmed) => confirmed.request === refused.request && confirmed.end < refused.start),
      )
  )
    return false;
  type Applied = {
    readonly request: string;
    readonly base: number;
    readonly number: number | null;
    readonly content: string;
  };
  function search(remaining: readonly OperatorCall[], applied: readonly Applied[]): boolean {
    const current = applied[applied.length - 1] ?? { ...INITIAL, request: '', base: -1 };
    if (remaining.every((call) => call.kind === 'change' && call.answer === 'unclear')) return true;
    for (const call of remaining) {
      const mayComeNext = remaining.every(
        (other) => other === call || (other.kind === 'change' && other.answer === 'unclear') || other.end >= call.start,
      );
      if (!mayComeNext) continue;
      const rest = remaining.filter((other) => other !== call);
      if (call.kind === 'read') {
        if (call.number === current.number && call.content === current.content && search(rest, applied)) return true;
        continue;
      }
      const isSame = (a: Applied): boolean =>
        a.number === call.number &&
        (a.request === call.request || (a.base === call.base && a.content === call.content));
      const isApplied = applied.some(isSame);
      const isShared = history.some(
        (other) =>
          other.kind === 'change' &&
          other.base === call.base &&
          other.content === call.content &&
          other.request !== call.request,
      );
      const isRequestApplied = !isShared && applied.some((a) => a.request === call.request);
      const mayApply = !isApplied && call.base === current.number;
      if (call.answer === 'unclear' && search(rest, applied)) return true;
      if (call.answer === 'confirmed' && isApplied && search(rest, applied)) return true;
      if ((call.answer === 'confirmed' || call.answer === 'unclear') && mayApply && search(rest, [...applied, call]))
        return true;
      if (
        call.answer === 'stale' &&
        !isRequestApplied &&
        !isSame(current) &&
        call.base !== current.number &&
        search(rest, applied)
      )
        return true;
      if (call.answer === 'invalid' && !isRequestApplied && search(rest, applied)) return true;
    }
    return false;
  }
  return search(history, []);
}

function drawHistory(rng: Rng): OperatorCall[] {
  const history: OperatorCall[] = [];
  for (let n = 2 + randomInt(rng, 5); n > 0; n -= 1) {
    const start = randomInt(rng, 12);
    const end = start + 1 + randomInt(rng, 6);
    const number = randomInt(rng, 4);
    if (randomInt(rng, 3) === 0) history.push(readCall(start, end, number));
    else {
      const base = randomInt(rng, number + 1);
      const answer = (['confirmed', 'confirmed', 'stale', 'invalid', 'unclear'] as const)[
        randomInt(rng, 5)
      ] as ChangeOutcome;
      history.push(
        changeCall(start, end, base, number + 1, answer, { request: `r${number + 1}.${base}.${randomInt(rng, 2)}` }),
      );
    }
  }
  return history;
}

test('on small random histories the checker agrees with trying all orders', () => {
  const rng = createRng(77);
  const seen = { linearizable: 0, not: 0 };
  for (let n = 0; n < 6_000; n += 1) {
    const history = drawHistory(rng);
    const expected = hasValidOrder(history);
    if (expected !== (checkLinearizable(INITIAL, history) === null)) expect(history).toBe(expected);
    seen[expected ? 'linearizable' : 'not'] += 1;
  }
  expect(Math.min(seen.linearizable, seen.not)).toBeGreaterThan(500);
});

/** Generates a history of a real register: each call takes effect at a random time between its start and its end. */
function historyOfRegister(seed: number, length: number): OperatorCall[] {
  const rng = createRng(seed);
  const history: OperatorCall[] = [];
  const applied = new Map<string, number>();
  const sentChanges: { readonly request: string; readonly base: number; readonly number: number }[] = [];
  let currentNumber = 0;
  let highestNumber = 0;
  for (let at = 0; history.length < length; at += 1) {
    const start = at - rng.next() * 6;
    const end = at + rng.next() * 6;
    if (rng.next() < 0.3) {
      history.push(readCall(start, end, currentNumber));
      continue;
    }
    const isResend = sentChanges.length > 0 && rng.next() < 0.4;
    const newChange = {
      request: `r${highestNumber + 1}`,
      base: rng.next() < 0.8 ? currentNumber : Math.max(0, currentNumber - 1),
      number: highestNumber + 1,
    };
    const sent = isResend
      ? (sentChanges[Math.max(0, sentChanges.length - 1 - randomInt(rng, 6))] ?? newChange)
      : newChange;
    if (!isResend) {
      highestNumber += 1;
      sentChanges.push(sent);
    }
    const isApplied = applied.has(sent.request);
    const isAppliedNow = !isApplied && sent.base === currentNumber;
    if (isAppliedNow) {
      applied.set(sent.request, sent.number);
      currentNumber = sent.number;
    }
    const answer: ChangeOutcome = rng.next() < 0.25 ? 'unclear' : isApplied || isAppliedNow ? 'confirmed' : 'stale';
    history.push(changeCall(start, end, sent.base, sent.number, answer, { request: sent.request }));
  }
  return history;
}

test('long histories of a register with many unclear answers are found linearizable in reasonable time', () => {
  for (let seed = 1; seed <= 20; seed += 1)
    expect(checkLinearizable(INITIAL, historyOfRegister(seed, 1_500))).toBeNull();
});

test('a violation in the middle of a long history is detected', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const history = historyOfRegister(seed, 400);
    const winner = history.find(
      (call, i): call is ChangeCall => i > 150 && call.kind === 'change' && call.answer === 'confirmed',
    );
    if (!winner) throw new Error('no change was confirmed');
    const staleRead: ReadCall = readCall(winner.end + 20, winner.end + 21, winner.base);
    expect(checkLinearizable(INITIAL, [...history, staleRead])).not.toBeNull();
    const secondWinner: ChangeCall = { ...winner, request: 'second', number: 9_999, content: 'c9999' };
    expect(checkLinearizable(INITIAL, [...history, secondWinner])).not.toBeNull();
    const rejectedResend: ChangeCall = { ...winner, start: winner.end + 1, end: winner.end + 2, answer: 'stale' };
    expect(checkLinearizable(INITIAL, [...history, rejectedResend])).not.toBeNull();
  }
});

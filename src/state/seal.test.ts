import { expect, test } from '@jest/globals';
import { addPiece, checkSeal, closeSeal, startSeal } from './seal.js';

function sealed(texts: readonly string[]): ReturnType<typeof closeSeal> {
  const check = startSeal('r1', 'd1');
  texts.forEach((text, n) => addPiece(check, { n, text }));
  return closeSeal(check, 'd1');
}

test('only the whole answer of this request and dispatch fits the seal', () => {
  const seal = sealed(['ab', 'c']);
  function verdict(requestId: string, attemptId: string | null, texts: readonly string[]): unknown {
    const check = startSeal(requestId, attemptId);
    texts.forEach((text, n) => addPiece(check, { n, text }));
    return checkSeal(check, seal);
  }
  expect(verdict('r1', 'd1', ['ab', 'c'])).toBeNull();
  expect(verdict('r1', null, ['ab', 'c'])).toBeNull();
  expect(verdict('r1', 'd1', ['ab'])).toBe('pieceCount');
  expect(verdict('r1', 'd1', ['a', 'bc'])).toBe('digest');
  expect(verdict('r2', 'd1', ['ab', 'c'])).toBe('foreign');
  expect(verdict('r1', 'd2', ['ab', 'c'])).toBe('foreign');
});

test('a piece out of turn is told at once', () => {
  const check = startSeal('r1', 'd1');
  expect(addPiece(check, { n: 0, text: 'a' })).toBeNull();
  expect(addPiece(check, { n: 0, text: 'a' })).toBe('pieceOutOfTurn');
  expect(addPiece(check, { n: 2, text: 'a' })).toBe('pieceOutOfTurn');
});

import { expect, test } from '@jest/globals';
import { addChunk, checkDigest, closeDigest, startDigest } from './response-digest.js';

function digestOf(texts: readonly string[]): ReturnType<typeof closeDigest> {
  const running = startDigest('r1', 'd1');
  texts.forEach((text, n) => addChunk(running, { n, text }));
  return closeDigest(running, 'd1');
}

test('only the complete response of this request and attempt matches the digest', () => {
  const digest = digestOf(['ab', 'c']);
  function verify(requestId: string, attemptId: string | null, texts: readonly string[]): unknown {
    const running = startDigest(requestId, attemptId);
    texts.forEach((text, n) => addChunk(running, { n, text }));
    return checkDigest(running, digest);
  }
  expect(verify('r1', 'd1', ['ab', 'c'])).toBeNull();
  expect(verify('r1', null, ['ab', 'c'])).toBeNull();
  expect(verify('r1', 'd1', ['ab'])).toBe('pieceCount');
  expect(verify('r1', 'd1', ['a', 'bc'])).toBe('digest');
  expect(verify('r2', 'd1', ['ab', 'c'])).toBe('foreign');
  expect(verify('r1', 'd2', ['ab', 'c'])).toBe('foreign');
});

test('a chunk out of order is reported at once', () => {
  const running = startDigest('r1', 'd1');
  expect(addChunk(running, { n: 0, text: 'a' })).toBeNull();
  expect(addChunk(running, { n: 0, text: 'a' })).toBe('pieceOutOfTurn');
  expect(addChunk(running, { n: 2, text: 'a' })).toBe('pieceOutOfTurn');
});

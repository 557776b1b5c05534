import { expect, test } from '@jest/globals';
import { splitLines } from './response-lines.js';

function limits(maxBytes: number, maxHeldBytes = 1_000) {
  let held = 0;
  return {
    maxBytes,
    tryHold: (bytes: number) => (held += bytes) <= maxHeldBytes,
    release: (bytes: number) => (held -= bytes),
    held: () => held,
  };
}
async function linesOf(chunks: readonly string[], maxBytes = 10): Promise<string[]> {
  async function* source(): AsyncGenerator<Buffer> {
    for (const chunk of chunks) yield Buffer.from(chunk);
  }
  const lines: string[] = [];
  for await (const line of splitLines(source(), limits(maxBytes)))
    lines.push(line.tag === 'line' ? line.text : 'TOO LONG');
  return lines;
}

test('lines are the same however they are cut into chunks', async () => {
  const expected = ['one', '', 'two', 'ž', 'rest'];
  const bytes = Buffer.from('one\n\ntwo\nž\nrest');
  expect(await linesOf([bytes.toString()])).toEqual(expected);
  async function* singly(): AsyncGenerator<Buffer> {
    for (const byte of bytes) yield Buffer.from([byte]);
  }
  const lines: string[] = [];
  for await (const line of splitLines(singly(), limits(10))) lines.push(line.tag === 'line' ? line.text : 'TOO LONG');
  expect(lines).toEqual(expected);
});

// Guards against a peer that fills the memory of a caller with one line.
test.each([
  ['in one chunk', ['ok\n', 'x'.repeat(11)]],
  ['in many', ['ok\n', ...Array.from({ length: 20 }, () => 'x')]],
  ['that ends', ['ok\n', `${'x'.repeat(11)}\nnext\n`]],
])('a line over the limit %s ends the lines', async (_how, chunks) => {
  expect(await linesOf(chunks)).toEqual(['ok', 'TOO LONG']);
});

test('a line that is too much for all streams together ends the lines, and what was held is released', async () => {
  const shared = limits(100, 20);
  async function* source(): AsyncGenerator<Buffer> {
    yield Buffer.from('x'.repeat(15));
    yield Buffer.from('x'.repeat(15));
  }
  shared.tryHold(3);
  const lines: string[] = [];
  for await (const line of splitLines(source(), shared)) lines.push(line.tag);
  expect(lines).toEqual(['tooLong']);
});

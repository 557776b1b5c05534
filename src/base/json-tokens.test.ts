import { describe, expect, test } from '@jest/globals';
import { hasMoreTokensThan, JsonTokenCounter } from './json-tokens.js';

function tokensOf(text: string): number {
  let count = 0;
  while (hasMoreTokensThan(Buffer.from(text), count)) count += 1;
  return count;
}

describe('the tokens of a JSON text', () => {
  test.each([
    ['[1,2,3]', 3],
    ['{"a":{"b":[]}}', 5],
    ['[[[[', 4],
    ['["a,b:[{",1]', 2],
    ['["\\",[",1]', 2],
    ['["\\\\",1]', 2],
    ['"[,,,,"', 0],
  ])('are commas, colons and opening brackets outside of strings: %s', (text, count) => {
    expect(tokensOf(text)).toBe(count);
  });
});

test('a text that arrives in parts has the same tokens, wherever it is cut', () => {
  const text = Buffer.from('{"a\\"":["b,\\\\",{"c":1}],"d":"[{"}');
  const whole = new JsonTokenCounter().add(text);
  for (let cut = 0; cut <= text.length; cut += 1) {
    const counter = new JsonTokenCounter();
    counter.add(text.subarray(0, cut));
    expect(counter.add(text.subarray(cut))).toBe(whole);
  }
});

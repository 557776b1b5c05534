import { expect, test } from '@jest/globals';
import { readFrame } from './messages.js';

const standing = { kind: 'standing', ledger: '', voter: 'a#1', address: '10.0.0.1:1', learned: -1, top: -1 };

test.each<[unknown]>([
  [{ t: 'tell', m: { kind: 'standingAsk' } }],
  [{ t: 'call', id: 7, m: { kind: 'standingAsk' } }],
  [{ t: 'answer', id: 7, m: standing }],
  [{ t: 'tell', m: { ...standing, more: 1 } }],
])('a frame of a known shape is read: %j', (frame) => {
  expect(readFrame(frame)).toBe(frame);
});

test.each<[unknown]>([
  [null],
  [[]],
  ['standingAsk'],
  [{ t: 'tell' }],
  [{ t: 'tell', m: null }],
  [{ t: 'tell', m: {} }],
  [{ t: 'tell', m: { kind: 'nonsense' } }],
  [{ t: 'tell', m: { kind: 'toString' } }],
  [{ t: 'tell', m: { kind: ['standingAsk'] } }],
  [{ t: 'shout', m: { kind: 'standingAsk' } }],
  [{ t: 'call', m: { kind: 'standingAsk' } }],
  [{ t: 'answer', id: 1.5, m: { kind: 'standingAsk' } }],
  [{ t: 'answer', id: 7, m: { ...standing, learned: 'x' } }],
  [{ t: 'answer', id: 7, m: { ...standing, voter: undefined } }],
])('any other is none: %j', (frame) => {
  expect(readFrame(frame)).toBe(null);
});

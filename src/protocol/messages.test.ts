import { expect, test } from '@jest/globals';
import { readFrame } from './messages.js';

const memberStatus = { kind: 'memberStatus', ledger: '', voter: 'a#1', address: '10.0.0.1:1', learned: -1, top: -1 };

test.each<[unknown]>([
  [{ t: 'tell', m: { kind: 'memberStatusAsk' } }],
  [{ t: 'call', id: 7, m: { kind: 'memberStatusAsk' } }],
  [{ t: 'answer', id: 7, m: memberStatus }],
  [{ t: 'tell', m: { ...memberStatus, more: 1 } }],
])('a frame of a known shape is accepted: %j', (frame) => {
  expect(readFrame(frame)).toBe(frame);
});

test.each<[unknown]>([
  [null],
  [[]],
  ['memberStatusAsk'],
  [{ t: 'tell' }],
  [{ t: 'tell', m: null }],
  [{ t: 'tell', m: {} }],
  [{ t: 'tell', m: { kind: 'nonsense' } }],
  [{ t: 'tell', m: { kind: 'toString' } }],
  [{ t: 'tell', m: { kind: ['memberStatusAsk'] } }],
  [{ t: 'shout', m: { kind: 'memberStatusAsk' } }],
  [{ t: 'call', m: { kind: 'memberStatusAsk' } }],
  [{ t: 'answer', id: 1.5, m: { kind: 'memberStatusAsk' } }],
  [{ t: 'answer', id: 7, m: { ...memberStatus, learned: 'x' } }],
  [{ t: 'answer', id: 7, m: { ...memberStatus, voter: undefined } }],
])('any other value is rejected with null: %j', (frame) => {
  expect(readFrame(frame)).toBe(null);
});

import { expect, test } from '@jest/globals';
import { createUsedTokens, readAdmissionToken, signAdmissionToken } from './admission-token.js';
import type { AdmissionToken } from './admission-token.js';

const token: AdmissionToken = {
  id: 't1',
  requestId: 'r1',
  proxy: 's#1',
  model: 'm',
  region: 'north',
  bound: { mapping: null, kind: null, asked: ['north'] },
  repeatable: false,
  expiresAt: 1_000,
};

test('a token is valid only for its proxy, its key and its lifetime', () => {
  const text = signAdmissionToken(token, 'key');
  expect(readAdmissionToken(text, 'key', 's#1', 1_000)).toEqual(token);
  expect(readAdmissionToken(text, 'other', 's#1', 0)).toBe('ticketForeign');
  expect(readAdmissionToken(text, '', 's#1', 0)).toBe('ticketForeign');
  expect(readAdmissionToken(text, 'key', 's#2', 0)).toBe('ticketForeign');
  expect(readAdmissionToken(text, 'key', 's#1', 1_001)).toBe('ticketExpired');
  const forged = Buffer.from(JSON.stringify({ ...token, bound: { ...token.bound, asked: null } })).toString(
    'base64url',
  );
  expect(readAdmissionToken(`${forged}.${text.split('.')[1]}`, 'key', 's#1', 0)).toBe('ticketForeign');
  expect(readAdmissionToken('rubbish', 'key', 's#1', 0)).toBe('ticketForeign');
});

test('a token is accepted once', () => {
  const usedTokens = createUsedTokens();
  expect(usedTokens.use(token, 0)).toBe(true);
  expect(usedTokens.use(token, 500_000)).toBe(false);
  expect(usedTokens.use({ ...token, id: 't2' }, 700_000)).toBe(true);
  expect(usedTokens.size()).toBe(1);
});

import { expect, test } from '@jest/globals';
import { createBurntTickets, readTicket, signTicket } from './ticket.js';
import type { Ticket } from './ticket.js';

const ticket: Ticket = {
  id: 't1',
  requestId: 'r1',
  proxy: 's#1',
  model: 'm',
  region: 'north',
  bound: { mapping: null, kind: null, asked: ['north'] },
  repeatable: false,
  expiresAt: 1_000,
};

test('a ticket holds for its proxy, its key and its time only', () => {
  const text = signTicket(ticket, 'key');
  expect(readTicket(text, 'key', 's#1', 1_000)).toEqual(ticket);
  expect(readTicket(text, 'other', 's#1', 0)).toBe('ticketForeign');
  expect(readTicket(text, '', 's#1', 0)).toBe('ticketForeign');
  expect(readTicket(text, 'key', 's#2', 0)).toBe('ticketForeign');
  expect(readTicket(text, 'key', 's#1', 1_001)).toBe('ticketExpired');
  const forged = Buffer.from(JSON.stringify({ ...ticket, bound: { ...ticket.bound, asked: null } })).toString(
    'base64url',
  );
  expect(readTicket(`${forged}.${text.split('.')[1]}`, 'key', 's#1', 0)).toBe('ticketForeign');
  expect(readTicket('rubbish', 'key', 's#1', 0)).toBe('ticketForeign');
});

test('a ticket burns once', () => {
  const burnt = createBurntTickets();
  expect(burnt.burn(ticket, 0)).toBe(true);
  expect(burnt.burn(ticket, 500_000)).toBe(false);
  expect(burnt.burn({ ...ticket, id: 't2' }, 700_000)).toBe(true);
  expect(burnt.size()).toBe(1);
});

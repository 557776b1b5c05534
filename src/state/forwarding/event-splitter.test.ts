import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { createEventSplitter } from './event-splitter.js';

const LIMITS = { maxBytes: 1_000, maxPieces: 100 };

/** Splits a text at once, by the definition: an event ends with an empty line, which ends in LF or CR LF. */
function eventsOf(text: string): { events: string[]; rest: string } {
  const events: string[] = [];
  let rest = text;
  for (let match = /\n\r?\n/.exec(rest); match !== null; match = /\n\r?\n/.exec(rest)) {
    const end = match.index + match[0].length;
    events.push(rest.slice(0, end));
    rest = rest.slice(end);
  }
  return { events, rest };
}

describe('events', () => {
  test('are the same however the stream is cut into chunks', () => {
    const text = fc.string({ unit: fc.constantFrom('a', '\n', '\r', ':'), maxLength: 60 });
    fc.assert(
      fc.property(text, fc.array(fc.integer({ min: 1, max: 7 }), { minLength: 1, maxLength: 20 }), (stream, sizes) => {
        const splitter = createEventSplitter(LIMITS);
        const events: string[] = [];
        for (let at = 0, turn = 0; at < stream.length; turn += 1) {
          const size = sizes[turn % sizes.length] as number;
          for (const event of splitter.push(Buffer.from(stream.slice(at, at + size)))) events.push(String(event.bytes));
          at += size;
        }
        const expected = eventsOf(stream);
        expect(events).toEqual(expected.events);
        expect(splitter.remainingBytes()).toBe(expected.rest.length);
      }),
    );
  });

  test('carry their numeric id', () => {
    const splitter = createEventSplitter(LIMITS);
    const events = splitter.push(Buffer.from('id: 7\ndata: a\n\ndata: b\r\n\r\n'));
    expect(events.map((event) => event.id)).toEqual([7, null]);
  });
});

// Guards against a worker that exhausts a proxy's memory with one event.
test('an event without end is over the limit once it has more bytes, or came in more pieces, than are kept', () => {
  const large = createEventSplitter(LIMITS);
  large.push(Buffer.alloc(1_000, 'x'));
  expect(large.isOverLimit()).toBe(false);
  large.push(Buffer.alloc(1, 'x'));
  expect(large.isOverLimit()).toBe(true);
  const tiny = createEventSplitter(LIMITS);
  for (let sent = 0; sent <= 100; sent += 1) tiny.push(Buffer.from('x'));
  expect(tiny.isOverLimit()).toBe(true);
});

test('events that are complete count toward no limit', () => {
  const splitter = createEventSplitter(LIMITS);
  for (let sent = 0; sent < 500; sent += 1) splitter.push(Buffer.from(`data: ${'x'.repeat(400)}\n\n`));
  expect([splitter.isOverLimit(), splitter.heldBytes()]).toEqual([false, 0]);
});

import { expect, test } from '@jest/globals';
import { DEFAULT_HEADER_NAMES as HEADERS } from '../../protocol/header-names.js';
import type { AttemptOutcome } from '../../state/forwarding/attempt-outcome.js';
import type { CallerResponses } from './caller-responses.js';
import type { RelayedRequest } from './relayed-request.js';
import { createResponseReader } from './response-reader.js';

const MB = 1_048_576;
const ANSWER = { [HEADERS.attemptId]: 'q1', [HEADERS.seal]: 's' };
const NOT_RUN = { [HEADERS.attemptId]: 'q1', [HEADERS.notRun]: '1' };
const CALLER_RESPONSES = { startStream: () => undefined } as unknown as CallerResponses;

/** Reads a response of `count` equal pieces; returns the outcome and after how many pieces it was known. */
function readPieces(
  stream: boolean,
  headers: Record<string, string>,
  piece: string,
  count: number,
  maxHeldBytes = Infinity,
) {
  const written: string[] = [];
  const request = {
    id: 'q1',
    stream,
    lastEvent: null,
    incoming: {
      responseWriter: {
        write: (bytes: Buffer) => written.push(bytes.toString()),
        tryHold: (bytes: number) => bytes <= maxHeldBytes,
      },
    },
  } as unknown as RelayedRequest;
  const reader = createResponseReader(HEADERS, request, CALLER_RESPONSES);
  const status = HEADERS.notRun in headers ? 503 : 200;
  reader.onHead(status, Object.entries(headers).flat(), (name) => headers[name] ?? null, true);
  let outcome: AttemptOutcome | null = null;
  let pieces = 0;
  for (; pieces < count && outcome === null; pieces += 1) outcome = reader.onData(Buffer.from(piece));
  return { outcome, pieces, reader, written };
}

test('a response of a megabyte is passed on whole', () => {
  const { outcome, reader } = readPieces(false, ANSWER, 'x'.repeat(MB / 64), 64);
  expect(outcome).toBeNull();
  expect(reader.onEnd()).toEqual({ tag: 'answered' });
  expect(reader.takeBuffered().body).toHaveLength(MB);
});

test('a response over a megabyte is given up', () => {
  expect(readPieces(false, ANSWER, 'x'.repeat(MB / 64), 100)).toMatchObject({
    outcome: { tag: 'garbled' },
    pieces: 65,
  });
});

// Guards against a worker that costs a proxy its processor time with pieces of one byte.
test('a response in pieces of one byte without end is given up long before it is a megabyte', () => {
  const { outcome, pieces } = readPieces(false, ANSWER, 'x', MB);
  expect(outcome).toEqual({ tag: 'garbled' });
  expect(pieces).toBe(65_537);
});

test('a refusal stays one, with its promise that the request has not run, if its body does not end', () => {
  const { outcome } = readPieces(false, NOT_RUN, 'x'.repeat(MB / 64), 100);
  expect(outcome).toMatchObject({ tag: 'notExecuted' });
});

// Guards against a worker that exhausts a proxy's memory with one event.
test('an event without end is given up once it is over a megabyte', () => {
  expect(readPieces(true, ANSWER, 'x'.repeat(MB / 64), 100)).toMatchObject({ outcome: { tag: 'garbled' }, pieces: 65 });
});

test('a stream of events has no limit, and each is passed on as it comes', () => {
  const { outcome, written } = readPieces(true, ANSWER, `:${'x'.repeat(MB / 64)}\n\n`, 200);
  expect(outcome).toBeNull();
  expect(written).toHaveLength(200);
});

test.each([false, true])(
  'a response for which there is no room is given up, and its worker not blamed (%s)',
  (stream) => {
    const { outcome, pieces } = readPieces(stream, ANSWER, 'x'.repeat(MB / 64), 64, MB / 2);
    expect(outcome).toEqual({ tag: 'overloaded' });
    expect(pieces).toBe(33);
  },
);

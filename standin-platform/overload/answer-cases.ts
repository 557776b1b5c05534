/** Cases in which a worker, or the worker list, answers a process with bytes without end. */
import { HEADER } from '../../platform/words.js';
import { ATTEMPT_ID } from './endless-worker.js';
import { TINY_CHUNK_PART } from '../endless.js';
import { SCRIPT_DEFAULTS } from './crowd.js';
import { CASE_DEFAULTS, headWithLength, noParts, PART_BYTES } from './overload-case.js';
import type { CrowdTarget, OverloadCase } from './overload-case.js';
import { FAULTY_PATH } from './overload-site.js';

const REQUEST_COUNT = 8;

/** Returns the head of an answer that belongs to its request. */
export function answerHead(headers: readonly string[], status = '200 OK'): string {
  const own = [`${HEADER.attemptId}: ${ATTEMPT_ID}`, `${HEADER.seal}: s`];
  return [`HTTP/1.1 ${status}`, ...own, ...headers, '', ''].join('\r\n');
}
const CHUNKED_ANSWER = answerHead(['Transfer-Encoding: chunked']);
/** The head of an answer that ends with its connection. */
export const UNDELIMITED_ANSWER = answerHead([]);
const ENDLESS_BYTES = Buffer.alloc(PART_BYTES, 'x');
const HEADER_LINES = Buffer.from('X-A: b\r\n'.repeat(8_192));
const EMPTY_LINES = Buffer.from('\r\n'.repeat(32_768));
const INTERIM_ANSWERS = Buffer.from('HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n'.repeat(1_024));

/** Creates a case in which a worker answers each request with `head` and then `repeatedBytes` without end. */
export function answerCase(
  name: string,
  path: string,
  head: string,
  repeatedBytes: Buffer,
  count = REQUEST_COUNT,
  reads = true,
): OverloadCase {
  const script = { ...SCRIPT_DEFAULTS, head: headWithLength(`${path}2f`, 0), parts: noParts, reads };
  return {
    ...CASE_DEFAULTS,
    name,
    target: 'proxy',
    groups: [{ count, script }],
    response: { head, repeated: repeatedBytes },
  };
}

function listCase(target: CrowdTarget, process: string): OverloadCase {
  const name = `answers: a worker list without end, read by a ${process}`;
  return { ...CASE_DEFAULTS, name, target, isListEndless: true };
}

const { once, stream } = FAULTY_PATH;

/** The cases. */
export const ANSWER_CASES: readonly OverloadCase[] = [
  answerCase('answers: a body without end', once, UNDELIMITED_ANSWER, ENDLESS_BYTES),
  answerCase('answers: a body in chunks of one byte, without end', once, CHUNKED_ANSWER, TINY_CHUNK_PART),
  answerCase('answers: an event without end', stream, UNDELIMITED_ANSWER, ENDLESS_BYTES),
  answerCase('answers: an event in chunks of one byte, without end', stream, CHUNKED_ANSWER, TINY_CHUNK_PART),
  answerCase('answers: a status line without end', once, 'HTTP/1.1 200 ', ENDLESS_BYTES),
  answerCase('answers: a header value without end', once, 'HTTP/1.1 200 OK\r\nX-A: ', ENDLESS_BYTES),
  answerCase('answers: header lines without end', once, 'HTTP/1.1 200 OK\r\n', HEADER_LINES),
  answerCase('answers: bytes that are no answer, without end', once, '', ENDLESS_BYTES),
  answerCase('answers: empty lines without end', once, '', EMPTY_LINES),
  answerCase('answers: interim answers without end', once, '', INTERIM_ANSWERS),
  answerCase('answers: a trailer without end', once, `${CHUNKED_ANSWER}0\r\n`, HEADER_LINES),
  answerCase('answers: a chunk extension without end', once, `${CHUNKED_ANSWER}1;`, ENDLESS_BYTES),
  answerCase(
    'answers: a refusal with a body without end',
    once,
    answerHead([`${HEADER.notRun}: 1`], '503 Service Unavailable'),
    ENDLESS_BYTES,
  ),
  answerCase(
    'answers: bytes without end behind a whole answer',
    once,
    answerHead(['Content-Length: 0']),
    ENDLESS_BYTES,
  ),
  listCase('proxy', 'proxy'),
  listCase('control', 'controller'),
];

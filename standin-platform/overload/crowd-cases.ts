/** Cases in which a crowd of clients sends a process more than it may hold. */
import { chunkOf, TINY_CHUNK_PART, TINY_CHUNKS } from '../endless.js';
import { answerCase, UNDELIMITED_ANSWER } from './answer-cases.js';
import type { ClientScript } from './crowd.js';
import { headWithLength, noParts, PART_BYTES, repeated, requestHead } from './overload-case.js';
import type { CrowdTarget, OverloadCase } from './overload-case.js';
import { FAULTY_PATH, ORDINARY_PATH, OVERLOAD_LIMITS } from './overload-site.js';

const LEGAL_BYTES = OVERLOAD_LIMITS.bodyBytes;
const TINY_BODY_CHUNKS = 131_072;
const LARGE_CROWD = 300;
const TINY_CROWD = 16;
const SILENT_READER_CROWD = 8;
const DESCRIPTOR_CROWD = 700;
/** The controller takes documents of up to 16 MB. */
const DOCUMENT_BYTES = 16 * 1_048_576 - 4_096;
const DOCUMENT_CROWD = 24;
const EVENTS = Buffer.from(`:${'x'.repeat(1_024)}\n\n`.repeat(64));

function chunkedHead(path: string): string {
  return requestHead('POST', path, ['Transfer-Encoding: chunked']);
}
/** Yields the bytes of a body, which stops one byte before its end if `isComplete` is false. */
function* bodyParts(bytes: number, isComplete: boolean): Generator<Buffer> {
  const part = Buffer.alloc(PART_BYTES, 'x');
  let remaining = isComplete ? bytes : bytes - 1;
  for (; remaining > PART_BYTES; remaining -= PART_BYTES) yield part;
  yield part.subarray(0, remaining);
}
function client(head: string, parts: () => Iterator<Buffer>): ClientScript {
  return { head, parts, reads: true };
}
function crowdCase(name: string, target: CrowdTarget, count: number, script: ClientScript): OverloadCase {
  return { name, target, count, script, response: null, isListEndless: false };
}

/** The path that the crowd names, the most that a body may have there, and the crowd that exceeds the memory. */
type BodyTarget = {
  readonly target: CrowdTarget;
  readonly path: string;
  readonly legalBytes: number;
  readonly count: number;
};
const BODY_TARGETS: readonly BodyTarget[] = [
  { target: 'proxy', path: ORDINARY_PATH, legalBytes: LEGAL_BYTES, count: LARGE_CROWD },
  { target: 'control', path: '/millfield/config/replace', legalBytes: DOCUMENT_BYTES, count: DOCUMENT_CROWD },
  { target: 'directory', path: '/millfield/resolve', legalBytes: DOCUMENT_BYTES, count: DOCUMENT_CROWD },
];

function bodyCases({ target, path, legalBytes, count }: BodyTarget): readonly OverloadCase[] {
  const largeChunk = chunkOf(PART_BYTES);
  const largeChunkCount = Math.floor((legalBytes - 1) / PART_BYTES);
  const tooLarge = 8 * legalBytes;
  return [
    crowdCase(
      `${target}: chunked bodies in large chunks, which stop short of their end`,
      target,
      count,
      client(chunkedHead(path), () => repeated(largeChunk, largeChunkCount)),
    ),
    crowdCase(
      `${target}: chunked bodies in chunks of one byte, which stop short of their end`,
      target,
      TINY_CROWD,
      client(chunkedHead(path), () => repeated(TINY_CHUNK_PART, TINY_BODY_CHUNKS / TINY_CHUNKS)),
    ),
    crowdCase(
      `${target}: bodies far over the limit, announced`,
      target,
      count,
      client(headWithLength(path, tooLarge), () => bodyParts(tooLarge, false)),
    ),
    crowdCase(
      `${target}: bodies far over the limit, just sent`,
      target,
      count,
      client(chunkedHead(path), () => repeated(largeChunk, tooLarge / PART_BYTES)),
    ),
    crowdCase(
      `${target}: bodies over the limit, announced, which stop short of their end`,
      target,
      count,
      client(headWithLength(path, tooLarge), () => bodyParts(2 * legalBytes, false)),
    ),
    crowdCase(
      `${target}: whole bodies of legal size at once`,
      target,
      count,
      client(headWithLength(path, legalBytes), () => bodyParts(legalBytes, true)),
    ),
    crowdCase(
      `${target}: bodies of legal size, which stop one byte short of their end`,
      target,
      count,
      client(headWithLength(path, legalBytes), () => bodyParts(legalBytes, false)),
    ),
  ];
}

const HEAD_BYTES = 15_000;
function headCase(target: CrowdTarget): OverloadCase {
  const head = `GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(HEAD_BYTES)}`;
  return crowdCase(
    `${target}: more connections than descriptors, each with half a head`,
    target,
    DESCRIPTOR_CROWD,
    client(head, noParts),
  );
}

/** The cases. */
export const CROWD_CASES: readonly OverloadCase[] = [
  ...BODY_TARGETS.flatMap(bodyCases),
  ...(['proxy', 'control', 'directory', 'readiness'] as const).map(headCase),
  answerCase(
    'proxy: streams without end to callers that do not read',
    FAULTY_PATH.stream,
    UNDELIMITED_ANSWER,
    EVENTS,
    SILENT_READER_CROWD,
    false,
  ),
];

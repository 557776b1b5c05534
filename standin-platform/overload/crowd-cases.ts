/** Cases in which a crowd of clients sends a process more than it may hold. */
import { chunkOf, TINY_CHUNK_PART, TINY_CHUNKS } from '../endless.js';
import { answerCase, UNDELIMITED_ANSWER } from './answer-cases.js';
import { SCRIPT_DEFAULTS } from './crowd.js';
import type { ClientScript, CrowdGroup } from './crowd.js';
import { CASE_DEFAULTS, headWithLength, noParts, PART_BYTES, repeated, requestHead } from './overload-case.js';
import type { CrowdTarget, OverloadCase } from './overload-case.js';
import { FAULTY_PATH, MANY_CONNECTIONS_LIMITS, ORDINARY_PATH, OVERLOAD_LIMITS } from './overload-site.js';

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
  return { ...SCRIPT_DEFAULTS, head, parts };
}
function crowdCase(name: string, target: CrowdTarget, count: number, script: ClientScript): OverloadCase {
  return { ...CASE_DEFAULTS, name, target, groups: [{ count, script }] };
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

const MANY_CALLERS = 1_000;
const MANY_BYTES = MANY_CONNECTIONS_LIMITS.bodyBytes;
/** Parts of a body that is sent piece by piece, and the time between two of them. */
const SLOW_PART_BYTES = 16_384;
const SLOW_PAUSE_MS = 20;
const RETURNS = 20;
const MOST_SHARE = 0.9;
/** The number of callers in one-byte chunks at once; the other groups of a mixture have as many clients each. */
const MIXED_GROUP = 30;
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

function* tinyChunkParts(isComplete: boolean): Generator<Buffer> {
  yield* repeated(TINY_CHUNK_PART, TINY_BODY_CHUNKS / TINY_CHUNKS);
  if (isComplete) yield LAST_CHUNK;
}
function* slowParts(bytes: number): Generator<Buffer> {
  yield* repeated(Buffer.alloc(SLOW_PART_BYTES, 'x'), Math.floor((bytes - 1) / SLOW_PART_BYTES));
}
/** Most of the callers stop one byte short of the end of their body, the others send all of it. */
function mostStop(count: number, path: string, bytes: number): readonly CrowdGroup[] {
  const head = headWithLength(path, bytes);
  const stopping = Math.floor(count * MOST_SHARE);
  return [
    { count: stopping, script: client(head, () => bodyParts(bytes, false)) },
    { count: count - stopping, script: client(head, () => bodyParts(bytes, true)) },
  ];
}
/** One group for each shape of a body. */
function mixedGroups(path: string, legalBytes: number, count: number, returns: number): readonly CrowdGroup[] {
  const largeChunk = chunkOf(PART_BYTES);
  const scripts = [
    client(chunkedHead(path), () => repeated(largeChunk, Math.floor((legalBytes - 1) / PART_BYTES))),
    client(chunkedHead(path), () => tinyChunkParts(false)),
    client(headWithLength(path, 8 * legalBytes), () => bodyParts(2 * legalBytes, false)),
    client(chunkedHead(path), () => repeated(largeChunk, (2 * legalBytes) / PART_BYTES)),
    client(headWithLength(path, legalBytes), () => bodyParts(legalBytes, true)),
    client(headWithLength(path, legalBytes), () => bodyParts(legalBytes, false)),
    { ...client(headWithLength(path, legalBytes), () => slowParts(legalBytes)), pauseMs: SLOW_PAUSE_MS },
  ];
  return scripts.map((script) => ({ count, script: { ...script, returns } }));
}
function manyCase(name: string, target: CrowdTarget, groups: readonly CrowdGroup[]): OverloadCase {
  return { ...CASE_DEFAULTS, name, target, groups, limits: MANY_CONNECTIONS_LIMITS };
}

/** Cases with many connections, with mixed shapes, and with crowds that come back. */
function mixedCases({ target, path }: BodyTarget): readonly OverloadCase[] {
  const slow = { ...client(headWithLength(path, MANY_BYTES), () => slowParts(MANY_BYTES)), pauseMs: SLOW_PAUSE_MS };
  return [
    manyCase(
      `${target}: many callers with bodies of legal size, most of which stop one byte short of their end`,
      target,
      mostStop(MANY_CALLERS, path, MANY_BYTES),
    ),
    manyCase(`${target}: many callers that send their bodies piece by piece and stop short of their end`, target, [
      { count: MANY_CALLERS, script: slow },
    ]),
    manyCase(`${target}: chunks of one byte from a larger crowd, most of which stop short of their end`, target, [
      { count: 270, script: client(chunkedHead(path), () => tinyChunkParts(false)) },
      { count: 30, script: client(chunkedHead(path), () => tinyChunkParts(true)) },
    ]),
    manyCase(`${target}: all shapes of bodies at once`, target, mixedGroups(path, MANY_BYTES, MIXED_GROUP, 0)),
    manyCase(
      `${target}: all shapes of bodies at once, from callers that come back when they are closed`,
      target,
      mixedGroups(path, MANY_BYTES, MIXED_GROUP, RETURNS),
    ),
  ];
}

/** The cases. */
export const CROWD_CASES: readonly OverloadCase[] = [
  ...BODY_TARGETS.flatMap(bodyCases),
  ...BODY_TARGETS.flatMap(mixedCases),
  {
    ...CASE_DEFAULTS,
    name: 'proxy: one caller in chunks of one byte, in calm',
    target: 'proxy',
    groups: [{ count: 1, script: client(chunkedHead(ORDINARY_PATH), () => tinyChunkParts(true)) }],
    expectedStatus: 200,
  },
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

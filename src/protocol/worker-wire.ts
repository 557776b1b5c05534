/**
 * The HTTP interface between proxies and workers: runs, streamed pieces, seals and health.
 * Proxies are the callers, and check every answer by these readers; `notRun` promises that the
 * worker has not begun the request and never will.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { HealthReportShape } from '../state/discovery/health.js';
import { ResponseChunkShape, ResponseDigestShape } from '../state/forwarding/response-digest.js';
import { readerOf } from './read-shape.js';

const tString = Type.String({ minLength: 1, maxLength: 256 });

/** A part of a prompt: the hash that names it, its length in tokens, its text where it is sent. */
export const PrefixBlockShape = Type.Object({
  hash: Type.String({ minLength: 1, maxLength: 128 }),
  tokens: Type.Integer({ minimum: 0, maximum: 10_000_000 }),
  text: Type.Optional(Type.String()),
});
/** A checked part. */
export type PrefixBlock = Static<typeof PrefixBlockShape>;

/** One attempt to run a request on a worker. */
export const RunShape = Type.Object({
  requestId: tString,
  attemptId: tString,
  model: tString,
  parts: Type.Array(PrefixBlockShape, { maxItems: 1_024 }),
  outputTokens: Type.Integer({ minimum: 0, maximum: 10_000_000 }),
  stream: Type.Boolean(),
});
/** A checked attempt. */
export type Run = Static<typeof RunShape>;

/** A whole answer with its seal. */
export const CompleteResponseShape = Type.Object({ pieces: Type.Array(ResponseChunkShape), seal: ResponseDigestShape });
/** A checked whole answer. */
export type CompleteResponse = Static<typeof CompleteResponseShape>;

/** One line of a streamed answer: a piece, or the seal that ends it. */
export const StreamLineShape = Type.Union([
  Type.Object({ piece: ResponseChunkShape }, { additionalProperties: false }),
  Type.Object({ seal: ResponseDigestShape }, { additionalProperties: false }),
]);
/** A checked line. */
export type StreamLine = Static<typeof StreamLineShape>;

/** A refusal of an attempt that was not begun. */
export const NotRunShape = Type.Object({ notRun: Type.Literal(true), requestId: tString, attemptId: tString });

/** Checks an attempt. */
export const readRun = readerOf(RunShape);
/** Checks a whole answer. */
export const readCompleteResponse = readerOf(CompleteResponseShape);
/** Checks one line of a stream. */
export const readStreamLine = readerOf(StreamLineShape);
/** Checks a refusal. */
export const readNotRun = readerOf(NotRunShape);
/** Checks a worker's report of its health. */
export const readHealth = readerOf(HealthReportShape);

/** Where attempts go. */
export const RUN_PATH = '/v1/run';
/** Where workers tell their health. */
export const HEALTH_PATH = '/v1/health';

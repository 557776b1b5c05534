/**
 * The HTTP interface between proxies and workers: attempts (`run`), streamed chunks, digests and health. Proxies are
 * the clients and validate every response with these readers. `notRun` guarantees that the worker has not started the
 * request and never will.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { HealthReportShape } from '../state/discovery/health.js';
import { ResponseChunkShape, ResponseDigestShape } from '../state/forwarding/response-digest.js';
import { readerOf } from './read-shape.js';

const ShortString = Type.String({ minLength: 1, maxLength: 256 });

/** A block of a prompt: the hash that identifies it, its length in tokens, and its text if it is sent along. */
export const PrefixBlockShape = Type.Object({
  hash: Type.String({ minLength: 1, maxLength: 128 }),
  tokens: Type.Integer({ minimum: 0, maximum: 10_000_000 }),
  text: Type.Optional(Type.String()),
});
/** A validated block of a prompt. */
export type PrefixBlock = Static<typeof PrefixBlockShape>;

/** One attempt to run a request on a worker. */
export const RunShape = Type.Object({
  requestId: ShortString,
  attemptId: ShortString,
  model: ShortString,
  parts: Type.Array(PrefixBlockShape, { maxItems: 1_024 }),
  outputTokens: Type.Integer({ minimum: 0, maximum: 10_000_000 }),
  stream: Type.Boolean(),
});
/** A validated attempt. */
export type Run = Static<typeof RunShape>;

/** A complete response: its chunks (`pieces`) and the worker's digest over them (`seal`). */
export const CompleteResponseShape = Type.Object({ pieces: Type.Array(ResponseChunkShape), seal: ResponseDigestShape });
/** A validated complete response. */
export type CompleteResponse = Static<typeof CompleteResponseShape>;

/** One line of a streamed response: a chunk, or the digest that ends the response. */
export const StreamLineShape = Type.Union([
  Type.Object({ piece: ResponseChunkShape }, { additionalProperties: false }),
  Type.Object({ seal: ResponseDigestShape }, { additionalProperties: false }),
]);
/** A validated line of a streamed response. */
export type StreamLine = Static<typeof StreamLineShape>;

/** The rejection of an attempt that was not started. */
export const NotRunShape = Type.Object({ notRun: Type.Literal(true), requestId: ShortString, attemptId: ShortString });

/** Validates an attempt. */
export const readRun = readerOf(RunShape);
/** Validates a complete response. */
export const readCompleteResponse = readerOf(CompleteResponseShape);
/** Validates one line of a streamed response. */
export const readStreamLine = readerOf(StreamLineShape);
/** Validates the rejection of an attempt. */
export const readNotRun = readerOf(NotRunShape);
/** Validates a worker's health report. */
export const readHealth = readerOf(HealthReportShape);

/** Path to which attempts are sent. */
export const RUN_PATH = '/v1/run';
/** Path at which workers report their health. */
export const HEALTH_PATH = '/v1/health';

/**
 * The HTTP interface between callers and a proxy: bodies, errors, paths and headers. Proxies validate requests with
 * these readers, and the client library validates responses. An error with `notRun` guarantees that no worker has run
 * the request or will run it later.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { readerOf } from './read-shape.js';
import { ResponseChunkShape, ResponseDigestShape } from '../state/forwarding/response-digest.js';
import { PrefixBlockShape } from './worker-wire.js';

const ShortString = Type.String({ minLength: 1, maxLength: 128 });
const TokenCount = Type.Integer({ minimum: 0, maximum: 10_000_000 });

/** A placement request: asks which proxy should take a request of this kind and size. */
export const PlacementRequestShape = Type.Object(
  {
    model: Type.Optional(ShortString),
    mapping: Type.Optional(ShortString),
    kind: Type.Optional(ShortString),
    homes: Type.Optional(Type.Array(ShortString, { minItems: 1, maxItems: 64 })),
    inputTokens: TokenCount,
    outputTokens: TokenCount,
    parts: Type.Array(Type.String({ minLength: 1, maxLength: 128 }), { maxItems: 1_024 }),
    repeatable: Type.Boolean(),
    zone: Type.Optional(ShortString),
    without: Type.Optional(Type.Array(ShortString, { maxItems: 16 })),
  },
  { additionalProperties: false },
);
/** A validated placement request. */
export type PlacementRequest = Static<typeof PlacementRequestShape>;

/**
 * The response to a placement request: the proxy to use, and an admission ticket that only that proxy process accepts.
 */
export const PlacementShape = Type.Object({
  proxy: ShortString,
  address: ShortString,
  ticket: Type.String(),
  requestId: ShortString,
  expiresInMs: Type.Number(),
});
/** A validated placement. */
export type Placement = Static<typeof PlacementShape>;

/** The submitted request itself; `key` makes it run at most once. */
export const SubmittedRequestShape = Type.Object(
  {
    requestId: ShortString,
    parts: Type.Array(PrefixBlockShape, { maxItems: 1_024 }),
    outputTokens: TokenCount,
    stream: Type.Boolean(),
    key: Type.Optional(ShortString),
  },
  { additionalProperties: false },
);
/** A validated request. */
export type SubmittedRequest = Static<typeof SubmittedRequestShape>;

/** Why a request was rejected before any worker ran it. */
export const RejectReasonShape = Type.Union([
  Type.Literal('notReady'),
  Type.Literal('noWorker'),
  Type.Literal('lineFull'),
  Type.Literal('lineWaitOver'),
  Type.Literal('ticketForeign'),
  Type.Literal('ticketUsed'),
  Type.Literal('ticketExpired'),
  Type.Literal('outsideHomes'),
  Type.Literal('noMajority'),
  Type.Literal('keysFull'),
  Type.Literal('workersShed'),
  Type.Literal('stopping'),
]);
/** A reason for rejecting a request before it ran. */
export type RejectReason = Static<typeof RejectReasonShape>;

/** Every error of a request that is sent to callers. */
export const FailureShape = Type.Union([
  Type.Object({ tag: Type.Literal('shed'), notRun: Type.Literal(true), reason: RejectReasonShape }),
  Type.Object({ tag: Type.Literal('unknownModel') }),
  Type.Object({ tag: Type.Literal('malformed'), detail: Type.String() }),
  Type.Object({ tag: Type.Literal('bodyTooLarge') }),
  Type.Object({ tag: Type.Literal('outcomeUnknown') }),
  Type.Object({ tag: Type.Literal('alreadyAnswered') }),
  Type.Object({ tag: Type.Literal('keyTooOld') }),
  Type.Object({ tag: Type.Literal('workerFailed') }),
  Type.Object({ tag: Type.Literal('badSeal') }),
  Type.Object({ tag: Type.Literal('cut'), pieces: Type.Integer(), retryAfterS: Type.Integer() }),
]);
/** A validated error as sent to callers. */
export type Failure = Static<typeof FailureShape>;

/** A complete response: its chunks (`pieces`) and the worker's digest over them (`seal`). */
export const ResponseShape = Type.Object({ pieces: Type.Array(ResponseChunkShape), seal: ResponseDigestShape });
/** One line of a streamed response: a chunk, or the digest or error that ends the response. */
export const ResponseLineShape = Type.Union([
  Type.Object({ piece: ResponseChunkShape }, { additionalProperties: false }),
  Type.Object({ seal: ResponseDigestShape }, { additionalProperties: false }),
  Type.Object({ error: FailureShape }, { additionalProperties: false }),
]);

/** Validates a placement request. */
export const readPlacementRequest = readerOf(PlacementRequestShape);
/** Validates a placement. */
export const readPlacement = readerOf(PlacementShape);
/** Validates a submitted request. */
export const readSubmittedRequest = readerOf(SubmittedRequestShape);
/** Validates the body of an error response. */
export const readFailure = readerOf(Type.Object({ error: FailureShape }));
/** Validates a complete response. */
export const readResponse = readerOf(ResponseShape);
/** Validates one line of a streamed response. */
export const readResponseLine = readerOf(ResponseLineShape);

/** Path of placement requests. */
export const PLACEMENT_PATH = '/v1/place';
/** Path at which a proxy reports whether it serves. */
export const PROXY_HEALTH_PATH = '/v1/health';
/** Path to which requests are submitted. */
export const REQUESTS_PATH = '/v1/requests';
/** Header that carries the admission ticket. */
export const ADMISSION_TOKEN_HEADER = 'x-millfield-ticket';

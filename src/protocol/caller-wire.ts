/**
 * The HTTP interface between callers and a proxy: bodies, failures, paths and headers.
 * Proxies check what comes in by these readers, the client library what comes back. A
 * failure with `notRun` promises that no worker has run the request nor ever will.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { readerOf } from './read-shape.js';
import { ResponseChunkShape, ResponseDigestShape } from '../state/forwarding/response-digest.js';
import { PrefixBlockShape } from './worker-wire.js';

const tString = Type.String({ minLength: 1, maxLength: 128 });
const Tokens = Type.Integer({ minimum: 0, maximum: 10_000_000 });

/** Question for a place: which proxy should take a request of this kind and size. */
export const PlacementRequestShape = Type.Object(
  {
    model: Type.Optional(tString),
    mapping: Type.Optional(tString),
    kind: Type.Optional(tString),
    homes: Type.Optional(Type.Array(tString, { minItems: 1, maxItems: 64 })),
    inputTokens: Tokens,
    outputTokens: Tokens,
    parts: Type.Array(Type.String({ minLength: 1, maxLength: 128 }), { maxItems: 1_024 }),
    repeatable: Type.Boolean(),
    zone: Type.Optional(tString),
    without: Type.Optional(Type.Array(tString, { maxItems: 16 })),
  },
  { additionalProperties: false },
);
/** A checked question for a place. */
export type PlacementRequest = Static<typeof PlacementRequestShape>;

/** Answer to it: the proxy to go to, and a ticket that only that proxy process takes. */
export const PlacementShape = Type.Object({
  proxy: tString,
  address: tString,
  ticket: Type.String(),
  requestId: tString,
  expiresInMs: Type.Number(),
});
/** A checked place. */
export type Placement = Static<typeof PlacementShape>;

/** The request itself; `key` makes it run at most once. */
export const SubmitShape = Type.Object(
  {
    requestId: tString,
    parts: Type.Array(PrefixBlockShape, { maxItems: 1_024 }),
    outputTokens: Tokens,
    stream: Type.Boolean(),
    key: Type.Optional(tString),
  },
  { additionalProperties: false },
);
/** A checked request. */
export type Submit = Static<typeof SubmitShape>;

/** Why a request was refused before any worker ran it. */
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
/** One such reason. */
export type RejectReason = Static<typeof RejectReasonShape>;

/** Every way in which a request can fail, as callers are told. */
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
/** A failure as told to callers. */
export type Failure = Static<typeof FailureShape>;

/** A whole answer: its pieces and the worker's seal over them. */
export const AnswerShape = Type.Object({ pieces: Type.Array(ResponseChunkShape), seal: ResponseDigestShape });
/** One line of a streamed answer: a piece, the seal that ends it, or the failure that does. */
export const AnswerLineShape = Type.Union([
  Type.Object({ piece: ResponseChunkShape }, { additionalProperties: false }),
  Type.Object({ seal: ResponseDigestShape }, { additionalProperties: false }),
  Type.Object({ error: FailureShape }, { additionalProperties: false }),
]);

/** Checks a question for a place. */
export const readPlacementRequest = readerOf(PlacementRequestShape);
/** Checks a place. */
export const readPlacement = readerOf(PlacementShape);
/** Checks a request. */
export const readSubmit = readerOf(SubmitShape);
/** Checks the body of a failure. */
export const readFailure = readerOf(Type.Object({ error: FailureShape }));
/** Checks a whole answer. */
export const readAnswer = readerOf(AnswerShape);
/** Checks one line of a streamed answer. */
export const readAnswerLine = readerOf(AnswerLineShape);

/** Where places are asked for. */
export const PLACE_PATH = '/v1/place';
/** Where a proxy tells whether it serves. */
export const EDGE_HEALTH_PATH = '/v1/health';
/** Where requests go. */
export const REQUESTS_PATH = '/v1/requests';
/** Header that carries the ticket. */
export const ADMISSION_TOKEN_HEADER = 'x-millfield-ticket';

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { readerOf } from './read-shape.js';
import { PieceShape, SealShape } from '../state/seal.js';
import { PartShape } from './worker-wire.js';

const Id = Type.String({ minLength: 1, maxLength: 128 });
const Tokens = Type.Integer({ minimum: 0, maximum: 10_000_000 });

export const PlaceShape = Type.Object(
  {
    model: Type.Optional(Id),
    mapping: Type.Optional(Id),
    kind: Type.Optional(Id),
    homes: Type.Optional(Type.Array(Id, { minItems: 1, maxItems: 64 })),
    inputTokens: Tokens,
    outputTokens: Tokens,
    parts: Type.Array(Type.String({ minLength: 1, maxLength: 128 }), { maxItems: 1_024 }),
    repeatable: Type.Boolean(),
    zone: Type.Optional(Id),
    without: Type.Optional(Type.Array(Id, { maxItems: 16 })),
  },
  { additionalProperties: false },
);
export type PlaceAsk = Static<typeof PlaceShape>;

export const PlacedShape = Type.Object({
  proxy: Id,
  address: Id,
  ticket: Type.String(),
  requestId: Id,
  expiresInMs: Type.Number(),
});
export type Placed = Static<typeof PlacedShape>;

export const SubmitShape = Type.Object(
  {
    requestId: Id,
    parts: Type.Array(PartShape, { maxItems: 1_024 }),
    outputTokens: Tokens,
    stream: Type.Boolean(),
    key: Type.Optional(Id),
  },
  { additionalProperties: false },
);
export type Submit = Static<typeof SubmitShape>;

export const ShedReasonShape = Type.Union([
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
export type ShedReason = Static<typeof ShedReasonShape>;

export const FailureShape = Type.Union([
  Type.Object({ tag: Type.Literal('shed'), notRun: Type.Literal(true), reason: ShedReasonShape }),
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
export type Failure = Static<typeof FailureShape>;

export const AnswerShape = Type.Object({ pieces: Type.Array(PieceShape), seal: SealShape });
export const AnswerLineShape = Type.Union([
  Type.Object({ piece: PieceShape }, { additionalProperties: false }),
  Type.Object({ seal: SealShape }, { additionalProperties: false }),
  Type.Object({ error: FailureShape }, { additionalProperties: false }),
]);

export const readPlace = readerOf(PlaceShape);
export const readPlaced = readerOf(PlacedShape);
export const readSubmit = readerOf(SubmitShape);
export const readFailure = readerOf(Type.Object({ error: FailureShape }));
export const readAnswer = readerOf(AnswerShape);
export const readAnswerLine = readerOf(AnswerLineShape);

export const PLACE_PATH = '/v1/place';
export const EDGE_HEALTH_PATH = '/v1/health';
export const REQUESTS_PATH = '/v1/requests';
export const TICKET_HEADER = 'x-millfield-ticket';

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { HealthShape } from '../state/health.js';
import { PieceShape, SealShape } from '../state/seal.js';
import { readerOf } from './read-shape.js';

const Id = Type.String({ minLength: 1, maxLength: 256 });

export const PartShape = Type.Object({
  hash: Type.String({ minLength: 1, maxLength: 128 }),
  tokens: Type.Integer({ minimum: 0, maximum: 10_000_000 }),
  text: Type.Optional(Type.String()),
});
export type Part = Static<typeof PartShape>;

export const RunShape = Type.Object({
  requestId: Id,
  attemptId: Id,
  model: Id,
  parts: Type.Array(PartShape, { maxItems: 1_024 }),
  outputTokens: Type.Integer({ minimum: 0, maximum: 10_000_000 }),
  stream: Type.Boolean(),
});
export type Run = Static<typeof RunShape>;

export const WholeShape = Type.Object({ pieces: Type.Array(PieceShape), seal: SealShape });
export type Whole = Static<typeof WholeShape>;

export const StreamLineShape = Type.Union([
  Type.Object({ piece: PieceShape }, { additionalProperties: false }),
  Type.Object({ seal: SealShape }, { additionalProperties: false }),
]);
export type StreamLine = Static<typeof StreamLineShape>;

export const NotRunShape = Type.Object({ notRun: Type.Literal(true), requestId: Id, attemptId: Id });

export const readRun = readerOf(RunShape);
export const readWhole = readerOf(WholeShape);
export const readStreamLine = readerOf(StreamLineShape);
export const readNotRun = readerOf(NotRunShape);
export const readHealth = readerOf(HealthShape);

export const RUN_PATH = '/v1/run';
export const HEALTH_PATH = '/v1/health';

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Id = Type.String({ minLength: 1, maxLength: 256 });

export const HealthShape = Type.Object({
  id: Id,
  incarnation: Id,
  model: Type.String(),
  state: Type.Union([Type.Literal('idle'), Type.Literal('loading'), Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number()),
  running: Type.Integer({ minimum: 0 }),
  readyForMs: Type.Number({ minimum: 0 }),
});
export type Health = Static<typeof HealthShape>;

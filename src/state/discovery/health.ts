/** What a worker tells of its health when it is probed. */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const tString = Type.String({ minLength: 1, maxLength: 256 });

/** A health report; a new incarnation means that the worker restarted and holds nothing. */
export const HealthShape = Type.Object({
  id: tString,
  incarnation: tString,
  model: Type.String(),
  state: Type.Union([Type.Literal('idle'), Type.Literal('loading'), Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number()),
  running: Type.Integer({ minimum: 0 }),
  readyForMs: Type.Number({ minimum: 0 }),
});
/** A checked report. */
export type Health = Static<typeof HealthShape>;

/** The health report of a worker, returned by its health endpoint. */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const BoundedString = Type.String({ minLength: 1, maxLength: 256 });

/** Schema of a health report. A new incarnation means that the worker restarted and has nothing cached. */
export const HealthShape = Type.Object({
  id: BoundedString,
  incarnation: BoundedString,
  model: Type.String(),
  state: Type.Union([Type.Literal('idle'), Type.Literal('loading'), Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number()),
  running: Type.Integer({ minimum: 0 }),
  readyForMs: Type.Number({ minimum: 0 }),
});
/** A validated health report. */
export type HealthReport = Static<typeof HealthShape>;

/** A worker as the list tells it: passed from the controller that reads the list to proxies. */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

/** A listed worker; `remainingMs` is the notice it has left, `coldMs` how long it still warms up. */
export const WorkerEntryShape = Type.Object({
  id: Str,
  model: Str,
  address: Str,
  zone: Str,
  region: Str,
  release: Type.String(),
  places: Type.Integer({ minimum: 0 }),
  leaving: Type.Boolean(),
  remainingMs: Type.Union([Type.Number(), Type.Null()]),
  coldMs: Type.Number(),
});
/** A checked entry. */
export type WorkerEntry = Static<typeof WorkerEntryShape>;

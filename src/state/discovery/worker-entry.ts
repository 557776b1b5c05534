/** An entry of the worker list that the reading controller sends to proxies and to the other controllers. */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const BoundedString = Type.String({ minLength: 1, maxLength: 256 });

/**
 * Schema of an entry. `remainingMs` is the time until a leaving worker stops, null if unknown; `coldMs` is the
 * remaining warm-up time.
 */
export const WorkerEntryShape = Type.Object({
  id: BoundedString,
  model: BoundedString,
  address: BoundedString,
  zone: BoundedString,
  region: BoundedString,
  release: Type.String(),
  places: Type.Integer({ minimum: 0 }),
  leaving: Type.Boolean(),
  remainingMs: Type.Union([Type.Number(), Type.Null()]),
  coldMs: Type.Number(),
});
/** A validated entry. */
export type WorkerEntry = Static<typeof WorkerEntryShape>;

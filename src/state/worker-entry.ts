import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

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
export type WorkerEntry = Static<typeof WorkerEntryShape>;

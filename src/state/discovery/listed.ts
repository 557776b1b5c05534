/** A worker as a cloud's or platform's list names it. */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

/** A listed worker; `remainingMs` is the notice it has left. */
export const ListedShape = Type.Object({
  id: Str,
  machine: Str,
  address: Str,
  model: Str,
  zone: Str,
  region: Str,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand'), Type.Literal('fixed')]),
  state: Type.Union([Type.Literal('loading'), Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number()),
});
/** A checked worker. */
export type Listed = Static<typeof ListedShape>;

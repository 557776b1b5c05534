/** A worker in the list of the cloud or platform. */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const BoundedString = Type.String({ minLength: 1, maxLength: 256 });

/** Schema of a listed worker; `remainingMs` is the time until a draining worker stops. */
export const ListedShape = Type.Object({
  id: BoundedString,
  machine: BoundedString,
  address: BoundedString,
  model: BoundedString,
  zone: BoundedString,
  region: BoundedString,
  kind: Type.Union([Type.Literal('spot'), Type.Literal('onDemand'), Type.Literal('fixed')]),
  state: Type.Union([Type.Literal('loading'), Type.Literal('ready'), Type.Literal('draining')]),
  remainingMs: Type.Optional(Type.Number()),
});
/** A validated listed worker. */
export type Listed = Static<typeof ListedShape>;

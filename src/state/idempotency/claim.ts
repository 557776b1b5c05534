/**
 * Schemas of claims and of the votes on them, which ensure that a request that must not be repeated runs at most once.
 * Proxies send claims to the controllers, which store them in the table of `claim-table.ts`.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

/** A claim of a key by the attempt `by`. `born` is the creation time of the key in Unix milliseconds. */
export const ClaimShape = Type.Object({ key: Str, by: Str, born: Type.Number() });
/** A validated claim. */
export type Claim = Static<typeof ClaimShape>;

/** The end of an attempt: `answered` if it got a response, `released` if it never ran. */
export const ClaimEndShape = Type.Object({
  key: Str,
  by: Str,
  born: Type.Number(),
  outcome: Type.Union([Type.Literal('released'), Type.Literal('answered')]),
});
/** A validated end of an attempt. */
export type ClaimEnd = Static<typeof ClaimEndShape>;

/** One controller's vote on a claim. Only `claimed` counts towards the majority. */
export const ClaimAnswerShape = Type.Union([
  Type.Object({ tag: Type.Literal('claimed') }),
  Type.Object({ tag: Type.Literal('taken'), answered: Type.Boolean() }),
  Type.Object({ tag: Type.Literal('full') }),
  Type.Object({ tag: Type.Literal('tooOld') }),
]);
/** A validated vote. */
export type ClaimAnswer = Static<typeof ClaimAnswerShape>;

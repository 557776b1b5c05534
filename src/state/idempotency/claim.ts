/**
 * Shapes of claims: the votes by which a request that may not be repeated runs at most once.
 * Sent by proxies to controllers, which keep them in `claim-table.ts`.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

/** A claim of a key by one attempt; `born` is when the key was made, in Unix milliseconds. */
export const ClaimShape = Type.Object({ key: Str, by: Str, born: Type.Number() });
/** A checked claim. */
export type Claim = Static<typeof ClaimShape>;

/** How the attempt ended: `answered`, or `released` as it never ran. */
export const ClaimEndShape = Type.Object({
  key: Str,
  by: Str,
  born: Type.Number(),
  outcome: Type.Union([Type.Literal('released'), Type.Literal('answered')]),
});
/** A checked end. */
export type ClaimEnd = Static<typeof ClaimEndShape>;

/** One controller's vote on a claim. Only `claimed` counts for the attempt. */
export const ClaimAnswerShape = Type.Union([
  Type.Object({ tag: Type.Literal('claimed') }),
  Type.Object({ tag: Type.Literal('taken'), answered: Type.Boolean() }),
  Type.Object({ tag: Type.Literal('full') }),
  Type.Object({ tag: Type.Literal('tooOld') }),
]);
/** A checked vote. */
export type ClaimAnswer = Static<typeof ClaimAnswerShape>;

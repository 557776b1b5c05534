import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

export const ClaimShape = Type.Object({ key: Str, by: Str, born: Type.Number() });
export type Claim = Static<typeof ClaimShape>;

export const ClaimEndShape = Type.Object({
  key: Str,
  by: Str,
  born: Type.Number(),
  outcome: Type.Union([Type.Literal('released'), Type.Literal('answered')]),
});
export type ClaimEnd = Static<typeof ClaimEndShape>;

export const ClaimAnswerShape = Type.Union([
  Type.Object({ tag: Type.Literal('claimed') }),
  Type.Object({ tag: Type.Literal('taken'), answered: Type.Boolean() }),
  Type.Object({ tag: Type.Literal('full') }),
  Type.Object({ tag: Type.Literal('tooOld') }),
]);
export type ClaimAnswer = Static<typeof ClaimAnswerShape>;

/** What nodes tell each other of a node. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });

/** A node, with its address and status. */
export const NodeShape = Type.Object({
  name: Str,
  role: Type.Union([Type.Literal('proxy'), Type.Literal('controller')]),
  run: Str,
  incarnation: Type.Integer({ minimum: 0 }),
  address: Str,
  http: Type.String(),
  zone: Str,
  region: Str,
  status: Type.Union([Type.Literal('alive'), Type.Literal('suspect'), Type.Literal('dead'), Type.Literal('left')]),
});

/** A checked node. */
export type NodeInfo = Static<typeof NodeShape>;

/** The part that changes often. */
export const NodeUpdateShape = Type.Pick(NodeShape, ['name', 'run', 'incarnation', 'status']);
/** A checked update. */
export type NodeUpdate = Static<typeof NodeUpdateShape>;

/** Schemas of the node information that nodes exchange in probes of the failure detector. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const ShortString = Type.String({ minLength: 1, maxLength: 256 });

/** Schema of a node with its addresses, location and status. */
export const NodeShape = Type.Object({
  name: ShortString,
  role: Type.Union([Type.Literal('proxy'), Type.Literal('controller')]),
  run: ShortString,
  incarnation: Type.Integer({ minimum: 0 }),
  address: ShortString,
  http: Type.String(),
  zone: ShortString,
  region: ShortString,
  status: Type.Union([Type.Literal('alive'), Type.Literal('suspect'), Type.Literal('dead'), Type.Literal('left')]),
});

/** A node that matches `NodeShape`. */
export type NodeInfo = Static<typeof NodeShape>;

/** Schema of the fields that change often. */
export const NodeUpdateShape = Type.Pick(NodeShape, ['name', 'run', 'incarnation', 'status']);
/** An update that matches `NodeUpdateShape`. */
export type NodeUpdate = Static<typeof NodeUpdateShape>;

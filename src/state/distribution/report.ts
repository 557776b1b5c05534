/**
 * The schema of reports, in which a proxy reports its own state and the health of the workers that it checks to the
 * controllers. A report is sent complete or as a delta to the last one sent; see `reports.ts`.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const ShortString = Type.String({ minLength: 1, maxLength: 256 });
const Slot = Type.Integer({ minimum: -1 });

/** A report. If `since` is set, it is a delta to the report with that count. */
export const ReportShape = Type.Object({
  reporter: ShortString,
  run: ShortString,
  incarnation: Type.Integer(),
  count: Type.Integer(),
  requests: Type.Record(Type.String(), Type.Integer()),
  shed: Type.Integer(),
  attempted: Type.Integer(),
  retried: Type.Integer(),
  slot: Slot,
  since: Type.Optional(Type.Integer()),
  gone: Type.Optional(Type.Array(ShortString)),
  health: Type.Record(Type.String(), Type.Union([Type.Literal('fit'), Type.Literal('unfit')])),
  http: ShortString,
  ready: Type.Boolean(),
  /** The proxy has been told to stop, and still accepts requests for a second or more. */
  draining: Type.Optional(Type.Boolean()),
  zone: ShortString,
  region: ShortString,
});

/** A report that matches the schema. */
export type Report = Static<typeof ReportShape>;

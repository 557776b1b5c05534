/**
 * The shape of reports: what a proxy tells the controllers of itself and of the workers it
 * probes. Sent whole or as the difference to the last one taken; see `reports.ts`.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

const Str = Type.String({ minLength: 1, maxLength: 256 });
const Slot = Type.Integer({ minimum: -1 });

/** A report; with `since` it is the difference to the report of that count. */
export const ReportShape = Type.Object({
  reporter: Str,
  run: Str,
  incarnation: Type.Integer(),
  count: Type.Integer(),
  requests: Type.Record(Type.String(), Type.Integer()),
  shed: Type.Integer(),
  attempted: Type.Integer(),
  retried: Type.Integer(),
  slot: Slot,
  since: Type.Optional(Type.Integer()),
  gone: Type.Optional(Type.Array(Str)),
  health: Type.Record(Type.String(), Type.Union([Type.Literal('fit'), Type.Literal('unfit')])),
  http: Str,
  ready: Type.Boolean(),
  /** It was told to stop, and still takes what comes for a second or more. */
  draining: Type.Optional(Type.Boolean()),
  zone: Str,
  region: Str,
});

/** A checked report. */
export type Report = Static<typeof ReportShape>;

/** Tables of the load on workers: their schema, and how changed rows are applied to a table. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { setOwnValue } from '../../base/own-value.js';

/** By worker: running requests, prompt tokens still to be processed, tokens in the KV cache, bad runs, and all runs. */
export const LoadRowsShape = Type.Record(
  Type.String(),
  Type.Tuple([Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer()]),
);
/** A table that matches the schema. */
export type LoadRows = Static<typeof LoadRowsShape>;

/** The load on one worker. */
export type LoadRow = LoadRows[string];

/** The row of a worker without any load. */
export const ZERO_ROW: LoadRow = [0, 0, 0, 0, 0];

/** Whether all values of a row are zero. */
export function isZeroRow(row: LoadRow): boolean {
  return isEqualRow(row, ZERO_ROW);
}

/** Whether two rows have the same values. */
export function isEqualRow(left: LoadRow, right: LoadRow): boolean {
  return left.every((value, index) => value === right[index]);
}

/** Returns a copy of the table with the changed rows applied; a row of zeros removes the worker. */
export function applyRowChanges(rows: LoadRows, changedRows: LoadRows): LoadRows {
  const merged: LoadRows = { ...rows };
  for (const [id, row] of Object.entries(changedRows)) {
    if (isZeroRow(row)) delete merged[id];
    else setOwnValue(merged, id, row);
  }
  return merged;
}

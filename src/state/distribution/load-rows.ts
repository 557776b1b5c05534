/** Rows of loads on workers: their shape, and tables of which some rows are told anew. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** By worker: requests, tokens not yet read, tokens of KV cache, bad runs, runs. */
export const LoadRowsShape = Type.Record(
  Type.String(),
  Type.Tuple([Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer()]),
);
/** Checked rows. */
export type LoadRows = Static<typeof LoadRowsShape>;

/** The load on one worker. */
export type LoadRow = LoadRows[string];

/** A worker with nothing on it. */
export const NOTHING: LoadRow = [0, 0, 0, 0, 0];

/** Whether a row tells of nothing. */
export function isNothing(row: LoadRow): boolean {
  return isSameRow(row, NOTHING);
}

/** Whether two rows tell the same. */
export function isSameRow(left: LoadRow, right: LoadRow): boolean {
  return left.every((figure, index) => figure === right[index]);
}

/** The table with some of its rows told anew; rows of zeros leave it. */
export function withChanges(rows: LoadRows, changed: LoadRows): LoadRows {
  const out: LoadRows = { ...rows };
  for (const [id, row] of Object.entries(changed)) {
    if (isNothing(row)) delete out[id];
    else out[id] = row;
  }
  return out;
}

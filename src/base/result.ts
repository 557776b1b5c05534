/**
 * Outcomes as values. Every operation that may fail returns a result whose fault is a
 * tagged union; nothing in the core throws.
 */

/** An operation that succeeded, with its value. */
export type Ok<T> = { readonly ok: true; readonly value: T };
/** An operation that failed, with its tagged fault. */
export type Err<F> = { readonly ok: false; readonly fault: F };
/** Either outcome of an operation; `ok` tells which. */
export type Result<T, F> = Ok<T> | Err<F>;

/** A success. */
export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

/** A failure. */
export function err<F>(fault: F): Err<F> {
  return { ok: false, fault };
}

/**
 * Results as values. Every operation that may fail returns a result whose error is a tagged union named `…Error`,
 * with the fields of each case. Nothing in the core throws.
 */

/** The result of an operation that succeeded. */
export type Ok<T> = { readonly ok: true; readonly value: T };
/** The result of an operation that failed; the error is tagged. */
export type Err<E> = { readonly ok: false; readonly error: E };
/** The result of an operation; `ok` discriminates success from failure. */
export type Result<T, E> = Ok<T> | Err<E>;

/** Creates the result of a success. */
export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

/** Creates the result of a failure. */
export function err<E>(error: E): Err<E> {
  return { ok: false, error };
}

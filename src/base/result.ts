/**
 * Outcomes as values. Every operation that may fail returns a result whose error is a tagged union named `…Error`, each
 * case with its fields; nothing in the core throws.
 */

/** An operation that succeeded, with its value. */
export type Ok<T> = { readonly ok: true; readonly value: T };
/** An operation that failed, with its tagged error. */
export type Err<E> = { readonly ok: false; readonly error: E };
/** Either outcome of an operation; `ok` tells which. */
export type Result<T, E> = Ok<T> | Err<E>;

/** A success. */
export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

/** A failure. */
export function err<E>(error: E): Err<E> {
  return { ok: false, error };
}

/**
 * Makes checked readers from TypeBox schemas. Every body that crosses a process boundary is
 * read by one, so that wrong shapes are faults with a path instead of surprises later.
 */

import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import type { TypeCheck } from '@sinclair/typebox/compiler';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

/** A body of the wrong shape; the detail names the first path that does not fit. */
export type ShapeError = { readonly tag: 'malformed'; readonly detail: string };

/** Checks a body and gives it its type. */
export type Reader<T extends TSchema> = (body: unknown) => Result<Static<T>, ShapeError>;

/** A reader of a schema, compiled at its first use, as few processes need all of them. */
export function readerOf<T extends TSchema>(schema: T): Reader<T> {
  let made: TypeCheck<T> | null = null;
  function read(body: unknown): Result<Static<T>, ShapeError> {
    const compiled = (made ??= TypeCompiler.Compile(schema));
    if (compiled.Check(body)) return ok(body);
    const first = compiled.Errors(body).First();
    return err({ tag: 'malformed', detail: first ? `${first.path || '/'}: ${first.message}` : 'wrong shape' });
  }
  return read;
}

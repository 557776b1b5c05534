/**
 * Creates validating readers from TypeBox schemas. Every body that crosses a process boundary passes through one, so
 * that a malformed body gives an error with a path instead of failing later.
 */

import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import type { TypeCheck } from '@sinclair/typebox/compiler';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

/** A body that does not match its schema; `detail` names the first path that differs. */
export type ShapeError = { readonly tag: 'malformed'; readonly detail: string };

/** Validates a body and returns it with its type. */
export type Reader<T extends TSchema> = (body: unknown) => Result<Static<T>, ShapeError>;

/** Creates a reader for a schema. The check is compiled at its first use, as few processes need every schema. */
export function readerOf<T extends TSchema>(schema: T): Reader<T> {
  let compiledCheck: TypeCheck<T> | null = null;
  function read(body: unknown): Result<Static<T>, ShapeError> {
    const check = (compiledCheck ??= TypeCompiler.Compile(schema));
    if (check.Check(body)) return ok(body);
    const firstError = check.Errors(body).First();
    return err({
      tag: 'malformed',
      detail: firstError ? `${firstError.path || '/'}: ${firstError.message}` : 'wrong shape',
    });
  }
  return read;
}

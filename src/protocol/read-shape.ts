import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import type { TypeCheck } from '@sinclair/typebox/compiler';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

export type ShapeFault = { readonly tag: 'malformed'; readonly detail: string };

export type Reader<T extends TSchema> = (body: unknown) => Result<Static<T>, ShapeFault>;

export function readerOf<T extends TSchema>(schema: T): Reader<T> {
  let made: TypeCheck<T> | null = null;
  function read(body: unknown): Result<Static<T>, ShapeFault> {
    const compiled = (made ??= TypeCompiler.Compile(schema));
    if (compiled.Check(body)) return ok(body);
    const first = compiled.Errors(body).First();
    return err({ tag: 'malformed', detail: first ? `${first.path || '/'}: ${first.message}` : 'wrong shape' });
  }
  return read;
}

/**
 * Building blocks for checking operators' documents, on io-ts: bounded numbers, tested texts,
 * and faults that name a path. Used by the readers of configurations, served configurations
 * and aims.
 */

import * as t from 'io-ts';

/** One thing wrong in a document: where (a JSON pointer), what was expected and what was found. */
export type ConfigError = { readonly path: string; readonly expected: string; readonly found: string };

function ranged(name: string, low: number, high: number, whole: boolean): t.Type<number> {
  function is(value: unknown): value is number {
    return typeof value === 'number' && value >= low && value <= high && (!whole || Number.isInteger(value));
  }
  function validate(value: unknown, context: t.Context): t.Validation<number> {
    return is(value) ? t.success(value) : t.failure(value, context);
  }
  return new t.Type<number>(`${name} from ${low} to ${high}`, is, validate, t.identity);
}

/** A whole number from `low` to `high`, both included. */
export function whole(low: number, high: number): t.Type<number> {
  return ranged('a whole number', low, high, true);
}
/** Any number from `low` to `high`, both included. */
export function real(low: number, high: number): t.Type<number> {
  return ranged('a number', low, high, false);
}

/** A text that passes a test; `name` tells operators what is expected. */
export function text(name: string, test: (text: string) => boolean): t.Type<string> {
  function is(value: unknown): value is string {
    return typeof value === 'string' && test(value);
  }
  function validate(value: unknown, context: t.Context): t.Validation<string> {
    return is(value) ? t.success(value) : t.failure(value, context);
  }
  return new t.Type<string>(name, is, validate, t.identity);
}

const NAME = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/;
/** Whether a value is a name: up to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit. */
export function isName(value: unknown): value is string {
  return typeof value === 'string' && NAME.test(value);
}
/** The codec of a name. */
export const Name = text('a name of letters, digits, dot, dash or underscore', isName);
/** The codec of a list of names. */
export const Names = t.readonlyArray(Name, 'a list of names');

/** A value as shown to operators: its JSON, cut to 80 letters. */
export function shown(value: unknown): string {
  const said = value === undefined ? 'nothing' : JSON.stringify(value);
  return said.length > 80 ? `${said.slice(0, 77)}...` : said;
}

/** A fault at a path given by its keys. */
export function errorAt(path: readonly string[], expected: string, found: unknown): ConfigError {
  return { path: `/${path.join('/')}`, expected, found: shown(found) };
}

/** Every fault that a codec finds in a value; none if it fits. */
export function errorsIn(path: readonly string[], codec: t.Mixed, value: unknown): ConfigError[] {
  const read = codec.decode(value);
  const out: ConfigError[] = [];
  if (read._tag === 'Right') return out;
  for (const validationError of read.left) {
    const inner: string[] = [];
    for (const contextEntry of validationError.context.slice(1)) inner.push(contextEntry.key);
    const last = validationError.context[validationError.context.length - 1];
    out.push(errorAt([...path, ...inner], last ? last.type.name : codec.name, validationError.value));
  }
  return out;
}

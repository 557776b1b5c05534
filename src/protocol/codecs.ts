/**
 * io-ts codecs for validating operators' documents: bounded numbers, constrained texts, and errors that name a path.
 * Used by the readers of configurations, served configurations and latency targets.
 */

import * as t from 'io-ts';

/** One error in a document: its path (a JSON pointer), what was expected and what was found. */
export type ConfigError = { readonly path: string; readonly expected: string; readonly found: string };

function rangeCodec(name: string, min: number, max: number, isInteger: boolean): t.Type<number> {
  function is(value: unknown): value is number {
    return typeof value === 'number' && value >= min && value <= max && (!isInteger || Number.isInteger(value));
  }
  function validate(value: unknown, context: t.Context): t.Validation<number> {
    return is(value) ? t.success(value) : t.failure(value, context);
  }
  return new t.Type<number>(`${name} from ${min} to ${max}`, is, validate, t.identity);
}

/** Creates a codec of whole numbers from `min` to `max`, both included. */
export function integerBetween(min: number, max: number): t.Type<number> {
  return rangeCodec('a whole number', min, max, true);
}
/** Creates a codec of numbers from `min` to `max`, both included. */
export function numberBetween(min: number, max: number): t.Type<number> {
  return rangeCodec('a number', min, max, false);
}

/** Creates a codec of texts that satisfy `isValid`; `name` tells operators what is expected. */
export function textMatching(name: string, isValid: (text: string) => boolean): t.Type<string> {
  function is(value: unknown): value is string {
    return typeof value === 'string' && isValid(value);
  }
  function validate(value: unknown, context: t.Context): t.Validation<string> {
    return is(value) ? t.success(value) : t.failure(value, context);
  }
  return new t.Type<string>(name, is, validate, t.identity);
}

const NAME_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/;
/** Returns whether a value is a name: up to 63 letters, digits, `.`, `-` or `_`, starting with a letter or digit. */
export function isName(value: unknown): value is string {
  return typeof value === 'string' && NAME_PATTERN.test(value);
}
/** The codec of a name. */
export const Name = textMatching('a name of letters, digits, dot, dash or underscore', isName);
/** The codec of a list of names. */
export const Names = t.readonlyArray(Name, 'a list of names');

/** Formats a value for operators: its JSON, truncated to 80 characters. */
export function describeValue(value: unknown): string {
  const json = value === undefined ? 'nothing' : JSON.stringify(value);
  return json.length > 80 ? `${json.slice(0, 77)}...` : json;
}

/** Creates an error at a path given by its keys. */
export function errorAt(path: readonly string[], expected: string, found: unknown): ConfigError {
  return { path: `/${path.join('/')}`, expected, found: describeValue(found) };
}

/** Returns every error that a codec finds in a value; empty if the value is valid. */
export function validationErrors(path: readonly string[], codec: t.Mixed, value: unknown): ConfigError[] {
  const decoded = codec.decode(value);
  const errors: ConfigError[] = [];
  if (decoded._tag === 'Right') return errors;
  for (const validationError of decoded.left) {
    const keys: string[] = [];
    for (const contextEntry of validationError.context.slice(1)) keys.push(contextEntry.key);
    const last = validationError.context[validationError.context.length - 1];
    errors.push(errorAt([...path, ...keys], last ? last.type.name : codec.name, validationError.value));
  }
  return errors;
}

/**
 * Building blocks for checking operators' documents, on io-ts: bounded numbers, tested texts,
 * and faults that name a path. Used by the readers of configurations, served configurations
 * and aims.
 */

import * as t from 'io-ts';

/** One thing wrong in a document: where (a JSON pointer), what was expected and what was found. */
export type ConfigFault = { readonly path: string; readonly expected: string; readonly found: string };

function ranged(name: string, low: number, high: number, whole: boolean): t.Type<number> {
  function is(u: unknown): u is number {
    return typeof u === 'number' && u >= low && u <= high && (!whole || Number.isInteger(u));
  }
  function validate(u: unknown, c: t.Context): t.Validation<number> {
    return is(u) ? t.success(u) : t.failure(u, c);
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
export function text(name: string, test: (s: string) => boolean): t.Type<string> {
  function is(u: unknown): u is string {
    return typeof u === 'string' && test(u);
  }
  function validate(u: unknown, c: t.Context): t.Validation<string> {
    return is(u) ? t.success(u) : t.failure(u, c);
  }
  return new t.Type<string>(name, is, validate, t.identity);
}

const NAME = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/;
/** Whether a value is a name: up to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit. */
export function isName(u: unknown): u is string {
  return typeof u === 'string' && NAME.test(u);
}
/** The codec of a name. */
export const Name = text('a name of letters, digits, dot, dash or underscore', isName);
/** The codec of a list of names. */
export const Names = t.readonlyArray(Name, 'a list of names');

/** A value as shown to operators: its JSON, cut to 80 letters. */
export function shown(u: unknown): string {
  const said = u === undefined ? 'nothing' : JSON.stringify(u);
  return said.length > 80 ? `${said.slice(0, 77)}...` : said;
}

/** A fault at a path given by its keys. */
export function faultAt(path: readonly string[], expected: string, found: unknown): ConfigFault {
  return { path: `/${path.join('/')}`, expected, found: shown(found) };
}

/** Every fault that a codec finds in a value; none if it fits. */
export function faultsIn(path: readonly string[], codec: t.Mixed, value: unknown): ConfigFault[] {
  const read = codec.decode(value);
  const out: ConfigFault[] = [];
  if (read._tag === 'Right') return out;
  for (const e of read.left) {
    const inner: string[] = [];
    for (const c of e.context.slice(1)) inner.push(c.key);
    const last = e.context[e.context.length - 1];
    out.push(faultAt([...path, ...inner], last ? last.type.name : codec.name, e.value));
  }
  return out;
}

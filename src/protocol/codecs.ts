import * as t from 'io-ts';

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

export function whole(low: number, high: number): t.Type<number> {
  return ranged('a whole number', low, high, true);
}
export function real(low: number, high: number): t.Type<number> {
  return ranged('a number', low, high, false);
}

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
export function isName(u: unknown): u is string {
  return typeof u === 'string' && NAME.test(u);
}
export const Name = text('a name of letters, digits, dot, dash or underscore', isName);
export const Names = t.readonlyArray(Name, 'a list of names');

export function shown(u: unknown): string {
  const said = u === undefined ? 'nothing' : JSON.stringify(u);
  return said.length > 80 ? `${said.slice(0, 77)}...` : said;
}

export function faultAt(path: readonly string[], expected: string, found: unknown): ConfigFault {
  return { path: `/${path.join('/')}`, expected, found: shown(found) };
}

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

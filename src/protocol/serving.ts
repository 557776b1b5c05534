/**
 * Reads the served configuration of opaque requests: routes by host and path prefix, models,
 * and limits on callers. Called for operators' submissions and for the part "serving" of a
 * configuration. What passes is consistent: no two routes have the same host and prefix, each
 * share names a model, and the shares of a route add up to more than 0.
 */

import * as t from 'io-ts';
import { isTable } from '../base/is-table.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type {
  RouteSettings,
  EngineTraits,
  ModelTraits,
  CallerLimits,
  Serving,
  Share,
} from '../state/configuration/serving.js';
import { errorAt, errorsIn, real, text, whole } from './codecs.js';
import type { ConfigError } from './codecs.js';

const MOST = Number.MAX_SAFE_INTEGER;
const MOST_NAME = 256;

function isFilled(text: string): boolean {
  return text !== '' && text.length <= MOST_NAME && text !== '__proto__';
}
function isHost(text: string): boolean {
  return isFilled(text) && !/[\s/]/.test(text);
}
function isPrefix(text: string): boolean {
  return text.startsWith('/') && text.endsWith('/');
}
function isPath(text: string): boolean {
  return text.startsWith('/');
}
function above(value: unknown): value is number {
  return typeof value === 'number' && value > 0 && value <= MOST;
}
function validateAbove(value: unknown, context: t.Context): t.Validation<number> {
  return above(value) ? t.success(value) : t.failure(value, context);
}

const Filled = text(`a text of up to ${MOST_NAME} letters`, isFilled);
const Above = new t.Type<number>('a number above 0', above, validateAbove, t.identity);
const Amount = real(0, MOST);
const Count = whole(0, MOST);
const Flag = new t.Type<boolean>('true or false', t.boolean.is, t.boolean.validate, t.identity);
const Table = new t.Type<Record<string, unknown>>('a table', isTable, validateTable, t.identity);
function validateTable(value: unknown, context: t.Context): t.Validation<Record<string, unknown>> {
  return isTable(value) ? t.success(value) : t.failure(value, context);
}
function orNull<A>(codec: t.Type<A>): t.Type<A | null> {
  function is(value: unknown): value is A | null {
    return value === null || codec.is(value);
  }
  function validate(value: unknown, context: t.Context): t.Validation<A | null> {
    return value === null ? t.success(value) : codec.validate(value, context);
  }
  return new t.Type<A | null>(`${codec.name}, or null`, is, validate, t.identity);
}

type Codecs<T> = { readonly [K in Exclude<keyof T, 'extra'>]-?: t.Mixed };

const SHARE: Codecs<Share> = { model: Filled, share: Amount };
const MAPPING: Codecs<RouteSettings> = {
  at: Count,
  host: text('a host', isHost),
  prefix: text('a path that begins and ends with a slash', isPrefix),
  kind: t.keyof({ repeatable: null, once: null, stream: null }, 'one of repeatable, once, stream'),
  resumable: Flag,
  pinned: Flag,
  rank: orNull(Count),
  deadlineMs: Above,
  aimMs: orNull(Above),
  pauseMs: orNull(Above),
  attempts: whole(1, 1_000),
  shares: t.readonlyArray(t.type(SHARE, 'a share'), 'a list of shares'),
  split: Flag,
  homes: t.readonlyArray(Filled, 'a list of regions'),
};
const ENGINE: Codecs<EngineTraits> = { batch: whole(1, MOST), kvTokens: Amount };
const MODEL: Codecs<ModelTraits> = {
  at: Count,
  probePath: text('a path', isPath),
  maxConns: whole(1, MOST),
  coldS: Amount,
  coldRateS: Amount,
  engine: orNull(t.type(ENGINE, 'a table of batch and kvTokens')),
};
const LIMITS: Codecs<CallerLimits> = { headerBytes: Above, bodyBytes: Amount, headerMs: Above, idleMs: Above };
const ModelRoute = t.type(MAPPING, 'a mapping');
const Model = t.type(MODEL, 'a model');
const Limits = t.type(LIMITS, 'a table of limits');
const Numbered = whole(1, MOST);

/** The served configuration in a value, or every fault in it, each below `path`. */
export function readServing(document: unknown, path: readonly string[] = []): Result<Serving, readonly ConfigError[]> {
  const faults: ConfigError[] = [];
  function addError(at: readonly string[], expected: string, found: unknown): void {
    faults.push(errorAt([...path, ...at], expected, found));
  }
  function check(at: readonly string[], codec: t.Mixed, value: unknown): boolean {
    const found = errorsIn([...path, ...at], codec, value);
    faults.push(...found);
    return found.length === 0;
  }
  function items<T>(key: string, value: unknown, codec: t.Mixed): [string, T][] {
    const out: [string, T][] = [];
    if (!check([key], Table, value)) return out;
    for (const [name, item] of Object.entries(value as Record<string, unknown>)) {
      if (!isFilled(name)) addError([key, name], Filled.name, name);
      else if (check([key, name], codec, item)) out.push([name, item as T]);
    }
    return out;
  }

  if (!check([], Table, document)) return err(faults);
  const top = document as Record<string, unknown>;
  check(['number'], Numbered, top['number']);
  check(['limits'], Limits, top['limits']);
  items<ModelTraits>('models', top['models'], Model);
  const models = isTable(top['models']) ? top['models'] : {};
  const taken = new Map<string, string>();
  for (const [name, mapping] of items<RouteSettings>('mappings', top['mappings'], ModelRoute)) {
    const place = `${mapping.host.toLowerCase()} ${mapping.prefix}`;
    const other = taken.get(place);
    if (other !== undefined)
      addError(['mappings', name, 'prefix'], `a host and prefix that ${other} does not have`, place);
    taken.set(place, name);
    let sum = 0;
    for (const [i, share] of mapping.shares.entries()) {
      sum += share.share;
      if (!Object.hasOwn(models, share.model))
        addError(['mappings', name, 'shares', String(i), 'model'], 'a model named under models', share.model);
    }
    if (!(sum > 0)) addError(['mappings', name, 'shares'], 'shares that add up to more than 0', mapping.shares);
  }
  return faults.length > 0 ? err(faults) : ok(document as Serving);
}

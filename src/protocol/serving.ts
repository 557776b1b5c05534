/**
 * Validates the served configuration of opaque requests: routes by host and path prefix, models, and limits on callers.
 * Called for operators' submissions and for the `serving` section of a configuration. A document that passes is
 * consistent: no two routes have the same host and prefix, each share names a model, and the shares of a route add up
 * to more than 0.
 */

import * as t from 'io-ts';
import { isJsonObject } from '../base/is-json-object.js';
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
import { errorAt, validationErrors, numberBetween, textMatching, integerBetween } from './codecs.js';
import type { ConfigError } from './codecs.js';

const MAX_NUMBER = Number.MAX_SAFE_INTEGER;
const MAX_NAME_LENGTH = 256;

function isNonEmptyText(text: string): boolean {
  return text !== '' && text.length <= MAX_NAME_LENGTH && text !== '__proto__';
}
function isHost(text: string): boolean {
  return isNonEmptyText(text) && !/[\s/]/.test(text);
}
function isPrefix(text: string): boolean {
  return text.startsWith('/') && text.endsWith('/');
}
function isPath(text: string): boolean {
  return text.startsWith('/');
}
function isPositive(value: unknown): value is number {
  return typeof value === 'number' && value > 0 && value <= MAX_NUMBER;
}
function validatePositive(value: unknown, context: t.Context): t.Validation<number> {
  return isPositive(value) ? t.success(value) : t.failure(value, context);
}

const NonEmptyText = textMatching(`a text of up to ${MAX_NAME_LENGTH} letters`, isNonEmptyText);
const PositiveNumber = new t.Type<number>('a number above 0', isPositive, validatePositive, t.identity);
const NonNegativeNumber = numberBetween(0, MAX_NUMBER);
const NonNegativeInteger = integerBetween(0, MAX_NUMBER);
const BooleanCodec = new t.Type<boolean>('true or false', t.boolean.is, t.boolean.validate, t.identity);
const TableCodec = new t.Type<Record<string, unknown>>('a table', isJsonObject, validateTable, t.identity);
function validateTable(value: unknown, context: t.Context): t.Validation<Record<string, unknown>> {
  return isJsonObject(value) ? t.success(value) : t.failure(value, context);
}
function nullable<A>(codec: t.Type<A>): t.Type<A | null> {
  function is(value: unknown): value is A | null {
    return value === null || codec.is(value);
  }
  function validate(value: unknown, context: t.Context): t.Validation<A | null> {
    return value === null ? t.success(value) : codec.validate(value, context);
  }
  return new t.Type<A | null>(`${codec.name}, or null`, is, validate, t.identity);
}

type FieldCodecs<T> = { readonly [K in Exclude<keyof T, 'extra'>]-?: t.Mixed };

const SHARE_CODECS: FieldCodecs<Share> = { model: NonEmptyText, share: NonNegativeNumber };
const ROUTE_CODECS: FieldCodecs<RouteSettings> = {
  at: NonNegativeInteger,
  host: textMatching('a host', isHost),
  prefix: textMatching('a path that begins and ends with a slash', isPrefix),
  kind: t.keyof({ repeatable: null, once: null, stream: null }, 'one of repeatable, once, stream'),
  resumable: BooleanCodec,
  pinned: BooleanCodec,
  rank: nullable(NonNegativeInteger),
  deadlineMs: PositiveNumber,
  aimMs: nullable(PositiveNumber),
  pauseMs: nullable(PositiveNumber),
  attempts: integerBetween(1, 1_000),
  shares: t.readonlyArray(t.type(SHARE_CODECS, 'a share'), 'a list of shares'),
  split: BooleanCodec,
  homes: t.readonlyArray(NonEmptyText, 'a list of regions'),
};
const ENGINE_CODECS: FieldCodecs<EngineTraits> = { batch: integerBetween(1, MAX_NUMBER), kvTokens: NonNegativeNumber };
const MODEL_CODECS: FieldCodecs<ModelTraits> = {
  at: NonNegativeInteger,
  probePath: textMatching('a path', isPath),
  maxConns: integerBetween(1, MAX_NUMBER),
  coldS: NonNegativeNumber,
  coldRateS: NonNegativeNumber,
  engine: nullable(t.type(ENGINE_CODECS, 'a table of batch and kvTokens')),
};
const LIMITS_CODECS: FieldCodecs<CallerLimits> = {
  headerBytes: PositiveNumber,
  bodyBytes: NonNegativeNumber,
  headerMs: PositiveNumber,
  idleMs: PositiveNumber,
};
const RouteCodec = t.type(ROUTE_CODECS, 'a mapping');
const ModelCodec = t.type(MODEL_CODECS, 'a model');
const LimitsCodec = t.type(LIMITS_CODECS, 'a table of limits');
const ConfigurationNumber = integerBetween(1, MAX_NUMBER);

/** Returns the served configuration in a value, or every error in it, with paths below `path`. */
export function readServing(document: unknown, path: readonly string[] = []): Result<Serving, readonly ConfigError[]> {
  const errors: ConfigError[] = [];
  function addError(at: readonly string[], expected: string, found: unknown): void {
    errors.push(errorAt([...path, ...at], expected, found));
  }
  function check(at: readonly string[], codec: t.Mixed, value: unknown): boolean {
    const valueErrors = validationErrors([...path, ...at], codec, value);
    errors.push(...valueErrors);
    return valueErrors.length === 0;
  }
  function validItems<T>(key: string, value: unknown, codec: t.Mixed): [string, T][] {
    const valid: [string, T][] = [];
    if (!check([key], TableCodec, value)) return valid;
    for (const [name, item] of Object.entries(value as Record<string, unknown>)) {
      if (!isNonEmptyText(name)) addError([key, name], NonEmptyText.name, name);
      else if (check([key, name], codec, item)) valid.push([name, item as T]);
    }
    return valid;
  }

  if (!check([], TableCodec, document)) return err(errors);
  const top = document as Record<string, unknown>;
  check(['number'], ConfigurationNumber, top['number']);
  check(['limits'], LimitsCodec, top['limits']);
  validItems<ModelTraits>('models', top['models'], ModelCodec);
  const models = isJsonObject(top['models']) ? top['models'] : {};
  const routeAtLocation = new Map<string, string>();
  for (const [name, route] of validItems<RouteSettings>('mappings', top['mappings'], RouteCodec)) {
    const location = `${route.host.toLowerCase()} ${route.prefix}`;
    const otherRoute = routeAtLocation.get(location);
    if (otherRoute !== undefined)
      addError(['mappings', name, 'prefix'], `a host and prefix that ${otherRoute} does not have`, location);
    routeAtLocation.set(location, name);
    let shareTotal = 0;
    for (const [i, share] of route.shares.entries()) {
      shareTotal += share.share;
      if (!Object.hasOwn(models, share.model))
        addError(['mappings', name, 'shares', String(i), 'model'], 'a model named under models', share.model);
    }
    if (!(shareTotal > 0)) addError(['mappings', name, 'shares'], 'shares that add up to more than 0', route.shares);
  }
  return errors.length > 0 ? err(errors) : ok(document as Serving);
}

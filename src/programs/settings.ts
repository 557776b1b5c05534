/** Reads the settings of a node from a file and flags, and validates them (docs/configuration.md). */
import * as t from 'io-ts';
import { readFileSync } from 'node:fs';
import { isJsonObject } from '../base/is-json-object.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { splitAddress } from '../transport/wire.js';
import { LOG_FORMATS } from '../transport/log-line.js';
import type { LogFormat } from '../transport/log-line.js';
import type { LogLevel } from '../transport/log.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** Validated settings, with defaults filled in. */
export type NodeSettings = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly listen: string;
  readonly advertise: string;
  readonly http: string;
  readonly httpAdvertise: string;
  readonly seeds: readonly string[];
  readonly dataFolder: string | null;
  readonly platform: string;
  readonly cloud: string;
  readonly logLevel: LogLevel;
  readonly logFormat: LogFormat;
  readonly lab: LabSettings | null;
};

/** Settings for test runs only: simulated network delays, fault switches and traffic counts. */
export type LabSettings = {
  readonly zones: Readonly<Record<string, string>>;
  readonly delayMs: Readonly<Record<string, number>>;
  readonly withoutPolicy?: string;
  readonly switches?: string;
  readonly tally?: { readonly file: string; readonly places: string };
};

/** An invalid or missing setting, with the expected and the actual value. */
export type SettingsError = { readonly key: string; readonly expected: string; readonly found: string };

function stringCodec(name: string, isValid: (text: string) => boolean): t.Type<string> {
  function is(value: unknown): value is string {
    return typeof value === 'string' && isValid(value);
  }
  function validate(value: unknown, context: t.Context): t.Validation<string> {
    return is(value) ? t.success(value) : t.failure(value, context);
  }
  function encode(text: string): string {
    return text;
  }
  return new t.Type(name, is, validate, encode);
}
function isName(text: string): boolean {
  return /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/.test(text);
}
function isAddress(text: string): boolean {
  return splitAddress(text) !== null && /^(\d{1,3}\.){3}\d{1,3}:\d+$/.test(text);
}
function isPath(text: string): boolean {
  return text.length > 0;
}
function isLogFormat(text: string): boolean {
  return (LOG_FORMATS as readonly string[]).includes(text);
}
function isLogLevel(text: string): boolean {
  return ['silent', 'error', 'warn', 'info'].includes(text);
}

const NameCodec = stringCodec('a name of letters, digits, dot, dash or underscore', isName);
const AddressCodec = stringCodec('an address such as 10.0.0.1:7100', isAddress);
const CODECS: Readonly<Record<string, t.Mixed>> = {
  name: NameCodec,
  zone: NameCodec,
  region: NameCodec,
  listen: AddressCodec,
  advertise: AddressCodec,
  http: AddressCodec,
  httpAdvertise: AddressCodec,
  seeds: t.array(AddressCodec, 'a list of addresses'),
  dataFolder: stringCodec('a folder', isPath),
  platform: AddressCodec,
  cloud: AddressCodec,
  logLevel: stringCodec('one of silent, error, warn, info', isLogLevel),
  logFormat: stringCodec('one of text, json', isLogFormat),
  lab: t.intersection(
    [
      t.type({ zones: t.record(t.string, t.string), delayMs: t.record(t.string, t.number) }),
      t.partial({ withoutPolicy: t.string, switches: t.string, tally: t.type({ file: t.string, places: t.string }) }),
    ],
    'an object with zones and delayMs',
  ),
};
const REQUIRED = ['name', 'zone', 'region', 'listen', 'http', 'seeds', 'platform'] as const;

function formatValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function readSettingsFile(path: string): Result<Record<string, unknown>, SettingsError> {
  let raw: string;
  try {
    raw = readFileSync(path, 'utf8');
  } catch {
    return err({ key: '--settings', expected: 'a readable file', found: JSON.stringify(path) });
  }
  try {
    const value: unknown = JSON.parse(raw);
    if (isJsonObject(value)) return ok(value);
  } catch {
    return err({ key: '--settings', expected: 'a JSON file', found: JSON.stringify(path) });
  }
  return err({ key: '--settings', expected: 'a JSON object', found: JSON.stringify(path) });
}

/** Which of the optional settings a role requires. */
export type RequiredSettings = { readonly dataFolder: boolean; readonly cloud: boolean };

/** Returns the settings, or all errors in them. Flags override the file. */
export function readSettings(
  file: string | undefined,
  flags: Readonly<Record<string, string | undefined>>,
  required: RequiredSettings,
): Result<NodeSettings, readonly SettingsError[]> {
  const errors: SettingsError[] = [];
  let merged: Record<string, unknown> = {};
  if (file !== undefined) {
    const fromFile = readSettingsFile(file);
    if (!fromFile.ok) return err([fromFile.error]);
    merged = { ...fromFile.value };
  }
  for (const [key, value] of Object.entries(flags)) {
    if (value === undefined) continue;
    setOwnValue(merged, key, key === 'seeds' ? value.split(',') : value);
  }
  for (const key of Object.keys(merged)) {
    const codec = Object.hasOwn(CODECS, key) ? ownValue(CODECS, key) : undefined;
    if (!codec) errors.push({ key, expected: `one of ${Object.keys(CODECS).join(', ')}`, found: formatValue(key) });
    else if (codec.decode(ownValue(merged, key))._tag === 'Left')
      errors.push({ key, expected: codec.name, found: formatValue(ownValue(merged, key)) });
  }
  for (const key of [
    ...REQUIRED,
    ...(required.dataFolder ? ['dataFolder'] : []),
    ...(required.cloud ? ['cloud'] : []),
  ]) {
    if (ownValue(merged, key) === undefined)
      errors.push({ key, expected: ownValue(CODECS, key)?.name ?? 'a value', found: 'nothing' });
  }
  const seeds = merged['seeds'];
  if (Array.isArray(seeds) && (seeds.length < 1 || seeds.length > 9))
    errors.push({ key: 'seeds', expected: '1 to 9 addresses, usually 3', found: formatValue(seeds) });
  if (errors.length > 0) return err(errors);
  const settings = merged as Partial<NodeSettings> & Pick<NodeSettings, (typeof REQUIRED)[number]>;
  return ok({
    name: settings.name,
    zone: settings.zone,
    region: settings.region,
    listen: settings.listen,
    advertise: settings.advertise ?? settings.listen,
    http: settings.http,
    httpAdvertise: settings.httpAdvertise ?? settings.http,
    seeds: settings.seeds,
    dataFolder: settings.dataFolder ?? null,
    platform: settings.platform,
    cloud: settings.cloud ?? settings.platform,
    logLevel: settings.logLevel ?? 'info',
    logFormat: settings.logFormat ?? 'text',
    lab: settings.lab ?? null,
  });
}

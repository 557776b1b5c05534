/** Settings of a node, from a file and flags (docs/configuration.md). */
import * as t from 'io-ts';
import { readFileSync } from 'node:fs';
import { isTable } from '../base/is-table.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { splitAddress } from '../transport/wire.js';
import { LOG_FORMATS } from '../transport/log-line.js';
import type { LogFormat } from '../transport/log-line.js';
import type { LogLevel } from '../transport/log.js';

/** Checked settings. */
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
  readonly lab: Lab | null;
};

/** Settings for trials only: switches for faults, meters. */
export type Lab = {
  readonly zones: Readonly<Record<string, string>>;
  readonly delayMs: Readonly<Record<string, number>>;
  readonly withoutPolicy?: string;
  readonly switches?: string;
  readonly tally?: { readonly file: string; readonly places: string };
};

/** A setting that does not fit, what was expected and what was found. */
export type SettingsError = { readonly key: string; readonly expected: string; readonly found: string };

function text(name: string, test: (text: string) => boolean): t.Type<string> {
  function is(value: unknown): value is string {
    return typeof value === 'string' && test(value);
  }
  function validate(value: unknown, context: t.Context): t.Validation<string> {
    return is(value) ? t.success(value) : t.failure(value, context);
  }
  function same(text: string): string {
    return text;
  }
  return new t.Type(name, is, validate, same);
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
function isFormat(text: string): boolean {
  return (LOG_FORMATS as readonly string[]).includes(text);
}
function isLevel(text: string): boolean {
  return ['silent', 'error', 'warn', 'info'].includes(text);
}

const Name = text('a name of letters, digits, dot, dash or underscore', isName);
const Address = text('an address such as 10.0.0.1:7100', isAddress);
const SHAPE: Readonly<Record<string, t.Mixed>> = {
  name: Name,
  zone: Name,
  region: Name,
  listen: Address,
  advertise: Address,
  http: Address,
  httpAdvertise: Address,
  seeds: t.array(Address, 'a list of addresses'),
  dataFolder: text('a folder', isPath),
  platform: Address,
  cloud: Address,
  logLevel: text('one of silent, error, warn, info', isLevel),
  logFormat: text('one of text, json', isFormat),
  lab: t.intersection(
    [
      t.type({ zones: t.record(t.string, t.string), delayMs: t.record(t.string, t.number) }),
      t.partial({ withoutPolicy: t.string, switches: t.string, tally: t.type({ file: t.string, places: t.string }) }),
    ],
    'a table with zones and delayMs',
  ),
};
const REQUIRED = ['name', 'zone', 'region', 'listen', 'http', 'seeds', 'platform'] as const;

function shown(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function parsedFile(path: string): Result<Record<string, unknown>, SettingsError> {
  let raw: string;
  try {
    raw = readFileSync(path, 'utf8');
  } catch {
    return err({ key: '--settings', expected: 'a readable file', found: JSON.stringify(path) });
  }
  try {
    const value: unknown = JSON.parse(raw);
    if (isTable(value)) return ok(value);
  } catch {
    return err({ key: '--settings', expected: 'a file of JSON', found: JSON.stringify(path) });
  }
  return err({ key: '--settings', expected: 'a JSON table', found: JSON.stringify(path) });
}

/** Which optional settings this role needs. */
export type SettingsNeeds = { readonly dataFolder: boolean; readonly cloud: boolean };

/** The settings, or every error in them. */
export function readSettings(
  file: string | undefined,
  flags: Readonly<Record<string, string | undefined>>,
  needs: SettingsNeeds,
): Result<NodeSettings, readonly SettingsError[]> {
  const faults: SettingsError[] = [];
  let all: Record<string, unknown> = {};
  if (file !== undefined) {
    const read = parsedFile(file);
    if (!read.ok) return err([read.error]);
    all = { ...read.value };
  }
  for (const [key, value] of Object.entries(flags)) {
    if (value === undefined) continue;
    all[key] = key === 'seeds' ? value.split(',') : value;
  }
  for (const key of Object.keys(all)) {
    const codec = Object.hasOwn(SHAPE, key) ? SHAPE[key] : undefined;
    if (!codec) faults.push({ key, expected: `one of ${Object.keys(SHAPE).join(', ')}`, found: shown(key) });
    else if (codec.decode(all[key])._tag === 'Left') faults.push({ key, expected: codec.name, found: shown(all[key]) });
  }
  for (const key of [...REQUIRED, ...(needs.dataFolder ? ['dataFolder'] : []), ...(needs.cloud ? ['cloud'] : [])]) {
    if (all[key] === undefined) faults.push({ key, expected: SHAPE[key]?.name ?? 'a value', found: 'nothing' });
  }
  const seeds = all['seeds'];
  if (Array.isArray(seeds) && (seeds.length < 1 || seeds.length > 9))
    faults.push({ key: 'seeds', expected: 'one to nine addresses, commonly three', found: shown(seeds) });
  if (faults.length > 0) return err(faults);
  const settings = all as Partial<NodeSettings> & Pick<NodeSettings, (typeof REQUIRED)[number]>;
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

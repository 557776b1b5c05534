/**
 * Validates an operator's configuration: zones; settings of the deployment, of regions and of models; routes
 * (`mappings`); and the served configuration. Called when an operator submits one. A configuration that passes is
 * complete and consistent in itself, so the code that applies it to the replicated state needs no further checks.
 */

import * as t from 'io-ts';
import { isJsonObject } from '../base/is-json-object.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Configuration, Settings } from '../state/configuration/settings-tree.js';
import { errorAt, validationErrors, isName, Name, Names, numberBetween, integerBetween } from './codecs.js';
import type { ConfigError } from './codecs.js';
import { readServing } from './serving.js';
import { ownValue } from '../base/own-value.js';

const SETTING_CODECS = {
  zones: Names,
  homes: t.record(t.string, Names, 'a table of lists of regions'),
  nExtra: integerBetween(0, 1_000),
  qTar: numberBetween(0.001, 1_000_000),
  windowS: integerBetween(5, 3_600),
  holdS: integerBetween(0, 86_400),
  minTarget: integerBetween(0, 10_000),
  maxTarget: integerBetween(0, 10_000),
  accelerators: t.readonlyArray(t.string, 'a list of accelerators'),
  workerUsageLimit: integerBetween(1, 10_000),
  lineLimit: integerBetween(0, 100_000),
  lineWaitMs: integerBetween(0, 600_000),
  requestDeadlineMs: integerBetween(100, 3_600_000),
  pieceWaitMs: integerBetween(100, 3_600_000),
  rampS: integerBetween(0, 3_600),
  retryShare: numberBetween(0, 1),
  maxBodyBytes: integerBetween(1_024, 64 * 1_048_576),
  scaled: t.boolean,
  launchTimeoutS: integerBetween(1, 86_400),
  drainS: integerBetween(0, 3_600),
} as const satisfies Record<keyof Settings, t.Mixed>;

const REGION_KEYS = { settings: true, models: true };
const TOP_LEVEL_KEYS = { zones: true, deployment: true, regions: true, mappings: true, serving: true };

/** Returns the configuration in a parsed document, or every error in it. */
export function readConfiguration(doc: unknown): Result<Configuration, readonly ConfigError[]> {
  const errors: ConfigError[] = [];
  function addError(path: readonly string[], expected: string, found: unknown): void {
    errors.push(errorAt(path, expected, found));
  }
  function check(path: readonly string[], codec: t.Mixed, value: unknown): void {
    errors.push(...validationErrors(path, codec, value));
  }
  function readTable(
    path: readonly string[],
    value: unknown,
    knownKeys: Readonly<Record<string, unknown>> | null,
  ): Record<string, unknown> {
    if (value === undefined) return {};
    if (!isJsonObject(value)) {
      addError(path, 'a table', value);
      return {};
    }
    for (const key of Object.keys(value)) {
      if (knownKeys && !Object.hasOwn(knownKeys, key))
        addError([...path, key], `one of ${Object.keys(knownKeys).join(', ')}`, key);
      if (!knownKeys && !isName(key)) addError([...path, key], Name.name, key);
    }
    return value;
  }
  function checkSettings(path: readonly string[], value: unknown): void {
    const values = readTable(path, value, SETTING_CODECS);
    for (const [key, codec] of Object.entries(SETTING_CODECS)) {
      if (Object.hasOwn(values, key)) check([...path, key], codec, ownValue(values, key));
    }
    if (Array.isArray(values['zones']))
      for (const zone of values['zones'])
        if (!zoneNames.has(String(zone))) addError([...path, 'zones'], 'zones named under /zones', zone);
    const homes = isJsonObject(values['homes']) ? values['homes'] : {};
    for (const [kind, allowedRegions] of Object.entries(homes)) {
      if (!Array.isArray(allowedRegions)) continue;
      if (allowedRegions.length === 0) addError([...path, 'homes', kind], 'at least one region', allowedRegions);
      for (const region of allowedRegions)
        if (!regionNames.has(String(region))) addError([...path, 'homes', kind], 'regions that hold a zone', region);
    }
    const minTarget = values['minTarget'];
    const maxTarget = values['maxTarget'];
    if (typeof minTarget === 'number' && typeof maxTarget === 'number' && minTarget > maxTarget)
      addError([...path, 'minTarget'], `at most maxTarget (${maxTarget})`, minTarget);
  }

  const top = readTable([], doc, TOP_LEVEL_KEYS);
  if (!isJsonObject(doc)) return err(errors);
  const zones = readTable(['zones'], top['zones'], null);
  const zoneNames = new Set(Object.keys(zones));
  const regionNames = new Set<string>();
  for (const [name, value] of Object.entries(zones)) {
    const zone = readTable(['zones', name], value, { region: true });
    if (isName(zone['region'])) regionNames.add(zone['region']);
    else addError(['zones', name, 'region'], Name.name, zone['region']);
  }
  checkSettings(['deployment'], top['deployment']);
  const regions = readTable(['regions'], top['regions'], null);
  const regionOfModel = new Map<string, string>();
  for (const [region, value] of Object.entries(regions)) {
    if (!regionNames.has(region)) addError(['regions', region], 'a region that holds a zone', region);
    const regionTable = readTable(['regions', region], value, REGION_KEYS);
    checkSettings(['regions', region, 'settings'], regionTable['settings']);
    const models = readTable(['regions', region, 'models'], regionTable['models'], null);
    for (const [model, modelSettings] of Object.entries(models)) {
      checkSettings(['regions', region, 'models', model], modelSettings);
      const otherRegion = regionOfModel.get(model);
      if (otherRegion)
        addError(['regions', region, 'models', model], `a model that is not also under ${otherRegion}`, model);
      regionOfModel.set(model, region);
    }
  }
  const routes = readTable(['mappings'], top['mappings'], null);
  for (const [name, value] of Object.entries(routes)) {
    const route = readTable(['mappings', name], value, { model: true, kind: true });
    if (!regionOfModel.has(String(route['model'])))
      addError(['mappings', name, 'model'], 'a model named under /regions', route['model']);
    if (route['kind'] !== undefined && typeof route['kind'] !== 'string')
      addError(['mappings', name, 'kind'], 'a kind of request', route['kind']);
  }
  if (top['serving'] !== undefined) {
    const serving = readServing(top['serving'], ['serving']);
    if (!serving.ok) errors.push(...serving.error);
  }
  if (errors.length > 0) return err(errors);
  return ok({
    ...(doc as Configuration),
    zones: zones as Configuration['zones'],
    deployment: top['deployment'] ?? {},
    regions: regions as Configuration['regions'],
  });
}

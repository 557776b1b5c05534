/**
 * Reads an operator's configuration: zones, settings by deployment, region and model, mappings,
 * and what is served. Called where operators submit one; a configuration that passes here is
 * complete and consistent in itself, so that what folds it needs no further checks.
 */

import * as t from 'io-ts';
import { isTable } from '../base/is-table.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Configuration, Settings } from '../state/configuration/settings-tree.js';
import { errorAt, errorsIn, isName, Name, Names, real, whole } from './codecs.js';
import type { ConfigError } from './codecs.js';
import { readServing } from './serving.js';

const SETTING_CODECS = {
  zones: Names,
  homes: t.record(t.string, Names, 'a table of lists of regions'),
  nExtra: whole(0, 1_000),
  qTar: real(0.001, 1_000_000),
  windowS: whole(5, 3_600),
  holdS: whole(0, 86_400),
  minTarget: whole(0, 10_000),
  maxTarget: whole(0, 10_000),
  accelerators: t.readonlyArray(t.string, 'a list of accelerators'),
  workerUsageLimit: whole(1, 10_000),
  lineLimit: whole(0, 100_000),
  lineWaitMs: whole(0, 600_000),
  requestDeadlineMs: whole(100, 3_600_000),
  pieceWaitMs: whole(100, 3_600_000),
  rampS: whole(0, 3_600),
  retryShare: real(0, 1),
  maxBodyBytes: whole(1_024, 64 * 1_048_576),
  scaled: t.boolean,
  launchTimeoutS: whole(1, 86_400),
  drainS: whole(0, 3_600),
} as const satisfies Record<keyof Settings, t.Mixed>;

const BranchShape = { settings: true, models: true };
const TopShape = { zones: true, deployment: true, regions: true, mappings: true, serving: true };

/** The configuration of a parsed document, or every fault in it. */
export function readConfiguration(doc: unknown): Result<Configuration, readonly ConfigError[]> {
  const faults: ConfigError[] = [];
  function addError(path: readonly string[], expected: string, found: unknown): void {
    faults.push(errorAt(path, expected, found));
  }
  function check(path: readonly string[], codec: t.Mixed, value: unknown): void {
    faults.push(...errorsIn(path, codec, value));
  }
  function table(
    path: readonly string[],
    value: unknown,
    known: Readonly<Record<string, unknown>> | null,
  ): Record<string, unknown> {
    if (value === undefined) return {};
    if (!isTable(value)) {
      addError(path, 'a table', value);
      return {};
    }
    for (const key of Object.keys(value)) {
      if (known && !Object.hasOwn(known, key)) addError([...path, key], `one of ${Object.keys(known).join(', ')}`, key);
      if (!known && !isName(key)) addError([...path, key], Name.name, key);
    }
    return value;
  }
  function settings(path: readonly string[], value: unknown): void {
    const at = table(path, value, SETTING_CODECS);
    for (const [key, codec] of Object.entries(SETTING_CODECS)) {
      if (Object.hasOwn(at, key)) check([...path, key], codec, at[key]);
    }
    if (Array.isArray(at['zones']))
      for (const zone of at['zones'])
        if (!zoneNames.has(String(zone))) addError([...path, 'zones'], 'zones named under /zones', zone);
    const homes = isTable(at['homes']) ? at['homes'] : {};
    for (const [kind, list] of Object.entries(homes)) {
      if (!Array.isArray(list)) continue;
      if (list.length === 0) addError([...path, 'homes', kind], 'at least one region', list);
      for (const region of list)
        if (!regionNames.has(String(region))) addError([...path, 'homes', kind], 'regions that hold a zone', region);
    }
    const low = at['minTarget'];
    const high = at['maxTarget'];
    if (typeof low === 'number' && typeof high === 'number' && low > high)
      addError([...path, 'minTarget'], `at most maxTarget (${high})`, low);
  }

  const top = table([], doc, TopShape);
  if (!isTable(doc)) return err(faults);
  const zones = table(['zones'], top['zones'], null);
  const zoneNames = new Set(Object.keys(zones));
  const regionNames = new Set<string>();
  for (const [name, value] of Object.entries(zones)) {
    const zone = table(['zones', name], value, { region: true });
    if (isName(zone['region'])) regionNames.add(zone['region']);
    else addError(['zones', name, 'region'], Name.name, zone['region']);
  }
  settings(['deployment'], top['deployment']);
  const regions = table(['regions'], top['regions'], null);
  const modelHome = new Map<string, string>();
  for (const [region, value] of Object.entries(regions)) {
    if (!regionNames.has(region)) addError(['regions', region], 'a region that holds a zone', region);
    const branch = table(['regions', region], value, BranchShape);
    settings(['regions', region, 'settings'], branch['settings']);
    const models = table(['regions', region, 'models'], branch['models'], null);
    for (const [model, own] of Object.entries(models)) {
      settings(['regions', region, 'models', model], own);
      const other = modelHome.get(model);
      if (other) addError(['regions', region, 'models', model], `a model that is not also under ${other}`, model);
      modelHome.set(model, region);
    }
  }
  const mappings = table(['mappings'], top['mappings'], null);
  for (const [name, value] of Object.entries(mappings)) {
    const mapping = table(['mappings', name], value, { model: true, kind: true });
    if (!modelHome.has(String(mapping['model'])))
      addError(['mappings', name, 'model'], 'a model named under /regions', mapping['model']);
    if (mapping['kind'] !== undefined && typeof mapping['kind'] !== 'string')
      addError(['mappings', name, 'kind'], 'a kind of request', mapping['kind']);
  }
  if (top['serving'] !== undefined) {
    const serving = readServing(top['serving'], ['serving']);
    if (!serving.ok) faults.push(...serving.error);
  }
  if (faults.length > 0) return err(faults);
  return ok({
    ...(doc as Configuration),
    zones: zones as Configuration['zones'],
    deployment: top['deployment'] ?? {},
    regions: regions as Configuration['regions'],
  });
}

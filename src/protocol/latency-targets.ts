/**
 * Validates an operator's file of service-level objectives (`aims`) against the configuration in force. Called by the
 * operators' commands. Never throws: each error names its path, what was expected and what was found.
 */

import * as t from 'io-ts';
import { isJsonObject } from '../base/is-json-object.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { LatencyTarget, Measure } from '../state/configuration/latency-target-report.js';
import { BUCKET_BOUNDS_MS } from '../state/configuration/latency-target-counts.js';
import type { Configuration } from '../state/configuration/settings-tree.js';
import type { ConfigError } from './codecs.js';

const MeasureCodec = t.keyof(
  { success: null, firstPiece: null, whole: null, changeInForce: null, shed: null },
  'one of success, firstPiece, whole, changeInForce, shed',
);
const TARGET_KEYS = ['name', 'measure', 'model', 'mapping', 'objective', 'withinMs', 'window'] as const;
const WINDOW_PATTERN = /^(\d+)(m|h)$/;
const MAX_WINDOW_MINUTES = 24 * 60;
const TIMED_MEASURES: readonly Measure[] = ['firstPiece', 'whole', 'changeInForce'];

function describeValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function parseWindowMinutes(value: unknown): number | null {
  const match = typeof value === 'string' ? WINDOW_PATTERN.exec(value) : null;
  if (!match) return null;
  const count = Number(match[1]) * (match[2] === 'h' ? 60 : 1);
  return count >= 1 && count <= MAX_WINDOW_MINUTES ? count : null;
}

/**
 * Returns the latency targets in a parsed document, or every error in it. Models and routes must exist in the
 * configuration.
 */
export function readLatencyTargets(
  doc: unknown,
  cfg: Configuration,
): Result<readonly LatencyTarget[], readonly ConfigError[]> {
  const errors: ConfigError[] = [];
  const targets: LatencyTarget[] = [];
  function addError(path: string, expected: string, found: unknown): void {
    errors.push({ path, expected, found: describeValue(found) });
  }
  const models = new Set<string>();
  for (const region of Object.values(cfg.regions))
    for (const model of Object.keys(region.models ?? {})) models.add(model);
  const routes = new Set(Object.keys(cfg.mappings ?? {}));
  const top = isJsonObject(doc) ? doc : {};
  for (const key of Object.keys(top)) if (key !== 'aims') addError(`/${key}`, 'aims', key);
  const documents = top['aims'];
  if (!Array.isArray(documents) || documents.length === 0) {
    addError('/aims', 'a list of aims', documents);
    return err(errors);
  }
  const seenNames = new Set<string>();
  for (let i = 0; i < documents.length; i += 1) {
    const targetPath = `/aims/${i}`;
    const target: unknown = documents[i];
    if (!isJsonObject(target)) {
      addError(targetPath, 'an aim', target);
      continue;
    }
    for (const key of Object.keys(target))
      if (!(TARGET_KEYS as readonly string[]).includes(key))
        addError(`${targetPath}/${key}`, `one of ${TARGET_KEYS.join(', ')}`, key);
    const { name, measure, model, mapping, objective, withinMs, window } = target;
    if (typeof name !== 'string' || name === '') addError(`${targetPath}/name`, 'a name', name);
    else if (seenNames.has(name)) addError(`${targetPath}/name`, 'a name that no other aim bears', name);
    else seenNames.add(name);
    const knownMeasure = MeasureCodec.is(measure) ? measure : null;
    if (!knownMeasure) addError(`${targetPath}/measure`, MeasureCodec.name, measure);
    if (knownMeasure === 'changeInForce') {
      if (model !== undefined)
        addError(`${targetPath}/model`, 'nothing, for changes are of the whole deployment', model);
      if (mapping !== undefined)
        addError(`${targetPath}/mapping`, 'nothing, for changes are of the whole deployment', mapping);
    } else {
      if ((model === undefined) === (mapping === undefined))
        addError(targetPath, 'either a model or a mapping', target);
      if (model !== undefined && !models.has(nameAsText(model)))
        addError(`${targetPath}/model`, `one of ${[...models].sort().join(', ')}`, model);
      if (mapping !== undefined && !routes.has(nameAsText(mapping)))
        addError(`${targetPath}/mapping`, `one of ${[...routes].sort().join(', ')}`, mapping);
    }
    if (typeof objective !== 'number' || objective <= 0 || objective > 1)
      addError(`${targetPath}/objective`, 'a share above 0, up to 1', objective);
    const isTimed = knownMeasure !== null && TIMED_MEASURES.includes(knownMeasure);
    if (isTimed && !(BUCKET_BOUNDS_MS as readonly unknown[]).includes(withinMs))
      addError(`${targetPath}/withinMs`, `one of ${BUCKET_BOUNDS_MS.join(', ')}`, withinMs);
    if (!isTimed && withinMs !== undefined)
      addError(`${targetPath}/withinMs`, 'nothing, for this measure has no time', withinMs);
    const minutes = parseWindowMinutes(window);
    if (minutes === null) addError(`${targetPath}/window`, 'minutes or hours up to 24h, such as 30m', window);
    targets.push({
      name: String(name),
      measure: knownMeasure ?? 'success',
      model: typeof model === 'string' ? model : null,
      mapping: typeof mapping === 'string' ? mapping : null,
      withinMs: typeof withinMs === 'number' ? withinMs : null,
      objective: Number(objective),
      windowMinutes: minutes ?? 0,
    });
  }
  return errors.length > 0 ? err(errors) : ok(targets);
}

// Returns a name as it was written: YAML parses a name of digits as a number.
function nameAsText(name: unknown): string {
  return typeof name === 'string' || typeof name === 'number' || typeof name === 'boolean' ? String(name) : '';
}

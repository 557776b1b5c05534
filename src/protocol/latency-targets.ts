/**
 * Reads an operator's file of service-level objectives ("aims") and checks it against the
 * configuration in force. Called by the operators' commands; never throws: each fault names
 * its path, what was expected and what was found.
 */

import * as t from 'io-ts';
import { isTable } from '../base/is-table.js';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { LatencyTarget, Measure } from '../state/configuration/latency-target-report.js';
import { BOUNDS_MS } from '../state/configuration/latency-target-counts.js';
import type { Configuration } from '../state/configuration/settings-tree.js';
import type { ConfigError } from './codecs.js';

const Measures = t.keyof(
  { success: null, firstPiece: null, whole: null, changeInForce: null, shed: null },
  'one of success, firstPiece, whole, changeInForce, shed',
);
const KEYS = ['name', 'measure', 'model', 'mapping', 'objective', 'withinMs', 'window'] as const;
const WINDOW = /^(\d+)(m|h)$/;
const MOST_MINUTES = 24 * 60;
const TIMED: readonly Measure[] = ['firstPiece', 'whole', 'changeInForce'];

function shown(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function minutesOf(value: unknown): number | null {
  const match = typeof value === 'string' ? WINDOW.exec(value) : null;
  if (!match) return null;
  const count = Number(match[1]) * (match[2] === 'h' ? 60 : 1);
  return count >= 1 && count <= MOST_MINUTES ? count : null;
}

/** The aims of a parsed document, or every fault in it; models and mappings must be those of the configuration. */
export function readLatencyTargets(
  doc: unknown,
  cfg: Configuration,
): Result<readonly LatencyTarget[], readonly ConfigError[]> {
  const faults: ConfigError[] = [];
  const out: LatencyTarget[] = [];
  function addError(path: string, expected: string, found: unknown): void {
    faults.push({ path, expected, found: shown(found) });
  }
  const models = new Set<string>();
  for (const branch of Object.values(cfg.regions))
    for (const model of Object.keys(branch.models ?? {})) models.add(model);
  const mappings = new Set(Object.keys(cfg.mappings ?? {}));
  const top = isTable(doc) ? doc : {};
  for (const key of Object.keys(top)) if (key !== 'aims') addError(`/${key}`, 'aims', key);
  const list = top['aims'];
  if (!Array.isArray(list) || list.length === 0) {
    addError('/aims', 'a list of aims', list);
    return err(faults);
  }
  const names = new Set<string>();
  for (let i = 0; i < list.length; i += 1) {
    const at = `/aims/${i}`;
    const target: unknown = list[i];
    if (!isTable(target)) {
      addError(at, 'an aim', target);
      continue;
    }
    for (const key of Object.keys(target))
      if (!(KEYS as readonly string[]).includes(key)) addError(`${at}/${key}`, `one of ${KEYS.join(', ')}`, key);
    const { name, measure, model, mapping, objective, withinMs, window } = target;
    if (typeof name !== 'string' || name === '') addError(`${at}/name`, 'a name', name);
    else if (names.has(name)) addError(`${at}/name`, 'a name that no other aim bears', name);
    else names.add(name);
    const measured = Measures.is(measure) ? measure : null;
    if (!measured) addError(`${at}/measure`, Measures.name, measure);
    if (measured === 'changeInForce') {
      if (model !== undefined) addError(`${at}/model`, 'nothing, for changes are of the whole deployment', model);
      if (mapping !== undefined) addError(`${at}/mapping`, 'nothing, for changes are of the whole deployment', mapping);
    } else {
      if ((model === undefined) === (mapping === undefined)) addError(at, 'either a model or a mapping', target);
      if (model !== undefined && !models.has(written(model)))
        addError(`${at}/model`, `one of ${[...models].sort().join(', ')}`, model);
      if (mapping !== undefined && !mappings.has(written(mapping)))
        addError(`${at}/mapping`, `one of ${[...mappings].sort().join(', ')}`, mapping);
    }
    if (typeof objective !== 'number' || objective <= 0 || objective > 1)
      addError(`${at}/objective`, 'a share above 0, up to 1', objective);
    const timed = measured !== null && TIMED.includes(measured);
    if (timed && !(BOUNDS_MS as readonly unknown[]).includes(withinMs))
      addError(`${at}/withinMs`, `one of ${BOUNDS_MS.join(', ')}`, withinMs);
    if (!timed && withinMs !== undefined) addError(`${at}/withinMs`, 'nothing, for this measure has no time', withinMs);
    const minutes = minutesOf(window);
    if (minutes === null) addError(`${at}/window`, 'minutes or hours up to 24h, such as 30m', window);
    out.push({
      name: String(name),
      measure: measured ?? 'success',
      model: typeof model === 'string' ? model : null,
      mapping: typeof mapping === 'string' ? mapping : null,
      withinMs: typeof withinMs === 'number' ? withinMs : null,
      objective: Number(objective),
      windowMinutes: minutes ?? 0,
    });
  }
  return faults.length > 0 ? err(faults) : ok(out);
}

// A name as written: YAML reads one of digits as a number.
function written(name: unknown): string {
  return typeof name === 'string' || typeof name === 'number' || typeof name === 'boolean' ? String(name) : '';
}

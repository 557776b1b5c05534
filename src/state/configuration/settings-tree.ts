/**
 * The configuration as a tree of settings, resolved from the most specific level upwards, and diffs between two trees.
 */
import { isJsonObject } from '../../base/is-json-object.js';
import type { ConfigurationChange } from '../consensus/entry.js';
import type { Serving } from './serving.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** Settings as given by an operator; each may be omitted. */
export type Settings = {
  readonly zones?: readonly string[];
  readonly homes?: Readonly<Record<string, readonly string[]>>;
  readonly nExtra?: number;
  readonly qTar?: number;
  readonly windowS?: number;
  readonly holdS?: number;
  readonly minTarget?: number;
  readonly maxTarget?: number;
  readonly accelerators?: readonly string[];
  readonly workerUsageLimit?: number;
  readonly lineLimit?: number;
  readonly lineWaitMs?: number;
  readonly requestDeadlineMs?: number;
  readonly pieceWaitMs?: number;
  readonly rampS?: number;
  readonly retryShare?: number;
  readonly maxBodyBytes?: number;
  readonly scaled?: boolean;
  readonly launchTimeoutS?: number;
  readonly drainS?: number;
};

/** The settings of a region and of its models. */
export type RegionSettings = { readonly settings?: Settings; readonly models?: Readonly<Record<string, Settings>> };

/** A name under which callers ask for a model. */
export type ModelRoute = { readonly model: string; readonly kind?: string };

/** Everything that operators configure. Field names are stored and sent, so they must not change. */
export type Configuration = {
  readonly zones: Readonly<Record<string, { readonly region: string }>>;
  readonly deployment: Settings;
  readonly regions: Readonly<Record<string, RegionSettings>>;
  readonly mappings?: Readonly<Record<string, ModelRoute>>;
  readonly serving?: Serving;
};

/** All settings of a model, each with its effective value. */
export type ResolvedSettings = {
  readonly zones: readonly string[];
  readonly homes: Readonly<Record<string, readonly string[]>>;
  readonly nExtra: number;
  readonly qTar: number;
  readonly windowS: number;
  readonly holdS: number;
  readonly minTarget: number;
  readonly maxTarget: number;
  readonly accelerators: readonly string[];
  readonly workerUsageLimit: number;
  readonly lineLimit: number;
  readonly lineWaitMs: number;
  readonly requestDeadlineMs: number;
  readonly pieceWaitMs: number;
  readonly rampS: number;
  readonly retryShare: number;
  readonly maxBodyBytes: number;
  readonly scaled: boolean;
  readonly launchTimeoutS: number;
  readonly drainS: number;
};

/** Default values, used for settings that no level gives. */
export const DEFAULT_SETTINGS: ResolvedSettings = {
  zones: [],
  homes: {},
  nExtra: 2,
  qTar: 1,
  windowS: 60,
  holdS: 600,
  minTarget: 1,
  maxTarget: 64,
  accelerators: ['any'],
  workerUsageLimit: 8,
  lineLimit: 64,
  lineWaitMs: 5_000,
  requestDeadlineMs: 120_000,
  pieceWaitMs: 10_000,
  rampS: 30,
  retryShare: 0.2,
  maxBodyBytes: 1_048_576,
  scaled: true,
  launchTimeoutS: 900,
  drainS: 60,
};

/** The level that a value comes from. */
export type SettingLevel = 'default' | 'deployment' | 'region' | 'model';
/** The level that each setting's value comes from. */
export type SettingLevels = Readonly<Record<keyof ResolvedSettings, SettingLevel>>;
/** A model's effective settings and the levels that they come from. */
export type ResolvedModel = {
  readonly model: string;
  readonly region: string;
  readonly values: ResolvedSettings;
  readonly levels: SettingLevels;
};

/** The configuration before the first change. */
export const EMPTY_CONFIGURATION: Configuration = { zones: {}, deployment: {}, regions: {} };

/** Returns the effective settings of a model in a region. */
export function resolveModel(cfg: Configuration, region: string, model: string): ResolvedModel {
  const regionSettings: RegionSettings = ownValue(cfg.regions, region) ?? {};
  const settingsByLevel: readonly (readonly [SettingLevel, Settings])[] = [
    ['model', ownValue(regionSettings.models, model) ?? {}],
    ['region', regionSettings.settings ?? {}],
    ['deployment', cfg.deployment],
    ['default', { ...DEFAULT_SETTINGS, zones: Object.keys(cfg.zones).sort() }],
  ];
  const values: Record<string, unknown> = {};
  const levels: Record<string, SettingLevel> = {};
  for (const key of Object.keys(DEFAULT_SETTINGS)) {
    for (const [level, settings] of settingsByLevel) {
      const value = settings[key as keyof Settings];
      if (value === undefined) continue;
      setOwnValue(values, key, value);
      setOwnValue(levels, key, level);
      break;
    }
  }
  return { model, region, values: values as unknown as ResolvedSettings, levels: levels as SettingLevels };
}

/** Returns the effective settings of all models, sorted by region and model. */
export function resolveAll(cfg: Configuration): ResolvedModel[] {
  const resolved: ResolvedModel[] = [];
  for (const region of Object.keys(cfg.regions).sort()) {
    for (const model of Object.keys(ownValue(cfg.regions, region)?.models ?? {}).sort())
      resolved.push(resolveModel(cfg, region, model));
  }
  return resolved;
}

/** Returns the changes that turn one tree into another, sorted by path. */
export function differences(from: unknown, to: unknown): ConfigurationChange[] {
  const changes: ConfigurationChange[] = [];
  function walk(path: readonly string[], before: unknown, after: unknown): void {
    if (isJsonObject(before) && isJsonObject(after)) {
      const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
      for (const key of [...keys].sort()) walk([...path, key], ownValue(before, key), ownValue(after, key));
      return;
    }
    if (JSON.stringify(before) === JSON.stringify(after)) return;
    changes.push(after === undefined ? { path: [...path] } : { path: [...path], value: after });
  }
  walk([], from, to);
  return changes;
}

/** A tree that applies changes in sequence. The initial tree is not modified; each object is copied at most once. */
class CopyOnWriteTree {
  private readonly copies = new Set<unknown>();

  constructor(private root: unknown) {}

  current(): unknown {
    return this.root;
  }

  apply({ path, value }: ConfigurationChange): void {
    const lastKey = path.at(-1);
    if (lastKey === undefined) {
      this.root = value;
      return;
    }
    const object = this.writableObjectAt(path.slice(0, -1));
    if (value === undefined) delete object[lastKey];
    else setOwnValue(object, lastKey, value);
  }

  /** Returns the object at the end of a path, as a copy that may be modified. */
  private writableObjectAt(path: readonly string[]): Record<string, unknown> {
    let object = this.writableCopy(this.root);
    this.root = object;
    for (const key of path) {
      const child = ownValue(object, key);
      const copy = this.writableCopy(child);
      if (copy !== child) setOwnValue(object, key, copy);
      object = copy;
    }
    return object;
  }

  private writableCopy(value: unknown): Record<string, unknown> {
    if (this.copies.has(value)) return value as Record<string, unknown>;
    const copy: Record<string, unknown> = isJsonObject(value) ? { ...value } : {};
    this.copies.add(copy);
    return copy;
  }
}

/** Returns the tree after the changes; `base` is not modified. */
export function withChanges(base: unknown, changes: readonly ConfigurationChange[]): unknown {
  const tree = new CopyOnWriteTree(base);
  for (const change of changes) tree.apply(change);
  return tree.current();
}

/**
 * Returns the changes that turn `withChanges(base, changes)` back into `base`. An object that a change removes from the
 * tree is not modified any more, so the result may refer to it without a copy.
 */
export function inverseChanges(base: unknown, changes: readonly ConfigurationChange[]): ConfigurationChange[] {
  const inverse: ConfigurationChange[] = [];
  const tree = new CopyOnWriteTree(base);
  for (const change of changes) {
    inverse.push(inverseChange(tree.current(), change.path));
    tree.apply(change);
  }
  return inverse.reverse();
}

function inverseChange(tree: unknown, path: readonly string[]): ConfigurationChange {
  let node = tree;
  for (let depth = 0; depth < path.length; depth += 1) {
    const prefix = path.slice(0, depth);
    if (!isJsonObject(node)) return depth === 0 ? { path: [], value: node } : { path: prefix, value: node };
    const key = path[depth] as string;
    if (!Object.hasOwn(node, key)) return { path: path.slice(0, depth + 1) };
    node = ownValue(node, key);
  }
  return { path: [...path], value: node };
}

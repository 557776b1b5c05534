/** The configuration as a tree of settings, resolved from the most specific level up, and changes between two trees. */
import { isTable } from '../../base/is-table.js';
import type { Change } from '../consensus/entry.js';
import type { Serving } from './serving.js';

/** Settings as an operator gives them; each may be left out. */
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

/** Settings of a region and of its models. */
export type Branch = { readonly settings?: Settings; readonly models?: Readonly<Record<string, Settings>> };

/** A name under which callers ask for a model. */
export type ModelRoute = { readonly model: string; readonly kind?: string };

/** All that operators configure. Field names are stored and on the wire. */
export type Configuration = {
  readonly zones: Readonly<Record<string, { readonly region: string }>>;
  readonly deployment: Settings;
  readonly regions: Readonly<Record<string, Branch>>;
  readonly mappings?: Readonly<Record<string, ModelRoute>>;
  readonly serving?: Serving;
};

/** All settings of a model, each with a value. */
export type Resolved = {
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

/** Values of settings that no level gives. */
export const DEFAULTS: Resolved = {
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

/** Where a value comes from. */
export type Level = 'default' | 'deployment' | 'region' | 'model';
/** The level of each value. */
export type Callers = Readonly<Record<keyof Resolved, Level>>;
/** A model's settings and where they come from. */
export type ResolvedModel = {
  readonly model: string;
  readonly region: string;
  readonly values: Resolved;
  readonly levels: Callers;
};

/** Before the first change. */
export const EMPTY_CONFIGURATION: Configuration = { zones: {}, deployment: {}, regions: {} };

/** The settings of a model in a region. */
export function resolveModel(cfg: Configuration, region: string, model: string): ResolvedModel {
  const branch = cfg.regions[region] ?? {};
  const tiers: readonly (readonly [Level, Settings])[] = [
    ['model', branch.models?.[model] ?? {}],
    ['region', branch.settings ?? {}],
    ['deployment', cfg.deployment],
    ['default', { ...DEFAULTS, zones: Object.keys(cfg.zones).sort() }],
  ];
  const values: Record<string, unknown> = {};
  const levels: Record<string, Level> = {};
  for (const key of Object.keys(DEFAULTS)) {
    for (const [level, settings] of tiers) {
      const value = settings[key as keyof Settings];
      if (value === undefined) continue;
      values[key] = value;
      levels[key] = level;
      break;
    }
  }
  return { model, region, values: values as unknown as Resolved, levels: levels as Callers };
}

/** The settings of all models. */
export function resolveAll(cfg: Configuration): ResolvedModel[] {
  const out: ResolvedModel[] = [];
  for (const region of Object.keys(cfg.regions).sort()) {
    for (const model of Object.keys(cfg.regions[region]?.models ?? {}).sort())
      out.push(resolveModel(cfg, region, model));
  }
  return out;
}

/** The changes that lead from one tree to another, in a fixed order. */
export function differences(from: unknown, to: unknown): Change[] {
  const out: Change[] = [];
  function walk(path: readonly string[], first: unknown, second: unknown): void {
    if (isTable(first) && isTable(second)) {
      const keys = new Set([...Object.keys(first), ...Object.keys(second)]);
      for (const key of [...keys].sort()) walk([...path, key], own(first, key), own(second, key));
      return;
    }
    if (JSON.stringify(first) === JSON.stringify(second)) return;
    out.push(second === undefined ? { path: [...path] } : { path: [...path], value: second });
  }
  walk([], from, to);
  return out;
}

function own(tree: Record<string, unknown>, key: string): unknown {
  return Object.hasOwn(tree, key) ? tree[key] : undefined;
}

/** The tree after these changes; `base` is left as it is. */
export function withChanges(base: unknown, changes: readonly Change[]): unknown {
  const copies = new Set<unknown>();
  function copied(at: unknown): Record<string, unknown> {
    if (copies.has(at)) return at as Record<string, unknown>;
    const made: Record<string, unknown> = isTable(at) ? { ...at } : {};
    copies.add(made);
    return made;
  }
  let root = base;
  for (const change of changes) {
    if (change.path.length === 0) {
      root = change.value;
      continue;
    }
    let at = copied(root);
    root = at;
    for (const step of change.path.slice(0, -1)) {
      const down = own(at, step);
      const made = copied(down);
      if (made !== down) define(at, step, made);
      at = made;
    }
    const leaf = change.path[change.path.length - 1] as string;
    if (change.value === undefined) delete at[leaf];
    else define(at, leaf, change.value);
  }
  return root;
}

/** The changes that lead from `withChanges(base, changes)` back to `base`. */
export function changesBack(base: unknown, changes: readonly Change[]): Change[] {
  const back: Change[] = [];
  let tree = base;
  for (const change of changes) {
    back.push(changeBack(tree, change.path));
    tree = withChanges(tree, [change]);
  }
  return back.reverse();
}

function changeBack(tree: unknown, path: readonly string[]): Change {
  let at = tree;
  for (let depth = 0; depth < path.length; depth += 1) {
    const here = path.slice(0, depth);
    if (!isTable(at)) return depth === 0 ? { path: [], value: at } : { path: here, value: at };
    const step = path[depth] as string;
    if (!Object.hasOwn(at, step)) return { path: path.slice(0, depth + 1) };
    at = at[step];
  }
  return { path: [...path], value: at };
}

function define(at: Record<string, unknown>, key: string, value: unknown): void {
  Object.defineProperty(at, key, { value, writable: true, enumerable: true, configurable: true });
}

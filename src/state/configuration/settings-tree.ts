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

/** A tree that takes changes one after the other; the one it began with is left as it is, each table copied once. */
class ChangedTree {
  private readonly copies = new Set<unknown>();

  constructor(private root: unknown) {}

  tree(): unknown {
    return this.root;
  }

  apply({ path, value }: Change): void {
    const leaf = path.at(-1);
    if (leaf === undefined) {
      this.root = value;
      return;
    }
    const at = this.copiedTo(path.slice(0, -1));
    if (value === undefined) delete at[leaf];
    else define(at, leaf, value);
  }

  /** The table at the end of a path, which may be changed. */
  private copiedTo(path: readonly string[]): Record<string, unknown> {
    let at = this.copied(this.root);
    this.root = at;
    for (const step of path) {
      const down = own(at, step);
      const made = this.copied(down);
      if (made !== down) define(at, step, made);
      at = made;
    }
    return at;
  }

  private copied(at: unknown): Record<string, unknown> {
    if (this.copies.has(at)) return at as Record<string, unknown>;
    const made: Record<string, unknown> = isTable(at) ? { ...at } : {};
    this.copies.add(made);
    return made;
  }
}

/** The tree after these changes; `base` is left as it is. */
export function withChanges(base: unknown, changes: readonly Change[]): unknown {
  const changed = new ChangedTree(base);
  for (const change of changes) changed.apply(change);
  return changed.tree();
}

/**
 * The changes that lead from `withChanges(base, changes)` back to `base`. A table that a change takes out of the tree is
 * not changed any more, so it may stand in the result as it is.
 */
export function changesBack(base: unknown, changes: readonly Change[]): Change[] {
  const back: Change[] = [];
  const changed = new ChangedTree(base);
  for (const change of changes) {
    back.push(changeBack(changed.tree(), change.path));
    changed.apply(change);
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

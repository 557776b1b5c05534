/**
 * Size and configuration of a simulated fleet. `zones` maps zones to regions, `delayMs` a pair of zones (`a|b`) to the
 * one-way delay, `homesOfKind` a kind of request to the regions that may serve it. `fixed` is a model with a fixed
 * number of workers per zone, which the scaler does not manage.
 */
export type FleetShape = {
  readonly zones: Readonly<Record<string, string>>;
  readonly delayMs: Readonly<Record<string, number>>;
  readonly proxies: Readonly<Record<string, number>>;
  readonly machines: Readonly<Record<string, number>>;
  readonly fixed: { readonly model: string; readonly perZone: number };
  readonly streamModels: readonly string[];
  readonly kind: string | null;
  readonly homesOfKind: Readonly<Record<string, readonly string[]>>;
  readonly perSecond: number;
  readonly prices: Readonly<Record<string, { readonly spot: number; readonly onDemand: number }>>;
  readonly configuration: Readonly<Record<string, unknown>>;
  readonly ringFileBytes?: number;
};

const CARD_HOMES = ['hungary', 'austria'];
const KUTFO_NET = {
  zones: { 'hu-1': 'hungary', 'at-1': 'austria', 'ro-1': 'romania' },
  delayMs: { 'hu-1|at-1': 9, 'hu-1|ro-1': 14, 'at-1|ro-1': 19 },
  prices: {
    'hu-1': { spot: 1, onDemand: 3.2 },
    'at-1': { spot: 1.2, onDemand: 3.6 },
    'ro-1': { spot: 0.9, onDemand: 3 },
  },
  fixed: { model: 'card-gateway', perZone: 1 },
  kind: 'card',
  homesOfKind: { card: CARD_HOMES },
} as const;
const KUTFO_ZONES = { 'hu-1': { region: 'hungary' }, 'at-1': { region: 'austria' }, 'ro-1': { region: 'romania' } };
const CARD_GATEWAY = { scaled: false, rampS: 0, workerUsageLimit: 64, lineWaitMs: 1500, homes: { card: CARD_HOMES } };

/** The smallest fleet, which most tests use. */
export const SMALL: FleetShape = {
  ...KUTFO_NET,
  proxies: { 'hu-1': 1, 'at-1': 1, 'ro-1': 1 },
  machines: { 'hu-1': 3, 'at-1': 3, 'ro-1': 3 },
  streamModels: ['summary'],
  perSecond: 5,
  configuration: {
    zones: KUTFO_ZONES,
    deployment: { nExtra: 1, rampS: 3 },
    regions: { hungary: { models: { summary: { minTarget: 2 }, 'card-gateway': CARD_GATEWAY } } },
  },
};

/** Three zones with two proxies each, on the same network as `SMALL`. */
export const KUTFO: FleetShape = {
  ...KUTFO_NET,
  proxies: { 'hu-1': 2, 'at-1': 2, 'ro-1': 2 },
  machines: { 'hu-1': 9, 'at-1': 6, 'ro-1': 6 },
  streamModels: ['fraud-summary', 'driver-notes'],
  perSecond: 10,
  ringFileBytes: 256 * 1024,
  configuration: {
    zones: KUTFO_ZONES,
    deployment: { nExtra: 2, rampS: 5 },
    regions: {
      hungary: { models: { 'fraud-summary': { minTarget: 4 }, 'card-gateway': CARD_GATEWAY } },
      austria: { models: { 'driver-notes': { minTarget: 5 } } },
    },
  },
};

/** Three zones with seven proxies, without models that are bound to home regions. */
export const TELAR: FleetShape = {
  zones: { 'bog-1': 'cundinamarca', 'med-1': 'antioquia', 'cal-1': 'valle' },
  delayMs: { 'bog-1|med-1': 5, 'bog-1|cal-1': 6, 'med-1|cal-1': 7 },
  prices: {
    'bog-1': { spot: 1, onDemand: 3.1 },
    'med-1': { spot: 0.95, onDemand: 3 },
    'cal-1': { spot: 1.05, onDemand: 3.3 },
  },
  fixed: { model: 'shop-front', perZone: 1 },
  kind: null,
  homesOfKind: {},
  proxies: { 'bog-1': 3, 'med-1': 2, 'cal-1': 2 },
  machines: { 'bog-1': 8, 'med-1': 6, 'cal-1': 6 },
  streamModels: ['listings', 'replies'],
  perSecond: 12,
  ringFileBytes: 256 * 1024,
  configuration: {
    zones: { 'bog-1': { region: 'cundinamarca' }, 'med-1': { region: 'antioquia' }, 'cal-1': { region: 'valle' } },
    deployment: { nExtra: 2, qTar: 1.5, rampS: 5 },
    regions: {
      cundinamarca: {
        models: { listings: { minTarget: 4 }, 'shop-front': { scaled: false, rampS: 0, workerUsageLimit: 64 } },
      },
      antioquia: { models: { replies: { minTarget: 5 } } },
    },
  },
};

/** Fleets by the name that the tools accept. */
export const SHAPES = { small: SMALL, kutfo: KUTFO, telar: TELAR } as const;
/** Name of a fleet in the options of a chaos run, which uses `small` by default, and in `--shape` of tools/soak.mjs. */
export type ShapeName = keyof typeof SHAPES;

/** Describes the site that scenarios and soak runs play on. */
import { CALLER_LIMITS, MAPPING_DEFAULTS, MODEL_DEFAULTS, documentToWire } from './document.js';
import type { CallerLimits, ModelRoute, Model } from './document.js';
import type { RequestSpec } from './caller.js';
import { REQUEST_DEFAULTS } from './caller.js';
import type { EngineSpec } from './worker-spec.js';
import { ENGINE_DEFAULTS } from './worker-spec.js';

/** Workers of one model in each zone. */
export type WorkerGroup = {
  readonly model: string;
  readonly count: number;
  readonly capacity: number;
  readonly queue: number;
  readonly maxConns: number;
  readonly workMs: number;
  readonly coldRateS: number;
  readonly engine: EngineSpec | null;
};

/** Memory and descriptors of a machine. */
export type MachineLimits = { readonly memoryMb: number; readonly maxFds: number };

/** The zones, nodes, workers, configuration and request types of a test site. */
export type Shape = {
  readonly zones: Readonly<Record<string, string>>;
  readonly edgesPerZone: number;
  readonly listLagMs: number;
  readonly groups: readonly WorkerGroup[];
  readonly mappings: readonly ModelRoute[];
  readonly models: readonly Model[];
  readonly requestTypes: readonly RequestSpec[];
  /** Limits of each machine and of callers, where they differ from the usual ones. */
  readonly machineLimits?: MachineLimits;
  readonly callerLimits?: Partial<CallerLimits>;
};

/** The host name of all requests. */
export const HOST = 'ficu95.example';

const LLM = 'huvo11a';
const WEB = 'wuno96b';
const ZONES = { 'szeged-a': 'hu-south', 'wien-2': 'at-east', 'timis-1': 'ro-west' };

function route(name: string, model: string, overrides: Partial<ModelRoute>): ModelRoute {
  return {
    ...MAPPING_DEFAULTS,
    name: `r-${name}`,
    host: HOST,
    prefix: `/${name}/`,
    kind: 'once',
    shares: [{ model, share: 1 }],
    ...overrides,
  };
}
function requestType(name: string, overrides: Partial<RequestSpec>): RequestSpec {
  return { ...REQUEST_DEFAULTS, host: HOST, path: `/${name}/2f`, kind: 'once', ...overrides };
}

/** Three zones in three regions, with one proxy and three workers in each. */
export const SMALL_SITE: Shape = {
  zones: ZONES,
  edgesPerZone: 1,
  listLagMs: 800,
  groups: [
    {
      model: LLM,
      count: 2,
      capacity: 64,
      queue: 192,
      maxConns: 360,
      workMs: 20,
      coldRateS: 10,
      engine: ENGINE_DEFAULTS,
    },
    { model: WEB, count: 1, capacity: 6, queue: 24, maxConns: 96, workMs: 40, coldRateS: 0, engine: null },
  ],
  mappings: [
    route('case', LLM, { kind: 'stream', deadlineMs: 5_000, rank: 1, attempts: 1, pinned: true }),
    route('review', LLM, { kind: 'stream', deadlineMs: 15_000, aimMs: 800, pinned: true, resumable: true }),
    route('home', LLM, { kind: 'stream', deadlineMs: 5_000, pinned: true, homes: ['hu-south'] }),
    route('explain', WEB, { kind: 'repeatable', aimMs: 400, rank: 2 }),
    route('book', WEB, { kind: 'once', aimMs: 400, rank: 1 }),
  ],
  models: [
    { ...MODEL_DEFAULTS, name: LLM, maxConns: 360, coldS: 3, coldRateS: 10, engine: { batch: 64, kvTokens: 226_940 } },
    { ...MODEL_DEFAULTS, name: WEB, maxConns: 96 },
  ],
  requestTypes: [
    requestType('case', {
      kind: 'stream',
      deadlineMs: 5_000,
      tokens: '1460,200',
      prefix: '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
      bytes: 4_000,
    }),
    requestType('review', {
      kind: 'stream',
      resumable: true,
      deadlineMs: 15_000,
      aimMs: 800,
      tokens: '826,400',
      prefix: '77e0aa01:198,0c4d5e6f:628',
      bytes: 1_700,
    }),
    requestType('home', {
      kind: 'stream',
      deadlineMs: 5_000,
      tokens: '826,120',
      prefix: '11e0aa01:198,1c4d5e6f:628',
      bytes: 1_700,
    }),
    requestType('explain', { kind: 'repeatable', aimMs: 400 }),
    requestType('book', { aimMs: 400, chunked: true }),
  ],
};

/** The configuration document of a site, as version `number`. */
export function configurationOf(shape: Shape, number: number): Record<string, unknown> {
  const { mappings, models, callerLimits } = shape;
  return documentToWire({ number, mappings, models, limits: { ...CALLER_LIMITS, ...callerLimits } });
}

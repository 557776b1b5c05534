/** The smallest site on which peers that do not behave are played: one controller, one proxy, one ordinary worker. */
import type { RequestSpec } from '../caller.js';
import { MAPPING_DEFAULTS, MODEL_DEFAULTS } from '../document.js';
import type { ModelRoute } from '../document.js';
import { SMALL_SITE } from '../shape.js';
import type { Shape } from '../shape.js';
import type { Site, SiteNode } from '../site.js';

/** What each process of the site may use at the most, and the largest body of a caller. */
export type OverloadLimits = { readonly memoryMb: number; readonly maxFds: number; readonly bodyBytes: number };

/** So few descriptors that connections are what a crowd runs out of first. */
export const OVERLOAD_LIMITS: OverloadLimits = { memoryMb: 256, maxFds: 512, bodyBytes: 1_048_576 };
/** As many descriptors as a machine of the users has, so that a crowd may hold many connections. */
export const MANY_CONNECTIONS_LIMITS: OverloadLimits = { ...OVERLOAD_LIMITS, maxFds: 4_100, bodyBytes: 4 * 1_048_576 };

/** The model that the faulty worker serves. */
export const FAULTY_MODEL = 'faulty';
/** Path prefixes of the routes to the faulty worker. */
export const FAULTY_PATH = { once: '/faulty-once/', stream: '/faulty-stream/' } as const;
/** Path of a request to the ordinary worker. */
export const ORDINARY_PATH = '/book/2f';
/** The host name of all routes. */
export const ROUTE_HOST = 'ficu95.example';

const ZONE = 'szeged-a';
const ORDINARY_MODEL = 'wuno96b';
const FAULTY_DEADLINE_MS = 3_500;

function faultyRoute(name: string, prefix: string, kind: ModelRoute['kind']): ModelRoute {
  return {
    ...MAPPING_DEFAULTS,
    name,
    host: ROUTE_HOST,
    prefix,
    kind,
    deadlineMs: FAULTY_DEADLINE_MS,
    shares: [{ model: FAULTY_MODEL, share: 1 }],
  };
}

const OVERLOAD_SHAPE: Shape = {
  ...SMALL_SITE,
  zones: { [ZONE]: 'hu-south' },
  groups: SMALL_SITE.groups.filter((group) => group.model === ORDINARY_MODEL),
  mappings: [
    ...SMALL_SITE.mappings.filter((route) => route.shares.every((share) => share.model === ORDINARY_MODEL)),
    faultyRoute('r-faulty-once', FAULTY_PATH.once, 'once'),
    faultyRoute('r-faulty-stream', FAULTY_PATH.stream, 'stream'),
  ],
  models: [
    { ...MODEL_DEFAULTS, name: ORDINARY_MODEL },
    { ...MODEL_DEFAULTS, name: FAULTY_MODEL },
  ],
  requestTypes: SMALL_SITE.requestTypes.filter((request) => request.path === ORDINARY_PATH),
};

/** The shape of the site, with the limits lowered, so that a small crowd exceeds them. */
export function overloadShape({ memoryMb, maxFds, bodyBytes }: OverloadLimits): Shape {
  return { ...OVERLOAD_SHAPE, machineLimits: { memoryMb, maxFds }, callerLimits: { bodyBytes } };
}

/** An ordinary request of an ordinary caller. */
export function ordinaryRequest(): RequestSpec {
  return OVERLOAD_SHAPE.requestTypes[0] as RequestSpec;
}

/** The zone of all nodes and workers. */
export function zoneName(): string {
  return ZONE;
}

/** Returns the only process of the role. */
export function nodeOf(site: Site, role: 'proxy' | 'controller'): SiteNode {
  return site.nodes.find((node) => node.core === (role === 'controller')) as SiteNode;
}

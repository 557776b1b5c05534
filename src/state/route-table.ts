/**
 * Routes of opaque requests: the route of a host with the longest path prefix that fits. Built
 * anew from each served configuration.
 */

import type { RouteMapping, ModelTraits, Serving } from './serving.js';

/** A route by its name. */
export type MatchedRoute = { readonly name: string; readonly mapping: RouteMapping };

/** Finds routes, and the traits of models. */
export type RouteTable = {
  readonly serving: Serving;
  readonly match: (host: string, path: string) => MatchedRoute | null;
  readonly traits: (model: string) => ModelTraits | null;
};

/** The table of one configuration. */
export function createRouteTable(serving: Serving): RouteTable {
  const hosts = new Map<string, Map<string, MatchedRoute>>();
  for (const [name, mapping] of Object.entries(serving.mappings)) {
    const host = mapping.host.toLowerCase();
    const of = hosts.get(host) ?? new Map<string, MatchedRoute>();
    hosts.set(host, of);
    of.set(mapping.prefix, { name, mapping });
  }

  function match(host: string, path: string): MatchedRoute | null {
    const of = hosts.get(bare(host));
    if (!of) return null;
    for (let cut = path.lastIndexOf('/'); cut >= 0; cut = cut === 0 ? -1 : path.lastIndexOf('/', cut - 1)) {
      const found = of.get(path.slice(0, cut + 1));
      if (found) return found;
    }
    return null;
  }
  function traits(model: string): ModelTraits | null {
    return Object.hasOwn(serving.models, model) ? (serving.models[model] as ModelTraits) : null;
  }
  return { serving, match, traits };
}

function bare(host: string): string {
  const at = host.lastIndexOf(':');
  return (at > 0 && /^\d+$/.test(host.slice(at + 1)) ? host.slice(0, at) : host).toLowerCase();
}

/**
 * Routes of opaque requests: the route of a host with the longest path prefix that fits. Built
 * anew from each served configuration.
 */

import type { RouteSettings, ModelTraits, Serving } from './serving.js';

/** A route by its name. */
export type MatchedRoute = { readonly name: string; readonly settings: RouteSettings };

/** Finds routes, and the traits of models. */
export interface RouteTable {
  readonly serving: Serving;
  match(host: string, path: string): MatchedRoute | null;
  traits(model: string): ModelTraits | null;
}

class PrefixRouteTable implements RouteTable {
  private readonly hosts = new Map<string, Map<string, MatchedRoute>>();

  constructor(readonly serving: Serving) {
    for (const [name, settings] of Object.entries(this.serving.mappings)) {
      const host = settings.host.toLowerCase();
      const routes = this.hosts.get(host) ?? new Map<string, MatchedRoute>();
      this.hosts.set(host, routes);
      routes.set(settings.prefix, { name, settings });
    }
  }

  match(host: string, path: string): MatchedRoute | null {
    const routes = this.hosts.get(bare(host));
    if (!routes) return null;
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const found = routes.get(path.slice(0, end + 1));
      if (found) return found;
    }
    return null;
  }

  traits(model: string): ModelTraits | null {
    return Object.hasOwn(this.serving.models, model) ? (this.serving.models[model] as ModelTraits) : null;
  }
}

/** The table of one configuration. */
export function createRouteTable(serving: Serving): RouteTable {
  return new PrefixRouteTable(serving);
}

function bare(host: string): string {
  const at = host.lastIndexOf(':');
  return (at > 0 && /^\d+$/.test(host.slice(at + 1)) ? host.slice(0, at) : host).toLowerCase();
}

/**
 * Routing of opaque requests: selects the route with the request's host and the longest matching path prefix. Rebuilt
 * for each served configuration.
 */

import type { RouteSettings, ModelTraits, Serving } from './serving.js';
import { ownValue } from '../../base/own-value.js';

/** A route and its name. */
export type MatchedRoute = { readonly name: string; readonly settings: RouteSettings };

/** Looks up routes and the traits of models. */
export interface RouteTable {
  readonly serving: Serving;
  match(host: string, path: string): MatchedRoute | null;
  traits(model: string): ModelTraits | null;
}

class PrefixRouteTable implements RouteTable {
  private readonly routesByHost = new Map<string, Map<string, MatchedRoute>>();

  constructor(readonly serving: Serving) {
    for (const [name, settings] of Object.entries(this.serving.mappings)) {
      const host = settings.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? new Map<string, MatchedRoute>();
      this.routesByHost.set(host, routes);
      routes.set(settings.prefix, { name, settings });
    }
  }

  match(host: string, path: string): MatchedRoute | null {
    const routes = this.routesByHost.get(hostWithoutPort(host));
    if (!routes) return null;
    for (let slash = path.lastIndexOf('/'); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
      const route = routes.get(path.slice(0, slash + 1));
      if (route) return route;
    }
    return null;
  }

  traits(model: string): ModelTraits | null {
    return Object.hasOwn(this.serving.models, model) ? (ownValue(this.serving.models, model) as ModelTraits) : null;
  }
}

/** Creates the route table of a served configuration. */
export function createRouteTable(serving: Serving): RouteTable {
  return new PrefixRouteTable(serving);
}

function hostWithoutPort(host: string): string {
  const colon = host.lastIndexOf(':');
  return (colon > 0 && /^\d+$/.test(host.slice(colon + 1)) ? host.slice(0, colon) : host).toLowerCase();
}

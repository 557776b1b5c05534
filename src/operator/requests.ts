/** The requests that operator commands send to a controller (docs/http.md). */
import type { ConfigurationChange } from '../state/consensus/entry.js';

/** Method, path and JSON body of a request. */
export type CoreRequest = {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
};

/** Reads the configuration linearizably. */
export function readConfigurationRequest(): CoreRequest {
  return { method: 'GET', path: '/v1/configuration' };
}
/** Reads what the requested controller knows of nodes and members. */
export function statusRequest(): CoreRequest {
  return { method: 'GET', path: '/v1/status' };
}
/** Reads orders, of one model or of all. */
export function ordersRequest(model?: string): CoreRequest {
  return { method: 'GET', path: model === undefined ? '/v1/orders' : `/v1/orders?model=${encodeURIComponent(model)}` };
}
/** Reads entries of the replicated log, starting at a slot. */
export function ledgerRequest(from: string): CoreRequest {
  return { method: 'GET', path: `/v1/ledger?from=${encodeURIComponent(from)}` };
}
/** Reads the counts that latency targets are evaluated on, for the last `minutes` minutes. */
export function latencyTargetsRequest(minutes: number): CoreRequest {
  return { method: 'GET', path: `/v1/aims?minutes=${minutes}` };
}
/** Replaces the configuration of version `base`; `operation` makes a retry safe. */
export function replaceConfigurationRequest(base: number, configuration: unknown, operation: string): CoreRequest {
  return { method: 'POST', path: '/v1/configuration', body: { base, configuration, operation } };
}
/** Changes single values of the configuration of version `base`. */
export function amendConfigurationRequest(
  base: number,
  changes: readonly ConfigurationChange[],
  operation: string,
): CoreRequest {
  return { method: 'POST', path: '/v1/configuration/amend', body: { base, changes, operation } };
}
/** Evacuates a zone or takes it into use again. */
export function zoneRequest(zone: string, command: 'evacuate' | 'restore', operation: string): CoreRequest {
  return { method: 'POST', path: `/v1/zones/${encodeURIComponent(zone)}/${command}`, body: { operation } };
}
/** Removes a proxy that will not come back from those that must confirm changes. */
export function removeProxyRequest(proxy: string): CoreRequest {
  return { method: 'DELETE', path: `/v1/proxies/${encodeURIComponent(proxy)}` };
}
/** Accepts run-once requests again after the claims were lost. */
export function reopenClaimsRequest(): CoreRequest {
  return { method: 'POST', path: '/v1/claims/reopen', body: {} };
}
/** Bootstraps the replicated log on these blank controllers. */
export function bootstrapRequest(members: readonly string[]): CoreRequest {
  return { method: 'POST', path: '/v1/bootstrap', body: { members } };
}

/** Splits a path such as `deployment/lineLimit` into its keys. */
export function splitPath(path: string): string[] {
  return path.split('/').filter(Boolean);
}

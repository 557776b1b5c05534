import type { Change } from '../state/consensus/entry.js';

export type CoreRequest = {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
};

export function readRequest(): CoreRequest {
  return { method: 'GET', path: '/v1/configuration' };
}
export function statusRequest(): CoreRequest {
  return { method: 'GET', path: '/v1/status' };
}
export function ordersRequest(model?: string): CoreRequest {
  return { method: 'GET', path: model === undefined ? '/v1/orders' : `/v1/orders?model=${encodeURIComponent(model)}` };
}
export function ledgerRequest(from: string): CoreRequest {
  return { method: 'GET', path: `/v1/ledger?from=${encodeURIComponent(from)}` };
}
export function latencyTargetsRequest(minutes: number): CoreRequest {
  return { method: 'GET', path: `/v1/aims?minutes=${minutes}` };
}
export function applyRequest(base: number, configuration: unknown, operation: string): CoreRequest {
  return { method: 'POST', path: '/v1/configuration', body: { base, configuration, operation } };
}
export function amendRequest(base: number, changes: readonly Change[], operation: string): CoreRequest {
  return { method: 'POST', path: '/v1/configuration/amend', body: { base, changes, operation } };
}
export function zoneRequest(zone: string, command: 'evacuate' | 'restore', operation: string): CoreRequest {
  return { method: 'POST', path: `/v1/zones/${encodeURIComponent(zone)}/${command}`, body: { operation } };
}
export function forgetRequest(proxy: string): CoreRequest {
  return { method: 'DELETE', path: `/v1/proxies/${encodeURIComponent(proxy)}` };
}
export function reopenRequest(): CoreRequest {
  return { method: 'POST', path: '/v1/claims/reopen', body: {} };
}
export function bootstrapRequest(members: readonly string[]): CoreRequest {
  return { method: 'POST', path: '/v1/bootstrap', body: { members } };
}

export function placeOf(path: string): string[] {
  return path.split('/').filter(Boolean);
}

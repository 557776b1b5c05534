import type { Change } from '../state/entry.js';

export type CoreAsk = { readonly method: 'GET' | 'POST' | 'DELETE'; readonly path: string; readonly body?: unknown };

export function readAsk(): CoreAsk {
  return { method: 'GET', path: '/v1/configuration' };
}
export function statusAsk(): CoreAsk {
  return { method: 'GET', path: '/v1/status' };
}
export function ordersAsk(model?: string): CoreAsk {
  return { method: 'GET', path: model === undefined ? '/v1/orders' : `/v1/orders?model=${encodeURIComponent(model)}` };
}
export function ledgerAsk(from: string): CoreAsk {
  return { method: 'GET', path: `/v1/ledger?from=${encodeURIComponent(from)}` };
}
export function aimsAsk(minutes: number): CoreAsk {
  return { method: 'GET', path: `/v1/aims?minutes=${minutes}` };
}
export function applyAsk(base: number, configuration: unknown, operation: string): CoreAsk {
  return { method: 'POST', path: '/v1/configuration', body: { base, configuration, operation } };
}
export function amendAsk(base: number, changes: readonly Change[], operation: string): CoreAsk {
  return { method: 'POST', path: '/v1/configuration/amend', body: { base, changes, operation } };
}
export function zoneAsk(zone: string, act: 'evacuate' | 'restore', operation: string): CoreAsk {
  return { method: 'POST', path: `/v1/zones/${encodeURIComponent(zone)}/${act}`, body: { operation } };
}
export function forgetAsk(proxy: string): CoreAsk {
  return { method: 'DELETE', path: `/v1/proxies/${encodeURIComponent(proxy)}` };
}
export function reopenAsk(): CoreAsk {
  return { method: 'POST', path: '/v1/claims/reopen', body: {} };
}
export function foundAsk(members: readonly string[]): CoreAsk {
  return { method: 'POST', path: '/v1/bootstrap', body: { members } };
}

export function placeOf(path: string): string[] {
  return path.split('/').filter(Boolean);
}

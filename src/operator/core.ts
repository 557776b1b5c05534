/** The controllers' HTTP interface as the operator's commands use it: one address after the other until one answers. */
import type { HttpClient } from '../transport/http.js';
import type { Address } from '../transport/wire.js';
import type { CoreRequest } from './requests.js';
import { readRequest } from './requests.js';

/** Status and parsed body of an HTTP response. */
export type CoreAnswer = { readonly status: number; readonly body: unknown };

/** Calls to the controllers. A call gives null if none answers, and the last 503 if all answer that. */
export type Core = {
  readonly addresses: readonly Address[];
  readonly request: (message: CoreRequest) => Promise<CoreAnswer | null>;
  readonly requestAt: (address: Address, message: CoreRequest, waitMs?: number) => Promise<CoreAnswer | null>;
  readonly version: () => Promise<number | null>;
};

const WAIT_MS = 12_000;

/** Calls to these addresses, in their order; each waits 12 s at most. */
export function createCore(addresses: readonly Address[], httpClient: HttpClient): Core {
  async function request(coreRequest: CoreRequest): Promise<CoreAnswer | null> {
    let last: CoreAnswer | null = null;
    for (const address of addresses) {
      const response = await requestAt(address, coreRequest);
      if (!response) continue;
      last = response;
      if (last.status !== 503) return last;
    }
    return last;
  }
  async function requestAt(address: Address, coreRequest: CoreRequest, waitMs = WAIT_MS): Promise<CoreAnswer | null> {
    const response = await httpClient.call({ ...coreRequest, address, timeoutMs: waitMs });
    return response.ok ? { status: response.value.status, body: response.value.body } : null;
  }
  async function version(): Promise<number | null> {
    const response = await request(readRequest());
    const attempt = response?.status === 200 ? (response.body as { readonly version?: unknown }).version : null;
    return typeof attempt === 'number' ? attempt : null;
  }
  return { addresses, request, requestAt, version };
}

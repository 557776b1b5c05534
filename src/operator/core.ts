/** Client of the controllers' HTTP interface for operator commands; tries the addresses in order until one responds. */
import type { HttpClient } from '../transport/http.js';
import type { Address } from '../transport/wire.js';
import type { CoreRequest } from './requests.js';
import { readConfigurationRequest } from './requests.js';

/** Status and parsed body of an HTTP response. */
export type CoreResponse = { readonly status: number; readonly body: unknown };

/**
 * Requests to the controllers. Each returns null if no controller responds, and the last response if all responses have
 * status 503.
 */
export type CoreClient = {
  readonly addresses: readonly Address[];
  readonly request: (message: CoreRequest) => Promise<CoreResponse | null>;
  readonly requestAt: (address: Address, message: CoreRequest, timeoutMs?: number) => Promise<CoreResponse | null>;
  readonly version: () => Promise<number | null>;
};

const REQUEST_TIMEOUT_MS = 12_000;

/** Returns a client that tries these addresses in order; the timeout of each request is 12 s. */
export function createCoreClient(addresses: readonly Address[], httpClient: HttpClient): CoreClient {
  async function request(message: CoreRequest): Promise<CoreResponse | null> {
    let lastResponse: CoreResponse | null = null;
    for (const address of addresses) {
      const response = await requestAt(address, message);
      if (!response) continue;
      lastResponse = response;
      if (lastResponse.status !== 503) return lastResponse;
    }
    return lastResponse;
  }
  async function requestAt(
    address: Address,
    message: CoreRequest,
    requestTimeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<CoreResponse | null> {
    const response = await httpClient.call({ ...message, address, timeoutMs: requestTimeoutMs });
    return response.ok ? { status: response.value.status, body: response.value.body } : null;
  }
  async function version(): Promise<number | null> {
    const response = await request(readConfigurationRequest());
    const version = response?.status === 200 ? (response.body as { readonly version?: unknown }).version : null;
    return typeof version === 'number' ? version : null;
  }
  return { addresses, request, requestAt, version };
}

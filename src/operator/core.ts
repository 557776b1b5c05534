import type { HttpClient } from '../transport/http.js';
import type { Address } from '../transport/wire.js';
import type { CoreRequest } from './asks.js';
import { readRequest } from './asks.js';

export type CoreAnswer = { readonly status: number; readonly body: unknown };

export type Core = {
  readonly addresses: readonly Address[];
  readonly request: (message: CoreRequest) => Promise<CoreAnswer | null>;
  readonly requestAt: (address: Address, message: CoreRequest, waitMs?: number) => Promise<CoreAnswer | null>;
  readonly version: () => Promise<number | null>;
};

const WAIT_MS = 12_000;

export function createCore(addresses: readonly Address[], httpClient: HttpClient): Core {
  async function request(a: CoreRequest): Promise<CoreAnswer | null> {
    let last: CoreAnswer | null = null;
    for (const address of addresses) {
      const got = await requestAt(address, a);
      if (!got) continue;
      last = got;
      if (last.status !== 503) return last;
    }
    return last;
  }
  async function requestAt(address: Address, a: CoreRequest, waitMs = WAIT_MS): Promise<CoreAnswer | null> {
    const got = await httpClient.call({ ...a, address, timeoutMs: waitMs });
    return got.ok ? { status: got.value.status, body: got.value.body } : null;
  }
  async function version(): Promise<number | null> {
    const got = await request(readRequest());
    const n = got?.status === 200 ? (got.body as { readonly version?: unknown }).version : null;
    return typeof n === 'number' ? n : null;
  }
  return { addresses, request, requestAt, version };
}

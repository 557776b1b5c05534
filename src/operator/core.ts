import type { HttpClient } from '../transport/http.js';
import type { Address } from '../transport/wire.js';
import type { CoreAsk } from './asks.js';
import { readAsk } from './asks.js';

export type CoreAnswer = { readonly status: number; readonly body: unknown };

export type Core = {
  readonly addresses: readonly Address[];
  readonly ask: (ask: CoreAsk) => Promise<CoreAnswer | null>;
  readonly askAt: (address: Address, ask: CoreAsk, waitMs?: number) => Promise<CoreAnswer | null>;
  readonly version: () => Promise<number | null>;
};

const WAIT_MS = 12_000;

export function createCore(addresses: readonly Address[], httpClient: HttpClient): Core {
  async function ask(a: CoreAsk): Promise<CoreAnswer | null> {
    let last: CoreAnswer | null = null;
    for (const address of addresses) {
      const got = await askAt(address, a);
      if (!got) continue;
      last = got;
      if (last.status !== 503) return last;
    }
    return last;
  }
  async function askAt(address: Address, a: CoreAsk, waitMs = WAIT_MS): Promise<CoreAnswer | null> {
    const got = await httpClient.call({ ...a, address, timeoutMs: waitMs });
    return got.ok ? { status: got.value.status, body: got.value.body } : null;
  }
  async function version(): Promise<number | null> {
    const got = await ask(readAsk());
    const n = got?.status === 200 ? (got.body as { readonly version?: unknown }).version : null;
    return typeof n === 'number' ? n : null;
  }
  return { addresses, ask, askAt, version };
}

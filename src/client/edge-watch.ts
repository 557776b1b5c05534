/** Health checks of the proxy that serves a request, so that a dead one is noticed before the request's deadline. */
import { EDGE_HEALTH_PATH } from '../protocol/caller-wire.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Address } from '../transport/wire.js';

/** A watch of one proxy; `stop` ends it. */
export type EdgeWatch = { readonly follow: (proxy: Address, onDown: () => void) => () => void };

const LOOK_MS = 1_000;
const SILENCES_DARK = 3;

/** Watches a proxy and calls `onDown` once it has missed several probes. */
export function createEdgeWatch(httpClient: HttpClient, clock: Clock): EdgeWatch {
  const followers = new Map<Address, Set<() => void>>();

  async function probe(proxy: Address, set: Set<() => void>): Promise<void> {
    let missedProbes = 0;
    for (;;) {
      await delay(clock, LOOK_MS);
      if (set.size === 0) break;
      const response = await httpClient.call({
        method: 'GET',
        address: proxy,
        path: EDGE_HEALTH_PATH,
        timeoutMs: LOOK_MS,
      });
      missedProbes = response.ok ? 0 : missedProbes + 1;
      if (missedProbes < SILENCES_DARK) continue;
      for (const callback of [...set]) callback();
      break;
    }
    if (followers.get(proxy) === set) followers.delete(proxy);
  }

  function follow(proxy: Address, onDown: () => void): () => void {
    const have = followers.get(proxy);
    const set = have ?? new Set<() => void>();
    set.add(onDown);
    if (!have) {
      followers.set(proxy, set);
      void probe(proxy, set);
    }
    function leave(): void {
      set.delete(onDown);
    }
    return leave;
  }
  return { follow };
}

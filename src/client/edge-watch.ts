/** Probes the proxy that serves a request, so that a proxy failure is detected before the request's deadline. */
import { PROXY_HEALTH_PATH } from '../protocol/caller-wire.js';
import { delay } from '../transport/clock.js';
import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Address } from '../transport/wire.js';

/** Probes proxies while requests run there. The function that `follow` returns stops the watch. */
export type ProxyWatch = { readonly follow: (proxy: Address, onDown: () => void) => () => void };

/** Delay before each probe, and also the timeout of one. */
const PROBE_INTERVAL_MS = 1_000;
const MAX_MISSED_PROBES = 3;

/** Creates a watch that calls `onDown` once a proxy has missed several probes in a row. */
export function createProxyWatch(httpClient: HttpClient, clock: Clock): ProxyWatch {
  const callbacksByProxy = new Map<Address, Set<() => void>>();

  async function probeUntilDown(proxy: Address, callbacks: Set<() => void>): Promise<void> {
    let missedProbes = 0;
    for (;;) {
      await delay(clock, PROBE_INTERVAL_MS);
      if (callbacks.size === 0) break;
      const response = await httpClient.call({
        method: 'GET',
        address: proxy,
        path: PROXY_HEALTH_PATH,
        timeoutMs: PROBE_INTERVAL_MS,
      });
      missedProbes = response.ok ? 0 : missedProbes + 1;
      if (missedProbes < MAX_MISSED_PROBES) continue;
      for (const callback of [...callbacks]) callback();
      break;
    }
    if (callbacksByProxy.get(proxy) === callbacks) callbacksByProxy.delete(proxy);
  }

  function follow(proxy: Address, onDown: () => void): () => void {
    const existing = callbacksByProxy.get(proxy);
    const callbacks = existing ?? new Set<() => void>();
    callbacks.add(onDown);
    if (!existing) {
      callbacksByProxy.set(proxy, callbacks);
      void probeUntilDown(proxy, callbacks);
    }
    function stopWatching(): void {
      callbacks.delete(onDown);
    }
    return stopWatching;
  }
  return { follow };
}

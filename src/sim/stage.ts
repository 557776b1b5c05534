import type { CallerCounts } from '../standin/caller.js';
import type { HttpAnswer, HttpError } from '../transport/http.js';
import type { Result } from '../base/result.js';
import type { SimFleet } from './sim-fleet.js';

export type Told = { recoverMs: number | null; facts: Record<string, number | string | boolean> };
export type Stage = {
  readonly fleet: SimFleet;
  readonly told: Told;
  readonly expect: (rule: string, held: boolean, detail: string) => void;
};
export type Play = (stage: Stage) => Promise<void>;

export function share(t: CallerCounts | null, what: string): number {
  let all = 0;
  let hit = 0;
  for (const [key, count] of Object.entries(t ?? {})) {
    all += count;
    if (key.includes(what)) hit += count;
  }
  return all === 0 ? 0 : hit / all;
}

export function statusOf(result: Result<HttpAnswer, HttpError>): number {
  return result.ok ? result.value.status : 0;
}
export function versionOf(result: Result<HttpAnswer, HttpError>): number {
  return result.ok ? ((result.value.body as { readonly version?: number } | null)?.version ?? -1) : -1;
}
export function waitingOf(result: Result<HttpAnswer, HttpError>): readonly string[] {
  return result.ok ? ((result.value.body as { readonly waiting?: readonly string[] } | null)?.waiting ?? []) : [];
}

export function amend(
  simFleet: SimFleet,
  at: number,
  base: number,
  value: number,
  operation?: string,
): Promise<Result<HttpAnswer, HttpError>> {
  return simFleet.operator(at, 'POST', '/v1/configuration/amend', {
    base,
    changes: [{ path: ['deployment', 'lineLimit'], value }],
    ...(operation ? { operation } : {}),
  });
}
export async function versionAt(simFleet: SimFleet, at: number): Promise<number> {
  return versionOf(await simFleet.operator(at, 'GET', '/v1/configuration'));
}

export async function servesAgain(stage: Stage, limitMs: number, zone: string): Promise<void> {
  const { fleet } = stage;
  const from = fleet.world.now();
  const seen = fleet.records.length;
  const probe = fleet.traffic({
    zone,
    seconds: limitMs / 1_000,
    perSecond: 5,
    maxRetries: 0,
    name: `probe-${zone}-${from}`,
  });
  function success(): boolean {
    return firstSuccess() !== null;
  }
  function firstSuccess(): number | null {
    for (let i = seen; i < fleet.records.length; i += 1) {
      const r = fleet.records[i];
      if (r?.['who'] === 'caller' && r['result'] === 'success' && String(r['caller']).startsWith('probe'))
        return r['at'] as number;
    }
    return null;
  }
  await fleet.until(limitMs + 5_000, success);
  const at = firstSuccess();
  stage.told.recoverMs = at === null ? null : Math.round(at - from);
  stage.expect('serveAgain', at !== null && at - from <= limitMs, `first success after ${stage.told.recoverMs} ms`);
  await fleet.finish(probe, 200_000);
}

export function namesIn(simFleet: SimFleet, zone: string): string[] {
  const out: string[] = [];
  for (const host of simFleet.world.hosts()) if (host.zone === zone) out.push(host.name);
  return out;
}

export async function reclaimAll(fleet: SimFleet, remainingMs: number): Promise<() => boolean> {
  const gone = new Set<string>();
  for (const simController of fleet.controllers) {
    for (const order of Object.values(simController.controller?.ledger.controlState().orders ?? {}))
      if (order.machine !== null) gone.add(order.machine);
  }
  for (const machine of gone)
    await fleet.call({
      method: 'POST',
      address: fleet.cloudAddress,
      path: '/lab/reclaim',
      body: { machine, remainingMs },
    });
  function replaced(): boolean {
    for (const simController of fleet.controllers) {
      for (const order of Object.values(simController.controller?.ledger.controlState().orders ?? {}))
        if (order.machine !== null && gone.has(order.machine)) return false;
    }
    return fleet.allReady();
  }
  return replaced;
}

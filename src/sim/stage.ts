import type { CallerTally } from '../standin/caller.js';
import type { HttpAnswer, HttpFault } from '../transport/http.js';
import type { Result } from '../base/result.js';
import type { SimFleet } from './sim-fleet.js';

export type Told = { recoverMs: number | null; facts: Record<string, number | string | boolean> };
export type Stage = {
  readonly fleet: SimFleet;
  readonly told: Told;
  readonly expect: (rule: string, held: boolean, detail: string) => void;
};
export type Play = (s: Stage) => Promise<void>;

export function share(t: CallerTally | null, what: string): number {
  let all = 0;
  let hit = 0;
  for (const [k, n] of Object.entries(t ?? {})) {
    all += n;
    if (k.includes(what)) hit += n;
  }
  return all === 0 ? 0 : hit / all;
}

export function statusOf(r: Result<HttpAnswer, HttpFault>): number {
  return r.ok ? r.value.status : 0;
}
export function versionOf(r: Result<HttpAnswer, HttpFault>): number {
  return r.ok ? ((r.value.body as { readonly version?: number } | null)?.version ?? -1) : -1;
}
export function waitingOf(r: Result<HttpAnswer, HttpFault>): readonly string[] {
  return r.ok ? ((r.value.body as { readonly waiting?: readonly string[] } | null)?.waiting ?? []) : [];
}

export function amend(
  f: SimFleet,
  at: number,
  base: number,
  value: number,
  operation?: string,
): Promise<Result<HttpAnswer, HttpFault>> {
  return f.operator(at, 'POST', '/v1/configuration/amend', {
    base,
    changes: [{ path: ['deployment', 'lineLimit'], value }],
    ...(operation ? { operation } : {}),
  });
}
export async function versionAt(f: SimFleet, at: number): Promise<number> {
  return versionOf(await f.operator(at, 'GET', '/v1/configuration'));
}

export async function servesAgain(s: Stage, limitMs: number, zone: string): Promise<void> {
  const { fleet } = s;
  const from = fleet.world.now();
  const seen = fleet.records.length;
  const probe = fleet.traffic({
    zone,
    seconds: limitMs / 1_000,
    perSecond: 5,
    patience: 0,
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
  s.told.recoverMs = at === null ? null : Math.round(at - from);
  s.expect('serveAgain', at !== null && at - from <= limitMs, `first success after ${s.told.recoverMs} ms`);
  await fleet.finish(probe, 200_000);
}

export function namesIn(f: SimFleet, zone: string): string[] {
  const out: string[] = [];
  for (const h of f.world.hosts()) if (h.zone === zone) out.push(h.name);
  return out;
}

export async function reclaimAll(fleet: SimFleet, remainingMs: number): Promise<() => boolean> {
  const gone = new Set<string>();
  for (const h of fleet.controllers) {
    for (const o of Object.values(h.controller?.ledger.controlState().orders ?? {}))
      if (o.machine !== null) gone.add(o.machine);
  }
  for (const machine of gone)
    await fleet.call({
      method: 'POST',
      address: fleet.cloudAddress,
      path: '/lab/reclaim',
      body: { machine, remainingMs },
    });
  function replaced(): boolean {
    for (const h of fleet.controllers) {
      for (const o of Object.values(h.controller?.ledger.controlState().orders ?? {}))
        if (o.machine !== null && gone.has(o.machine)) return false;
    }
    return fleet.allReady();
  }
  return replaced;
}

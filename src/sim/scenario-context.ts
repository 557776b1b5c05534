/** What all scenarios use: the context that they run in, and helpers to call operators and to wait for recovery. */
import type { CallerCounts } from '../standin/caller.js';
import type { HttpAnswer, HttpError } from '../transport/http.js';
import type { Result } from '../base/result.js';
import type { SimFleet } from './sim-fleet.js';

/** What a scenario reports: the time until recovery, and named figures that are printed. */
export type ScenarioReport = { recoverMs: number | null; facts: Record<string, number | string | boolean> };
/** Context of a scenario; `expect` records a violation of a rule unless the condition is met. */
export type ScenarioContext = {
  readonly fleet: SimFleet;
  readonly told: ScenarioReport;
  readonly expect: (rule: string, isMet: boolean, detail: string) => void;
};
/** Runs one scenario on a started fleet. */
export type Scenario = (context: ScenarioContext) => Promise<void>;

/** Share of the calls in a tally whose label contains this text. */
export function outcomeShare(tally: CallerCounts | null, label: string): number {
  let total = 0;
  let matching = 0;
  for (const [key, count] of Object.entries(tally ?? {})) {
    total += count;
    if (key.includes(label)) matching += count;
  }
  return total === 0 ? 0 : matching / total;
}

/** HTTP status of a response; 0 if there was none. */
export function statusOf(result: Result<HttpAnswer, HttpError>): number {
  return result.ok ? result.value.status : 0;
}
/** Configuration version in a response; -1 if there is none. */
export function versionOf(result: Result<HttpAnswer, HttpError>): number {
  return result.ok ? ((result.value.body as { readonly version?: number } | null)?.version ?? -1) : -1;
}
/** Proxies that have not confirmed a change, as listed in a response. */
export function unconfirmedProxies(result: Result<HttpAnswer, HttpError>): readonly string[] {
  return result.ok ? ((result.value.body as { readonly waiting?: readonly string[] } | null)?.waiting ?? []) : [];
}

/** Changes the `lineLimit` setting at one controller. */
export function amendLineLimit(
  simFleet: SimFleet,
  controllerIndex: number,
  base: number,
  value: number,
  operation?: string,
): Promise<Result<HttpAnswer, HttpError>> {
  return simFleet.operator(controllerIndex, 'POST', '/v1/configuration/amend', {
    base,
    changes: [{ path: ['deployment', 'lineLimit'], value }],
    ...(operation ? { operation } : {}),
  });
}
/** Reads the configuration version at one controller. */
export async function readVersion(simFleet: SimFleet, controllerIndex: number): Promise<number> {
  return versionOf(await simFleet.operator(controllerIndex, 'GET', '/v1/configuration'));
}

/** Expects that requests from a zone succeed within a time limit, and reports the time until the first success. */
export async function expectServesAgain(context: ScenarioContext, limitMs: number, zone: string): Promise<void> {
  const { fleet } = context;
  const from = fleet.world.now();
  const recordCount = fleet.records.length;
  const probe = fleet.traffic({
    zone,
    seconds: limitMs / 1_000,
    perSecond: 5,
    maxRetries: 0,
    name: `probe-${zone}-${from}`,
  });
  function hasSuccess(): boolean {
    return firstSuccess() !== null;
  }
  function firstSuccess(): number | null {
    for (let i = recordCount; i < fleet.records.length; i += 1) {
      const record = fleet.records[i];
      if (
        record?.['who'] === 'caller' &&
        record['result'] === 'success' &&
        String(record['caller']).startsWith('probe')
      )
        return record['at'] as number;
    }
    return null;
  }
  await fleet.until(limitMs + 5_000, hasSuccess);
  const at = firstSuccess();
  context.told.recoverMs = at === null ? null : Math.round(at - from);
  context.expect('serveAgain', at !== null && at - from <= limitMs, `first success after ${context.told.recoverMs} ms`);
  await fleet.runUntilSettled(probe, 200_000);
}

/** Names of all hosts in a zone. */
export function hostNamesIn(simFleet: SimFleet, zone: string): string[] {
  const out: string[] = [];
  for (const host of simFleet.world.hosts()) if (host.zone === zone) out.push(host.name);
  return out;
}

/** Lets the cloud reclaim all ordered machines; the returned function tells whether all are replaced. */
export async function reclaimAllMachines(fleet: SimFleet, remainingMs: number): Promise<() => boolean> {
  const reclaimed = new Set<string>();
  for (const simController of fleet.controllers) {
    for (const order of Object.values(simController.controller?.ledger.controlState().orders ?? {}))
      if (order.machine !== null) reclaimed.add(order.machine);
  }
  for (const machine of reclaimed)
    await fleet.call({
      method: 'POST',
      address: fleet.cloudAddress,
      path: '/lab/reclaim',
      body: { machine, remainingMs },
    });
  function isReplaced(): boolean {
    for (const simController of fleet.controllers) {
      for (const order of Object.values(simController.controller?.ledger.controlState().orders ?? {}))
        if (order.machine !== null && reclaimed.has(order.machine)) return false;
    }
    return fleet.allReady();
  }
  return isReplaced;
}

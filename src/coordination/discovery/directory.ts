/** The proxy directory: selects the proxies for a caller from the reports that proxies send to controllers. */
import { hash32 } from '../../base/digest.js';
import type { Reports } from '../../state/distribution/reports.js';
import type { Serving } from '../../state/configuration/serving.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';

/** The last report of a proxy, and the milliseconds since the last contact with it. */
export type ProxyStatus = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly http: Address;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly sinceContactMs: number;
};

/** A caller: the host that it requests, its zone and its region. */
export type Caller = { readonly host: string; readonly zone: string; readonly region: string };

/**
 * Times (milliseconds) and limits of the directory. A proxy without contact for `contactTimeoutMs` is considered down,
 * and for `forgetAfterMs` gone for good. `warmUpMs` is how long a new controller waits for first reports, and
 * `maxAddresses` limits an answer. If less than `minZoneFraction` of the known proxies of a zone is left, its callers
 * are sent to the whole region.
 */
export type DirectoryTuning = {
  readonly contactTimeoutMs: number;
  readonly forgetAfterMs: number;
  /** How long after its last report a proxy that was told to stop is expected to be back. */
  readonly restartTimeoutMs: number;
  readonly warmUpMs: number;
  readonly maxAddresses: number;
  readonly minZoneFraction: number;
};

/** The default tuning. */
export const DIRECTORY_TUNING: DirectoryTuning = {
  contactTimeoutMs: 2_000,
  forgetAfterMs: 30_000,
  restartTimeoutMs: 5_000,
  warmUpMs: 700,
  maxAddresses: 64,
  minZoneFraction: 0.5,
};

type RankedAddress = { readonly http: Address; readonly rank: number };

/** Addresses for a caller; `lasting` if all are ready proxies of its own region, so that it need not ask again soon. */
export type DirectoryAnswer = { readonly addresses: Address[]; readonly lasting: boolean };

/** Regions to which a caller is sent when its own region has no ready proxy. */
export type FallbackRegions = {
  /** The only regions in which requests bound to homes may be handled; empty if the host has no homes. */
  readonly homes: readonly string[];
  /** Other regions, in order of preference. */
  readonly others: readonly string[];
};

/**
 * Returns the ready proxies of the caller's zone; those of its region if too few proxies of the zone are left; those of
 * the host's homes if the region has none. For a host with homes, draining proxies there, which still accept requests,
 * are preferred to proxies of any other region. While all proxies of the homes restart in an orderly way, the answer is
 * empty and the caller asks again. Proxies outside the homes are returned only if a proxy there was lost without
 * announcing it, or if none is expected back there.
 */
export function addressesFor(
  reported: readonly ProxyStatus[],
  caller: Caller,
  fallback: FallbackRegions,
  tuning: DirectoryTuning = DIRECTORY_TUNING,
): DirectoryAnswer {
  const reachable = reported.filter(isReachable);
  const candidates = reachable.length > 0 ? reachable : reported.filter(isReady);
  const selected = selectProxies();
  const lasting = selected.length > 0 && selected.every(isLasting);
  return { addresses: selectAddresses(selected, caller, tuning.maxAddresses), lasting };

  function isLasting(proxy: ProxyStatus): boolean {
    return proxy.ready && proxy.region === caller.region;
  }

  function isReady(proxy: ProxyStatus): boolean {
    return proxy.ready;
  }
  function isReachable(proxy: ProxyStatus): boolean {
    return proxy.ready && proxy.sinceContactMs <= tuning.contactTimeoutMs;
  }
  function inZone(proxy: ProxyStatus): boolean {
    return proxy.zone === caller.zone && proxy.region === caller.region;
  }
  function isKnownInZone(proxy: ProxyStatus): boolean {
    return inZone(proxy) && proxy.sinceContactMs <= tuning.forgetAfterMs;
  }
  function selectProxies(): readonly ProxyStatus[] {
    const inOwnZone = candidates.filter(inZone);
    if (inOwnZone.length > 0 && inOwnZone.length >= tuning.minZoneFraction * reported.filter(isKnownInZone).length)
      return inOwnZone;
    const allowed = [caller.region, ...fallback.homes];
    const atHome = firstRegion(candidates, allowed);
    if (atHome) return atHome;
    if (fallback.homes.length > 0) {
      const draining = firstRegion(reported.filter(isDraining), allowed);
      if (draining) return draining;
      if (isOrderlyRestart(allowed)) return [];
    }
    return firstRegion(candidates, fallback.others) ?? candidates;
  }
  function isOrderlyRestart(regions: readonly string[]): boolean {
    const known = reported.filter(isKnownInRegions);
    return known.some(isExpectedBack) && !known.some(isLost);

    function isKnownInRegions(proxy: ProxyStatus): boolean {
      return regions.includes(proxy.region) && proxy.sinceContactMs <= tuning.forgetAfterMs;
    }
  }
  function isExpectedBack(proxy: ProxyStatus): boolean {
    return !proxy.ready && proxy.sinceContactMs <= tuning.restartTimeoutMs;
  }
  function isLost(proxy: ProxyStatus): boolean {
    return proxy.ready && proxy.sinceContactMs > tuning.contactTimeoutMs;
  }
  function isDraining(proxy: ProxyStatus): boolean {
    return proxy.draining && proxy.sinceContactMs <= tuning.contactTimeoutMs;
  }
}

function firstRegion(proxies: readonly ProxyStatus[], regions: readonly string[]): readonly ProxyStatus[] | null {
  for (const region of regions) {
    const found: ProxyStatus[] = [];
    for (const proxy of proxies) if (proxy.region === region) found.push(proxy);
    if (found.length > 0) return found;
  }
  return null;
}

function selectAddresses(proxies: readonly ProxyStatus[], caller: Caller, maxAddresses: number): Address[] {
  const ranked: RankedAddress[] = [];
  for (const proxy of proxies)
    ranked.push({ http: proxy.http, rank: hash32(`${caller.host} ${caller.zone} ${proxy.name}`) });
  ranked.sort(byRank);
  const addresses: Address[] = [];
  for (const proxy of ranked.slice(0, maxAddresses)) addresses.push(proxy.http);
  return addresses;
}
function byRank(left: RankedAddress, right: RankedAddress): number {
  return left.rank - right.rank;
}

/** The newest report of each proxy, the time of the last contact with it, and of the first contact with any proxy. */
export type ProxyReports = {
  readonly reports: () => Reports;
  readonly lastContactAt: (name: string) => number | null;
  readonly firstContactAt: () => number | null;
};

/** Answers lookups of proxies. */
export interface Directory {
  addressesFor(caller: Caller): DirectoryAnswer;
}

/** Returns the serving settings in force, or null if the controller does not know them yet. */
export type ServingInForce = () => Serving | null;

/**
 * Returns the regions in which requests for a host may be handled: the homes of its routes, those shared by the most
 * routes first; empty if no route has homes.
 */
export function homesOf(serving: Serving | null, host: string): readonly string[] {
  const counts = new Map<string, number>();
  for (const mapping of Object.values(serving?.mappings ?? {})) {
    if (mapping.host !== host) continue;
    for (const region of mapping.homes) counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  const regions = [...counts].sort(compareMostSharedFirst);
  return regions.map(regionOf);
}
function compareMostSharedFirst(left: readonly [string, number], right: readonly [string, number]): number {
  return right[1] - left[1];
}
function regionOf(entry: readonly [string, number]): string {
  return entry[0];
}

class ReportedDirectory implements Directory {
  constructor(
    private readonly reported: ProxyReports,
    private readonly serving: ServingInForce,
    private readonly region: string,
    private readonly clock: Clock,
    private readonly tuning: DirectoryTuning = DIRECTORY_TUNING,
  ) {}

  private proxyStatuses(now: number): ProxyStatus[] {
    const statuses: ProxyStatus[] = [];
    for (const report of this.reported.reports().values()) {
      const lastContactAt = this.reported.lastContactAt(report.reporter);
      if (lastContactAt !== null)
        statuses.push({
          name: report.reporter,
          zone: report.zone,
          region: report.region,
          http: report.http,
          ready: report.ready,
          draining: report.draining === true,
          sinceContactMs: now - lastContactAt,
        });
    }
    return statuses;
  }

  addressesFor(caller: Caller): DirectoryAnswer {
    const now = this.clock.mono();
    const firstContactAt = this.reported.firstContactAt();
    if (firstContactAt === null || now - firstContactAt < this.tuning.warmUpMs)
      return { addresses: [], lasting: false };
    return addressesFor(this.proxyStatuses(now), caller, this.fallbackRegions(caller), this.tuning);
  }

  private fallbackRegions(caller: Caller): FallbackRegions {
    const homes = homesOf(this.serving(), caller.host);
    return { homes: homes.includes(this.region) ? [this.region, ...homes] : homes, others: [this.region] };
  }
}

/**
 * Creates the directory of one controller. The reports of the proxies reach a new controller one after another, so it
 * returns no addresses until all proxies had time to report. If the caller's own region has no proxy left, the
 * directory prefers the homes of the requested host, so that requests bound to its homes are not sent elsewhere.
 */
export function createDirectory(
  reported: ProxyReports,
  serving: ServingInForce,
  region: string,
  clock: Clock,
  tuning: DirectoryTuning = DIRECTORY_TUNING,
): Directory {
  return new ReportedDirectory(reported, serving, region, clock, tuning);
}

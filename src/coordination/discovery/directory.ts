/** Which proxies a caller is led to, from the reports that proxies send to controllers. */
import { hash32 } from '../../base/digest.js';
import type { Reports } from '../../state/distribution/reports.js';
import type { Serving } from '../../state/configuration/serving.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';

/** A proxy by its last report, and how long ago that was, in milliseconds. */
export type ProxyStatus = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly http: Address;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly sinceContactMs: number;
};

/** Who asks: the host that it calls, its zone and its region. */
export type Caller = { readonly host: string; readonly zone: string; readonly region: string };

/**
 * Times (milliseconds) and bounds of the directory. A proxy without contact for `unheardMs` is taken for down, and
 * for `forgottenMs` for gone; `warmMs` is how long a new controller waits for first reports; `most` bounds an
 * answer.
 */
export type DirectoryTuning = {
  readonly sinceContactMs: number;
  readonly forgottenMs: number;
  /** How long after its last report a proxy that was told to stop is expected back. */
  readonly restartMs: number;
  readonly warmMs: number;
  readonly most: number;
  readonly minFraction: number;
};

/** The tuning in use. */
export const DIRECTORY_TUNING: DirectoryTuning = {
  sinceContactMs: 2_000,
  forgottenMs: 30_000,
  restartMs: 5_000,
  warmMs: 700,
  most: 64,
  minFraction: 0.5,
};

type Ranked = { readonly http: Address; readonly rank: number };

/** Addresses for a caller; `lasting` if they are where it belongs, so that it needn't ask again soon. */
export type DirectoryAnswer = { readonly addresses: Address[]; readonly lasting: boolean };

/** Where a caller is led when its own region has no ready proxy. */
export type NextRegions = {
  /** Regions outside of which the host's bound requests may not be handled; empty where none are bound. */
  readonly homes: readonly string[];
  /** All others, in the order in which they are tried. */
  readonly near: readonly string[];
};

/**
 * The ready proxies of the caller's zone; of its whole region where the zone has lost more than its share; of the
 * host's homes where none is left. Before a caller of a host with homes is led past these, it is led to proxies there
 * that were told to stop but still take what comes. While all of them restart in order it is led nowhere and asks
 * again; it is led past its homes only if a proxy there is gone without having said so, or none is left there.
 */
export function addressesFor(
  reported: readonly ProxyStatus[],
  caller: Caller,
  next: NextRegions,
  tuning: DirectoryTuning = DIRECTORY_TUNING,
): DirectoryAnswer {
  const reachable = reported.filter(isReachable);
  const serving = reachable.length > 0 ? reachable : reported.filter(isReady);
  const found = nearest();
  const lasting = found.length > 0 && found.every(isLasting);
  return { addresses: someOf(found, caller, tuning.most), lasting };

  function isLasting(proxy: ProxyStatus): boolean {
    return proxy.ready && proxy.region === caller.region;
  }

  function isReady(proxy: ProxyStatus): boolean {
    return proxy.ready;
  }
  function isReachable(proxy: ProxyStatus): boolean {
    return proxy.ready && proxy.sinceContactMs <= tuning.sinceContactMs;
  }
  function inZone(proxy: ProxyStatus): boolean {
    return proxy.zone === caller.zone && proxy.region === caller.region;
  }
  function isMissed(proxy: ProxyStatus): boolean {
    return inZone(proxy) && proxy.sinceContactMs <= tuning.forgottenMs;
  }
  function nearest(): readonly ProxyStatus[] {
    const zone = serving.filter(inZone);
    if (zone.length > 0 && zone.length >= tuning.minFraction * reported.filter(isMissed).length) return zone;
    const allowed = [caller.region, ...next.homes];
    const atHome = firstRegion(serving, allowed);
    if (atHome) return atHome;
    if (next.homes.length > 0) {
      const draining = firstRegion(reported.filter(isDraining), allowed);
      if (draining) return draining;
      if (restartInOrder(allowed)) return [];
    }
    return firstRegion(serving, next.near) ?? serving;
  }
  function restartInOrder(regions: readonly string[]): boolean {
    const known = reported.filter(isKnown);
    return known.some(isExpectedBack) && !known.some(isLost);

    function isKnown(proxy: ProxyStatus): boolean {
      return regions.includes(proxy.region) && proxy.sinceContactMs <= tuning.forgottenMs;
    }
  }
  function isExpectedBack(proxy: ProxyStatus): boolean {
    return !proxy.ready && proxy.sinceContactMs <= tuning.restartMs;
  }
  function isLost(proxy: ProxyStatus): boolean {
    return proxy.ready && proxy.sinceContactMs > tuning.sinceContactMs;
  }
  function isDraining(proxy: ProxyStatus): boolean {
    return proxy.draining && proxy.sinceContactMs <= tuning.sinceContactMs;
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

function someOf(proxies: readonly ProxyStatus[], caller: Caller, most: number): Address[] {
  const ranked: Ranked[] = [];
  for (const proxy of proxies)
    ranked.push({ http: proxy.http, rank: hash32(`${caller.host} ${caller.zone} ${proxy.name}`) });
  ranked.sort(byRank);
  const out: Address[] = [];
  for (const row of ranked.slice(0, most)) out.push(row.http);
  return out;
}
function byRank(left: Ranked, right: Ranked): number {
  return left.rank - right.rank;
}

/** The newest reports, and when each proxy was last in contact. */
export type ProxyReports = { readonly reports: () => Reports; readonly lastContactAt: (name: string) => number | null };

/** Answers look-ups. */
export interface Directory {
  addressesFor(caller: Caller): DirectoryAnswer;
}

/** The settings in force, as far as the controller knows them. */
export type ServingInForce = () => Serving | null;

/**
 * The regions in which requests for a host may be handled: the homes of its mappings, those that most mappings share
 * first; none where no mapping has homes.
 */
export function homesOf(serving: Serving | null, host: string): readonly string[] {
  const counts = new Map<string, number>();
  for (const mapping of Object.values(serving?.mappings ?? {})) {
    if (mapping.host !== host) continue;
    for (const region of mapping.homes) counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  const regions = [...counts].sort(mostSharedFirst);
  return regions.map(regionOf);
}
function mostSharedFirst(left: readonly [string, number], right: readonly [string, number]): number {
  return right[1] - left[1];
}
function regionOf(counted: readonly [string, number]): string {
  return counted[0];
}

class ReportedDirectory implements Directory {
  private firstAt: number | null = null;

  constructor(
    private readonly reported: ProxyReports,
    private readonly serving: ServingInForce,
    private readonly region: string,
    private readonly clock: Clock,
    private readonly tuning: DirectoryTuning = DIRECTORY_TUNING,
  ) {}

  private rows(now: number): ProxyStatus[] {
    const out: ProxyStatus[] = [];
    for (const report of this.reported.reports().values()) {
      const at = this.reported.lastContactAt(report.reporter);
      if (at !== null)
        out.push({
          name: report.reporter,
          zone: report.zone,
          region: report.region,
          http: report.http,
          ready: report.ready,
          draining: report.draining === true,
          sinceContactMs: now - at,
        });
    }
    return out;
  }

  addressesFor(caller: Caller): DirectoryAnswer {
    const now = this.clock.mono();
    const proxies = this.rows(now);
    if (proxies.length > 0) this.firstAt ??= now;
    for (const proxy of proxies)
      if (this.firstAt !== null) this.firstAt = Math.min(this.firstAt, now - proxy.sinceContactMs);
    if (this.firstAt === null || now - this.firstAt < this.tuning.warmMs) return { addresses: [], lasting: false };
    return addressesFor(proxies, caller, this.nextRegions(caller), this.tuning);
  }

  private nextRegions(caller: Caller): NextRegions {
    const homes = homesOf(this.serving(), caller.host);
    return { homes: homes.includes(this.region) ? [this.region, ...homes] : homes, near: [this.region] };
  }
}

/**
 * The directory of one controller. One that has just come up hears its proxies one after another; it names none until
 * all had time to tell. A caller whose own region has none left is led to a home of the host that it asks for, so that
 * what may be handled there alone isn't sent past it.
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

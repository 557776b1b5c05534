/**
 * Zones that spot machines are ordered in, divided as in SkyServe (docs/skyserve.md) into active zones and preemptive
 * zones, where machines were preempted recently. All functions are pure; the sets are part of the replicated state.
 */

/** The two disjoint sets; together they contain all enabled zones. */
export type ZoneSets = { readonly active: readonly string[]; readonly preemptive: readonly string[] };

/** Returns sets with all zones active. */
export function initialZones(zones: readonly string[]): ZoneSets {
  return { active: [...zones], preemptive: [] };
}

/** Adapts the sets to the enabled zones of a changed configuration; new zones are active. */
export function alignZones(sets: ZoneSets, zones: readonly string[]): ZoneSets {
  const preemptive = zones.filter(inPreemptive);
  function inPreemptive(zone: string): boolean {
    return sets.preemptive.includes(zone);
  }
  function notPreemptive(zone: string): boolean {
    return !preemptive.includes(zone);
  }
  return refillActive({ active: zones.filter(notPreemptive), preemptive });
}

function refillActive(sets: ZoneSets): ZoneSets {
  if (sets.active.length >= 2 || sets.preemptive.length === 0) return sets;
  return { active: [...sets.active, ...sets.preemptive], preemptive: [] };
}

function withoutZone(zones: readonly string[], excluded: string): string[] {
  function isOther(other: string): boolean {
    return other !== excluded;
  }
  return zones.filter(isOther);
}

/** Returns the sets after a preemption in a zone. If fewer than two active zones remain, all become active again. */
export function handlePreemption(sets: ZoneSets, zone: string): ZoneSets {
  const demoted = sets.active.includes(zone)
    ? { active: withoutZone(sets.active, zone), preemptive: [...sets.preemptive, zone] }
    : sets;
  return refillActive(demoted);
}

/** Returns the sets after a machine became ready in a zone. */
export function handleLaunch(sets: ZoneSets, zone: string): ZoneSets {
  if (!sets.preemptive.includes(zone)) return sets;
  return { active: [...sets.active, zone], preemptive: withoutZone(sets.preemptive, zone) };
}

/** Returns the price of a machine in a zone. */
export type PriceOf = (zone: string) => number;

/** Returns the cheapest of the zones; of zones with equal prices the first in `zoneOrder`. */
export function cheapestZone(zones: readonly string[], zoneOrder: readonly string[], priceOf: PriceOf): string | null {
  let best: string | null = null;
  for (const zone of zoneOrder) {
    if (!zones.includes(zone)) continue;
    if (best === null || priceOf(zone) < priceOf(best)) best = zone;
  }
  return best;
}

/** Selects the zone for the next order: the cheapest active zone without a machine, else the cheapest active zone. */
export function selectNextZone(
  sets: ZoneSets,
  zoneOrder: readonly string[],
  occupied: ReadonlySet<string>,
  priceOf: PriceOf,
): string | null {
  function isFree(zone: string): boolean {
    return !occupied.has(zone);
  }
  return cheapestZone(sets.active.filter(isFree), zoneOrder, priceOf) ?? cheapestZone(sets.active, zoneOrder, priceOf);
}

/** Returns whether two pairs of sets have the same zones in the same order. */
export function zoneSetsEqual(left: ZoneSets, right: ZoneSets): boolean {
  return left.active.join() === right.active.join() && left.preemptive.join() === right.preemptive.join();
}

type ZonesMoved = {
  readonly tag: 'zonesMoved';
  readonly model: string;
  readonly active: string[];
  readonly preemptive: string[];
};

/** Returns the decision that writes the sets of a model to the log. */
export function zonesMovedDecision(
  model: string,
  { active, preemptive }: ZoneSets,
  cause: string,
): { readonly cause: string; readonly act: ZonesMoved } {
  return { cause, act: { tag: 'zonesMoved', model, active: [...active], preemptive: [...preemptive] } };
}

/**
 * Zones that spot machines are ordered in, parted as in SkyServe (docs/skyserve.md): active
 * ones, and those where machines were lately taken back. Pure steps; the sets are folded from
 * the ledger.
 */

/** The two sets; together they are all zones. */
export type ZoneSets = { readonly active: readonly string[]; readonly preemptive: readonly string[] };

/** All zones active. */
export function initialZones(zones: readonly string[]): ZoneSets {
  return { active: [...zones], preemptive: [] };
}

/** The sets after the zones of the configuration changed. */
export function alignZones(sets: ZoneSets, zones: readonly string[]): ZoneSets {
  const preemptive = zones.filter(inPreemptive);
  function inPreemptive(zone: string): boolean {
    return sets.preemptive.includes(zone);
  }
  function notPreemptive(zone: string): boolean {
    return !preemptive.includes(zone);
  }
  return refilled({ active: zones.filter(notPreemptive), preemptive });
}

function refilled(sets: ZoneSets): ZoneSets {
  if (sets.active.length >= 2 || sets.preemptive.length === 0) return sets;
  return { active: [...sets.active, ...sets.preemptive], preemptive: [] };
}

function without(zones: readonly string[], item: string): string[] {
  function differs(other: string): boolean {
    return other !== item;
  }
  return zones.filter(differs);
}

/** After a machine was taken back in a zone. With fewer than two active zones all become active again. */
export function handlePreemption(sets: ZoneSets, zone: string): ZoneSets {
  const moved = sets.active.includes(zone)
    ? { active: without(sets.active, zone), preemptive: [...sets.preemptive, zone] }
    : sets;
  return refilled(moved);
}

/** After a machine became ready in a zone. */
export function handleLaunch(sets: ZoneSets, zone: string): ZoneSets {
  if (!sets.preemptive.includes(zone)) return sets;
  return { active: [...sets.active, zone], preemptive: without(sets.preemptive, zone) };
}

/** The price of a spot machine in a zone. */
export type PriceOf = (zone: string) => number;

/** The cheapest of the zones; the first in `order` among equals. */
export function cheapest(zones: readonly string[], order: readonly string[], priceOf: PriceOf): string | null {
  let best: string | null = null;
  for (const zone of order) {
    if (!zones.includes(zone)) continue;
    if (best === null || priceOf(zone) < priceOf(best)) best = zone;
  }
  return best;
}

/** Where to order next: the cheapest active zone without a machine, else the cheapest active one. */
export function selectNextZone(
  sets: ZoneSets,
  order: readonly string[],
  occupied: ReadonlySet<string>,
  priceOf: PriceOf,
): string | null {
  function isFree(zone: string): boolean {
    return !occupied.has(zone);
  }
  return cheapest(sets.active.filter(isFree), order, priceOf) ?? cheapest(sets.active, order, priceOf);
}

/** Whether two pairs of sets are equal. */
export function sameZones(left: ZoneSets, right: ZoneSets): boolean {
  return left.active.join() === right.active.join() && left.preemptive.join() === right.preemptive.join();
}

type ZonesMoved = {
  readonly tag: 'zonesMoved';
  readonly model: string;
  readonly active: string[];
  readonly preemptive: string[];
};

/** The decision that agrees the sets of a model. */
export function zonesMoved(
  model: string,
  { active, preemptive }: ZoneSets,
  cause: string,
): { readonly cause: string; readonly act: ZonesMoved } {
  return { cause, act: { tag: 'zonesMoved', model, active: [...active], preemptive: [...preemptive] } };
}

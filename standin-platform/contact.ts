/** Tells which proxies are in contact with a settled core, and when; rules with a time bound hold only for these. */
import { recordsOfType } from './records.js';
import type { Planned, JournalRecord } from './records.js';

/** A time interval, both ends included. */
type Interval = { readonly from: number; readonly until: number };

/** Answers from the journal of events on the machines. */
export type Contact = {
  /** Tells whether the proxy ran, and the core was settled, for the whole contact time before. */
  readonly inTouch: (edge: string, at: number) => boolean;
  /** The same, but the core may be unsettled if more than half of it ran all the time since `from`. */
  readonly inTouchWithMajority: (edge: string, from: number, at: number) => boolean;
};

function isWithinAny(intervals: readonly Interval[], at: number): boolean {
  return intervals.some((interval) => at >= interval.from && at <= interval.until);
}

function overlapsAny(intervals: readonly Interval[], from: number, until: number): boolean {
  return intervals.some((interval) => interval.from <= until && interval.until >= from);
}

/** Returns an interval from each event on a machine to the end of the contact time after it. */
function settlingIntervals(planned: readonly Planned[], contactMs: number): readonly Interval[] {
  return planned.map(({ at }) => ({ from: at, until: at + contactMs }));
}

/** Returns the process pauses of a machine. A killed machine answers no request and needs no interval. */
function pauseIntervals(planned: readonly Planned[]): readonly Interval[] {
  const intervals: Interval[] = [];
  let pausedSince: number | null = null;
  for (const { fault, at } of planned) {
    if (fault === 'freeze') pausedSince ??= at;
    else if (pausedSince !== null) {
      intervals.push({ from: pausedSince, until: at });
      pausedSince = null;
    }
  }
  if (pausedSince !== null) intervals.push({ from: pausedSince, until: Infinity });
  return intervals;
}

/** Returns the times in which half of the core or more was down, each with the contact time after it. */
function majorityLossIntervals(planned: readonly Planned[], contactMs: number): readonly Interval[] {
  const machines = new Set<string>();
  const down = new Set<string>();
  const intervals: Interval[] = [];
  let lostSince: number | null = null;
  for (const event of planned) {
    machines.add(event.edge);
    if (event.fault === 'start' || event.fault === 'thaw') down.delete(event.edge);
    else down.add(event.edge);
    const isMajority = 2 * (machines.size - down.size) > machines.size;
    if (!isMajority) lostSince ??= event.at;
    else if (lostSince !== null) {
      intervals.push({ from: lostSince, until: event.at + contactMs });
      lostSince = null;
    }
  }
  if (lostSince !== null) intervals.push({ from: lostSince, until: Infinity });
  return intervals;
}

/** Computes the intervals from the journal, which is read once. */
export function contactOf(records: readonly JournalRecord[], { contactMs }: { readonly contactMs: number }): Contact {
  const machineEvents = recordsOfType(records, 'planned');
  const coreEvents = machineEvents.filter((event) => event.core);
  const majorityLost = majorityLossIntervals(
    coreEvents.filter(({ fault }) => fault !== 'closing' && fault !== 'back'),
    contactMs,
  );
  const unsettled = [...settlingIntervals(coreEvents, contactMs), ...majorityLost];
  const intervalsByEdge = new Map<string, readonly Interval[]>();

  function outOfContactIntervals(edge: string): readonly Interval[] {
    const known = intervalsByEdge.get(edge);
    if (known) return known;
    const ownEvents = machineEvents.filter((event) => event.edge === edge && !event.core);
    const intervals = [...settlingIntervals(ownEvents, contactMs), ...pauseIntervals(ownEvents)];
    intervalsByEdge.set(edge, intervals);
    return intervals;
  }
  function isStable(edge: string, at: number): boolean {
    return !isWithinAny(outOfContactIntervals(edge), at);
  }
  function inTouch(edge: string, at: number): boolean {
    return isStable(edge, at) && !isWithinAny(unsettled, at);
  }
  function inTouchWithMajority(edge: string, from: number, at: number): boolean {
    return isStable(edge, at) && !overlapsAny(majorityLost, from, at);
  }
  return { inTouch, inTouchWithMajority };
}

/** Which proxies are in touch with a settled core, and when: rules with a time bound hold for these alone. */
import { onlyOf } from './records.js';
import type { Planned, Rec } from './records.js';

/** A stretch of time, both ends included. */
type Span = { readonly from: number; readonly until: number };

/** Answers by the journal of what was done to the machines. */
export type Contact = {
  /** The proxy ran, and the core was settled, for the whole contact time before. */
  readonly inTouch: (edge: string, at: number) => boolean;
  /** The same with a core that was unsettled, of which more than half has run all the while from `from` on. */
  readonly inOuterTouch: (edge: string, from: number, at: number) => boolean;
};

function isWithin(spans: readonly Span[], at: number): boolean {
  return spans.some((span) => at >= span.from && at <= span.until);
}

function overlaps(spans: readonly Span[], from: number, until: number): boolean {
  return spans.some((span) => span.from <= until && span.until >= from);
}

/** Each event on a machine, with the contact time behind. */
function events(planned: readonly Planned[], contactMs: number): readonly Span[] {
  return planned.map(({ at }) => ({ from: at, until: at + contactMs }));
}

/** The times in which a machine stood still. One that was killed answers nobody and needs no span. */
function standstills(planned: readonly Planned[]): readonly Span[] {
  const spans: Span[] = [];
  let since: number | null = null;
  for (const { fault, at } of planned) {
    if (fault === 'freeze') since ??= at;
    else if (since !== null) {
      spans.push({ from: since, until: at });
      since = null;
    }
  }
  if (since !== null) spans.push({ from: since, until: Infinity });
  return spans;
}

/** Times in which half of the core or more was down, with the contact time behind. */
function minorities(planned: readonly Planned[], contactMs: number): readonly Span[] {
  const machines = new Set<string>();
  const down = new Set<string>();
  const spans: Span[] = [];
  let since: number | null = null;
  for (const plan of planned) {
    machines.add(plan.edge);
    if (plan.fault === 'start' || plan.fault === 'thaw') down.delete(plan.edge);
    else down.add(plan.edge);
    const isMajority = 2 * (machines.size - down.size) > machines.size;
    if (!isMajority) since ??= plan.at;
    else if (since !== null) {
      spans.push({ from: since, until: plan.at + contactMs });
      since = null;
    }
  }
  if (since !== null) spans.push({ from: since, until: Infinity });
  return spans;
}

/** Reads the journal once. */
export function contactOf(records: readonly Rec[], { contactMs }: { readonly contactMs: number }): Contact {
  const onMachines = onlyOf(records, 'planned');
  const onCore = onMachines.filter((plan) => plan.core);
  const withoutMajority = minorities(
    onCore.filter(({ fault }) => fault !== 'closing' && fault !== 'back'),
    contactMs,
  );
  const unsettled = [...events(onCore, contactMs), ...withoutMajority];
  const byEdge = new Map<string, readonly Span[]>();

  function troubleAt(edge: string): readonly Span[] {
    const known = byEdge.get(edge);
    if (known) return known;
    const own = onMachines.filter((plan) => plan.edge === edge && !plan.core);
    const spans = [...events(own, contactMs), ...standstills(own)];
    byEdge.set(edge, spans);
    return spans;
  }
  function runs(edge: string, at: number): boolean {
    return !isWithin(troubleAt(edge), at);
  }
  function inTouch(edge: string, at: number): boolean {
    return runs(edge, at) && !isWithin(unsettled, at);
  }
  function inOuterTouch(edge: string, from: number, at: number): boolean {
    return runs(edge, at) && !overlaps(withoutMajority, from, at);
  }
  return { inTouch, inOuterTouch };
}

import { sha256 } from '../base/digest.js';
import { isTable } from '../base/is-table.js';
import type { Act, Batch, Change, Entry, Member } from './entry.js';
import {
  appliedChange,
  appliedZoneOrder,
  emptyOperatorHistory,
  isOperatorHistory,
  isOperatorRequest,
  recordChange,
  recordRepeated,
  recordZoneOrder,
  zoneVersion,
} from './operator-history.js';
import type { OperatorHistory } from './operator-history.js';
import { isOpen, mayBecome } from './order.js';
import type { Order, OrderEvent, OrderStatus } from './order.js';
import { changesBack, EMPTY_CONFIGURATION, withChanges } from './settings-tree.js';
import type { Configuration } from './settings-tree.js';
import type { ZoneSets } from './zone-sets.js';

export type Outcome =
  | { readonly tag: 'applied' }
  | { readonly tag: 'staleVersion'; readonly winner: number }
  | { readonly tag: 'staleFence'; readonly fence: number }
  | { readonly tag: 'unfit'; readonly why: 'order' | 'member' | 'bootstrapped' | 'unchanged' };

export type KnownProxy = { readonly zone: string; readonly region: string };

export type LeaseRecord = { readonly holder: string; readonly fence: number };

export type DoneOperation = { readonly id: string; readonly slot: number; readonly outcome: Outcome };

export type ControlState = {
  slot: number;
  ledger: string;
  ticketKey: string;
  members: Member[];
  claimants: string[];
  version: number;
  configuration: Configuration;
  evacuated: Record<string, number>;
  proxies: Record<string, KnownProxy>;
  leases: Record<string, LeaseRecord>;
  orders: Record<string, Order>;
  /** Orders that the newest slot closed. Controllers keep them (`closed-orders.ts`); the state names them only until the next slot. */
  closed: Order[];
  /** Machines of the orders closed last, oldest first: a proxy places nothing on them though they are still listed. */
  departed: string[];
  zoneSets: Record<string, ZoneSets>;
  targets: Record<string, number>;
  operations: DoneOperation[];
  history: OperatorHistory;
};

export const SCALER_DUTY = 'scaler';
export const MOST_MEMBERS = 9;
const LEAST_ODD_SHRUNK = 5;
/** Far more machines than go while the platform's list, read each second or so, still names one. */
const DEPARTED_KEPT = 256;
const OPERATIONS_KEPT = 1_024;

export function emptyControlState(): ControlState {
  return {
    slot: -1,
    ledger: '',
    ticketKey: '',
    members: [],
    claimants: [],
    version: 0,
    configuration: EMPTY_CONFIGURATION,
    evacuated: {},
    proxies: {},
    leases: {},
    orders: {},
    closed: [],
    departed: [],
    zoneSets: {},
    targets: {},
    operations: [],
    history: emptyOperatorHistory(),
  };
}

export function isControlState(u: unknown): u is ControlState {
  if (!isTable(u)) return false;
  const b = u;
  for (const key of ['slot', 'version']) if (!Number.isInteger(b[key])) return false;
  for (const key of ['ledger', 'ticketKey']) if (typeof b[key] !== 'string') return false;
  for (const key of ['members', 'claimants', 'closed', 'departed', 'operations'])
    if (!Array.isArray(b[key])) return false;
  for (const key of ['configuration', 'evacuated', 'proxies', 'leases', 'orders', 'zoneSets', 'targets'])
    if (!isTable(b[key])) return false;
  return isOperatorHistory(b['history']);
}

export function memberId(member: { readonly name: string; readonly incarnation: string }): string {
  return `${member.name}#${member.incarnation}`;
}

export function membersMark(members: readonly Member[]): string {
  const ids: string[] = [];
  for (const m of members) ids.push(memberId(m));
  return sha256(ids.join());
}

export function majorityOf(members: readonly Member[]): number {
  return Math.floor(members.length / 2) + 1;
}

const APPLIED: Outcome = { tag: 'applied' };

function moveOrder(
  b: ControlState,
  slot: number,
  entry: Entry,
  id: string,
  to: OrderStatus,
  machine: string | null,
): Outcome {
  const order = b.orders[id];
  if (!order || !mayBecome(order.status, to)) return { tag: 'unfit', why: 'order' };
  const moved: Order = {
    ...order,
    status: to,
    machine: machine ?? order.machine,
    events: [...order.events, eventOf(slot, entry, to)],
  };
  if (isOpen(to)) {
    b.orders[id] = moved;
    return APPLIED;
  }
  delete b.orders[id];
  b.closed.push(moved);
  if (moved.machine !== null) b.departed.push(moved.machine);
  if (b.departed.length > DEPARTED_KEPT) b.departed.splice(0, b.departed.length - DEPARTED_KEPT);
  return APPLIED;
}

function eventOf(slot: number, entry: Entry, status: OrderStatus): OrderEvent {
  return { slot, status, author: entry.author, fence: entry.fence ?? 0, cause: entry.cause, wall: entry.wall };
}

function placeOf(b: ControlState, id: string): number {
  for (let i = 0; i < b.members.length; i += 1) if (memberId(b.members[i] as Member) === id) return i;
  return -1;
}

function stands(b: ControlState, member: Member, besides: number): boolean {
  for (let i = 0; i < b.members.length; i += 1) {
    const m = b.members[i] as Member;
    if (i !== besides && (m.name === member.name || m.address === member.address)) return true;
  }
  return false;
}

function foldAct(b: ControlState, slot: number, entry: Entry, act: Act): Outcome {
  switch (act.tag) {
    case 'bootstrapped': {
      if (b.ledger !== '') return { tag: 'unfit', why: 'bootstrapped' };
      b.ledger = act.ledger;
      b.ticketKey = act.ticketKey;
      b.members = [...act.members];
      b.claimants = act.members.map(memberId);
      return APPLIED;
    }
    case 'controllerUp':
      return APPLIED;
    case 'memberReplaced': {
      const at = placeOf(b, act.old);
      if (at < 0 || stands(b, act.member, at)) return { tag: 'unfit', why: 'member' };
      b.members = [...b.members.slice(0, at), act.member, ...b.members.slice(at + 1)];
      return APPLIED;
    }
    case 'memberAdded': {
      if (b.members.length >= MOST_MEMBERS || stands(b, act.member, -1)) return { tag: 'unfit', why: 'member' };
      b.members = [...b.members, act.member];
      return APPLIED;
    }
    case 'memberRemoved': {
      const at = placeOf(b, act.old);
      if (at < 0 || (b.members.length % 2 !== 0 && b.members.length < LEAST_ODD_SHRUNK))
        return { tag: 'unfit', why: 'member' };
      b.members = [...b.members.slice(0, at), ...b.members.slice(at + 1)];
      return APPLIED;
    }
    case 'claimsReopened': {
      b.claimants = [...act.members];
      return APPLIED;
    }
    case 'configured': {
      return foldConfigured(b, slot, entry.id, act);
    }
    case 'changeRepeated': {
      return recordRepeated(b.history, act.request, act.number) ? APPLIED : { tag: 'staleVersion', winner: b.version };
    }
    case 'evacuation': {
      return foldEvacuation(b, slot, entry.id, act);
    }
    case 'proxyKnown': {
      const known = b.proxies[act.name];
      if (known && known.zone === act.zone && known.region === act.region) return { tag: 'unfit', why: 'unchanged' };
      b.proxies[act.name] = { zone: act.zone, region: act.region };
      return APPLIED;
    }
    case 'proxyForgotten': {
      if (!b.proxies[act.name]) return { tag: 'unfit', why: 'unchanged' };
      delete b.proxies[act.name];
      return APPLIED;
    }
    case 'leaseTaken': {
      b.leases[act.duty] = { holder: act.holder, fence: slot };
      return APPLIED;
    }
    case 'orderIntended': {
      if (b.orders[act.order]) return { tag: 'unfit', why: 'order' };
      b.orders[act.order] = {
        id: act.order,
        model: act.model,
        zone: act.zone,
        kind: act.kind,
        accelerator: act.accelerator,
        status: 'intended',
        machine: null,
        events: [eventOf(slot, entry, 'intended')],
      };
      return APPLIED;
    }
    case 'orderPlaced':
      return moveOrder(b, slot, entry, act.order, 'placed', act.machine);
    case 'orderReady':
      return moveOrder(b, slot, entry, act.order, 'ready', null);
    case 'orderFailed':
      return moveOrder(b, slot, entry, act.order, 'failed', null);
    case 'orderLost':
      return moveOrder(b, slot, entry, act.order, 'lost', null);
    case 'orderDraining':
      return moveOrder(b, slot, entry, act.order, 'draining', null);
    case 'orderReleased':
      return moveOrder(b, slot, entry, act.order, 'released', null);
    case 'orphanReleased':
      return APPLIED;
    case 'ordersAdopted': {
      for (const a of act.adopted) {
        if (b.orders[a.order]) continue;
        const events = [eventOf(slot, entry, 'placed')];
        if (a.ready) events.push(eventOf(slot, entry, 'ready'));
        b.orders[a.order] = {
          id: a.order,
          model: act.model,
          zone: a.zone,
          kind: act.kind,
          accelerator: 'any',
          status: a.ready ? 'ready' : 'placed',
          machine: a.machine,
          events,
        };
      }
      return APPLIED;
    }
    case 'decided': {
      for (const step of act.steps) foldAct(b, slot, { ...entry, cause: step.cause }, step.act);
      return APPLIED;
    }
    case 'zonesMoved': {
      b.zoneSets[act.model] = { active: act.active, preemptive: act.preemptive };
      return APPLIED;
    }
    case 'targetChanged': {
      b.targets[act.model] = act.target;
      return APPLIED;
    }
  }
}

type Configured = Extract<Act, { tag: 'configured' }>;

function foldConfigured(b: ControlState, slot: number, id: string, act: Configured): Outcome {
  if (act.base !== b.version) return { tag: 'staleVersion', winner: b.version };
  const before = b.configuration;
  b.configuration = withChanges(before, act.changes) as Configuration;
  b.version = slot;
  const { revision } = act;
  if (revision) {
    const { request, base, number } = revision;
    recordChange(b.history, { request, version: slot, revision: { base, number } }, changesBack(before, act.changes));
  } else {
    const undo = act.changes.some(touchesServing) ? null : b.history.undo;
    recordChange(b.history, { request: id, version: slot }, undo);
  }
  return APPLIED;
}

type Evacuation = Extract<Act, { tag: 'evacuation' }>;

/**
 * An order that names the zone's version is applied only on that version, and moves it also where the zone stays as it
 * is: what was acknowledged fences off all orders that were sent before it.
 */
function foldEvacuation(b: ControlState, slot: number, id: string, act: Evacuation): Outcome {
  const { zone, begun, base } = act;
  const version = zoneVersion(b.history, zone);
  const unchanged = begun === (b.evacuated[zone] !== undefined);
  if (base !== undefined && base !== version) return { tag: 'staleVersion', winner: version };
  if (base === undefined && unchanged) return { tag: 'unfit', why: 'unchanged' };
  if (!unchanged && begun) b.evacuated[zone] = slot;
  if (!unchanged && !begun) delete b.evacuated[zone];
  recordZoneOrder(b.history, zone, { request: id, version: slot });
  return APPLIED;
}

function touchesServing(change: Change): boolean {
  return change.path.length === 0 || change.path[0] === 'serving';
}

/** What came of an entry that was folded already: any of the newest, or a change by an operator that is in the history. */
export function operationOf(b: ControlState, id: string): DoneOperation | null {
  for (let i = b.operations.length - 1; i >= 0; i -= 1) {
    const op = b.operations[i] as DoneOperation;
    if (op.id === id) return op;
  }
  const change = isOperatorRequest(id) ? (appliedChange(b.history, id) ?? appliedZoneOrder(b.history, id)) : null;
  return change && { id, slot: change.version, outcome: APPLIED };
}

function foldEntry(b: ControlState, slot: number, entry: Entry): Outcome {
  const before = operationOf(b, entry.id);
  if (before) return before.outcome;
  const lease = b.leases[SCALER_DUTY];
  const stale = entry.fence !== undefined && entry.fence !== (lease ? lease.fence : -1);
  const outcome: Outcome = stale
    ? { tag: 'staleFence', fence: lease ? lease.fence : -1 }
    : foldAct(b, slot, entry, entry.act);
  b.operations.push({ id: entry.id, slot, outcome });
  if (b.operations.length > OPERATIONS_KEPT) b.operations.splice(0, b.operations.length - OPERATIONS_KEPT);
  return outcome;
}

export function foldBatch(b: ControlState, slot: number, batch: Batch): Outcome[] {
  const out: Outcome[] = [];
  b.closed = [];
  for (const entry of batch.entries) out.push(foldEntry(b, slot, entry));
  b.slot = slot;
  return out;
}

/**
 * The replicated state: the fold of the ledger. Controllers and proxies fold the same entries in the same order and so
 * come to the same state; nothing in here looks at a clock or at chance. Each part of the state has its fold in a module
 * of its own (`fold-members.ts`, `fold-operators.ts`, `fold-orders.ts`); this one puts them together.
 */
import { isTable } from '../base/is-table.js';
import type { Act, Batch, Entry, Step } from './entry.js';
import { foldBootstrapped, foldMemberAdded, foldMemberRemoved, foldMemberReplaced } from './fold-members.js';
import type { MembersState } from './fold-members.js';
import { foldChangeRepeated, foldConfigured, foldEvacuation } from './fold-operators.js';
import type { OperatorsState } from './fold-operators.js';
import { foldOrderIntended, foldOrdersAdopted, moveOrder } from './fold-orders.js';
import type { OrdersState } from './fold-orders.js';
import {
  appliedChange,
  appliedZoneOrder,
  emptyOperatorHistory,
  isOperatorHistory,
  isOperatorRequest,
} from './operator-history.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';
import { EMPTY_CONFIGURATION } from './settings-tree.js';
import type { ZoneSets } from './zone-sets.js';

export { majorityOf, memberId, membersMark, MOST_MEMBERS } from './fold-members.js';
export type { Outcome } from './outcome.js';

export type KnownProxy = { readonly zone: string; readonly region: string };

export type LeaseRecord = { readonly holder: string; readonly fence: number };

export type DoneOperation = { readonly id: string; readonly slot: number; readonly outcome: Outcome };

export type ControlState = MembersState &
  OperatorsState &
  OrdersState & {
    /** The newest slot that is folded; -1 before the first. */
    slot: number;
    proxies: Record<string, KnownProxy>;
    leases: Record<string, LeaseRecord>;
    zoneSets: Record<string, ZoneSets>;
    targets: Record<string, number>;
    /** What came of the newest entries of all kinds, oldest first. */
    operations: DoneOperation[];
  };

export const SCALER_DUTY = 'scaler';
/** An entry that is proposed again follows its first proposal within seconds, some hundred entries behind it at most. */
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

export function isControlState(value: unknown): value is ControlState {
  if (!isTable(value)) return false;
  for (const key of ['slot', 'version']) if (!Number.isInteger(value[key])) return false;
  for (const key of ['ledger', 'ticketKey']) if (typeof value[key] !== 'string') return false;
  for (const key of ['members', 'claimants', 'closed', 'departed', 'operations'])
    if (!Array.isArray(value[key])) return false;
  for (const key of ['configuration', 'evacuated', 'proxies', 'leases', 'orders', 'zoneSets', 'targets'])
    if (!isTable(value[key])) return false;
  return isOperatorHistory(value['history']);
}

function foldAct(state: ControlState, slot: number, entry: Entry, act: Act): Outcome {
  switch (act.tag) {
    case 'bootstrapped':
      return foldBootstrapped(state, act);
    case 'memberReplaced':
      return foldMemberReplaced(state, act);
    case 'memberAdded':
      return foldMemberAdded(state, act);
    case 'memberRemoved':
      return foldMemberRemoved(state, act);
    case 'claimsReopened':
      state.claimants = [...act.members];
      return APPLIED;
    case 'configured':
      return foldConfigured(state, slot, entry.id, act);
    case 'changeRepeated':
      return foldChangeRepeated(state, act);
    case 'evacuation':
      return foldEvacuation(state, slot, entry.id, act);
    case 'proxyKnown':
      return foldProxyKnown(state, act);
    case 'proxyForgotten':
      return foldProxyForgotten(state, act);
    case 'leaseTaken':
      state.leases[act.duty] = { holder: act.holder, fence: slot };
      return APPLIED;
    case 'controllerUp':
      return APPLIED;
    default:
      return foldScalerAct(state, slot, entry, act);
  }
}

type ScalerAct = Step['act'] | Extract<Act, { tag: 'decided' }>;

/** What the holder of the scaler's duty decides. */
function foldScalerAct(state: ControlState, slot: number, entry: Entry, act: ScalerAct): Outcome {
  switch (act.tag) {
    case 'decided':
      for (const step of act.steps) foldScalerAct(state, slot, { ...entry, cause: step.cause }, step.act);
      return APPLIED;
    case 'zonesMoved':
      state.zoneSets[act.model] = { active: act.active, preemptive: act.preemptive };
      return APPLIED;
    case 'targetChanged':
      state.targets[act.model] = act.target;
      return APPLIED;
    case 'ordersAdopted':
      return foldOrdersAdopted(state, slot, entry, act);
    case 'orderIntended':
      return foldOrderIntended(state, slot, entry, act);
    case 'orderPlaced':
      return moveOrder(state, slot, entry, act.order, 'placed', act.machine);
    case 'orderReady':
      return moveOrder(state, slot, entry, act.order, 'ready');
    case 'orderFailed':
      return moveOrder(state, slot, entry, act.order, 'failed');
    case 'orderLost':
      return moveOrder(state, slot, entry, act.order, 'lost');
    case 'orderDraining':
      return moveOrder(state, slot, entry, act.order, 'draining');
    case 'orderReleased':
      return moveOrder(state, slot, entry, act.order, 'released');
    case 'orphanReleased':
      return APPLIED;
  }
}

function foldProxyKnown(state: ControlState, act: Extract<Act, { tag: 'proxyKnown' }>): Outcome {
  const { name, zone, region } = act;
  const known = state.proxies[name];
  if (known && known.zone === zone && known.region === region) return unfit('unchanged');
  state.proxies[name] = { zone, region };
  return APPLIED;
}

function foldProxyForgotten(state: ControlState, act: Extract<Act, { tag: 'proxyForgotten' }>): Outcome {
  if (!state.proxies[act.name]) return unfit('unchanged');
  delete state.proxies[act.name];
  return APPLIED;
}

/** What came of an entry that was folded already: any of the newest, or a change by an operator that is in the history. */
export function operationOf(state: ControlState, id: string): DoneOperation | null {
  for (let i = state.operations.length - 1; i >= 0; i -= 1) {
    const operation = state.operations[i] as DoneOperation;
    if (operation.id === id) return operation;
  }
  if (!isOperatorRequest(id)) return null;
  const change = appliedChange(state.history, id) ?? appliedZoneOrder(state.history, id);
  return change && { id, slot: change.version, outcome: APPLIED };
}

function foldEntry(state: ControlState, slot: number, entry: Entry): Outcome {
  const before = operationOf(state, entry.id);
  if (before) return before.outcome;
  const fence = state.leases[SCALER_DUTY]?.fence ?? -1;
  const isStale = entry.fence !== undefined && entry.fence !== fence;
  const outcome: Outcome = isStale ? { tag: 'staleFence', fence } : foldAct(state, slot, entry, entry.act);
  state.operations.push({ id: entry.id, slot, outcome });
  if (state.operations.length > OPERATIONS_KEPT) state.operations.splice(0, state.operations.length - OPERATIONS_KEPT);
  return outcome;
}

/** Folds one slot of the ledger into the state, which is changed in place; the outcomes are those of its entries. */
export function foldBatch(state: ControlState, slot: number, batch: Batch): Outcome[] {
  const outcomes: Outcome[] = [];
  state.closed = [];
  for (const entry of batch.entries) outcomes.push(foldEntry(state, slot, entry));
  state.slot = slot;
  return outcomes;
}

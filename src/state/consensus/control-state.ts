/**
 * The replicated state: the fold of the ledger. Controllers and proxies fold the same entries in the same order and so
 * come to the same state; nothing in here looks at a clock or at chance. Each part of the state has its fold in a module
 * of its own (`fold-members.ts`, `fold-operators.ts`, `fold-orders.ts`); this one puts them together.
 */
import { isTable } from '../../base/is-table.js';
import type { Command, Batch, Entry, Step } from './entry.js';
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
import { EMPTY_CONFIGURATION } from '../configuration/settings-tree.js';
import type { ZoneSets } from '../scaling/zone-sets.js';

export { majorityOf, memberId, membersDigest, MOST_MEMBERS } from './fold-members.js';
export type { Outcome } from './outcome.js';

/** Where a proxy is. */
export type KnownProxy = { readonly zone: string; readonly region: string };

/** Who took a lease last, and its fencing token. */
export type LeaseRecord = { readonly holder: string; readonly fence: number };

/** An entry that was folded, and what came of it. */
export type DoneOperation = { readonly id: string; readonly slot: number; readonly outcome: Outcome };

/** The replicated state. Field names are stored and in snapshots. */
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

/** Name of the scaler's singleton role in the ledger. */
export const SCALER_DUTY = 'scaler';
/** An entry that is proposed again follows its first proposal within seconds, some hundred entries behind it at most. */
const OPERATIONS_KEPT = 1_024;

/** The state before slot zero. */
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

/** Whether a parsed value has the parts of a state. */
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

function foldCommand(state: ControlState, slot: number, entry: Entry, command: Command): Outcome {
  switch (command.tag) {
    case 'bootstrapped':
      return foldBootstrapped(state, command);
    case 'memberReplaced':
      return foldMemberReplaced(state, command);
    case 'memberAdded':
      return foldMemberAdded(state, command);
    case 'memberRemoved':
      return foldMemberRemoved(state, command);
    case 'claimsReopened':
      state.claimants = [...command.members];
      return APPLIED;
    case 'configured':
      return foldConfigured(state, slot, entry.id, command);
    case 'changeRepeated':
      return foldChangeRepeated(state, command);
    case 'evacuation':
      return foldEvacuation(state, slot, entry.id, command);
    case 'proxyKnown':
      return foldProxyKnown(state, command);
    case 'proxyForgotten':
      return foldProxyForgotten(state, command);
    case 'leaseTaken':
      state.leases[command.duty] = { holder: command.holder, fence: slot };
      return APPLIED;
    case 'controllerUp':
      return APPLIED;
    default:
      return foldScalerCommand(state, slot, entry, command);
  }
}

type ScalerCommand = Step['act'] | Extract<Command, { tag: 'decided' }>;

/** What the holder of the scaler's duty decides. */
function foldScalerCommand(state: ControlState, slot: number, entry: Entry, command: ScalerCommand): Outcome {
  switch (command.tag) {
    case 'decided':
      for (const step of command.steps) foldScalerCommand(state, slot, { ...entry, cause: step.cause }, step.act);
      return APPLIED;
    case 'zonesMoved':
      state.zoneSets[command.model] = { active: command.active, preemptive: command.preemptive };
      return APPLIED;
    case 'targetChanged':
      state.targets[command.model] = command.target;
      return APPLIED;
    case 'ordersAdopted':
      return foldOrdersAdopted(state, slot, entry, command);
    case 'orderIntended':
      return foldOrderIntended(state, slot, entry, command);
    case 'orderPlaced':
      return moveOrder(state, slot, entry, command.order, 'placed', command.machine);
    case 'orderReady':
      return moveOrder(state, slot, entry, command.order, 'ready');
    case 'orderFailed':
      return moveOrder(state, slot, entry, command.order, 'failed');
    case 'orderLost':
      return moveOrder(state, slot, entry, command.order, 'lost');
    case 'orderDraining':
      return moveOrder(state, slot, entry, command.order, 'draining');
    case 'orderReleased':
      return moveOrder(state, slot, entry, command.order, 'released');
    case 'orphanReleased':
      return APPLIED;
  }
}

function foldProxyKnown(state: ControlState, command: Extract<Command, { tag: 'proxyKnown' }>): Outcome {
  const { name, zone, region } = command;
  const known = state.proxies[name];
  if (known && known.zone === zone && known.region === region) return unfit('unchanged');
  state.proxies[name] = { zone, region };
  return APPLIED;
}

function foldProxyForgotten(state: ControlState, command: Extract<Command, { tag: 'proxyForgotten' }>): Outcome {
  if (!state.proxies[command.name]) return unfit('unchanged');
  delete state.proxies[command.name];
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
  const outcome: Outcome = isStale ? { tag: 'staleFence', fence } : foldCommand(state, slot, entry, entry.act);
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

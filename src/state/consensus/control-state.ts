/**
 * The replicated state: the result of applying (folding) the entries of the replicated log. Controllers and proxies
 * apply the same entries in the same order and so reach the same state; nothing here reads a clock or a random
 * number. The parts of the state are in modules of their own (`fold-members.ts`, `fold-operators.ts`,
 * `fold-orders.ts`); this one combines them.
 */
import { isJsonObject } from '../../base/is-json-object.js';
import type { Command, Batch, Entry, ScalerStep } from './entry.js';
import { foldBootstrapped, foldMemberAdded, foldMemberRemoved, foldMemberReplaced } from './fold-members.js';
import type { MembersState } from './fold-members.js';
import { foldChangeRepeated, foldConfigured, foldEvacuation } from './fold-operators.js';
import type { OperatorsState } from './fold-operators.js';
import { foldOrderIntended, foldOrdersAdopted, changeOrderStatus } from './fold-orders.js';
import type { OrdersState } from './fold-orders.js';
import {
  findAppliedChange,
  findAppliedZoneOrder,
  emptyOperatorHistory,
  isOperatorHistory,
  isOperatorRequestId,
} from './operator-history.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';
import { EMPTY_CONFIGURATION } from '../configuration/settings-tree.js';
import type { ZoneSets } from '../scaling/zone-sets.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

export { majorityOf, memberId, membersDigest, MAX_MEMBERS } from './fold-members.js';
export type { Outcome } from './outcome.js';

/** The location of a proxy. */
export type ProxyLocation = { readonly zone: string; readonly region: string };

/** The last holder of a lease, and its fencing token. */
export type LeaseRecord = { readonly holder: string; readonly fence: number };

/** An applied entry and its outcome. */
export type CompletedOperation = { readonly id: string; readonly slot: number; readonly outcome: Outcome };

/** The replicated state. Its field names are stored and sent in snapshots. */
export type ControlState = MembersState &
  OperatorsState &
  OrdersState & {
    /** The newest slot applied; -1 before the first. */
    slot: number;
    proxies: Record<string, ProxyLocation>;
    leases: Record<string, LeaseRecord>;
    zoneSets: Record<string, ZoneSets>;
    targets: Record<string, number>;
    /** Outcomes of the newest entries of all kinds, oldest first. */
    operations: CompletedOperation[];
  };

/** Name of the scaler's singleton role in the replicated log. */
export const SCALER_ROLE = 'scaler';
/** An entry that is proposed again follows its first proposal within seconds, at most some hundred entries later. */
const MAX_OPERATIONS = 1_024;

/** Returns the state before slot zero. */
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

/** Whether a parsed value has the fields of a state. */
export function isControlState(value: unknown): value is ControlState {
  if (!isJsonObject(value)) return false;
  for (const key of ['slot', 'version']) if (!Number.isInteger(ownValue(value, key))) return false;
  for (const key of ['ledger', 'ticketKey']) if (typeof ownValue(value, key) !== 'string') return false;
  for (const key of ['members', 'claimants', 'closed', 'departed', 'operations'])
    if (!Array.isArray(ownValue(value, key))) return false;
  for (const key of ['configuration', 'evacuated', 'proxies', 'leases', 'orders', 'zoneSets', 'targets'])
    if (!isJsonObject(ownValue(value, key))) return false;
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
      return foldMemberRemoved(state, command, entry.wall);
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
      setOwnValue(state.leases, command.duty, { holder: command.holder, fence: slot });
      return APPLIED;
    case 'controllerUp':
      return APPLIED;
    default:
      return foldScalerCommand(state, slot, entry, command);
  }
}

type ScalerCommand = ScalerStep['act'] | Extract<Command, { tag: 'decided' }>;

/** Applies a decision of the node that holds the scaler role. */
function foldScalerCommand(state: ControlState, slot: number, entry: Entry, command: ScalerCommand): Outcome {
  switch (command.tag) {
    case 'decided':
      for (const step of command.steps) foldScalerCommand(state, slot, { ...entry, cause: step.cause }, step.act);
      return APPLIED;
    case 'zonesMoved':
      setOwnValue(state.zoneSets, command.model, { active: command.active, preemptive: command.preemptive });
      return APPLIED;
    case 'targetChanged':
      setOwnValue(state.targets, command.model, command.target);
      return APPLIED;
    case 'ordersAdopted':
      return foldOrdersAdopted(state, slot, entry, command);
    case 'orderIntended':
      return foldOrderIntended(state, slot, entry, command);
    case 'orderPlaced':
      return changeOrderStatus(state, slot, entry, command.order, 'placed', command.machine);
    case 'orderReady':
      return changeOrderStatus(state, slot, entry, command.order, 'ready');
    case 'orderFailed':
      return changeOrderStatus(state, slot, entry, command.order, 'failed');
    case 'orderLost':
      return changeOrderStatus(state, slot, entry, command.order, 'lost');
    case 'orderDraining':
      return changeOrderStatus(state, slot, entry, command.order, 'draining');
    case 'orderReleased':
      return changeOrderStatus(state, slot, entry, command.order, 'released');
    case 'orphanReleased':
      return APPLIED;
  }
}

function foldProxyKnown(state: ControlState, command: Extract<Command, { tag: 'proxyKnown' }>): Outcome {
  const { name, zone, region } = command;
  const location = ownValue(state.proxies, name);
  if (location && location.zone === zone && location.region === region) return unfit('unchanged');
  setOwnValue(state.proxies, name, { zone, region });
  return APPLIED;
}

function foldProxyForgotten(state: ControlState, command: Extract<Command, { tag: 'proxyForgotten' }>): Outcome {
  if (!ownValue(state.proxies, command.name)) return unfit('unchanged');
  delete state.proxies[command.name];
  return APPLIED;
}

/** Returns the outcome of an entry applied before: one of the newest entries, or an operator change in the history. */
export function findOperation(state: ControlState, id: string): CompletedOperation | null {
  for (let i = state.operations.length - 1; i >= 0; i -= 1) {
    const operation = state.operations[i] as CompletedOperation;
    if (operation.id === id) return operation;
  }
  if (!isOperatorRequestId(id)) return null;
  const change = findAppliedChange(state.history, id) ?? findAppliedZoneOrder(state.history, id);
  return change && { id, slot: change.version, outcome: APPLIED };
}

function foldEntry(state: ControlState, slot: number, entry: Entry): Outcome {
  const previous = findOperation(state, entry.id);
  if (previous) return previous.outcome;
  const fence = state.leases[SCALER_ROLE]?.fence ?? -1;
  const isStale = entry.fence !== undefined && entry.fence !== fence;
  const outcome: Outcome = isStale ? { tag: 'staleFence', fence } : foldCommand(state, slot, entry, entry.act);
  state.operations.push({ id: entry.id, slot, outcome });
  if (state.operations.length > MAX_OPERATIONS) state.operations.splice(0, state.operations.length - MAX_OPERATIONS);
  return outcome;
}

/**
 * Applies one slot of the replicated log to the state, which is changed in place. Returns the outcomes of its
 * entries.
 */
export function foldBatch(state: ControlState, slot: number, batch: Batch): Outcome[] {
  const outcomes: Outcome[] = [];
  state.closed = [];
  for (const entry of batch.entries) outcomes.push(foldEntry(state, slot, entry));
  state.slot = slot;
  return outcomes;
}

/**
 * The part of the replicated state that operators change, and how their entries change it: the configuration, the
 * evacuated zones, and the history by which a retried change is recognized. A change is applied only on the version
 * it is based on.
 */
import type { Command, ConfigurationChange } from './entry.js';
import { recordChange, recordRepeatedChange, recordZoneOrder, zoneVersion } from './operator-history.js';
import type { OperatorHistory } from './operator-history.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';
import { inverseChanges, withChanges } from '../configuration/settings-tree.js';
import type { Configuration } from '../configuration/settings-tree.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** The part of the replicated state that operators change. */
export type OperatorsState = {
  /** The slot of the last change of the configuration. */
  version: number;
  configuration: Configuration;
  /** Zones under evacuation, each with the slot that started it. */
  evacuated: Record<string, number>;
  history: OperatorHistory;
};

/**
 * Applies a change of the configuration. `id` is that of the entry; it identifies the request of an unnumbered
 * change.
 */
export function foldConfigured(
  state: OperatorsState,
  slot: number,
  id: string,
  command: Extract<Command, { tag: 'configured' }>,
): Outcome {
  if (command.base !== state.version) return { tag: 'staleVersion', winner: state.version };
  const previous = state.configuration;
  state.configuration = withChanges(previous, command.changes) as Configuration;
  state.version = slot;
  const { revision } = command;
  if (revision) {
    const { request, base, number } = revision;
    const undo = inverseChanges(previous, command.changes);
    recordChange(state.history, { request, version: slot, revision: { base, number } }, undo);
  } else {
    const undo = command.changes.some(affectsServing) ? null : state.history.undo;
    recordChange(state.history, { request: id, version: slot }, undo);
  }
  return APPLIED;
}

function affectsServing(change: ConfigurationChange): boolean {
  return change.path.length === 0 || change.path[0] === 'serving';
}

/** Records another request for the change that is in force. */
export function foldChangeRepeated(
  state: OperatorsState,
  command: Extract<Command, { tag: 'changeRepeated' }>,
): Outcome {
  const isRecorded = recordRepeatedChange(state.history, command.request, command.number);
  return isRecorded ? APPLIED : { tag: 'staleVersion', winner: state.version };
}

/**
 * Applies an order to evacuate or restore a zone. An order that is based on a version of the zone is applied only on
 * that version, and advances it even if the zone stays as it is. So an acknowledged order fences off all orders sent
 * before it.
 */
export function foldEvacuation(
  state: OperatorsState,
  slot: number,
  id: string,
  command: Extract<Command, { tag: 'evacuation' }>,
): Outcome {
  const { zone, begun, base } = command;
  const version = zoneVersion(state.history, zone);
  const isUnchanged = begun === (ownValue(state.evacuated, zone) !== undefined);
  if (base !== undefined && base !== version) return { tag: 'staleVersion', winner: version };
  if (base === undefined && isUnchanged) return unfit('unchanged');
  if (!isUnchanged && begun) setOwnValue(state.evacuated, zone, slot);
  if (!isUnchanged && !begun) delete state.evacuated[zone];
  recordZoneOrder(state.history, zone, { request: id, version: slot });
  return APPLIED;
}

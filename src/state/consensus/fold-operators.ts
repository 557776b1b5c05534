/**
 * What operators change, and the fold of their entries: the configuration, which zones are evacuated, and the history by
 * which a change that is sent again is known. A change names the version that it was made on and applies on that alone.
 */
import type { Command, Change } from './entry.js';
import { recordChange, recordRepeated, recordZoneOrder, zoneVersion } from './operator-history.js';
import type { OperatorHistory } from './operator-history.js';
import { APPLIED, unfit } from './outcome.js';
import type { Outcome } from './outcome.js';
import { changesBack, withChanges } from '../configuration/settings-tree.js';
import type { Configuration } from '../configuration/settings-tree.js';

/** What operators changed. */
export type OperatorsState = {
  /** The slot that changed the configuration last. */
  version: number;
  configuration: Configuration;
  /** Zones under evacuation, each with the slot that began it. */
  evacuated: Record<string, number>;
  history: OperatorHistory;
};

/** `id` is the entry's, which names the request of a change that has no numbers of its own. */
export function foldConfigured(
  state: OperatorsState,
  slot: number,
  id: string,
  command: Extract<Command, { tag: 'configured' }>,
): Outcome {
  if (command.base !== state.version) return { tag: 'staleVersion', winner: state.version };
  const before = state.configuration;
  state.configuration = withChanges(before, command.changes) as Configuration;
  state.version = slot;
  const { revision } = command;
  if (revision) {
    const { request, base, number } = revision;
    const undo = changesBack(before, command.changes);
    recordChange(state.history, { request, version: slot, revision: { base, number } }, undo);
  } else {
    const undo = command.changes.some(touchesServing) ? null : state.history.undo;
    recordChange(state.history, { request: id, version: slot }, undo);
  }
  return APPLIED;
}

function touchesServing(change: Change): boolean {
  return change.path.length === 0 || change.path[0] === 'serving';
}

/** Another request for the change that is in force. */
export function foldChangeRepeated(
  state: OperatorsState,
  command: Extract<Command, { tag: 'changeRepeated' }>,
): Outcome {
  const isRecorded = recordRepeated(state.history, command.request, command.number);
  return isRecorded ? APPLIED : { tag: 'staleVersion', winner: state.version };
}

/**
 * An order that names the zone's version is applied only on that version, and moves it also where the zone stays as it
 * is: what was acknowledged fences off all orders that were sent before it.
 */
export function foldEvacuation(
  state: OperatorsState,
  slot: number,
  id: string,
  command: Extract<Command, { tag: 'evacuation' }>,
): Outcome {
  const { zone, begun, base } = command;
  const version = zoneVersion(state.history, zone);
  const isUnchanged = begun === (state.evacuated[zone] !== undefined);
  if (base !== undefined && base !== version) return { tag: 'staleVersion', winner: version };
  if (base === undefined && isUnchanged) return unfit('unchanged');
  if (!isUnchanged && begun) state.evacuated[zone] = slot;
  if (!isUnchanged && !begun) delete state.evacuated[zone];
  recordZoneOrder(state.history, zone, { request: id, version: slot });
  return APPLIED;
}

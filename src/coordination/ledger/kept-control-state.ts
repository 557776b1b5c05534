import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import { emptyControlState, isControlState } from '../../state/control-state.js';
import type { ControlState } from '../../state/control-state.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';

/**
 * What a proxy keeps on its disk: its copy of the control state, written now and then, and the newest slot it has
 * folded (the floor), written at once. After a restart it serves nothing from a state below the floor.
 */
export type KeptControlState = {
  readonly state: ControlState;
  /** The newest slot that was folded in any former life; -1 if none is known. */
  readonly floor: number;
};

export type ControlStateKeeper = {
  /** Writes the newest slot, unless it stands on the disk already. */
  readonly keepFloor: () => void;
  readonly stop: () => void;
};

const STATE_FILE = 'control-state.json';
const FLOOR_FILE = 'floor.json';
const KEEP_EVERY_MS = 5_000;

function floorIn(text: string, ledger: string): number {
  const read = parsedJson(text);
  if (!isTable(read) || typeof read['slot'] !== 'number') return -1;
  return ledger === '' || read['ledger'] === ledger ? read['slot'] : -1;
}

/** Reads what a former life kept; a blank state where there is no disk, or nothing that can be read. */
export async function loadControlState(disk: Disk | null, log: Log): Promise<KeptControlState> {
  const blank = emptyControlState();
  if (!disk) return { state: blank, floor: -1 };
  const stateFile = await disk.load(STATE_FILE);
  const text = stateFile.ok ? stateFile.value : null;
  const read = text ? parsedJson(text.toString()) : null;
  const state = isControlState(read) ? read : blank;
  if (text && state === blank) log.warn('The kept control state was unreadable; it is asked for again.');
  const floorFile = await disk.load(FLOOR_FILE);
  const floor = floorFile.ok && floorFile.value ? floorIn(floorFile.value.toString(), state.ledger) : -1;
  return { state, floor: Math.max(state.slot, floor) };
}

/** Keeps the state that `current` tells, from the slot on that stands on the disk. */
export function createControlStateKeeper(
  disk: Disk | null,
  clock: Clock,
  log: Log,
  current: () => ControlState,
): ControlStateKeeper {
  let savedSlot = current().slot;
  let savedFloor = -1;
  let savingFloor = false;

  async function saveFloor(onto: Disk): Promise<void> {
    savingFloor = true;
    while (savedFloor < current().slot) {
      const { ledger, slot } = current();
      const done = await onto.replace(FLOOR_FILE, Buffer.from(JSON.stringify({ ledger, slot })));
      if (!done.ok) {
        log.warn(`Could not keep the newest slot (${done.fault.tag}).`);
        break;
      }
      savedFloor = slot;
    }
    savingFloor = false;
  }
  function keepFloor(): void {
    if (disk && !savingFloor) void saveFloor(disk);
  }

  async function saveState(onto: Disk): Promise<void> {
    const { slot } = current();
    if (savedSlot >= slot) return;
    const done = await onto.replace(STATE_FILE, Buffer.from(JSON.stringify(current())));
    if (done.ok) savedSlot = slot;
    else log.warn(`Could not keep the control state (${done.fault.tag}).`);
  }
  function keepState(): void {
    if (disk) void saveState(disk);
  }
  const keeping = every(clock, KEEP_EVERY_MS, keepState);
  return { keepFloor, stop: keeping.cancel };
}

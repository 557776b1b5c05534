/** The control state that a proxy stores on its disk. */
import { isJsonObject } from '../../base/is-json-object.js';
import { parseJson } from '../../base/parse-json.js';
import { emptyControlState, isControlState } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';

/**
 * What a proxy stores on its disk: its replica of the control state, written periodically, and the newest slot it has
 * applied (the floor), written immediately. After a restart it serves nothing from a state below the floor.
 */
export type StoredControlState = {
  readonly state: ControlState;
  /** The newest slot that any earlier run of the process applied; -1 if none is known. */
  readonly floor: number;
};

/** Writes the state periodically, and its slot as soon as it changes. */
export interface ControlStateWriter {
  /** Writes the newest slot, unless it is already on the disk. */
  scheduleFloorSave(): void;
  stop(): void;
}

const STATE_FILE = 'control-state.json';
const FLOOR_FILE = 'floor.json';
const STATE_SAVE_INTERVAL_MS = 5_000;

function parseFloor(text: string, ledger: string): number {
  const parsed = parseJson(text);
  if (!isJsonObject(parsed) || typeof parsed['slot'] !== 'number') return -1;
  return ledger === '' || parsed['ledger'] === ledger ? parsed['slot'] : -1;
}

/** Reads what an earlier run stored; returns an empty state if there is no disk or no readable file. */
export async function loadControlState(disk: Disk | null, log: Log): Promise<StoredControlState> {
  const emptyState = emptyControlState();
  if (!disk) return { state: emptyState, floor: -1 };
  const stateFile = await disk.load(STATE_FILE);
  const text = stateFile.ok ? stateFile.value : null;
  const parsed = text ? parseJson(text.toString()) : null;
  const state = isControlState(parsed) ? parsed : emptyState;
  if (text && state === emptyState) log.warn('stored control state unreadable, fetching it');
  const floorFile = await disk.load(FLOOR_FILE);
  const floor = floorFile.ok && floorFile.value ? parseFloor(floorFile.value.toString(), state.ledger) : -1;
  return { state, floor: Math.max(state.slot, floor) };
}

class DiskControlStateWriter implements ControlStateWriter {
  private savedSlot: number;
  private savedFloor = -1;
  private savingFloor = false;
  private readonly saveTimer: Timer;

  constructor(
    private readonly disk: Disk | null,
    clock: Clock,
    private readonly log: Log,
    private readonly current: () => ControlState,
  ) {
    this.savedSlot = this.current().slot;
    this.saveTimer = every(clock, STATE_SAVE_INTERVAL_MS, () => this.scheduleStateSave());
  }

  private async saveFloor(disk: Disk): Promise<void> {
    this.savingFloor = true;
    while (this.savedFloor < this.current().slot) {
      const { ledger, slot } = this.current();
      const result = await disk.replace(FLOOR_FILE, Buffer.from(JSON.stringify({ ledger, slot })));
      if (!result.ok) {
        this.log.warn('slot not stored', { error: result.error.tag });
        break;
      }
      this.savedFloor = slot;
    }
    this.savingFloor = false;
  }

  scheduleFloorSave(): void {
    if (this.disk && !this.savingFloor) void this.saveFloor(this.disk);
  }

  private async saveState(disk: Disk): Promise<void> {
    const { slot } = this.current();
    if (this.savedSlot >= slot) return;
    const result = await disk.replace(STATE_FILE, Buffer.from(JSON.stringify(this.current())));
    if (result.ok) this.savedSlot = slot;
    else this.log.warn('control state not stored', { error: result.error.tag });
  }

  private scheduleStateSave(): void {
    if (this.disk) void this.saveState(this.disk);
  }

  stop(): void {
    this.saveTimer.cancel();
  }
}

/** Writes the state that `current` returns, which initially is the one on the disk. */
export function createControlStateWriter(
  disk: Disk | null,
  clock: Clock,
  log: Log,
  current: () => ControlState,
): ControlStateWriter {
  return new DiskControlStateWriter(disk, clock, log, current);
}

/** The control state as a proxy keeps it on its disk. */
import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import { emptyControlState, isControlState } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';

/**
 * What a proxy keeps on its disk: its copy of the control state, written now and then, and the newest slot it has
 * folded (the floor), written at once. After a restart it serves nothing from a state below the floor.
 */
export type StoredControlState = {
  readonly state: ControlState;
  /** The newest slot that was folded in any former life; -1 if none is known. */
  readonly floor: number;
};

/** Writes the state now and then, and its slot at once. */
export interface ControlStateWriter {
  /** Writes the newest slot, unless it stands on the disk already. */
  scheduleFloorSave(): void;
  stop(): void;
}

const STATE_FILE = 'control-state.json';
const FLOOR_FILE = 'floor.json';
const KEEP_EVERY_MS = 5_000;

function floorIn(text: string, ledger: string): number {
  const parsed = parsedJson(text);
  if (!isTable(parsed) || typeof parsed['slot'] !== 'number') return -1;
  return ledger === '' || parsed['ledger'] === ledger ? parsed['slot'] : -1;
}

/** Reads what a former life kept; a blank state where there is no disk, or nothing that can be read. */
export async function loadControlState(disk: Disk | null, log: Log): Promise<StoredControlState> {
  const blank = emptyControlState();
  if (!disk) return { state: blank, floor: -1 };
  const stateFile = await disk.load(STATE_FILE);
  const text = stateFile.ok ? stateFile.value : null;
  const parsed = text ? parsedJson(text.toString()) : null;
  const state = isControlState(parsed) ? parsed : blank;
  if (text && state === blank) log.warn('stored control state unreadable, fetching it');
  const floorFile = await disk.load(FLOOR_FILE);
  const floor = floorFile.ok && floorFile.value ? floorIn(floorFile.value.toString(), state.ledger) : -1;
  return { state, floor: Math.max(state.slot, floor) };
}

class DiskControlStateWriter implements ControlStateWriter {
  private savedSlot: number;
  private savedFloor = -1;
  private savingFloor = false;
  private readonly keeping: Timer;

  constructor(
    private readonly disk: Disk | null,
    clock: Clock,
    private readonly log: Log,
    private readonly current: () => ControlState,
  ) {
    this.savedSlot = this.current().slot;
    this.keeping = every(clock, KEEP_EVERY_MS, () => this.scheduleStateSave());
  }

  private async saveFloor(onto: Disk): Promise<void> {
    this.savingFloor = true;
    while (this.savedFloor < this.current().slot) {
      const { ledger, slot } = this.current();
      const done = await onto.replace(FLOOR_FILE, Buffer.from(JSON.stringify({ ledger, slot })));
      if (!done.ok) {
        this.log.warn('slot not stored', { error: done.error.tag });
        break;
      }
      this.savedFloor = slot;
    }
    this.savingFloor = false;
  }

  scheduleFloorSave(): void {
    if (this.disk && !this.savingFloor) void this.saveFloor(this.disk);
  }

  private async saveState(onto: Disk): Promise<void> {
    const { slot } = this.current();
    if (this.savedSlot >= slot) return;
    const done = await onto.replace(STATE_FILE, Buffer.from(JSON.stringify(this.current())));
    if (done.ok) this.savedSlot = slot;
    else this.log.warn('control state not stored', { error: done.error.tag });
  }

  private scheduleStateSave(): void {
    if (this.disk) void this.saveState(this.disk);
  }

  stop(): void {
    this.keeping.cancel();
  }
}

/** Keeps the state that `current` tells, from the slot on that stands on the disk. */
export function createControlStateWriter(
  disk: Disk | null,
  clock: Clock,
  log: Log,
  current: () => ControlState,
): ControlStateWriter {
  return new DiskControlStateWriter(disk, clock, log, current);
}

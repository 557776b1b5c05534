/** The newest slots of the ledger, kept as batches. */
import type { Batch } from './entry.js';

/** One slot of the ledger and the batch that was chosen for it. */
export type RecentSlot = { readonly slot: number; readonly batch: Batch };

/**
 * The newest slots of the ledger, kept as batches so that a node which lags a little is told just what it
 * lacks. Bounded in number and in bytes; whoever lags further takes a snapshot. Slots are consecutive.
 */
export interface RecentSlots {
  remember(slot: number, batch: Batch, bytes: number): void;
  clear(): void;
  /** All slots from this one on; null if the first of them is no longer kept. */
  since(from: number): readonly RecentSlot[] | null;
  /** As many of these as fit the bound, but one at least. */
  page(from: number, mostBytes: number): readonly RecentSlot[] | null;
  /** Bytes of all slots from this one on; null if the first of them is no longer kept. */
  bytesSince(from: number): number | null;
}

const MOST_SLOTS = 2_048;
const MOST_BYTES = 2 * 1_048_576;

type KeptSlot = RecentSlot & { readonly bytes: number };

class BoundedRecentSlots implements RecentSlots {
  private slots: KeptSlot[] = [];
  private bytes = 0;

  /** Down to half of the bound at a time, so that the list is not copied for each slot. */
  private trim(): void {
    let dropped = 0;
    while (
      this.slots.length - dropped > 1 &&
      (this.slots.length - dropped > MOST_SLOTS || this.bytes > MOST_BYTES / 2)
    ) {
      this.bytes -= (this.slots[dropped] as KeptSlot).bytes;
      dropped += 1;
    }
    this.slots = this.slots.slice(dropped);
  }

  remember(slot: number, batch: Batch, size: number): void {
    this.slots.push({ slot, batch, bytes: size });
    this.bytes += size;
    if (this.slots.length > 2 * MOST_SLOTS || this.bytes > MOST_BYTES) this.trim();
  }

  clear(): void {
    this.slots = [];
    this.bytes = 0;
  }

  private slotsSince(from: number): readonly KeptSlot[] | null {
    const first = this.slots[0];
    return first && first.slot <= from ? this.slots.slice(from - first.slot) : null;
  }

  page(from: number, mostBytes: number): readonly RecentSlot[] | null {
    const all = this.slotsSince(from);
    if (!all) return null;
    const out: RecentSlot[] = [];
    let size = 0;
    for (const keptSlot of all) {
      size += keptSlot.bytes;
      if (out.length > 0 && size > mostBytes) break;
      out.push({ slot: keptSlot.slot, batch: keptSlot.batch });
    }
    return out;
  }

  since(from: number): readonly RecentSlot[] | null {
    return this.page(from, Infinity);
  }

  bytesSince(from: number): number | null {
    const all = this.slotsSince(from);
    if (!all) return null;
    let size = 0;
    for (const keptSlot of all) size += keptSlot.bytes;
    return size;
  }
}

/** No slots yet. */
export function createRecentSlots(): RecentSlots {
  return new BoundedRecentSlots();
}

/** The newest slots of the replicated log, kept in memory as batches. */
import type { Batch } from './entry.js';

/** A slot of the replicated log and the batch that was chosen for it. */
export type RecentSlot = { readonly slot: number; readonly batch: Batch };

/**
 * The newest slots of the replicated log, kept as batches so that a node which is slightly behind can catch up with
 * just the missing slots. Bounded in number and in bytes; a node that is further behind fetches a snapshot. Slots are
 * consecutive.
 */
export interface RecentSlots {
  add(slot: number, batch: Batch, bytes: number): void;
  clear(): void;
  /** Returns all slots from this one on; null if the first of them is no longer kept. */
  since(from: number): readonly RecentSlot[] | null;
  /** Returns as many of these as fit `maxBytes`, but at least one; null if the first of them is no longer kept. */
  page(from: number, maxBytes: number): readonly RecentSlot[] | null;
  /** Returns the size of all slots from this one on; null if the first of them is no longer kept. */
  bytesSince(from: number): number | null;
}

const MAX_SLOTS = 2_048;
const MAX_BYTES = 2 * 1_048_576;

type SizedSlot = RecentSlot & { readonly bytes: number };

class BoundedRecentSlots implements RecentSlots {
  private slots: SizedSlot[] = [];
  private bytes = 0;

  /** Drops the oldest slots down to half of the bound at once, so that the list is not copied for each slot. */
  private trim(): void {
    let dropped = 0;
    while (this.slots.length - dropped > 1 && (this.slots.length - dropped > MAX_SLOTS || this.bytes > MAX_BYTES / 2)) {
      this.bytes -= (this.slots[dropped] as SizedSlot).bytes;
      dropped += 1;
    }
    this.slots = this.slots.slice(dropped);
  }

  add(slot: number, batch: Batch, size: number): void {
    this.slots.push({ slot, batch, bytes: size });
    this.bytes += size;
    if (this.slots.length > 2 * MAX_SLOTS || this.bytes > MAX_BYTES) this.trim();
  }

  clear(): void {
    this.slots = [];
    this.bytes = 0;
  }

  private slotsSince(from: number): readonly SizedSlot[] | null {
    const first = this.slots[0];
    return first && first.slot <= from ? this.slots.slice(from - first.slot) : null;
  }

  page(from: number, maxBytes: number): readonly RecentSlot[] | null {
    const all = this.slotsSince(from);
    if (!all) return null;
    const fitting: RecentSlot[] = [];
    let size = 0;
    for (const sizedSlot of all) {
      size += sizedSlot.bytes;
      if (fitting.length > 0 && size > maxBytes) break;
      fitting.push({ slot: sizedSlot.slot, batch: sizedSlot.batch });
    }
    return fitting;
  }

  since(from: number): readonly RecentSlot[] | null {
    return this.page(from, Infinity);
  }

  bytesSince(from: number): number | null {
    const all = this.slotsSince(from);
    if (!all) return null;
    let size = 0;
    for (const sizedSlot of all) size += sizedSlot.bytes;
    return size;
  }
}

/** Returns an empty list. */
export function createRecentSlots(): RecentSlots {
  return new BoundedRecentSlots();
}

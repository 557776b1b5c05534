import type { Batch } from './entry.js';

/** One slot of the ledger and the batch that was chosen for it. */
export type RecentSlot = { readonly slot: number; readonly batch: Batch };

/**
 * The newest slots of the ledger, kept as batches so that a node which lags a little is told just what it
 * lacks. Bounded in number and in bytes; whoever lags further takes a snapshot. Slots are consecutive.
 */
export type RecentSlots = {
  readonly remember: (slot: number, batch: Batch, bytes: number) => void;
  readonly clear: () => void;
  /** All slots from this one on; null if the first of them is no longer kept. */
  readonly since: (from: number) => readonly RecentSlot[] | null;
  /** As many of these as fit the bound, but one at least. */
  readonly page: (from: number, mostBytes: number) => readonly RecentSlot[] | null;
  /** Bytes of all slots from this one on; null if the first of them is no longer kept. */
  readonly bytesSince: (from: number) => number | null;
};

const MOST_SLOTS = 2_048;
const MOST_BYTES = 2 * 1_048_576;

type Kept = RecentSlot & { readonly bytes: number };

export function createRecentSlots(): RecentSlots {
  let kept: Kept[] = [];
  let bytes = 0;

  /** Down to half of the bound at a time, so that the list is not copied for each slot. */
  function trim(): void {
    let dropped = 0;
    while (kept.length - dropped > 1 && (kept.length - dropped > MOST_SLOTS || bytes > MOST_BYTES / 2)) {
      bytes -= (kept[dropped] as Kept).bytes;
      dropped += 1;
    }
    kept = kept.slice(dropped);
  }

  function remember(slot: number, batch: Batch, size: number): void {
    kept.push({ slot, batch, bytes: size });
    bytes += size;
    if (kept.length > 2 * MOST_SLOTS || bytes > MOST_BYTES) trim();
  }
  function clear(): void {
    kept = [];
    bytes = 0;
  }

  function keptSince(from: number): readonly Kept[] | null {
    const first = kept[0];
    return first && first.slot <= from ? kept.slice(from - first.slot) : null;
  }
  function page(from: number, mostBytes: number): readonly RecentSlot[] | null {
    const all = keptSince(from);
    if (!all) return null;
    const out: RecentSlot[] = [];
    let size = 0;
    for (const k of all) {
      size += k.bytes;
      if (out.length > 0 && size > mostBytes) break;
      out.push({ slot: k.slot, batch: k.batch });
    }
    return out;
  }
  function since(from: number): readonly RecentSlot[] | null {
    return page(from, Infinity);
  }
  function bytesSince(from: number): number | null {
    const all = keptSince(from);
    if (!all) return null;
    let size = 0;
    for (const k of all) size += k.bytes;
    return size;
  }
  return { remember, clear, since, page, bytesSince };
}

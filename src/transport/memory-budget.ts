/**
 * Bounds the bytes that a process holds for all its callers together: bodies that are being received or forwarded, and
 * responses that callers have not read yet. A full budget does not shut out ordinary callers: requests that have not
 * arrived whole give way, those first that stall or hold most, and the last part is for small requests only.
 */
import type { Clock } from './clock.js';
import { HoldsBySize } from './holds-by-size.js';
import type { Log } from './log.js';
import { OverloadLog } from './overload-log.js';

/** What one request holds. */
export interface MemoryHold {
  /** Changes the number of bytes held. Returns false, and changes nothing, if the budget has no room for them. */
  tryResize(bytes: number): boolean;
  /** Must be called when the request makes progress. */
  touch(): void;
  /** From now on the request does not give way to others. */
  keep(): void;
  release(): void;
}

/** Hands out the budget. */
export interface MemoryBudget {
  /** Opens a hold of no bytes. `onEvicted` is called when it gives way to another; its bytes are released by then. */
  open(onEvicted: () => void): MemoryHold;
  heldBytes(): number;
  /** Raises the budget, or lowers it again, to what it was created with or to `bytes`, whichever is more. */
  ensure(bytes: number): void;
}

/** Larger requests may fill only this share of the budget. */
const LARGE_SHARE = 0.75;
/** A request that holds no more than this is small. */
const MAX_SMALL_BYTES = 65_536;
/** A request without progress for this long gives way first, in milliseconds. */
const STALL_MS = 1_000;
/** Progress is recorded no more often than this, in milliseconds. */
const PROGRESS_RESOLUTION_MS = 50;

class Hold implements MemoryHold {
  bytes = 0;
  lastProgressAt: number;
  mayGiveWay = true;

  constructor(
    private readonly budget: SharedBudget,
    readonly onEvicted: () => void,
    now: number,
  ) {
    this.lastProgressAt = now;
  }

  tryResize(bytes: number): boolean {
    return this.budget.tryResize(this, bytes);
  }

  touch(): void {
    const now = this.budget.now();
    if (now - this.lastProgressAt < PROGRESS_RESOLUTION_MS) return;
    this.lastProgressAt = now;
    this.budget.reorder(this);
  }

  keep(): void {
    this.mayGiveWay = false;
    this.budget.reorder(this);
  }

  release(): void {
    this.budget.release(this);
  }
}

class SharedBudget implements MemoryBudget {
  private readonly holds = new Set<Hold>();
  private readonly evictable = new HoldsBySize<Hold>();
  private held = 0;
  private maxBytes: number;
  private readonly evictions: OverloadLog;
  private readonly refusals: OverloadLog;

  constructor(
    private readonly initialBytes: number,
    private readonly clock: Clock,
    log: Log,
  ) {
    this.maxBytes = initialBytes;
    this.evictions = new OverloadLog('incomplete request gave way', clock, log);
    this.refusals = new OverloadLog('no memory left for callers', clock, log);
  }

  open(onEvicted: () => void): MemoryHold {
    const hold = new Hold(this, onEvicted, this.now());
    this.holds.add(hold);
    return hold;
  }

  heldBytes(): number {
    return this.held;
  }

  ensure(bytes: number): void {
    this.maxBytes = Math.max(this.initialBytes, bytes);
  }

  now(): number {
    return this.clock.mono();
  }

  tryResize(hold: Hold, bytes: number): boolean {
    const added = bytes - hold.bytes;
    if (added > 0 && !this.makeRoom(hold, bytes, added)) {
      this.refusals.record(() => ({ heldBytes: this.held, maxBytes: this.maxBytes, callers: this.holds.size }));
      return false;
    }
    hold.bytes = bytes;
    this.held += added;
    this.reorder(hold);
    return true;
  }

  reorder(hold: Hold): void {
    if (hold.mayGiveWay && this.holds.has(hold)) this.evictable.put(hold);
    else this.evictable.delete(hold);
  }

  release(hold: Hold): void {
    if (!this.holds.delete(hold)) return;
    this.held -= hold.bytes;
    hold.bytes = 0;
    this.evictable.delete(hold);
  }

  private makeRoom(hold: Hold, bytes: number, added: number): boolean {
    if (!this.holds.has(hold)) return false;
    const limit = bytes <= MAX_SMALL_BYTES ? this.maxBytes : this.maxBytes * LARGE_SHARE;
    while (this.held + added > limit) {
      const evicted = this.evictable.find(this.now() - STALL_MS, bytes, hold);
      if (!evicted) return false;
      this.evictions.record(() => ({ heldBytes: evicted.bytes, callers: this.holds.size }));
      this.release(evicted);
      evicted.onEvicted();
    }
    return true;
  }
}

/** Creates an empty budget of `maxBytes`. */
export function createMemoryBudget(maxBytes: number, clock: Clock, log: Log): MemoryBudget {
  return new SharedBudget(maxBytes, clock, log);
}

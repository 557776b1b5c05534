/**
 * Bounds the processor time that bodies in tiny pieces take from other callers: each piece costs as much as a short request.
 * Any caller may send such a body, but only few bodies are taken at once; in a crowd of them, others give way.
 */
import type { Clock } from './clock.js';

/** Bodies in tiny pieces that are taken at once. */
const MAX_BODIES = 2;
/** A body that has had its slot for this long gives way to the next one, in milliseconds. */
const SLOT_MS = 1_000;

/** A body that may have to give way. */
export interface TinyPieceBody {
  /** Called when another body takes its slot. */
  readonly onDisplaced: () => void;
}

/** The slots of a process. */
export class TinyPieceSlots {
  /** The time at which each body got its slot, the oldest first. */
  private readonly since = new Map<TinyPieceBody, number>();

  constructor(private readonly clock: Clock) {}

  /** Returns false if all slots are taken by bodies that got them a short time ago. */
  tryEnter(body: TinyPieceBody): boolean {
    const now = this.clock.mono();
    if (this.since.size >= MAX_BODIES && !this.tryDisplaceOldest(now)) return false;
    this.since.set(body, now);
    return true;
  }

  leave(body: TinyPieceBody): void {
    this.since.delete(body);
  }

  private tryDisplaceOldest(now: number): boolean {
    const [oldest] = this.since;
    if (oldest === undefined) return true;
    const [body, since] = oldest;
    if (now - since < SLOT_MS) return false;
    this.since.delete(body);
    body.onDisplaced();
    return true;
  }
}

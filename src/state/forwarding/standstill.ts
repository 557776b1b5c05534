/** Detects that the process stood still. */

/**
 * Tells when the process has just gone on after a standstill (frozen, or starved of processor time).
 * What the network told meanwhile, such as callers that have left, is read only afterwards and in any
 * order, so whoever is about to send something first waits until that has been read.
 */
export interface Standstill {
  /** To be called at least each 250 ms, and before a send: the moment to wait for, or null. */
  observe(now: number): number | null;
}

/**
 * No turn of the event loop for so long is a standstill. A caller that left half a second ago must not be
 * served any more, so no longer one may go unnoticed; the proxy looks at itself each 250 ms.
 */
const GAP_MS = 500;
/** By then what waited at the sockets has been read: one turn reads them all, an ended connection takes two more. */
const READ_TIMEOUT_MS = 40;

class GapStandstill implements Standstill {
  private last: number | null = null;
  private holdUntil = 0;

  constructor(private readonly holdMs: number) {}

  observe(now: number): number | null {
    if (this.last !== null && now - this.last > GAP_MS) this.holdUntil = now + this.holdMs;
    this.last = now;
    return now < this.holdUntil ? this.holdUntil : null;
  }
}

/** A detector that has not been called yet; the moment that it tells is `holdMs` after the end of a standstill. */
export function createStandstill(holdMs = READ_TIMEOUT_MS): Standstill {
  return new GapStandstill(holdMs);
}

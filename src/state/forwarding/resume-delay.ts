/** Detects process pauses. */

/**
 * Detects that the process has just resumed after a pause (frozen, or starved of processor time). Network events of
 * the meantime, such as callers that disconnected, are read only afterwards and in any order, so code that is about to
 * send something waits first until they have been read.
 */
export interface ResumeDelay {
  /**
   * Returns the time until which to wait before sending, or null if there was no pause. To be called at least every
   * 250 ms, and before each send.
   */
  observe(now: number): number | null;
}

/**
 * A longer time without a tick of the event loop is a pause. A caller that disconnected half a second ago must not be
 * served any more, so no longer pause may go unnoticed; the proxy checks every 250 ms.
 */
const MIN_PROCESS_PAUSE_MS = 500;
/** Time to read what waits at the sockets: one tick reads them all, a connection that has ended takes two more. */
const SOCKET_READ_DELAY_MS = 40;

class GapResumeDelay implements ResumeDelay {
  private lastObservedAt: number | null = null;
  private holdUntil = 0;

  constructor(private readonly holdMs: number) {}

  observe(now: number): number | null {
    if (this.lastObservedAt !== null && now - this.lastObservedAt > MIN_PROCESS_PAUSE_MS)
      this.holdUntil = now + this.holdMs;
    this.lastObservedAt = now;
    return now < this.holdUntil ? this.holdUntil : null;
  }
}

/** Creates a detector; the time that `observe` returns is `holdMs` after the end of a pause. */
export function createResumeDelay(holdMs = SOCKET_READ_DELAY_MS): ResumeDelay {
  return new GapResumeDelay(holdMs);
}

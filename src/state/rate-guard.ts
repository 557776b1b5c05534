/**
 * Bounds how many starts a sliding window of time may hold. Used where a cold worker takes only
 * so many requests a second.
 */

/** `room` asks whether one more fits, `take` counts it. */
export type RateGuard = { readonly room: (now: number, most: number) => boolean; readonly take: (now: number) => void };

/** A window of `windowMs` without starts. */
export function createRateGuard(windowMs: number): RateGuard {
  let at: number[] = [];
  function room(now: number, most: number): boolean {
    while (at.length > 0 && now - (at[0] as number) >= windowMs) at.shift();
    return at.length + 1 <= most;
  }
  function take(now: number): void {
    at.push(now);
    if (at.length > 4_096) at = at.slice(-2_048);
  }
  return { room, take };
}

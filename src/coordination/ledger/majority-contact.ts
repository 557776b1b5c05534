import type { Clock } from '../../transport/clock.js';

/**
 * When a proxy last had contact with a majority of the core. It sends numbers (nonces) to controllers, and one that
 * comes back attested proves contact as of the moment it was sent. After a standstill of the process what was
 * sent before counts no more.
 */
export type MajorityContact = {
  readonly nextNonce: () => number;
  /** When an attested number was sent; null if it is unknown, or from before the newest standstill. */
  readonly sentAt: (nonce: number) => number | null;
  /** Notes contact as of then; false if none newer than what is known. */
  readonly note: (sentAt: number) => boolean;
  /** To be called whenever the process runs: it notices a standstill, and tells `onStandstill`. */
  readonly noteTurn: () => void;
  /** Whether there was contact since the process began, or since it last stood still. */
  readonly isKnown: () => boolean;
  /** Whether the newest contact is too long ago. */
  readonly isLost: () => boolean;
  readonly wokeAt: () => number;
};

const NONCES_KEPT = 16;
/** Turns come each 100 ms; a gap this long is a machine that was frozen or starved. */
const STANDSTILL_MS = 1_500;
/** Two beats and the way of the next one. */
const LOST_MS = 2_500;

export function createMajorityContact(clock: Clock, onStandstill: (gapMs: number) => void): MajorityContact {
  const nonces = new Map<number, number>();
  let nonce = 0;
  let firstCounted = 1;
  let contactAt: number | null = null;
  let lastTurn = clock.mono();
  let wokeAt = lastTurn;

  function nextNonce(): number {
    nonce += 1;
    nonces.set(nonce, clock.mono());
    for (const old of nonces.keys()) if (nonces.size > NONCES_KEPT) nonces.delete(old);
    return nonce;
  }
  function sentAt(attested: number): number | null {
    return attested >= firstCounted ? (nonces.get(attested) ?? null) : null;
  }
  function note(at: number): boolean {
    if (contactAt !== null && at <= contactAt) return false;
    contactAt = at;
    return true;
  }

  function noteTurn(): void {
    const now = clock.mono();
    const gap = now - lastTurn;
    lastTurn = now;
    if (gap <= STANDSTILL_MS) return;
    contactAt = null;
    firstCounted = nonce + 1;
    wokeAt = now;
    onStandstill(gap);
  }
  function isKnown(): boolean {
    return contactAt !== null;
  }
  function isLost(): boolean {
    return contactAt !== null && clock.mono() - contactAt > LOST_MS;
  }
  function newestWaking(): number {
    return wokeAt;
  }
  return { nextNonce, sentAt, note, noteTurn, isKnown, isLost, wokeAt: newestWaking };
}

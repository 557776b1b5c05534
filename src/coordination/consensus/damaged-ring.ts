/** Recovery from a damaged ring log: the controller rejoins with a blank log under a new incarnation. */
import type { Result } from '../../base/result.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import { clearRing } from '../../transport/ring.js';
import type { RingError, RingShape } from '../../transport/ring.js';

/**
 * A controller whose ring log is damaged no longer knows its promises and must never vote again as the member that made
 * them. It therefore switches to a new incarnation, which is on disk before any part of the ring is cleared. It then
 * starts as a blank controller that catches up from the others and asks to be admitted. A power loss in between leaves
 * the new incarnation and the damage, and the next start repeats the procedure.
 */
export type DamagedRingDeps = {
  readonly disk: Disk;
  readonly shape: RingShape;
  readonly log: Log;
  /** Switches to a new incarnation and stores it; false if it can't be written. */
  readonly renew: () => Promise<boolean>;
  /** Returns the member id of this node, for the log. */
  readonly self: () => string;
};

/** Calls `open`. If it reports a damaged ring, clears the ring and opens it again under a new incarnation. */
export async function openRenewed<T>(
  open: () => Promise<Result<T, RingError>>,
  deps: DamagedRingDeps,
): Promise<Result<T, RingError>> {
  const opened = await open();
  if (opened.ok || opened.error.tag !== 'ringDamaged') return opened;
  const { file, at } = opened.error;
  const previousId = deps.self();
  if (!(await deps.renew())) return opened;
  const cleared = await clearRing(deps.disk, deps.shape);
  if (!cleared.ok) return cleared;
  deps.log.error('log damaged, rejoining blank', { file, offset: at, previous: previousId, member: deps.self() });
  return open();
}

/** What a controller does whose log is damaged on the disk: it rejoins blank, under a new incarnation. */
import type { Result } from '../../base/result.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';
import { clearRing } from '../../transport/ring.js';
import type { RingError, RingShape } from '../../transport/ring.js';

/**
 * A controller whose ring is damaged no longer knows what it promised. It must never vote again as the member that
 * promised it, so it takes a new incarnation first, which is on the disk before anything of the ring is cleared;
 * then it is a blank controller that learns all from the others and asks to be admitted. Power lost in between
 * leaves the new incarnation and the damage, and the next start does the same again.
 */
export type DamagedRingDeps = {
  readonly disk: Disk;
  readonly shape: RingShape;
  readonly log: Log;
  /** Takes a new incarnation and writes it; false if it can't be written. */
  readonly renew: () => Promise<boolean>;
  /** Names the member that this node is, for the log. */
  readonly self: () => string;
};

/** Opens what stands on a ring; where the ring is damaged, opens it anew under a new incarnation. */
export async function openRenewed<T>(
  open: () => Promise<Result<T, RingError>>,
  deps: DamagedRingDeps,
): Promise<Result<T, RingError>> {
  const opened = await open();
  if (opened.ok || opened.error.tag !== 'ringDamaged') return opened;
  const { file, at } = opened.error;
  const previous = deps.self();
  if (!(await deps.renew())) return opened;
  const cleared = await clearRing(deps.disk, deps.shape);
  if (!cleared.ok) return cleared;
  deps.log.error('log damaged, rejoining blank', { file, offset: at, previous, member: deps.self() });
  return open();
}

/**
 * Derives the incarnation of a node for the failure detector from a count of its starts, which it keeps on its disk, so
 * that a restarted node begins with a higher incarnation than before.
 */
import { isJsonObject } from '../../base/is-json-object.js';
import { parseJson } from '../../base/parse-json.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';

const INCARNATION_FILE = 'life.json';
/** Incarnations reserved for each start: a node raises its incarnation whenever it refutes its own failure. */
const INCARNATIONS_PER_START = 4_096;

/** Counts this start on the disk and returns its first incarnation; returns 0 without a disk. */
export async function nextIncarnation(disk: Disk | null, log: Log): Promise<number> {
  if (!disk) return 0;
  const stored = await disk.load(INCARNATION_FILE);
  const parsed = stored.ok && stored.value ? parseJson(stored.value.toString()) : null;
  const previousStarts = isJsonObject(parsed) && Number.isInteger(parsed['life']) ? (parsed['life'] as number) : 0;
  const saved = await disk.replace(INCARNATION_FILE, Buffer.from(JSON.stringify({ life: previousStarts + 1 })));
  if (!saved.ok) log.warn('incarnation not stored', { error: saved.error.tag });
  return (previousStarts + 1) * INCARNATIONS_PER_START;
}

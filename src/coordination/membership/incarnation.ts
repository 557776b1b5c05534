/** Counts the starts of a node on its disk, for the failure detector. */
import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import type { Disk } from '../../transport/disk.js';
import type { Log } from '../../transport/log.js';

const LIFE_FILE = 'life.json';
const STEPS_IN_A_LIFE = 4_096;

/** The first incarnation of this start; without a disk, 0. */
export async function nextIncarnation(disk: Disk | null, log: Log): Promise<number> {
  if (!disk) return 0;
  const stored = await disk.load(LIFE_FILE);
  const read = stored.ok && stored.value ? parsedJson(stored.value.toString()) : null;
  const before = isTable(read) && Number.isInteger(read['life']) ? (read['life'] as number) : 0;
  const saved = await disk.replace(LIFE_FILE, Buffer.from(JSON.stringify({ life: before + 1 })));
  if (!saved.ok) log.warn('incarnation not stored', { error: saved.error.tag });
  return (before + 1) * STEPS_IN_A_LIFE;
}

/** Counts of messages by node pair, written to a file for capacity measurements. */
import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { createTally } from '../standin/tally.js';
import type { Place, Places, Tally } from '../standin/tally.js';

/** Where nodes are, and the file to write. */
export type TallySettings = { readonly file: string; readonly places: string };

const WRITE_MS = 250;

/** Locations of nodes by address, from a file. */
export function readPlaces(path: string): Places {
  return JSON.parse(readFileSync(path, 'utf8')) as Places;
}

/** Counts into a file each second. */
export function tallyInto(tallySettings: TallySettings, extra: () => unknown): Tally {
  const tally = createTally(readPlaces(tallySettings.places));
  function write(): void {
    const { rss, heapUsed } = process.memoryUsage();
    writeFileSync(
      `${tallySettings.file}.new`,
      JSON.stringify({
        at: performance.now(),
        hostMs: Number(process.hrtime.bigint()) / 1e6,
        pid: process.pid,
        rss,
        heapUsed,
        cpu: process.cpuUsage(),
        rows: tally.rows(),
        extra: extra(),
      }),
    );
    renameSync(`${tallySettings.file}.new`, tallySettings.file);
  }
  setInterval(write, WRITE_MS).unref();
  write();
  return tally;
}

/** The location of an address, or unknown. */
export function placeAt(tally: TallySettings, address: string): Place {
  return readPlaces(tally.places)[address] ?? { role: 'unknown', zone: '', region: '' };
}

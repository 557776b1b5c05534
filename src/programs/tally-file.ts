/** Counts messages by pair of roles and distance, and writes the counts to a file for capacity measurements. */
import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { createTally } from '../standin/tally.js';
import type { NodeLocation, NodeLocations, TrafficTally } from '../standin/tally.js';
import { ownValue } from '../base/own-value.js';

/** The file to write, and the file with the locations of the nodes. */
export type TallySettings = { readonly file: string; readonly places: string };

const WRITE_INTERVAL_MS = 250;

/** Reads the locations of nodes by address from a file. */
export function readLocations(path: string): NodeLocations {
  return JSON.parse(readFileSync(path, 'utf8')) as NodeLocations;
}

/** Returns counters that are written to the file every 250 ms, together with `extra` and the use of memory and CPU. */
export function createFileTally(tallySettings: TallySettings, extra: () => unknown): TrafficTally {
  const tally = createTally(readLocations(tallySettings.places));
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
  setInterval(write, WRITE_INTERVAL_MS).unref();
  write();
  return tally;
}

/** Returns the location of an address; role `unknown` if the file does not list it. */
export function locationOf(tallySettings: TallySettings, address: string): NodeLocation {
  return ownValue(readLocations(tallySettings.places), address) ?? { role: 'unknown', zone: '', region: '' };
}

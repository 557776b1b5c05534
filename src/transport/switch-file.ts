/**
 * Faults for trials on real processes: a file, looked at ten times a second, names cut links
 * and full disks. Without a file, as in production, every switch is off.
 */

import { readFileSync } from 'node:fs';
import { isTable } from '../base/is-table.js';
import { parsedJson } from '../base/parsed-json.js';

/** Whether the link from one end to another is cut, and whether a node's disk is to act full. */
export type Switches = {
  readonly isPartitioned: (from: string, to: string) => boolean;
  readonly isFull: (node: string) => boolean;
};

const LOOK_MS = 100;

function textsIn(value: unknown): ReadonlySet<string> {
  const out = new Set<string>();
  if (Array.isArray(value)) for (const item of value) if (typeof item === 'string') out.add(item);
  return out;
}

/** The switches of a file; all off if none is named. */
export function switchesAt(path: string | undefined): Switches {
  return path === undefined ? noSwitches() : watchSwitchFile(path);
}

function watchSwitchFile(path: string): Switches {
  let partitions: ReadonlySet<string> = new Set();
  let full: ReadonlySet<string> = new Set();

  function readSwitches(): void {
    let text: string;
    try {
      text = readFileSync(path, 'utf8');
    } catch {
      return;
    }
    const read = parsedJson(text);
    if (!isTable(read)) return;
    partitions = textsIn(read['cuts']);
    full = textsIn(read['fullDisks']);
  }
  setInterval(readSwitches, LOOK_MS).unref();
  readSwitches();

  function isPartitioned(from: string, to: string): boolean {
    return partitions.has(`${from}>${to}`);
  }
  function isFull(node: string): boolean {
    return full.has(node);
  }
  return { isPartitioned, isFull };
}

function noSwitches(): Switches {
  function never(): boolean {
    return false;
  }
  return { isPartitioned: never, isFull: never };
}

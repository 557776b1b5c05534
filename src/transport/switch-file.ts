/**
 * Fault injection for tests on real processes. A file, which is read ten times a second, lists partitioned links
 * and full disks. Without a file, as in production, no fault is injected.
 */

import { readFileSync } from 'node:fs';
import { isJsonObject } from '../base/is-json-object.js';
import { parseJson } from '../base/parse-json.js';

/** Whether the link from one end to another is partitioned, and whether a node's disk behaves as full. */
export type FaultSwitches = {
  readonly isPartitioned: (from: string, to: string) => boolean;
  readonly isFull: (node: string) => boolean;
};

const READ_INTERVAL_MS = 100;

function stringsIn(value: unknown): ReadonlySet<string> {
  const out = new Set<string>();
  if (Array.isArray(value)) for (const item of value) if (typeof item === 'string') out.add(item);
  return out;
}

/** Returns the switches in the file at `path`; without a path all are off. */
export function createFaultSwitches(path: string | undefined): FaultSwitches {
  return path === undefined ? noSwitches() : watchSwitchFile(path);
}

function watchSwitchFile(path: string): FaultSwitches {
  let partitions: ReadonlySet<string> = new Set();
  let fullDisks: ReadonlySet<string> = new Set();

  function readSwitches(): void {
    let text: string;
    try {
      text = readFileSync(path, 'utf8');
    } catch {
      return;
    }
    const parsed = parseJson(text);
    if (!isJsonObject(parsed)) return;
    partitions = stringsIn(parsed['cuts']);
    fullDisks = stringsIn(parsed['fullDisks']);
  }
  setInterval(readSwitches, READ_INTERVAL_MS).unref();
  readSwitches();

  function isPartitioned(from: string, to: string): boolean {
    return partitions.has(`${from}>${to}`);
  }
  function isFull(node: string): boolean {
    return fullDisks.has(node);
  }
  return { isPartitioned, isFull };
}

function noSwitches(): FaultSwitches {
  function never(): boolean {
    return false;
  }
  return { isPartitioned: never, isFull: never };
}

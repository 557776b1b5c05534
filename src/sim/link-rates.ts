import type { Host } from './world.js';

/**
 * How fast the simulated network carries bytes. Two limits, both off unless set: a window, which is
 * the number of bytes one connection may have under way in one direction per round trip between
 * zones (as a receive buffer bounds TCP), and a line rate for all that one host sends, and likewise
 * for all that it receives. Slow start and loss are not modelled.
 */
export type LinkRates = {
  /** Bytes per round trip on each connection between two zones; 0 takes the limit away. */
  readonly limitWindow: (bytes: number) => void;
  /** Line rate of one host in each direction, in bits per second. */
  readonly limitHost: (host: string, bitsPerSecond: number) => void;
  /** Milliseconds that a frame waits and is in transmission, beside the delay of its way. */
  readonly holdMs: (frame: SentFrame) => number;
};

export type SentFrame = {
  readonly from: Host;
  readonly to: Host;
  readonly bytes: number;
  readonly now: number;
  /** Delay of one way, in milliseconds. */
  readonly delayMs: number;
  /** The sending direction of the connection; it remembers what is under way. */
  readonly pipe: Pipe;
};

/** One direction of a connection: how many bytes of its window were free, and when that was counted. */
export type Pipe = { free: number; countedAt: number };

export function createPipe(): Pipe {
  return { free: Infinity, countedAt: 0 };
}

const BITS_IN_BYTE = 8;
const MS_IN_SECOND = 1_000;

export function createLinkRates(): LinkRates {
  const rates = new Map<string, number>();
  const busyUntil = new Map<string, number>();
  let windowBytes = 0;

  function limitWindow(bytes: number): void {
    windowBytes = bytes;
  }
  function limitHost(host: string, bitsPerSecond: number): void {
    rates.set(host, bitsPerSecond);
  }

  /** A bucket of one window, filled at one window per round trip. It may go below zero: what is owed delays the frame. */
  function windowMs(frame: SentFrame): number {
    const { pipe, now } = frame;
    if (windowBytes === 0 || frame.from.zone === frame.to.zone) return 0;
    const perMs = windowBytes / (2 * frame.delayMs);
    pipe.free = Math.min(windowBytes, pipe.free + (now - pipe.countedAt) * perMs) - frame.bytes;
    pipe.countedAt = now;
    return Math.max(0, -pipe.free / perMs);
  }

  /** The end of the frame's transmission on one direction of a host's line, where it waits for those before it. */
  function lineMs(host: Host, way: 'out' | 'in', bytes: number, at: number): number {
    const rate = rates.get(host.name);
    if (rate === undefined) return 0;
    const key = `${host.name} ${way}`;
    const begun = Math.max(at, busyUntil.get(key) ?? 0);
    const ends = begun + (bytes * BITS_IN_BYTE * MS_IN_SECOND) / rate;
    busyUntil.set(key, ends);
    return ends - at;
  }

  function holdMs(frame: SentFrame): number {
    let held = windowMs(frame);
    held += lineMs(frame.from, 'out', frame.bytes, frame.now + held);
    held += lineMs(frame.to, 'in', frame.bytes, frame.now + held);
    return held;
  }
  return { limitWindow, limitHost, holdMs };
}

import type { Host } from './world.js';

/**
 * Bandwidth limits of the simulated network. There are two, both off by default: a window, which is the number of bytes
 * that one connection may have in flight in one direction per round trip between zones (as a receive buffer limits
 * TCP), and a link rate per host, applied separately to everything it sends and everything it receives. Slow start and
 * loss are not modelled.
 */
export type LinkRates = {
  /** Sets the bytes per round trip on each connection between two zones; 0 removes the limit. */
  readonly limitWindow: (bytes: number) => void;
  /** Sets the link rate of one host in each direction, in bits per second. */
  readonly limitHost: (host: string, bitsPerSecond: number) => void;
  /** Milliseconds that a frame is queued and transmitted, not counting the propagation delay. */
  readonly rateDelayMs: (frame: SentFrame) => number;
};

/** A frame to transmit and the connection direction that it uses. */
export type SentFrame = {
  readonly from: Host;
  readonly to: Host;
  readonly bytes: number;
  readonly now: number;
  /** One-way propagation delay, in milliseconds. */
  readonly delayMs: number;
  /** Window state of the sending direction of the connection. */
  readonly sendWindow: SendWindow;
};

/** Window of one direction of a connection: the free bytes, and the simulated time at which they were computed. */
export type SendWindow = { freeBytes: number; updatedAt: number };

/** Creates an unused window. */
export function createSendWindow(): SendWindow {
  return { freeBytes: Infinity, updatedAt: 0 };
}

const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1_000;

/** Creates link rates without any limit. */
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

  /** A token bucket of one window, refilled by one window per round trip. A negative balance delays the frame. */
  function windowDelayMs(frame: SentFrame): number {
    const { sendWindow, now } = frame;
    if (windowBytes === 0 || frame.from.zone === frame.to.zone) return 0;
    const bytesPerMs = windowBytes / (2 * frame.delayMs);
    sendWindow.freeBytes =
      Math.min(windowBytes, sendWindow.freeBytes + (now - sendWindow.updatedAt) * bytesPerMs) - frame.bytes;
    sendWindow.updatedAt = now;
    return Math.max(0, -sendWindow.freeBytes / bytesPerMs);
  }

  /**
   * Time until the frame is transmitted on one direction of a host's link, after the frames that are queued before it.
   */
  function transmissionDelayMs(host: Host, direction: 'out' | 'in', bytes: number, at: number): number {
    const rate = rates.get(host.name);
    if (rate === undefined) return 0;
    const key = `${host.name} ${direction}`;
    const startsAt = Math.max(at, busyUntil.get(key) ?? 0);
    const endsAt = startsAt + (bytes * BITS_PER_BYTE * MS_PER_SECOND) / rate;
    busyUntil.set(key, endsAt);
    return endsAt - at;
  }

  function rateDelayMs(frame: SentFrame): number {
    let totalMs = windowDelayMs(frame);
    totalMs += transmissionDelayMs(frame.from, 'out', frame.bytes, frame.now + totalMs);
    totalMs += transmissionDelayMs(frame.to, 'in', frame.bytes, frame.now + totalMs);
    return totalMs;
  }
  return { limitWindow, limitHost, rateDelayMs };
}

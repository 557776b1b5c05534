/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into events without changing their bytes. Each byte is
 * looked at once, however the stream is cut into chunks, and no more than one event is held.
 */
import { ByteAccumulator } from '../../base/byte-accumulator.js';

/** One event with its bytes as received; `id` is null if it has no numeric id. */
export type StreamEvent = { readonly id: number | null; readonly bytes: Buffer };

/** Bounds of one event. */
export type EventLimits = { readonly maxBytes: number; readonly maxPieces: number };

/** Splits one stream. */
export interface EventSplitter {
  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** The number of bytes of the incomplete event at the end. */
  remainingBytes(): number;
  /** The number of bytes allocated for them. */
  heldBytes(): number;
  /** Whether the incomplete event exceeds a limit. Nothing may be pushed after that. */
  isOverLimit(): boolean;
}

const LF = 10;
const CR = 13;

/** What the last bytes of an event so far say of its end: a line feed after `lineFeed` or `carriageReturn` ends it. */
type LineState = 'inLine' | 'lineFeed' | 'carriageReturn';

function nextState(state: LineState, byte: number): LineState {
  if (byte === LF) return 'lineFeed';
  return byte === CR && state === 'lineFeed' ? 'carriageReturn' : 'inLine';
}

class LineEventSplitter implements EventSplitter {
  private readonly incomplete = new ByteAccumulator();
  private state: LineState = 'inLine';
  private pieces = 0;

  constructor(private readonly limits: EventLimits) {}

  push(chunk: Buffer): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = this.endOfEvent(chunk, 0); end >= 0; end = this.endOfEvent(chunk, start)) {
      const bytes = this.complete(chunk.subarray(start, end));
      events.push({ id: eventIdOf(bytes), bytes });
      start = end;
    }
    if (start < chunk.length) this.keep(chunk.subarray(start));
    return events;
  }

  remainingBytes(): number {
    return this.incomplete.length;
  }

  heldBytes(): number {
    return this.incomplete.heldBytes;
  }

  isOverLimit(): boolean {
    return this.incomplete.length > this.limits.maxBytes || this.pieces > this.limits.maxPieces;
  }

  /** Returns the index behind the next end of an event in `chunk`, or -1. Line ends are all that is looked at singly. */
  private endOfEvent(chunk: Buffer, from: number): number {
    let index = from;
    while (index < chunk.length) {
      if (this.state === 'inLine') {
        const lineEnd = chunk.indexOf(LF, index);
        if (lineEnd < 0) return -1;
        this.state = 'lineFeed';
        index = lineEnd + 1;
        continue;
      }
      const byte = chunk[index] as number;
      index += 1;
      if (byte === LF) {
        this.state = 'inLine';
        return index;
      }
      this.state = nextState(this.state, byte);
    }
    return -1;
  }

  private complete(bytes: Buffer): Buffer {
    this.pieces = 0;
    if (this.incomplete.length === 0) return bytes;
    this.incomplete.append(bytes);
    return this.incomplete.take();
  }

  private keep(bytes: Buffer): void {
    this.pieces += 1;
    this.incomplete.append(bytes);
  }
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(limits: EventLimits): EventSplitter {
  return new LineEventSplitter(limits);
}

function eventIdOf(bytes: Buffer): number | null {
  const match = /(?:^|\n)id: ?(\d+)\r?\n/.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : null;
}

const COLON = 58;

/** Returns true for an event of comment lines alone, which carries no data and may occur any number of times. */
export function isCommentOnly(event: Buffer): boolean {
  return event[0] === COLON && !/\n[^:\r\n]/.test(event.toString('latin1'));
}

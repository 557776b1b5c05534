/** Splits a stream of server-sent events (WHATWG HTML, section 9.2) into events without changing their bytes. */

/** One event with its bytes as received; `id` is null if it has no numeric id. */
export type StreamEvent = { readonly id: number | null; readonly bytes: Buffer };

/** `push` adds a chunk and returns the events it completes; `remainder` is the start of an incomplete event. */
export interface EventSplitter {
  push(chunk: Buffer): readonly StreamEvent[];
  remainder(): Buffer;
}

const LF = 10;
const CR = 13;

class LineEventSplitter implements EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  private endOfEvent(from: number): number {
    for (let i = this.buffered.indexOf(LF, from); i >= 0; i = this.buffered.indexOf(LF, i + 1)) {
      if (this.buffered[i + 1] === LF) return i + 2;
      if (this.buffered[i + 1] === CR && this.buffered[i + 2] === LF) return i + 3;
    }
    return -1;
  }

  push(chunk: Buffer): readonly StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = this.endOfEvent(0); end >= 0; end = this.endOfEvent(start)) {
      const bytes = this.buffered.subarray(start, end);
      events.push({ id: eventIdOf(bytes), bytes });
      start = end;
    }
    if (start > 0) this.buffered = this.buffered.subarray(start);
    return events;
  }

  remainder(): Buffer {
    return this.buffered;
  }
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
  return new LineEventSplitter();
}

function eventIdOf(bytes: Buffer): number | null {
  const match = /(?:^|\n)id: ?(\d+)\r?\n/.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : null;
}

const COLON = 58;

/** Returns true for an event of comment lines alone, which carries no data and may occur any number of times. */
export function isComment(event: Buffer): boolean {
  return event[0] === COLON && !/\n[^:\r\n]/.test(event.toString('latin1'));
}

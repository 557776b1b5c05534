/** Splits a stream of server-sent events (WHATWG HTML, section 9.2) into events, bytes unchanged. */

/** One event with its bytes as they came; `id` is null if it has no numeric id. */
export type StreamEvent = { readonly id: number | null; readonly bytes: Buffer };

/** Takes chunks; `remainder` is what has come of an unfinished event. */
export interface EventSplitter {
  push(chunk: Buffer): readonly StreamEvent[];
  remainder(): Buffer;
}

const LF = 10;
const CR = 13;

class LineEventSplitter implements EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  private boundary(from: number): number {
    for (let i = this.buffered.indexOf(LF, from); i >= 0; i = this.buffered.indexOf(LF, i + 1)) {
      if (this.buffered[i + 1] === LF) return i + 2;
      if (this.buffered[i + 1] === CR && this.buffered[i + 2] === LF) return i + 3;
    }
    return -1;
  }

  push(chunk: Buffer): readonly StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const out: StreamEvent[] = [];
    let start = 0;
    for (let end = this.boundary(0); end >= 0; end = this.boundary(start)) {
      const bytes = this.buffered.subarray(start, end);
      out.push({ id: idOf(bytes), bytes });
      start = end;
    }
    if (start > 0) this.buffered = this.buffered.subarray(start);
    return out;
  }

  remainder(): Buffer {
    return this.buffered;
  }
}

/** A splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
  return new LineEventSplitter();
}

function idOf(bytes: Buffer): number | null {
  const match = /(?:^|\n)id: ?(\d+)\r?\n/.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : null;
}

const COLON = 58;

/** True for an event of comment lines alone, which tells nothing and may come any number of times. */
export function isComment(event: Buffer): boolean {
  return event[0] === COLON && !/\n[^:\r\n]/.test(event.toString('latin1'));
}

export type StreamEvent = { readonly id: number | null; readonly bytes: Buffer };

export type EventSplitter = { readonly take: (chunk: Buffer) => readonly StreamEvent[]; readonly rest: () => Buffer };

const LF = 10;
const CR = 13;

export function createEventSplitter(): EventSplitter {
  let held: Buffer = Buffer.alloc(0);

  function boundary(from: number): number {
    for (let i = held.indexOf(LF, from); i >= 0; i = held.indexOf(LF, i + 1)) {
      if (held[i + 1] === LF) return i + 2;
      if (held[i + 1] === CR && held[i + 2] === LF) return i + 3;
    }
    return -1;
  }
  function take(chunk: Buffer): readonly StreamEvent[] {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    const out: StreamEvent[] = [];
    let start = 0;
    for (let end = boundary(0); end >= 0; end = boundary(start)) {
      const bytes = held.subarray(start, end);
      out.push({ id: idOf(bytes), bytes });
      start = end;
    }
    if (start > 0) held = held.subarray(start);
    return out;
  }
  function rest(): Buffer {
    return held;
  }
  return { take, rest };
}

function idOf(bytes: Buffer): number | null {
  const m = /(?:^|\n)id: ?(\d+)\r?\n/.exec(bytes.toString('latin1'));
  return m ? Number(m[1]) : null;
}

const COLON = 58;

/** True for an event of comment lines alone, which tells nothing and may come any number of times. */
export function isComment(event: Buffer): boolean {
  return event[0] === COLON && !/\n[^:\r\n]/.test(event.toString('latin1'));
}

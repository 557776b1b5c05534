/** Splits a byte stream into lines, of which no more is held than limits allow. */
import { ByteAccumulator } from '../base/byte-accumulator.js';

const LF = 10;

/** One line without its line feed, or the notice that a line exceeds a limit; nothing follows that. */
export type ReceivedLine = { readonly tag: 'line'; readonly text: string } | { readonly tag: 'tooLong' };

const TOO_LONG: ReceivedLine = { tag: 'tooLong' };

/** Limits of a line: its own bytes, and a share in what others hold too. */
export type LineLimits = {
  readonly maxBytes: number;
  readonly tryHold: (bytes: number) => boolean;
  readonly release: (bytes: number) => void;
};

/** Yields the lines of `chunks`; an unfinished line at the end counts as one. Reads no faster than lines are taken. */
export async function* splitLines(chunks: AsyncIterable<Buffer>, limits: LineLimits): AsyncGenerator<ReceivedLine> {
  const incomplete = new ByteAccumulator();
  function tryAppend(bytes: Buffer): boolean {
    if (incomplete.length + bytes.length > limits.maxBytes || !limits.tryHold(bytes.length)) return false;
    incomplete.append(bytes);
    return true;
  }
  function takeLine(): ReceivedLine {
    limits.release(incomplete.length);
    return { tag: 'line', text: incomplete.take().toString() };
  }
  try {
    for await (const chunk of chunks) {
      let start = 0;
      for (let end = chunk.indexOf(LF); end >= 0; end = chunk.indexOf(LF, start)) {
        if (!tryAppend(chunk.subarray(start, end))) {
          yield TOO_LONG;
          return;
        }
        yield takeLine();
        start = end + 1;
      }
      if (!tryAppend(chunk.subarray(start))) {
        yield TOO_LONG;
        return;
      }
    }
    if (incomplete.length > 0) yield takeLine();
  } finally {
    limits.release(incomplete.length);
    incomplete.clear();
  }
}

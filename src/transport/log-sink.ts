/** Writes log lines to a stream whose reader may be gone or slow. A failure of the log never affects the process. */
import type { Writable } from 'node:stream';

/** Receives formatted log lines. */
export interface LogSink {
  /** Writes the line, or drops it while the stream fails or its reader is too slow. Never throws and never waits. */
  write(line: string): void;
}

/** Formats the line that tells how many lines were dropped. */
export type FormatDropped = (count: number) => string;

/** Lines are dropped while more than this is waiting to be read; in UTF-16 code units. */
const MAX_UNREAD_LENGTH = 1_048_576;

class StreamLogSink implements LogSink {
  private stream: Writable | null = null;
  private droppedCount = 0;

  constructor(
    private readonly openStream: () => Writable,
    private readonly formatDropped: FormatDropped,
  ) {}

  write(line: string): void {
    const stream = (this.stream ??= this.open());
    if (stream.writableLength > MAX_UNREAD_LENGTH) {
      this.droppedCount += 1;
      return;
    }
    this.reportDropped(stream);
    this.send(stream, line, 1);
  }

  /** Without a listener, an error of the log would be an uncaught exception, whose handler logs it. */
  private open(): Writable {
    const stream = this.openStream();
    stream.on('error', ignoreError);
    return stream;
  }

  private reportDropped(stream: Writable): void {
    if (this.droppedCount === 0) return;
    const count = this.droppedCount;
    this.droppedCount = 0;
    this.send(stream, this.formatDropped(count), count);
  }

  /** Sends a text that stands for `count` lines, which are dropped if the write fails. */
  private send(stream: Writable, text: string, count: number): void {
    stream.write(text, (error) => {
      if (error) this.droppedCount += count;
    });
  }
}

function ignoreError(): void {}

/** Creates a sink for the stream, which is opened at the first write. */
export function createLogSink(openStream: () => Writable, formatDropped: FormatDropped): LogSink {
  return new StreamLogSink(openStream, formatDropped);
}

/** Creates a sink for standard error. */
export function createStderrSink(formatDropped: FormatDropped): LogSink {
  return createLogSink(() => process.stderr, formatDropped);
}

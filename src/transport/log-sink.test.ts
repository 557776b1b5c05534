import { PassThrough, Writable } from 'node:stream';
import { describe, expect, test } from '@jest/globals';
import { createLogSink } from './log-sink.js';
import type { LogSink } from './log-sink.js';

function sinkOn(stream: Writable): LogSink {
  return createLogSink(
    () => stream,
    (count) => `dropped ${count}\n`,
  );
}

/** Fails while `isFailing`, and can be written to again afterwards, as standard error can. */
class FailingStream extends Writable {
  isFailing = true;
  text = '';
  constructor() {
    super({ decodeStrings: false });
  }
  override _write(chunk: unknown, _encoding: string, done: (error?: Error) => void): void {
    if (!this.isFailing) this.text += String(chunk);
    done(this.isFailing ? new Error('write EPIPE') : undefined);
  }
  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    done(error);
    (this as unknown as { _undestroy(): void })._undestroy();
  }
}

function nextTurn(): Promise<void> {
  return new Promise((done) => setImmediate(done));
}

describe('a log sink', () => {
  // Guards against a process that ends, or never stops logging, because the reader of its log is gone.
  test('drops the lines that can not be written, and tells how many once it can write again', async () => {
    const stream = new FailingStream();
    const sink = sinkOn(stream);
    for (const line of ['one\n', 'two\n']) {
      sink.write(line);
      await nextTurn();
    }
    stream.isFailing = false;
    sink.write('three\n');
    sink.write('four\n');
    expect(stream.text).toBe('dropped 2\nthree\nfour\n');
  });

  // Guards against a process whose memory grows with the lines that nobody reads.
  test('keeps no more than about a megabyte for a reader that does not read', () => {
    const stream = new PassThrough();
    const sink = sinkOn(stream);
    const line = `${'x'.repeat(9_999)}\n`;
    for (let i = 0; i < 1_000; i += 1) sink.write(line);
    expect(stream.writableLength + stream.readableLength).toBeLessThan(1_200_000);
    stream.resume();
  });

  test('tells how many lines a reader missed that reads again', async () => {
    const stream = new PassThrough();
    const sink = sinkOn(stream);
    const line = `${'x'.repeat(9_999)}\n`;
    for (let i = 0; i < 1_000; i += 1) sink.write(line);
    let text = '';
    stream.on('data', (part) => (text += String(part)));
    await nextTurn();
    sink.write('last\n');
    await nextTurn();
    const received = text.split(line).length - 1;
    expect(text.endsWith(`dropped ${1_000 - received}\nlast\n`)).toBe(true);
  });
});

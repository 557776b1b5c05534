import { describe, expect, test } from '@jest/globals';
import { createResponseReader } from './reader.js';

function reading(): { told: string[]; reader: ReturnType<typeof createResponseReader> } {
  const told: string[] = [];
  const reader = createResponseReader({
    head: (h) => told.push(`head ${h.status}`),
    body: (b) => told.push(`body ${b.toString()}`),
    whole: () => told.push('whole'),
    garbage: (t) => told.push(`garbage ${t}`),
    stray: (t) => told.push(`stray ${t}`),
  });
  return { told, reader };
}

describe('a reader of responses', () => {
  test('reads a sized body, byte by byte', () => {
    const { told, reader } = reading();
    reader.expect();
    for (const c of 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab') reader.push(Buffer.from(c));
    expect(told).toEqual(['head 200', 'body a', 'body b', 'whole']);
    expect(reader.busy()).toBe(false);
  });
  test('reads chunks with a trailer, past an interim response', () => {
    const { told, reader } = reading();
    reader.expect();
    reader.push(
      Buffer.from(
        'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nA: b\r\n\r\n',
      ),
    );
    expect(told).toEqual(['head 200', 'body abc', 'body d', 'whole']);
  });
  test('knows an early end from a whole one', () => {
    const { told, reader } = reading();
    reader.expect();
    reader.push(Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'));
    reader.closed();
    expect(told).toEqual(['head 200', 'body abc']);
    expect(reader.busy()).toBe(true);
  });
  test('takes a close as the end only where nothing else tells it', () => {
    const { told, reader } = reading();
    reader.expect();
    reader.push(Buffer.from('HTTP/1.1 200 OK\r\n\r\nab'));
    reader.closed();
    expect(told).toEqual(['head 200', 'body ab', 'whole']);
  });
  test('tells of bytes behind a whole response, and of bytes nobody waits for', () => {
    const { told, reader } = reading();
    reader.expect();
    reader.push(Buffer.from('HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK'));
    reader.push(Buffer.from('more'));
    expect(told).toEqual(['head 204', 'whole', 'stray HTTP/1.1 200 OK', 'stray more']);
  });
  test.each([
    ['\u0001\u0002'],
    ['HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n'],
    ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'],
    ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc'],
  ])('tells of bytes that are no response: %j', (text) => {
    const { told, reader } = reading();
    reader.expect();
    reader.push(Buffer.from(text));
    expect(told[told.length - 1]).toMatch(/^garbage/);
  });
});

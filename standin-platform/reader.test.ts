import { describe, expect, test } from '@jest/globals';
import { createResponseReader } from './reader.js';

function createTestReader(): { calls: string[]; reader: ReturnType<typeof createResponseReader> } {
  const calls: string[] = [];
  const reader = createResponseReader({
    onHead: (h) => calls.push(`head ${h.status}`),
    onBody: (b) => calls.push(`body ${b.toString()}`),
    onComplete: () => calls.push('whole'),
    onInvalidBytes: (t) => calls.push(`garbage ${t}`),
    onStrayBytes: (t) => calls.push(`stray ${t}`),
  });
  return { calls, reader };
}

describe('the response reader', () => {
  test('reads a body with a content length, byte by byte', () => {
    const { calls, reader } = createTestReader();
    reader.expectResponse();
    for (const c of 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab') reader.push(Buffer.from(c));
    expect(calls).toEqual(['head 200', 'body a', 'body b', 'whole']);
    expect(reader.isBusy()).toBe(false);
  });
  test('reads chunks and a trailer after an interim response', () => {
    const { calls, reader } = createTestReader();
    reader.expectResponse();
    reader.push(
      Buffer.from(
        'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nA: b\r\n\r\n',
      ),
    );
    expect(calls).toEqual(['head 200', 'body abc', 'body d', 'whole']);
  });
  test('distinguishes an early end from a complete response', () => {
    const { calls, reader } = createTestReader();
    reader.expectResponse();
    reader.push(Buffer.from('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'));
    reader.onClose();
    expect(calls).toEqual(['head 200', 'body abc']);
    expect(reader.isBusy()).toBe(true);
  });
  test('takes a close as the end of the body only if no header gives its length', () => {
    const { calls, reader } = createTestReader();
    reader.expectResponse();
    reader.push(Buffer.from('HTTP/1.1 200 OK\r\n\r\nab'));
    reader.onClose();
    expect(calls).toEqual(['head 200', 'body ab', 'whole']);
  });
  test('reports bytes after a complete response, and bytes that no request waits for', () => {
    const { calls, reader } = createTestReader();
    reader.expectResponse();
    reader.push(Buffer.from('HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK'));
    reader.push(Buffer.from('more'));
    expect(calls).toEqual(['head 204', 'whole', 'stray HTTP/1.1 200 OK', 'stray more']);
  });
  test.each([
    ['\u0001\u0002'],
    ['HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n'],
    ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'],
    ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc'],
  ])('reports bytes that are no response: %j', (text) => {
    const { calls, reader } = createTestReader();
    reader.expectResponse();
    reader.push(Buffer.from(text));
    expect(calls[calls.length - 1]).toMatch(/^garbage/);
  });
});

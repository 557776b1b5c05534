/** Answers requests that the runtime's parser rejects, in the form of all other errors. */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { isParsingStoppedError } from './socket-reading.js';
import { ownValue } from '../base/own-value.js';

/** The body of a response to a malformed request. */
export const MALFORMED_BODY = JSON.stringify({ error: { tag: 'malformed' } });

/** Statuses of requests that the runtime gives up, by its error code; all others are malformed. */
const REJECTION_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Answers a request that the runtime's parser rejects, unless its response has begun, and closes the connection. */
function rejectUnparsable(error: NodeJS.ErrnoException, socket: Socket): void {
  // The request whose parsing was stopped is answered by its handler.
  if (isParsingStoppedError(error)) return;
  const current = (socket as Socket & { _httpMessage?: ServerResponse })._httpMessage;
  // A request that was read may be running: an answer here would be taken for its own.
  if (!socket.writable || current?.headersSent === true || current?.req.complete === true) {
    socket.destroy(error);
    return;
  }
  const status = ownValue(REJECTION_STATUSES, error.code ?? '');
  const body = status === undefined ? MALFORMED_BODY : '';
  const head = [
    `HTTP/1.1 ${status ?? '400 Bad Request'}`,
    ...(body === '' ? [] : ['Content-Type: application/json']),
    `Content-Length: ${body.length}`,
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`, 'latin1');
  socket.destroy(error);
}

/** Makes the server answer requests that the runtime's parser rejects. */
export function answerUnparsable(server: Server): void {
  server.on('clientError', rejectUnparsable);
}

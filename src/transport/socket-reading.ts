/**
 * Stops and continues reading from the connection of an HTTP request, at once. The public `pause` does not: the runtime's
 * HTTP server takes bytes from the handle of a connection, many times in one turn of the event loop, and resumes it after
 * each piece of a body.
 */
import type { Socket } from 'node:net';

type Handle = { reading: boolean; readonly readStart: () => void; readonly readStop: () => void };
type CallbackName = 'kOnHeaders' | 'kOnHeadersComplete' | 'kOnBody' | 'kOnMessageComplete';
type Parser = {
  readonly pause: () => void;
  readonly constructor: Readonly<Partial<Record<CallbackName, number>>>;
  /** Callbacks by number; the parser skips one that is null, at a small part of the cost of calling it. */
  [callback: number]: unknown;
};
type HttpSocket = Socket & { readonly _handle?: Handle | null; readonly parser?: Parser | null };

/** Code of the error that the runtime reports for a connection whose requests are no longer parsed. */
const PARSING_STOPPED_CODE = 'HPE_PAUSED';

const stoppedSockets = new WeakSet<Socket>();

/** Stops reading: what arrives from now on stays with the operating system. Returns whether the socket was being read. */
export function stopReading(socket: Socket): boolean {
  const handle = (socket as HttpSocket)._handle;
  if (handle?.reading !== true) return false;
  handle.reading = false;
  handle.readStop();
  return true;
}

/** Continues reading, unless the connection is closed or its requests are no longer parsed. */
export function continueReading(socket: Socket): void {
  const handle = (socket as HttpSocket)._handle;
  if (handle?.reading !== false || stoppedSockets.has(socket)) return;
  handle.reading = true;
  handle.readStart();
}

/** Stops reading, and also parsing what has been read already. The connection can only be answered and closed then. */
export function stopParsing(socket: Socket): void {
  stoppedSockets.add(socket);
  stopReading(socket);
  const { parser } = socket as HttpSocket;
  if (!parser) return;
  parser.pause();
  skipRestOfTurn(parser);
}

/**
 * Makes the parser skip the rest of what it is parsing at the moment, which `pause` does not stop. Parsers are reused, after
 * the closing of a connection, which is later than the callback here.
 */
function skipRestOfTurn(parser: Parser): void {
  const { kOnHeaders, kOnHeadersComplete, kOnBody, kOnMessageComplete } = parser.constructor;
  for (const callback of [kOnHeaders, kOnHeadersComplete, kOnBody, kOnMessageComplete]) {
    const original = callback === undefined ? null : parser[callback];
    if (callback === undefined || original === null) continue;
    parser[callback] = null;
    setImmediate(() => {
      parser[callback] = original;
    });
  }
}

/** Whether `stopParsing` was called. */
export function isParsingStopped(socket: Socket): boolean {
  return stoppedSockets.has(socket);
}

/** Whether the runtime reports nothing but that parsing was stopped. */
export function isParsingStoppedError(error: NodeJS.ErrnoException): boolean {
  return error.code === PARSING_STOPPED_CODE;
}

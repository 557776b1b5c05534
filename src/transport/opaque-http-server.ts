/** The HTTP server for opaque requests, implemented with `node:http`: headers and bodies are passed on unchanged. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { createClock } from './clock.js';
import type { Clock } from './clock.js';
import { endResponse } from './end-response.js';
import { STOP_IMMEDIATELY, HttpConnections } from './http-connections.js';
import { hasTokenNames, isRequestTarget } from './http-syntax.js';
import { listen } from './listen.js';
import type { ListenRetry } from './listen.js';
import { readMessageBody } from './message-body.js';
import type {
  ResponseWriter,
  BodyError,
  OpaqueHttpServer,
  OpaqueLimits,
  OpaqueListener,
  OpaqueRequest,
  RawHeaders,
} from './opaque-http.js';
import type { Address, WireError } from './wire.js';

const MAX_HEADER_BYTES = 65_536;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
const BAD_REQUEST = 400;
const MALFORMED_BODY = JSON.stringify({ error: { tag: 'malformed' } });

function createResponseWriter(req: IncomingMessage, res: ServerResponse, clock: Clock): ResponseWriter {
  const goneCallbacks: (() => void)[] = [];
  let isClosedEarly = false;
  function onClose(): void {
    if (isClosedEarly || res.writableFinished) return;
    isClosedEarly = true;
    for (const callback of goneCallbacks) callback();
  }
  res.on('close', onClose);
  function ignoreError(): void {}
  res.on('error', ignoreError);

  let hasSentHead = false;
  /**
   * Whether the server rejected this request because it was incomplete when the server stopped (`rejectIncomplete`).
   */
  function isRejected(): boolean {
    return res.headersSent && !hasSentHead;
  }
  function head(status: number, headers: RawHeaders): void {
    if (res.headersSent || res.destroyed) return;
    hasSentHead = true;
    res.sendDate = false;
    res.writeHead(status, headers as unknown as string[]);
  }
  function write(data: Buffer): void {
    if (!res.destroyed && !isRejected()) res.write(data);
  }
  function end(): void {
    if (!res.destroyed && !isRejected()) endResponse(req, res, clock);
  }
  /**
   * Ends a response so that the caller can't take it for a complete one: without chunked encoding only a connection
   * reset shows that it was truncated.
   */
  function abort(): void {
    if (res.headersSent && !res.chunkedEncoding) res.socket?.resetAndDestroy();
    res.destroy();
  }
  function gone(): boolean {
    return isClosedEarly || res.destroyed || isRejected();
  }
  function onGone(callback: () => void): void {
    goneCallbacks.push(callback);
  }
  function begun(): boolean {
    return res.headersSent;
  }
  return { head, write, end, abort, gone, begun, onCallerGone: onGone };
}

function createRequest(req: IncomingMessage, res: ServerResponse, clock: Clock): OpaqueRequest {
  function get(name: string): string | null {
    const value = req.headers[name];
    return typeof value === 'string' ? value : null;
  }
  async function body(maxBytes: number): Promise<Result<Buffer, BodyError>> {
    const read = await readMessageBody(req, maxBytes);
    if (read.tag === 'tooLarge') return err({ tag: 'bodyTooLarge' });
    if (read.tag === 'aborted' || res.headersSent) return err({ tag: 'callerGone' });
    return ok(read.body);
  }
  return {
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    headers: req.rawHeaders,
    get,
    body,
    responseWriter: createResponseWriter(req, res, clock),
  };
}

function isForwardable(req: IncomingMessage): boolean {
  return isRequestTarget(req.url ?? '') && hasTokenNames(req.rawHeaders);
}

function rejectMalformed(res: ServerResponse): void {
  res.writeHead(BAD_REQUEST, {
    'Content-Type': 'application/json',
    'Content-Length': MALFORMED_BODY.length,
    Connection: 'close',
  });
  res.end(MALFORMED_BODY);
}

/** Statuses of requests that the runtime gives up, by its error code; all others are malformed. */
const REJECTION_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Answers a request that the runtime's parser rejects, unless its response has begun, and closes the connection. */
function rejectUnparsable(error: NodeJS.ErrnoException, socket: Socket): void {
  const current = (socket as Socket & { _httpMessage?: ServerResponse })._httpMessage;
  if (!socket.writable || current?.headersSent === true) {
    socket.destroy(error);
    return;
  }
  const status = REJECTION_STATUSES[error.code ?? ''];
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

function limitedServer(onRequest: (req: IncomingMessage, res: ServerResponse) => void): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
      requestTimeout: 0,
    },
    onRequest,
  );
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.on('clientError', rejectUnparsable);
  return server;
}

function ignoreErrorsOf(socket: Socket): void {
  function ignoreError(): void {}
  socket.on('error', ignoreError);
}

function listenerOf(server: Server, connections: HttpConnections, address: Address): OpaqueListener {
  function stopListening(): void {
    if (server.listening) connections.stopListening();
    connections.closeIdle();
  }
  function setLimits(limits: OpaqueLimits): void {
    server.headersTimeout = limits.headerMs;
    server.keepAliveTimeout = limits.idleMs;
  }
  return {
    address,
    close: () => connections.stop(STOP_IMMEDIATELY),
    stopListening,
    setLimits,
    inFlight: () => connections.inFlight(),
    rejectIncomplete: (afterMs) => connections.rejectIncomplete(afterMs),
  };
}

/** Creates a server, which listens once `open` is called. */
export function createOpaqueHttpServer(retry: ListenRetry | null = null): OpaqueHttpServer {
  const clock = createClock();
  async function open(
    address: Address,
    handle: (req: OpaqueRequest) => void,
  ): Promise<Result<OpaqueListener, WireError>> {
    function onRequest(req: IncomingMessage, res: ServerResponse): void {
      if (isForwardable(req)) handle(createRequest(req, res, clock));
      else rejectMalformed(res);
    }
    const server = limitedServer(onRequest);
    const connections = new HttpConnections(server);
    server.on('connection', ignoreErrorsOf);
    const listening = await listen(server, address, retry);
    return listening.ok ? ok(listenerOf(server, connections, listening.value)) : listening;
  }
  return { open };
}

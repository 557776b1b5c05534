/** The HTTP server for opaque requests, implemented with `node:http`: headers and bodies are passed on unchanged. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { createDefaultIntake, minHeldBytes } from './caller-intake.js';
import type { CallerIntake } from './caller-intake.js';
import { createClock } from './clock.js';
import { STOP_IMMEDIATELY, HttpConnections } from './http-connections.js';
import { hasTokenNames, isRequestTarget } from './http-syntax.js';
import { listen } from './listen.js';
import type { ListenRetry } from './listen.js';
import { createOpaqueRequest } from './opaque-exchange.js';
import type { ExchangeDeps } from './opaque-exchange.js';
import type { OpaqueHttpServer, OpaqueLimits, OpaqueListener, OpaqueRequest } from './opaque-http.js';
import { answerUnparsable, MALFORMED_BODY } from './unparsable-request.js';
import type { Address, WireError } from './wire.js';

const MAX_HEADER_BYTES = 65_536;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
const BAD_REQUEST = 400;

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
  answerUnparsable(server);
  return server;
}

function ignoreErrorsOf(socket: Socket): void {
  function ignoreError(): void {}
  socket.on('error', ignoreError);
}

function listenerOf(
  server: Server,
  connections: HttpConnections,
  intake: CallerIntake,
  address: Address,
): OpaqueListener {
  function stopListening(): void {
    if (server.listening) connections.stopListening();
    connections.closeIdle();
  }
  function setLimits(limits: OpaqueLimits): void {
    // The runtime reads this property for each new connection.
    Object.assign(server, { maxHeaderSize: limits.headerBytes });
    intake.budget.ensure(minHeldBytes(limits.bodyBytes));
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

/** Creates a server, which listens once `open` is called; its callers share `intake`. */
export function createOpaqueHttpServer(
  retry: ListenRetry | null = null,
  intake: CallerIntake = createDefaultIntake(),
): OpaqueHttpServer {
  const clock = createClock();
  async function open(
    address: Address,
    handle: (req: OpaqueRequest) => void,
  ): Promise<Result<OpaqueListener, WireError>> {
    function onRequest(req: IncomingMessage, res: ServerResponse): void {
      if (isForwardable(req)) handle(createOpaqueRequest(req, res, deps));
      else rejectMalformed(res);
    }
    const server = limitedServer(onRequest);
    const deps: ExchangeDeps = { intake, idleMs: () => server.keepAliveTimeout };
    const connections = new HttpConnections(server, intake, clock);
    server.on('connection', ignoreErrorsOf);
    const listening = await listen(server, address, retry);
    return listening.ok ? ok(listenerOf(server, connections, intake, listening.value)) : listening;
  }
  return { open };
}

/**
 * The HTTP server for callers with admission tokens and for operators, implemented with `express`. It limits the size,
 * depth and arrival time of bodies before a handler sees them. If a handler fails, the response is 500 and the server
 * continues to serve.
 */

import express from 'express';
import type { Express, NextFunction, Request, Response } from 'express';
import { createServer } from 'node:http';
import { once } from 'node:events';
import { MAX_JSON_TOKENS } from '../base/json-tokens.js';
import { isDeeperThan } from '../base/depth.js';
import { describeError } from '../base/describe-error.js';
import { createDefaultIntake } from './caller-intake.js';
import type { CallerIntake } from './caller-intake.js';
import { createClock } from './clock.js';
import { endResponse, sendWithinBudget } from './end-response.js';
import { STOP_IMMEDIATELY, HttpConnections } from './http-connections.js';
import { ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { HttpListener, HttpServer, HttpReply, HttpRequest, Route } from './http.js';
import { hasRequestBody, readJsonBody } from './json-body.js';
import type { JsonBodyError } from './json-body.js';
import { listen } from './listen.js';
import type { ListenRetry } from './listen.js';
import type { Log } from './log.js';
import type { RequestBodyLimits } from './message-body.js';
import { answerUnparsable } from './unparsable-request.js';
import type { Address, WireError } from './wire.js';
import { setOwnValue } from '../base/own-value.js';

const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
/** Time within which a request must have arrived completely. */
export const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_BODY_DEPTH = 64;

/** The responses to requests whose body was not parsed. A request that is answered 408 or 503 has not run. */
const BODY_REJECTIONS: Readonly<Record<JsonBodyError['tag'], { readonly status: number; readonly body: unknown }>> = {
  malformed: { status: 400, body: { tag: 'malformed', detail: 'body is not JSON' } },
  tooLarge: { status: 413, body: { tag: 'bodyTooLarge' } },
  tooManyTokens: { status: 413, body: { tag: 'tooManyTokens', most: MAX_JSON_TOKENS } },
  overloaded: { status: 503, body: { tag: 'overloaded' } },
  stalled: { status: 408, body: { tag: 'stalled' } },
  aborted: { status: 400, body: { tag: 'malformed', detail: 'body is not JSON' } },
};

function firstValues(from: Record<string, unknown>): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [key, value] of Object.entries(from)) {
    if (typeof value === 'string') setOwnValue(out, key, value);
    else if (Array.isArray(value) && typeof value[0] === 'string') setOwnValue(out, key, value[0]);
  }
  return out;
}

function toHttpRequest(req: Request, res: Response): HttpRequest {
  function gone(): boolean {
    return res.destroyed || res.closed;
  }
  return {
    method: req.method,
    path: req.path,
    params: firstValues(req.params),
    query: firstValues(req.query),
    headers: firstValues(req.headers),
    body: req.body as unknown,
    gone,
  };
}

/** Sends a reply within what all callers may hold. */
async function sendReply(res: Response, reply: HttpReply, intake: CallerIntake): Promise<void> {
  for (const [key, value] of Object.entries(reply.headers ?? {})) res.setHeader(key, value);
  res.status(reply.status);
  if (!reply.lines) {
    if (reply.text === undefined && reply.body !== undefined) res.type('json');
    sendWhole(res, reply.text ?? (reply.body === undefined ? '' : JSON.stringify(reply.body)), intake);
    return;
  }
  res.setHeader('content-type', 'application/x-ndjson');
  res.flushHeaders();
  for await (const line of reply.lines) {
    if (res.destroyed || res.closed) break;
    if (!res.write(`${JSON.stringify(line)}\n`)) await Promise.race([once(res, 'drain'), once(res, 'close')]);
  }
  res.end();
}

function sendWhole(res: Response, text: string, intake: CallerIntake): void {
  if (text === '') {
    res.end();
    return;
  }
  res.setHeader('content-length', Buffer.byteLength(text));
  sendWithinBudget(res, text, intake, KEEP_ALIVE_TIMEOUT_MS);
}

class ExpressHttpServer implements HttpServer {
  constructor(
    private readonly log: Log,
    private readonly requestTimeoutMs: number,
    private readonly retry: ListenRetry | null,
    private readonly intake: CallerIntake,
  ) {}

  private readonly clock = createClock();

  private mount(app: Express, route: Route): void {
    const { intake } = this;
    function replyEarly(req: Request, res: Response, next: NextFunction): void {
      const earlyReply = route.earlyReply?.(toHttpRequest(req, res));
      if (!earlyReply) {
        next();
        return;
      }
      res.setHeader('connection', 'close');
      void sendReply(res, earlyReply, intake);
    }
    async function handle(req: Request, res: Response): Promise<void> {
      if (res.headersSent) return;
      if (isDeeperThan(req.body, MAX_BODY_DEPTH)) {
        const body = { error: { tag: 'malformed', detail: `/: expected at most ${MAX_BODY_DEPTH} levels` } };
        await sendReply(res, { status: 400, body }, intake);
        return;
      }
      const reply = await route.handle(toHttpRequest(req, res));
      await sendReply(res, reply, intake);
    }
    const limits: RequestBodyLimits = {
      maxBytes: route.maxBytes ?? DEFAULT_MAX_BODY_BYTES,
      stallMs: this.requestTimeoutMs,
      intake: this.intake,
    };
    const readBody = (req: Request, res: Response, next: NextFunction): Promise<void> =>
      this.readBody(limits, req, res, next);
    const verb = route.method === 'GET' ? 'get' : route.method === 'POST' ? 'post' : 'delete';
    app[verb](route.path, replyEarly, readBody, handle);
  }

  /** Parses a JSON body; a body of another type is left to the handler's own checks. */
  private async readBody(limits: RequestBodyLimits, req: Request, res: Response, next: NextFunction): Promise<void> {
    if (!hasRequestBody(req) || req.is('application/json') === false) {
      next();
      return;
    }
    const { result, hold } = await readJsonBody(req, limits);
    res.once('close', () => hold.release());
    if (res.destroyed) hold.release();
    if (result.tag === 'aborted' || res.headersSent) return;
    if (result.tag === 'json') {
      req.body = result.value;
      next();
    } else this.rejectBody(result, res);
  }

  private rejectBody(error: JsonBodyError, res: Response): void {
    const { status, body } = BODY_REJECTIONS[error.tag];
    if (!res.req.complete) res.setHeader('connection', 'close');
    res.status(status).type('json');
    res.write(JSON.stringify({ error: body }));
    endResponse(res.req, res, this.intake.lingering);
  }

  private unknownPath(_req: Request, res: Response): void {
    res.status(404).json({ error: { tag: 'unknownPath' } });
  }

  private failed(error: unknown, _req: Request, res: Response, _next: NextFunction): void {
    if (res.headersSent) {
      res.destroy();
      return;
    }
    this.log.error('request failed', { error: describeError(error) });
    res.status(500).json({ error: { tag: 'internal' } });
  }

  async open(address: Address, routes: readonly Route[]): Promise<Result<HttpListener, WireError>> {
    const server = createServer(
      {
        requestTimeout: this.requestTimeoutMs,
        headersTimeout: this.requestTimeoutMs,
        connectionsCheckingInterval: Math.min(1_000, this.requestTimeoutMs / 4),
      },
      this.appFor(routes),
    );
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    answerUnparsable(server);
    const connections = new HttpConnections(server, this.intake, this.clock);
    function close(limits = STOP_IMMEDIATELY): Promise<void> {
      return connections.stop(limits);
    }
    const listening = await listen(server, address, this.retry);
    if (!listening.ok) return listening;
    return ok({ address: listening.value, close });
  }

  private appFor(routes: readonly Route[]): Express {
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    for (const route of routes) this.mount(app, route);
    app.use((_req, res) => this.unknownPath(_req, res));
    app.use((error: unknown, req: Request, res: Response, next: NextFunction) => this.failed(error, req, res, next));
    return app;
  }
}

/** Creates a server that logs to `log` and waits at most `requestTimeoutMs` for a complete request. */
export function createExpressHttpServer(
  log: Log,
  requestTimeoutMs = REQUEST_TIMEOUT_MS,
  retry: ListenRetry | null = null,
  intake: CallerIntake = createDefaultIntake(),
): HttpServer {
  return new ExpressHttpServer(log, requestTimeoutMs, retry, intake);
}

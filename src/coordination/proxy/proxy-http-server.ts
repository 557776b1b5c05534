/** HTTP API of a proxy for callers: placements, and requests with an admission token (docs/http.md). */
import type { Failure, PlacementRequest, SubmittedRequest } from '../../protocol/caller-wire.js';
import {
  PROXY_HEALTH_PATH,
  PLACEMENT_PATH,
  readPlacementRequest,
  readSubmittedRequest,
  REQUESTS_PATH,
  ADMISSION_TOKEN_HEADER,
} from '../../protocol/caller-wire.js';
import { routeSubject, countOutcome } from '../../state/configuration/latency-target-counts.js';
import type { CountTable, RequestOutcome } from '../../state/configuration/latency-target-counts.js';
import { parseRunKey, runKey } from '../../state/idempotency/run-key.js';
import type { RunKey } from '../../state/idempotency/run-key.js';
import { createUsedTokens, readAdmissionToken } from '../../state/forwarding/admission-token.js';
import type { AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply, HttpRequest, Route } from '../../transport/http.js';
import type { Dispatcher, ResponseLine } from '../forwarding/dispatcher.js';
import type { Follower } from '../distribution/follower.js';
import { rejection, proxyId, TOKEN_LIFETIME_MS } from '../forwarding/placement-service.js';
import type { PlacementService, ProxySelf } from '../forwarding/placement-service.js';
import { ownValue } from '../../base/own-value.js';

const HTTP_STATUS: Readonly<Record<Failure['tag'], number>> = {
  shed: 503,
  unknownModel: 404,
  malformed: 400,
  bodyTooLarge: 413,
  outcomeUnknown: 502,
  alreadyAnswered: 409,
  keyTooOld: 409,
  workerFailed: 502,
  badSeal: 502,
  cut: 502,
};

/** Returns the HTTP response for a failure; 503 and 502 carry a Retry-After header. */
export function failureReply(failure: Failure, retryAfterS: number): HttpReply {
  const isTokenError = failure.tag === 'shed' && failure.reason.startsWith('ticket');
  const status = isTokenError ? 409 : HTTP_STATUS[failure.tag];
  const isRetryable = status === 503 || status === 502;
  return { status, headers: isRetryable ? { 'retry-after': String(retryAfterS) } : {}, body: { error: failure } };
}

/** Dependencies of the API for callers. */
export type ProxyHttpServerDeps = {
  readonly self: ProxySelf;
  readonly ready: () => boolean;
  readonly follower: Follower;
  readonly placement: PlacementService;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly status: () => unknown;
  readonly counts: CountTable;
};

/** Handlers of the API for callers of one proxy. */
class CallerApi {
  private readonly usedTokens = createUsedTokens();

  constructor(private readonly deps: ProxyHttpServerDeps) {}

  private async place(req: HttpRequest): Promise<HttpReply> {
    const request = readPlacementRequest(req.body);
    if (!request.ok) return failureReply(request.error, 1);
    if ((request.value.model === undefined) === (request.value.mapping === undefined)) {
      return failureReply({ tag: 'malformed', detail: 'name either a model or a mapping' }, 1);
    }
    const placed = this.deps.placement.place(request.value);
    if (placed.ok) return { status: 200, body: placed.value };
    if (placed.error.tag === 'shed') {
      this.deps.dispatcher.countRejected();
      if (request.value.model !== undefined) this.deps.dispatcher.countRequest(request.value.model);
      this.recordEnded(this.modelOf(request.value), request.value.mapping ?? null, {
        outcome: 'shed',
        firstMs: null,
        wholeMs: null,
      });
    }
    return failureReply(placed.error, 1);
  }

  private readToken(req: HttpRequest): AdmissionToken | Failure {
    const text = req.headers[ADMISSION_TOKEN_HEADER];
    if (text === undefined) return { tag: 'malformed', detail: `the ${ADMISSION_TOKEN_HEADER} header is missing` };
    if (!this.deps.ready()) return rejection('notReady');
    const result = readAdmissionToken(
      text,
      this.deps.follower.controlState().ticketKey,
      proxyId(this.deps.self),
      this.deps.follower.sharedNow(),
    );
    if (typeof result === 'string') return rejection(result);
    const homes = this.deps.placement.homesOf(result.model, result.bound);
    if (homes !== null && !homes.includes(this.deps.self.region)) return rejection('outsideHomes');
    return result;
  }

  private maxBodyBytes(token: AdmissionToken): number {
    return this.deps.placement.resolved(token.model)?.values.maxBodyBytes ?? 0;
  }

  private checkBeforeBody(req: HttpRequest): HttpReply | null {
    const token = this.readToken(req);
    if ('tag' in token) return failureReply(token, 1);
    return Number(req.headers['content-length'] ?? 0) > this.maxBodyBytes(token)
      ? failureReply({ tag: 'bodyTooLarge' }, 1)
      : null;
  }

  private runKeyOf(token: AdmissionToken, body: SubmittedRequest): RunKey | Failure | null {
    if (token.repeatable) return null;
    const issuedAt = token.expiresAt - TOKEN_LIFETIME_MS;
    const result = parseRunKey(body.key ?? runKey(token.requestId, issuedAt), this.deps.follower.sharedNow());
    if (result === 'tooOld') return { tag: 'keyTooOld' };
    if (result === 'withoutBirth')
      return { tag: 'malformed', detail: "/key: expected an id, '@' and the creation time in Unix milliseconds" };
    return result === 'fromTheFuture'
      ? { tag: 'malformed', detail: '/key: expected a creation time that is not in the future' }
      : result;
  }

  private async submit(req: HttpRequest): Promise<HttpReply> {
    const token = this.readToken(req);
    if ('tag' in token) return failureReply(token, 1);
    if (!this.usedTokens.use(token, this.deps.clock.mono())) return failureReply(rejection('ticketUsed'), 1);
    const body = readSubmittedRequest(req.body);
    if (!body.ok) return failureReply(body.error, 1);
    if (body.value.requestId !== token.requestId) return failureReply(rejection('ticketForeign'), 1);
    const lacksContentLength = req.headers['content-length'] === undefined;
    if (lacksContentLength && JSON.stringify(body.value).length > this.maxBodyBytes(token))
      return failureReply({ tag: 'bodyTooLarge' }, 1);
    this.deps.dispatcher.countRequest(token.model);
    const key = this.runKeyOf(token, body.value);
    if (key !== null && 'tag' in key) return failureReply(key, 1);
    const startedAt = this.deps.clock.mono();
    const submission = await this.deps.dispatcher.submit(token, body.value, key, req.gone);
    const { model, bound } = token;

    const recordOutcome = (outcome: RequestOutcome['outcome'], firstMs: number | null): void => {
      this.recordEnded(model, bound.mapping, {
        outcome,
        firstMs,
        wholeMs: outcome === 'good' ? this.deps.clock.mono() - startedAt : null,
      });
    };
    if (submission.tag === 'failed') {
      recordOutcome(submission.failure.tag === 'shed' ? 'shed' : 'failed', null);
      return failureReply(submission.failure, submission.retryAfterS);
    }
    if (submission.tag === 'whole') {
      recordOutcome('good', null);
      return { status: 200, body: submission.answer };
    }
    return { status: 200, lines: this.recordWhenEnded(submission.lines, startedAt, recordOutcome) };
  }

  private async *recordWhenEnded(
    lines: AsyncIterable<ResponseLine>,
    startedAt: number,
    recordOutcome: (outcome: RequestOutcome['outcome'], firstMs: number | null) => void,
  ): AsyncGenerator<ResponseLine> {
    let firstMs: number | null = null;
    for await (const line of lines) {
      if ('piece' in line) firstMs ??= this.deps.clock.mono() - startedAt;
      else recordOutcome('seal' in line ? 'good' : 'failed', firstMs);
      yield line;
    }
  }

  private modelOf(request: PlacementRequest): string {
    const mapped =
      request.mapping === undefined
        ? undefined
        : ownValue(this.deps.follower.controlState().configuration.mappings, request.mapping)?.model;
    return mapped ?? request.model ?? '';
  }

  private recordEnded(model: string, mapping: string | null, ended: RequestOutcome): void {
    countOutcome(this.deps.counts, model, ended);
    if (mapping !== null) countOutcome(this.deps.counts, routeSubject(mapping), ended);
  }

  private async health(): Promise<HttpReply> {
    return { status: 200, body: { name: this.deps.self.name, ready: this.deps.ready() } };
  }

  private async readStatus(): Promise<HttpReply> {
    return { status: 200, body: this.deps.status() };
  }

  routes(): Route[] {
    return [
      { method: 'POST', path: PLACEMENT_PATH, handle: (req) => this.place(req) },
      {
        method: 'POST',
        path: REQUESTS_PATH,
        maxBytes: 64 * 1_048_576,
        earlyReply: (req) => this.checkBeforeBody(req),
        handle: (req) => this.submit(req),
      },
      { method: 'GET', path: PROXY_HEALTH_PATH, handle: () => this.health() },
      { method: 'GET', path: '/v1/status', handle: () => this.readStatus() },
    ];
  }
}

/** Returns the routes of the API for callers (docs/http.md). */
export function proxyRoutes(deps: ProxyHttpServerDeps): Route[] {
  return new CallerApi(deps).routes();
}

/**
 * Outgoing HTTP calls, on `got`. Faults tell whether a request may have reached the other side:
 * only `neverSent` promises that it has not. Nothing is retried here.
 */

import got from 'got';
import { Agent } from 'node:http';
import { createInterface } from 'node:readline';
import type { IncomingMessage } from 'node:http';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from './http.js';

const BEFORE_SENDING = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL']);

function errorOf(error: unknown): HttpError {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';
  const event = typeof error === 'object' && error !== null && 'event' in error ? String(error.event) : '';
  if (BEFORE_SENDING.has(code) || event === 'connect' || event === 'lookup') return { tag: 'neverSent' };
  if (code === 'ETIMEDOUT') return { tag: 'timedOut' };
  return { tag: 'broken' };
}

function headersOf(res: IncomingMessage): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [key, value] of Object.entries(res.headers)) if (typeof value === 'string') out[key] = value;
  return out;
}

async function* nothing(): AsyncGenerator<Result<unknown, HttpError>> {}

/** A client that keeps connections open; dialling takes at most `connectTimeoutMs`. */
export function createGotHttpClient(connectTimeoutMs: number): HttpClient {
  const agent = { http: new Agent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 64 }) };

  async function requestWhole(call: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    try {
      const res = await got(`http://${call.address}${call.path}`, {
        method: call.method,
        agent,
        ...(call.headers ? { headers: { ...call.headers } } : {}),
        ...(call.body === undefined ? {} : { json: call.body }),
        responseType: 'text',
        throwHttpErrors: false,
        followRedirect: false,
        retry: { limit: 0 },
        timeout: { request: call.timeoutMs, connect: connectTimeoutMs },
        ...(call.signal ? { signal: call.signal } : {}),
      });
      let body: unknown = null;
      if (res.body !== '') {
        try {
          body = JSON.parse(res.body);
        } catch {
          const plain = !String(res.headers['content-type'] ?? '').includes('json');
          if (!plain || res.statusCode === 200) return err({ tag: 'notJson' });
        }
      }
      return ok({ status: res.statusCode, headers: headersOf(res), body, lines: nothing(), abandon: noop });
    } catch (error) {
      return err(errorOf(error));
    }
  }

  function noop(): void {}

  function streamed(call: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    function start(resolve: (result: Result<HttpAnswer, HttpError>) => void): void {
      const stream = got.stream(`http://${call.address}${call.path}`, {
        method: call.method,
        agent,
        ...(call.headers ? { headers: { ...call.headers } } : {}),
        ...(call.body === undefined ? {} : { json: call.body }),
        throwHttpErrors: false,
        followRedirect: false,
        retry: { limit: 0 },
        timeout: { request: call.timeoutMs, connect: connectTimeoutMs },
        ...(call.signal ? { signal: call.signal } : {}),
      });
      let broke: HttpError | null = null;
      let answered = false;
      function abandon(): void {
        stream.destroy();
      }
      function failed(error: unknown): void {
        broke = errorOf(error);
        if (!answered) resolve(err(broke));
        answered = true;
      }
      async function* linesOf(res: IncomingMessage): AsyncGenerator<Result<unknown, HttpError>> {
        const reader = createInterface({ input: stream, crlfDelay: Infinity });
        try {
          for await (const text of reader) {
            if (text === '') continue;
            let line: unknown;
            try {
              line = JSON.parse(text);
            } catch {
              yield err({ tag: 'notJson' });
              return;
            }
            yield ok(line);
          }
        } catch (error) {
          broke = errorOf(error);
        } finally {
          reader.close();
          stream.destroy();
        }
        if (broke) yield err(broke);
        else if (!res.complete) yield err({ tag: 'broken' });
      }
      async function readCompleteResponse(res: IncomingMessage): Promise<void> {
        const chunks: string[] = [];
        try {
          for await (const chunk of stream) chunks.push(String(chunk));
          const text = chunks.join('');
          const body: unknown = text === '' ? null : JSON.parse(text);
          resolve(ok({ status: res.statusCode ?? 0, headers: headersOf(res), body, lines: nothing(), abandon }));
        } catch (error) {
          resolve(err(error instanceof SyntaxError ? { tag: 'notJson' } : errorOf(error)));
        }
      }
      function response(res: IncomingMessage): void {
        if (answered) return;
        answered = true;
        const type = res.headers['content-type'] ?? '';
        if (!type.includes('ndjson')) {
          void readCompleteResponse(res);
          return;
        }
        resolve(ok({ status: res.statusCode ?? 0, headers: headersOf(res), body: null, lines: linesOf(res), abandon }));
      }
      stream.on('error', failed);
      stream.once('response', response);
    }
    return new Promise(start);
  }

  function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    return httpCall.stream ? streamed(httpCall) : requestWhole(httpCall);
  }
  return { call };
}

/**
 * Outgoing HTTP calls, implemented with `got`. Errors say whether a request may have reached the server:
 * only `neverSent` guarantees that it has not. Nothing is retried here.
 */

import got from 'got';
import { Agent } from 'node:http';
import { createInterface } from 'node:readline';
import type { IncomingMessage } from 'node:http';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { HttpClient, HttpAnswer, HttpCall, HttpError } from './http.js';

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL']);

function errorOf(error: unknown): HttpError {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';
  const event = typeof error === 'object' && error !== null && 'event' in error ? String(error.event) : '';
  if (NOT_SENT_CODES.has(code) || event === 'connect' || event === 'lookup') return { tag: 'neverSent' };
  if (code === 'ETIMEDOUT') return { tag: 'timedOut' };
  return { tag: 'broken' };
}

function headersOf(res: IncomingMessage): Record<string, string> {
  const out: Record<string, string> = {};
  for (const [key, value] of Object.entries(res.headers)) if (typeof value === 'string') out[key] = value;
  return out;
}

async function* noLines(): AsyncGenerator<Result<unknown, HttpError>> {}

/** Creates a client with keep-alive connections. Connecting takes at most `connectTimeoutMs`. */
export function createGotHttpClient(connectTimeoutMs: number): HttpClient {
  const agent = { http: new Agent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 64 }) };

  async function requestBuffered(call: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
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
          const isOtherType = !String(res.headers['content-type'] ?? '').includes('json');
          if (!isOtherType || res.statusCode === 200) return err({ tag: 'notJson' });
        }
      }
      return ok({ status: res.statusCode, headers: headersOf(res), body, lines: noLines(), abandon: noop });
    } catch (error) {
      return err(errorOf(error));
    }
  }

  function noop(): void {}

  function requestStreamed(call: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
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
      let streamError: HttpError | null = null;
      let isSettled = false;
      function abandon(): void {
        stream.destroy();
      }
      function onError(error: unknown): void {
        streamError = errorOf(error);
        if (!isSettled) resolve(err(streamError));
        isSettled = true;
      }
      async function* readLines(res: IncomingMessage): AsyncGenerator<Result<unknown, HttpError>> {
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
          streamError = errorOf(error);
        } finally {
          reader.close();
          stream.destroy();
        }
        if (streamError) yield err(streamError);
        else if (!res.complete) yield err({ tag: 'broken' });
      }
      async function readCompleteResponse(res: IncomingMessage): Promise<void> {
        const chunks: string[] = [];
        try {
          for await (const chunk of stream) chunks.push(String(chunk));
          const text = chunks.join('');
          const body: unknown = text === '' ? null : JSON.parse(text);
          resolve(ok({ status: res.statusCode ?? 0, headers: headersOf(res), body, lines: noLines(), abandon }));
        } catch (error) {
          resolve(err(error instanceof SyntaxError ? { tag: 'notJson' } : errorOf(error)));
        }
      }
      function onResponse(res: IncomingMessage): void {
        if (isSettled) return;
        isSettled = true;
        const contentType = res.headers['content-type'] ?? '';
        if (!contentType.includes('ndjson')) {
          void readCompleteResponse(res);
          return;
        }
        resolve(
          ok({ status: res.statusCode ?? 0, headers: headersOf(res), body: null, lines: readLines(res), abandon }),
        );
      }
      stream.on('error', onError);
      stream.once('response', onResponse);
    }
    return new Promise(start);
  }

  function call(httpCall: HttpCall): Promise<Result<HttpAnswer, HttpError>> {
    return httpCall.stream ? requestStreamed(httpCall) : requestBuffered(httpCall);
  }
  return { call };
}

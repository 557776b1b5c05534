/** Reads and parses the JSON body of a request within the limits of its route and of all callers together. */
import type { IncomingMessage } from 'node:http';
import { promisify } from 'node:util';
import { brotliDecompress, gunzip, inflate } from 'node:zlib';
import { hasMoreTokensThan, MAX_JSON_TOKENS } from '../base/json-tokens.js';
import type { MemoryHold } from './memory-budget.js';
import { readRequestBody } from './message-body.js';
import type { RequestBodyLimits } from './message-body.js';
import { ownValue } from '../base/own-value.js';

/** Why a body was not parsed. */
export type JsonBodyError =
  | { readonly tag: 'malformed' }
  | { readonly tag: 'tooLarge' }
  | { readonly tag: 'tooManyTokens' }
  | { readonly tag: 'overloaded' }
  | { readonly tag: 'stalled' }
  | { readonly tag: 'aborted' };

/** A parsed body, or why there is none. The hold is to be released with the request. */
export type JsonBodyRead = {
  readonly hold: MemoryHold;
  readonly result: { readonly tag: 'json'; readonly value: unknown } | JsonBodyError;
};

type Decoder = (bytes: Buffer, options: { maxOutputLength: number }) => Promise<Buffer>;
const DECODERS: Readonly<Record<string, Decoder>> = {
  gzip: promisify(gunzip),
  deflate: promisify(inflate),
  br: promisify(brotliDecompress),
};
const MALFORMED: JsonBodyError = { tag: 'malformed' };
const TOO_LARGE_CODE = 'ERR_BUFFER_TOO_LARGE';

/** Returns whether the request announces a body. */
export function hasRequestBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Reads a body in UTF-8, encoded in gzip, deflate, Brotli or not at all. */
export async function readJsonBody(request: IncomingMessage, limits: RequestBodyLimits): Promise<JsonBodyRead> {
  const isEncoded = encodingOf(request) !== 'identity';
  const maxTokens = isEncoded ? Infinity : MAX_JSON_TOKENS;
  const { read, hold } = await readRequestBody(request, { ...limits, maxTokens });
  if (read.tag !== 'complete') return { hold, result: read };
  const decoded = await decode(request, read.body, limits.maxBytes);
  if (!Buffer.isBuffer(decoded)) return { hold, result: decoded };
  if (!hold.tryResize(decoded.length)) return { hold, result: { tag: 'overloaded' } };
  return { hold, result: parse(decoded) };
}

function encodingOf(request: IncomingMessage): string {
  return request.headers['content-encoding']?.toLowerCase() ?? 'identity';
}

async function decode(request: IncomingMessage, body: Buffer, maxBytes: number): Promise<Buffer | JsonBodyError> {
  const charset = /charset="?([^;"]+)/i.exec(request.headers['content-type'] ?? '')?.[1];
  if (charset !== undefined && !/^utf-?8$/i.test(charset.trim())) return MALFORMED;
  const encoding = encodingOf(request);
  if (encoding === 'identity') return body;
  const decoder = ownValue(DECODERS, encoding);
  if (!decoder) return MALFORMED;
  try {
    return await decoder(body, { maxOutputLength: maxBytes });
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === TOO_LARGE_CODE ? { tag: 'tooLarge' } : MALFORMED;
  }
}

function parse(body: Buffer): JsonBodyRead['result'] {
  if (body.length === 0) return { tag: 'json', value: {} };
  if (hasMoreTokensThan(body, MAX_JSON_TOKENS)) return { tag: 'tooManyTokens' };
  try {
    return { tag: 'json', value: JSON.parse(body.toString()) };
  } catch {
    return MALFORMED;
  }
}

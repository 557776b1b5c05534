/** A single HTTP request with a JSON body, on a connection of its own. */

import { parseJson } from '../src/base/parse-json.js';
import type { Clock } from '../src/transport/clock.js';
import { openConnection } from './client.js';

/** A complete HTTP response; `body` is the parsed JSON, or undefined if the body is not JSON. */
export type Reply = { readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly body: unknown };

/** Sends one request and returns the response, or null if it failed, timed out or was truncated. */
export async function sendRequest(
  address: string,
  clock: Clock,
  method: string,
  path: string,
  timeoutMs: number,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): Promise<Reply | null> {
  const connection = await openConnection(address, clock, { onStrayBytes });
  if (!connection) return null;
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${address}`, 'Connection: close'];
  for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
  if (body !== '') lines.push('Content-Type: application/json');
  if (body !== '' || method === 'POST') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  const result = await connection.exchange(
    [Buffer.from(`${lines.join('\r\n')}\r\n\r\n${body}`)],
    { deadlineMs: timeoutMs, inactivityTimeoutMs: null },
    noop,
    noop,
  );
  connection.close();
  if (result.end !== 'whole' || !result.head) return null;
  return { status: result.head.status, headers: result.head.headers, body: parseJson(result.body.toString('utf8')) };
}

function onStrayBytes(): void {}
function noop(): void {}

import { parsedJson } from '../src/base/parsed-json.js';
import type { Clock } from '../src/transport/clock.js';
import { openConnection } from './client.js';

export type Reply = { readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly body: unknown };

export async function ask(
  address: string,
  clock: Clock,
  method: string,
  path: string,
  timeoutMs: number,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): Promise<Reply | null> {
  const connection = await openConnection(address, clock, { stray });
  if (!connection) return null;
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${address}`, 'Connection: close'];
  for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
  if (body !== '') lines.push('Content-Type: application/json');
  if (body !== '' || method === 'POST') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  const answer = await connection.exchange(
    [Buffer.from(`${lines.join('\r\n')}\r\n\r\n${body}`)],
    { deadlineMs: timeoutMs, silenceMs: null },
    ignore,
    ignore,
  );
  connection.close();
  if (answer.end !== 'whole' || !answer.head) return null;
  return { status: answer.head.status, headers: answer.head.headers, body: parsedJson(answer.body.toString('utf8')) };
}

function stray(): void {}
function ignore(): void {}

/** Ends responses to requests that have not arrived whole. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from './clock.js';
import type { MemoryBudget } from './memory-budget.js';

/**
 * A caller that is answered while it still sends its body has this long, and this many bytes, to end. Closing a connection
 * with unread bytes resets it, and the caller could lose the response.
 */
const LINGER_MS = 1_000;
const MAX_DISCARDED_BYTES = 4 * 1_048_576;

/**
 * Ends a response whose head and body have been written. If its request is still arriving, the rest of it is discarded
 * for a limited time, and the connection is closed if it does not end within that.
 */
export function endResponse(req: IncomingMessage, res: ServerResponse, clock: Clock): void {
  if (req.complete) {
    res.end();
    return;
  }
  let discardedBytes = 0;
  function onData(chunk: Buffer): void {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) finish();
  }
  function finish(): void {
    timer.cancel();
    req.off('data', onData);
    res.end();
    if (!req.complete) req.socket.destroySoon();
  }
  const timer = clock.timer(LINGER_MS, finish);
  req.on('data', onData);
  req.once('end', finish);
  req.once('close', () => timer.cancel());
  req.resume();
}

/**
 * Writes and ends a whole response within what all callers may hold: without room for it the connection is closed, and so
 * it is if its caller reads nothing for `idleMs`. The head must have been set.
 */
export function sendWithinBudget(
  res: ServerResponse,
  text: string,
  budget: MemoryBudget,
  clock: Clock,
  idleMs: number,
): void {
  const hold = budget.open(() => undefined);
  hold.keep();
  res.once('close', () => hold.release());
  if (!hold.tryResize(Buffer.byteLength(text))) {
    res.destroy();
    return;
  }
  res.write(text);
  endResponse(res.req, res, clock);
  if (!res.writableFinished) res.socket?.setTimeout(idleMs);
}

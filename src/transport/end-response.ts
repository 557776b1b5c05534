/** Ends responses, also to requests that have not arrived whole. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerIntake } from './caller-intake.js';
import type { Lingering } from './lingering.js';

/**
 * Ends a response whose head and body have been written. If its request is still arriving, the connection is closed after a
 * time in which the caller can read the response.
 */
export function endResponse(req: IncomingMessage, res: ServerResponse, lingering: Lingering): void {
  if (req.complete) {
    res.end();
    return;
  }
  function onEnd(): void {
    res.end();
    if (!req.complete) req.socket.destroySoon();
  }
  lingering.linger(req, onEnd);
}

/**
 * Writes and ends a whole response within what all callers may hold: without room for it the connection is closed, and so
 * it is if its caller reads nothing for `idleMs`. The head must have been set.
 */
export function sendWithinBudget(res: ServerResponse, text: string, intake: CallerIntake, idleMs: number): void {
  const hold = intake.budget.open(() => undefined);
  hold.keep();
  res.once('close', () => hold.release());
  if (!hold.tryResize(Buffer.byteLength(text))) {
    res.destroy();
    return;
  }
  res.write(text);
  endResponse(res.req, res, intake.lingering);
  if (!res.writableFinished) res.socket?.setTimeout(idleMs);
}

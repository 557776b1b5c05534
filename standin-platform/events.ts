/** Writes and parses the server-sent events of streamed responses. */
import { parseJson } from '../src/base/parse-json.js';
import type { EventSeen } from './records.js';

/** Formats one server-sent event as a stand-in worker sends it. */
export function formatEvent(eventSeen: EventSeen): string {
  return `id: ${eventSeen.id}\ndata: ${JSON.stringify({ run: eventSeen.run, n: eventSeen.n, of: eventSeen.of })}\n\n`;
}

/** Parses server-sent events from response body chunks; `push` returns the number of events completed by the chunk. */
export type EventReader = { readonly push: (bytes: Buffer) => number; readonly seen: () => readonly EventSeen[] };

/** Creates a reader that buffers an incomplete event until the rest of it arrives. */
export function createEventReader(): EventReader {
  const events: EventSeen[] = [];
  let pending = '';

  function parseChunk(bytes: Buffer): number {
    pending += bytes.toString('utf8');
    const messages = pending.split('\n\n');
    pending = messages.pop() ?? '';
    for (const message of messages) events.push(readEvent(message));
    return messages.length;
  }
  function seen(): readonly EventSeen[] {
    return events;
  }
  return { push: parseChunk, seen };
}

function readEvent(text: string): EventSeen {
  const id = Number(/^id: (\d+)$/m.exec(text)?.[1] ?? -1);
  const data = parseJson(/^data: (.*)$/m.exec(text)?.[1] ?? '') as Partial<EventSeen> | undefined;
  return { id, run: data?.run ?? '', n: data?.n ?? -1, of: data?.of ?? -1 };
}

import { parseJson } from '../src/base/parse-json.js';
import type { EventSeen } from './records.js';

export function eventText(eventSeen: EventSeen): string {
  return `id: ${eventSeen.id}\ndata: ${JSON.stringify({ run: eventSeen.run, n: eventSeen.n, of: eventSeen.of })}\n\n`;
}

export type EventReader = { readonly push: (bytes: Buffer) => number; readonly seen: () => readonly EventSeen[] };

export function createEventReader(): EventReader {
  const events: EventSeen[] = [];
  let held = '';

  function distribution(bytes: Buffer): number {
    held += bytes.toString('utf8');
    const parts = held.split('\n\n');
    held = parts.pop() ?? '';
    for (const part of parts) events.push(readEvent(part));
    return parts.length;
  }
  function seen(): readonly EventSeen[] {
    return events;
  }
  return { push: distribution, seen };
}

function readEvent(text: string): EventSeen {
  const id = Number(/^id: (\d+)$/m.exec(text)?.[1] ?? -1);
  const data = parseJson(/^data: (.*)$/m.exec(text)?.[1] ?? '') as Partial<EventSeen> | undefined;
  return { id, run: data?.run ?? '', n: data?.n ?? -1, of: data?.of ?? -1 };
}

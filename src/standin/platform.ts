/**
 * Stand-in of the platform: lists the workers that send heartbeats. `/lab/` paths drain and hide workers and make the
 * list fail.
 */
import { ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import { Type } from '@sinclair/typebox';
import { readerOf } from '../protocol/read-shape.js';
import { WORKERS_PATH } from '../protocol/platform-wire.js';
import { ListedWorkerShape } from '../state/discovery/listed.js';
import type { ListedWorker } from '../state/discovery/listed.js';
import type { Clock } from '../transport/clock.js';
import type { HttpServer, HttpReply, HttpRequest } from '../transport/http.js';
import type { Journal } from '../transport/journal.js';
import type { Address, WireError } from '../transport/wire.js';

/** A running platform. */
export type StandinPlatform = { readonly address: Address; readonly stop: () => Promise<void> };

const readListed = readerOf(ListedWorkerShape);
const readDrain = readerOf(Type.Object({ remainingMs: Type.Number() }));
const readDrainMachine = readerOf(Type.Object({ machine: Type.String(), remainingMs: Type.Number() }));
const readFault = readerOf(
  Type.Object({ mode: Type.Union([Type.Literal('none'), Type.Literal('nonsense'), Type.Literal('down')]) }),
);
const readHide = readerOf(Type.Object({ hidden: Type.Boolean() }));
// A worker without a heartbeat for so long is removed from the list.
const ENTRY_EXPIRY_MS = 5_000;

type WorkerEntry = { readonly listed: ListedWorker; readonly at: number };
type Drain = { readonly machine: string; readonly deadline: number };

/** Starts a platform without workers. */
export async function startStandinPlatform(
  address: Address,
  clock: Clock,
  httpServer: HttpServer,
  journal: Journal,
): Promise<Result<StandinPlatform, WireError>> {
  const entries = new Map<string, WorkerEntry>();
  const drains = new Map<string, Drain>();
  const hidden = new Set<string>();
  let faultMode: 'none' | 'nonsense' | 'down' = 'none';

  async function onHeartbeat(req: HttpRequest): Promise<HttpReply> {
    const read = readListed(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    entries.set(read.value.id, { listed: read.value, at: clock.mono() });
    return { status: 200, body: {} };
  }

  async function onList(): Promise<HttpReply> {
    if (faultMode === 'down') return { status: 500, text: 'down' };
    if (faultMode === 'nonsense') return { status: 200, body: { workers: 'many' } };
    const now = clock.mono();
    const workers: ListedWorker[] = [];
    for (const [id, entry] of entries) {
      if (now - entry.at > ENTRY_EXPIRY_MS) {
        entries.delete(id);
        continue;
      }
      if (hidden.has(id)) continue;
      const drain = drains.get(id);
      if (drain && drain.machine === entry.listed.machine)
        workers.push({ ...entry.listed, state: 'draining', remainingMs: Math.max(0, drain.deadline - now) });
      else workers.push(entry.listed);
    }
    return { status: 200, body: { workers } };
  }

  async function onDrain(req: HttpRequest): Promise<HttpReply> {
    const read = readDrain(req.body);
    const entry = entries.get(req.params['id'] ?? '');
    return read.ok && entry ? startDrain(entry, read.value.remainingMs) : { status: 404, body: {} };
  }
  async function onDrainMachine(req: HttpRequest): Promise<HttpReply> {
    const read = readDrainMachine(req.body);
    if (read.ok)
      for (const entry of entries.values())
        if (entry.listed.machine === read.value.machine) return startDrain(entry, read.value.remainingMs);
    return { status: 404, body: {} };
  }
  function startDrain(entry: WorkerEntry, remainingMs: number): HttpReply {
    journal.record({
      who: 'platform',
      at: clock.wall(),
      event: 'draining',
      machine: entry.listed.machine,
      worker: entry.listed.id,
    });
    drains.set(entry.listed.id, { machine: entry.listed.machine, deadline: clock.mono() + remainingMs });
    return { status: 200, body: {} };
  }
  async function onHide(req: HttpRequest): Promise<HttpReply> {
    const read = readHide(req.body);
    const id = req.params['id'] ?? '';
    if (!read.ok) return { status: 400, body: { error: read.error } };
    if (read.value.hidden) hidden.add(id);
    else hidden.delete(id);
    return { status: 200, body: {} };
  }
  async function onFault(req: HttpRequest): Promise<HttpReply> {
    const read = readFault(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    faultMode = read.value.mode;
    return { status: 200, body: {} };
  }

  const opened = await httpServer.open(address, [
    { method: 'POST', path: '/lab/workers', handle: onHeartbeat },
    { method: 'GET', path: WORKERS_PATH, handle: onList },
    { method: 'POST', path: '/lab/workers/:id/drain', handle: onDrain },
    { method: 'POST', path: '/lab/drain', handle: onDrainMachine },
    { method: 'POST', path: '/lab/workers/:id/hide', handle: onHide },
    { method: 'POST', path: '/lab/fault', handle: onFault },
  ]);
  if (!opened.ok) return opened;
  return ok({ address: opened.value.address, stop: opened.value.close });
}

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

export type StandinPlatform = { readonly address: Address; readonly stop: () => Promise<void> };

const readListed = readerOf(ListedWorkerShape);
const readDrain = readerOf(Type.Object({ remainingMs: Type.Number() }));
const readDrainMachine = readerOf(Type.Object({ machine: Type.String(), remainingMs: Type.Number() }));
const readFault = readerOf(
  Type.Object({ mode: Type.Union([Type.Literal('none'), Type.Literal('nonsense'), Type.Literal('down')]) }),
);
const readHide = readerOf(Type.Object({ hidden: Type.Boolean() }));
const FORGET_MS = 5_000;

type Held = { readonly listed: ListedWorker; readonly at: number };
type Drain = { readonly machine: string; readonly by: number };

export async function startStandinPlatform(
  address: Address,
  clock: Clock,
  httpServer: HttpServer,
  journal: Journal,
): Promise<Result<StandinPlatform, WireError>> {
  const held = new Map<string, Held>();
  const drains = new Map<string, Drain>();
  const hidden = new Set<string>();
  let mode: 'none' | 'nonsense' | 'down' = 'none';

  async function heartbeat(req: HttpRequest): Promise<HttpReply> {
    const read = readListed(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    held.set(read.value.id, { listed: read.value, at: clock.mono() });
    return { status: 200, body: {} };
  }

  async function list(): Promise<HttpReply> {
    if (mode === 'down') return { status: 500, text: 'down' };
    if (mode === 'nonsense') return { status: 200, body: { workers: 'many' } };
    const now = clock.mono();
    const workers: ListedWorker[] = [];
    for (const [id, worker] of held) {
      if (now - worker.at > FORGET_MS) {
        held.delete(id);
        continue;
      }
      if (hidden.has(id)) continue;
      const drain = drains.get(id);
      if (drain && drain.machine === worker.listed.machine)
        workers.push({ ...worker.listed, state: 'draining', remainingMs: Math.max(0, drain.by - now) });
      else workers.push(worker.listed);
    }
    return { status: 200, body: { workers } };
  }

  async function drain(req: HttpRequest): Promise<HttpReply> {
    const read = readDrain(req.body);
    const h = held.get(req.params['id'] ?? '');
    return read.ok && h ? drained(h, read.value.remainingMs) : { status: 404, body: {} };
  }
  async function drainMachine(req: HttpRequest): Promise<HttpReply> {
    const read = readDrainMachine(req.body);
    if (read.ok)
      for (const worker of held.values())
        if (worker.listed.machine === read.value.machine) return drained(worker, read.value.remainingMs);
    return { status: 404, body: {} };
  }
  function drained(held: Held, remainingMs: number): HttpReply {
    journal.record({
      who: 'platform',
      at: clock.wall(),
      event: 'draining',
      machine: held.listed.machine,
      worker: held.listed.id,
    });
    drains.set(held.listed.id, { machine: held.listed.machine, by: clock.mono() + remainingMs });
    return { status: 200, body: {} };
  }
  async function hide(req: HttpRequest): Promise<HttpReply> {
    const read = readHide(req.body);
    const id = req.params['id'] ?? '';
    if (!read.ok) return { status: 400, body: { error: read.error } };
    if (read.value.hidden) hidden.add(id);
    else hidden.delete(id);
    return { status: 200, body: {} };
  }
  async function fault(req: HttpRequest): Promise<HttpReply> {
    const read = readFault(req.body);
    if (!read.ok) return { status: 400, body: { error: read.error } };
    mode = read.value.mode;
    return { status: 200, body: {} };
  }

  const opened = await httpServer.open(address, [
    { method: 'POST', path: '/lab/workers', handle: heartbeat },
    { method: 'GET', path: WORKERS_PATH, handle: list },
    { method: 'POST', path: '/lab/workers/:id/drain', handle: drain },
    { method: 'POST', path: '/lab/drain', handle: drainMachine },
    { method: 'POST', path: '/lab/workers/:id/hide', handle: hide },
    { method: 'POST', path: '/lab/fault', handle: fault },
  ]);
  if (!opened.ok) return opened;
  return ok({ address: opened.value.address, stop: opened.value.close });
}

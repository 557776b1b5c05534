/**
 * A wire that records the votes a controller sends and loses frames at random.
 * It wraps the simulated wire, so the controller's own messages, frames and
 * timeouts are the real ones.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Frame, Message } from '../../protocol/messages.js';
import type { Address, Connection, ConnectionEvents, Listener, Wire, WireError } from '../../transport/wire.js';
import type { VoteFacts, VoteRequest } from './vote-facts.js';

/** Says of each frame, when it is sent, whether the network loses it. */
export type LosesFrame = () => boolean;

/** Whether the process that owns the wire still runs. */
export type IsAlive = () => boolean;

function requestOf(message: Message): VoteRequest | null {
  if (message.kind === 'prepare') return { slot: message.slot, ballot: message.ballot, batch: '' };
  if (message.kind === 'accept') return { slot: message.slot, ballot: message.ballot, batch: message.batch.id };
  return null;
}

function watchConnection(inner: Connection, votes: VoteFacts, loses: LosesFrame): Connection {
  const asked = new Map<number, VoteRequest>();

  function noteAnswer(id: number, message: Message): void {
    const request = asked.get(id);
    if (!request) return;
    if (message.kind === 'promised')
      votes.noteVote(request, { kind: 'promised', voter: message.voter, accepted: message.accepted?.ballot ?? null });
    if (message.kind === 'accepted') votes.noteVote(request, { kind: 'accepted', voter: message.voter });
  }
  function send(body: unknown): void {
    const frame = body as Frame;
    if (frame.t === 'answer') noteAnswer(frame.id, frame.m);
    if (!loses()) inner.send(body);
  }
  function attach(events: ConnectionEvents): void {
    function frame(body: unknown): void {
      const heard = body as Frame;
      if (heard.t === 'call') {
        const request = requestOf(heard.m);
        if (request) asked.set(heard.id, request);
      }
      events.frame(body);
    }
    inner.attach({ ...events, frame });
  }
  return { peer: inner.peer, send, close: () => inner.close(), attach };
}

export function watchWire(inner: Wire, votes: VoteFacts, loses: LosesFrame, isAlive: IsAlive): Wire {
  function listen(
    address: Address,
    onConnection: (connection: Connection) => void,
  ): Promise<Result<Listener, WireError>> {
    function accepted(connection: Connection): void {
      onConnection(watchConnection(connection, votes, loses));
    }
    // A process that died in the middle of its start opens nothing.
    return isAlive() ? inner.listen(address, accepted) : Promise.resolve(err({ tag: 'addressInUse', address }));
  }
  async function dial(address: Address): Promise<Result<Connection, WireError>> {
    const dialled = await inner.dial(address);
    return dialled.ok ? ok(watchConnection(dialled.value, votes, loses)) : dialled;
  }
  return { listen, dial };
}

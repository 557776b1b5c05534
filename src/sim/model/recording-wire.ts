/**
 * A wire that records the votes that a controller sends, and drops frames at
 * random. It wraps the simulated wire, so that the controller uses its real
 * messages, frames and timeouts.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Frame, Message } from '../../protocol/messages.js';
import type { Address, Connection, ConnectionEvents, Listener, Wire, WireError } from '../../transport/wire.js';
import type { VoteChecker, VoteRequest } from './vote-checker.js';

/** Called for each frame when it is sent; returns whether the network loses it. */
export type LosesFrame = () => boolean;

/** Whether the process that owns the wire is still running. */
export type IsAlive = () => boolean;

function requestOf(message: Message): VoteRequest | null {
  if (message.kind === 'prepare') return { slot: message.slot, ballot: message.ballot, batch: '' };
  if (message.kind === 'accept') return { slot: message.slot, ballot: message.ballot, batch: message.batch.id };
  return null;
}

function recordingConnection(inner: Connection, votes: VoteChecker, losesFrame: LosesFrame): Connection {
  const requests = new Map<number, VoteRequest>();

  function recordResponse(id: number, message: Message): void {
    const request = requests.get(id);
    if (!request) return;
    if (message.kind === 'promised')
      votes.recordVote(request, { kind: 'promised', voter: message.voter, accepted: message.accepted?.ballot ?? null });
    if (message.kind === 'accepted') votes.recordVote(request, { kind: 'accepted', voter: message.voter });
  }
  function send(body: unknown): void {
    const frame = body as Frame;
    if (frame.t === 'answer') recordResponse(frame.id, frame.m);
    if (!losesFrame()) inner.send(body);
  }
  function attach(events: ConnectionEvents): void {
    function frame(body: unknown): void {
      const received = body as Frame;
      if (received.t === 'call') {
        const request = requestOf(received.m);
        if (request) requests.set(received.id, request);
      }
      events.frame(body);
    }
    inner.attach({ ...events, frame });
  }
  return { peer: inner.peer, send, close: () => inner.close(), attach };
}

/** Wraps a wire so that votes are recorded and frames may be lost. */
export function recordingWire(inner: Wire, votes: VoteChecker, losesFrame: LosesFrame, isAlive: IsAlive): Wire {
  function listen(
    address: Address,
    onConnection: (connection: Connection) => void,
  ): Promise<Result<Listener, WireError>> {
    function onAccepted(connection: Connection): void {
      onConnection(recordingConnection(connection, votes, losesFrame));
    }
    // A process that died during its start must not open a listener.
    return isAlive() ? inner.listen(address, onAccepted) : Promise.resolve(err({ tag: 'addressInUse', address }));
  }
  async function dial(address: Address): Promise<Result<Connection, WireError>> {
    const connected = await inner.dial(address);
    return connected.ok ? ok(recordingConnection(connected.value, votes, losesFrame)) : connected;
  }
  return { listen, dial };
}

/** Keeps connections open in each state that a stopping process may find; none of them may delay or abort its stop. */
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';

/** What was sent on a connection: nothing, a part of a request, a complete one, or two at once. */
export const CONNECTION_STATES = ['silent', 'halfHead', 'halfBody', 'idle', 'pipelined'] as const;
/** One of the connection states. */
export type ConnectionState = (typeof CONNECTION_STATES)[number];

const COMPLETE_REQUEST = 'GET /nowhere HTTP/1.1\r\nHost: held.example\r\n\r\n';
const SENT_BYTES: Readonly<Record<ConnectionState, string>> = {
  silent: '',
  halfHead: 'POST /nowhere HTTP/1.1\r\nHost: held.ex',
  halfBody: 'POST /nowhere HTTP/1.1\r\nHost: held.example\r\nContent-Length: 100\r\n\r\nhalf',
  idle: COMPLETE_REQUEST,
  pipelined: `${COMPLETE_REQUEST}${COMPLETE_REQUEST}`,
};

/**
 * Opens one connection in each state to each address. Resolves once all have sent their bytes; the returned function
 * closes them.
 */
export async function holdConnections(addresses: readonly string[]): Promise<() => void> {
  const sockets: Socket[] = [];
  const opened: Promise<void>[] = [];
  for (const address of addresses)
    for (const state of CONNECTION_STATES)
      opened.push(openConnection(address, SENT_BYTES[state], (socket) => sockets.push(socket)));
  await Promise.all(opened);
  return () => {
    for (const socket of sockets) socket.destroy();
  };
}

function openConnection(address: string, bytes: string, onCreated: (socket: Socket) => void): Promise<void> {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = createConnection({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
    onCreated(socket);
    socket.on('error', () => resolve());
    socket.on('close', () => resolve());
    socket.on('connect', () => {
      if (bytes === '') resolve();
      else socket.write(bytes, () => resolve());
    });
    socket.resume();
  });
}

/** Connections from a proxy to the controllers. */
import type { Message } from '../../protocol/messages.js';
import type { Report } from '../../state/distribution/report.js';
import { deltaSince } from '../../state/distribution/reports.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../messaging/peers.js';

/**
 * The open connections from a proxy to controllers, with state for each address: when it last failed, and which reports
 * were sent over the connection, so that later ones can be sent as deltas.
 */
export interface ControllerLinks {
  /** Returns the open connection or dials one, sharing a pending dial; resolves with null if the dial fails. */
  dial(to: Address): Promise<Peer | null>;
  isConnected(address: Address): boolean;
  /** Forgets the connection without closing it. */
  release(address: Address): void;
  addressOf(peer: Peer): Address | null;
  send(to: Address, message: Message): void;
  /** Sends reports as deltas to those sent to this controller before. */
  sendReports(to: Address, reports: readonly Report[]): void;
  /** Called when the controller lacks the bases of deltas: the next reports of these reporters are sent complete. */
  forgetReports(to: Address, reporters: readonly string[]): void;
  hasFailed(address: Address): boolean;
  recordFailure(address: Address): void;
  recordSuccess(address: Address): void;
}

/** An address counts as failed for this long after a failure. */
const FAILURE_EXPIRY_MS = 10_000;

class PeerControllerLinks implements ControllerLinks {
  private readonly connections = new Map<Address, Peer>();
  private readonly pendingDials = new Map<Address, Promise<Peer | null>>();
  private readonly failedAt = new Map<Address, number>();
  private readonly sentReports = new Map<Address, Map<string, Report>>();

  constructor(
    private readonly peers: Pick<Peers, 'connect'>,
    private readonly clock: Clock,
    private readonly onConnectionLost: (address: Address) => void,
  ) {}

  dial(to: Address): Promise<Peer | null> {
    const connected = this.connections.get(to);
    if (connected) return Promise.resolve(connected);
    const pendingDial = this.pendingDials.get(to) ?? this.openConnection(to);
    this.pendingDials.set(to, pendingDial);
    return pendingDial;
  }

  private async openConnection(to: Address): Promise<Peer | null> {
    const result = await this.peers.connect(to);
    this.pendingDials.delete(to);
    if (!result.ok) {
      this.recordFailure(to);
      return null;
    }
    this.connections.set(to, result.value);

    const onClosed = (): void => {
      this.release(to);
      this.recordFailure(to);
      this.onConnectionLost(to);
    };
    result.value.onClosed(onClosed);
    return result.value;
  }

  isConnected(address: Address): boolean {
    return this.connections.has(address);
  }

  release(address: Address): void {
    this.connections.delete(address);
    this.sentReports.delete(address);
  }

  addressOf(peer: Peer): Address | null {
    for (const [address, connection] of this.connections) if (connection === peer) return address;
    return null;
  }

  send(to: Address, message: Message): void {
    this.connections.get(to)?.send(message);
  }

  sendReports(to: Address, reports: readonly Report[]): void {
    const sent = this.sentReports.get(to) ?? new Map<string, Report>();
    this.sentReports.set(to, sent);
    const deltas: Report[] = [];
    for (const report of reports) {
      deltas.push(deltaSince(sent.get(report.reporter), report));
      sent.set(report.reporter, report);
    }
    this.send(to, { kind: 'reports', reports: deltas });
  }

  forgetReports(to: Address, reporters: readonly string[]): void {
    for (const reporter of reporters) this.sentReports.get(to)?.delete(reporter);
  }

  hasFailed(address: Address): boolean {
    const at = this.failedAt.get(address);
    return at !== undefined && this.clock.mono() - at < FAILURE_EXPIRY_MS;
  }

  recordFailure(address: Address): void {
    this.failedAt.set(address, this.clock.mono());
  }

  recordSuccess(address: Address): void {
    this.failedAt.delete(address);
  }
}

/** Starts without connections; `onConnectionLost` is called with the address of each connection that closes. */
export function createControllerLinks(
  peers: Pick<Peers, 'connect'>,
  clock: Clock,
  onConnectionLost: (address: Address) => void,
): ControllerLinks {
  return new PeerControllerLinks(peers, clock, onConnectionLost);
}

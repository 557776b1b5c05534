/** The connections of a proxy to controllers. */
import type { Message } from '../../protocol/messages.js';
import type { Report } from '../../state/distribution/report.js';
import { differenceTo } from '../../state/distribution/reports.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../messaging/peers.js';

/**
 * The connections that a proxy holds to controllers, and what it remembers of each address: when it last failed, and
 * which reports were told over the connection, so that only differences are told again.
 */
export interface ControllerLinks {
  /** The held connection, or null if it can't be made. A dial that is under way is waited for. */
  dial(to: Address): Promise<Peer | null>;
  isConnected(address: Address): boolean;
  release(address: Address): void;
  addressOf(peer: Peer): Address | null;
  send(to: Address, message: Message): void;
  /** Tells reports as differences to what this controller was told before. */
  sendReports(to: Address, reports: readonly Report[]): void;
  /** The controller lacks what these reports differ from: they are told whole next time. */
  forgetReports(to: Address, reporters: readonly string[]): void;
  hasFailed(address: Address): boolean;
  recordFailure(address: Address): void;
  recordSuccess(address: Address): void;
}

const FAILED_MS = 10_000;

class DialledControllerLinks implements ControllerLinks {
  private readonly connections = new Map<Address, Peer>();
  private readonly dialling = new Map<Address, Promise<Peer | null>>();
  private readonly failedAt = new Map<Address, number>();
  private readonly sentReports = new Map<Address, Map<string, Report>>();

  constructor(
    private readonly peers: Pick<Peers, 'connect'>,
    private readonly clock: Clock,
    private readonly onLost: (address: Address) => void,
  ) {}

  dial(to: Address): Promise<Peer | null> {
    const have = this.connections.get(to);
    if (have) return Promise.resolve(have);
    const underWay = this.dialling.get(to) ?? this.dialled(to);
    this.dialling.set(to, underWay);
    return underWay;
  }

  private async dialled(to: Address): Promise<Peer | null> {
    const made = await this.peers.connect(to);
    this.dialling.delete(to);
    if (!made.ok) {
      this.recordFailure(to);
      return null;
    }
    this.connections.set(to, made.value);

    const gone = (): void => {
      this.release(to);
      this.recordFailure(to);
      this.onLost(to);
    };
    made.value.onClosed(gone);
    return made.value;
  }

  isConnected(address: Address): boolean {
    return this.connections.has(address);
  }

  release(address: Address): void {
    this.connections.delete(address);
    this.sentReports.delete(address);
  }

  addressOf(peer: Peer): Address | null {
    for (const [address, held] of this.connections) if (held === peer) return address;
    return null;
  }

  send(to: Address, message: Message): void {
    this.connections.get(to)?.send(message);
  }

  sendReports(to: Address, reports: readonly Report[]): void {
    const before = this.sentReports.get(to) ?? new Map<string, Report>();
    this.sentReports.set(to, before);
    const out: Report[] = [];
    for (const report of reports) {
      out.push(differenceTo(before.get(report.reporter), report));
      before.set(report.reporter, report);
    }
    this.send(to, { kind: 'reports', reports: out });
  }

  forgetReports(to: Address, reporters: readonly string[]): void {
    for (const name of reporters) this.sentReports.get(to)?.delete(name);
  }

  hasFailed(address: Address): boolean {
    const at = this.failedAt.get(address);
    return at !== undefined && this.clock.mono() - at < FAILED_MS;
  }

  recordFailure(address: Address): void {
    this.failedAt.set(address, this.clock.mono());
  }

  recordSuccess(address: Address): void {
    this.failedAt.delete(address);
  }
}

/** No connections yet; `onLost` is called with the address of each that ends. */
export function createControllerLinks(
  peers: Pick<Peers, 'connect'>,
  clock: Clock,
  onLost: (address: Address) => void,
): ControllerLinks {
  return new DialledControllerLinks(peers, clock, onLost);
}

import type { Message } from '../../protocol/messages.js';
import type { Report } from '../../state/report.js';
import { differenceTo } from '../../state/reports.js';
import type { Clock } from '../../transport/clock.js';
import type { Address } from '../../transport/wire.js';
import type { Peer, Peers } from '../members/peers.js';

/**
 * The connections that a proxy holds to controllers, and what it remembers of each address: when it last failed, and
 * which reports were told over the connection, so that only differences are told again.
 */
export interface ControllerLinks {
  /** The held connection, or null if it can't be made. A dial that is under way is waited for. */
  dial(to: Address): Promise<Peer | null>;
  isHeld(address: Address): boolean;
  letGo(address: Address): void;
  addressOf(peer: Peer): Address | null;
  tell(to: Address, m: Message): void;
  /** Tells reports as differences to what this controller was told before. */
  tellReports(to: Address, reports: readonly Report[]): void;
  /** The controller lacks what these reports differ from: they are told whole next time. */
  forgetReports(to: Address, reporters: readonly string[]): void;
  hasFailed(address: Address): boolean;
  noteFailed(address: Address): void;
  noteWorks(address: Address): void;
}

const FAILED_MS = 10_000;

class DialledControllerLinks implements ControllerLinks {
  private readonly held = new Map<Address, Peer>();
  private readonly dialling = new Map<Address, Promise<Peer | null>>();
  private readonly failedAt = new Map<Address, number>();
  private readonly told = new Map<Address, Map<string, Report>>();

  constructor(
    private readonly peers: Pick<Peers, 'hold'>,
    private readonly clock: Clock,
    private readonly onLost: (address: Address) => void,
  ) {}

  dial(to: Address): Promise<Peer | null> {
    const have = this.held.get(to);
    if (have) return Promise.resolve(have);
    const underWay = this.dialling.get(to) ?? this.dialled(to);
    this.dialling.set(to, underWay);
    return underWay;
  }

  private async dialled(to: Address): Promise<Peer | null> {
    const made = await this.peers.hold(to);
    this.dialling.delete(to);
    if (!made.ok) {
      this.noteFailed(to);
      return null;
    }
    this.held.set(to, made.value);

    const gone = (): void => {
      this.letGo(to);
      this.noteFailed(to);
      this.onLost(to);
    };
    made.value.onClosed(gone);
    return made.value;
  }

  isHeld(address: Address): boolean {
    return this.held.has(address);
  }

  letGo(address: Address): void {
    this.held.delete(address);
    this.told.delete(address);
  }

  addressOf(peer: Peer): Address | null {
    for (const [address, p] of this.held) if (p === peer) return address;
    return null;
  }

  tell(to: Address, m: Message): void {
    this.held.get(to)?.tell(m);
  }

  tellReports(to: Address, reports: readonly Report[]): void {
    const before = this.told.get(to) ?? new Map<string, Report>();
    this.told.set(to, before);
    const out: Report[] = [];
    for (const report of reports) {
      out.push(differenceTo(before.get(report.reporter), report));
      before.set(report.reporter, report);
    }
    this.tell(to, { kind: 'reports', reports: out });
  }

  forgetReports(to: Address, reporters: readonly string[]): void {
    for (const name of reporters) this.told.get(to)?.delete(name);
  }

  hasFailed(address: Address): boolean {
    const at = this.failedAt.get(address);
    return at !== undefined && this.clock.mono() - at < FAILED_MS;
  }

  noteFailed(address: Address): void {
    this.failedAt.set(address, this.clock.mono());
  }

  noteWorks(address: Address): void {
    this.failedAt.delete(address);
  }
}

export function createControllerLinks(
  peers: Pick<Peers, 'hold'>,
  clock: Clock,
  onLost: (address: Address) => void,
): ControllerLinks {
  return new DialledControllerLinks(peers, clock, onLost);
}

/** Samples how much memory and how many descriptors a process uses, from the kernel's own figures. */
import { readdirSync, readFileSync } from 'node:fs';

/** The most that was seen of a process; memory counts the bytes that its sockets have received and it has not read. */
export type PeakUsage = {
  readonly memoryMb: number;
  /** The unread part of `memoryMb`. */
  readonly unreadMb: number;
  readonly mostUnreadMb: number;
  readonly descriptors: number;
};

const SAMPLE_INTERVAL_MS = 50;
const KB_PER_MB = 1_024;
const BYTES_PER_MB = 1_048_576;
/** Columns of `/proc/net/tcp`. */
const LOCAL_ADDRESS_COLUMN = 1;
const QUEUES_COLUMN = 4;

/** Watches one process, whose sockets have the address `ip`, until it is stopped. */
export class UsageSampler {
  private peak: PeakUsage = { memoryMb: 0, unreadMb: 0, mostUnreadMb: 0, descriptors: 0 };
  private unread = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly pid: number,
    private readonly ip: string,
  ) {
    this.sample();
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Whether the process has read all that its sockets had received at the last sample. */
  hasReadAll(): boolean {
    return this.unread === 0;
  }

  stop(): PeakUsage {
    clearInterval(this.timer);
    this.sample();
    return this.peak;
  }

  private sample(): void {
    try {
      this.unread = unreadBytes(this.ip);
      const unreadMb = this.unread / BYTES_PER_MB;
      const memoryMb = residentMb(this.pid) + unreadMb;
      const descriptors = readdirSync(`/proc/${this.pid}/fd`).length;
      this.peak = {
        memoryMb: Math.max(this.peak.memoryMb, memoryMb),
        unreadMb: memoryMb > this.peak.memoryMb ? unreadMb : this.peak.unreadMb,
        mostUnreadMb: Math.max(this.peak.mostUnreadMb, unreadMb),
        descriptors: Math.max(this.peak.descriptors, descriptors),
      };
    } catch {
      // The process has exited, which is checked elsewhere.
    }
  }
}

function residentMb(pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / KB_PER_MB;
}

/** Returns the bytes that sockets with the address `ip` have received and their process has not read yet. */
function unreadBytes(ip: string): number {
  const hexAddress = ip.split('.').reverse().map(hexByte).join('');
  let total = 0;
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
    const columns = line.trim().split(/\s+/);
    const [address] = (columns[LOCAL_ADDRESS_COLUMN] ?? '').split(':');
    const [, received] = (columns[QUEUES_COLUMN] ?? '').split(':');
    if (address === hexAddress && received !== undefined) total += Number.parseInt(received, 16);
  }
  return total;
}

function hexByte(decimal: string): string {
  return Number(decimal).toString(16).padStart(2, '0').toUpperCase();
}

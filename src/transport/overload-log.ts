/** Logs what is refused or closed because a limit is reached: one line a second at most, with how often it happened. */
import type { Clock } from './clock.js';
import type { Log, LogFields } from './log.js';

const MIN_INTERVAL_MS = 1_000;

/** A log of one kind of event. */
export class OverloadLog {
  private lastLoggedAt = -Infinity;
  private count = 0;

  constructor(
    private readonly event: string,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Counts one event; `fields` are logged if this one is. */
  record(fields: () => LogFields): void {
    this.count += 1;
    const now = this.clock.mono();
    if (now - this.lastLoggedAt < MIN_INTERVAL_MS) return;
    this.log.warn(this.event, { ...fields(), times: this.count });
    this.lastLoggedAt = now;
    this.count = 0;
  }
}

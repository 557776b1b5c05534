/**
 * Logs when the core no longer bears a loss, when that is not known, and when it bears one again: one line each,
 * with the figures as `key=value`, and none while nothing changes. A state that lasts shorter than `LASTS_MS` is
 * not told.
 */
import type { CoreHealth } from '../../state/membership/core-health.js';
import type { Clock } from '../../transport/clock.js';
import type { Log, LogFields } from '../../transport/log.js';

/** Logs changes of the health; equal conditions are logged once. */
export interface CoreHealthLog {
  record(health: CoreHealth): void;
}

type Condition = 'spare' | 'none' | 'unknown';

/** Two turns: a single late answer is no news. */
const LASTS_MS = 1_000;

function conditionOf(health: CoreHealth): Condition | null {
  if (health.warning === 'notMember') return null;
  if (health.spareLosses === null) return 'unknown';
  return health.spareLosses > 0 ? 'spare' : 'none';
}

/** The figures of one judgement as fields of a log line. */
export function figuresOf(health: CoreHealth): LogFields {
  const lacking: string[] = [];
  for (const member of health.details) if (member.lack !== null) lacking.push(`${member.name}:${member.lack}`);
  const { members, inTouch, holdingAll, quorumSize, spareLosses } = health;
  return {
    members,
    inTouch,
    holdingAll: holdingAll ?? 'unknown',
    quorumSize,
    spareLosses: spareLosses ?? 'unknown',
    lacking: lacking.join(',') || 'none',
  };
}

const EVENTS: Readonly<Record<Condition, string>> = {
  spare: 'controllers tolerate a further loss again',
  none: 'controllers tolerate no further loss',
  unknown: 'no majority of controllers reachable, tolerated losses unknown',
};

class ChangeOnlyHealthLog implements CoreHealthLog {
  private logged: Condition = 'spare';
  private observed: Condition = 'spare';
  private since: number;

  constructor(
    private readonly group: string,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.since = this.clock.mono();
  }

  record(health: CoreHealth): void {
    const condition = conditionOf(health);
    if (condition === null) return;
    if (condition !== this.observed) this.since = this.clock.mono();
    this.observed = condition;
    if (condition === this.logged || this.clock.mono() - this.since < LASTS_MS) return;
    this.logged = condition;
    const fields = { group: this.group, ...figuresOf(health) };
    if (condition === 'spare') this.log.info(EVENTS[condition], fields);
    else this.log.warn(EVENTS[condition], fields);
  }
}

/** `group` names what is judged: the members of the ledger, or those that hold claims. */
export function createCoreHealthLog(group: string, clock: Clock, log: Log): CoreHealthLog {
  return new ChangeOnlyHealthLog(group, clock, log);
}

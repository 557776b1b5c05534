/**
 * Logs when the core stops tolerating a further loss, when the number of tolerated losses becomes unknown, and when the
 * core tolerates a loss again. Writes one line per change of the condition, with the figures as `key=value` fields. A
 * condition that lasts less than `MIN_DURATION_MS` is not logged.
 */
import type { CoreHealth } from '../../state/membership/core-health.js';
import type { Clock } from '../../transport/clock.js';
import type { Log, LogFields } from '../../transport/log.js';

/** Logs changes of the core health; an unchanged condition is logged only once. */
export interface CoreHealthLog {
  record(health: CoreHealth): void;
}

type Condition = 'spare' | 'none' | 'unknown';

/** Two check intervals, so that a single late response is not logged. */
const MIN_DURATION_MS = 1_000;

function conditionOf(health: CoreHealth): Condition | null {
  if (health.warning === 'notMember') return null;
  if (health.spareLosses === null) return 'unknown';
  return health.spareLosses > 0 ? 'spare' : 'none';
}

/** Returns the figures of a core health as fields of a log line. */
export function healthFields(health: CoreHealth): LogFields {
  const excluded: string[] = [];
  for (const member of health.details) if (member.lack !== null) excluded.push(`${member.name}:${member.lack}`);
  const { members, inTouch, holdingAll, quorumSize, spareLosses } = health;
  return {
    members,
    inTouch,
    holdingAll: holdingAll ?? 'unknown',
    quorumSize,
    spareLosses: spareLosses ?? 'unknown',
    lacking: excluded.join(',') || 'none',
  };
}

const EVENT_BY_CONDITION: Readonly<Record<Condition, string>> = {
  spare: 'controllers tolerate a further loss again',
  none: 'controllers tolerate no further loss',
  unknown: 'no majority of controllers reachable, tolerated losses unknown',
};

class ChangeOnlyHealthLog implements CoreHealthLog {
  private loggedCondition: Condition = 'spare';
  private observedCondition: Condition = 'spare';
  private observedSince: number;

  constructor(
    private readonly group: string,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.observedSince = this.clock.mono();
  }

  record(health: CoreHealth): void {
    const condition = conditionOf(health);
    if (condition === null) return;
    if (condition !== this.observedCondition) this.observedSince = this.clock.mono();
    this.observedCondition = condition;
    if (condition === this.loggedCondition || this.clock.mono() - this.observedSince < MIN_DURATION_MS) return;
    this.loggedCondition = condition;
    const fields = { group: this.group, ...healthFields(health) };
    if (condition === 'spare') this.log.info(EVENT_BY_CONDITION[condition], fields);
    else this.log.warn(EVENT_BY_CONDITION[condition], fields);
  }
}

/** Creates the log for one group: `ledger` for the members of the ledger, `claims` for those that hold claims. */
export function createCoreHealthLog(group: string, clock: Clock, log: Log): CoreHealthLog {
  return new ChangeOnlyHealthLog(group, clock, log);
}

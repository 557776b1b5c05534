import { checkAcks, checkConfig, checkRoute } from './check-config.js';
import {
  checkDenied,
  checkLostRequests,
  checkMixed,
  checkOrder,
  checkRecover,
  checkRefused,
  checkTwice,
  checkUnasked,
} from './check-requests.js';
import { checkBudget, checkDrain, checkEvac, checkFailback, checkHome } from './check-workers.js';
import { BOUNDS, gather } from './facts.js';
import type { Bounds, Verdict } from './facts.js';
import type { JournalRecord } from './records.js';

const JUDGES = [
  checkMixed,
  checkUnasked,
  checkTwice,
  checkRefused,
  checkDenied,
  checkRoute,
  checkDrain,
  checkLostRequests,
  checkConfig,
  checkAcks,
  checkBudget,
  checkOrder,
  checkFailback,
  checkHome,
  checkEvac,
  checkRecover,
] as const;

export function judge(records: readonly JournalRecord[], bounds: Bounds = BOUNDS): readonly Verdict[] {
  const facts = gather(records, bounds);
  const out: Verdict[] = [];
  function note(rule: string, text: string): void {
    out.push({ rule, text });
  }
  for (const look of JUDGES) look(facts, note);
  return out;
}

export function brokenRules(verdicts: readonly Verdict[]): readonly string[] {
  return [...new Set(verdicts.map(ruleOf))].sort();
}
function ruleOf(verdict: Verdict): string {
  return verdict.rule;
}

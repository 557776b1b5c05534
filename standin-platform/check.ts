/** Checks the records of a run against all rules. */
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
import { BOUNDS, collectFacts } from './facts.js';
import type { Bounds, RuleViolation } from './facts.js';
import type { JournalRecord } from './records.js';

const RULE_CHECKS = [
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

/** Checks all rules and returns the violations. */
export function checkRules(records: readonly JournalRecord[], bounds: Bounds = BOUNDS): readonly RuleViolation[] {
  const facts = collectFacts(records, bounds);
  const violations: RuleViolation[] = [];
  function report(rule: string, text: string): void {
    violations.push({ rule, text });
  }
  for (const check of RULE_CHECKS) check(facts, report);
  return violations;
}

/** The names of the violated rules, sorted, each once. */
export function brokenRules(violations: readonly RuleViolation[]): readonly string[] {
  return [...new Set(violations.map(ruleOf))].sort();
}
function ruleOf(violation: RuleViolation): string {
  return violation.rule;
}

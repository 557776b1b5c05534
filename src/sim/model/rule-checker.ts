/** Combines the checkers of votes, slots and answers, which observe a group of controllers from outside. */
import { createAnswerChecker } from './answer-checker.js';
import type { AnswerChecker } from './answer-checker.js';
import type { RuleViolation } from './rule-violation.js';
import { createSlotChecker } from './slot-checker.js';
import type { SlotChecker } from './slot-checker.js';
import { createVoteChecker } from './vote-checker.js';
import type { VoteChecker } from './vote-checker.js';

/** The checkers of a history, and the violations that they have reported. */
export type RuleChecker = {
  readonly broken: readonly RuleViolation[];
  readonly reportViolation: (rule: string, detail: string) => void;
  readonly votes: VoteChecker;
  readonly slots: SlotChecker;
  readonly answers: AnswerChecker;
};

/**
 * Creates the checkers for one run of a history. They add to one list of violations; the slot checker reads the votes
 * of the vote checker and passes each new slot to the answer checker.
 */
export function createRuleChecker(): RuleChecker {
  const broken: RuleViolation[] = [];
  function reportViolation(rule: string, detail: string): void {
    broken.push({ rule, detail });
  }
  const votes = createVoteChecker(reportViolation);
  const answers = createAnswerChecker(reportViolation);
  const slots = createSlotChecker(reportViolation, votes, answers.recordNewSlot);
  return { broken, reportViolation, votes, slots, answers };
}

/** Combines the checkers of votes, slots and answers, which observe a group of controllers from outside. */
import { createAnswerChecker } from './answer-facts.js';
import type { AnswerChecker } from './answer-facts.js';
import type { RuleViolation } from './broken.js';
import { createSlotChecker } from './slot-facts.js';
import type { SlotChecker } from './slot-facts.js';
import { createVoteChecker } from './vote-facts.js';
import type { VoteChecker } from './vote-facts.js';

/** The checkers of a history, and the violations that they have reported. */
export type RuleChecker = {
  readonly broken: readonly RuleViolation[];
  readonly reportViolation: (rule: string, detail: string) => void;
  readonly votes: VoteChecker;
  readonly slots: SlotChecker;
  readonly answers: AnswerChecker;
};

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

/** All that is seen of a group of controllers from outside, in one place. */
import { createAnswerFacts } from './answer-facts.js';
import type { AnswerFacts } from './answer-facts.js';
import type { Broken } from './broken.js';
import { createSlotFacts } from './slot-facts.js';
import type { SlotFacts } from './slot-facts.js';
import { createVoteFacts } from './vote-facts.js';
import type { VoteFacts } from './vote-facts.js';

export type Facts = {
  readonly broken: readonly Broken[];
  readonly fail: (rule: string, detail: string) => void;
  readonly votes: VoteFacts;
  readonly slots: SlotFacts;
  readonly answers: AnswerFacts;
};

export function createFacts(): Facts {
  const broken: Broken[] = [];
  function fail(rule: string, detail: string): void {
    broken.push({ rule, detail });
  }
  const votes = createVoteFacts(fail);
  const answers = createAnswerFacts(fail);
  const slots = createSlotFacts(fail, votes, answers.noteInstalled);
  return { broken, fail, votes, slots, answers };
}

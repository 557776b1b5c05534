/** All cases of overload, in the order in which they are played. */
import { ANSWER_CASES } from './answer-cases.js';
import { CROWD_CASES } from './crowd-cases.js';
import type { OverloadCase } from './overload-case.js';

/** All cases. */
export const OVERLOAD_CASES: readonly OverloadCase[] = [...ANSWER_CASES, ...CROWD_CASES];

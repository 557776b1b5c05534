/** The result of evaluating a condition of a runbook. */

/** Whether the condition is met, and what was observed, for the record and the operator. */
export type Observation = { readonly met: boolean; readonly text: string };

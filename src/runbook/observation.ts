/** The answer to a look at the deployment. */

/** Whether a condition is met, and what was seen, for the record and the operator. */
export type Observation = { readonly met: boolean; readonly text: string };

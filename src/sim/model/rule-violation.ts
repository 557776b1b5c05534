/** A rule that a history violated, and a description of the violation. */
export type RuleViolation = { readonly rule: string; readonly detail: string };

/** Called for each violation that a checker finds. */
export type ReportViolation = (rule: string, detail: string) => void;

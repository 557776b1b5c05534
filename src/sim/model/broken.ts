/** Rules that did not hold in a history, and what was seen. */
export type Broken = { readonly rule: string; readonly detail: string };

export type Fail = (rule: string, detail: string) => void;

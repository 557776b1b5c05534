export type Grant = { readonly holder: string; readonly round: number; readonly until: number };

export type LeaseBook = { readonly quietUntil: number; readonly grants: Map<string, Grant> };

export type GrantAsk = {
  readonly duty: string;
  readonly holder: string;
  readonly round: number;
  readonly termMs: number;
};

export function createLeaseBook(now: number, longestTermMs: number): LeaseBook {
  return { quietUntil: now + longestTermMs, grants: new Map() };
}

export function askGrant(book: LeaseBook, ask: GrantAsk, now: number): boolean {
  if (now < book.quietUntil) return false;
  const held = book.grants.get(ask.duty);
  if (held && held.until > now && held.holder !== ask.holder) return false;
  book.grants.set(ask.duty, { holder: ask.holder, round: ask.round, until: now + ask.termMs });
  return true;
}

export function dropGrant(book: LeaseBook, duty: string, holder: string, round: number): boolean {
  const held = book.grants.get(duty);
  if (!held || held.holder !== holder || held.round !== round) return false;
  book.grants.delete(duty);
  return true;
}

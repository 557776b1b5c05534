/**
 * Tickets: a proxy's signed promise of a place, taken once and only by the process that it
 * names. Signed with the key of the ledger, so any proxy can tell a forged one.
 */

import { hmac, sameText } from '../base/digest.js';
import { parsedJson } from '../base/parsed-json.js';

/** What the place was asked for; the homes are weighed by it anew when the request comes. */
export type Bound = {
  readonly mapping: string | null;
  readonly kind: string | null;
  readonly asked: readonly string[] | null;
};

/** The contents of a ticket; `expiresAt` is in shared time, Unix milliseconds. */
export type Ticket = {
  readonly id: string;
  readonly requestId: string;
  readonly proxy: string;
  readonly model: string;
  readonly region: string;
  readonly bound: Bound;
  readonly repeatable: boolean;
  readonly expiresAt: number;
};

/** Why a ticket is not taken. */
export type TicketFault = 'ticketForeign' | 'ticketUsed' | 'ticketExpired';

/** The text of a ticket, signed. */
export function signTicket(ticket: Ticket, key: string): string {
  const body = Buffer.from(JSON.stringify(ticket)).toString('base64url');
  return `${body}.${hmac(key, body)}`;
}

/** The ticket in a text, or why it is not taken here and now. */
export function readTicket(text: string, key: string, proxy: string, now: number): Ticket | TicketFault {
  const dot = text.indexOf('.');
  if (key === '' || dot <= 0 || !sameText(text.slice(dot + 1), hmac(key, text.slice(0, dot)))) return 'ticketForeign';
  const ticket = parsedJson(Buffer.from(text.slice(0, dot), 'base64url').toString()) as Ticket | undefined;
  if (!ticket?.bound || ticket.proxy !== proxy) return 'ticketForeign';
  return now > ticket.expiresAt ? 'ticketExpired' : ticket;
}

/** Tickets that were used; `burn` is false for one used before. */
export interface BurntTickets {
  burn(ticket: Ticket, mono: number): boolean;
  size(): number;
}

const BURNT_KEPT_MS = 600_000;

class TimedBurntTickets implements BurntTickets {
  private readonly burnt = new Map<string, number>();

  burn(ticket: Ticket, mono: number): boolean {
    if (this.burnt.has(ticket.id)) return false;
    this.burnt.set(ticket.id, mono);
    for (const [id, at] of this.burnt) {
      if (mono - at < BURNT_KEPT_MS) break;
      this.burnt.delete(id);
    }
    return true;
  }

  size(): number {
    return this.burnt.size;
  }
}

/** An empty record; it forgets a ticket after ten minutes, long past its life. */
export function createBurntTickets(): BurntTickets {
  return new TimedBurntTickets();
}

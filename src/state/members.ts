/**
 * The membership table and its merging, as in SWIM: news of a higher incarnation wins, within
 * one the graver status does, and a node refutes news of its own death by a new incarnation.
 */

import type { NodeInfo, NodeNews } from './node-info.js';

/** What is known of each node, by name. */
export type Members = Map<string, NodeInfo>;

const RANK = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/** Whether news replaces what is held. */
export function overrides(news: NodeInfo, held: NodeInfo): boolean {
  if (news.incarnation !== held.incarnation) return news.incarnation > held.incarnation;
  return RANK[news.status] > RANK[held.status];
}

/** What news did to the table; `refuted` means that the own incarnation was raised. */
export type MemberStep = { readonly changed: boolean; readonly refuted: boolean };

/** Takes one piece of news into the table. */
export function mergeNode(members: Members, self: string, news: NodeInfo): MemberStep {
  const held = members.get(news.name);
  if (news.name === self) {
    if (!held || news.incarnation < held.incarnation) return { changed: false, refuted: false };
    const mine = news.run === held.run;
    if (mine && news.status === 'alive' && news.incarnation === held.incarnation)
      return { changed: false, refuted: false };
    members.set(self, { ...held, incarnation: news.incarnation + 1 });
    return { changed: true, refuted: true };
  }
  if (held && !overrides(news, held)) return { changed: false, refuted: false };
  members.set(news.name, news);
  return { changed: true, refuted: false };
}

/** News completed by what is held, or null if it names an unknown node briefly. */
export function wholeNews(members: Members, self: string, news: NodeInfo | NodeNews): NodeInfo | null {
  if ('address' in news) return news;
  const held = members.get(news.name);
  return held && (held.run === news.run || news.name === self) ? { ...held, ...news } : null;
}

/** News without what seldom changes. */
export function briefNews(node: NodeInfo): NodeNews {
  return { name: node.name, run: node.run, incarnation: node.incarnation, status: node.status };
}

/** A sum over the live nodes, by which two tables are compared. */
export function sumOf(members: Members): number {
  let sum = 0;
  for (const n of members.values()) if (isUp(n)) sum = (sum + mark(`${n.name} ${n.run} ${n.incarnation}`)) >>> 0;
  return sum;
}
function mark(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  return h >>> 0;
}

/** Whether a node is taken to be there. */
export function isUp(node: NodeInfo): boolean {
  return node.status === 'alive' || node.status === 'suspect';
}

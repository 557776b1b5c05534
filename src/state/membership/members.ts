/**
 * The membership table and its merging, as in SWIM: news of a higher incarnation wins, within
 * one the graver status does, and a node refutes news of its own death by a new incarnation.
 */

import type { NodeInfo, NodeUpdate } from './node-info.js';

/** What is known of each node, by name. */
export type Members = Map<string, NodeInfo>;

const RANK = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/** Whether news replaces what is held. */
export function overrides(update: NodeInfo, known: NodeInfo): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return RANK[update.status] > RANK[known.status];
}

/** What news did to the table; `refuted` means that the own incarnation was raised. */
export type MergeResult = { readonly changed: boolean; readonly refuted: boolean };

/** Takes one piece of news into the table. */
export function mergeNode(members: Members, self: string, update: NodeInfo): MergeResult {
  const known = members.get(update.name);
  if (update.name === self) {
    if (!known || update.incarnation < known.incarnation) return { changed: false, refuted: false };
    const mine = update.run === known.run;
    if (mine && update.status === 'alive' && update.incarnation === known.incarnation)
      return { changed: false, refuted: false };
    members.set(self, { ...known, incarnation: update.incarnation + 1 });
    return { changed: true, refuted: true };
  }
  if (known && !overrides(update, known)) return { changed: false, refuted: false };
  members.set(update.name, update);
  return { changed: true, refuted: false };
}

/** News completed by what is held, or null if it names an unknown node briefly. */
export function fullUpdate(members: Members, self: string, update: NodeInfo | NodeUpdate): NodeInfo | null {
  if ('address' in update) return update;
  const known = members.get(update.name);
  return known && (known.run === update.run || update.name === self) ? { ...known, ...update } : null;
}

/** News without what seldom changes. */
export function briefUpdate(node: NodeInfo): NodeUpdate {
  return { name: node.name, run: node.run, incarnation: node.incarnation, status: node.status };
}

/** A sum over the live nodes, by which two tables are compared. */
export function sumOf(members: Members): number {
  let sum = 0;
  for (const node of members.values())
    if (isUp(node)) sum = (sum + digest(`${node.name} ${node.run} ${node.incarnation}`)) >>> 0;
  return sum;
}
function digest(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  return hash >>> 0;
}

/** Whether a node is taken to be there. */
export function isUp(node: NodeInfo): boolean {
  return node.status === 'alive' || node.status === 'suspect';
}

/**
 * The membership table and its merge rules, as in SWIM: an update with a higher incarnation wins. Within the same
 * incarnation, the status of higher precedence wins. A node refutes an update about its own failure by raising its
 * incarnation.
 */

import type { NodeInfo, NodeUpdate } from './node-info.js';

/** The known nodes by name. */
export type Members = Map<string, NodeInfo>;

const STATUS_PRECEDENCE = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/** Whether an update replaces the known entry of the same node. */
export function overrides(update: NodeInfo, known: NodeInfo): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATUS_PRECEDENCE[update.status] > STATUS_PRECEDENCE[known.status];
}

/** The effect of an update on the table; `refuted` means that the node raised its own incarnation. */
export type MergeResult = { readonly changed: boolean; readonly refuted: boolean };

/** Merges one update into the table. */
export function mergeNode(members: Members, self: string, update: NodeInfo): MergeResult {
  const known = members.get(update.name);
  if (update.name === self) {
    if (!known || update.incarnation < known.incarnation) return { changed: false, refuted: false };
    const isOwnRun = update.run === known.run;
    if (isOwnRun && update.status === 'alive' && update.incarnation === known.incarnation)
      return { changed: false, refuted: false };
    members.set(self, { ...known, incarnation: update.incarnation + 1 });
    return { changed: true, refuted: true };
  }
  if (known && !overrides(update, known)) return { changed: false, refuted: false };
  members.set(update.name, update);
  return { changed: true, refuted: false };
}

/**
 * Completes a compact update with the known fields of its node. Returns null if the node is unknown, or known under
 * another run and not this node itself.
 */
export function expandUpdate(members: Members, self: string, update: NodeInfo | NodeUpdate): NodeInfo | null {
  if ('address' in update) return update;
  const known = members.get(update.name);
  return known && (known.run === update.run || update.name === self) ? { ...known, ...update } : null;
}

/** Returns an update without the fields that seldom change. */
export function compactUpdate(node: NodeInfo): NodeUpdate {
  return { name: node.name, run: node.run, incarnation: node.incarnation, status: node.status };
}

/** Returns a digest of the nodes that are up, independent of their order, for comparing two tables. */
export function membershipDigest(members: Members): number {
  let digestSum = 0;
  for (const node of members.values())
    if (isUp(node)) digestSum = (digestSum + fnv1aHash(`${node.name} ${node.run} ${node.incarnation}`)) >>> 0;
  return digestSum;
}
function fnv1aHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  return hash >>> 0;
}

/** Whether a node counts as up; a suspected node still does. */
export function isUp(node: NodeInfo): boolean {
  return node.status === 'alive' || node.status === 'suspect';
}

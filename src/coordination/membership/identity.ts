/**
 * The identity under which a controller votes, as stored on its disk. A controller keeps its identity as long as the
 * disk lasts. The exception is a former member that was removed from the group: it creates a new identity before it
 * joins again.
 */
import { isJsonObject } from '../../base/is-json-object.js';
import { parseJson } from '../../base/parse-json.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Disk, DiskError } from '../../transport/disk.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';

/** The identity of a controller, as stored in `identity.json`. */
export type Identity = {
  readonly incarnation: string;
  /** The seeds at the first start of this disk if it may take part in the bootstrap of the ledger, else null. */
  readonly bootstrapMembers: readonly Address[] | null;
  /**
   * Whether this identity has been a member of the group; null if the file was written by an older version that did not
   * store this.
   */
  readonly wasMember: boolean | null;
};

/** Why the identity could not be read or written. */
export type IdentityError = DiskError | { readonly tag: 'identityUnreadable' };

const IDENTITY_FILE = 'identity.json';

/** Reads the identity from the disk, or creates and stores a new one with the given bootstrap members. */
export async function loadOrCreateIdentity(
  disk: Disk,
  rng: Rng,
  bootstrapMembers: readonly Address[] | null,
): Promise<Result<Identity, IdentityError>> {
  const stored = await disk.load(IDENTITY_FILE);
  if (!stored.ok) return stored;
  if (stored.value) {
    const parsed = parseIdentity(stored.value.toString());
    return parsed === null ? err({ tag: 'identityUnreadable' }) : ok(parsed);
  }
  const created: Identity = { incarnation: newId(rng, 'i'), bootstrapMembers, wasMember: false };
  const saved = await saveIdentity(disk, created);
  return saved.ok ? ok(created) : saved;
}

/** Stores the identity; it is on the disk once the returned promise resolves without an error. */
export function saveIdentity(disk: Disk, identity: Identity): Promise<Result<null, DiskError>> {
  return disk.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
}

function parseIdentity(text: string): Identity | null {
  const parsed = parseJson(text);
  if (!isJsonObject(parsed) || typeof parsed['incarnation'] !== 'string' || parsed['incarnation'] === '') return null;
  const { incarnation, bootstrapMembers, wasMember } = parsed;
  return {
    incarnation,
    bootstrapMembers: Array.isArray(bootstrapMembers) ? bootstrapMembers.map(String) : null,
    wasMember: typeof wasMember === 'boolean' ? wasMember : null,
  };
}

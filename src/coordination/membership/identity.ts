/**
 * The identity under which a controller votes, as its disk holds it. A machine
 * keeps it as long as the disk lasts, except that one which was a member and was
 * left out of the group takes a new one before it joins again.
 */
import { isTable } from '../../base/is-table.js';
import { parsedJson } from '../../base/parsed-json.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Disk, DiskError } from '../../transport/disk.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';

/** The identity of a controller, as its disk keeps it (`identity.json`). */
export type Identity = {
  readonly incarnation: string;
  /** The seeds of the very first start, if this disk may help to found the ledger. */
  readonly bootstrapMembers: readonly Address[] | null;
  /** Whether the group counted this identity as a member; null if an older version wrote the file, which did not tell. */
  readonly wasMember: boolean | null;
};

/** Why no identity could be read or written. */
export type IdentityError = DiskError | { readonly tag: 'identityUnreadable' };

const IDENTITY_FILE = 'identity.json';

/** Reads the identity; a disk that has none is given a new one, with these bootstrap members. */
export async function openIdentity(
  disk: Disk,
  rng: Rng,
  bootstrapMembers: readonly Address[] | null,
): Promise<Result<Identity, IdentityError>> {
  const stored = await disk.load(IDENTITY_FILE);
  if (!stored.ok) return stored;
  if (stored.value) {
    const read = parsedIdentity(stored.value.toString());
    return read === null ? err({ tag: 'identityUnreadable' }) : ok(read);
  }
  const made: Identity = { incarnation: newId(rng, 'i'), bootstrapMembers, wasMember: false };
  const saved = await saveIdentity(disk, made);
  return saved.ok ? ok(made) : saved;
}

/** Writes the identity; it is on the disk once this resolves. */
export function saveIdentity(disk: Disk, identity: Identity): Promise<Result<null, DiskError>> {
  return disk.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
}

function parsedIdentity(text: string): Identity | null {
  const read = parsedJson(text);
  if (!isTable(read) || typeof read['incarnation'] !== 'string' || read['incarnation'] === '') return null;
  const { incarnation, bootstrapMembers, wasMember } = read;
  return {
    incarnation,
    bootstrapMembers: Array.isArray(bootstrapMembers) ? bootstrapMembers.map(String) : null,
    wasMember: typeof wasMember === 'boolean' ? wasMember : null,
  };
}

/** Snapshots in chunks of bounded size. */
import { sha256 } from '../../base/digest.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/**
 * A snapshot as text, cut into parts of bounded size and put together again. Pure: who hands parts
 * over is in `snapshot-sender.ts`, who takes them in `snapshot-receiver.ts`. The digest names the whole
 * text, so parts of two snapshots are never put together, whichever node each part came from.
 */
export const SnapshotOfferShape = Type.Object({
  /** SHA-256 of the whole text. */
  digest: Type.String({ minLength: 64, maxLength: 64 }),
  /** The last slot that the state has folded. */
  slot: Type.Integer({ minimum: 0 }),
  /** Length of the whole text in UTF-16 units. */
  length: Type.Integer({ minimum: 1 }),
});
/** A checked offer. */
export type SnapshotOffer = Static<typeof SnapshotOfferShape>;

/** A snapshot as text, and its offer. */
export type Snapshot = { readonly offer: SnapshotOffer; readonly text: string };

/** What was received so far of one offered snapshot. */
export type Assembly = { readonly offer: SnapshotOffer; readonly parts: string[] };

/** The chunks do not make the text that was offered. */
export type AssemblyError = { readonly tag: 'digestDiffers' };

/** With the escaping of JSON within JSON a part stays below 64 KB, which narrow links carry in one round trip. */
export const CHUNK_LENGTH = 40_000;

/** Four times the largest configuration that an operator may set, beside all else. */
export const MOST_SNAPSHOT_LENGTH = 32 * 1_048_576;

/** The snapshot of a slot. */
export function snapshotOf(slot: number, text: string): Snapshot {
  return { offer: { digest: sha256(text), slot, length: text.length }, text };
}

/** How many chunks an offered snapshot has. */
export function chunkCount(offer: SnapshotOffer): number {
  return Math.ceil(offer.length / CHUNK_LENGTH);
}

/** The part of that index, or null where the snapshot has none. */
export function chunkOf(snapshot: Snapshot, index: number): string | null {
  if (index < 0 || index >= chunkCount(snapshot.offer)) return null;
  return snapshot.text.slice(index * CHUNK_LENGTH, (index + 1) * CHUNK_LENGTH);
}

/** Whether an offered snapshot is small enough to be fetched. */
export function isBounded(offer: SnapshotOffer): boolean {
  return offer.length <= MOST_SNAPSHOT_LENGTH;
}

/** No chunks yet. */
export function createAssembly(offer: SnapshotOffer): Assembly {
  return { offer, parts: [] };
}

/** The index of the part that is to come next, or null once all are there. */
export function nextChunk(assembly: Assembly): number | null {
  return assembly.parts.length < chunkCount(assembly.offer) ? assembly.parts.length : null;
}

/** Adds the next part. False, and nothing added, if it is another one or of another length than it must have. */
export function addChunk(assembly: Assembly, index: number, chunk: string): boolean {
  if (index !== nextChunk(assembly)) return false;
  const left = assembly.offer.length - index * CHUNK_LENGTH;
  if (chunk.length !== Math.min(CHUNK_LENGTH, left)) return false;
  assembly.parts.push(chunk);
  return true;
}

/** The whole text, once all parts are there and their digest is the one that was offered. */
export function assembled(assembly: Assembly): Result<string, AssemblyError> {
  const text = assembly.parts.join('');
  return sha256(text) === assembly.offer.digest ? ok(text) : err({ tag: 'digestDiffers' });
}

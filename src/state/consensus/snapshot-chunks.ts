/** Snapshots in chunks of bounded size. */
import { sha256 } from '../../base/digest.js';
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/**
 * The offer of a snapshot. A snapshot is a text that is split into chunks of bounded size and assembled again by the
 * functions of this module, which do no I/O: `snapshot-sender.ts` sends chunks and `snapshot-receiver.ts` receives
 * them. The digest covers the complete text, so chunks of two snapshots are never combined, whichever node sent them.
 */
export const SnapshotOfferShape = Type.Object({
  /** SHA-256 of the complete text. */
  digest: Type.String({ minLength: 64, maxLength: 64 }),
  /** The last slot applied to the state. */
  slot: Type.Integer({ minimum: 0 }),
  /** Length of the complete text in UTF-16 code units. */
  length: Type.Integer({ minimum: 1 }),
});
/** A validated offer. */
export type SnapshotOffer = Static<typeof SnapshotOfferShape>;

/** A snapshot as text, and its offer. */
export type Snapshot = { readonly offer: SnapshotOffer; readonly text: string };

/** The chunks received so far of an offered snapshot. */
export type Assembly = { readonly offer: SnapshotOffer; readonly parts: string[] };

/** The assembled chunks do not have the digest that was offered. */
export type AssemblyError = { readonly tag: 'digestDiffers' };

/** With the escaping of JSON inside JSON a chunk stays below 64 KB, which narrow links carry in one round trip. */
export const CHUNK_LENGTH = 40_000;

/** Four times the largest configuration that an operator may set, to leave room for the rest of the state. */
export const MAX_SNAPSHOT_LENGTH = 32 * 1_048_576;

/** Returns the snapshot of a slot with its offer. */
export function snapshotOf(slot: number, text: string): Snapshot {
  return { offer: { digest: sha256(text), slot, length: text.length }, text };
}

/** Returns the number of chunks of an offered snapshot. */
export function chunkCount(offer: SnapshotOffer): number {
  return Math.ceil(offer.length / CHUNK_LENGTH);
}

/** Returns the chunk with this index, or null if the snapshot has none. */
export function chunkAt(snapshot: Snapshot, index: number): string | null {
  if (index < 0 || index >= chunkCount(snapshot.offer)) return null;
  return snapshot.text.slice(index * CHUNK_LENGTH, (index + 1) * CHUNK_LENGTH);
}

/** Whether an offered snapshot is small enough to be fetched: at most MAX_SNAPSHOT_LENGTH. */
export function isWithinSizeLimit(offer: SnapshotOffer): boolean {
  return offer.length <= MAX_SNAPSHOT_LENGTH;
}

/** Starts the assembly of an offered snapshot, without chunks. */
export function createAssembly(offer: SnapshotOffer): Assembly {
  return { offer, parts: [] };
}

/** Returns the index of the next chunk to receive, or null once all were received. */
export function nextChunk(assembly: Assembly): number | null {
  return assembly.parts.length < chunkCount(assembly.offer) ? assembly.parts.length : null;
}

/** Adds the next chunk. Returns false, and adds nothing, if the index or the length is not that of the next chunk. */
export function addChunk(assembly: Assembly, index: number, chunk: string): boolean {
  if (index !== nextChunk(assembly)) return false;
  const remaining = assembly.offer.length - index * CHUNK_LENGTH;
  if (chunk.length !== Math.min(CHUNK_LENGTH, remaining)) return false;
  assembly.parts.push(chunk);
  return true;
}

/** Returns the complete text if the digest of the received chunks matches the offer. Call it once all were received. */
export function assembleText(assembly: Assembly): Result<string, AssemblyError> {
  const text = assembly.parts.join('');
  return sha256(text) === assembly.offer.digest ? ok(text) : err({ tag: 'digestDiffers' });
}

/**
 * Digests of responses (`seal` on the wire): a running hash over the chunks, closed with the ids of the request and
 * the attempt. Workers compute them; proxies and clients verify them, so that a response that is truncated, reordered
 * or belongs to another request is never taken for complete.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';

const identifierShape = Type.String({ minLength: 1, maxLength: 256 });

/** Schema of a digest as workers send it. */
export const ResponseDigestShape = Type.Object({
  requestId: identifierShape,
  attemptId: identifierShape,
  pieces: Type.Integer({ minimum: 0 }),
  digest: Type.String(),
});
/** A digest that matches the schema. */
export type ResponseDigest = Static<typeof ResponseDigestShape>;

/** Schema of a numbered chunk of a response. */
export const ResponseChunkShape = Type.Object({ n: Type.Integer({ minimum: 0 }), text: Type.String() });
/** A chunk that matches the schema. */
export type ResponseChunk = Static<typeof ResponseChunkShape>;

/** Why a chunk or a digest is rejected. */
export type ResponseDigestError = 'foreign' | 'pieceOutOfTurn' | 'pieceCount' | 'digest';

/** A digest being computed. `attemptId` is null where the verifier doesn't know the attempt. */
export type DigestCheck = {
  readonly requestId: string;
  readonly attemptId: string | null;
  pieces: number;
  readonly hash: Hash;
};

/** Starts the digest of one response. */
export function startDigest(requestId: string, attemptId: string | null): DigestCheck {
  return { requestId, attemptId, pieces: 0, hash: createHash('sha256') };
}

/** Adds the next chunk; returns an error if it is out of order, else null. */
export function addChunk(running: DigestCheck, chunk: ResponseChunk): ResponseDigestError | null {
  if (chunk.n !== running.pieces) return 'pieceOutOfTurn';
  running.pieces += 1;
  running.hash.update(`${chunk.n}:${Buffer.byteLength(chunk.text)}:${chunk.text}`);
  return null;
}

function finalHash(running: DigestCheck, attemptId: string): string {
  return running.hash.copy().update(`|${running.requestId}|${attemptId}|${running.pieces}`).digest('hex');
}

/** Returns the digest over the chunks added so far. */
export function closeDigest(running: DigestCheck, attemptId: string): ResponseDigest {
  return { requestId: running.requestId, attemptId, pieces: running.pieces, digest: finalHash(running, attemptId) };
}

/** Returns null if the digest matches the chunks added so far, else the error. */
export function checkDigest(running: DigestCheck, digest: ResponseDigest): ResponseDigestError | null {
  if (digest.requestId !== running.requestId) return 'foreign';
  if (running.attemptId !== null && digest.attemptId !== running.attemptId) return 'foreign';
  if (digest.pieces !== running.pieces) return 'pieceCount';
  return digest.digest === finalHash(running, digest.attemptId) ? null : 'digest';
}

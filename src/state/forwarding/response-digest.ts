/**
 * Seals over answers: a running digest of the pieces, closed with the ids of request and
 * attempt. Workers make them; proxies and clients check them, so that an answer that is cut,
 * reordered or another request's is never taken for whole.
 */

import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';

const tString = Type.String({ minLength: 1, maxLength: 256 });

/** A seal as workers send it. */
export const ResponseDigestShape = Type.Object({
  requestId: tString,
  attemptId: tString,
  pieces: Type.Integer({ minimum: 0 }),
  digest: Type.String(),
});
/** A checked seal. */
export type ResponseDigest = Static<typeof ResponseDigestShape>;

/** A numbered piece of an answer. */
export const ResponseChunkShape = Type.Object({ n: Type.Integer({ minimum: 0 }), text: Type.String() });
/** A checked piece. */
export type ResponseChunk = Static<typeof ResponseChunkShape>;

/** What a check found wrong. */
export type ResponseDigestError = 'foreign' | 'pieceOutOfTurn' | 'pieceCount' | 'digest';

/** A digest under way. `attemptId` is null where the checker does not know the attempt. */
export type DigestCheck = {
  readonly requestId: string;
  readonly attemptId: string | null;
  pieces: number;
  readonly hash: Hash;
};

/** Begins the digest of one answer. */
export function startDigest(requestId: string, attemptId: string | null): DigestCheck {
  return { requestId, attemptId, pieces: 0, hash: createHash('sha256') };
}

/** Takes the next piece; a fault if it is out of turn. */
export function addChunk(check: DigestCheck, piece: ResponseChunk): ResponseDigestError | null {
  if (piece.n !== check.pieces) return 'pieceOutOfTurn';
  check.pieces += 1;
  check.hash.update(`${piece.n}:${Buffer.byteLength(piece.text)}:${piece.text}`);
  return null;
}

function ending(check: DigestCheck, attemptId: string): string {
  return check.hash.copy().update(`|${check.requestId}|${attemptId}|${check.pieces}`).digest('hex');
}

/** The seal over the pieces taken so far. */
export function closeDigest(check: DigestCheck, attemptId: string): ResponseDigest {
  return { requestId: check.requestId, attemptId, pieces: check.pieces, digest: ending(check, attemptId) };
}

/** Null if the seal fits the pieces taken so far, else what does not. */
export function checkDigest(check: DigestCheck, digest: ResponseDigest): ResponseDigestError | null {
  if (digest.requestId !== check.requestId) return 'foreign';
  if (check.attemptId !== null && digest.attemptId !== check.attemptId) return 'foreign';
  if (digest.pieces !== check.pieces) return 'pieceCount';
  return digest.digest === ending(check, digest.attemptId) ? null : 'digest';
}

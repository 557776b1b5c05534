import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';

const Id = Type.String({ minLength: 1, maxLength: 256 });

export const SealShape = Type.Object({
  requestId: Id,
  attemptId: Id,
  pieces: Type.Integer({ minimum: 0 }),
  digest: Type.String(),
});
export type Seal = Static<typeof SealShape>;

export const PieceShape = Type.Object({ n: Type.Integer({ minimum: 0 }), text: Type.String() });
export type Piece = Static<typeof PieceShape>;

export type SealFault = 'foreign' | 'pieceOutOfTurn' | 'pieceCount' | 'digest';

export type SealCheck = {
  readonly requestId: string;
  readonly attemptId: string | null;
  pieces: number;
  readonly hash: Hash;
};

export function startSeal(requestId: string, attemptId: string | null): SealCheck {
  return { requestId, attemptId, pieces: 0, hash: createHash('sha256') };
}

export function addPiece(check: SealCheck, piece: Piece): SealFault | null {
  if (piece.n !== check.pieces) return 'pieceOutOfTurn';
  check.pieces += 1;
  check.hash.update(`${piece.n}:${Buffer.byteLength(piece.text)}:${piece.text}`);
  return null;
}

function ending(check: SealCheck, attemptId: string): string {
  return check.hash.copy().update(`|${check.requestId}|${attemptId}|${check.pieces}`).digest('hex');
}

export function closeSeal(check: SealCheck, attemptId: string): Seal {
  return { requestId: check.requestId, attemptId, pieces: check.pieces, digest: ending(check, attemptId) };
}

export function checkSeal(check: SealCheck, seal: Seal): SealFault | null {
  if (seal.requestId !== check.requestId) return 'foreign';
  if (check.attemptId !== null && seal.attemptId !== check.attemptId) return 'foreign';
  if (seal.pieces !== check.pieces) return 'pieceCount';
  return seal.digest === ending(check, seal.attemptId) ? null : 'digest';
}

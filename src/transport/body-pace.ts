/** Decides after each piece of a request's body whether more of it is read now, in its next turn, or not at all. */
import type { Socket } from 'node:net';
import type { ReadTurns } from './read-turns.js';
import type { TinyPieceBody, TinyPieceSlots } from './tiny-piece-slots.js';

/** What the bodies of a process share. */
export type BodyReading = { readonly turns: ReadTurns; readonly tinyPieces: TinyPieceSlots };

/** After this much of one body, others get their turn. */
const BYTES_PER_TURN = 32_768;
const PIECES_PER_TURN = 1_024;
/** Smaller pieces are tiny. */
const TINY_PIECE_BYTES = 1_024;
/** Tiny pieces that any body may have. */
const FREE_TINY_PIECES = 256;

/** The pace of one body. */
export class BodyPace implements TinyPieceBody {
  private bytes = 0;
  private pieces = 0;
  private bytesOfTurn = 0;
  private piecesOfTurn = 0;
  private hasSlot = false;

  constructor(
    private readonly socket: Socket,
    private readonly reading: BodyReading,
    readonly onDisplaced: () => void,
  ) {}

  /** Records a piece. Returns false if the body has too many tiny pieces while others have too. */
  tryAdd(bytes: number): boolean {
    this.bytes += bytes;
    this.pieces += 1;
    if (!this.hasSlot && this.pieces - this.bytes / TINY_PIECE_BYTES > FREE_TINY_PIECES) {
      if (!this.reading.tinyPieces.tryEnter(this)) return false;
      this.hasSlot = true;
    }
    this.bytesOfTurn += bytes;
    this.piecesOfTurn += 1;
    if (this.bytesOfTurn >= BYTES_PER_TURN || this.piecesOfTurn >= PIECES_PER_TURN) this.endTurn();
    return true;
  }

  /** Must be called when the body has ended or is given up. */
  end(): void {
    this.reading.tinyPieces.leave(this);
  }

  private endTurn(): void {
    this.bytesOfTurn = 0;
    this.piecesOfTurn = 0;
    this.reading.turns.await(this.socket, this.hasSlot ? 'tiny' : 'usual');
  }
}

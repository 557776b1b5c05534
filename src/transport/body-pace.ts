/** Decides after each piece of a request's body whether more of it is read now or in its next turn. */
import type { Socket } from 'node:net';
import type { ReadTurns } from './read-turns.js';

/** What the bodies of a process share. */
export type BodyReading = { readonly turns: ReadTurns };

/** After this much of one body, others get their turn. */
const BYTES_PER_TURN = 32_768;
const PIECES_PER_TURN = 1_024;

/** The pace of one body. */
export class BodyPace {
  private bytesOfTurn = 0;
  private piecesOfTurn = 0;

  constructor(
    private readonly socket: Socket,
    private readonly reading: BodyReading,
  ) {}

  /** Records a piece. */
  add(bytes: number): void {
    this.bytesOfTurn += bytes;
    this.piecesOfTurn += 1;
    if (this.bytesOfTurn >= BYTES_PER_TURN || this.piecesOfTurn >= PIECES_PER_TURN) this.endTurn();
  }

  private endTurn(): void {
    this.bytesOfTurn = 0;
    this.piecesOfTurn = 0;
    this.reading.turns.await(this.socket);
  }
}

/**
 * Counts of runs and of bad ones over about the last `spanMs`, in two half-spans. Used to
 * judge workers that answer but spoil what they answer.
 */

/** Notes runs and tells recent counts. */
export type RunCounts = {
  readonly note: (now: number, bad: boolean) => void;
  readonly bad: (now: number) => number;
  readonly ran: (now: number) => number;
};

type Bucket = { at: number; bad: number; ran: number };

/** No runs yet. */
export function createRunCounts(spanMs: number): RunCounts {
  const half = spanMs / 2;
  let now0: Bucket = { at: 0, bad: 0, ran: 0 };
  let before: Bucket = { at: -1, bad: 0, ran: 0 };

  function turn(now: number): void {
    const at = Math.floor(now / half);
    if (at === now0.at) return;
    before = at === now0.at + 1 ? now0 : { at: at - 1, bad: 0, ran: 0 };
    now0 = { at, bad: 0, ran: 0 };
  }
  function note(now: number, isBad: boolean): void {
    turn(now);
    now0.ran += 1;
    if (isBad) now0.bad += 1;
  }
  function bad(now: number): number {
    turn(now);
    return now0.bad + before.bad;
  }
  function ran(now: number): number {
    turn(now);
    return now0.ran + before.ran;
  }
  return { note, bad, ran };
}

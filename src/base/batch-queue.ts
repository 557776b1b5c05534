/**
 * A queue in front of an asynchronous worker that takes commands in batches. Used for
 * writing to disk and for proposals: what arrives while a batch is worked on goes into the
 * next one, in order of arrival, so that one flush or one agreement serves many callers.
 */

/** Puts commands in the queue, each promise giving its own answer; `length` counts those not begun. */
export type BatchQueue<C, A> = { readonly put: (command: C) => Promise<A>; readonly length: () => number };

type Waiting<C, A> = { readonly command: C; readonly done: (answer: A) => void };

/** A queue whose worker must give as many answers as it took commands, in their order. */
export function createBatchQueue<C, A>(work: (commands: readonly C[]) => Promise<readonly A[]>): BatchQueue<C, A> {
  let waiting: Waiting<C, A>[] = [];
  let busy = false;

  async function drain(): Promise<void> {
    busy = true;
    while (waiting.length > 0) {
      const batch = waiting;
      waiting = [];
      const commands: C[] = [];
      for (const waiting of batch) commands.push(waiting.command);
      const answers = await work(commands);
      for (let i = 0; i < batch.length; i += 1) (batch[i] as Waiting<C, A>).done(answers[i] as A);
    }
    busy = false;
  }

  function put(command: C): Promise<A> {
    function enqueue(done: (answer: A) => void): void {
      waiting.push({ command, done });
      if (!busy) void drain();
    }
    return new Promise<A>(enqueue);
  }
  function length(): number {
    return waiting.length;
  }
  return { put, length };
}

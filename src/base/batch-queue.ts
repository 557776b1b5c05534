/**
 * Batches commands for an asynchronous function. Used for disk writes and for proposals: commands that arrive while a
 * batch is being processed form the next batch, in order of arrival, so that one flush or one round of agreement
 * serves many callers.
 */

/**
 * `put` enqueues a command and resolves with the result of that command. `length` is the number of commands whose batch
 * has not started.
 */
export type BatchQueue<C, A> = { readonly put: (command: C) => Promise<A>; readonly length: () => number };

type PendingCommand<C, A> = { readonly command: C; readonly resolve: (answer: A) => void };

/** Creates a queue. `processBatch` must return one result per command, in the same order. */
export function createBatchQueue<C, A>(
  processBatch: (commands: readonly C[]) => Promise<readonly A[]>,
): BatchQueue<C, A> {
  let pending: PendingCommand<C, A>[] = [];
  let isDraining = false;

  async function drain(): Promise<void> {
    isDraining = true;
    while (pending.length > 0) {
      const batch = pending;
      pending = [];
      const commands: C[] = [];
      for (const entry of batch) commands.push(entry.command);
      const results = await processBatch(commands);
      for (let i = 0; i < batch.length; i += 1) (batch[i] as PendingCommand<C, A>).resolve(results[i] as A);
    }
    isDraining = false;
  }

  function put(command: C): Promise<A> {
    function executor(resolve: (answer: A) => void): void {
      pending.push({ command, resolve });
      if (!isDraining) void drain();
    }
    return new Promise<A>(executor);
  }
  function length(): number {
    return pending.length;
  }
  return { put, length };
}

import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import type { Clock } from '../../transport/clock.js';
import type { ListFault, ListReader } from './list-feed.js';

export function readWithin(
  reader: ListReader,
  clock: Clock,
  ms: number,
): Promise<Result<readonly WorkerEntry[], ListFault> | null> {
  function start(resolve: (got: Result<readonly WorkerEntry[], ListFault> | null) => void): void {
    function late(): void {
      resolve(null);
    }
    const timer = clock.timer(ms, late);
    function read(got: Result<readonly WorkerEntry[], ListFault>): void {
      timer.cancel();
      resolve(got);
    }
    void reader.read().then(read);
  }
  return new Promise(start);
}

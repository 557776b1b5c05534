import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import type { Clock } from '../../transport/clock.js';
import type { WorkerListFault, WorkerListReader } from './list-feed.js';

export function readWithin(
  reader: WorkerListReader,
  clock: Clock,
  ms: number,
): Promise<Result<readonly WorkerEntry[], WorkerListFault> | null> {
  function start(resolve: (got: Result<readonly WorkerEntry[], WorkerListFault> | null) => void): void {
    function late(): void {
      resolve(null);
    }
    const timer = clock.timer(ms, late);
    function read(got: Result<readonly WorkerEntry[], WorkerListFault>): void {
      timer.cancel();
      resolve(got);
    }
    void reader.read().then(read);
  }
  return new Promise(start);
}

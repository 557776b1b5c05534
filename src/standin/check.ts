/**
 * Checks the journals of the stand-ins: a run-once request runs at most once, a request that was shed does not run, a
 * success is complete, pieces come from one run, requests stay in their home regions, and a machine that is leaving
 * receives no more requests.
 */
import { sha256 } from '../base/digest.js';
import { readMark } from './mark.js';
import { ownValue, setOwnValue } from '../base/own-value.js';

/** One record of a journal. */
export type JournalRecord = Readonly<Record<string, unknown>>;

/** A rule that was violated, and by what. */
export type RuleViolation = { readonly rule: string; readonly detail: string };

/** All violations, and counts of what was checked. */
export type CheckReport = {
  readonly broken: readonly RuleViolation[];
  readonly counts: Readonly<Record<string, number>>;
};

/** Home regions by kind of request, and how long after its notice a leaving machine may still receive requests. */
export type CheckRules = {
  readonly regionsOfKind: Readonly<Record<string, readonly string[]>>;
  readonly drainNoticeGraceMs: number;
};

type WorkerRun = { readonly worker: string; readonly region: string; readonly attemptId: string; readonly at: number };

function textField(record: JournalRecord, key: string): string {
  const value = ownValue(record, key);
  return typeof value === 'string' ? value : '';
}
function numberField(record: JournalRecord, key: string): number {
  const value = ownValue(record, key);
  return typeof value === 'number' ? value : 0;
}

/** Checks the records of all journals together, in order of time. */
export function checkRecords(records: readonly JournalRecord[], rules: CheckRules): CheckReport {
  const broken: RuleViolation[] = [];
  const counts: Record<string, number> = {};
  const runsByRequest = new Map<string, WorkerRun[]>();
  const attemptsByRequest = new Map<string, number>();
  const endByAttempt = new Map<string, JournalRecord>();
  const leavingSince = new Map<string, number>();
  const runsByKey = new Map<string, string[]>();
  const callerRecords: JournalRecord[] = [];

  function addCount(key: string, amount = 1): void {
    setOwnValue(counts, key, (ownValue(counts, key) ?? 0) + amount);
  }
  function recordLeaving(record: JournalRecord): void {
    const machine = textField(record, 'machine');
    if (!leavingSince.has(machine)) leavingSince.set(machine, numberField(record, 'at'));
  }
  function addViolation(rule: string, detail: string): void {
    broken.push({ rule, detail });
    addCount(`broken ${rule}`);
  }

  const sorted = [...records].sort(byTime);
  function byTime(left: JournalRecord, right: JournalRecord): number {
    return numberField(left, 'at') - numberField(right, 'at');
  }
  for (const record of sorted) {
    if (record['who'] === 'caller') {
      callerRecords.push(record);
      addCount(`caller ${textField(record, 'result')}`);
      continue;
    }
    if (
      (record['who'] === 'cloud' && record['event'] === 'reclaiming') ||
      (record['who'] === 'platform' && record['event'] === 'draining')
    )
      recordLeaving(record);
    if (record['who'] === 'body') {
      addCount('bodies at proxies');
      checkHomes(record, 'its body reached');
    }
    if (record['who'] !== 'worker') continue;
    const event = textField(record, 'event');
    const requestId = textField(record, 'requestId');
    if (event === 'draining') recordLeaving(record);
    if (event === 'arrived') {
      attemptsByRequest.set(requestId, (attemptsByRequest.get(requestId) ?? 0) + 1);
      addCount('attempts');
      checkHomes(record, 'it reached');
      const noticeAt = leavingSince.get(textField(record, 'machine'));
      const arrivedAt = typeof record['came'] === 'number' ? record['came'] : numberField(record, 'at');
      if (noticeAt !== undefined && arrivedAt - noticeAt > rules.drainNoticeGraceMs) {
        addViolation(
          'leaving',
          `${requestId} reached ${textField(record, 'worker')} ${arrivedAt - noticeAt} ms after the notice`,
        );
      }
    }
    if (event === 'begin') {
      const runs = runsByRequest.get(requestId) ?? [];
      runs.push({
        worker: textField(record, 'worker'),
        region: textField(record, 'region'),
        attemptId: textField(record, 'attemptId'),
        at: numberField(record, 'at'),
      });
      runsByRequest.set(requestId, runs);
      const key = readMark(textField(record, 'mark'))?.key ?? null;
      if (key !== null)
        runsByKey.set(key, [
          ...(runsByKey.get(key) ?? []),
          `${textField(record, 'worker')} at ${numberField(record, 'at')}`,
        ]);
    }
    if (event === 'prefill') {
      addCount('prefill tokens', numberField(record, 'tokens'));
      addCount('prefill hits', numberField(record, 'hit'));
    }
    if (event === 'end') endByAttempt.set(textField(record, 'attemptId'), record);
  }
  addCount('first dispatches', attemptsByRequest.size);

  for (const record of callerRecords) {
    const requestId = textField(record, 'requestId');
    const runs = runsByRequest.get(requestId) ?? [];
    const result = textField(record, 'result');
    if (requestId === '') continue;
    if (result.startsWith('shed') && runs.length > 0)
      addViolation('notRun', `${requestId} was shed (${result}) but ran on ${runs.map(workerOf).join()}`);
    if (result === 'success') checkSuccess(record, requestId, runs);
    else if (numberField(record, 'pieces') > 0 && !isPrefixOfOneRun(record, requestId, runs))
      addViolation('spliced', `${requestId} received pieces that are not a prefix of one run`);
  }
  for (const [key, runs] of runsByKey)
    if (runs.length > 1) addViolation('runOnce', `${key} ran ${runs.length} times: ${runs.join(', ')}`);
  addCount('run-once keys', runsByKey.size);
  return { broken, counts };

  function checkHomes(record: JournalRecord, event: string): void {
    const mark = readMark(textField(record, 'mark'));
    const homes = mark?.homes ?? ownValue(rules.regionsOfKind, mark?.kind ?? '') ?? null;
    if (homes && !homes.includes(textField(record, 'region')))
      addViolation(
        'homes',
        `${textField(record, 'mark')}: ${event} ${textField(record, 'region')}, outside ${homes.join()}`,
      );
  }

  function isPrefixOfOneRun(record: JournalRecord, requestId: string, runs: readonly WorkerRun[]): boolean {
    for (const run of runs)
      if (sha256(expectedText(requestId, run.attemptId, numberField(record, 'pieces'))) === textField(record, 'text'))
        return true;
    return false;
  }

  function checkSuccess(record: JournalRecord, requestId: string, runs: readonly WorkerRun[]): void {
    const end = endByAttempt.get(textField(record, 'attemptId'));
    if (!end || textField(end, 'requestId') !== requestId) {
      addViolation('sealed', `${requestId} was reported as a success, but no worker finished it`);
      return;
    }
    let hasBegun = false;
    for (const run of runs) if (run.attemptId === textField(record, 'attemptId')) hasBegun = true;
    if (!hasBegun) addViolation('sealed', `${requestId} was reported as a success, but its attempt never began`);
    if (
      sha256(expectedText(requestId, textField(record, 'attemptId'), numberField(end, 'pieces'))) !==
      textField(record, 'text')
    )
      addViolation('spliced', `${requestId} received a text other than its worker produced`);
  }
}

function expectedText(requestId: string, attemptId: string, pieces: number): string {
  let text = '';
  for (let index = 0; index < pieces; index += 1) text += `${requestId.slice(-6)}/${attemptId.slice(-6)}/${index} `;
  return text;
}

function workerOf(run: WorkerRun): string {
  return run.worker;
}

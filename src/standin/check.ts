import { sha256 } from '../base/digest.js';
import { readMark } from './mark.js';

export type Rec = Readonly<Record<string, unknown>>;

export type Broken = { readonly rule: string; readonly detail: string };

export type CheckReport = { readonly broken: readonly Broken[]; readonly counts: Readonly<Record<string, number>> };

export type CheckRules = {
  readonly regionsOfKind: Readonly<Record<string, readonly string[]>>;
  readonly leavingMs: number;
};

type Ran = { readonly worker: string; readonly region: string; readonly attemptId: string; readonly at: number };

function str(rec: Rec, key: string): string {
  const value = rec[key];
  return typeof value === 'string' ? value : '';
}
function num(rec: Rec, key: string): number {
  const value = rec[key];
  return typeof value === 'number' ? value : 0;
}

export function checkRecords(records: readonly Rec[], rules: CheckRules): CheckReport {
  const broken: Broken[] = [];
  const counts: Record<string, number> = {};
  const ran = new Map<string, Ran[]>();
  const arrived = new Map<string, number>();
  const ends = new Map<string, Rec>();
  const leaving = new Map<string, number>();
  const keysRun = new Map<string, string[]>();
  const callers: Rec[] = [];

  function count(what: string, total = 1): void {
    counts[what] = (counts[what] ?? 0) + total;
  }
  function noteLeaving(rec: Rec): void {
    const machine = str(rec, 'machine');
    if (!leaving.has(machine)) leaving.set(machine, num(rec, 'at'));
  }
  function fault(rule: string, detail: string): void {
    broken.push({ rule, detail });
    count(`broken ${rule}`);
  }

  const sorted = [...records].sort(byTime);
  function byTime(left: Rec, right: Rec): number {
    return num(left, 'at') - num(right, 'at');
  }
  for (const rec of sorted) {
    if (rec['who'] === 'caller') {
      callers.push(rec);
      count(`caller ${str(rec, 'result')}`);
      continue;
    }
    if (
      (rec['who'] === 'cloud' && rec['event'] === 'reclaiming') ||
      (rec['who'] === 'platform' && rec['event'] === 'draining')
    )
      noteLeaving(rec);
    if (rec['who'] === 'body') {
      count('bodies at proxies');
      checkHomes(rec, 'its body reached');
    }
    if (rec['who'] !== 'worker') continue;
    const event = str(rec, 'event');
    const requestId = str(rec, 'requestId');
    if (event === 'draining') noteLeaving(rec);
    if (event === 'arrived') {
      arrived.set(requestId, (arrived.get(requestId) ?? 0) + 1);
      count('attempts');
      checkHomes(rec, 'it reached');
      const since = leaving.get(str(rec, 'machine'));
      const came = typeof rec['came'] === 'number' ? rec['came'] : num(rec, 'at');
      if (since !== undefined && came - since > rules.leavingMs) {
        fault('leaving', `${requestId} reached ${str(rec, 'worker')} ${came - since} ms after the notice`);
      }
    }
    if (event === 'begin') {
      const list = ran.get(requestId) ?? [];
      list.push({
        worker: str(rec, 'worker'),
        region: str(rec, 'region'),
        attemptId: str(rec, 'attemptId'),
        at: num(rec, 'at'),
      });
      ran.set(requestId, list);
      const key = readMark(str(rec, 'mark'))?.key ?? null;
      if (key !== null) keysRun.set(key, [...(keysRun.get(key) ?? []), `${str(rec, 'worker')} at ${num(rec, 'at')}`]);
    }
    if (event === 'prefill') {
      count('prefill tokens', num(rec, 'tokens'));
      count('prefill hits', num(rec, 'hit'));
    }
    if (event === 'end') ends.set(str(rec, 'attemptId'), rec);
  }
  count('first dispatches', arrived.size);

  for (const rec of callers) {
    const requestId = str(rec, 'requestId');
    const runs = ran.get(requestId) ?? [];
    const result = str(rec, 'result');
    if (requestId === '') continue;
    if (result.startsWith('shed') && runs.length > 0)
      fault('notRun', `${requestId} was shed (${result}) and yet ran on ${runs.map(workerOf).join()}`);
    if (result === 'success') checkSuccess(rec, requestId, runs);
    else if (num(rec, 'pieces') > 0 && !isPrefix(rec, requestId, runs))
      fault('spliced', `${requestId} was given pieces that are no beginning of one run`);
  }
  for (const [key, seen] of keysRun)
    if (seen.length > 1) fault('runOnce', `${key} ran ${seen.length} times: ${seen.join(', ')}`);
  count('run-once keys', keysRun.size);
  return { broken, counts };

  function checkHomes(rec: Rec, how: string): void {
    const mark = readMark(str(rec, 'mark'));
    const homes = mark?.homes ?? rules.regionsOfKind[mark?.kind ?? ''] ?? null;
    if (homes && !homes.includes(str(rec, 'region')))
      fault('homes', `${str(rec, 'mark')}: ${how} ${str(rec, 'region')}, outside ${homes.join()}`);
  }

  function isPrefix(rec: Rec, requestId: string, runs: readonly Ran[]): boolean {
    for (const ran of runs)
      if (sha256(textOf(requestId, ran.attemptId, num(rec, 'pieces'))) === str(rec, 'text')) return true;
    return false;
  }

  function checkSuccess(rec: Rec, requestId: string, runs: readonly Ran[]): void {
    const end = ends.get(str(rec, 'attemptId'));
    if (!end || str(end, 'requestId') !== requestId) {
      fault('sealed', `${requestId} was told a success that no worker finished`);
      return;
    }
    let known = false;
    for (const ran of runs) if (ran.attemptId === str(rec, 'attemptId')) known = true;
    if (!known) fault('sealed', `${requestId} was told a success of a dispatch that never began`);
    if (sha256(textOf(requestId, str(rec, 'attemptId'), num(end, 'pieces'))) !== str(rec, 'text'))
      fault('spliced', `${requestId} was given a text that is not its worker's`);
  }
}

function textOf(requestId: string, attemptId: string, pieces: number): string {
  let text = '';
  for (let count = 0; count < pieces; count += 1) text += `${requestId.slice(-6)}/${attemptId.slice(-6)}/${count} `;
  return text;
}

function workerOf(ran: Ran): string {
  return ran.worker;
}

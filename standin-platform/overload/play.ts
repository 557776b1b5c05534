/** Plays one case on a site of real processes, and checks what must hold whatever the speed of the machine. */
import { delay } from '../../src/transport/clock.js';
import type { Clock } from '../../src/transport/clock.js';
import type { Rng } from '../../src/transport/rng.js';
import { startSite } from '../site.js';
import type { Site } from '../site.js';
import { Crowd } from './crowd.js';
import { EndlessWorker } from './endless-worker.js';
import type { CrowdTarget, OverloadCase } from './overload-case.js';
import { FAULTY_MODEL, nodeOf, ordinaryRequest, overloadShape, zoneName } from './overload-site.js';
import { UsageSampler } from './process-usage.js';
import type { PeakUsage } from './process-usage.js';

/** What is checked of a case. */
export const OVERLOAD_CHECKS = ['started', 'alive', 'memory', 'descriptors', 'answers', 'ordinaryRequest'] as const;
/** One of the checks. */
export type OverloadCheck = (typeof OVERLOAD_CHECKS)[number];

/** What a case is played with. */
export type OverloadDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly root: string;
  readonly deployFile: string;
  readonly onSite: (site: Site) => void;
};
/** The outcome of a case, which passes if no check failed. */
export type OverloadResult = { readonly failedChecks: readonly OverloadCheck[]; readonly text: string };

const TARGET_PORT: Readonly<Record<CrowdTarget, number>> = {
  proxy: 8161,
  control: 8166,
  directory: 8164,
  readiness: 8167,
};
const WORKER_PORT = 8080;
/** Time in which a peer without end is heard. It is longer than the deadline of its requests. */
const PEER_TIME_MS = 4_500;
/** An ordinary caller that is refused asks again, for this long. */
const ORDINARY_CALL_TIMEOUT_MS = 20_000;
const ORDINARY_RETRY_MS = 250;
const ANSWER_CHECK_MS = 50;
/** Longer than the interval of the samples. */
const READ_CHECK_MS = 150;
const READ_TIMEOUT_MS = 15_000;

/** Plays a case. */
export async function playOverloadCase(overloadCase: OverloadCase, deps: OverloadDeps): Promise<OverloadResult> {
  const site = await startSite({ ...deps, shape: overloadShape(overloadCase.limits) });
  if (!site) return { failedChecks: ['started'], text: 'No loopback network is free.' };
  deps.onSite(site);
  const worker = await addFaultyWorker(site, overloadCase);
  try {
    if (!(await site.waitUntilReady())) return { failedChecks: ['started'], text: 'The site did not become ready.' };
    return await playOnSite(overloadCase, deps, site, worker);
  } finally {
    await worker?.close();
    // How they stop is not part of the case, and a graceful stop takes seconds.
    for (const node of site.nodes) node.process.signal('SIGKILL');
    await site.stop();
  }
}

async function addFaultyWorker(site: Site, { response }: OverloadCase): Promise<EndlessWorker | null> {
  if (!response) return null;
  const net = nodeOf(site, 'proxy').ip.split('.')[1] ?? '';
  const worker = new EndlessWorker(`127.${net}.150.1`, WORKER_PORT, FAULTY_MODEL, zoneName(), response);
  await worker.listen();
  site.list.publish(worker.listed());
  return worker;
}

async function playOnSite(
  overloadCase: OverloadCase,
  deps: OverloadDeps,
  site: Site,
  worker: EndlessWorker | null,
): Promise<OverloadResult> {
  if (worker) await site.records.until((rec) => rec.what === 'listed' && rec.worker === worker.listed().id);
  const isAtController = overloadCase.target === 'control' || overloadCase.target === 'directory';
  const node = nodeOf(site, isAtController ? 'controller' : 'proxy');
  const pid = node.process.pid();
  if (pid === null) return { failedChecks: ['started'], text: 'The process has exited.' };
  if (!(await isOrdinaryRequestAnswered(site, deps.clock, isAtController)))
    return { failedChecks: ['started'], text: 'An ordinary request was not answered before the case.' };
  const sampler = new UsageSampler(pid, node.ip);
  const crowd = new Crowd();
  if (overloadCase.isListEndless) site.list.setFault({ mode: 'endless' });
  const address = { ip: node.ip, port: TARGET_PORT[overloadCase.target] };
  await crowd.join(address, overloadCase.groups);
  if (worker || overloadCase.isListEndless || overloadCase.expectedStatus !== null)
    await waitForAnswers(crowd, overloadCase, deps.clock);
  await waitUntilRead(sampler, deps.clock);
  const isAnswered = await isOrdinaryRequestAnswered(site, deps.clock, isAtController);
  const stillOpen = crowd.openConnections();
  crowd.leave();
  const peak = sampler.stop();
  const failedChecks = failedChecksOf({
    started: true,
    alive: site.unexpectedExits().length === 0 && node.process.pid() === pid,
    memory: peak.memoryMb <= overloadCase.limits.memoryMb,
    descriptors: peak.descriptors <= overloadCase.limits.maxFds,
    answers: hasExpectedAnswers(crowd, overloadCase),
    ordinaryRequest: isAnswered,
  });
  return { failedChecks, text: describe(site, overloadCase, peak, crowd, stillOpen, worker) };
}

/** Waits until the whole crowd is answered, or for the time in which a peer without end is heard. */
async function waitForAnswers(crowd: Crowd, overloadCase: OverloadCase, clock: Clock): Promise<void> {
  const until = clock.mono() + PEER_TIME_MS;
  const count = clientCount(overloadCase);
  while (clock.mono() < until && (count === 0 || crowd.answerCount() < count)) await delay(clock, ANSWER_CHECK_MS);
}

function clientCount({ groups }: OverloadCase): number {
  return groups.reduce((sum, group) => sum + group.count, 0);
}

function hasExpectedAnswers(crowd: Crowd, overloadCase: OverloadCase): boolean {
  const { expectedStatus } = overloadCase;
  if (expectedStatus === null) return true;
  const statuses = [...crowd.answers().keys()];
  return (
    crowd.answerCount() === clientCount(overloadCase) &&
    statuses.every((status) => status.startsWith(`HTTP/1.1 ${expectedStatus} `))
  );
}

/** Waits until the process has read what the crowd has sent, so that its memory is measured with all of it. */
async function waitUntilRead(sampler: UsageSampler, clock: Clock): Promise<void> {
  const until = clock.mono() + READ_TIMEOUT_MS;
  do await delay(clock, READ_CHECK_MS);
  while (clock.mono() < until && !sampler.hasReadAll());
}

/** Calls as an ordinary caller and, at a controller, as an operator, while the crowd still holds its connections. */
async function isOrdinaryRequestAnswered(site: Site, clock: Clock, isAtController: boolean): Promise<boolean> {
  if (isAtController && (await site.operator.read(ORDINARY_CALL_TIMEOUT_MS)) === null) return false;
  const until = clock.mono() + ORDINARY_CALL_TIMEOUT_MS;
  while (clock.mono() < until) {
    if ((await site.direct(nodeOf(site, 'proxy'), ordinaryRequest())).succeeded) return true;
    await delay(clock, ORDINARY_RETRY_MS);
  }
  return false;
}

function failedChecksOf(checks: Readonly<Record<OverloadCheck, boolean>>): readonly OverloadCheck[] {
  return OVERLOAD_CHECKS.filter((check) => !checks[check]);
}

function describe(
  site: Site,
  { limits }: OverloadCase,
  peak: PeakUsage,
  crowd: Crowd,
  stillOpen: number,
  worker: EndlessWorker | null,
): string {
  const answers = [...crowd.answers()].map(([status, count]) => `${count} x ${status}`).join(', ') || 'no answers';
  const exits = site.unexpectedExits().map((exit) => `${exit.name} ended: ${exit.code ?? exit.signal}`);
  return [
    `at most ${peak.memoryMb.toFixed(0)} of ${limits.memoryMb} MB, of which ${peak.unreadMb.toFixed(0)} unread at that moment (${peak.mostUnreadMb.toFixed(0)} at most), ${peak.descriptors} of ${limits.maxFds} descriptors`,
    `crowd: ${answers}; ${crowd.opened()} connections opened, ${stillOpen} open at the end${worker ? `; ${worker.answered()} requests reached the faulty worker` : ''}`,
    ...exits,
  ].join('\n');
}

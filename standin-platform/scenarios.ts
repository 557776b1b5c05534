/** The scenarios: each plays one fault on a site under load and says what must not happen. */
import type { SiteWorker, Site, SiteNode } from './site.js';
import { documentToWire } from './document.js';
import { configurationOf, SMALL_SITE } from './shape.js';
import type { ModelRoute } from './document.js';

/**
 * What is checked of a scenario: the site starts, no rule is violated, the required share of the requests is served, and
 * no process exits unexpectedly.
 */
export const SCENARIO_CHECKS = ['started', 'rules', 'servedShare', 'exits'] as const;

/** One of the checks of a scenario. */
export type ScenarioCheck = (typeof SCENARIO_CHECKS)[number];

/** A fault, what must not happen because of it, and the share of requests that must be served all the same. */
export type Scenario = {
  readonly name: string;
  readonly fault: string;
  readonly forbidden: string;
  readonly forMs: number;
  /** Multiplies the request rate. */
  readonly rateFactor?: number;
  readonly minServedShare: number;
  readonly play: (site: Site) => Promise<void>;
};

const LLM = 'huvo11a';
const WEB = 'wuno96b';
const ZONE = 'timis-1';
const HOME_ZONE = 'szeged-a';

function busiestWorker(site: Site, model: string, excludedZone = ''): SiteWorker {
  return [...site.workers].filter(fits).sort(byRunning)[0] as SiteWorker;
  function fits(siteWorker: SiteWorker): boolean {
    return (
      siteWorker.model === model && siteWorker.zone !== excludedZone && siteWorker.worker.seen().phase === 'serving'
    );
  }
}
function byRunning(left: SiteWorker, right: SiteWorker): number {
  return right.worker.running() - left.worker.running();
}
function busiestEdge(site: Site): SiteNode {
  const open = new Map<string, string>();
  for (const rec of site.records.all()) {
    if (rec.what === 'asked') open.set(rec.attempt, rec.edge);
    if (rec.what === 'answered') open.delete(rec.attempt);
  }
  const edges = site.nodes.filter(isEdge);
  return edges.sort(byOpen)[0] as SiteNode;
  function count(siteNode: SiteNode): number {
    return [...open.values()].filter(isHere).length;
    function isHere(edge: string): boolean {
      return edge.startsWith(`${siteNode.ip}:`);
    }
  }
  function byOpen(left: SiteNode, right: SiteNode): number {
    return count(right) - count(left);
  }
}
function isEdge(siteNode: SiteNode): boolean {
  return !siteNode.core;
}
function controllerNode(site: Site): SiteNode {
  return site.nodes.find(fits) as SiteNode;
  function fits(siteNode: SiteNode): boolean {
    return siteNode.core && siteNode.zone === ZONE;
  }
}

async function noFault(): Promise<void> {}

async function workerCrash(site: Site): Promise<void> {
  await site.asked(80);
  const web = busiestWorker(site, WEB);
  await site.crashWorker(busiestWorker(site, LLM));
  await site.crashWorker(web);
  await site.asked(80);
  await site.restartWorker(web, 0);
}
async function unresponsiveWorker(site: Site): Promise<void> {
  await site.asked(80);
  const unresponsive = [busiestWorker(site, LLM), busiestWorker(site, WEB)];
  for (const siteWorker of unresponsive) siteWorker.worker.setUnresponsive(true);
  await site.asked(160);
  for (const siteWorker of unresponsive) siteWorker.worker.setUnresponsive(false);
}
async function corruptedResponses(site: Site): Promise<void> {
  const modes = [
    'breakOff',
    'behind',
    'surplus',
    'garbage',
    'badStatus',
    'badName',
    'lostAnswer',
    'fail',
    'refuse',
  ] as const;
  for (const mode of modes) {
    for (const siteWorker of site.workers) siteWorker.worker.fault({ mode, share: 0.15 });
    await site.asked(60);
  }
  for (const siteWorker of site.workers) siteWorker.worker.resetIdleConnections();
  for (const siteWorker of site.workers) siteWorker.worker.fault(null);
}
async function workerDrain(site: Site): Promise<void> {
  await site.asked(80);
  site.drainWorker(busiestWorker(site, LLM), null);
  site.drainWorker(busiestWorker(site, WEB), null);
}
async function shortNotice(site: Site): Promise<void> {
  await site.asked(80);
  site.drainWorker(busiestWorker(site, LLM), 1_800);
  await site.asked(120);
  site.drainWorker(busiestWorker(site, LLM, HOME_ZONE), 900);
}
async function coldRestart(site: Site): Promise<void> {
  await site.asked(60);
  const restarted = site.workers.filter(isRestarted);
  function isRestarted(siteWorker: SiteWorker): boolean {
    return siteWorker.zone === HOME_ZONE && siteWorker.model === LLM;
  }
  for (const siteWorker of restarted) await site.crashWorker(siteWorker);
  await site.asked(120);
  for (const siteWorker of restarted) await site.restartWorker(siteWorker, 3_000);
}
async function evacuation(site: Site): Promise<void> {
  await site.asked(30);
  await site.operator.evacuate(ZONE, true);
  await site.records.until(evacuationHasLasted(site));
  await site.operator.evacuate(ZONE, false);
}
function evacuationHasLasted(site: Site): (rec: { readonly at: number }) => boolean {
  const from = site.records.all().at(-1)?.at ?? 0;
  function isLater(rec: { readonly at: number }): boolean {
    return rec.at > from + 6_500;
  }
  return isLater;
}
async function concurrentChanges(site: Site): Promise<void> {
  await site.asked(30);
  const changedShares = { ...SMALL_SITE, mappings: SMALL_SITE.mappings.map(changeExplainShares) };
  const shorterDeadlines = { ...SMALL_SITE, mappings: SMALL_SITE.mappings.map(shortenDeadline) };
  await Promise.all([
    site.operator.replace(configurationOf(changedShares, 4), 1),
    site.operator.replace(configurationOf(shorterDeadlines, 6), 1),
  ]);
}
function changeExplainShares(modelRoute: ModelRoute): ModelRoute {
  return modelRoute.name === 'r-explain' ? { ...modelRoute, shares: [{ model: WEB, share: 100 }] } : modelRoute;
}
function shortenDeadline(modelRoute: ModelRoute): ModelRoute {
  return { ...modelRoute, deadlineMs: modelRoute.deadlineMs - 500 };
}
async function invalidConfigurations(site: Site): Promise<void> {
  await site.asked(20);
  const withUnknownModel = documentToWire({
    number: 5,
    mappings: [
      ...SMALL_SITE.mappings,
      {
        ...(SMALL_SITE.mappings[0] as ModelRoute),
        name: 'r-x',
        prefix: '/x/',
        shares: [{ model: 'nowhere', share: 1 }],
      },
    ],
    models: SMALL_SITE.models,
  });
  await site.operator.replace(withUnknownModel, 1, false);
  const withDuplicateRoute = documentToWire({
    number: 5,
    mappings: [...SMALL_SITE.mappings, { ...(SMALL_SITE.mappings[0] as ModelRoute), name: 'r-x' }],
    models: SMALL_SITE.models,
  });
  await site.operator.replace(withDuplicateRoute, 1, false);
  await site.operator.replace(configurationOf(SMALL_SITE, 1), 1, false);
  await site.operator.replaceRaw(JSON.stringify(configurationOf(SMALL_SITE, 9)).slice(0, -20), 1);
}
async function controllerKilled(site: Site): Promise<void> {
  const node = controllerNode(site);
  await site.asked(30);
  node.process.signal('SIGKILL');
  await site.asked(30);
  await site.operator.replace(configurationOf(SMALL_SITE, 4), 1);
  await node.restart();
}
async function controllerWiped(site: Site): Promise<void> {
  const node = controllerNode(site);
  await site.asked(20);
  await site.operator.replace(configurationOf(SMALL_SITE, 4), 1);
  node.process.signal('SIGKILL');
  await node.restart(true);
}
async function allControllersKilled(site: Site): Promise<void> {
  await site.asked(30);
  await site.operator.replace(configurationOf(SMALL_SITE, 4), 1);
  for (const siteNode of site.nodes) if (siteNode.core) siteNode.process.signal('SIGKILL');
  for (const siteNode of site.nodes) if (siteNode.core) await siteNode.restart();
}
async function proxyKilled(site: Site): Promise<void> {
  await site.asked(80);
  const edge = busiestEdge(site);
  edge.process.signal('SIGKILL');
  await edge.restart();
}
async function controllerReplaced(site: Site): Promise<void> {
  await site.asked(60);
  await site.operator.replace(configurationOf(SMALL_SITE, 4), 1);
  await site.replaceController(controllerNode(site));
  await site.asked(200);
  await site.operator.replace(configurationOf(SMALL_SITE, 9), 4);
}
async function settingsChanged(site: Site): Promise<void> {
  await site.asked(60);
  for (const siteNode of site.nodes) siteNode.rewriteSettings();
  await site.asked(60);
  for (const siteNode of site.nodes) siteNode.process.signal('SIGHUP');
  await site.operator.replace(configurationOf(SMALL_SITE, 4), 1);
}
async function proxyFrozen(site: Site): Promise<void> {
  await site.asked(80);
  const edge = busiestEdge(site);
  edge.process.signal('SIGSTOP');
  await site.operator.evacuate('wien-2', true);
  await site.asked(200);
  edge.process.signal('SIGCONT');
}
async function controllerFrozen(site: Site): Promise<void> {
  const node = controllerNode(site);
  await site.asked(60);
  node.process.signal('SIGSTOP');
  await site.operator.replace(configurationOf(SMALL_SITE, 4), 1);
  await site.asked(200);
  node.process.signal('SIGCONT');
  await site.operator.replace(configurationOf(SMALL_SITE, 9), 4);
}
async function rollingProxyRestart(site: Site): Promise<void> {
  for (const siteNode of site.nodes) {
    if (siteNode.core) continue;
    await site.asked(60);
    siteNode.process.signal('SIGTERM');
    await siteNode.restart();
  }
}
async function proxyStopped(site: Site): Promise<void> {
  await site.asked(80);
  const edge = busiestEdge(site);
  edge.process.signal('SIGTERM');
  await edge.restart();
}
async function listDown(site: Site): Promise<void> {
  await site.asked(30);
  site.list.setFault({ mode: 'down' });
  await site.asked(80);
  site.list.setFault({ mode: 'none' });
}

/** All scenarios, in the order in which they are played. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: 'quiet',
    fault: 'no fault',
    forbidden: 'an unserved request',
    forMs: 4_000,
    minServedShare: 1,
    play: noFault,
  },
  {
    name: 'worker-crash',
    fault: 'two workers crash, one restarts',
    forbidden: 'a run-once request run twice, or a truncated response passed on as complete',
    forMs: 6_000,
    minServedShare: 0.9,
    play: workerCrash,
  },
  {
    name: 'dark-worker',
    fault: 'two workers do not respond for some seconds',
    forbidden: 'a run-once request run twice',
    forMs: 8_000,
    minServedShare: 0.8,
    play: unresponsiveWorker,
  },
  {
    name: 'spoiled-answers',
    fault: 'workers truncate, corrupt, repeat, lose and reject responses',
    forbidden: 'the response to another request, or a truncated one passed on as complete',
    forMs: 11_000,
    minServedShare: 0.8,
    play: corruptedResponses,
  },
  {
    name: 'drain',
    fault: 'two workers drain',
    forbidden: 'an arrival after the cutoff',
    forMs: 8_000,
    minServedShare: 0.99,
    play: workerDrain,
  },
  {
    name: 'short-notice',
    fault: 'a worker drains with 1.8 s left, then another one with 0.9 s',
    forbidden: 'an arrival after the cutoff, or pieces of two runs joined wrongly',
    forMs: 6_000,
    minServedShare: 0.9,
    play: shortNotice,
  },
  {
    name: 'cold-return',
    fault: 'the LLM workers of a zone crash and restart cold',
    forbidden: 'a cold worker overloaded',
    forMs: 8_000,
    rateFactor: 3,
    minServedShare: 0.75,
    play: coldRestart,
  },
  {
    name: 'evacuation',
    fault: 'a zone is evacuated and restored',
    forbidden: 'an arrival in the evacuated zone',
    forMs: 11_000,
    minServedShare: 0.99,
    play: evacuation,
  },
  {
    name: 'race',
    fault: 'two operators change the same version',
    forbidden: 'both changes acknowledged, or the rejected one in force',
    forMs: 6_000,
    minServedShare: 0.99,
    play: concurrentChanges,
  },
  {
    name: 'invalid',
    fault: 'invalid configurations are sent',
    forbidden: 'one of them acknowledged or in force',
    forMs: 5_000,
    minServedShare: 0.99,
    play: invalidConfigurations,
  },
  {
    name: 'controller-killed',
    fault: 'a controller is killed and restarts',
    forbidden: 'an older configuration read back',
    forMs: 8_000,
    minServedShare: 0.99,
    play: controllerKilled,
  },
  {
    name: 'controller-wiped',
    fault: 'a controller loses its disk right after an acknowledgement',
    forbidden: 'an acknowledged configuration lost',
    forMs: 8_000,
    minServedShare: 0.99,
    play: controllerWiped,
  },
  {
    name: 'controller-replaced',
    fault: 'a controller is lost for good, an empty one starts at another address',
    forbidden: 'an acknowledged configuration lost, or a change left unanswered',
    forMs: 10_000,
    minServedShare: 0.98,
    play: controllerReplaced,
  },
  {
    name: 'settings-changed',
    fault: 'the settings files change, first without a signal, then with SIGHUP',
    forbidden: 'a truncated response',
    forMs: 6_000,
    minServedShare: 0.99,
    play: settingsChanged,
  },
  {
    name: 'controllers-killed',
    fault: 'all controllers are killed at once',
    forbidden: 'an acknowledged configuration lost',
    forMs: 9_000,
    minServedShare: 0.9,
    play: allControllersKilled,
  },
  {
    name: 'proxy-killed',
    fault: 'a proxy is killed and restarts',
    forbidden: 'a run-once request run twice',
    forMs: 8_000,
    minServedShare: 0.85,
    play: proxyKilled,
  },
  {
    name: 'proxy-stopped',
    fault: 'a proxy gets SIGTERM with streams in flight',
    forbidden: 'a truncated response',
    forMs: 8_000,
    minServedShare: 0.97,
    play: proxyStopped,
  },
  {
    name: 'proxies-rolled',
    fault: 'each proxy in turn gets SIGTERM and starts again',
    forbidden: 'a truncated response',
    forMs: 12_000,
    minServedShare: 0.97,
    play: rollingProxyRestart,
  },
  {
    name: 'proxy-frozen',
    fault: 'a proxy is paused while a zone is evacuated, and resumes',
    forbidden: 'an arrival in the evacuated zone once the proxy is in contact again',
    forMs: 12_000,
    minServedShare: 0.75,
    play: proxyFrozen,
  },
  {
    name: 'controller-frozen',
    fault: 'a controller is paused during a change, and resumes',
    forbidden: 'an older configuration in force',
    forMs: 10_000,
    minServedShare: 0.98,
    play: controllerFrozen,
  },
  {
    name: 'list-down',
    fault: 'the worker list is down for some seconds',
    forbidden: 'unserved requests',
    forMs: 7_000,
    minServedShare: 0.99,
    play: listDown,
  },
];

import type { PlacedWorker, Site, SiteNode } from './site.js';
import { documentToWire } from './document.js';
import { documentOf, SMALL } from './shape.js';
import type { ModelRoute } from './document.js';

export type Scenario = {
  readonly name: string;
  readonly fault: string;
  readonly never: string;
  readonly forMs: number;
  readonly haste?: number;
  readonly leastServed: number;
  readonly play: (site: Site) => Promise<void>;
};

const LLM = 'huvo11a';
const WEB = 'wuno96b';
const ZONE = 'timis-1';
const HOME_ZONE = 'szeged-a';

function busiest(site: Site, model: string, notIn = ''): PlacedWorker {
  return [...site.workers].filter(fits).sort(byRunning)[0] as PlacedWorker;
  function fits(placedWorker: PlacedWorker): boolean {
    return (
      placedWorker.model === model && placedWorker.zone !== notIn && placedWorker.worker.seen().phase === 'serving'
    );
  }
}
function byRunning(left: PlacedWorker, right: PlacedWorker): number {
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
function controller(site: Site): SiteNode {
  return site.nodes.find(fits) as SiteNode;
  function fits(siteNode: SiteNode): boolean {
    return siteNode.core && siteNode.zone === ZONE;
  }
}

async function quiet(): Promise<void> {}

async function workerCrash(site: Site): Promise<void> {
  await site.asked(80);
  const web = busiest(site, WEB);
  await site.crashWorker(busiest(site, LLM));
  await site.crashWorker(web);
  await site.asked(80);
  await site.restartWorker(web, 0);
}
async function darkWorker(site: Site): Promise<void> {
  await site.asked(80);
  const silent = [busiest(site, LLM), busiest(site, WEB)];
  for (const placedWorker of silent) placedWorker.worker.setUnresponsive(true);
  await site.asked(160);
  for (const placedWorker of silent) placedWorker.worker.setUnresponsive(false);
}
async function spoiledAnswers(site: Site): Promise<void> {
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
    for (const placedWorker of site.workers) placedWorker.worker.fault({ mode, share: 0.15 });
    await site.asked(60);
  }
  for (const placedWorker of site.workers) placedWorker.worker.resetIdleConnections();
  for (const placedWorker of site.workers) placedWorker.worker.fault(null);
}
async function drain(site: Site): Promise<void> {
  await site.asked(80);
  site.drainWorker(busiest(site, LLM), null);
  site.drainWorker(busiest(site, WEB), null);
}
async function shortNotice(site: Site): Promise<void> {
  await site.asked(80);
  site.drainWorker(busiest(site, LLM), 1_800);
  await site.asked(120);
  site.drainWorker(busiest(site, LLM, HOME_ZONE), 900);
}
async function coldReturn(site: Site): Promise<void> {
  await site.asked(60);
  const mine = site.workers.filter(ours);
  function ours(placedWorker: PlacedWorker): boolean {
    return placedWorker.zone === HOME_ZONE && placedWorker.model === LLM;
  }
  for (const placedWorker of mine) await site.crashWorker(placedWorker);
  await site.asked(120);
  for (const placedWorker of mine) await site.restartWorker(placedWorker, 3_000);
}
async function evacuation(site: Site): Promise<void> {
  await site.asked(30);
  await site.operator.evacuate(ZONE, true);
  await site.records.until(sixLater(site));
  await site.operator.evacuate(ZONE, false);
}
function sixLater(site: Site): (rec: { readonly at: number }) => boolean {
  const from = site.records.all().at(-1)?.at ?? 0;
  function later(rec: { readonly at: number }): boolean {
    return rec.at > from + 6_500;
  }
  return later;
}
async function race(site: Site): Promise<void> {
  await site.asked(30);
  const moved = { ...SMALL, mappings: SMALL.mappings.map(split) };
  const shorter = { ...SMALL, mappings: SMALL.mappings.map(hastier) };
  await Promise.all([site.operator.replace(documentOf(moved, 4), 1), site.operator.replace(documentOf(shorter, 6), 1)]);
}
function split(modelRoute: ModelRoute): ModelRoute {
  return modelRoute.name === 'r-explain' ? { ...modelRoute, shares: [{ model: WEB, share: 100 }] } : modelRoute;
}
function hastier(modelRoute: ModelRoute): ModelRoute {
  return { ...modelRoute, deadlineMs: modelRoute.deadlineMs - 500 };
}
async function invalid(site: Site): Promise<void> {
  await site.asked(20);
  const unknown = documentToWire({
    number: 5,
    mappings: [
      ...SMALL.mappings,
      { ...(SMALL.mappings[0] as ModelRoute), name: 'r-x', prefix: '/x/', shares: [{ model: 'nowhere', share: 1 }] },
    ],
    models: SMALL.models,
  });
  await site.operator.replace(unknown, 1, false);
  const same = documentToWire({
    number: 5,
    mappings: [...SMALL.mappings, { ...(SMALL.mappings[0] as ModelRoute), name: 'r-x' }],
    models: SMALL.models,
  });
  await site.operator.replace(same, 1, false);
  await site.operator.replace(documentOf(SMALL, 1), 1, false);
  await site.operator.replaceRaw(JSON.stringify(documentOf(SMALL, 9)).slice(0, -20), 1);
}
async function controllerKilled(site: Site): Promise<void> {
  const head = controller(site);
  await site.asked(30);
  head.process.signal('SIGKILL');
  await site.asked(30);
  await site.operator.replace(documentOf(SMALL, 4), 1);
  await head.restart();
}
async function controllerWiped(site: Site): Promise<void> {
  const head = controller(site);
  await site.asked(20);
  await site.operator.replace(documentOf(SMALL, 4), 1);
  head.process.signal('SIGKILL');
  await head.restart(true);
}
async function allKilled(site: Site): Promise<void> {
  await site.asked(30);
  await site.operator.replace(documentOf(SMALL, 4), 1);
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
  await site.operator.replace(documentOf(SMALL, 4), 1);
  await site.replaceCore(controller(site));
  await site.asked(200);
  await site.operator.replace(documentOf(SMALL, 9), 4);
}
async function settingsChanged(site: Site): Promise<void> {
  await site.asked(60);
  for (const siteNode of site.nodes) siteNode.rewrite();
  await site.asked(60);
  for (const siteNode of site.nodes) siteNode.process.signal('SIGHUP');
  await site.operator.replace(documentOf(SMALL, 4), 1);
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
  const head = controller(site);
  await site.asked(60);
  head.process.signal('SIGSTOP');
  await site.operator.replace(documentOf(SMALL, 4), 1);
  await site.asked(200);
  head.process.signal('SIGCONT');
  await site.operator.replace(documentOf(SMALL, 9), 4);
}
async function proxiesRolled(site: Site): Promise<void> {
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

export const SCENARIOS: readonly Scenario[] = [
  { name: 'quiet', fault: 'no fault', never: 'a request unserved', forMs: 4_000, leastServed: 1, play: quiet },
  {
    name: 'worker-crash',
    fault: 'two workers crash, one comes back',
    never: 'a run-once request run twice, or a cut answer told as whole',
    forMs: 6_000,
    leastServed: 0.9,
    play: workerCrash,
  },
  {
    name: 'dark-worker',
    fault: 'two workers fall silent for some seconds',
    never: 'a run-once request run twice',
    forMs: 8_000,
    leastServed: 0.8,
    play: darkWorker,
  },
  {
    name: 'spoiled-answers',
    fault: 'workers break off, spoil, repeat, lose and refuse answers',
    never: "another's answer, or a broken one told as whole",
    forMs: 11_000,
    leastServed: 0.8,
    play: spoiledAnswers,
  },
  {
    name: 'drain',
    fault: 'two workers drain',
    never: 'an arrival past the cutoff',
    forMs: 8_000,
    leastServed: 0.99,
    play: drain,
  },
  {
    name: 'short-notice',
    fault: 'a worker drains with 1.8 s left',
    never: 'an arrival past the cutoff, pieces of two runs joined wrongly',
    forMs: 6_000,
    leastServed: 0.9,
    play: shortNotice,
  },
  {
    name: 'cold-return',
    fault: 'the workers of a zone come back cold',
    never: 'a cold worker pressed',
    forMs: 8_000,
    haste: 3,
    leastServed: 0.75,
    play: coldReturn,
  },
  {
    name: 'evacuation',
    fault: 'a zone is evacuated and taken back',
    never: 'an arrival in the evacuated zone',
    forMs: 11_000,
    leastServed: 0.99,
    play: evacuation,
  },
  {
    name: 'race',
    fault: 'two operators change the same version',
    never: 'two winners, or the loser in force',
    forMs: 6_000,
    leastServed: 0.99,
    play: race,
  },
  {
    name: 'invalid',
    fault: 'invalid configurations are sent',
    never: 'one of them acknowledged or in force',
    forMs: 5_000,
    leastServed: 0.99,
    play: invalid,
  },
  {
    name: 'controller-killed',
    fault: 'a controller is killed and comes back',
    never: 'an older configuration read back',
    forMs: 8_000,
    leastServed: 0.99,
    play: controllerKilled,
  },
  {
    name: 'controller-wiped',
    fault: 'a controller loses its disk right after an acknowledgement',
    never: 'an acknowledged configuration lost',
    forMs: 8_000,
    leastServed: 0.99,
    play: controllerWiped,
  },
  {
    name: 'controller-replaced',
    fault: 'a controller is gone for good, an empty one comes at another address',
    never: 'an acknowledged configuration lost, or an order left without an answer',
    forMs: 10_000,
    leastServed: 0.98,
    play: controllerReplaced,
  },
  {
    name: 'settings-changed',
    fault: 'the settings files change, first silently, then with SIGHUP',
    never: 'an answer cut',
    forMs: 6_000,
    leastServed: 0.99,
    play: settingsChanged,
  },
  {
    name: 'controllers-killed',
    fault: 'all controllers are killed at once',
    never: 'an acknowledged configuration lost',
    forMs: 9_000,
    leastServed: 0.9,
    play: allKilled,
  },
  {
    name: 'proxy-killed',
    fault: 'a proxy is killed and comes back',
    never: 'a run-once request run twice',
    forMs: 8_000,
    leastServed: 0.85,
    play: proxyKilled,
  },
  {
    name: 'proxy-stopped',
    fault: 'a proxy gets SIGTERM with streams in flight',
    never: 'an answer cut',
    forMs: 8_000,
    leastServed: 0.97,
    play: proxyStopped,
  },
  {
    name: 'proxies-rolled',
    fault: 'each proxy in turn gets SIGTERM and starts again',
    never: 'an answer cut',
    forMs: 12_000,
    leastServed: 0.97,
    play: proxiesRolled,
  },
  {
    name: 'proxy-frozen',
    fault: 'a proxy stands still while a zone is evacuated, and wakes',
    never: 'an arrival in the evacuated zone once it is in touch again',
    forMs: 12_000,
    leastServed: 0.75,
    play: proxyFrozen,
  },
  {
    name: 'controller-frozen',
    fault: 'a controller stands still over a change, and wakes',
    never: 'an older configuration in force',
    forMs: 10_000,
    leastServed: 0.98,
    play: controllerFrozen,
  },
  {
    name: 'list-down',
    fault: 'the list of workers is down for some seconds',
    never: 'requests unserved',
    forMs: 7_000,
    leastServed: 0.99,
    play: listDown,
  },
];

/** Restarts nodes while something that a start needs is not available yet, or never is. */
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { delay } from '../../src/transport/clock.js';
import type { Clock } from '../../src/transport/clock.js';
import { splitAddress } from '../../src/transport/wire.js';
import type { Site, SiteNode } from '../site.js';

/** What is wrong at a start: a port is taken, the settings file is incomplete, or nobody reads the log. */
export const START_HAZARDS = ['portTaken', 'partialSettings', 'logReaderGone'] as const;
/** One of the hazards. */
export type StartHazard = (typeof START_HAZARDS)[number];

/** Restarts a node once its process has ended. A port is taken, or the settings stay incomplete, for `forMs`. */
export async function restartWithHazard(
  site: Site,
  node: SiteNode,
  clock: Clock,
  hazard: StartHazard,
  forMs: number,
): Promise<void> {
  await node.process.ended();
  switch (hazard) {
    case 'portTaken': {
      const servers = await takePorts(site.listenersOf(node));
      await node.restart();
      await delay(clock, forMs);
      for (const server of servers) server.close();
      break;
    }
    case 'partialSettings':
      node.rewriteSettings('partial');
      node.process.start();
      await delay(clock, forMs);
      node.rewriteSettings();
      break;
    case 'logReaderGone':
      node.rewriteSettings();
      node.process.start('gone');
      return;
  }
  site.records.add({ what: 'planned', edge: node.edge, core: node.core, fault: 'start' });
}

/** Resolves to servers on those addresses that are free. */
async function takePorts(addresses: readonly string[]): Promise<readonly Server[]> {
  const servers = await Promise.all(addresses.map(takePort));
  return servers.filter((server) => server !== null);
}

function takePort(address: string): Promise<Server | null> {
  const target = splitAddress(address);
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', () => resolve(null));
    server.listen(target?.port, target?.host, () => resolve(server));
  });
}

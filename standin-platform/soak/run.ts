/** Plays a soak plan on a site of real processes. */
import { delay } from '../../src/transport/clock.js';
import type { Clock } from '../../src/transport/clock.js';
import { versionNumber } from '../document.js';
import { BOUNDS } from '../facts.js';
import { documentOf, SMALL } from '../shape.js';
import type { PlacedWorker, Site, SiteNode } from '../site.js';
import { holdConnections } from './held-connections.js';
import type { NodeTrouble, Plan, Step, WorkerTrouble } from './plan.js';

/** After its return a machine counts as lost for this long; nothing else may be lost around a replacement. */
const SYNC_MS = 4_000;
/** A successor runs for so long before the machine that it replaces is told to stop. */
const SETTLED_MS = SYNC_MS + 2_000;
const LOOK_MS = 50;
/** Share of the answers of a worker in trouble that are spoiled. */
const SPOILED_SHARE = 0.3;
/** The first configuration of a site. */
const FIRST_NUMBER = 1;
const READ_MS = 2 * BOUNDS.contactMs;
const AFTER_RETURN_MS = 3_000;

/** One run: the site, its plan, and what it has come to. */
export class SoakRun {
  private base: number | null = FIRST_NUMBER;
  private number = FIRST_NUMBER;
  private readonly busy = new Set<unknown>();
  private readonly frozen = new Set<SiteNode>();
  private isReplacing = false;
  private readonly endsAt: number;

  constructor(
    private readonly site: Site,
    private readonly clock: Clock,
    private readonly plan: Plan,
  ) {
    this.endsAt = clock.mono() + plan.forMs;
  }

  /** Plays all series at once, then takes power from a part of the controllers and reads the configuration back. */
  async play(): Promise<void> {
    await Promise.all(this.plan.series.map((steps) => this.playSeries(steps)));
    await this.closingFault();
    await this.site.operator.read(READ_MS);
  }

  private async playSeries(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      await delay(this.clock, step.afterMs);
      if (this.clock.mono() >= this.endsAt) return;
      await this.perform(step);
    }
  }

  private async perform(step: Step): Promise<void> {
    switch (step.tag) {
      case 'core':
      case 'edge': {
        if (step.tag === 'core' && this.isReplacing) return;
        const nodes = this.site.nodes.filter((node) => node.core === (step.tag === 'core'));
        return this.whileFree(nodes[step.at % nodes.length], (node) => this.troubleNode(node, step.trouble));
      }
      case 'worker': {
        const { workers } = this.site;
        return this.whileFree(workers[step.at % workers.length], (worker) => this.troubleWorker(worker, step.trouble));
      }
      case 'list':
        return this.troubleList(step.mode, step.forMs);
      case 'zone': {
        const zones = Object.keys(SMALL.zones);
        const zone = zones[this.plan.seed % zones.length] as string;
        const first = step.toFrozen ? this.frozenController() : undefined;
        await this.site.operator.evacuate(zone, step.begin, { first, withinMs: step.patienceMs });
        return;
      }
      case 'configure':
        await this.configure();
        return;
      case 'held': {
        if (step.core && this.isReplacing) return;
        const nodes = this.site.nodes.filter((node) => node.core === step.core);
        return this.whileFree(nodes[step.at % nodes.length], (node) => this.stopWhileHeld(node, step));
      }
      case 'replace':
        return this.replaceController(step);
    }
  }

  /** All signals but the first come while the process stops; those of the next start come while it starts. */
  private async stopWhileHeld(node: SiteNode, step: Extract<Step, { tag: 'held' }>): Promise<void> {
    const release = await holdConnections(this.site.listenersOf(node));
    for (let count = 0; count < step.signals; count += 1) {
      node.process.signal('SIGHUP');
      node.process.signal('SIGTERM');
    }
    await node.restart();
    release();
    if (step.againAfterMs === null) return;
    await delay(this.clock, step.againAfterMs);
    node.process.signal('SIGHUP');
    node.process.signal('SIGTERM');
    return node.restart();
  }

  /** The successor first, then the stop; the disk of a third one goes once a configuration was acknowledged. */
  private async replaceController(step: Extract<Step, { tag: 'replace' }>): Promise<void> {
    this.isReplacing = true;
    await this.untilCalm();
    const cores = this.site.nodes.filter((node) => node.core);
    const leaving = cores[step.at % cores.length] as SiteNode;
    const other = cores[(step.at + 1) % cores.length] as SiteNode;
    await this.site.addController(leaving.zone)?.restart();
    await delay(this.clock, SETTLED_MS);
    const release = await holdConnections(this.site.listenersOf(leaving));
    leaving.process.signal('SIGTERM');
    await leaving.process.ended();
    release();
    this.site.removeNode(leaving);
    if (await this.configure()) await this.loseDisk(other, step.wipe);
    this.isReplacing = false;
  }

  private async loseDisk(node: SiteNode, wipe: boolean): Promise<void> {
    if (!wipe) return;
    node.process.signal('SIGKILL');
    await node.restart(true);
    await delay(this.clock, SYNC_MS);
  }

  /** Until no controller is in anybody's hands, and has not been for as long as a machine counts as lost. */
  private async untilCalm(): Promise<void> {
    const isBusy = (): boolean => this.site.nodes.some((node) => node.core && this.busy.has(node));
    while (isBusy()) await delay(this.clock, LOOK_MS);
    await delay(this.clock, SYNC_MS);
  }

  /** Where operators' calls go that lie unread; undefined while every controller runs. */
  private frozenController(): string | undefined {
    for (const node of this.frozen) if (node.core) return node.control;
    return undefined;
  }

  /** Two series never have the same machine or worker in hand at once. */
  private async whileFree<T>(item: T | undefined, act: (item: T) => Promise<void>): Promise<void> {
    if (item === undefined || this.busy.has(item)) return;
    this.busy.add(item);
    await act(item);
    this.busy.delete(item);
  }

  private async troubleNode(node: SiteNode, trouble: NodeTrouble): Promise<void> {
    switch (trouble.tag) {
      case 'freeze':
        this.frozen.add(node);
        node.process.signal('SIGSTOP');
        await delay(this.clock, trouble.forMs);
        node.process.signal('SIGCONT');
        this.frozen.delete(node);
        return;
      case 'kill':
        node.process.signal('SIGKILL');
        await delay(this.clock, trouble.forMs);
        return node.restart(trouble.wipe);
      case 'stop':
        node.process.signal('SIGTERM');
        return node.restart();
      case 'reread':
        node.rewrite();
        node.process.signal('SIGHUP');
    }
  }

  private async troubleWorker(placed: PlacedWorker, trouble: WorkerTrouble): Promise<void> {
    switch (trouble.tag) {
      case 'crash':
        await this.site.crashWorker(placed);
        await delay(this.clock, trouble.forMs);
        return this.site.restartWorker(placed, trouble.coldMs);
      case 'dark':
        placed.worker.setUnresponsive(true);
        await delay(this.clock, trouble.forMs);
        placed.worker.setUnresponsive(false);
        return;
      case 'spoil':
        placed.worker.fault({ mode: trouble.mode, share: SPOILED_SHARE });
        await delay(this.clock, trouble.forMs);
        placed.worker.fault(null);
    }
  }

  private async troubleList(mode: 'down' | 'error' | 'slow', forMs: number): Promise<void> {
    this.site.list.setFault(mode === 'slow' ? { mode, ms: forMs } : { mode });
    await delay(this.clock, forMs);
    this.site.list.setFault({ mode: 'none' });
  }

  /** A configuration on the newest one, true once acknowledged; after an unclear answer the newest one is read first. */
  private async configure(): Promise<boolean> {
    this.base ??= await this.readNumber();
    if (this.base === null) return false;
    this.number = Math.max(this.number, this.base) + 1 + (this.number % 3);
    const { outcome } = await this.site.operator.replace(documentOf(SMALL, this.number), this.base);
    this.base = outcome === 'acknowledged' ? this.number : null;
    return outcome === 'acknowledged';
  }

  private async readNumber(): Promise<number | null> {
    const document = await this.site.operator.read(BOUNDS.contactMs);
    return document === null ? null : versionNumber(document);
  }

  private async closingFault(): Promise<void> {
    const cores = this.site.nodes.filter((node) => node.core);
    const lost = cores.slice(0, Math.ceil(this.plan.lostAtEnd * cores.length));
    const { records } = this.site;
    records.add({ what: 'planned', edge: '', core: true, fault: 'closing' });
    for (const node of lost) node.process.signal('SIGKILL');
    for (const node of lost) await node.restart();
    records.add({ what: 'planned', edge: '', core: true, fault: 'back' });
    await delay(this.clock, AFTER_RETURN_MS);
  }
}

/** Plays a soak plan on a site of real processes. */
import { delay } from '../../src/transport/clock.js';
import type { Clock } from '../../src/transport/clock.js';
import { numberOf } from '../document.js';
import { BOUNDS } from '../facts.js';
import { documentOf, SMALL } from '../shape.js';
import type { PlacedWorker, Site, SiteNode } from '../site.js';
import type { NodeTrouble, Plan, Step, WorkerTrouble } from './plan.js';

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
        return this.configure();
    }
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
        placed.worker.dark(true);
        await delay(this.clock, trouble.forMs);
        placed.worker.dark(false);
        return;
      case 'spoil':
        placed.worker.fault({ mode: trouble.mode, share: SPOILED_SHARE });
        await delay(this.clock, trouble.forMs);
        placed.worker.fault(null);
    }
  }

  private async troubleList(mode: 'down' | 'error' | 'slow', forMs: number): Promise<void> {
    this.site.list.trouble(mode === 'slow' ? { mode, ms: forMs } : { mode });
    await delay(this.clock, forMs);
    this.site.list.trouble({ mode: 'none' });
  }

  /** A configuration on the newest one; after an unclear answer the newest one is read first. */
  private async configure(): Promise<void> {
    this.base ??= await this.readNumber();
    if (this.base === null) return;
    this.number = Math.max(this.number, this.base) + 1 + (this.number % 3);
    const { outcome } = await this.site.operator.replace(documentOf(SMALL, this.number), this.base);
    this.base = outcome === 'acknowledged' ? this.number : null;
  }

  private async readNumber(): Promise<number | null> {
    const document = await this.site.operator.read(BOUNDS.contactMs);
    return document === null ? null : numberOf(document);
  }

  private async closingFault(): Promise<void> {
    const cores = this.site.nodes.filter((node) => node.core);
    const lost = cores.slice(0, Math.ceil(this.plan.lostAtEnd * cores.length));
    const { records } = this.site;
    records.note({ what: 'planned', edge: '', core: true, fault: 'closing' });
    for (const node of lost) node.process.signal('SIGKILL');
    for (const node of lost) await node.restart();
    records.note({ what: 'planned', edge: '', core: true, fault: 'back' });
    await delay(this.clock, AFTER_RETURN_MS);
  }
}

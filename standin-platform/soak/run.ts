/** Plays a soak plan on a site of real processes. */
import { delay } from '../../src/transport/clock.js';
import type { Clock } from '../../src/transport/clock.js';
import { versionNumber } from '../document.js';
import { BOUNDS } from '../facts.js';
import { configurationOf, SMALL_SITE } from '../shape.js';
import type { SiteWorker, Site, SiteNode } from '../site.js';
import { holdConnections } from './held-connections.js';
import { openStalledBodies } from './stalled-crowd.js';
import { restartWithHazard } from './start-hazards.js';
import type { NodeFault, Plan, Step, WorkerFault } from './plan.js';

/** A machine counts as lost for this long after its restart; no other may be lost around a replacement. */
const SYNC_MS = 4_000;
/** A new controller runs for this long before the one that it replaces is stopped. */
const SUCCESSOR_SETTLE_MS = SYNC_MS + 2_000;
const CHECK_INTERVAL_MS = 50;
/** Share of the responses of a faulty worker that are corrupted. */
const CORRUPTED_SHARE = 0.3;
/** The version of the configuration that a site starts with. */
const FIRST_NUMBER = 1;
const READ_TIMEOUT_MS = 2 * BOUNDS.contactMs;
const DELAY_AFTER_RETURN_MS = 3_000;

/** Plays the series of a plan and tracks the configuration version and the nodes and workers in use. */
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

  /** Plays all series at once, then kills a part of the controllers and reads the configuration back. */
  async play(): Promise<void> {
    await Promise.all(this.plan.series.map((steps) => this.playSeries(steps)));
    await this.playFinalFault();
    await this.site.operator.read(READ_TIMEOUT_MS);
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
        return this.runExclusively(nodes[step.at % nodes.length], (node) => this.injectNodeFault(node, step.fault));
      }
      case 'worker': {
        const { workers } = this.site;
        return this.runExclusively(workers[step.at % workers.length], (worker) =>
          this.injectWorkerFault(worker, step.fault),
        );
      }
      case 'list':
        return this.injectListFault(step.mode, step.forMs);
      case 'zone': {
        const zones = Object.keys(SMALL_SITE.zones);
        const zone = zones[this.plan.seed % zones.length] as string;
        const first = step.toFrozenController ? this.frozenController() : undefined;
        await this.site.operator.evacuate(zone, step.begin, { first, withinMs: step.retryForMs });
        return;
      }
      case 'configure':
        await this.configure();
        return;
      case 'held': {
        if (step.core && this.isReplacing) return;
        const nodes = this.site.nodes.filter((node) => node.core === step.core);
        return this.runExclusively(nodes[step.at % nodes.length], (node) => this.stopWithOpenConnections(node, step));
      }
      case 'endless':
        return this.playEndless(step);
      case 'replace':
        return this.replaceController(step);
      case 'succession':
        return this.replaceBesideSilence(step);
      case 'restart': {
        if (step.core && this.isReplacing) return;
        const nodes = this.site.nodes.filter((node) => node.core === step.core);
        return this.runExclusively(nodes[step.at % nodes.length], (node) => this.restartWithHazard(node, step));
      }
    }
  }

  /** All signals but the first arrive while the process stops; those after the restart arrive while it starts. */
  private async stopWithOpenConnections(node: SiteNode, step: Extract<Step, { tag: 'held' }>): Promise<void> {
    const release = await holdConnections(this.site.listenersOf(node));
    for (let count = 0; count < step.signals; count += 1) {
      node.process.signal('SIGHUP');
      node.process.signal('SIGTERM');
    }
    await node.restart();
    release();
    if (step.stopAgainAfterMs === null) return;
    await delay(this.clock, step.stopAgainAfterMs);
    node.process.signal('SIGHUP');
    node.process.signal('SIGTERM');
    return node.restart();
  }

  /** Other series may stop or kill the node meanwhile. */
  private async playEndless(step: Extract<Step, { tag: 'endless' }>): Promise<void> {
    const { workers } = this.site;
    if (step.from === 'worker')
      return this.runExclusively(workers[step.at % workers.length], (worker) =>
        this.injectWorkerFault(worker, { tag: 'spoil', mode: step.mode, forMs: step.forMs }),
      );
    const nodes = this.site.nodes.filter((node) => node.core === (step.from === 'controllerCrowd'));
    const release = openStalledBodies(nodes[step.at % nodes.length] as SiteNode);
    await delay(this.clock, step.forMs);
    release();
  }

  private async restartWithHazard(node: SiteNode, step: Extract<Step, { tag: 'restart' }>): Promise<void> {
    node.process.signal(step.isKilled ? 'SIGKILL' : 'SIGTERM');
    await restartWithHazard(this.site, node, this.clock, step.hazard, step.forMs);
  }

  /**
   * Replaces a controller while a member is silent, and deletes the disk of the one that has acknowledged a configuration
   * last. One disk is lost, and the machine that is gone has a successor.
   */
  private async replaceBesideSilence(step: Extract<Step, { tag: 'succession' }>): Promise<void> {
    if (this.isReplacing) return;
    this.isReplacing = true;
    await this.waitForStableControllers();
    const cores = this.site.nodes.filter((node) => node.core);
    const leaving = cores[step.at % cores.length] as SiteNode;
    const other = cores[(step.at + 1) % cores.length] as SiteNode;
    const silent = step.silence === 'replacedOff' ? leaving : (cores[(step.at + 2) % cores.length] as SiteNode);
    if (silent !== leaving) silent.process.signal(step.silence === 'otherDark' ? 'SIGKILL' : 'SIGSTOP');
    await this.site.addController(leaving.zone)?.restart();
    await delay(this.clock, SUCCESSOR_SETTLE_MS);
    leaving.process.signal(silent === leaving ? 'SIGKILL' : 'SIGTERM');
    await leaving.process.ended();
    this.site.removeNode(leaving);
    const isAcknowledged = await this.configure();
    if (isAcknowledged) other.process.signal('SIGKILL');
    if (step.silence === 'otherDark') await silent.restart();
    if (step.silence === 'otherFrozen') silent.process.signal('SIGCONT');
    if (isAcknowledged) await other.restart(true);
    await delay(this.clock, SYNC_MS);
    this.isReplacing = false;
  }

  /** Starts the new controller, stops the old one, and wipes a third one after an acknowledged configuration. */
  private async replaceController(step: Extract<Step, { tag: 'replace' }>): Promise<void> {
    if (this.isReplacing) return;
    this.isReplacing = true;
    await this.waitForStableControllers();
    const cores = this.site.nodes.filter((node) => node.core);
    const leaving = cores[step.at % cores.length] as SiteNode;
    const other = cores[(step.at + 1) % cores.length] as SiteNode;
    await this.site.addController(leaving.zone)?.restart();
    await delay(this.clock, SUCCESSOR_SETTLE_MS);
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

  /** Waits until no series works on a controller, and then for as long as a machine counts as lost. */
  private async waitForStableControllers(): Promise<void> {
    const isBusy = (): boolean => this.site.nodes.some((node) => node.core && this.busy.has(node));
    while (isBusy()) await delay(this.clock, CHECK_INTERVAL_MS);
    await delay(this.clock, SYNC_MS);
  }

  /** The address of a paused controller, which leaves requests unread; undefined if none is paused. */
  private frozenController(): string | undefined {
    for (const node of this.frozen) if (node.core) return node.control;
    return undefined;
  }

  /** Skips the step if another series works on the same node or worker. */
  private async runExclusively<T>(item: T | undefined, act: (item: T) => Promise<void>): Promise<void> {
    if (item === undefined || this.busy.has(item)) return;
    this.busy.add(item);
    await act(item);
    this.busy.delete(item);
  }

  private async injectNodeFault(node: SiteNode, fault: NodeFault): Promise<void> {
    switch (fault.tag) {
      case 'freeze':
        this.frozen.add(node);
        node.process.signal('SIGSTOP');
        await delay(this.clock, fault.forMs);
        node.process.signal('SIGCONT');
        this.frozen.delete(node);
        return;
      case 'kill':
        node.process.signal('SIGKILL');
        await delay(this.clock, fault.forMs);
        return node.restart(fault.wipe);
      case 'stop':
        node.process.signal('SIGTERM');
        return node.restart();
      case 'reread':
        node.rewriteSettings();
        node.process.signal('SIGHUP');
    }
  }

  private async injectWorkerFault(siteWorker: SiteWorker, fault: WorkerFault): Promise<void> {
    switch (fault.tag) {
      case 'crash':
        await this.site.crashWorker(siteWorker);
        await delay(this.clock, fault.forMs);
        return this.site.restartWorker(siteWorker, fault.coldMs);
      case 'dark':
        siteWorker.worker.setUnresponsive(true);
        await delay(this.clock, fault.forMs);
        siteWorker.worker.setUnresponsive(false);
        return;
      case 'spoil':
        siteWorker.worker.fault({ mode: fault.mode, share: CORRUPTED_SHARE });
        await delay(this.clock, fault.forMs);
        siteWorker.worker.fault(null);
    }
  }

  private async injectListFault(mode: 'down' | 'error' | 'slow', forMs: number): Promise<void> {
    this.site.list.setFault(mode === 'slow' ? { mode, ms: forMs } : { mode });
    await delay(this.clock, forMs);
    this.site.list.setFault({ mode: 'none' });
  }

  /** Submits a change of the newest version; true if acknowledged. After an unclear outcome, reads it first. */
  private async configure(): Promise<boolean> {
    this.base ??= await this.readNumber();
    if (this.base === null) return false;
    this.number = Math.max(this.number, this.base) + 1 + (this.number % 3);
    const { outcome } = await this.site.operator.replace(configurationOf(SMALL_SITE, this.number), this.base);
    this.base = outcome === 'acknowledged' ? this.number : null;
    return outcome === 'acknowledged';
  }

  private async readNumber(): Promise<number | null> {
    const document = await this.site.operator.read(BOUNDS.contactMs);
    return document === null ? null : versionNumber(document);
  }

  private async playFinalFault(): Promise<void> {
    const cores = this.site.nodes.filter((node) => node.core);
    const killed = cores.slice(0, Math.ceil(this.plan.killedShareAtEnd * cores.length));
    const { records } = this.site;
    records.add({ what: 'planned', edge: '', core: true, fault: 'closing' });
    for (const node of killed) node.process.signal('SIGKILL');
    for (const node of killed) await node.restart();
    records.add({ what: 'planned', edge: '', core: true, fault: 'back' });
    await delay(this.clock, DELAY_AFTER_RETURN_MS);
  }
}

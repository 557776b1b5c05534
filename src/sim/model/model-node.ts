/** A machine of a model group: its host and disk, which outlive processes, and its running controller, if any. */
import type { Controller } from '../../coordination/controller.js';
import type { ConfigurationService } from '../../coordination/configuration/configuration-service.js';
import type { Platter } from '../sim-disk.js';
import type { Host } from '../world.js';

/**
 * A machine of a model group. `controller` and `operator` are null while its controller is stopped or still starting.
 */
export type ModelNode = {
  readonly name: string;
  readonly host: Host;
  readonly address: string;
  readonly platter: Platter;
  /** Whether it may bootstrap the ledger: only a seed that has not run before. */
  bootstrap: boolean;
  /** Permanently gone: never started again. */
  retired: boolean;
  /** Asked to stop for good; the stop may still be in progress. */
  stopping: boolean;
  /** Remaining disk operations until power is lost, or null if no loss of power is scheduled. */
  operationsUntilPowerLoss: number | null;
  controller: Controller | null;
  operator: ConfigurationService | null;
};

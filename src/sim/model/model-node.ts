/** One machine of a model group: its host and disk, which last, and the controller that runs on it, if one does. */
import type { Controller } from '../../coordination/controller.js';
import type { ConfigurationService } from '../../coordination/configuration/configuration-service.js';
import type { Platter } from '../sim-disk.js';
import type { Host } from '../world.js';

export type ModelNode = {
  readonly name: string;
  readonly host: Host;
  readonly address: string;
  readonly platter: Platter;
  /** Whether its very first start is still to come, so that it may found. */
  bootstrap: boolean;
  /** Gone for good: never started again. */
  retired: boolean;
  /** Told to end, and on its way. */
  ending: boolean;
  /** Writes until power is lost, or null. */
  strikeIn: number | null;
  controller: Controller | null;
  operator: ConfigurationService | null;
};

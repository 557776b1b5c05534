/** HTTP clients of the cloud that machines are ordered from, and of the platform that lists workers. */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import {
  MACHINES_PATH,
  PRICES_PATH,
  readMachine,
  readMachines,
  readNoCapacity,
  readPrices,
} from '../../protocol/cloud-wire.js';
import type { CloudOrder, Machine } from '../../protocol/cloud-wire.js';
import { readWorkerList, WORKERS_PATH } from '../../protocol/platform-wire.js';
import type { ListedWorker } from '../../state/discovery/listed.js';
import type { Price } from '../../state/scaling/scaler-observation.js';
import type { HttpClient } from '../../transport/http.js';
import type { Address } from '../../transport/wire.js';
import { setOwnValue } from '../../base/own-value.js';

/** Why a call failed. After `cloudSilent` the outcome is unknown: the machine may have been ordered. */
export type CloudError =
  | { readonly tag: 'noCapacity' }
  | { readonly tag: 'cloudSilent' }
  | { readonly tag: 'cloudNonsense'; readonly detail: string };

/** Orders, lists and releases machines. The key makes an order safe to retry. */
export interface CloudClient {
  orderMachine(order: CloudOrder): Promise<Result<Machine, CloudError>>;
  machines(owner: string): Promise<Result<Machine[], CloudError>>;
  release(machine: string): Promise<Result<null, CloudError>>;
  prices(): Promise<Result<Record<string, Price>, CloudError>>;
}

/** Reads the platform's list of workers. */
export interface PlatformClient {
  workers(): Promise<Result<ListedWorker[], CloudError>>;
}

const CALL_TIMEOUT_MS = 2_000;

class HttpCloudClient implements CloudClient {
  constructor(
    private readonly httpClient: HttpClient,
    private readonly address: Address,
  ) {}

  async orderMachine(order: CloudOrder): Promise<Result<Machine, CloudError>> {
    const response = await this.httpClient.call({
      method: 'POST',
      address: this.address,
      path: MACHINES_PATH,
      body: order,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!response.ok) return err({ tag: 'cloudSilent' });
    if (readNoCapacity(response.value.body).ok) return err({ tag: 'noCapacity' });
    const read = readMachine(response.value.body);
    if (!read.ok) return err({ tag: 'cloudNonsense', detail: read.error.detail });
    if (read.value.machine.key !== order.key)
      return err({ tag: 'cloudNonsense', detail: 'the key of the machine differs from the key of the order' });
    return ok(read.value.machine);
  }

  async machines(owner: string): Promise<Result<Machine[], CloudError>> {
    const response = await this.httpClient.call({
      method: 'GET',
      address: this.address,
      path: `${MACHINES_PATH}?owner=${encodeURIComponent(owner)}`,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!response.ok) return err({ tag: 'cloudSilent' });
    const read = readMachines(response.value.body);
    return read.ok ? ok(read.value.machines) : err({ tag: 'cloudNonsense', detail: read.error.detail });
  }

  async release(machine: string): Promise<Result<null, CloudError>> {
    const response = await this.httpClient.call({
      method: 'DELETE',
      address: this.address,
      path: `${MACHINES_PATH}/${encodeURIComponent(machine)}`,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!response.ok) return err({ tag: 'cloudSilent' });
    return response.value.status === 200 || response.value.status === 404
      ? ok(null)
      : err({ tag: 'cloudNonsense', detail: `status ${response.value.status}` });
  }

  async prices(): Promise<Result<Record<string, Price>, CloudError>> {
    const response = await this.httpClient.call({
      method: 'GET',
      address: this.address,
      path: PRICES_PATH,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!response.ok) return err({ tag: 'cloudSilent' });
    const read = readPrices(response.value.body);
    if (!read.ok) return err({ tag: 'cloudNonsense', detail: read.error.detail });
    const out: Record<string, Price> = {};
    for (const price of read.value.prices) setOwnValue(out, price.zone, { spot: price.spot, onDemand: price.onDemand });
    return ok(out);
  }
}

/** Creates a client of the cloud at `address`. */
export function createCloudClient(httpClient: HttpClient, address: Address): CloudClient {
  return new HttpCloudClient(httpClient, address);
}

class HttpPlatformClient implements PlatformClient {
  constructor(
    private readonly httpClient: HttpClient,
    private readonly address: Address,
  ) {}

  async workers(): Promise<Result<ListedWorker[], CloudError>> {
    const response = await this.httpClient.call({
      method: 'GET',
      address: this.address,
      path: WORKERS_PATH,
      timeoutMs: 900,
    });
    if (!response.ok) return err({ tag: 'cloudSilent' });
    const read = readWorkerList(response.value.body);
    return read.ok ? ok(read.value.workers) : err({ tag: 'cloudNonsense', detail: read.error.detail });
  }
}

/** Creates a client of the platform at `address`. */
export function createPlatformClient(httpClient: HttpClient, address: Address): PlatformClient {
  return new HttpPlatformClient(httpClient, address);
}

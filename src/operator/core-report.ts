/**
 * The health of the core according to a majority of controllers: how many further losses it tolerates, and which
 * members cannot be lost without stopping it.
 *
 * The status of every reachable controller is requested. The number of tolerated losses is reported only if a majority
 * of the members state one for the same set of members; where they differ, the smallest is used. With fewer statements
 * the number is unknown, whatever a single controller states.
 */
import { isJsonObject } from '../base/is-json-object.js';
import type { CoreHealth, CoreWarning, MemberHealth } from '../state/membership/core-health.js';
import type { Address } from '../transport/wire.js';
import { statusRequest } from './requests.js';
import type { CoreClient } from './core.js';

/** Which membership is reported: the members as acceptors of the replicated log, or as holders of run-once claims. */
export type CoreGroup = 'ledger' | 'claims';

/** The status of one controller; `ledger` is null if it did not respond or the response could not be parsed. */
export type ControllerStatus = {
  readonly address: Address;
  readonly member: string | null;
  readonly name: string | null;
  readonly slot: number;
  readonly ledger: CoreHealth | null;
  readonly claims: CoreHealth | null;
};

/** The health of one membership according to a majority of its members. */
export type GroupReport = {
  readonly members: number;
  readonly quorumSize: number;
  /** Number of members whose status counts: they state a number of losses, for the same set of members. */
  readonly agreeing: number;
  /** Null if fewer than a majority of the members agree. */
  readonly spareLosses: number | null;
  readonly warning: CoreWarning | null;
  /** Ids of the members whose loss alone would stop the core, according to any status that counts. */
  readonly essential: readonly string[];
  /** Each member as seen by the controller with the newest state. */
  readonly details: readonly MemberHealth[];
};

/** The status of each controller (`words`), and the report on each membership that is derived from them. */
export type CoreReport = {
  readonly words: readonly ControllerStatus[];
  readonly ledger: GroupReport;
  readonly claims: GroupReport | null;
};

type StatusResponse = { readonly status: ControllerStatus; readonly memberAddresses: readonly Address[] };

/** A controller that returns no status within this time counts as unresponsive. */
const STATUS_TIMEOUT_MS = 3_000;

function parseCoreHealth(value: unknown): CoreHealth | null {
  if (!isJsonObject(value) || !Array.isArray(value['details']) || typeof value['quorumSize'] !== 'number') return null;
  const spareLosses = value['spareLosses'];
  return spareLosses === null || typeof spareLosses === 'number' ? (value as CoreHealth) : null;
}

/** Returns the operator addresses of the members that the responding controller knows. */
function memberAddressesIn(body: Readonly<Record<string, unknown>>): Address[] {
  const names = new Set<unknown>();
  for (const member of Array.isArray(body['members']) ? body['members'] : [])
    if (isJsonObject(member)) names.add(member['name']);
  const addresses: Address[] = [];
  for (const node of Array.isArray(body['nodes']) ? body['nodes'] : []) {
    if (isJsonObject(node) && names.has(node['name']) && typeof node['http'] === 'string' && node['http'] !== '')
      addresses.push(node['http']);
  }
  return addresses;
}

function parseStatus(address: Address, body: unknown): StatusResponse {
  const unresponsive: ControllerStatus = { address, member: null, name: null, slot: -1, ledger: null, claims: null };
  if (!isJsonObject(body) || !isJsonObject(body['core'])) return { status: unresponsive, memberAddresses: [] };
  const status: ControllerStatus = {
    address,
    member: typeof body['member'] === 'string' ? body['member'] : null,
    name: typeof body['name'] === 'string' ? body['name'] : null,
    slot: typeof body['slot'] === 'number' ? body['slot'] : -1,
    ledger: parseCoreHealth(body['core']['ledger']),
    claims: parseCoreHealth(body['core']['claims']),
  };
  return { status, memberAddresses: memberAddressesIn(body) };
}

async function requestAll(core: CoreClient, addresses: readonly Address[]): Promise<StatusResponse[]> {
  async function requestStatus(address: Address): Promise<StatusResponse> {
    const response = await core.requestAt(address, statusRequest(), STATUS_TIMEOUT_MS);
    return parseStatus(address, response?.status === 200 ? response.body : null);
  }
  return Promise.all(addresses.map(requestStatus));
}

function memberIds(health: CoreHealth): string {
  const ids: string[] = [];
  for (const member of health.details) ids.push(member.id);
  return ids.sort().join();
}

/** Merges the statuses for one membership, against the members that the controller with the newest state lists. */
export function groupReport(statuses: readonly ControllerStatus[], group: CoreGroup): GroupReport | null {
  const reporting = statuses.filter(hasGroup).sort(newestAndKnownFirst);
  const newest = reporting[0]?.[group];
  if (!newest) return null;
  const ids = memberIds(newest);
  const agreeing = new Map<string, CoreHealth>();
  for (const status of reporting) {
    const health = status[group] as CoreHealth;
    if (status.member === null || health.spareLosses === null || memberIds(health) !== ids) continue;
    if (health.details.some(isReporter)) agreeing.set(status.member, health);
    function isReporter(member: MemberHealth): boolean {
      return member.id === status.member;
    }
  }
  const { members, quorumSize, details } = newest;
  const summary = { members, quorumSize, agreeing: agreeing.size, details };
  if (agreeing.size < quorumSize) return { ...summary, spareLosses: null, warning: 'noMajority', essential: [] };
  return { ...summary, ...worstHealth([...agreeing.values()]) };

  function hasGroup(status: ControllerStatus): boolean {
    return status[group] !== null;
  }
  function newestAndKnownFirst(left: ControllerStatus, right: ControllerStatus): number {
    return (
      right.slot - left.slot || Number(right[group]?.spareLosses !== null) - Number(left[group]?.spareLosses !== null)
    );
  }
}

function worstHealth(agreeing: readonly CoreHealth[]): Pick<GroupReport, 'spareLosses' | 'warning' | 'essential'> {
  const essential = new Set<string>();
  let worst = agreeing[0] as CoreHealth;
  for (const health of agreeing) {
    if (isWorse(health, worst)) worst = health;
    for (const member of health.details) if (member.essential !== false) essential.add(member.id);
  }
  return { spareLosses: worst.spareLosses, warning: worst.warning, essential: [...essential].sort() };
}

function isWorse(left: CoreHealth, right: CoreHealth): boolean {
  if (left.spareLosses !== right.spareLosses) return (left.spareLosses ?? 0) < (right.spareLosses ?? 0);
  return left.warning === 'noWholeQuorum' && right.warning !== 'noWholeQuorum';
}

/** Requests the status of the configured controllers and of the members that these list; null if none responds. */
export async function requestCoreReport(core: CoreClient): Promise<CoreReport | null> {
  const firstResponses = await requestAll(core, core.addresses);
  const requested = new Set<Address>(core.addresses);
  const additional = new Set<Address>();
  for (const response of firstResponses)
    for (const address of response.memberAddresses) if (!requested.has(address)) additional.add(address);
  const statuses: ControllerStatus[] = [];
  for (const response of [...firstResponses, ...(await requestAll(core, [...additional]))])
    statuses.push(response.status);
  const ledger = groupReport(statuses, 'ledger');
  return ledger ? { words: statuses, ledger, claims: groupReport(statuses, 'claims') } : null;
}

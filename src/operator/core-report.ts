/**
 * What a majority of controllers says of the core: how many further losses it bears, and which member's loss
 * alone would stop it.
 *
 * Every controller that can be reached is asked for its status. A figure counts only where a majority of the
 * members gives one for the very same members; of different figures the smallest stands. With fewer words nothing
 * is known, whatever a single controller says.
 */
import { isTable } from '../base/is-table.js';
import type { CoreHealth, CoreWarning, MemberHealth } from '../state/membership/core-health.js';
import type { Address } from '../transport/wire.js';
import { statusRequest } from './requests.js';
import type { Core } from './core.js';

/** Which membership is judged: the members as voters of the ledger, or as holders of run-once claims. */
export type CoreGroup = 'ledger' | 'claims';

/** One controller's answer; `ledger` is null if it did not answer, or not in a way that is understood. */
export type ControllerStatus = {
  readonly address: Address;
  readonly member: string | null;
  readonly name: string | null;
  readonly slot: number;
  readonly ledger: CoreHealth | null;
  readonly claims: CoreHealth | null;
};

/** What a majority of the members says of one membership. */
export type GroupReport = {
  readonly members: number;
  readonly quorumSize: number;
  /** Members whose words count: they know, and know of the same members. */
  readonly agreeing: number;
  /** Null while fewer than a majority of the members know. */
  readonly spareLosses: number | null;
  readonly warning: CoreWarning | null;
  /** Ids of the members whose loss alone would stop the core, by any word that counts. */
  readonly essential: readonly string[];
  /** Each member as the controller with the newest state sees it. */
  readonly details: readonly MemberHealth[];
};

/** Each controller's own answer, and what follows from them for both memberships. */
export type CoreReport = {
  readonly words: readonly ControllerStatus[];
  readonly ledger: GroupReport;
  readonly claims: GroupReport | null;
};

type Answer = { readonly status: ControllerStatus; readonly others: readonly Address[] };

/** A controller that answers no status in this time is taken for silent. */
const STATUS_WAIT_MS = 3_000;

function healthIn(value: unknown): CoreHealth | null {
  if (!isTable(value) || !Array.isArray(value['details']) || typeof value['quorumSize'] !== 'number') return null;
  const figure = value['spareLosses'];
  return figure === null || typeof figure === 'number' ? (value as CoreHealth) : null;
}

/** Operators' addresses of the members, as the answering controller knows them. */
function memberAddresses(body: Readonly<Record<string, unknown>>): Address[] {
  const names = new Set<unknown>();
  for (const member of Array.isArray(body['members']) ? body['members'] : [])
    if (isTable(member)) names.add(member['name']);
  const addresses: Address[] = [];
  for (const node of Array.isArray(body['nodes']) ? body['nodes'] : []) {
    if (isTable(node) && names.has(node['name']) && typeof node['http'] === 'string' && node['http'] !== '')
      addresses.push(node['http']);
  }
  return addresses;
}

function answerIn(address: Address, body: unknown): Answer {
  const unresponsive: ControllerStatus = { address, member: null, name: null, slot: -1, ledger: null, claims: null };
  if (!isTable(body) || !isTable(body['core'])) return { status: unresponsive, others: [] };
  const status: ControllerStatus = {
    address,
    member: typeof body['member'] === 'string' ? body['member'] : null,
    name: typeof body['name'] === 'string' ? body['name'] : null,
    slot: typeof body['slot'] === 'number' ? body['slot'] : -1,
    ledger: healthIn(body['core']['ledger']),
    claims: healthIn(body['core']['claims']),
  };
  return { status, others: memberAddresses(body) };
}

async function requestAll(core: Core, addresses: readonly Address[]): Promise<Answer[]> {
  async function requestStatus(address: Address): Promise<Answer> {
    const response = await core.requestAt(address, statusRequest(), STATUS_WAIT_MS);
    return answerIn(address, response?.status === 200 ? response.body : null);
  }
  return Promise.all(addresses.map(requestStatus));
}

function idsOf(health: CoreHealth): string {
  const ids: string[] = [];
  for (const member of health.details) ids.push(member.id);
  return ids.sort().join();
}

/** The words of one group, judged by the members that the controller with the newest state names. */
export function groupReport(statuses: readonly ControllerStatus[], group: CoreGroup): GroupReport | null {
  const known = statuses.filter(hasGroup).sort(newestAndKnowingFirst);
  const newest = known[0]?.[group];
  if (!newest) return null;
  const ids = idsOf(newest);
  const counted = new Map<string, CoreHealth>();
  for (const status of known) {
    const health = status[group] as CoreHealth;
    if (status.member === null || health.spareLosses === null || idsOf(health) !== ids) continue;
    if (health.details.some(isSpeaker)) counted.set(status.member, health);
    function isSpeaker(member: MemberHealth): boolean {
      return member.id === status.member;
    }
  }
  const { members, quorumSize, details } = newest;
  const base = { members, quorumSize, agreeing: counted.size, details };
  if (counted.size < quorumSize) return { ...base, spareLosses: null, warning: 'noMajority', essential: [] };
  return { ...base, ...worstOf([...counted.values()]) };

  function hasGroup(status: ControllerStatus): boolean {
    return status[group] !== null;
  }
  function newestAndKnowingFirst(left: ControllerStatus, right: ControllerStatus): number {
    return (
      right.slot - left.slot || Number(right[group]?.spareLosses !== null) - Number(left[group]?.spareLosses !== null)
    );
  }
}

function worstOf(known: readonly CoreHealth[]): Pick<GroupReport, 'spareLosses' | 'warning' | 'essential'> {
  const essential = new Set<string>();
  let worst = known[0] as CoreHealth;
  for (const health of known) {
    if (isWorse(health, worst)) worst = health;
    for (const member of health.details) if (member.essential !== false) essential.add(member.id);
  }
  return { spareLosses: worst.spareLosses, warning: worst.warning, essential: [...essential].sort() };
}

function isWorse(left: CoreHealth, right: CoreHealth): boolean {
  if (left.spareLosses !== right.spareLosses) return (left.spareLosses ?? 0) < (right.spareLosses ?? 0);
  return left.warning === 'noWholeQuorum' && right.warning !== 'noWholeQuorum';
}

/** Asks every controller that is named, and the members that they name; null if none answers. */
export async function requestCoreReport(core: Core): Promise<CoreReport | null> {
  const first = await requestAll(core, core.addresses);
  const requests = new Set<Address>(core.addresses);
  const further = new Set<Address>();
  for (const answer of first) for (const address of answer.others) if (!requests.has(address)) further.add(address);
  const statuses: ControllerStatus[] = [];
  for (const answer of [...first, ...(await requestAll(core, [...further]))]) statuses.push(answer.status);
  const ledger = groupReport(statuses, 'ledger');
  return ledger ? { words: statuses, ledger, claims: groupReport(statuses, 'claims') } : null;
}

/**
 * Bootstraps a ledger on request of an operator: every named controller must be blank, and each one stores slot zero.
 * For the bootstrap that controllers run on their own at their first start, see `self-bootstrap.ts`.
 */
import { err, ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { Batch, Member } from '../../state/consensus/entry.js';
import type { Clock } from '../../transport/clock.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { Address } from '../../transport/wire.js';
import type { Peers } from '../messaging/peers.js';
import type { CommittedEntry } from '../consensus/proposal.js';
import type { Replica } from '../consensus/replica.js';
import { createBootstrapBatch } from './self-bootstrap.js';

/** Why no ledger was bootstrapped: a controller is not blank, or does not respond. */
export type BootstrapError =
  | { readonly tag: 'alreadyBootstrapped'; readonly member: string }
  | { readonly tag: 'memberSilent'; readonly address: Address };

/** Bootstraps a ledger with the blank controllers at these addresses as members. */
export type Bootstrap = (addresses: readonly Address[]) => Promise<Result<CommittedEntry, BootstrapError>>;

/** Dependencies of the operator's bootstrap. */
export type OperatorBootstrapDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly replica: Replica;
  /** Whether this controller bootstraps on its own; it then rejects bootstraps by an operator. */
  readonly bootstrapsItself: boolean;
};

const RESPONSE_TIMEOUT_MS = 1_000;

/** Handles bootstrap requests of other controllers, and returns the function that runs a bootstrap. */
export function createOperatorBootstrap(deps: OperatorBootstrapDeps): Bootstrap {
  const { clock, rng, peers, replica } = deps;
  const { self } = replica;

  async function onBootstrap(message: MessageOf<'bootstrap'>): Promise<Message> {
    const { ledger } = replica.controlState();
    const isSameLedger = ledger === message.ledger;
    if (deps.bootstrapsItself || (ledger !== '' && !isSameLedger))
      return { kind: 'bootstrapAnswer', agreed: false, member: self };
    if (!message.commit || isSameLedger) return { kind: 'bootstrapAnswer', agreed: true, member: self };
    const result = await replica.put({ tag: 'chosen', slot: 0, batch: message.slotZero });
    return { kind: 'bootstrapAnswer', agreed: result.tag === 'folded', member: self };
  }
  peers.on('bootstrap', onBootstrap);

  async function requestMember(
    address: Address,
    message: MessageOf<'bootstrap'>,
  ): Promise<Result<Member, BootstrapError>> {
    const isSelf = address === self.address;
    const response = isSelf ? ok(await onBootstrap(message)) : await peers.call(address, message, RESPONSE_TIMEOUT_MS);
    if (!response.ok || response.value.kind !== 'bootstrapAnswer') return err({ tag: 'memberSilent', address });
    if (!response.value.agreed) return err({ tag: 'alreadyBootstrapped', member: response.value.member.name });
    return ok(response.value.member);
  }

  async function bootstrap(addresses: readonly Address[]): Promise<Result<CommittedEntry, BootstrapError>> {
    const ledger = newId(rng, 'ledger');
    const emptyBatch: Batch = { id: newId(rng, 'batch'), entries: [] };
    const members: Member[] = [];
    for (const address of addresses) {
      const member = await requestMember(address, { kind: 'bootstrap', ledger, slotZero: emptyBatch, commit: false });
      if (!member.ok) return member;
      members.push(member.value);
    }
    const slotZero = createBootstrapBatch(self, ledger, members, 'The operator bootstrapped the ledger.', clock, rng);
    for (const address of addresses) {
      const recorded = await requestMember(address, { kind: 'bootstrap', ledger, slotZero, commit: true });
      if (!recorded.ok) return recorded;
    }
    return ok({ slot: 0, outcome: { tag: 'applied' } });
  }
  return bootstrap;
}

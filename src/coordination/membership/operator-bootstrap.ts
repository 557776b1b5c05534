/**
 * The bootstrap of a ledger by an operator's call: every named controller must be blank, and each records slot zero. Where
 * the controllers do it by themselves at their first start, see `self-bootstrap.ts`.
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
import { bootstrapEntry } from './self-bootstrap.js';

/** Why no ledger was made: a controller is not blank, or does not answer. */
export type BootstrapError =
  | { readonly tag: 'alreadyBootstrapped'; readonly member: string }
  | { readonly tag: 'memberSilent'; readonly address: Address };

/** Makes a ledger of the blank controllers at these addresses. */
export type Bootstrap = (addresses: readonly Address[]) => Promise<Result<CommittedEntry, BootstrapError>>;

/** The replica that takes part. */
export type OperatorBootstrapDeps = {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly peers: Pick<Peers, 'call' | 'on'>;
  readonly replica: Replica;
  /** Whether this controller bootstraps by itself; then it takes no part in an operator's bootstrap. */
  readonly bootstrapsItself: boolean;
};

const ANSWER_WAIT_MS = 1_000;

/** Takes part in the bootstraps of others, and makes one when called. */
export function createOperatorBootstrap(deps: OperatorBootstrapDeps): Bootstrap {
  const { clock, rng, peers, replica } = deps;
  const { self } = replica;

  async function onBootstrap(message: MessageOf<'bootstrap'>): Promise<Message> {
    const { ledger } = replica.controlState();
    const isSame = ledger === message.ledger;
    if (deps.bootstrapsItself || (ledger !== '' && !isSame))
      return { kind: 'bootstrapAnswer', agreed: false, member: self };
    if (!message.commit || isSame) return { kind: 'bootstrapAnswer', agreed: true, member: self };
    const answer = await replica.put({ tag: 'chosen', slot: 0, batch: message.slotZero });
    return { kind: 'bootstrapAnswer', agreed: answer.tag === 'folded', member: self };
  }
  peers.on('bootstrap', onBootstrap);

  async function requestMember(
    address: Address,
    message: MessageOf<'bootstrap'>,
  ): Promise<Result<Member, BootstrapError>> {
    const own = address === self.address;
    const reply = own ? ok(await onBootstrap(message)) : await peers.call(address, message, ANSWER_WAIT_MS);
    if (!reply.ok || reply.value.kind !== 'bootstrapAnswer') return err({ tag: 'memberSilent', address });
    if (!reply.value.agreed) return err({ tag: 'alreadyBootstrapped', member: reply.value.member.name });
    return ok(reply.value.member);
  }

  async function bootstrap(addresses: readonly Address[]): Promise<Result<CommittedEntry, BootstrapError>> {
    const ledger = newId(rng, 'ledger');
    const blank: Batch = { id: newId(rng, 'batch'), entries: [] };
    const members: Member[] = [];
    for (const address of addresses) {
      const answer = await requestMember(address, { kind: 'bootstrap', ledger, slotZero: blank, commit: false });
      if (!answer.ok) return answer;
      members.push(answer.value);
    }
    const slotZero = bootstrapEntry(self, ledger, members, 'The operator bootstrapped the ledger.', clock, rng);
    for (const address of addresses) {
      const recorded = await requestMember(address, { kind: 'bootstrap', ledger, slotZero, commit: true });
      if (!recorded.ok) return recorded;
    }
    return ok({ slot: 0, outcome: { tag: 'applied' } });
  }
  return bootstrap;
}
